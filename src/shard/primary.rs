//! The primary's copy of a shard: decides on commands, stores the entries at every backup, and replies
//! only after that.

mod replicate;
mod stage;
mod tenure;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Instant;

use smol_str::ToSmolStr;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::command::{CopyDump, ShardCommand};
use super::context::{DispatchJob, ShardContext};
use super::copy::{BackupRole, LogPosition, PrimaryRole, ShardCopy};
use super::map::ShardPlacement;
use super::stream::StreamBuffer;
use crate::ids::{InstanceRef, ProgramId, SequenceNumber, ShardEpoch, ShardId, UpstreamName};

/// The copy is no longer the primary's, or it is unknown whether it is.
#[derive(Clone, Copy, Debug)]
pub struct DeposedError;

/// Identifies a call within a shard.
type CallKey = (ProgramId, SequenceNumber);

#[derive(Debug)]
struct RunningCall {
    stream: Arc<StreamBuffer>,
    cancel: CancellationToken,
    idempotent: bool,
}

/// A primary's copy with its running calls and pending work.
#[derive(Debug)]
pub struct PrimaryState {
    shard: ShardId,
    context: Arc<ShardContext>,
    sender: mpsc::Sender<ShardCommand>,
    copy: ShardCopy<PrimaryRole>,
    backups: Vec<InstanceRef>,
    running: HashMap<CallKey, RunningCall>,
    /// Dispatches of non-idempotent calls, deferred while the state is detached.
    deferred: Vec<DispatchJob>,
    /// Whether entries are replicated within the shard's own failure domain only.
    detached: bool,
    draining: bool,
    /// Engines' holds on prefixes, with the time of the last request; for holds taken over from an
    /// earlier primary, the start of the tenure.
    holds: HashMap<(ProgramId, UpstreamName), Instant>,
    /// Position before the entries that are applied to this copy but not yet stored at the backups.
    staged_from: LogPosition,
    last_sweep: Instant,
    last_repair: Instant,
    /// Cancelled when this copy's tenure as primary ends.
    tenure: CancellationToken,
}

impl PrimaryState {
    /// Creates the state of a copy that was just promoted.
    pub fn new(
        shard: ShardId,
        context: Arc<ShardContext>,
        sender: mpsc::Sender<ShardCommand>,
        copy: ShardCopy<PrimaryRole>,
        backups: Vec<InstanceRef>,
    ) -> Self {
        let now = Instant::now();
        let staged_from = copy.position();
        Self {
            shard,
            tenure: context.stop.child_token(),
            context,
            sender,
            copy,
            backups,
            running: HashMap::new(),
            deferred: Vec::new(),
            detached: false,
            draining: false,
            holds: HashMap::new(),
            staged_from,
            last_sweep: now,
            last_repair: now,
        }
    }

    /// Returns the epoch of the copy.
    pub fn epoch(&self) -> ShardEpoch {
        self.copy.epoch()
    }

    /// Applies a newer placement in which this instance remains primary.
    pub fn adopt(&mut self, placement: &ShardPlacement) {
        if placement.epoch > self.copy.epoch() {
            self.copy.advance(placement.epoch);
            self.backups.clone_from(&placement.backups);
        }
    }

    /// Ends the tenure as primary: cancels the running calls and leaves them to the next primary.
    pub fn step_down(mut self, shard: &ShardId) -> ShardCopy<BackupRole> {
        log::info!(
            "shard primary steps down shard={shard} epoch={}",
            self.copy.epoch()
        );
        self.tenure.cancel();
        self.context.dispatch.forget_shard(shard);
        for (_, running) in self.running.drain() {
            running.stream.close();
        }
        self.copy.step_down()
    }

    /// Returns the state for a dump.
    pub fn dump(&self) -> CopyDump {
        CopyDump {
            shard: self.shard.to_smolstr(),
            role: "primary".into(),
            epoch: self.copy.epoch(),
            index: self.copy.position().index,
            backups: self.backups.iter().map(ToSmolStr::to_smolstr).collect(),
            detached: self.detached,
            running_calls: self.running.len(),
            book: Some(self.copy.table().summary()),
        }
    }
}
