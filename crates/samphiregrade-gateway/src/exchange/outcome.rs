//! How a request ended, for the log and the counters.

use std::ops::{Deref, DerefMut};
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::context::EntryContext;
use super::limit_desk::TokenSource;
use crate::access::BootTime;
use crate::limits::WindowUse;
use crate::model::RequestKind;
use crate::observe::{Logbook, RequestSample};

/// What keepers told of upstreams before a request was placed.
#[derive(Clone, Copy, Debug)]
pub struct SurveyRecord {
    /// Upstreams of which they told.
    pub accounts: usize,
    /// Time that asking them took.
    pub time: Duration,
}

/// The connection on which a request came.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAge {
    /// When it was accepted.
    pub accepted: Instant,
    /// Requests that came on it before this one.
    pub earlier_requests: u32,
}

/// What is told of a request when it has ended.
#[derive(Clone, Debug)]
pub struct RequestRecord {
    /// Id of the attempt.
    pub request: SmolStr,
    /// Its connection.
    pub connection: ConnectionAge,
    /// Time from the signal to stop until it came; `None` where it came before.
    pub stopping: Option<Duration>,
    /// Program, where it belongs to one.
    pub program: SmolStr,
    /// Version of the configuration that decided; 0 without one.
    pub config: u64,
    /// Organisation that calls, where one is known.
    pub organisation: Option<SmolStr>,
    /// What was counted of its organisation, where it was refused for that.
    pub window: Option<WindowUse>,
    /// Where the token of its organisation's limit came from.
    pub token: Option<TokenSource>,
    /// Route; empty without one.
    pub route: SmolStr,
    /// Kind of the route.
    pub kind: Option<RequestKind>,
    /// Upstream that it was last sent to.
    pub upstream: SmolStr,
    /// Upstreams that it was sent to.
    pub sends: u32,
    /// Load that the chosen upstream was thought to have.
    pub load: f64,
    /// Prompt tokens that the chosen upstream was thought not to have.
    pub uncached: u32,
    /// What was asked of keepers before it was placed; `None` where nothing was.
    pub survey: Option<SurveyRecord>,
    /// Rank that it had at an engine; `None` where it was not sent to one.
    pub rank: Option<u8>,
    /// Time that its program had left, where its caller said so.
    pub program_left: Option<Duration>,
    /// Status that the client got; 0 where it got none.
    pub status: u16,
    /// How it ended.
    pub outcome: &'static str,
    /// What went wrong on the way.
    pub detail: String,
    /// When its head was whole.
    pub started: Instant,
    /// Time until it was first sent to an upstream.
    pub before_send: Option<Duration>,
    /// Time until the head of the answer.
    pub first_answer: Option<Duration>,
}

#[derive(Serialize)]
struct RequestLine<'line> {
    request: &'line str,
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
    sends: u32,
    load: f64,
    uncached: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    accounts: Option<usize>,
    #[serde(skip_serializing_if = "Option::is_none")]
    survey_ms: Option<f64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    rank: Option<u8>,
    #[serde(skip_serializing_if = "Option::is_none")]
    program_left_ms: Option<f64>,
    status: u16,
    outcome: &'static str,
    #[serde(skip_serializing_if = "str::is_empty")]
    detail: &'line str,
    before_send_ms: f64,
    first_answer_ms: f64,
    total_ms: f64,
}

/// Outcome of a request whose task ended before the request did: the process ended, or the task failed.
const DROPPED: &str = "dropped";

fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

impl RequestRecord {
    /// Starts the record of a request.
    #[must_use]
    pub fn new(request: SmolStr, started: Instant, connection: ConnectionAge) -> Self {
        Self {
            request,
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
            sends: 0,
            load: 0.0,
            uncached: 0,
            survey: None,
            rank: None,
            program_left: None,
            status: 0,
            outcome: DROPPED,
            detail: String::new(),
            started,
            before_send: None,
            first_answer: None,
        }
    }

    /// Adds something that went wrong on the way.
    pub fn add_detail(&mut self, detail: &str) {
        if !self.detail.is_empty() {
            self.detail.push_str("; ");
        }
        self.detail.push_str(detail);
    }

    /// Returns how old what is known of keys is, where callers need them.
    fn proof_age(&self, context: &EntryContext) -> Option<Duration> {
        self.organisation.as_ref()?;
        context.freshness.age(BootTime::now())
    }

    /// Writes the line and counts the request.
    fn write(&self, context: &EntryContext) {
        let total = self.started.elapsed();
        let age = self.started.duration_since(self.connection.accepted);
        let line = RequestLine {
            request: &self.request,
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
            sends: self.sends,
            load: (self.load * 10.0).round() / 10.0,
            uncached: self.uncached,
            accounts: self.survey.map(|survey| survey.accounts),
            survey_ms: self.survey.map(|survey| milliseconds(survey.time)),
            rank: self.rank,
            program_left_ms: self.program_left.map(milliseconds),
            status: self.status,
            outcome: self.outcome,
            detail: &self.detail,
            before_send_ms: milliseconds(self.before_send.unwrap_or_default()),
            first_answer_ms: milliseconds(self.first_answer.unwrap_or_default()),
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

/// A request under way: counted as such, and told in the log when it ends, in whichever way that is.
pub struct OpenRecord {
    context: Arc<EntryContext>,
    record: RequestRecord,
}

impl OpenRecord {
    /// Begins the record of a request that has come.
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
