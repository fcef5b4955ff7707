//! Drains the accept queue of a listener that is about to close.
//!
//! Used for listeners whose connections this crate accepts; `samphiregrade_http::ListenerCloser` closes a listener that
//! an event loop accepts from.

use std::io;

use samphiregrade_http::wire::ACCEPT_QUEUE;

use crate::accept::ACCEPT_PAUSE;

/// Number of failures after which draining stops. The pauses add up to 0.2 s: by then idle connections have closed and
/// freed their descriptors, and the time fits into a short grace period.
const MAX_FAILURES: usize = 10;

/// Accepts connections without blocking until the queue is empty.
///
/// Closing the listener resets the connections that are left in the queue, although their clients may already have sent
/// requests. So an aborted connection, or a temporary lack of file descriptors, must not end the draining.
pub async fn drain_backlog<Accept, Connection, Serve>(mut accept: Accept, mut serve: Serve)
where
    Accept: FnMut() -> io::Result<Connection>,
    Serve: FnMut(Connection),
{
    let mut failures = 0;
    let mut accepted = 0;
    // At most the capacity of the queue: clients that connect faster than they are accepted must not keep the listener
    // open.
    while failures < MAX_FAILURES && accepted < ACCEPT_QUEUE {
        match accept() {
            Ok(connection) => {
                serve(connection);
                accepted += 1;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                log::warn!("a connection in the accept queue could not be accepted: {error}");
                failures += 1;
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    log::error!(
        "the accept queue was not drained: {accepted} connections accepted, {failures} failures"
    );
}
