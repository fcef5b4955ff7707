//! Composes the responses to calls: complete, streamed, resumed or fetched later.

use std::sync::Arc;
use std::time::Duration;

use ntex::util::Bytes;
use samphiregrade_http::OutgoingResponse;
use serde::Serialize;
use serde_json::json;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::LocalAnswer;
use crate::contract::{Refusal, RefusalKind};
use crate::ids::{ProgramId, SequenceNumber};
use crate::instance::InstanceState;
use crate::program::CallOutcome;
use crate::shard::{CallReply, StreamBuffer, StreamRead, StreamReader};

/// Capacity of the queue of events of one stream.
const STREAM_QUEUE: usize = 64;

/// Last event of a stream that continues on another instance: the caller has to send its request again.
pub const MOVED_EVENT: Bytes = Bytes::from_static(b"event: moved\ndata: {}\n\n");

/// Event after which the text starts over at offset 0.
const RESTART_EVENT: Bytes = Bytes::from_static(b"event: restart\ndata: {}\n\n");

/// Value of `Retry-After` for a call that outlasts the wait of its request.
const LONG_ANSWER_RETRY: Duration = Duration::from_millis(200);

/// Composes a JSON response; without a reply, the primary is another instance.
pub fn json_or_not_primary<Body>(reply: Option<Result<Body, Refusal>>) -> LocalAnswer
where
    Body: Serialize,
{
    match reply {
        Some(Ok(body)) => LocalAnswer::Response(OutgoingResponse::json(200, &body)),
        Some(Err(refusal)) => LocalAnswer::Response(refusal.response()),
        None => LocalAnswer::NotPrimary,
    }
}

impl InstanceState {
    /// Responds to a call: once its outcome is stored, or streamed as the text arrives.
    pub async fn respond_to_call(
        &self,
        program: &ProgramId,
        sequence: SequenceNumber,
        offset: Option<usize>,
        reply: CallReply,
    ) -> LocalAnswer {
        match (reply, offset) {
            (CallReply::Stream(stream), None) => {
                self.wait_for_outcome(program, sequence, &stream).await
            }
            (reply, offset) => self.respond_late(program, sequence, offset, reply),
        }
    }

    async fn wait_for_outcome(
        &self,
        program: &ProgramId,
        sequence: SequenceNumber,
        stream: &Arc<StreamBuffer>,
    ) -> LocalAnswer {
        let reader = stream.reader();
        let wait = Duration::from_secs(self.settings.limits.wait_seconds);
        match tokio::time::timeout(wait, reader.outcome()).await {
            Ok(Some(outcome)) => LocalAnswer::Response(outcome.response(program, sequence)),
            Ok(None) => LocalAnswer::NotPrimary,
            Err(_) => {
                let detail = "the call is still under way";
                let refusal = Refusal::unknown(RefusalKind::UpstreamTimeout, detail);
                LocalAnswer::Response(refusal.with_retry_after(LONG_ANSWER_RETRY).response())
            }
        }
    }

    /// Responds to a request for the outcome of an earlier call.
    pub fn respond_late(
        &self,
        program: &ProgramId,
        sequence: SequenceNumber,
        offset: Option<usize>,
        reply: CallReply,
    ) -> LocalAnswer {
        let response = match (reply, offset) {
            (CallReply::NotPrimary, _) => return LocalAnswer::NotPrimary,
            (CallReply::Refused(refusal), _) => refusal.response(),
            (CallReply::Outcome(outcome), None) => outcome.response(program, sequence),
            (CallReply::Outcome(outcome), Some(offset)) => {
                stream_outcome(&outcome, program, sequence, offset)
            }
            (CallReply::Stream(stream), Some(offset)) => self.stream_text(&stream, offset),
            (CallReply::Stream(_), None) => {
                OutgoingResponse::json(202, &json!({"status": "running"}))
                    .with_header("retry-after", "1")
            }
        };
        LocalAnswer::Response(response)
    }

    /// Streams the text of a running call from an offset.
    fn stream_text(&self, stream: &Arc<StreamBuffer>, offset: usize) -> OutgoingResponse {
        let (sender, events) = mpsc::channel(STREAM_QUEUE);
        let reader = stream.reader();
        let abort = self.abort.clone();
        tokio::spawn(async move { relay_text(reader, offset, sender, abort).await });
        OutgoingResponse::stream(200, "text/event-stream", events)
    }
}

async fn relay_text(
    reader: StreamReader,
    mut offset: usize,
    sender: mpsc::Sender<Bytes>,
    abort: CancellationToken,
) {
    loop {
        let read = tokio::select! {
            read = reader.read(offset) => read,
            () = abort.cancelled() => StreamRead::Closed,
            () = sender.closed() => return,
        };
        let event = match read {
            StreamRead::Text(text) => {
                offset += text.len();
                text_event(&text, offset)
            }
            StreamRead::Restarted => {
                offset = 0;
                RESTART_EVENT
            }
            StreamRead::Finished(outcome) => {
                // The stream ends here, whether or not the caller still reads it.
                let _ = sender.send(last_event(&outcome)).await;
                return;
            }
            StreamRead::Closed => {
                let _ = sender.send(MOVED_EVENT).await;
                return;
            }
        };
        if sender.send(event).await.is_err() {
            return;
        }
    }
}

/// Streams a stored outcome from an offset; from the start if the text has no such offset, since its reader has read
/// another text.
fn stream_outcome(
    outcome: &CallOutcome,
    program: &ProgramId,
    sequence: SequenceNumber,
    offset: usize,
) -> OutgoingResponse {
    let CallOutcome::Answer { text, .. } = outcome else {
        return outcome.response(program, sequence);
    };
    let mut body = Vec::new();
    let rest = text.get(offset..).unwrap_or_else(|| {
        body.extend_from_slice(&RESTART_EVENT);
        text
    });
    if !rest.is_empty() {
        body.extend_from_slice(&text_event(rest, text.len()));
    }
    body.extend_from_slice(&last_event(outcome));
    OutgoingResponse::full(200, "text/event-stream", body)
}

fn text_event(text: &str, offset: usize) -> Bytes {
    let data = json!({"choices": [{"index": 0, "delta": {"content": text}}]});
    Bytes::from(format!("id: {offset}\ndata: {data}\n\n"))
}

fn last_event(outcome: &CallOutcome) -> Bytes {
    match outcome {
        CallOutcome::Answer { usage, .. } => {
            let data = json!({
                "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
                "usage": usage,
            });
            Bytes::from(format!("data: {data}\n\ndata: [DONE]\n\n"))
        }
        CallOutcome::Reply { body, .. } => Bytes::from(format!("data: {body}\n\ndata: [DONE]\n\n")),
        CallOutcome::Refused(refusal) => {
            let data = json!({
                "type": refusal.kind.name(), "title": refusal.detail,
                "ran": refusal.ran, "remedy": refusal.kind.remedy(),
            });
            Bytes::from(format!("event: refusal\ndata: {data}\n\n"))
        }
    }
}
