//! The copies of shards that this instance holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::InstanceState;
use crate::ids::{InstanceRef, ProgramId, ShardId, UpstreamName};
use crate::shard::{CopyDump, LogPosition, ShardCommand, ShardContext, ShardCounters, spawn_copy};

type CopySenders = HashMap<ShardId, mpsc::Sender<ShardCommand>>;

/// The tasks of this instance's copies.
#[derive(Debug)]
pub struct ShardHost {
    context: Arc<ShardContext>,
    copies: ArcSwap<CopySenders>,
    writer: Mutex<()>,
}

impl ShardHost {
    /// Starts without copies.
    #[must_use]
    pub fn new(context: Arc<ShardContext>) -> Self {
        Self {
            context,
            copies: ArcSwap::default(),
            writer: Mutex::new(()),
        }
    }

    /// Returns whether copies are kept on a disk.
    pub fn has_disk(&self) -> bool {
        self.context
            .store
            .as_ref()
            .is_some_and(|store| !store.has_failed())
    }

    /// Returns how far a shard's copy reaches that was found on the disk.
    pub fn recovered(&self, shard: &ShardId) -> Option<LogPosition> {
        self.context
            .recovered_position(shard)
            .map(|(_, position)| position)
    }

    /// Returns the counters of all copies.
    pub fn counters(&self) -> &ShardCounters {
        &self.context.counters
    }

    /// Returns where the commands of a shard's copy go, with the task started if need be.
    pub fn copy(&self, shard: &ShardId) -> mpsc::Sender<ShardCommand> {
        if let Some(sender) = self.copies.load().get(shard) {
            return sender.clone();
        }
        let _writer = self.writer.lock().unwrap_or_else(PoisonError::into_inner);
        let copies = self.copies.load();
        if let Some(sender) = copies.get(shard) {
            return sender.clone();
        }
        let sender = spawn_copy(shard.clone(), self.context.clone());
        let mut next = CopySenders::clone(&copies);
        next.insert(shard.clone(), sender.clone());
        self.copies.store(Arc::new(next));
        sender
    }

    /// Starts the tasks of the copies that the maps give to this instance.
    fn start_listed(&self, me: &InstanceRef) {
        for map in self.context.maps.all() {
            for (index, placement) in map.map.shards.iter().enumerate() {
                if !placement.has_member(me) {
                    continue;
                }
                let shard = ShardId {
                    domain: map.map.domain.clone(),
                    index: u16::try_from(index).unwrap_or(u16::MAX),
                };
                self.copy(&shard);
            }
        }
    }

    /// Tells every copy that the instance is stopping.
    pub async fn drain(&self) {
        for sender in self.copies.load().values() {
            // A task that is gone has nothing to hand over.
            let _ = sender.send(ShardCommand::Drain).await;
        }
    }

    /// Returns the state of every copy.
    pub async fn dump(&self) -> Vec<CopyDump> {
        let copies = self.copies.load_full();
        let mut dumps = Vec::new();
        for sender in copies.values() {
            let (reply, dump) = oneshot::channel();
            if sender.try_send(ShardCommand::Dump(reply)).is_err() {
                continue;
            }
            let waited = tokio::time::timeout(std::time::Duration::from_millis(500), dump).await;
            if let Ok(Ok(dump)) = waited {
                dumps.push(dump);
            }
        }
        dumps.sort_by(|one, other| one.shard.cmp(&other.shard));
        dumps
    }
}

/// Starts the tasks of copies as maps give them to this instance.
pub async fn follow_maps(state: Arc<InstanceState>) {
    let mut maps = state.maps.subscribe();
    let me = state.peers.view().me.clone();
    loop {
        state.shards.start_listed(&me);
        tokio::select! {
            changed = maps.changed() => if changed.is_err() { return },
            () = state.stop.cancelled() => return,
        }
    }
}

/// Has the holds that engines list checked by the primaries that this instance has.
pub async fn audit_holds(
    state: Arc<InstanceState>,
    mut found: mpsc::Receiver<(ProgramId, UpstreamName)>,
) {
    while let Some((program, upstream)) = found.recv().await {
        let Ok(shard) = ShardId::of_program(&program) else {
            continue;
        };
        let me = state.peers.view().me.clone();
        let Some(placement) = state.maps.placement(&shard) else {
            continue;
        };
        if placement.primary != me {
            // Its primary is another instance's; that one is told by the holder of the duty there.
            super::forward::pass_hold(&state, &placement.primary, program, upstream);
            continue;
        }
        let command = ShardCommand::AuditHold(program, upstream);
        // A full inbox is tried again at the next reading.
        let _ = state.shards.copy(&shard).try_send(command);
    }
}
