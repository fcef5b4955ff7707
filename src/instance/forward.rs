//! Forwards requests, over one hop, from the instance that received them to the shard's primary.

use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::util::Bytes;
use samphiregrade_http::{OutgoingResponse, ResponseBody};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::InstanceState;
use super::callers::{CallerOperation, LocalAnswer, MOVED_EVENT};
use crate::ids::{InstanceRef, ProgramId, ShardId, UpstreamName};
use crate::link::{
    ForwardHead, ForwardedRequest, HandlerReply, PeerReply, PeerRequest, ReplyStream,
};

/// Status with which the receiving instance reports that it is not the primary.
const STATUS_NOT_PRIMARY: u16 = 421;

/// Time by which the wait for a forwarded response exceeds the wait at the primary.
const FORWARD_MARGIN: Duration = Duration::from_secs(5);

/// Timeout of the notification of a hold to its program's primary.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// Capacity of the queue of chunks of one body.
const BODY_QUEUE: usize = 64;

impl InstanceState {
    /// Sends a request to a shard's primary; returns `None` if that instance is not the primary or is unreachable.
    ///
    /// Every request has an idempotency key, so resending it after a broken link is always safe.
    pub(super) async fn forward(
        &self,
        shard: &ShardId,
        primary: &InstanceRef,
        request: ForwardedRequest,
    ) -> Option<OutgoingResponse> {
        let wait = Duration::from_secs(self.settings.limits.wait_seconds) + FORWARD_MARGIN;
        self.forwarded_requests.fetch_add(1, Ordering::Relaxed);
        tokio::select! {
            response = self.send_to_primary(primary, request) => response,
            () = self.primary_changed(shard, primary) => None,
            () = tokio::time::sleep(wait) => None,
        }
    }

    /// Waits until the map names another primary, after which the previous primary sends no response any more.
    async fn primary_changed(&self, shard: &ShardId, primary: &InstanceRef) {
        let mut maps = self.maps.subscribe();
        loop {
            let placement = self.maps.placement(shard);
            if placement.is_none_or(|placement| placement.primary != *primary) {
                return;
            }
            if maps.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    async fn send_to_primary(
        &self,
        primary: &InstanceRef,
        request: ForwardedRequest,
    ) -> Option<OutgoingResponse> {
        let address = self.peers.view().address(primary)?;
        let message = PeerRequest::Forward(request);
        let mut stream = match self.network.open_stream(address, &message).await {
            Ok(stream) => stream,
            Err(error) => {
                log::debug!("request not forwarded primary={primary} error={error}");
                return None;
            }
        };
        let Some(PeerReply::Forward(head)) = stream.take_head() else {
            return None;
        };
        if head.status == STATUS_NOT_PRIMARY {
            return None;
        }
        if head.streamed {
            return Some(streamed_response(head, stream, self.abort.clone()));
        }
        let mut body = Vec::new();
        while let Some(chunk) = stream.next_chunk().await.ok()? {
            body.extend_from_slice(&chunk);
        }
        Some(OutgoingResponse {
            status: head.status,
            headers: head.headers,
            body: ResponseBody::Full(body.into()),
        })
    }

    /// Serves a forwarded request if this instance is the primary; never forwards it again.
    pub(super) async fn serve_forwarded(&self, request: ForwardedRequest) -> HandlerReply {
        let organisation = request.organisation.clone();
        let response = match CallerOperation::parse(&request) {
            Ok(operation) => match self.handle_locally(&operation, &organisation).await {
                LocalAnswer::Response(response) => response,
                LocalAnswer::NotPrimary => {
                    OutgoingResponse::full(STATUS_NOT_PRIMARY, "text/plain", "")
                }
            },
            Err(refusal) => refusal.response(),
        };
        let mut head = ForwardHead {
            status: response.status,
            headers: response.headers,
            streamed: false,
        };
        match response.body {
            ResponseBody::Stream(chunks) => {
                head.streamed = true;
                HandlerReply::Stream(PeerReply::Forward(head), chunks)
            }
            ResponseBody::Full(body) => {
                let (sender, chunks) = mpsc::channel(1);
                if !body.is_empty() {
                    // The channel has room for the one chunk.
                    let _ = sender.try_send(body);
                }
                HandlerReply::Stream(PeerReply::Forward(head), chunks)
            }
        }
    }
}

fn streamed_response(
    head: ForwardHead,
    stream: ReplyStream,
    abort: CancellationToken,
) -> OutgoingResponse {
    let (sender, chunks) = mpsc::channel(BODY_QUEUE);
    tokio::spawn(async move { relay_chunks(stream, sender, abort).await });
    OutgoingResponse {
        status: head.status,
        headers: head.headers,
        body: ResponseBody::Stream(chunks),
    }
}

/// Relays the events of a primary's stream; each event is one chunk.
async fn relay_chunks(
    mut stream: ReplyStream,
    sender: mpsc::Sender<Bytes>,
    abort: CancellationToken,
) {
    loop {
        let chunk = tokio::select! {
            chunk = stream.next_chunk() => chunk,
            () = sender.closed() => return,
            () = abort.cancelled() => break,
        };
        match chunk {
            Ok(Some(chunk)) => {
                if sender.send(Bytes::from(chunk)).await.is_err() {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                log::info!("forwarded stream interrupted error={error}");
                break;
            }
        }
    }
    // Without this event, the caller would take the end of the body for the end of the response.
    let _ = sender.send(MOVED_EVENT).await;
}

/// Notifies a program's primary that an engine lists a hold for the program.
pub fn forward_hold(
    state: &InstanceState,
    primary: &InstanceRef,
    program: ProgramId,
    upstream: UpstreamName,
) {
    let Some(address) = state.peers.view().address(primary) else {
        return;
    };
    let network = state.network.clone();
    tokio::spawn(async move {
        let request = PeerRequest::AuditHold(program, upstream);
        // If the notification is lost, the next reading of the engine's holds sends it again.
        let _ = network.call(address, &request, HOLD_TIMEOUT).await;
    });
}
