//! Refusals: why a request was not served, whether it may have run, and what the caller can do.

use std::fmt;
use std::time::Duration;

use samphiregrade_http::OutgoingResponse;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RanState {
    /// The request did not run, and it will never run under its key unless the caller sends it again.
    No,
    /// The request may have run.
    Unknown,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalKind {
    /// The body, a field or a parameter is invalid.
    BadRequest,
    /// The token is missing or unknown.
    Unauthorized,
    /// The address does not exist.
    UnknownAddress,
    /// The program does not exist or belongs to another organisation.
    UnknownProgram,
    /// No record defines the program class.
    UnknownClass,
    /// No record defines the model or service.
    UnknownUpstream,
    /// The same key was used before with another body.
    KeyReused,
    /// An earlier call of the program has not finished.
    OutOfOrder,
    /// The program has ended.
    ProgramEnded,
    /// The budget of the program, its class or its organisation is used up.
    BudgetExhausted,
    /// The program repeats the same call.
    LoopDetected,
    /// The deadline has passed or can't be met.
    DeadlinePassed,
    /// There is more work than can be served in time.
    Overloaded,
    /// The shard has no primary that can commit.
    ShardUnavailable,
    /// The call must not be repeated, and it can't be replicated to a copy outside the failure domain.
    Unprotected,
    /// No upstream that could serve the call is reachable.
    UpstreamUnavailable,
    /// The upstream did not respond in time.
    UpstreamTimeout,
    /// Upstreams failed the call repeatedly.
    UpstreamFailed,
    /// The outcome of a call that must not be repeated can't be determined.
    OutcomeUnknown,
    /// The instance is shutting down.
    ShuttingDown,
}

impl RefusalKind {
    /// Returns the HTTP status of the refusal.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::UnknownAddress | Self::UnknownProgram => 404,
            Self::UnknownClass | Self::UnknownUpstream => 422,
            Self::KeyReused | Self::OutOfOrder => 409,
            Self::ProgramEnded => 410,
            Self::BudgetExhausted | Self::LoopDetected => 402,
            Self::DeadlinePassed => 408,
            Self::Overloaded => 429,
            Self::ShardUnavailable
            | Self::Unprotected
            | Self::UpstreamUnavailable
            | Self::ShuttingDown => 503,
            Self::UpstreamTimeout => 504,
            Self::UpstreamFailed => 502,
            Self::OutcomeUnknown => 424,
        }
    }

    /// Returns what the caller can do.
    #[must_use]
    pub fn remedy(self) -> &'static str {
        match self {
            Self::BadRequest => "correct the named field and send the request again",
            Self::Unauthorized => {
                "send `authorization: Bearer TOKEN` with a token of the organisation"
            }
            Self::UnknownAddress => "see the guide for the addresses of the caller's interface",
            Self::UnknownProgram => {
                "begin the program first, with a token of the same organisation"
            }
            Self::UnknownClass => "ask the operators for a record of this program class",
            Self::UnknownUpstream => "ask the operators for a record of this model or service",
            Self::KeyReused => "repeat the first body, or use another key",
            Self::OutOfOrder => "wait for the answer of the earlier call, then ask again",
            Self::ProgramEnded => "begin another program",
            Self::BudgetExhausted => "end the program, or ask the operators for a larger budget",
            Self::LoopDetected => "end the program; it repeats the same call",
            Self::DeadlinePassed => "begin another program with a later deadline",
            Self::Overloaded
            | Self::ShardUnavailable
            | Self::UpstreamUnavailable
            | Self::ShuttingDown
            | Self::UpstreamTimeout => "ask again after the time in Retry-After",
            Self::UpstreamFailed => {
                "make another call, or ask the operators to look at the upstream"
            }
            Self::Unprotected => "ask again once the failure domain is connected",
            Self::OutcomeUnknown => "ask the service itself whether the call took effect",
        }
    }

    /// Returns whether a retry with the same key can have another result.
    #[must_use]
    pub fn is_transient(self) -> bool {
        matches!(
            self,
            Self::OutOfOrder
                | Self::Overloaded
                | Self::ShardUnavailable
                | Self::Unprotected
                | Self::UpstreamUnavailable
                | Self::UpstreamTimeout
                | Self::ShuttingDown
        )
    }

    /// Returns the name of the kind as callers see it.
    #[must_use]
    pub fn name(self) -> SmolStr {
        serde_json::to_value(self)
            .ok()
            .and_then(|value| value.as_str().map(SmolStr::from))
            .unwrap_or_default()
    }
}

/// A request that was not served.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Why the request was refused.
    pub kind: RefusalKind,
    /// Whether the request may have run.
    pub ran: RanState,
    /// Exact reason of the refusal.
    pub detail: SmolStr,
    /// Time after which to retry, for transient refusals.
    pub retry_after: Option<Duration>,
}

/// Body of a refusal in the problem+json format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ProblemBody {
    /// Name of the kind.
    #[serde(rename = "type")]
    pub kind: SmolStr,
    /// Exact reason of the refusal.
    pub title: SmolStr,
    /// HTTP status.
    pub status: u16,
    /// Whether the request may have run.
    pub ran: RanState,
    /// What the caller can do.
    pub remedy: SmolStr,
    /// Whether a retry with the same key can have another result.
    pub transient: bool,
}

impl Refusal {
    /// Creates a refusal of a request that certainly did not run.
    pub fn not_run<Detail>(kind: RefusalKind, detail: Detail) -> Self
    where
        Detail: Into<SmolStr>,
    {
        Self {
            kind,
            ran: RanState::No,
            detail: detail.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn unknown<Detail>(kind: RefusalKind, detail: Detail) -> Self
    where
        Detail: Into<SmolStr>,
    {
        Self {
            ran: RanState::Unknown,
            ..Self::not_run(kind, detail)
        }
    }

    /// Sets the time after which the caller should retry.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }

    /// Composes the problem+json response.
    #[must_use]
    pub fn response(&self) -> OutgoingResponse {
        let body = ProblemBody {
            kind: self.kind.name(),
            title: self.detail.clone(),
            status: self.kind.status(),
            ran: self.ran,
            remedy: self.kind.remedy().into(),
            transient: self.kind.is_transient(),
        };
        let body = serde_json::to_vec(&body).unwrap_or_default();
        let response = OutgoingResponse::full(self.kind.status(), "application/problem+json", body);
        let Some(wait) = self.retry_after else {
            return response;
        };
        let exact_wait = format!("{:.3}", wait.as_secs_f64().max(0.001));
        // The standard header allows only whole seconds, so a second header has the exact wait.
        response
            .with_header(
                "retry-after",
                &wait.as_secs_f64().ceil().max(1.0).to_string(),
            )
            .with_header("retry-after-exact", &exact_wait)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "{}: {}; {}",
            self.kind.name(),
            self.detail,
            self.kind.remedy()
        )
    }
}
