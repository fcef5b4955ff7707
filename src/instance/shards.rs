//! The shard copies that this instance holds.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use tokio::sync::{mpsc, oneshot};

use super::InstanceState;
use crate::ids::{InstanceRef, ProgramId, ShardId, UpstreamName};
use crate::shard::{CopyDump, LogPosition, ShardCommand, ShardContext, ShardCounters, spawn_copy};

type CopySenders = HashMap<ShardId, mpsc::Sender<ShardCommand>>;

/// Starts the tasks of this instance's shard copies and sends them commands.
#[derive(Debug)]
pub struct ShardHost {
    context: Arc<ShardContext>,
    copies: ArcSwap<CopySenders>,
    writer: Mutex<()>,
}

impl ShardHost {
    /// Creates a host without copies.
    #[must_use]
    pub fn new(context: Arc<ShardContext>) -> Self {
        Self {
            context,
            copies: ArcSwap::default(),
            writer: Mutex::new(()),
        }
    }

    /// Returns whether copies are stored on a disk that has not failed.
    pub fn has_disk(&self) -> bool {
        self.context
            .store
            .as_ref()
            .is_some_and(|store| !store.has_failed())
    }

    /// Returns the last position of the copy of a shard that was found on disk at the start.
    pub fn recovered(&self, shard: &ShardId) -> Option<LogPosition> {
        self.context
            .recovered_position(shard)
            .map(|(_, position)| position)
    }

    /// Returns the counters of all copies.
    pub fn counters(&self) -> &ShardCounters {
        &self.context.counters
    }

    /// Returns the command channel of a shard's copy; starts the copy's task if it is not running.
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

    /// Starts the tasks of the copies that the maps assign to this instance.
    fn start_assigned(&self, me: &InstanceRef) {
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

    /// Notifies every copy that the instance is draining.
    pub async fn drain(&self) {
        for sender in self.copies.load().values() {
            // A task that has ended has nothing to hand over.
            let _ = sender.send(ShardCommand::Drain).await;
        }
    }

    /// Returns the state of every copy that replies in time.
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

/// Starts the tasks of copies whenever the maps assign new ones to this instance.
pub async fn follow_maps(state: Arc<InstanceState>) {
    let mut maps = state.maps.subscribe();
    let me = state.peers.view().me.clone();
    loop {
        state.shards.start_assigned(&me);
        tokio::select! {
            changed = maps.changed() => if changed.is_err() { return },
            () = state.stop.cancelled() => return,
        }
    }
}

/// Sends each hold from an engine's list to the primary of its program, which checks it.
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
            // The shard's primary is on another instance, which gets a notification.
            super::forward::forward_hold(&state, &placement.primary, program, upstream);
            continue;
        }
        let command = ShardCommand::AuditHold(program, upstream);
        // If the inbox is full, the next reading of the engine's holds sends the hold again.
        let _ = state.shards.copy(&shard).try_send(command);
    }
}
