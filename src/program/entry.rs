//! Entries of a shard's log: everything that changes a program.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::budget::ProgramLimits;
use super::outcome::CallOutcome;
use crate::contract::CallSpec;
use crate::ids::{
    ClassName, OrganisationId, ProgramId, SequenceNumber, ShardEpoch, TokenCount, UpstreamName,
};

/// Digest of a request's body, by which a key that comes again with another body is found.
pub type BodyDigest = [u8; 16];

/// Computes the digest of a request's body.
#[must_use]
pub fn body_digest(body: &[u8]) -> BodyDigest {
    let mut digest = BodyDigest::default();
    digest.copy_from_slice(&blake3::hash(body).as_bytes()[..16]);
    digest
}

/// A program was accepted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProgramBegin {
    /// The program.
    pub program: ProgramId,
    /// Organisation that may see it.
    pub organisation: OrganisationId,
    /// Its class.
    pub class: ClassName,
    /// Digest of the begin's body.
    pub digest: BodyDigest,
    /// What it may use.
    pub limits: ProgramLimits,
    /// Whether the caller said how many tokens it wants.
    pub wishes_tokens: bool,
    /// When it was accepted.
    pub began: SystemTime,
    /// When it has to have ended.
    pub deadline: SystemTime,
    /// Program on whose budget it draws.
    pub parent: Option<ProgramId>,
    /// Sub-agent depth; 0 for a program that a caller began.
    pub depth: u8,
}

/// A call was accepted, its budget is reserved, and it may be dispatched from now on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallIntent {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the call's body.
    pub digest: BodyDigest,
    /// What is asked for, with the most tokens already cut to the budget.
    pub spec: CallSpec,
    /// Tokens reserved.
    pub reserved: TokenCount,
    /// Epoch of the shard in which the call was accepted.
    pub epoch: ShardEpoch,
    /// When it was accepted.
    pub accepted: SystemTime,
}

/// A call has its final outcome.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallResult {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// The outcome.
    pub outcome: CallOutcome,
    /// Tokens used, to settle the reservation with.
    pub used: TokenCount,
    /// When it was known.
    pub finished: SystemTime,
}

/// An engine keeps a program's prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EngineHold {
    /// The program.
    pub program: ProgramId,
    /// The engine.
    pub upstream: UpstreamName,
}

/// Why a program ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndReason {
    /// Its caller ended it.
    Caller,
    /// Its deadline passed.
    Deadline,
    /// It repeated the same call too often.
    Loop,
    /// The program on whose budget it drew has ended.
    Parent,
}

/// A program ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProgramEnd {
    /// The program.
    pub program: ProgramId,
    /// Why.
    pub reason: EndReason,
    /// When.
    pub ended: SystemTime,
}

/// One entry of a shard's log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum LogEntry {
    /// A program was accepted.
    Begin(ProgramBegin),
    /// A call was accepted and may be dispatched.
    Intent(CallIntent),
    /// A call has its outcome.
    Result(CallResult),
    /// An engine is about to keep a program's prefix.
    Hold(EngineHold),
    /// An engine has confirmed that it keeps a program's prefix no longer.
    Release(EngineHold),
    /// A program ended.
    End(ProgramEnd),
    /// A program that ended long ago is no longer remembered.
    Forget(ProgramId),
}

impl LogEntry {
    /// Returns the program that the entry is about.
    #[must_use]
    pub fn program(&self) -> &ProgramId {
        match self {
            Self::Begin(begin) => &begin.program,
            Self::Intent(intent) => &intent.program,
            Self::Result(result) => &result.program,
            Self::Hold(hold) | Self::Release(hold) => &hold.program,
            Self::End(end) => &end.program,
            Self::Forget(program) => program,
        }
    }
}

impl CallIntent {
    /// Key that identifies the call to upstreams for ever.
    #[must_use]
    pub fn idempotency_key(&self) -> SmolStr {
        idempotency_key(&self.program, self.sequence)
    }
}

/// Key that identifies a call to upstreams for ever.
#[must_use]
pub fn idempotency_key(program: &ProgramId, sequence: SequenceNumber) -> SmolStr {
    smol_str::format_smolstr!("{program}/{sequence}")
}
