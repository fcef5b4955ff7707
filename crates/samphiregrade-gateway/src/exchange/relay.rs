//! Relays a response to the client as it arrives, and withholds its end until the turn is durable.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use samphiregrade_http::MemoryLease;
use samphiregrade_http::wire::{
    BodyFraming, BodyPiece, LAST_CHUNK, ResponseHead, WireSocket, append_chunk,
};

use tokio_util::sync::CancellationToken;

use super::attempt::LiveResponse;
use super::broken::{BreakStage, record_break};
use super::client_memory::stored_copies;
use super::context::EntryContext;
use super::events::EventParser;
use super::outcome::RequestRecord;
use super::refusal::RefusalReason;
use super::request::RoutedRequest;
use super::turn::TurnPlan;
use crate::model::{RequestKind, UpstreamRecord};
use crate::upstream::{AnsweredRequest, BreakCause, Outcome, SampleSource, SpeedSample, run_work};

/// Time without data after which a response is abandoned if the network path to its upstream was found to be broken: a
/// lost packet is resent within this time, and callers wait about two seconds before they disconnect.
const BROKEN_PATH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that pending commits get when the remaining requests are aborted: only the ends of their responses are missing,
/// and a commit takes a few milliseconds. The time is short compared with the time for writing the last responses.
const FINAL_COMMIT_TIME: Duration = Duration::from_millis(150);

/// Maximum size of the data of a turn that is retained, in bytes: thousands of tokens. An entry holds it until the turn is
/// durable.
const RETAINED_LIMIT: usize = 1 << 20;

/// Description of a stream whose data exceeds the limit.
const TOO_LONG_TO_RETAIN: &str = "the stream is too long to be retained";

/// Description of a stream that ended inside an event.
const ENDED_INSIDE_EVENT: &str = "the stream ended inside an event";

/// Description of a stream whose connection ended before its first event: nothing shows that it is complete.
const ENDED_WITHOUT_EVENT: &str = "the connection ended before the first event of the stream";

/// How the response to the client marks the end of the body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClientFraming {
    AsIs,
    Chunked,
    Close,
}

/// How a relayed response ended.
#[derive(Clone, Debug)]
pub enum RelayEnd {
    /// The complete response was sent to the client.
    Complete {
        /// Status of the response.
        status: u16,
        /// Tokens sent to the client.
        spent: u32,
    },
    /// The response failed before any of it was sent to the client.
    NothingSent {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Description of the failure.
        detail: String,
    },
    /// The response failed partway; the client can detect that it is incomplete.
    Truncated {
        /// Outcome for the log.
        outcome: &'static str,
        /// Description of the failure.
        detail: String,
        /// Tokens sent to the client.
        spent: u32,
    },
}

/// Why the relay stopped.
enum RelayStop {
    Upstream(String),
    /// The network path to the upstream is broken.
    Path,
    Client,
    /// The client did not read the response in time, or as the slowest one while too much memory was occupied.
    SlowClient,
    Deadline,
    NotDurable,
    /// The instance is stopping.
    Stopping,
}

/// The client of a relayed response.
pub struct RelayClient<'connection> {
    /// Connection of the client.
    pub socket: &'connection mut WireSocket,
    /// What the connection holds of the clients' memory.
    pub lease: &'connection mut MemoryLease,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
    /// Aborts the requests in progress when cancelled.
    pub abort: &'connection CancellationToken,
}

struct Relay<'exchange> {
    context: &'exchange EntryContext,
    client: RelayClient<'exchange>,
    request: &'exchange RoutedRequest,
    turn: Option<&'exchange TurnPlan>,
    /// Parser of the events; `None` if the response is not a stream of events.
    parser: Option<EventParser>,
    framing: ClientFraming,
    started: bool,
    /// When the last part of the response arrived; what follows depends on the keepers and the client only.
    body_ended: Option<Instant>,
    /// When the first part of the body arrived.
    body_began: Option<Instant>,
}

/// Relays a response to the client.
pub async fn relay_response(
    context: &EntryContext,
    client: RelayClient<'_>,
    request: &RoutedRequest,
    turn: Option<&TurnPlan>,
    mut response: LiveResponse,
    record: &mut RequestRecord,
) -> RelayEnd {
    let uncached = record.uncached;
    record.framing = Some(response.framing.name());
    let retained = turn.is_some_and(|plan| plan.retained) && response.head.status == 200;
    let framing = match response.framing {
        _ if request.head.minor_version == 0 => ClientFraming::Close,
        BodyFraming::Empty | BodyFraming::Length(_) if !retained => ClientFraming::AsIs,
        _ => ClientFraming::Chunked,
    };
    let status = response.head.status;
    if framing == ClientFraming::Close {
        // Only an orderly close of the connection marks the response as complete. Any earlier end is a reset, including
        // an exit of the process or a panic of the task.
        client.socket.reset_on_close();
    }
    let mut relay = Relay {
        context,
        client,
        request,
        turn,
        parser: is_event_stream(request, &response.head).then(|| EventParser::new(retained)),
        framing,
        started: false,
        body_began: None,
        body_ended: None,
    };
    let result = relay.run(&mut response, retained).await;
    record.open_event = relay.is_inside_event();
    context
        .metrics
        .count_response(response.framing.name(), relay.end_name(&result));
    if let Some(outcome) = upstream_outcome(&result, &response) {
        let upstream = response.guard.upstream().start_tag;
        context.outcomes.note(upstream, outcome, Instant::now());
    }
    // Another server may have the address of an upstream that has ended.
    let has_own_result = relay.body_ended.is_some() && response.names_request;
    match &result {
        Ok(()) | Err(RelayStop::NotDurable) if !has_own_result => request.tries.abandon(),
        // A failing upstream may be ending.
        Ok(()) if status >= 500 => request.tries.record_failure(),
        Ok(()) if status < 300 => request.tries.complete(),
        Ok(()) | Err(RelayStop::NotDurable) => request.tries.settle(),
        Err(RelayStop::Upstream(_)) => {
            let upstream = response.guard.upstream();
            let stage = BreakStage::InResponse;
            Box::pin(record_break(context, request, record, upstream, stage)).await;
        }
        Err(RelayStop::Path) => {
            let ending = request.tries.end(BreakCause::Unreachable, Instant::now());
            Box::pin(ending).await;
        }
        Err(
            RelayStop::Client | RelayStop::SlowClient | RelayStop::Deadline | RelayStop::Stopping,
        ) if has_own_result && status < 500 => request.tries.settle(),
        Err(
            RelayStop::Client | RelayStop::SlowClient | RelayStop::Deadline | RelayStop::Stopping,
        ) => request.tries.abandon(),
    }
    let spent = relay.spent();
    if status == 200 && (result.is_ok() || spent > 0) {
        // Without a plan, the tokens of a response are not counted.
        let usage = request.metadata.usage;
        let expected = usage.map_or(0, |usage| usage.most_output);
        let generated = turn.map_or(expected, |_| spent);
        let work = run_work(&request.times, uncached, generated);
        response.guard.settle(work);
    }
    if result.is_ok() && status == 200 {
        let answered = AnsweredRequest {
            uncached,
            generated_tokens: spent,
            time_to_head: response.time_to_head,
            total: response.sent_at.elapsed(),
        };
        context.record_times(&request.service, &answered);
        if let Some(sample) = relay.speed_sample(&response) {
            context.speeds.note(sample, Instant::now());
        }
    }
    let end = match result {
        Ok(()) => {
            reuse_connection(response);
            RelayEnd::Complete { status, spent }
        }
        Err(stop) => relay.describe_end(stop, &response, spent),
    };
    if framing == ClientFraming::Close && !matches!(end, RelayEnd::Truncated { .. }) {
        relay.client.socket.clear_reset_on_close();
    }
    end
}

impl Relay<'_> {
    /// Returns the tokens of all events of which the client may have received a part.
    fn spent(&self) -> u32 {
        let per_event = self.turn.map_or(0, |plan| plan.tokens_per_event);
        let events = self.parser.as_ref().map_or(0, EventParser::started_events);
        events.saturating_mul(per_event)
    }

    /// Returns whether the last event that the upstream has sent is incomplete.
    fn is_inside_event(&self) -> bool {
        self.parser
            .as_ref()
            .is_some_and(EventParser::is_inside_event)
    }

    /// Returns the name of the response's end, for the metrics.
    fn end_name(&self, result: &Result<(), RelayStop>) -> &'static str {
        match result {
            Ok(()) => "complete",
            Err(RelayStop::Upstream(_)) if self.is_inside_event() => "open-event",
            Err(RelayStop::Upstream(_)) => "broken",
            Err(_) => "abandoned",
        }
    }

    /// Returns what the complete response says about the speed of its upstream: the time of work that the upstream reports
    /// or, if it reports none and speeds are learned from responses, the time of this response.
    fn speed_sample(&self, response: &LiveResponse) -> Option<SpeedSample> {
        let upstream = response.guard.upstream().start_tag;
        let service = &self.request.service;
        if let Some(percent) = response.load.and_then(|load| load.work_time_percent) {
            return SpeedSample::of_report(upstream, &service.name, percent);
        }
        if !self.context.learns_speeds {
            return None;
        }
        let source = SampleSource {
            upstream,
            service: &service.name,
            // Requests that wait at an engine don't slow down the running ones.
            load: response.load.map_or(0, |load| match service.engine {
                Some(_) => load.running,
                None => load.running.saturating_add(load.waiting),
            }),
            contention: 1.0,
        };
        let ended = self.body_ended?;
        if service.engine.is_some() {
            let generation = ended.saturating_duration_since(self.body_began?);
            let per_event = self.turn.map_or(0, |plan| plan.tokens_per_event);
            let tokens = self.spent().saturating_sub(per_event);
            return SpeedSample::of_engine(&source, generation, tokens);
        }
        let total = ended.saturating_duration_since(response.sent_at);
        SpeedSample::of_plain(&source, &self.request.route.name, total)
    }

    async fn run(&mut self, response: &mut LiveResponse, retained: bool) -> Result<(), RelayStop> {
        let mut output = BytesMut::with_capacity(1024);
        self.write_head(&response.head, &mut output);
        loop {
            let ended = self.transfer_body(response, &mut output)?;
            if ended {
                self.body_ended = Some(Instant::now());
                self.check_stream_end(response.framing, &mut output).await?;
            }
            if ended && retained {
                self.flush(&mut output).await?;
                self.commit(&response.guard.upstream().record).await?;
            }
            if ended {
                if self.framing == ClientFraming::Chunked {
                    output.put_slice(LAST_CHUNK);
                }
                return self.flush(&mut output).await;
            }
            if self.has_body_output(&output) {
                self.flush(&mut output).await?;
            }
            self.check_interrupted()?;
            let count = tokio::select! {
                biased;
                read = response.socket.fill() => read.map_err(|error| RelayStop::Upstream(error.to_string()))?,
                () = self.client.socket.wait_for_hangup() => return Err(RelayStop::Client),
                () = self.client.abort.cancelled() => return Err(RelayStop::Stopping),
                () = tokio::time::sleep_until(self.request.due.into()) => return Err(RelayStop::Deadline),
                () = response.guard.upstream().wait_until_unreachable(BROKEN_PATH_TIMEOUT) => return Err(RelayStop::Path),
            };
            response
                .guard
                .upstream()
                .record_domain_response(Instant::now());
            if count == 0 {
                let closed = response.decoder.close();
                closed.map_err(|error| RelayStop::Upstream(error.to_string()))?;
            }
        }
    }

    /// Fails if the relay has to stop: an upstream that sends without a pause must not keep that from being noticed. A client that
    /// has left is noticed when it is written to.
    fn check_interrupted(&self) -> Result<(), RelayStop> {
        if self.client.abort.is_cancelled() {
            return Err(RelayStop::Stopping);
        }
        if Instant::now() >= self.request.due {
            return Err(RelayStop::Deadline);
        }
        Ok(())
    }

    /// Fails if the body has ended although its stream has not, after sending the events that have arrived.
    ///
    /// The framing of a body tells where its bytes end. An upstream that breaks off may still close its connection in an
    /// orderly way or send the last chunk.
    async fn check_stream_end(
        &mut self,
        framing: BodyFraming,
        output: &mut BytesMut,
    ) -> Result<(), RelayStop> {
        let Some(parser) = &self.parser else {
            return Ok(());
        };
        if parser.is_inside_event() {
            if self.framing == ClientFraming::AsIs {
                // With its last byte, the body would have the announced length and look complete.
                output.truncate(output.len().saturating_sub(1));
            }
            self.flush(output).await?;
            return Err(RelayStop::Upstream(ENDED_INSIDE_EVENT.to_owned()));
        }
        if framing == BodyFraming::UntilClose && parser.complete_events() == 0 {
            return Err(RelayStop::Upstream(ENDED_WITHOUT_EVENT.to_owned()));
        }
        Ok(())
    }

    /// Returns whether a part of the body is ready to be written; the head is not written without one.
    fn has_body_output(&self, output: &BytesMut) -> bool {
        self.started && !output.is_empty()
    }

    /// Moves received parts of the body to the output; returns whether the body is complete.
    fn transfer_body(
        &mut self,
        response: &mut LiveResponse,
        output: &mut BytesMut,
    ) -> Result<bool, RelayStop> {
        loop {
            let piece = response.decoder.take(&mut response.socket.buffer);
            match piece.map_err(|error| RelayStop::Upstream(error.to_string()))? {
                BodyPiece::End => return Ok(true),
                BodyPiece::More => return Ok(false),
                BodyPiece::Data(data) => {
                    self.started = true;
                    self.body_began.get_or_insert_with(Instant::now);
                    if let Some(parser) = &mut self.parser {
                        parser.read(&data);
                        if parser.kept_bytes() > RETAINED_LIMIT {
                            return Err(RelayStop::Upstream(TOO_LONG_TO_RETAIN.to_owned()));
                        }
                    }
                    match self.framing {
                        ClientFraming::Chunked => append_chunk(output, &data),
                        ClientFraming::AsIs | ClientFraming::Close => output.put_slice(&data),
                    }
                }
            }
        }
    }

    async fn flush(&mut self, output: &mut BytesMut) -> Result<(), RelayStop> {
        if output.is_empty() {
            return Ok(());
        }
        self.started = true;
        let bytes: Bytes = output.split().freeze();
        let writing = self.client.socket.write(&bytes);
        tokio::select! {
            biased;
            written = writing => written.map_err(|_| RelayStop::Client),
            () = self.client.abort.cancelled() => Err(RelayStop::Stopping),
            () = tokio::time::sleep_until(self.request.due.into()) => Err(RelayStop::SlowClient),
            () = self.context.slow_readers.until_given_up(self.client.socket, bytes.len()) => Err(RelayStop::SlowClient),
        }
    }

    async fn commit(&mut self, upstream: &UpstreamRecord) -> Result<(), RelayStop> {
        let Some(plan) = self.turn else {
            return Ok(());
        };
        let spent = self.spent();
        let output = self.parser.as_mut().map(EventParser::take_output);
        let output = output.unwrap_or_default();
        // A keeper that is slow gets its copy after the response has ended.
        let hold = Arc::new(self.client.lease.split(stored_copies(plan.input.len())));
        let mut chain = BytesMut::with_capacity(self.request.body.len() + output.len());
        chain.put_slice(&self.request.body);
        chain.put_slice(&output);
        tokio::select! {
            biased;
            committed = plan.commit(self.context, output, spent, upstream, hold) => {
                committed.map_err(|_| RelayStop::NotDurable)?;
            }
            () = final_commit_timeout(self.client.abort) => return Err(RelayStop::Stopping),
            () = tokio::time::sleep_until(self.request.due.into()) => return Err(RelayStop::Deadline),
        }
        self.context.turns.insert(&plan.turn, chain.freeze());
        Ok(())
    }

    fn write_head(&self, head: &ResponseHead, output: &mut BytesMut) {
        output.put_slice(format!("HTTP/1.1 {} ", head.status).as_bytes());
        output.put_slice(&head.reason);
        output.put_slice(b"\r\n");
        let as_is = self.framing == ClientFraming::AsIs;
        head.fields.write_if(output, |field| {
            let length = field.name.eq_ignore_ascii_case(b"content-length");
            !head.fields.is_hop_by_hop(field) && (as_is || !length)
        });
        if self.framing == ClientFraming::Chunked {
            output.put_slice(b"Transfer-Encoding: chunked\r\n");
        }
        if !self.client.keep_alive {
            output.put_slice(b"Connection: close\r\n");
        }
        output.put_slice(b"\r\n");
    }

    fn describe_end(&self, stop: RelayStop, response: &LiveResponse, spent: u32) -> RelayEnd {
        let upstream = response.guard.upstream();
        let (outcome, detail, reason) = match stop {
            RelayStop::Upstream(error) => {
                upstream.record_failure(Instant::now(), false);
                let detail = format!("{} broke off: {error}", upstream.record.id);
                ("upstream-broke-off", detail, RefusalReason::Broken)
            }
            RelayStop::Path => {
                let detail = format!("the network path to {} is broken", upstream.record.id);
                ("upstream-unreachable", detail, RefusalReason::Broken)
            }
            RelayStop::Client => ("client-gone", String::new(), RefusalReason::Broken),
            RelayStop::SlowClient => {
                let detail = "the client did not read the response".to_owned();
                ("client-slow", detail, RefusalReason::Broken)
            }
            RelayStop::Deadline => {
                let detail = format!("{} did not finish in time", upstream.record.id);
                ("late", detail, RefusalReason::Late)
            }
            RelayStop::NotDurable => {
                let detail = "too few keepers acknowledged the turn".to_owned();
                ("not-durable", detail, RefusalReason::Broken)
            }
            RelayStop::Stopping => {
                let detail = "the instance is stopping".to_owned();
                ("stopped", detail, RefusalReason::Broken)
            }
        };
        if !self.started && outcome != "client-gone" {
            return RelayEnd::NothingSent { reason, detail };
        }
        RelayEnd::Truncated {
            outcome,
            detail,
            spent,
        }
    }
}

/// Returns whether a response is a stream of events: every one of a streaming route is, and any other that says so.
fn is_event_stream(request: &RoutedRequest, head: &ResponseHead) -> bool {
    let media_type = head.fields.text("content-type");
    let is_stream = request.route.kind == RequestKind::Streaming;
    head.status == 200 && (is_stream || media_type.is_some_and(is_event_media_type))
}

fn is_event_media_type(media_type: &str) -> bool {
    let name = media_type.split(';').next().unwrap_or_default();
    name.trim().eq_ignore_ascii_case("text/event-stream")
}

/// Resolves when the instance, while stopping, can no longer wait for pending commits.
async fn final_commit_timeout(abort: &CancellationToken) {
    abort.cancelled().await;
    tokio::time::sleep(FINAL_COMMIT_TIME).await;
}

/// Returns what the response says about the health of its upstream; `None` if it ended for an unrelated reason.
fn upstream_outcome(result: &Result<(), RelayStop>, response: &LiveResponse) -> Option<Outcome> {
    let failed = response.head.status >= 500;
    match result {
        // The deadline passed while the upstream was working; it may only have been busy.
        Ok(()) if response.head.status == 504 => None,
        Ok(()) if failed => Some(Outcome::Failure),
        Ok(()) if response.is_probe => Some(Outcome::Recovered),
        Ok(()) => Some(Outcome::Success),
        Err(RelayStop::Upstream(_)) => Some(Outcome::Failure),
        Err(
            RelayStop::Path
            | RelayStop::Client
            | RelayStop::SlowClient
            | RelayStop::Deadline
            | RelayStop::NotDurable
            | RelayStop::Stopping,
        ) => None,
    }
}

/// Keeps the connection to the upstream for reuse if no unexpected bytes arrived on it.
fn reuse_connection(response: LiveResponse) {
    if !response.reusable || !response.socket.buffer.is_empty() {
        return;
    }
    let stated_idle = response
        .head
        .idle_seconds()
        .map(std::time::Duration::from_secs);
    let upstream = response.guard.upstream().clone();
    upstream.keep_idle(response.socket, stated_idle, Instant::now());
}
