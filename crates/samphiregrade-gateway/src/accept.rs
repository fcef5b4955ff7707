//! Accepts connections, and pauses after a failure to accept one.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};

/// Pause after a failure to accept a connection; meanwhile other connections may close and free their file descriptors.
pub(crate) const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Accepts the next connection; returns `None` after a pause if that fails. `what` describes the connection in the log.
pub(crate) async fn accept(listener: &TcpListener, what: &str) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("{what} could not be accepted: {error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}
