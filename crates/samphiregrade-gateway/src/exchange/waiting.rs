//! Taking the connections that wait in the system's queue when a listener is about to close.
//!
//! For listeners that are accepted from here; one that an event loop accepts from is closed by
//! `samphiregrade_http::ListenerCloser`.

use std::io;

use samphiregrade_http::wire::ACCEPT_QUEUE;

use crate::accept::ACCEPT_PAUSE;

/// Failures after which no more is tried: 0.2 s in all, in which idle connections have long ended, and which a short
/// grace period still holds.
const MOST_FAILURES: usize = 10;

/// Accepts without waiting until the queue is empty.
///
/// Closing the listener resets what is left in the queue, though its clients may have sent their requests: one
/// connection that is gone again, or a moment without descriptors, must not cost all that wait behind it.
pub async fn drain_backlog<Accept, Connection, Take>(mut accept: Accept, mut take: Take)
where
    Accept: FnMut() -> io::Result<Connection>,
    Take: FnMut(Connection),
{
    let mut failures = 0;
    let mut taken = 0;
    // No more than the queue holds: clients that come faster than they are accepted must not keep the listener open.
    while failures < MOST_FAILURES && taken < ACCEPT_QUEUE {
        match accept() {
            Ok(connection) => {
                take(connection);
                taken += 1;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                log::warn!("a connection that waited was not accepted: {error}");
                failures += 1;
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    log::error!("connections that waited are given up after {taken} taken and {failures} failures");
}
