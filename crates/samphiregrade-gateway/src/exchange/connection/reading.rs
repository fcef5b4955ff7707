//! Reads requests from a client connection, within limits of size and time.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use samphiregrade_http::wire::{BodyDecoder, BodyPiece, HeadError, RequestHead};
use tokio_util::sync::CancellationToken;

use super::ClientConnection;
use crate::exchange::outcome::ConnectionAge;
use crate::exchange::refusal::RefusalReason;
use crate::model::ClientLimits;

/// Time that a new connection of a draining instance has for its first request: a round trip, and a scheduling delay on
/// a small machine.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// Result of reading the head of a request.
pub(super) enum HeadEnd {
    Head(RequestHead),
    Refused(RefusalReason),
    Closed,
}

/// Result of reading the body of a request.
pub(super) enum BodyEnd {
    Complete(Bytes),
    Refused(RefusalReason),
    Disconnected,
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
        if self.socket.buffer.is_empty() {
            let read = tokio::select! {
                biased;
                read = tokio::time::timeout(limits.idle_timeout, self.socket.fill()) => read,
                () = idle_end(&self.tokens.drain, &self.age) => return HeadEnd::Closed,
            };
            if !matches!(read, Ok(Ok(count)) if count > 0) {
                return HeadEnd::Closed;
            }
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
                ReadResult::Refused(reason) => return HeadEnd::Refused(reason),
                ReadResult::Disconnected => return HeadEnd::Closed,
            }
        }
    }

    /// Reads more bytes of a request whose first bytes have arrived.
    async fn read_more(&mut self, due: Instant) -> ReadResult {
        tokio::select! {
            biased;
            read = tokio::time::timeout_at(due.into(), self.socket.fill()) => match read {
                Err(_) => ReadResult::Refused(RefusalReason::TooSlow),
                Ok(Ok(count)) if count > 0 => ReadResult::Some,
                Ok(_) => ReadResult::Disconnected,
            },
            () = self.tokens.abort.cancelled() => ReadResult::Refused(RefusalReason::Stopping),
        }
    }

    /// Reads the body of a request.
    pub(super) async fn read_body(&mut self, head: &RequestHead, limits: &ClientLimits) -> BodyEnd {
        let Ok(framing) = head.framing() else {
            return BodyEnd::Refused(RefusalReason::Malformed);
        };
        if head.fields.lists("expect", "100-continue")
            && self
                .socket
                .write(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return BodyEnd::Disconnected;
        }
        let due = Instant::now() + limits.idle_timeout;
        let mut decoder = BodyDecoder::new(framing);
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        loop {
            match decoder.take(&mut self.socket.buffer) {
                Ok(BodyPiece::End) if rest.is_empty() => {
                    return BodyEnd::Complete(first.unwrap_or_default());
                }
                Ok(BodyPiece::End) => return BodyEnd::Complete(rest.freeze()),
                Ok(BodyPiece::Data(data)) => {
                    let length = first.as_ref().map_or(0, Bytes::len).max(rest.len()) + data.len();
                    if length > limits.body_bytes {
                        return BodyEnd::Refused(RefusalReason::BodyTooLarge);
                    }
                    match first.take() {
                        None if rest.is_empty() => first = Some(data),
                        None => rest.extend_from_slice(&data),
                        Some(earlier) => {
                            rest.extend_from_slice(&earlier);
                            rest.extend_from_slice(&data);
                        }
                    }
                }
                Ok(BodyPiece::More) => match self.read_more(due).await {
                    ReadResult::Some => {}
                    ReadResult::Refused(reason) => return BodyEnd::Refused(reason),
                    ReadResult::Disconnected => return BodyEnd::Disconnected,
                },
                Err(_) => return BodyEnd::Refused(RefusalReason::Malformed),
            }
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
