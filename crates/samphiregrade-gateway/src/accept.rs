//! Accepting connections, also where the system refuses one.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a connection could not be accepted: others end meanwhile, and free their descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection; `None` where that failed, after a pause. `what` names it in the log.
pub(crate) async fn accept(listener: &TcpListener, what: &str) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("{what} was not accepted: {error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
