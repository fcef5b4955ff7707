//! The accepting side of links: receives requests as fast as they are handled, and sends the replies.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use samphiregrade_http::wire::{SocketLimits, apply_limits};
use samphiregrade_http::{BudgetSettings, LeaseState, MemoryBudget, MemoryLease};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;
use tokio_util::sync::CancellationToken;

use super::frame::{append_frame, encode_message, frame_head, take_frame};
use super::limits::LinkLimits;
use super::{CONNECT_TIMEOUT, QUEUE_LIMIT, READ_RESERVE, STOP_NUMBER, WRITE_LIMIT, link_limits};
use crate::byte_gate::{ByteGate, GatePermit};

/// Size in bytes above which a received request is counted.
const COUNTED_REQUEST: usize = READ_RESERVE;

/// Memory of a connection that has not proved yet that it belongs to a peer, in bytes.
const HANDSHAKE_BYTES: usize = 64 << 10;

/// Idle time after which the accepting side closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Serves the links of all peers of an instance.
#[derive(Clone)]
pub(super) struct LinkServer {
    acceptor: TlsAcceptor,
    /// Large requests that are received or handled.
    handled: ByteGate,
    /// Connections; those that have not completed their handshake give way to new ones.
    pub(super) handshakes: MemoryBudget,
    stop: CancellationToken,
}

/// The receiving half of a link.
struct RequestReader {
    received: BytesMut,
    /// Counts the large request at the front of the buffer.
    permit: GatePermit,
}

impl RequestReader {
    /// Returns the length of the request at the front of the buffer if it has to be counted before more of it is read.
    fn uncounted(&self) -> io::Result<Option<usize>> {
        let length = frame_head(&self.received)?.map(|(_, length)| length);
        Ok(length.filter(|length| *length > COUNTED_REQUEST && self.permit.is_none()))
    }

    /// Removes the next request, with the permit that counts it.
    fn take(&mut self) -> io::Result<Option<(u64, Bytes, GatePermit)>> {
        if self.uncounted()?.is_some() {
            return Ok(None);
        }
        let taken = take_frame(&mut self.received)?;
        Ok(taken.map(|(number, message)| (number, message, self.permit.take())))
    }
}

impl LinkServer {
    pub(super) fn new(acceptor: TlsAcceptor, limits: LinkLimits, stop: CancellationToken) -> Self {
        let settings = BudgetSettings {
            bytes: limits.connections.saturating_mul(HANDSHAKE_BYTES),
            connection_bytes: HANDSHAKE_BYTES,
            connections: limits.connections,
        };
        Self {
            acceptor,
            handled: ByteGate::new(limits.handled_bytes),
            handshakes: MemoryBudget::new(settings),
            stop,
        }
    }

    pub(super) async fn serve<Handler, Request, Reply, ReplyFuture>(
        self,
        stream: TcpStream,
        mut lease: MemoryLease,
        handler: Handler,
    ) -> io::Result<()>
    where
        Handler: Fn(Request) -> ReplyFuture + Clone + Send + 'static,
        Request: DeserializeOwned + Send + 'static,
        Reply: Serialize + Send + 'static,
        ReplyFuture: Future<Output = Reply> + Send + 'static,
    {
        apply_limits(&stream, &link_limits(SocketLimits::default()))?;
        let accepting = tokio::time::timeout(CONNECT_TIMEOUT, self.acceptor.accept(stream));
        let mut link = tokio::select! {
            accepted = accepting => accepted??,
            () = lease.ended() => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        lease.enter(LeaseState::Running, HANDSHAKE_BYTES);
        let (replies, mut finished) = mpsc::channel::<(u64, Vec<u8>)>(QUEUE_LIMIT);
        let mut reader = RequestReader {
            received: BytesMut::new(),
            permit: None,
        };
        let mut is_stopping = false;
        loop {
            let uncounted = reader.uncounted()?;
            reader.received.reserve(READ_RESERVE);
            tokio::select! {
                () = self.stop.cancelled(), if !is_stopping => {
                    is_stopping = true;
                    let mut output = BytesMut::new();
                    append_frame(&mut output, STOP_NUMBER, &[]);
                    link.write_all(&output).await?;
                    link.flush().await?;
                }
                permit = self.handled.enter(uncounted.unwrap_or(0)), if uncounted.is_some() => {
                    reader.permit = permit;
                    handle_received(&mut reader, &handler, &replies)?;
                }
                read = link.read_buf(&mut reader.received), if uncounted.is_none() => {
                    if read? == 0 {
                        return Ok(());
                    }
                    handle_received(&mut reader, &handler, &replies)?;
                }
                Some((number, message)) = finished.recv() => {
                    let mut output = BytesMut::new();
                    append_frame(&mut output, number, &message);
                    while output.len() < WRITE_LIMIT {
                        let Ok((number, message)) = finished.try_recv() else {
                            break;
                        };
                        append_frame(&mut output, number, &message);
                    }
                    link.write_all(&output).await?;
                    link.flush().await?;
                }
                () = tokio::time::sleep(IDLE_TIMEOUT) => return Ok(()),
            }
        }
    }
}

/// Starts the handlers of the complete requests in the buffer.
fn handle_received<Handler, Request, Reply, ReplyFuture>(
    reader: &mut RequestReader,
    handler: &Handler,
    replies: &mpsc::Sender<(u64, Vec<u8>)>,
) -> io::Result<()>
where
    Handler: Fn(Request) -> ReplyFuture + Clone + Send + 'static,
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    ReplyFuture: Future<Output = Reply> + Send + 'static,
{
    while let Some((number, message, permit)) = reader.take()? {
        let request = postcard::from_bytes(&message).map_err(io::Error::other)?;
        let handler = handler.clone();
        let replies = replies.clone();
        tokio::spawn(async move {
            let reply = handler(request).await;
            drop(permit);
            let message = encode_message(&reply).unwrap_or_else(|error| {
                log::error!("a reply is not sent: {error}");
                // The peer can't decode an empty message, so its request fails at once.
                Vec::new()
            });
            // The link may have ended in the meantime.
            drop(replies.send((number, message)).await);
        });
    }
    Ok(())
}
