//! Commands for the task that owns a copy of a shard.

use std::sync::Arc;

use smol_str::SmolStr;
use tokio::sync::oneshot;

use super::context::DispatchJob;
use super::copy::{AppendReply, AppendRequest, InstallRequest};
use super::stream::StreamBuffer;
use crate::contract::{BeginReply, CallSpec, HistoryReply, ProgramReply, Refusal};
use crate::ids::{OrganisationId, ProgramId, SequenceNumber, ShardEpoch, TokenCount, UpstreamName};
use crate::program::{BodyDigest, CallOutcome, ProgramBegin, TableSummary};

/// The reply to a call.
#[derive(Clone, Debug)]
pub enum CallReply {
    /// The final outcome.
    Outcome(CallOutcome),
    /// The response is being generated and can be read from the buffer.
    Stream(Arc<StreamBuffer>),
    /// The call was refused; no outcome is stored.
    Refused(Refusal),
    /// This copy is not the primary's; the sender has to look up the primary again.
    NotPrimary,
}

/// A call that a caller has made.
#[derive(Debug)]
pub struct CallCommand {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the request's body.
    pub digest: BodyDigest,
    /// The requested model or service call.
    pub spec: CallSpec,
    /// Organisation of the caller's access token.
    pub organisation: OrganisationId,
    /// Receives the reply.
    pub reply: oneshot::Sender<CallReply>,
}

/// The result of a dispatch.
#[derive(Clone, Debug)]
pub struct DispatchResult {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Epoch of the shard in which the call was dispatched.
    pub epoch: ShardEpoch,
    /// The outcome.
    pub outcome: CallOutcome,
    /// Tokens used.
    pub used: TokenCount,
    /// Engine that served the call and can hold the program's prefix.
    pub hold: Option<UpstreamName>,
}

/// A read-only query about a program.
#[derive(Debug)]
pub enum ProgramQuery {
    /// The program's state.
    Program(oneshot::Sender<Result<ProgramReply, Refusal>>),
    /// The program's conversation.
    History(oneshot::Sender<Result<HistoryReply, Refusal>>),
    /// The reply to an earlier call, whether it is running or finished.
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
    /// Index of the last log entry.
    pub index: u64,
    /// Backups of the primary.
    pub backups: Vec<SmolStr>,
    /// Whether the primary replicates within its own failure domain only.
    pub detached: bool,
    /// Number of running calls.
    pub running_calls: usize,
    /// Program counts.
    pub book: Option<TableSummary>,
}

/// A command for the task that owns a copy.
#[derive(Debug)]
pub enum ShardCommand {
    /// Begins a program.
    Begin(
        Box<ProgramBegin>,
        oneshot::Sender<Option<Result<BeginReply, Refusal>>>,
    ),
    /// Makes a call.
    Call(Box<CallCommand>),
    /// Queries a program.
    Query(ProgramId, OrganisationId, ProgramQuery),
    /// Ends a program.
    End(
        ProgramId,
        OrganisationId,
        oneshot::Sender<Option<Result<ProgramReply, Refusal>>>,
    ),
    /// Reports the result of a dispatch.
    DispatchFinished(Box<DispatchResult>),
    /// Reports that an upstream ended while it ran a call that may be sent again.
    UpstreamEnded(Box<DispatchJob>),
    /// Reports a hold that an engine lists; it is released unless the program's record has it.
    AuditHold(ProgramId, UpstreamName),
    /// Reports that an engine has confirmed the release of a program's prefix.
    Released(ProgramId, UpstreamName),
    /// Appends log entries of a primary.
    Append(AppendRequest, oneshot::Sender<AppendReply>),
    /// Installs a snapshot of a primary's copy.
    Install(Box<InstallRequest>, oneshot::Sender<AppendReply>),
    /// Makes the primary hand the shard over because the instance is stopping.
    Drain,
    /// Returns the state for a dump.
    Dump(oneshot::Sender<CopyDump>),
}
