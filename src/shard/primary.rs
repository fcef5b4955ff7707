//! A copy that serves as primary: it decides, stores at every backup, and only then answers.

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

/// The copy is not the primary's any more, or can't know whether it is.
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

/// A primary's copy with what is under way.
#[derive(Debug)]
pub struct PrimaryState {
    shard: ShardId,
    context: Arc<ShardContext>,
    sender: mpsc::Sender<ShardCommand>,
    copy: ShardCopy<PrimaryRole>,
    backups: Vec<InstanceRef>,
    running: HashMap<CallKey, RunningCall>,
    /// Dispatches that must not come twice, held back while the remote copy is out of reach.
    parked: Vec<DispatchJob>,
    detached: bool,
    draining: bool,
    holds: HashMap<(ProgramId, UpstreamName), Instant>,
    /// Place before the entries that are applied here and not stored at the backups yet.
    staged_from: LogPosition,
    swept: Instant,
    repaired: Instant,
    tenure: CancellationToken,
}

impl PrimaryState {
    /// Makes the state of a copy that was just promoted.
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
            parked: Vec::new(),
            detached: false,
            draining: false,
            holds: HashMap::new(),
            staged_from,
            swept: now,
            repaired: now,
        }
    }

    /// Returns the epoch of the copy.
    pub fn epoch(&self) -> ShardEpoch {
        self.copy.epoch()
    }

    /// Takes a newer placement in which this instance stays primary.
    pub fn adopt(&mut self, placement: &ShardPlacement) {
        if placement.epoch > self.copy.epoch() {
            self.copy.advance(placement.epoch);
            self.backups.clone_from(&placement.backups);
        }
    }

    /// Gives up the role; what was under way is left to the next primary.
    pub fn resign(mut self, shard: &ShardId) -> ShardCopy<BackupRole> {
        log::info!(
            "shard primary ends shard={shard} epoch={}",
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
