//! A small server for questions about the instance: readiness, metrics, dump.

use std::time::Duration;

use bytes::{BufMut, BytesMut};
use samphiregrade_http::wire::{RequestHead, SocketLimits, WireSocket};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept::accept;

/// Longest head of such a question.
const HEAD_LIMIT: usize = 8 << 10;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An answer to such a question.
pub struct ProbeAnswer {
    /// HTTP status.
    pub status: u16,
    /// Type of the body.
    pub content_type: &'static str,
    /// The body.
    pub body: Vec<u8>,
}

/// Answers each request by its path, until cancelled.
pub async fn serve_probes<Handler>(
    listener: TcpListener,
    handler: Handler,
    cancel: CancellationToken,
) where
    Handler: Fn(&str) -> ProbeAnswer + Clone + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = accept(&listener, "a question's connection") => accepted,
        };
        let Some(stream) = accepted else {
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            if let Ok(socket) = WireSocket::new(stream, &SocketLimits::default()) {
                serve_connection(socket, handler).await;
            }
        });
    }
}

async fn serve_connection<Handler>(mut socket: WireSocket, handler: Handler)
where
    Handler: Fn(&str) -> ProbeAnswer,
{
    loop {
        let head = loop {
            match RequestHead::take(&mut socket.buffer, HEAD_LIMIT) {
                Ok(Some(head)) => break head,
                Ok(None) => {}
                Err(_) => return,
            }
            let read = tokio::time::timeout(IDLE_TIMEOUT, socket.fill()).await;
            if !matches!(read, Ok(Ok(count)) if count > 0) {
                return;
            }
        };
        let answer = handler(head.path().unwrap_or_default());
        let keep = head.keeps_connection();
        if socket.write(&encode(&answer, keep)).await.is_err() || !keep {
            return;
        }
    }
}

fn encode(answer: &ProbeAnswer, keep: bool) -> BytesMut {
    let reason = if answer.status == 200 {
        "OK"
    } else {
        "Unavailable"
    };
    let connection = if keep { "keep-alive" } else { "close" };
    let head = format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        answer.status,
        answer.content_type,
        answer.body.len()
    );
    let mut bytes = BytesMut::with_capacity(head.len() + answer.body.len());
    bytes.put_slice(head.as_bytes());
    bytes.put_slice(&answer.body);
    bytes
}
