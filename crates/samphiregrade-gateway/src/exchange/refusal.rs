//! Answers of the instance's own, and what they promise.

use std::time::Duration;

use bytes::{BufMut, BytesMut};

use crate::dialect::Dialect;
use crate::limits::WindowUse;

/// Shortest time after which a refused client is asked to come back: an upstream's queue moves within it.
const SHORT_WAIT: Duration = Duration::from_millis(80);

/// Time after which a client comes back to an instance that knows nothing yet.
const START_WAIT: Duration = Duration::from_millis(300);

/// Time after the cut within which clients of an instance that is cut off are sent to another one: it notices
/// within six tenths of a second, and the platform asks twice, a second apart.
const ELSEWHERE_AFTER: Duration = Duration::from_millis(2700);

/// Why a request gets an answer of the instance's own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// The head is malformed.
    Malformed,
    /// The head is too long.
    HeadTooLarge,
    /// The body is too long.
    BodyTooLarge,
    /// The client took too long to send its request.
    TooSlow,
    /// No route matches.
    NoRoute,
    /// The route asks for a key, and no such key is known.
    UnknownKey,
    /// What is known of keys is too old to vouch for; it has not run.
    KeysUnproved,
    /// The organisation has made as many requests as it may; it has not run.
    OverLimit,
    /// No home can say whether the organisation is within its limit; it has not run.
    LimitUnproved,
    /// No configuration is known yet.
    NoConfiguration,
    /// No upstream takes the request; it has not run.
    NoUpstream,
    /// Upstreams said that they did not run it.
    NotExecuted,
    /// No keeper can say or store what the turn needs; it has not run.
    NoKeepers,
    /// The turn that it continues from does not exist.
    NoSuchTurn,
    /// The program's budget does not hold the turn.
    OverBudget,
    /// The instance stops and takes no more work; it has not run.
    Stopping,
    /// Time ran out before anything was sent.
    LateUnsent,
    /// Time ran out; the request may have run.
    Late,
    /// The upstream broke off; the request may have run.
    Broken,
}

impl RefusalReason {
    /// Returns the reason's name in logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::HeadTooLarge => "head-too-large",
            Self::BodyTooLarge => "body-too-large",
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
            Self::OverBudget => "over-budget",
            Self::Stopping => "stopping",
            Self::LateUnsent => "late-unsent",
            Self::Late => "late",
            Self::Broken => "broken",
        }
    }

    /// Returns the status code.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::HeadTooLarge => 431,
            Self::BodyTooLarge => 413,
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
            | Self::Stopping
            | Self::LateUnsent => 503,
            Self::Late => 504,
            Self::Broken => 502,
        }
    }

    /// Returns whether a request that is refused for it may have run.
    #[must_use]
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Late | Self::Broken)
    }

    fn wait(self) -> Option<Duration> {
        match self {
            Self::NoConfiguration | Self::KeysUnproved | Self::LimitUnproved | Self::NoKeepers => {
                Some(START_WAIT)
            }
            // A stopping instance closes its listener, so that the next connection goes elsewhere.
            Self::NoUpstream | Self::NotExecuted | Self::Stopping | Self::LateUnsent => {
                Some(SHORT_WAIT)
            }
            _ => None,
        }
    }

    fn closes(self) -> bool {
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

/// A refusal with what it tells the client.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the client should come back, where that helps.
    pub retry_after: Option<Duration>,
    /// What was counted of the caller's organisation, where that decided.
    pub window: Option<WindowUse>,
}

impl From<RefusalReason> for Refusal {
    fn from(reason: RefusalReason) -> Self {
        // Spread, so that clients refused together don't come back together.
        let spread = rand::random_range(0.6..1.4);
        Self {
            reason,
            retry_after: reason.wait().map(|wait| wait.mul_f64(spread)),
            window: None,
        }
    }
}

impl Refusal {
    /// Tells a client of an instance that is cut off when its next connection goes to another one.
    #[must_use]
    pub fn while_cut_off(mut self, cut_off_for: Duration) -> Self {
        let elsewhere = ELSEWHERE_AFTER.saturating_sub(cut_off_for);
        let elsewhere_helps = matches!(
            self.reason,
            RefusalReason::KeysUnproved | RefusalReason::LimitUnproved | RefusalReason::NoKeepers
        );
        if elsewhere_helps && !cut_off_for.is_zero() {
            self.retry_after = self.retry_after.max(Some(elsewhere));
        }
        self
    }

    /// Encodes the whole answer; returns whether the connection can be kept after it.
    pub fn encode(
        &self,
        dialect: &dyn Dialect,
        request: Option<&str>,
        keep: bool,
        output: &mut BytesMut,
    ) -> bool {
        let keep = keep && !self.reason.closes();
        let status = self.reason.status();
        let body = format!("{{\"error\":\"{}\"}}", self.reason.name());
        let head = format!(
            "HTTP/1.1 {status} {}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n",
            reason_phrase(status),
            body.len()
        );
        output.put_slice(head.as_bytes());
        dialect.write_refusal_headers(request, self.retry_after, output);
        if !keep {
            output.put_slice(b"Connection: close\r\n");
        }
        output.put_slice(b"\r\n");
        output.put_slice(body.as_bytes());
        keep
    }
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
