//! Commands to the task that owns a copy of a shard.

use std::sync::Arc;

use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::copy::{AppendReply, AppendRequest, InstallRequest};
use super::stream::StreamBuffer;
use crate::contract::{BeginReply, CallSpec, HistoryReply, ProgramReply, Refusal};
use crate::ids::{OrganisationId, ProgramId, SequenceNumber, ShardEpoch, TokenCount, UpstreamName};
use crate::program::{BodyDigest, CallOutcome, ProgramBegin, TableSummary};

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum CallReply {
    /// The final outcome.
    Outcome(CallOutcome),
    /// The answer is coming.
    Stream(Arc<StreamBuffer>),
    /// Refused, without a stored outcome.
    Refused(Refusal),
    /// This copy is not the primary's any more; find the primary again.
    NotPrimary,
}

/// A call from a caller.
#[derive(Debug)]
pub struct CallCommand {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the body.
    pub digest: BodyDigest,
    /// What is asked for.
    pub spec: CallSpec,
    /// Organisation of the caller's token.
    pub organisation: OrganisationId,
    /// Where the answer goes.
    pub reply: oneshot::Sender<CallReply>,
}

/// What became of a dispatch.
#[derive(Clone, Debug)]
pub struct DispatchResult {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Epoch in which it was dispatched.
    pub epoch: ShardEpoch,
    /// The outcome.
    pub outcome: CallOutcome,
    /// Tokens used.
    pub used: TokenCount,
    /// Engine that served it and may keep the prefix now.
    pub hold: Option<UpstreamName>,
}

/// A question about a program that changes nothing.
#[derive(Debug)]
pub enum ProgramQuery {
    /// The program's state.
    Program(oneshot::Sender<Result<ProgramReply, Refusal>>),
    /// Its conversation.
    History(oneshot::Sender<Result<HistoryReply, Refusal>>),
    /// A call's answer, however late.
    Call(SequenceNumber, oneshot::Sender<CallReply>),
}

/// State of a copy for dumps.
#[derive(Clone, Debug, serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct CopyDump {
    /// The shard.
    pub shard: SmolStr,
    /// `primary`, `backup` or `absent`.
    pub role: SmolStr,
    /// Epoch of the copy.
    pub epoch: ShardEpoch,
    /// Index of its last entry.
    pub index: u64,
    /// Backups of the primary.
    pub backups: Vec<SmolStr>,
    /// Whether it goes on without its copy in another failure domain.
    pub detached: bool,
    /// Calls under way.
    pub running_calls: usize,
    /// Programs in numbers.
    pub book: Option<TableSummary>,
}

/// A command to the task that owns a copy.
#[derive(Debug)]
pub enum ShardCommand {
    /// Begin a program.
    Begin(
        Box<ProgramBegin>,
        oneshot::Sender<Option<Result<BeginReply, Refusal>>>,
    ),
    /// Call.
    Call(Box<CallCommand>),
    /// Ask about a program.
    Query(ProgramId, OrganisationId, ProgramQuery),
    /// End a program.
    End(
        ProgramId,
        OrganisationId,
        oneshot::Sender<Option<Result<ProgramReply, Refusal>>>,
    ),
    /// A dispatch has ended.
    DispatchFinished(Box<DispatchResult>),
    /// An engine lists a hold; have it released unless the table has it.
    AuditHold(ProgramId, UpstreamName),
    /// An engine has confirmed that it keeps a program's prefix no longer.
    Released(ProgramId, UpstreamName),
    /// Entries from a primary.
    Append(AppendRequest, oneshot::Sender<AppendReply>),
    /// A whole copy from a primary.
    Install(Box<InstallRequest>, oneshot::Sender<AppendReply>),
    /// The instance is stopping: hand the shard over.
    Drain,
    /// State for a dump.
    Dump(oneshot::Sender<CopyDump>),
}
