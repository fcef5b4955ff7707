//! Entries of a shard's log: all changes of programs.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::budget::ProgramLimits;
use super::outcome::CallOutcome;
use crate::contract::CallSpec;
use crate::ids::{
    ClassName, OrganisationId, ProgramId, SequenceNumber, ShardEpoch, TokenCount, UpstreamName,
};

/// Digest of a request's body, used to detect a key that is reused with another body.
pub type BodyDigest = [u8; 16];

/// Computes the digest of a request's body.
#[must_use]
pub fn body_digest(body: &[u8]) -> BodyDigest {
    let mut digest = BodyDigest::default();
    digest.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
    digest
}

/// Records that a program was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProgramBegin {
    /// The program.
    pub program: ProgramId,
    /// Organisation that owns the program.
    pub organisation: OrganisationId,
    /// Class of the program.
    pub class: ClassName,
    /// Digest of the body of the request that began the program.
    pub digest: BodyDigest,
    /// Limits of the program.
    pub limits: ProgramLimits,
    /// Whether the caller requested a number of tokens.
    pub wishes_tokens: bool,
    /// Time at which the program was accepted.
    pub began: SystemTime,
    /// Deadline of the program.
    pub deadline: SystemTime,
    /// Parent program on whose budget a sub-agent draws.
    pub parent: Option<ProgramId>,
    /// Nesting depth of a sub-agent; 0 for a program without a parent.
    pub depth: u8,
}

/// Records that a call was accepted and its tokens reserved; the call may be dispatched once this is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallIntent {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the call's body.
    pub digest: BodyDigest,
    /// The requested model or service call, with the maximum number of tokens limited to the budget.
    pub spec: CallSpec,
    /// Tokens reserved.
    pub reserved: TokenCount,
    /// Epoch of the shard in which the call was accepted.
    pub epoch: ShardEpoch,
    /// Time at which the call was accepted.
    pub accepted: SystemTime,
}

/// Records the final outcome of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallResult {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Final outcome.
    pub outcome: CallOutcome,
    /// Tokens used, with which the reservation is settled.
    pub used: TokenCount,
    /// Time at which the outcome was known.
    pub finished: SystemTime,
}

/// Records that an upstream ended while it ran a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamEnd {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Time at which the end was known.
    pub ended: SystemTime,
}

/// A hold: an engine's promise to keep a program's prefix in its cache during a pause.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineHold {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub upstream: UpstreamName,
}

/// The reason why a program ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndReason {
    /// The caller ended the program.
    Caller,
    /// The deadline passed.
    Deadline,
    /// The program repeated the same call too often.
    Loop,
    /// The parent program ended.
    Parent,
}

/// Records the end of a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProgramEnd {
    /// The program.
    pub program: ProgramId,
    /// The reason.
    pub reason: EndReason,
    /// Time of the end.
    pub ended: SystemTime,
}

/// One entry of a shard's log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LogEntry {
    /// A program was accepted.
    Begin(ProgramBegin),
    /// A call was accepted and may be dispatched.
    Intent(CallIntent),
    /// A call has its final outcome.
    Result(CallResult),
    /// An engine is about to be sent the request to hold a program's prefix.
    Hold(EngineHold),
    /// An engine has confirmed the release of a program's prefix.
    Release(EngineHold),
    /// A program ended.
    End(ProgramEnd),
    /// The retention time of an ended program has passed; the program is removed.
    Forget(ProgramId),
    /// An upstream ended while it ran a call.
    UpstreamEnded(UpstreamEnd),
}

impl LogEntry {
    /// Returns the program that the entry changes.
    #[must_use]
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Intent(intent) => &intent.program,
            Self::Result(result) => &result.program,
            Self::Hold(hold) | Self::Release(hold) => &hold.program,
            Self::End(end) => &end.program,
            Self::Forget(program) => program,
            Self::UpstreamEnded(end) => &end.program,
        }
    }
}

impl CallIntent {
    /// Returns the call's permanent idempotency key for upstreams.
    #[must_use]
    pub fn idempotency_key(&self) -> SmolStr {
        idempotency_key(&self.program, self.sequence)
    }
}

/// Returns the permanent idempotency key of a call for upstreams.
#[must_use]
pub fn idempotency_key(program: &ProgramId, sequence: SequenceNumber) -> SmolStr {
    smol_str::format_smolstr!("{program}/{sequence}")
}
