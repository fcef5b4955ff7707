//! Refusals: responses that the instance itself sends, which say whether the request may have run.

use std::time::Duration;

use bytes::{BufMut, BytesMut};

use crate::dialect::Dialect;
use crate::limits::WindowUse;

/// Retry-After time of a refusal for lack of an upstream: an upstream's queue advances within it.
const UPSTREAM_RETRY_AFTER: Duration = Duration::from_millis(80);

/// Retry-After time of a refusal by an instance that lacks a configuration, a connection to the keepers, or memory.
const UNREADY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Shortest Retry-After time of a refusal for want of a proof.
const MIN_PROOF_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Longest Retry-After time of a refusal for want of a proof.
const MAX_PROOF_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Largest factor by which the Retry-After times of refusals for want of a proof differ at one moment, so that their
/// clients do not return together.
const PROOF_RETRY_SPREAD: f64 = 1.4;

/// Time after an instance was cut off until its clients' new connections go to another instance: the instance detects
/// the network partition within 0.6 seconds, and the platform probes its readiness twice, one second apart.
const FAILOVER_TIME: Duration = Duration::from_millis(2700);

/// Why the instance refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The request head is malformed.
    Malformed,
    /// The request head is too long.
    HeadTooLarge,
    /// The request body is too long.
    BodyTooLarge,
    /// The turn with the ones before it is larger than the machine's memory permits.
    HistoryTooLarge,
    /// The client took too long to send its request.
    TooSlow,
    /// No route matches.
    NoRoute,
    /// The route requires a key, and the key of the request is unknown.
    UnknownKey,
    /// The known keys are too old to rely on; the request has not run.
    KeysUnproved,
    /// The organisation has reached its request limit; the request has not run.
    OverLimit,
    /// No home could confirm that the organisation is within its limit; the request has not run.
    LimitUnproved,
    /// No configuration has been received yet.
    NoConfiguration,
    /// No upstream accepts the request; the request has not run.
    NoUpstream,
    /// The upstreams reported that they did not run the request.
    NotExecuted,
    /// The keepers could not read or store what the turn needs; the request has not run.
    NoKeepers,
    /// The previous turn that the request continues from does not exist.
    NoSuchTurn,
    /// It is unknown which software version began the stream that the client takes up; the request has not run.
    UnknownOrigin,
    /// No upstream of the software version that began the stream accepts the request; the request has not run.
    NoSameVersion,
    /// The program's token budget does not cover the turn.
    OverBudget,
    /// As many upstreams have ended under the request as may. This attempt may have run, or an earlier one.
    UpstreamsEnded,
    /// Other attempts of a request under which upstreams have ended are running; this one has not run.
    TriesInFlight,
    /// The memory for clients is occupied; the request has not run.
    NoMemory,
    /// The instance is stopping and accepts no more work; the request has not run.
    Stopping,
    /// The request timed out before anything was sent to an upstream.
    LateUnsent,
    /// The request timed out; it may have run.
    Late,
    /// The upstream failed during the request; the request may have run.
    Broken,
}

impl RefusalReason {
    /// Returns the name used in the log and in the body of the refusal.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
            Self::HistoryTooLarge => "history-too-large",
            Self::TooSlow => "too-slow",
            Self::NoRoute => "no-route",
            Self::UnknownKey => "unknown-key",
            Self::KeysUnproved => "keys-unproved",
            Self::OverLimit => "over-limit",
            Self::LimitUnproved => "limit-unproved",
            Self::NoConfiguration => "no-configuration",
            Self::NoUpstream => "no-upstream",
            Self::NotExecuted => "not-executed",
            Self::NoKeepers => "no-keepers",
            Self::NoSuchTurn => "no-such-turn",
            Self::UnknownOrigin => "unknown-origin",
            Self::NoSameVersion => "no-same-version",
            Self::OverBudget => "over-budget",
            Self::NoMemory => "no-memory",
            Self::Stopping => "stopping",
            Self::UpstreamsEnded => "upstreams-ended",
            Self::TriesInFlight => "tries-in-flight",
            Self::LateUnsent => "late-unsent",
            Self::Late => "late",
            Self::Broken => "broken",
        }
    }

    /// Returns the HTTP status code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge | Self::HistoryTooLarge => 413,
            Self::TooSlow => 408,
            Self::NoRoute | Self::NoSuchTurn => 404,
            Self::OverBudget => 402,
            Self::UnknownKey => 401,
            Self::OverLimit => 429,
            Self::NoConfiguration
            | Self::KeysUnproved
            | Self::LimitUnproved
            | Self::NoUpstream
            | Self::NotExecuted
            | Self::NoKeepers
            | Self::UnknownOrigin
            | Self::NoSameVersion
            | Self::TriesInFlight
            | Self::NoMemory
            | Self::Stopping
            | Self::LateUnsent => 503,
            Self::Late => 504,
            Self::Broken | Self::UpstreamsEnded => 502,
        }
    }

    /// Returns whether a request refused for this reason may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Late | Self::Broken | Self::UpstreamsEnded)
    }

    fn default_retry_after(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration
            | Self::KeysUnproved
            | Self::LimitUnproved
            | Self::NoKeepers
            | Self::NoMemory => Some(UNREADY_RETRY_AFTER),
            // A stopping instance closes its listener, so the next connection goes to another instance.
            Self::NoUpstream
            | Self::NotExecuted
            | Self::UnknownOrigin
            | Self::NoSameVersion
            | Self::TriesInFlight
            | Self::Stopping
            | Self::LateUnsent => Some(UPSTREAM_RETRY_AFTER),
            _ => None,
        }
    }

    fn closes_connection(self) -> bool {
        matches!(
            self,
            Self::Malformed
                | Self::HeadTooLarge
                | Self::BodyTooLarge
                | Self::TooSlow
                | Self::Stopping
        )
    }
}

/// A refusal with the details sent to the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Time after which the client should retry, if a retry can succeed.
    pub retry_after: Option<Duration>,
    /// Use of the organisation's limit, if the refusal is because of it.
    pub window: Option<WindowUse>,
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        // Jitter keeps clients that were refused together from retrying together.
        let jitter = rand::random_range(0.6..1.4);
        Self {
            reason,
            retry_after: reason
                .default_retry_after()
                .map(|wait| wait.mul_f64(jitter)),
            window: None,
        }
    }
}

impl Refusal {
    /// Sets the Retry-After time of a refusal for want of a proof; `unproved_for` is the time for which no key has been
    /// served, `None` without a bound for withdrawn keys.
    #[must_use]
    pub fn until_proof(mut self, unproved_for: Option<Duration>) -> Self {
        let unproved_for = unproved_for.filter(|_| self.reason == RefusalReason::KeysUnproved);
        if let Some(unproved_for) = unproved_for {
            self.retry_after = Some(proof_retry_after(unproved_for, rand::random()));
        }
        self
    }

    /// Extends the Retry-After time while the instance is cut off, until the client's next connection goes to another
    /// instance.
    #[must_use]
    pub fn while_cut_off(mut self, cut_off_for: Duration) -> Self {
        let failover_in = FAILOVER_TIME.saturating_sub(cut_off_for);
        let failover_helps = matches!(
            self.reason,
            RefusalReason::KeysUnproved | RefusalReason::LimitUnproved | RefusalReason::NoKeepers
        );
        if failover_helps && !cut_off_for.is_zero() {
            self.retry_after = self.retry_after.max(Some(failover_in));
        }
        self
    }

    /// Encodes the complete response; returns whether the connection can be kept open after it.
    pub fn encode(
        &self,
        dialect: &dyn Dialect,
        request: Option<&str>,
        keep_alive: bool,
        output: &mut BytesMut,
    ) -> bool {
        let keep_alive = keep_alive && !self.reason.closes_connection();
        let status = self.reason.status();
        let body = format!("{{\"error\":\"{}\"}}", self.reason.name());
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason_phrase(status),
            body.len()
        );
        output.put_slice(head.as_bytes());
        dialect.write_refusal_headers(request, self.retry_after, output);
        if !keep_alive {
            output.put_slice(b"Connection: close\r\n");
        }
        output.put_slice(b"\r\n");
        output.put_slice(body.as_bytes());
        keep_alive
    }
}

/// Returns the Retry-After time of a refusal for want of a proof; `spread` is between 0 and 1.
///
/// A lack of proofs that has lasted for some time is expected to last about as long again. The time counts from when
/// proofs expired, not from when the service failed: the whole outage always exceeds the largest Retry-After time.
#[must_use]
pub fn proof_retry_after(unproved_for: Duration, spread: f64) -> Duration {
    let longest = MAX_PROOF_RETRY_AFTER.div_f64(PROOF_RETRY_SPREAD);
    let expected = unproved_for.clamp(MIN_PROOF_RETRY_AFTER, longest);
    expected.mul_f64(1.0 + (PROOF_RETRY_SPREAD - 1.0) * spread)
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        400 => "Bad Request",
        401 => "Unauthorized",
        402 => "Payment Required",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Gateway Timeout",
    }
}
