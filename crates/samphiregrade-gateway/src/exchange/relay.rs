//! Passing an answer on as it comes, and holding its end back until the turn is durable.

use std::time::{Duration, Instant};

use bytes::{BufMut, Bytes, BytesMut};
use samphiregrade_http::wire::{
    BodyFraming, BodyPiece, LAST_CHUNK, ResponseHead, WireSocket, append_chunk,
};

use tokio_util::sync::CancellationToken;

use super::attempt::LiveAnswer;
use super::context::EntryContext;
use super::events::EventParser;
use super::refusal::RefusalReason;
use super::request::RoutedRequest;
use super::turn::TurnPlan;
use crate::model::UpstreamRecord;
use crate::upstream::{AnsweredRequest, Outcome};

/// Silence of an answer after which it is given up where the way to its upstream was found to be cut: a lost packet is
/// sent again within it, and callers wait some two seconds before they leave by themselves.
const SILENT_ON_LOST_PATH: Duration = Duration::from_millis(500);

/// Time that commits under way get when what is left is given up: only the answers' ends are missing, and a commit takes
/// some milliseconds. Short against the time that the last answers get.
const LAST_COMMITS: Duration = Duration::from_millis(150);

/// How the client is told where the body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ClientFraming {
    AsIs,
    Chunked,
    Close,
}

/// How a relayed answer ended.
#[derive(Clone, Debug)]
pub enum RelayEnd {
    /// The client has the whole answer.
    Whole {
        /// Its status.
        status: u16,
        /// Tokens handed out.
        spent: u32,
    },
    /// It broke before the client got any of it.
    NothingSent {
        /// Why.
        reason: RefusalReason,
        /// What went wrong.
        detail: String,
    },
    /// It broke off; the client sees that it isn't whole.
    Cut {
        /// How it ended, for the log.
        outcome: &'static str,
        /// What went wrong.
        detail: String,
        /// Tokens handed out.
        spent: u32,
    },
}

/// Why the relay stopped.
enum Stop {
    Upstream(String),
    /// The way to the upstream is cut.
    Path,
    Client,
    Due,
    NotDurable,
    /// The instance ends.
    Stopping,
}

/// The client of a relayed answer.
pub struct RelayClient<'connection> {
    /// Its connection.
    pub socket: &'connection mut WireSocket,
    /// Whether the connection goes on after the answer.
    pub keep: bool,
    /// Ends what is under way.
    pub abort: &'connection CancellationToken,
}

struct Relay<'exchange> {
    context: &'exchange EntryContext,
    client: RelayClient<'exchange>,
    request: &'exchange RoutedRequest,
    turn: Option<&'exchange TurnPlan>,
    tap: EventParser,
    framing: ClientFraming,
    begun: bool,
}

/// Relays an answer to the client.
pub async fn relay_answer(
    context: &EntryContext,
    client: RelayClient<'_>,
    request: &RoutedRequest,
    turn: Option<&TurnPlan>,
    mut answer: LiveAnswer,
    uncached: u32,
) -> RelayEnd {
    let retained = turn.is_some_and(|plan| plan.retained) && answer.head.status == 200;
    let framing = match answer.framing {
        _ if request.head.minor_version == 0 => ClientFraming::Close,
        BodyFraming::Empty | BodyFraming::Length(_) if !retained => ClientFraming::AsIs,
        _ => ClientFraming::Chunked,
    };
    let status = answer.head.status;
    if framing == ClientFraming::Close {
        // Nothing but the connection's end tells that the answer is whole: until it is, every other end is a reset,
        // also that of a process or of a task that fails.
        client.socket.reset_on_close();
    }
    let mut relay = Relay {
        context,
        client,
        request,
        turn,
        tap: EventParser::new(retained),
        framing,
        begun: false,
    };
    let result = relay.run(&mut answer, retained).await;
    if let Some(outcome) = outcome_of(&result, &answer) {
        let upstream = answer.guard.upstream().start_tag;
        context.outcomes.note(upstream, outcome, Instant::now());
    }
    let spent = relay.spent();
    if result.is_ok() && status == 200 {
        let answered = AnsweredRequest {
            uncached,
            generated_tokens: spent,
            time_to_head: answer.first,
            total: answer.sent.elapsed(),
        };
        context.record_times(&request.service, &answered);
    }
    let end = match result {
        Ok(()) => {
            keep_connection(answer);
            RelayEnd::Whole { status, spent }
        }
        Err(stop) => relay.explain(stop, &answer, spent),
    };
    if framing == ClientFraming::Close && !matches!(end, RelayEnd::Cut { .. }) {
        relay.client.socket.close_in_order();
    }
    end
}

impl Relay<'_> {
    /// Returns the tokens of all events of which the client may have seen something.
    fn spent(&self) -> u32 {
        let per_event = self.turn.map_or(0, |plan| plan.tokens_per_event);
        self.tap.started_events().saturating_mul(per_event)
    }

    async fn run(&mut self, answer: &mut LiveAnswer, retained: bool) -> Result<(), Stop> {
        let mut output = BytesMut::with_capacity(1024);
        self.write_head(&answer.head, &mut output);
        loop {
            let ended = self.take_pieces(answer, &mut output)?;
            if ended && retained {
                self.flush(&mut output).await?;
                self.commit(&answer.guard.upstream().record).await?;
            }
            if ended {
                if self.framing == ClientFraming::Chunked {
                    output.put_slice(LAST_CHUNK);
                }
                return self.flush(&mut output).await;
            }
            if self.tap_has_begun(&output) {
                self.flush(&mut output).await?;
            }
            let count = tokio::select! {
                biased;
                read = answer.socket.fill() => read.map_err(|error| Stop::Upstream(error.to_string()))?,
                () = self.client.socket.hung_up() => return Err(Stop::Client),
                () = self.client.abort.cancelled() => return Err(Stop::Stopping),
                () = tokio::time::sleep_until(self.request.due.into()) => return Err(Stop::Due),
                () = answer.guard.upstream().wait_until_unreachable(SILENT_ON_LOST_PATH) => return Err(Stop::Path),
            };
            answer
                .guard
                .upstream()
                .record_domain_response(Instant::now());
            if count == 0 {
                let closed = answer.decoder.close();
                closed.map_err(|error| Stop::Upstream(error.to_string()))?;
            }
        }
    }

    /// Returns whether there is a piece of the body to pass on; the head alone waits for it.
    fn tap_has_begun(&self, output: &BytesMut) -> bool {
        self.begun && !output.is_empty()
    }

    /// Moves what has come to the output; returns whether the body is whole.
    fn take_pieces(
        &mut self,
        answer: &mut LiveAnswer,
        output: &mut BytesMut,
    ) -> Result<bool, Stop> {
        loop {
            let piece = answer.decoder.take(&mut answer.socket.buffer);
            match piece.map_err(|error| Stop::Upstream(error.to_string()))? {
                BodyPiece::End => return Ok(true),
                BodyPiece::More => return Ok(false),
                BodyPiece::Data(data) => {
                    self.begun = true;
                    if self.turn.is_some() && answer.head.status == 200 {
                        self.tap.read(&data);
                    }
                    match self.framing {
                        ClientFraming::Chunked => append_chunk(output, &data),
                        ClientFraming::AsIs | ClientFraming::Close => output.put_slice(&data),
                    }
                }
            }
        }
    }

    async fn flush(&mut self, output: &mut BytesMut) -> Result<(), Stop> {
        if output.is_empty() {
            return Ok(());
        }
        self.begun = true;
        let bytes: Bytes = output.split().freeze();
        let writing = self.client.socket.write(&bytes);
        tokio::select! {
            biased;
            written = writing => written.map_err(|_| Stop::Client),
            () = self.client.abort.cancelled() => Err(Stop::Stopping),
            () = tokio::time::sleep_until(self.request.due.into()) => Err(Stop::Due),
        }
    }

    async fn commit(&mut self, upstream: &UpstreamRecord) -> Result<(), Stop> {
        let Some(plan) = self.turn else {
            return Ok(());
        };
        let spent = self.spent();
        let output = self.tap.take_output();
        let mut chain = BytesMut::with_capacity(self.request.body.len() + output.len());
        chain.put_slice(&self.request.body);
        chain.put_slice(&output);
        tokio::select! {
            biased;
            committed = plan.commit(self.context, output, spent, upstream) => {
                committed.map_err(|_| Stop::NotDurable)?;
            }
            () = last_commits(self.client.abort) => return Err(Stop::Stopping),
            () = tokio::time::sleep_until(self.request.due.into()) => return Err(Stop::Due),
        }
        self.context.turns.keep(&plan.turn, chain.freeze());
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
        if !self.client.keep {
            output.put_slice(b"Connection: close\r\n");
        }
        output.put_slice(b"\r\n");
    }

    fn explain(&self, stop: Stop, answer: &LiveAnswer, spent: u32) -> RelayEnd {
        let upstream = answer.guard.upstream();
        let (outcome, detail, reason) = match stop {
            Stop::Upstream(error) => {
                upstream.record_failure(Instant::now(), false);
                let detail = format!("{} broke off: {error}", upstream.record.id);
                ("upstream-broke-off", detail, RefusalReason::Broken)
            }
            Stop::Path => {
                let detail = format!("the way to {} is cut", upstream.record.id);
                ("upstream-unreachable", detail, RefusalReason::Broken)
            }
            Stop::Client => ("client-gone", String::new(), RefusalReason::Broken),
            Stop::Due => {
                let detail = format!("{} was not done in time", upstream.record.id);
                ("late", detail, RefusalReason::Late)
            }
            Stop::NotDurable => {
                let detail = "too few keepers confirmed the turn".to_owned();
                ("not-durable", detail, RefusalReason::Broken)
            }
            Stop::Stopping => {
                let detail = "the instance stops".to_owned();
                ("stopped", detail, RefusalReason::Broken)
            }
        };
        if !self.begun && outcome != "client-gone" {
            return RelayEnd::NothingSent { reason, detail };
        }
        RelayEnd::Cut {
            outcome,
            detail,
            spent,
        }
    }
}

/// Ends when a commit can't be waited for any longer because the instance ends.
async fn last_commits(abort: &CancellationToken) {
    abort.cancelled().await;
    tokio::time::sleep(LAST_COMMITS).await;
}

/// Returns what the answer says about its upstream; `None` where it ended for another reason.
fn outcome_of(result: &Result<(), Stop>, answer: &LiveAnswer) -> Option<Outcome> {
    let failed = answer.head.status >= 500;
    match result {
        // The deadline passed while it worked: it may have been busy.
        Ok(()) if answer.head.status == 504 => None,
        Ok(()) if failed => Some(Outcome::Failure),
        Ok(()) if answer.probes => Some(Outcome::Recovered),
        Ok(()) => Some(Outcome::Success),
        Err(Stop::Upstream(_)) => Some(Outcome::Failure),
        Err(Stop::Path | Stop::Client | Stop::Due | Stop::NotDurable | Stop::Stopping) => None,
    }
}

/// Keeps the upstream's connection where nothing unexpected came on it.
fn keep_connection(answer: LiveAnswer) {
    if !answer.reusable || !answer.socket.buffer.is_empty() {
        return;
    }
    let stated = answer
        .head
        .idle_seconds()
        .map(std::time::Duration::from_secs);
    let upstream = answer.guard.upstream().clone();
    upstream.keep_idle(answer.socket, stated, Instant::now());
}
