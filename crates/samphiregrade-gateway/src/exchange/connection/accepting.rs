//! Accepting clients' connections, until nothing new is taken.

use std::sync::Arc;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::serve_stream;
use crate::accept::accept;
use crate::exchange::context::EntryContext;
use crate::exchange::waiting::drain_backlog;

/// What ends connections while the instance stops; passed down to each of them.
#[derive(Clone, Debug, Default)]
pub struct ShutdownTokens {
    /// Nothing new is taken: the listener closes and idle connections end. A request that is there already is taken only
    /// where it ends before what is under way is given up.
    pub drain: CancellationToken,
    /// What is under way is given up, each with an answer that says whether it may have run.
    pub abort: CancellationToken,
}

/// Accepts clients' connections until nothing more is taken.
pub async fn serve_clients(
    context: Arc<EntryContext>,
    listener: TcpListener,
    tokens: ShutdownTokens,
) {
    loop {
        let accepted = tokio::select! {
            () = tokens.drain.cancelled() => break,
            accepted = accept(&listener, "a client's connection") => accepted,
        };
        if let Some(stream) = accepted {
            spawn_connection(&context, stream, &tokens);
        }
    }
    match listener.into_std() {
        Ok(listener) => {
            let accept = || accept_now(&listener);
            let take = |stream| spawn_connection(&context, stream, &tokens);
            drain_backlog(accept, take).await;
        }
        Err(error) => log::warn!("connections that waited were not accepted: {error}"),
    }
}

/// Accepts a connection that the system has accepted already; its request gets a refusal in place of a reset.
fn accept_now(listener: &std::net::TcpListener) -> std::io::Result<TcpStream> {
    let (stream, _) = listener.accept()?;
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

/// Serves a connection, which counts as open from here on: a task that has not begun must not be overlooked.
fn spawn_connection(context: &Arc<EntryContext>, stream: TcpStream, tokens: &ShutdownTokens) {
    let guard = context.open_connection();
    let serving = serve_stream(context.clone(), stream, tokens.clone());
    tokio::spawn(async move {
        serving.await;
        drop(guard);
    });
}
