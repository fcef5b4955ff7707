//! Record of a request and its outcome, for the log and the metrics.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::{SmolStr, format_smolstr};

use super::affinity::PlacedObject;
use super::context::EntryContext;
use super::limit_desk::TokenSource;
use super::origin::OriginSource;
use crate::access::BootTime;
use crate::limits::WindowUse;
use crate::model::{RequestId, RequestKind, RequestTag, SoftwareVersion};
use crate::observe::{Logbook, RequestSample};

/// The survey of upstream accounts before a request was placed.
#[derive(Clone, Copy, Debug)]
pub struct SurveyRecord {
    /// Number of upstreams for which keepers reported an account.
    pub accounts: usize,
    /// Duration of the survey.
    pub duration: Duration,
}

/// Age of the connection on which a request arrived.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAge {
    /// When the connection was accepted.
    pub accepted: Instant,
    /// Number of earlier requests on the connection.
    pub earlier_requests: u32,
}

/// Record of a request, logged and counted when the request ends.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of this attempt of the client.
    pub request: SmolStr,
    /// Hash of what the client repeats with each attempt of the request; `None` before the request is routed.
    pub tag: Option<RequestTag>,
    /// Age of the client connection.
    pub connection: ConnectionAge,
    /// Time from the signal to stop until the request arrived; `None` if it arrived before the signal.
    pub stopping: Option<Duration>,
    /// Program of the request; empty without one.
    pub program: SmolStr,
    /// Version of the configuration in use; 0 without one.
    pub config: u64,
    /// Organisation of the caller, if known.
    pub organisation: Option<SmolStr>,
    /// Use of the organisation's limit, if the request was refused because of it.
    pub window: Option<WindowUse>,
    /// Source of the token of the organisation's limit.
    pub token: Option<TokenSource>,
    /// Name of the route; empty without one.
    pub route: SmolStr,
    /// Kind of the route.
    pub kind: Option<RequestKind>,
    /// Upstream of the last attempt.
    pub upstream: SmolStr,
    /// Version of that upstream's software; empty if not stated.
    pub software: SoftwareVersion,
    /// Attempt that began the stream which the request takes up; `None` if the client names none.
    pub resumes: Option<RequestId>,
    /// How the software version of the request's stream is known; `None` if the stream can't be taken up again.
    pub origin: Option<OriginSource>,
    /// Number of times that the request was sent to an upstream.
    pub sends: u32,
    /// Number of upstreams that were known to have ended under the request before its first send.
    pub ended: usize,
    /// Number of keepers that reported whether upstreams have ended under the request; `None` if none was queried.
    pub tries_heard: Option<usize>,
    /// Estimated load of the chosen upstream.
    pub load: f64,
    /// Estimated prompt tokens that the chosen upstream did not have in its cache.
    pub uncached: u32,
    /// Expected time of work at the chosen upstream, as a multiple of the time at the median upstream of its service.
    pub slowdown: f64,
    /// The part of `slowdown` that is due to contention on the upstream's machine.
    pub contention: f64,
    /// Where a request for an object was sent; `None` if affinity does not apply.
    pub affinity: Option<PlacedObject>,
    /// Survey of the keepers before the request was placed; `None` if there was none.
    pub survey: Option<SurveyRecord>,
    /// Rank of the request at the engine; `None` if it was not sent to an engine.
    pub rank: Option<u8>,
    /// Time left until the deadline of the program, if the caller stated one.
    pub program_left: Option<Duration>,
    /// Status sent to the client; 0 if there was none.
    pub status: u16,
    /// How the end of the upstream's response was marked; `None` without a response.
    pub framing: Option<&'static str>,
    /// Whether the last event of the upstream's stream was incomplete.
    pub open_event: bool,
    /// Outcome of the request.
    pub outcome: &'static str,
    /// Errors that occurred while the request was served.
    pub detail: String,
    /// When the head of the request was complete.
    pub started: Instant,
    /// Time until the request was first sent to an upstream.
    pub before_send: Option<Duration>,
    /// Time until the head of the response arrived.
    pub time_to_head: Option<Duration>,
}

#[derive(Serialize)]
struct RequestLine<'line> {
    request: &'line str,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_tag: Option<SmolStr>,
    connection_ms: f64,
    earlier_requests: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    stopping_ms: Option<f64>,
    #[serde(skip_serializing_if = "str::is_empty")]
    program: &'line str,
    config: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    proof_age_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    organisation: Option<&'line str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    window: Option<WindowUse>,
    #[serde(skip_serializing_if = "Option::is_none")]
    token: Option<&'static str>,
    route: &'line str,
    upstream: &'line str,
    #[serde(skip_serializing_if = "str::is_empty")]
    software: &'line str,
    #[serde(skip_serializing_if = "Option::is_none")]
    resumes: Option<&'line str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    origin: Option<&'static str>,
    sends: u32,
    #[serde(skip_serializing_if = "is_zero")]
    ended: usize,
    #[serde(skip_serializing_if = "Option::is_none")]
    tries_heard: Option<usize>,
    load: f64,
    uncached: u32,
    slowdown: f64,
    contention: f64,
    #[serde(skip_serializing_if = "Option::is_none")]
    affinity: Option<&'static str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accounts: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    survey_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rank: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    program_left_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    framing: Option<&'static str>,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    open_event: bool,
    status: u16,
    outcome: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'line str,
    before_send_ms: f64,
    first_answer_ms: f64,
    total_ms: f64,
}

/// Outcome of a request whose task was dropped before the request ended: the process exited, or the task panicked.
const DROPPED: &str = "dropped";

fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 10_000.0).round() / 10.0
}

/// Returns whether a count is left out of the log line.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes references")]
fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Returns a hash as it is written to logs.
pub(super) fn format_tag(tag: u64) -> SmolStr {
    format_smolstr!("{tag:016x}")
}

impl RequestRecord {
    /// Creates the record of a request that has just arrived.
    #[must_use]
    pub fn new(request: SmolStr, started: Instant, connection: ConnectionAge) -> Self {
        Self {
            request,
            tag: None,
            connection,
            stopping: None,
            program: SmolStr::default(),
            config: 0,
            organisation: None,
            token: None,
            window: None,
            route: SmolStr::default(),
            kind: None,
            upstream: SmolStr::default(),
            software: SoftwareVersion::default(),
            resumes: None,
            origin: None,
            sends: 0,
            ended: 0,
            tries_heard: None,
            load: 0.0,
            uncached: 0,
            slowdown: 1.0,
            contention: 1.0,
            affinity: None,
            survey: None,
            rank: None,
            program_left: None,
            framing: None,
            open_event: false,
            status: 0,
            outcome: DROPPED,
            detail: String::new(),
            started,
            before_send: None,
            time_to_head: None,
        }
    }

    /// Appends an error that occurred while the request was served.
    pub fn add_detail(&mut self, detail: &str) {
        if !self.detail.is_empty() {
            self.detail.push_str("; ");
        }
        self.detail.push_str(detail);
    }

    /// Returns the age of the known keys, if the caller was identified by one.
    fn proof_age(&self, context: &EntryContext) -> Option<Duration> {
        self.organisation.as_ref()?;
        context.freshness.age(BootTime::now())
    }

    /// Writes the log line and counts the request.
    fn write(&self, context: &EntryContext) {
        let total = self.started.elapsed();
        let age = self.started.duration_since(self.connection.accepted);
        let line = RequestLine {
            request: &self.request,
            request_tag: self.tag.map(format_tag),
            connection_ms: milliseconds(age),
            earlier_requests: self.connection.earlier_requests,
            stopping_ms: self.stopping.map(milliseconds),
            program: &self.program,
            config: self.config,
            proof_age_ms: self.proof_age(context).map(milliseconds),
            organisation: self.organisation.as_deref(),
            window: self.window,
            token: self.token.map(TokenSource::name),
            route: &self.route,
            upstream: &self.upstream,
            software: &self.software,
            resumes: self.resumes.as_deref(),
            origin: self.origin.map(OriginSource::name),
            sends: self.sends,
            ended: self.ended,
            tries_heard: self.tries_heard,
            load: (self.load * 10.0).round() / 10.0,
            uncached: self.uncached,
            slowdown: (self.slowdown * 100.0).round() / 100.0,
            contention: (self.contention * 100.0).round() / 100.0,
            affinity: self.affinity.as_ref().map(PlacedObject::name),
            accounts: self.survey.map(|survey| survey.accounts),
            survey_ms: self.survey.map(|survey| milliseconds(survey.duration)),
            rank: self.rank,
            program_left_ms: self.program_left.map(milliseconds),
            framing: self.framing,
            open_event: self.open_event,
            status: self.status,
            outcome: self.outcome,
            detail: &self.detail,
            before_send_ms: milliseconds(self.before_send.unwrap_or_default()),
            first_answer_ms: milliseconds(self.time_to_head.unwrap_or_default()),
            total_ms: milliseconds(total),
        };
        Logbook::global().record("request", &line);
        context.metrics.record_request(&RequestSample {
            kind: match self.kind {
                None => "none",
                Some(RequestKind::Idempotent) => "idempotent",
                Some(RequestKind::NonIdempotent) => "non-idempotent",
                Some(RequestKind::Streaming) => "streaming",
            },
            outcome: self.outcome,
            total,
            before_send: self.before_send,
        });
    }
}

/// Record of a request in progress: counted while it exists, and written to the log when it is dropped, whatever the
/// outcome.
pub struct OpenRecord {
    context: Arc<EntryContext>,
    record: RequestRecord,
}

impl OpenRecord {
    /// Counts a request as in progress until its record is dropped.
    #[must_use]
    pub fn begin(context: Arc<EntryContext>, mut record: RequestRecord) -> Self {
        context.begin_request();
        record.stopping = context.stopping_for();
        Self { context, record }
    }
}

impl Deref for OpenRecord {
    type Target = RequestRecord;

    fn deref(&self) -> &Self::Target {
        &self.record
    }
}

impl DerefMut for OpenRecord {
    fn deref_mut(&mut self) -> &mut Self::Target {
        &mut self.record
    }
}

impl Drop for OpenRecord {
    fn drop(&mut self) {
        self.record.write(&self.context);
        self.context.end_request();
    }
}
