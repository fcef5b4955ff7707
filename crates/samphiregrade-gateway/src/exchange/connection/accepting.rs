//! Accepts client connections until the instance drains.

use std::sync::Arc;

use samphiregrade_http::{MemoryLease, NoRoom};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::serve_stream;
use crate::accept::accept;
use crate::exchange::context::EntryContext;
use crate::exchange::waiting::drain_backlog;

/// Cancellation tokens of the phases of a shutdown; each connection gets a copy.
#[derive(Clone, Debug, Default)]
pub struct ShutdownTokens {
    /// No new work is accepted: the listener closes and idle connections end. A request that has already arrived is
    /// accepted only if it is due before the remaining requests are aborted.
    pub drain: CancellationToken,
    /// Requests in progress are aborted, each with a response that says whether the request may have run.
    pub abort: CancellationToken,
}

/// Accepts client connections until the instance drains, then those left in the listener's backlog.
pub async fn serve_clients(
    context: Arc<EntryContext>,
    listener: TcpListener,
    tokens: ShutdownTokens,
) {
    loop {
        let accepted = tokio::select! {
            () = tokens.drain.cancelled() => break,
            accepted = accept(&listener, "a client connection") => accepted,
        };
        let Some(stream) = accepted else {
            continue;
        };
        // Nobody else is accepted while connections close to make room: their number is bounded at every moment.
        match context.clients.open_connection().await {
            Ok(lease) => spawn_connection(&context, stream, lease, &tokens),
            Err(error) => refuse_connection(&context, error),
        }
    }
    match listener.into_std() {
        Ok(listener) => {
            let accept = || accept_pending(&listener);
            let serve = |stream| match context.clients.try_open_connection() {
                Ok(lease) => spawn_connection(&context, stream, lease, &tokens),
                Err(error) => refuse_connection(&context, error),
            };
            drain_backlog(accept, serve).await;
        }
        Err(error) => log::warn!("connections in the accept queue could not be accepted: {error}"),
    }
}

/// Accepts a connection from the listener's backlog without waiting; its request gets a refusal instead of a reset.
fn accept_pending(listener: &std::net::TcpListener) -> std::io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Records that a new connection is closed since no other one can give way to it.
fn refuse_connection(context: &EntryContext, error: NoRoom) {
    log::info!("a client connection is closed: {error}");
    context.metrics.count_client_limit("refused-connection");
}

/// Spawns a task that serves a connection.
///
/// The connection counts as open before the task starts, so that a shutdown does not miss it.
fn spawn_connection(
    context: &Arc<EntryContext>,
    stream: TcpStream,
    lease: MemoryLease,
    tokens: &ShutdownTokens,
) {
    let guard = context.open_connection();
    let serving = serve_stream(context.clone(), stream, lease, tokens.clone());
    tokio::spawn(async move {
        serving.await;
        drop(guard);
    });
}
