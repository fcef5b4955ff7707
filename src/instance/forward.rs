//! The one hop of a request from the instance that a caller has reached to the shard's primary.

use std::sync::atomic::Ordering;
use std::time::Duration;

use ntex::util::Bytes;
use samphiregrade_http::{OutgoingResponse, ResponseBody};
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::InstanceState;
use super::callers::{CallerOperation, LocalAnswer, MOVED_EVENT};
use crate::ids::{InstanceRef, ProgramId, ShardId, UpstreamName};
use crate::link::{ForwardHead, ForwardedRequest, PeerAnswer, PeerReply, PeerRequest, ReplyStream};

/// Status by which the second instance tells that it is not the primary.
const STATUS_MOVED: u16 = 421;

/// Time by which the wait for a forwarded answer exceeds the wait at the primary.
const FORWARD_MARGIN: Duration = Duration::from_secs(5);

/// Longest wait for a peer to take the word of a hold.
const HOLD_TIMEOUT: Duration = Duration::from_secs(1);

/// Chunks of a body that may wait for their reader.
const BODY_QUEUE: usize = 64;

impl InstanceState {
    /// Sends a request to a shard's primary; `None` where that is not it, or can't be reached.
    ///
    /// Every request has a key, so that sending it again after a broken link is always right.
    pub(super) async fn forward(
        &self,
        shard: &ShardId,
        primary: &InstanceRef,
        request: ForwardedRequest,
    ) -> Option<OutgoingResponse> {
        let wait = Duration::from_secs(self.settings.limits.wait_seconds) + FORWARD_MARGIN;
        self.forwarded_requests.fetch_add(1, Ordering::Relaxed);
        tokio::select! {
            response = self.ask_primary(primary, request) => response,
            () = self.primary_changed(shard, primary) => None,
            () = tokio::time::sleep(wait) => None,
        }
    }

    /// Waits until the map names another primary: the answer of this one will not come any more.
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

    async fn ask_primary(
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
        if head.status == STATUS_MOVED {
            return None;
        }
        if head.streamed {
            return Some(streamed_response(head, stream, self.cut.clone()));
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

    /// Answers a forwarded request, as primary only.
    pub(super) async fn serve_forwarded(&self, request: ForwardedRequest) -> PeerAnswer {
        let organisation = request.organisation.clone();
        let response = match CallerOperation::parse(&request) {
            Ok(operation) => match self.answer_locally(&operation, &organisation).await {
                LocalAnswer::Response(response) => response,
                LocalAnswer::NotPrimary => OutgoingResponse::full(STATUS_MOVED, "text/plain", ""),
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
                PeerAnswer::Stream(PeerReply::Forward(head), chunks)
            }
            ResponseBody::Full(body) => {
                let (sender, chunks) = mpsc::channel(1);
                if !body.is_empty() {
                    // The channel has room for the one chunk.
                    let _ = sender.try_send(body);
                }
                PeerAnswer::Stream(PeerReply::Forward(head), chunks)
            }
        }
    }
}

fn streamed_response(
    head: ForwardHead,
    stream: ReplyStream,
    cut: CancellationToken,
) -> OutgoingResponse {
    let (sender, chunks) = mpsc::channel(BODY_QUEUE);
    tokio::spawn(async move { relay_chunks(stream, sender, cut).await });
    OutgoingResponse {
        status: head.status,
        headers: head.headers,
        body: ResponseBody::Stream(chunks),
    }
}

/// Hands on the events of a primary's stream, each of which is one chunk.
async fn relay_chunks(
    mut stream: ReplyStream,
    sender: mpsc::Sender<Bytes>,
    cut: CancellationToken,
) {
    loop {
        let chunk = tokio::select! {
            chunk = stream.next_chunk() => chunk,
            () = sender.closed() => return,
            () = cut.cancelled() => break,
        };
        match chunk {
            Ok(Some(chunk)) => {
                if sender.send(Bytes::from(chunk)).await.is_err() {
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                log::info!("forwarded stream broke off error={error}");
                break;
            }
        }
    }
    // Without this the end of the body would look like the end of the answer.
    let _ = sender.send(MOVED_EVENT).await;
}

/// Tells a program's primary that an engine lists a hold for it.
pub fn pass_hold(
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
        // A lost word is told again with the next reading of the engine's holds.
        let _ = network.call(address, &request, HOLD_TIMEOUT).await;
    });
}
