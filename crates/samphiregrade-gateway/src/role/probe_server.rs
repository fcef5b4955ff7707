//! Minimal HTTP server for probes of the instance: readiness, metrics and dump.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use samphiregrade_http::wire::{RequestHead, SocketLimits, WireSocket, listen_with_queue};
use samphiregrade_http::{BudgetSettings, MemoryBudget};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::accept::accept;

/// Largest accepted request head.
const HEAD_LIMIT: usize = 8 << 10;

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Largest number of open connections; the platform and an operator need a few.
const CONNECTION_LIMIT: usize = 32;

/// Memory of an open connection in bytes, with its receive queue and the longest response.
const CONNECTION_BYTES: usize = 96 << 10;

/// The system's receive queue of a connection, in bytes.
const RECEIVE_QUEUE: usize = 16 << 10;

/// Listens for probes.
///
/// # Errors
///
/// The system's error, for example if the port is in use.
pub fn listen_for_probes(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with_queue(address, Some(RECEIVE_QUEUE))
}

/// Response to a probe.
pub struct ProbeResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of `Content-Type`.
    pub content_type: &'static str,
    /// Response body.
    pub body: Vec<u8>,
}

/// Responds to each request according to its path, until cancelled. At the largest number of connections, the one that has
/// waited longest is closed for a new one.
pub async fn serve_probes<Handler>(
    listener: TcpListener,
    handler: Handler,
    cancel: CancellationToken,
) where
    Handler: Fn(&str) -> ProbeResponse + Clone + Send + 'static,
{
    let budget = MemoryBudget::new(BudgetSettings {
        bytes: CONNECTION_LIMIT * CONNECTION_BYTES,
        connection_bytes: CONNECTION_BYTES,
        connections: CONNECTION_LIMIT,
    });
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = accept(&listener, "a probe connection") => accepted,
        };
        let Some(stream) = accepted else {
            continue;
        };
        let Ok(lease) = budget.open_connection().await else {
            continue;
        };
        let handler = handler.clone();
        tokio::spawn(async move {
            let Ok(socket) = WireSocket::new(stream, &SocketLimits::default()) else {
                return;
            };
            tokio::select! {
                () = serve_connection(socket, handler) => {}
                () = lease.ended() => {}
            }
        });
    }
}

async fn serve_connection<Handler>(mut socket: WireSocket, handler: Handler)
where
    Handler: Fn(&str) -> ProbeResponse,
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
        let response = handler(head.path().unwrap_or_default());
        let keep_alive = head.keeps_connection();
        if socket.write(&encode(&response, keep_alive)).await.is_err() || !keep_alive {
            return;
        }
    }
}

fn encode(response: &ProbeResponse, keep_alive: bool) -> BytesMut {
    let reason = if response.status == 200 {
        "OK"
    } else {
        "Unavailable"
    };
    let connection = if keep_alive { "keep-alive" } else { "close" };
    let head = format!(
        "HTTP/1.1 {} {reason}\r\nContent-Type: {}\r\nContent-Length: {}\r\nConnection: {connection}\r\n\r\n",
        response.status,
        response.content_type,
        response.body.len()
    );
    let mut bytes = BytesMut::with_capacity(head.len() + response.body.len());
    bytes.put_slice(head.as_bytes());
    bytes.put_slice(&response.body);
    bytes
}
