//! Reads requests from a client connection, within limits of size and time.

use std::time::{Duration, Instant};

use bytes::Bytes;
use samphiregrade_http::LeaseState;
use samphiregrade_http::wire::{BodyDecoder, BodyFraming, BodyPiece, HeadError, RequestHead};
use tokio_util::sync::CancellationToken;

use super::ClientConnection;
use super::body::BodyBuffer;
use crate::exchange::client_memory::CONNECTION_BYTES;
use crate::exchange::outcome::{ConnectionAge, RequestRecord};
use crate::exchange::refusal::{Refusal, RefusalReason};
use crate::model::{ClientLimits, RequestMetadata};

/// Time that a new connection of a draining instance has for its first request: a round trip, and a scheduling delay on
/// a small machine.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Largest part of a body, in bytes, that is read before the request is checked. A request with a smaller body is refused
/// after its body, so that its connection can stay open.
const UNCHECKED_BODY: usize = 64 << 10;

/// Result of reading the head of a request.
pub(super) enum HeadEnd {
    Head(RequestHead),
    Refused(RefusalReason),
    Closed,
}

/// Result of reading the body of a request.
pub(super) enum BodyEnd {
    Complete(Bytes),
    Refused(Refusal),
    Disconnected,
}

impl From<RefusalReason> for BodyEnd {
    fn from(reason: RefusalReason) -> Self {
        Self::Refused(reason.into())
    }
}

/// Result of reading more bytes of a request.
enum ReadResult {
    Some,
    Refused(RefusalReason),
    Disconnected,
}

impl ClientConnection {
    /// Waits for the next request and reads its head.
    pub(super) async fn read_head(&mut self, limits: &ClientLimits) -> HeadEnd {
        if self.socket.buffer.is_empty() && !self.await_request(limits).await {
            return HeadEnd::Closed;
        }
        if self.age.earlier_requests > 0 {
            self.lease.enter(LeaseState::Reading, CONNECTION_BYTES);
        }
        let due = Instant::now() + limits.head_timeout;
        loop {
            match RequestHead::take(&mut self.socket.buffer, limits.head_bytes) {
                Ok(Some(head)) => return HeadEnd::Head(head),
                Ok(None) => {}
                Err(HeadError::TooLarge(_)) => {
                    return HeadEnd::Refused(RefusalReason::HeadTooLarge);
                }
                Err(HeadError::Malformed(error)) => {
                    log::info!("a client sent a malformed request head: {error}");
                    return HeadEnd::Refused(RefusalReason::Malformed);
                }
            }
            match self.read_more(due).await {
                ReadResult::Some => {}
                // Nothing of the request was read completely, so its client may send it again at once.
                ReadResult::Refused(RefusalReason::NoMemory) => {
                    self.context.metrics.count_client_limit("closed-head");
                    return HeadEnd::Closed;
                }
                ReadResult::Refused(reason) => return HeadEnd::Refused(reason),
                ReadResult::Disconnected => return HeadEnd::Closed,
            }
        }
    }

    /// Waits for the first bytes of the next request; returns whether there are any.
    async fn await_request(&mut self, limits: &ClientLimits) -> bool {
        self.socket.release_buffer();
        if self.age.earlier_requests > 0 {
            self.lease.enter(LeaseState::Idle, CONNECTION_BYTES);
        }
        let read = tokio::select! {
            biased;
            read = tokio::time::timeout(limits.idle_timeout, self.socket.fill()) => read,
            () = idle_end(&self.tokens.drain, &self.age) => return false,
            () = self.lease.ended() => {
                self.context.metrics.count_client_limit("closed-waiting");
                return false;
            }
        };
        matches!(read, Ok(Ok(count)) if count > 0)
    }

    /// Reads more bytes of a request whose first bytes have arrived.
    ///
    /// A client that sends without a pause keeps neither the end of its time nor the need to give way from being noticed, nor
    /// the thread from other connections.
    async fn read_more(&mut self, due: Instant) -> ReadResult {
        tokio::task::yield_now().await;
        if Instant::now() >= due {
            return ReadResult::Refused(RefusalReason::TooSlow);
        }
        if self.lease.has_ended() {
            return ReadResult::Refused(RefusalReason::NoMemory);
        }
        tokio::select! {
            biased;
            read = tokio::time::timeout_at(due.into(), self.socket.fill()) => match read {
                Err(_) => ReadResult::Refused(RefusalReason::TooSlow),
                Ok(Ok(count)) if count > 0 => ReadResult::Some,
                Ok(_) => ReadResult::Disconnected,
            },
            () = self.tokens.abort.cancelled() => ReadResult::Refused(RefusalReason::Stopping),
            () = self.lease.ended() => ReadResult::Refused(RefusalReason::NoMemory),
        }
    }

    /// Reads the body of a request.
    ///
    /// Before more than a small part of it is read, the request is checked: the body of one that is to be refused must
    /// not occupy memory.
    pub(super) async fn read_body(
        &mut self,
        head: &RequestHead,
        metadata: &RequestMetadata,
        limits: &ClientLimits,
        record: &mut RequestRecord,
    ) -> BodyEnd {
        let Ok(framing) = head.framing() else {
            return RefusalReason::Malformed.into();
        };
        let announced = match framing {
            BodyFraming::Length(length) => usize::try_from(length).unwrap_or(usize::MAX),
            _ => 0,
        };
        if announced > limits.body_bytes {
            return RefusalReason::BodyTooLarge.into();
        }
        let expects = head.fields.lists("expect", "100-continue");
        let mut is_checked = announced > UNCHECKED_BODY || expects;
        if is_checked && let Err(refusal) = self.check_head(head, metadata, record) {
            return BodyEnd::Refused(refusal);
        }
        if expects && self.send_go_ahead().await.is_err() {
            return BodyEnd::Disconnected;
        }
        let time = metadata.deadline.unwrap_or(limits.idle_timeout);
        let due = record.started + time.min(limits.idle_timeout);
        let mut decoder = BodyDecoder::new(framing);
        let mut body = BodyBuffer::new(if announced > 0 {
            announced
        } else {
            limits.body_bytes
        });
        loop {
            match decoder.take(&mut self.socket.buffer) {
                Ok(BodyPiece::End) => return BodyEnd::Complete(body.into_bytes()),
                Ok(BodyPiece::Data(data)) => {
                    let length = body.len() + data.len();
                    if length > limits.body_bytes {
                        return RefusalReason::BodyTooLarge.into();
                    }
                    if length > UNCHECKED_BODY && !is_checked {
                        if let Err(refusal) = self.check_head(head, metadata, record) {
                            return BodyEnd::Refused(refusal);
                        }
                        is_checked = true;
                    }
                    if body.add(data, &mut self.lease).await.is_err() {
                        return RefusalReason::NoMemory.into();
                    }
                }
                Ok(BodyPiece::More) => match self.read_more(due).await {
                    ReadResult::Some => {}
                    ReadResult::Refused(reason) => return reason.into(),
                    ReadResult::Disconnected => return BodyEnd::Disconnected,
                },
                Err(_) => return RefusalReason::Malformed.into(),
            }
        }
    }

    /// Tells the client to send its body.
    async fn send_go_ahead(&mut self) -> std::io::Result<()> {
        tokio::select! {
            sent = self.socket.write(b"HTTP/1.1 100 Continue\r\n\r\n") => sent,
            () = self.lease.ended() => Err(std::io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Resolves when an idle connection has to be closed because the instance drains.
///
/// The first request of a newly accepted connection may still be on its way, or be in the socket buffer without having
/// been reported as readable. Closing such connections at once reset every connection taken from the accept queue.
async fn idle_end(drain: &CancellationToken, age: &ConnectionAge) {
    drain.cancelled().await;
    if age.earlier_requests == 0 {
        tokio::time::sleep_until((age.accepted + FIRST_REQUEST_TIMEOUT).into()).await;
    }
}
