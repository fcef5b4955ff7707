//! What the heads of requests and answers say, decoded.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::{
    CallerCredential, OrganisationName, ProgramId, ReportedLoad, RequestId, SessionId, TurnId,
    UpstreamId,
};

/// A part of a prompt that requests may share.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PromptPart {
    /// Hash of the part's id.
    pub tag: u64,
    /// Its tokens.
    pub tokens: u32,
}

/// How many tokens a request reads and may make.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TokenUsage {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// Most tokens that it may make.
    pub most_output: u32,
}

/// What a request's head says about it.
#[derive(Clone, Debug, Default)]
pub struct RequestMetadata {
    /// Id of this attempt.
    pub request: Option<RequestId>,
    /// How long the client waits.
    pub deadline: Option<Duration>,
    /// The program it belongs to.
    pub program: Option<ProgramId>,
    /// The line of turns it belongs to.
    pub session: Option<SessionId>,
    /// Time until the program should be finished.
    pub program_deadline: Option<Duration>,
    /// Tokens that the program may make in all; set for turns.
    pub token_budget: Option<u64>,
    /// Tokens of this request.
    pub usage: Option<TokenUsage>,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The turn that this one continues from.
    pub previous_turn: Option<TurnId>,
    /// Object that requests concern; those of one object are faster at one upstream.
    pub affinity: Option<SmolStr>,
    /// Whether the client resumes a stream.
    pub resumes: bool,
    /// What it says about who calls.
    pub credential: CallerCredential,
}

/// What an answer's head says beside its status.
#[derive(Clone, Debug, Default)]
pub struct ResponseMetadata {
    /// Id of the request that it answers.
    pub request: Option<RequestId>,
    /// Whether the upstream says that it did not run the request.
    pub not_executed: bool,
    /// Load of the upstream.
    pub load: Option<ReportedLoad>,
    /// Time after which the upstream wants to be asked again.
    pub retry_after: Option<Duration>,
}

/// What the system adds to a request on its way to an upstream.
#[derive(Clone, Debug)]
pub struct DispatchHeaders {
    /// Time that is left for the request.
    pub time_left: Duration,
    /// The upstream that is meant; another one at its address refuses.
    pub upstream: UpstreamId,
    /// Rank for the upstream, 0 to 9, 0 being the most urgent.
    pub priority: Option<u8>,
    /// How long an engine holds the tokens after the request, where it does.
    pub pin: Option<Duration>,
    /// The organisation that calls, where one is known.
    pub organisation: Option<OrganisationName>,
}
