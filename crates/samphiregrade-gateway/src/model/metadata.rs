//! Decoded metadata from the heads of requests and responses.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    CallerCredential, OrganisationName, ProgramId, ReportedLoad, RequestId, SessionId, TurnId,
    UpstreamId,
};

/// A part of a prompt that several requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub tag: u64,
    /// Number of tokens.
    pub tokens: u32,
}

/// Number of tokens that a request has in its prompt and may generate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Maximum number of tokens that the request may generate.
    pub most_output: u32,
}

/// Metadata of a request.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt.
    pub request: Option<RequestId>,
    /// Time for which the client waits.
    pub deadline: Option<Duration>,
    /// The program that the request belongs to.
    pub program: Option<ProgramId>,
    /// The session that the request belongs to.
    pub session: Option<SessionId>,
    /// Time before the program's deadline.
    pub program_deadline: Option<Duration>,
    /// Total number of tokens that the program may generate; set for turns.
    pub token_budget: Option<u64>,
    /// Tokens of this request.
    pub usage: Option<TokenUsage>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The turn that this one continues.
    pub previous_turn: Option<TurnId>,
    /// The object that the request concerns; requests for one object are faster on one upstream.
    pub affinity: Option<SmolStr>,
    /// The stream that the client takes up again; `None` if the request begins a stream or is none.
    pub resumption: Option<StreamResumption>,
    /// The caller's credential.
    pub credential: CallerCredential,
}

impl RequestMetadata {
    /// Returns the program under which the stream of the request is known: that of the request or, without one, the attempt
    /// that began the stream. `None` if the request begins a stream without a program.
    #[must_use]
    pub fn origin_program(&self) -> Option<&ProgramId> {
        let first_attempt = || self.resumption.as_ref()?.first_attempt.as_ref();
        self.program.as_ref().or_else(first_attempt)
    }
}

/// A stream that a client takes up again.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StreamResumption {
    /// Attempt that brought the first event of the stream; `None` if the client doesn't name it.
    pub first_attempt: Option<RequestId>,
}

/// Metadata of a response, in addition to its status.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request.
    pub request: Option<RequestId>,
    /// Id of the upstream that responds, if it states it.
    pub upstream: Option<UpstreamId>,
    /// Whether the upstream states that it did not run the request.
    pub not_executed: bool,
    /// Load of the upstream.
    pub load: Option<ReportedLoad>,
    /// Time after which the upstream accepts a repeated request.
    pub retry_after: Option<Duration>,
}

/// Header values that the system adds to a request for an upstream.
#[derive(Clone, Debug)]
pub struct DispatchHeaders {
    /// Time before the request's deadline.
    pub time_left: Duration,
    /// The intended upstream; a different upstream at the same address rejects the request.
    pub upstream: UpstreamId,
    /// Priority at the upstream, from 0 (most urgent) to 9.
    pub priority: Option<u8>,
    /// Time for which the engine keeps the request's tokens afterwards, if it supports this.
    pub pin: Option<Duration>,
    /// The calling organisation, if known.
    pub organisation: Option<OrganisationName>,
}
