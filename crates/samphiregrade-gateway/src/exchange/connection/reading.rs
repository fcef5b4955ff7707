//! Reading a request off a client's connection, within limits of size and time.

use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use samphiregrade_http::wire::{BodyDecoder, BodyPiece, HeadError, RequestHead};
use tokio_util::sync::CancellationToken;

use super::ClientConnection;
use crate::exchange::outcome::ConnectionAge;
use crate::exchange::refusal::RefusalReason;
use crate::model::ClientLimits;

/// Time for the first request on a new connection of an instance that takes nothing new: a round trip, and a wait for the
/// processor of a small machine.
const FIRST_REQUEST_TIME: Duration = Duration::from_millis(250);

/// What became of waiting for a head.
pub(super) enum HeadEnd {
    Head(RequestHead),
    Refused(RefusalReason),
    Closed,
}

/// What became of reading a body.
pub(super) enum BodyEnd {
    Whole(Bytes),
    Refused(RefusalReason),
    Gone,
}

/// What became of waiting for more of a request.
enum MoreRead {
    Some,
    Refused(RefusalReason),
    Gone,
}

impl ClientConnection {
    /// Waits for the next request's head.
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
                    log::info!("a client's head is malformed: {error}");
                    return HeadEnd::Refused(RefusalReason::Malformed);
                }
            }
            match self.read_more(due).await {
                MoreRead::Some => {}
                MoreRead::Refused(reason) => return HeadEnd::Refused(reason),
                MoreRead::Gone => return HeadEnd::Closed,
            }
        }
    }

    /// Reads more of a request that has begun.
    async fn read_more(&mut self, due: Instant) -> MoreRead {
        tokio::select! {
            biased;
            read = tokio::time::timeout_at(due.into(), self.socket.fill()) => match read {
                Err(_) => MoreRead::Refused(RefusalReason::TooSlow),
                Ok(Ok(count)) if count > 0 => MoreRead::Some,
                Ok(_) => MoreRead::Gone,
            },
            () = self.tokens.abort.cancelled() => MoreRead::Refused(RefusalReason::Stopping),
        }
    }

    /// Reads the rest of a request.
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
            return BodyEnd::Gone;
        }
        let due = Instant::now() + limits.idle_timeout;
        let mut decoder = BodyDecoder::new(framing);
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        loop {
            match decoder.take(&mut self.socket.buffer) {
                Ok(BodyPiece::End) if rest.is_empty() => {
                    return BodyEnd::Whole(first.unwrap_or_default());
                }
                Ok(BodyPiece::End) => return BodyEnd::Whole(rest.freeze()),
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
                    MoreRead::Some => {}
                    MoreRead::Refused(reason) => return BodyEnd::Refused(reason),
                    MoreRead::Gone => return BodyEnd::Gone,
                },
                Err(_) => return BodyEnd::Refused(RefusalReason::Malformed),
            }
        }
    }
}

/// Resolves when a connection on which no request has begun is to be closed since nothing new is taken.
///
/// What was accepted last has its first request on the way, or in the system's buffer without being known here yet: closed
/// at once, all connections that waited in the queue were reset.
async fn idle_end(closing: &CancellationToken, age: &ConnectionAge) {
    closing.cancelled().await;
    if age.earlier_requests == 0 {
        tokio::time::sleep_until((age.accepted + FIRST_REQUEST_TIME).into()).await;
    }
}
