//! The task that owns one copy of a shard, in whatever role the map gives it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smol_str::ToSmolStr;
use tokio::sync::mpsc;

use super::command::{CallReply, CopyDump, InspectQuestion, ShardCommand};
use super::context::ShardContext;
use super::copy::{
    AppendReply, AppendRequest, BackupRole, InstallRequest, PrimaryRole, SealedRole, ShardCopy,
};
use super::keeper::ProposeError;
use super::map::{MapChange, ShardPlacement, VersionedMap, map_key};
use super::primary::PrimaryState;
use crate::ids::{InstanceRef, ShardEpoch, ShardId};
use crate::platform::PlatformError;

/// Commands that may wait for the task.
const INBOX: usize = 4096;

/// How much longer than for its local members a remote backup waits before it takes a shard over
/// whose failure domain still has an instance that answers.
const REMOTE_PATIENCE: u32 = 3;

/// A copy in the role that it has at the moment.
#[derive(Debug)]
enum CopyState {
    Absent,
    Backup(ShardCopy<BackupRole>),
    Sealed(ShardCopy<SealedRole>),
    Primary(Box<PrimaryState>),
}

/// Starts the task of a copy and returns where its commands go.
#[must_use]
pub fn spawn_copy(shard: ShardId, context: Arc<ShardContext>) -> mpsc::Sender<ShardCommand> {
    let (sender, inbox) = mpsc::channel(INBOX);
    let actor = CopyActor {
        shard,
        context,
        sender: sender.clone(),
        state: CopyState::Absent,
        suspected_since: None,
    };
    tokio::spawn(actor.run(inbox));
    sender
}

struct CopyActor {
    shard: ShardId,
    context: Arc<ShardContext>,
    sender: mpsc::Sender<ShardCommand>,
    state: CopyState,
    suspected_since: Option<Instant>,
}

impl CopyActor {
    async fn run(mut self, mut inbox: mpsc::Receiver<ShardCommand>) {
        let context = self.context.clone();
        let mut maps = context.maps.subscribe();
        let mut ticks = tokio::time::interval(context.settings.tick);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let mut commands = Vec::new();
        self.reconcile().await;
        loop {
            tokio::select! {
                () = context.stop.cancelled() => return,
                _ = maps.changed() => self.reconcile().await,
                count = inbox.recv_many(&mut commands, context.settings.batch) => {
                    if count == 0 {
                        return;
                    }
                    self.handle(std::mem::take(&mut commands)).await;
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    fn me(&self) -> InstanceRef {
        self.context.peers.view().me.clone()
    }

    /// Takes the role that the newest known map gives this instance.
    async fn reconcile(&mut self) {
        let Some(placement) = self.context.maps.placement(&self.shard) else {
            return;
        };
        let me = self.me();
        let state = std::mem::replace(&mut self.state, CopyState::Absent);
        if placement.primary == me {
            self.become_primary(state, placement).await;
            return;
        }
        let listed = placement.backups.contains(&me);
        self.state = match state {
            CopyState::Primary(primary) if primary.epoch() > placement.epoch => {
                CopyState::Primary(primary)
            }
            CopyState::Primary(primary) => {
                let copy = primary.resign(&self.shard);
                if listed {
                    CopyState::Backup(copy)
                } else {
                    CopyState::Absent
                }
            }
            CopyState::Backup(copy) if listed || copy.epoch() > placement.epoch => {
                CopyState::Backup(copy)
            }
            CopyState::Sealed(copy) if listed && placement.epoch <= copy.sealed() => {
                CopyState::Sealed(copy)
            }
            CopyState::Sealed(copy) if listed => CopyState::Backup(copy.reopen()),
            CopyState::Absent if listed && placement.empty_epoch == placement.epoch => {
                CopyState::Backup(ShardCopy::empty(placement.epoch))
            }
            CopyState::Absent | CopyState::Backup(_) | CopyState::Sealed(_) => CopyState::Absent,
        };
    }

    async fn become_primary(&mut self, state: CopyState, placement: ShardPlacement) {
        let copy = match state {
            CopyState::Primary(mut primary) => {
                primary.adopt(&placement);
                self.state = CopyState::Primary(primary);
                return;
            }
            CopyState::Backup(copy) => copy.seal(placement.epoch - 1).promote(placement.epoch),
            CopyState::Sealed(copy) => copy.promote(placement.epoch),
            CopyState::Absent if placement.empty_epoch == placement.epoch => {
                ShardCopy::empty(placement.epoch - 1)
                    .seal(placement.epoch - 1)
                    .promote(placement.epoch)
            }
            CopyState::Absent => return,
        };
        match copy {
            Ok(copy) => self.start_primary(copy, &placement).await,
            Err(sealed) => self.state = CopyState::Sealed(sealed),
        }
    }

    /// Begins to serve as primary, once every backup has the same copy.
    async fn start_primary(&mut self, copy: ShardCopy<PrimaryRole>, placement: &ShardPlacement) {
        log::info!(
            "shard primary shard={} epoch={} index={} backups={}",
            self.shard,
            placement.epoch,
            copy.position().index,
            placement.backups.len()
        );
        let context = self.context.clone();
        let mut primary = PrimaryState::new(
            self.shard.clone(),
            context,
            self.sender.clone(),
            copy,
            placement.backups.clone(),
        );
        let begun = primary.begin_tenure().await;
        self.state = CopyState::Primary(Box::new(primary));
        if begun.is_err() {
            Box::pin(self.reconcile()).await;
        }
    }

    async fn handle(&mut self, commands: Vec<ShardCommand>) {
        let CopyState::Primary(primary) = &mut self.state else {
            for command in commands {
                self.handle_as_follower(command);
            }
            return;
        };
        let (own, from_peers): (Vec<_>, Vec<_>) = commands
            .into_iter()
            .partition(|command| !is_from_peer(command));
        let served = primary.serve(own).await;
        if served.is_err() {
            self.reconcile().await;
        }
        for command in from_peers {
            self.handle_from_peer(command).await;
        }
    }

    /// Handles another primary's command while this copy may still count as the primary's.
    async fn handle_from_peer(&mut self, command: ShardCommand) {
        let newer = match &command {
            ShardCommand::Append(request, _) => request.epoch,
            ShardCommand::Install(request, _) => request.epoch,
            _ => 0,
        };
        if let CopyState::Primary(primary) = &self.state
            && newer > primary.epoch()
        {
            // The map must have changed for another to write in a newer epoch.
            self.refresh_map().await;
            self.reconcile().await;
        }
        self.handle_as_follower(command);
    }

    fn handle_as_follower(&mut self, command: ShardCommand) {
        match command {
            ShardCommand::Append(request, reply) => {
                let verdict = self.append(&request);
                // A primary that is gone does not need the answer.
                let _ = reply.send(verdict);
            }
            ShardCommand::Install(request, reply) => {
                let verdict = self.install(*request);
                let _ = reply.send(verdict);
            }
            ShardCommand::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            other => answer_moved(other),
        }
    }

    fn append(&mut self, request: &AppendRequest) -> AppendReply {
        match &mut self.state {
            CopyState::Backup(copy) => copy.append(request),
            CopyState::Absent => AppendReply::Gap,
            CopyState::Sealed(copy) if request.epoch > copy.sealed() => AppendReply::Gap,
            CopyState::Sealed(_) | CopyState::Primary(_) => AppendReply::Stale,
        }
    }

    fn install(&mut self, request: InstallRequest) -> AppendReply {
        match &mut self.state {
            CopyState::Backup(copy) => copy.install(request),
            CopyState::Absent => {
                self.state = CopyState::Backup(ShardCopy::installed(request));
                AppendReply::Stored
            }
            CopyState::Sealed(copy) if request.epoch > copy.sealed() => {
                self.state = CopyState::Backup(ShardCopy::installed(request));
                AppendReply::Stored
            }
            CopyState::Sealed(_) | CopyState::Primary(_) => AppendReply::Stale,
        }
    }

    async fn tick(&mut self) {
        match &mut self.state {
            CopyState::Absent => {}
            CopyState::Primary(primary) => {
                if primary.tick().await.is_err() {
                    self.reconcile().await;
                }
            }
            CopyState::Backup(_) => self.look_after_primary().await,
            CopyState::Sealed(_) => self.finish_takeover().await,
        }
    }

    /// Takes the shard over where its primary does not answer any more.
    async fn look_after_primary(&mut self) {
        let Some(placement) = self.context.maps.placement(&self.shard) else {
            return;
        };
        let now = Instant::now();
        if !self.may_take_over(&placement, now) {
            return;
        }
        // Sealing stops the old primary, so it is done only while the platform can answer.
        if !self.refresh_map().await {
            return;
        }
        let Some(fresh) = self.context.maps.placement(&self.shard) else {
            return;
        };
        if fresh != placement {
            self.reconcile().await;
            return;
        }
        if let CopyState::Backup(copy) = std::mem::replace(&mut self.state, CopyState::Absent) {
            log::info!(
                "shard takeover begins shard={} epoch={} primary={}",
                self.shard,
                placement.epoch,
                placement.primary
            );
            self.state = CopyState::Sealed(copy.seal(placement.epoch));
            self.finish_takeover().await;
        }
    }

    fn may_take_over(&mut self, placement: &ShardPlacement, now: Instant) -> bool {
        let view = self.context.peers.view();
        if !placement.backups.contains(&view.me) || !view.suspects(&placement.primary, now) {
            self.suspected_since = None;
            return false;
        }
        let since = *self.suspected_since.get_or_insert(now);
        if view.domain == self.shard.domain {
            return true;
        }
        let lost = self.context.config.load().is_lost(&self.shard.domain);
        if lost {
            return true;
        }
        let local: Vec<&InstanceRef> = placement
            .members()
            .filter(|member| **member != view.me)
            .filter(|member| {
                view.record(member)
                    .is_none_or(|one| one.domain == self.shard.domain)
            })
            .collect();
        if local.iter().all(|member| view.has_ended(member)) {
            return true;
        }
        // The domain can be reached and its members can't: they are down, not cut off.
        let patience = view.suspect_after * REMOTE_PATIENCE;
        let connected = !view.live_in(&self.shard.domain, now).is_empty();
        let silent = local.iter().all(|member| view.suspects(member, now));
        connected && silent && now.duration_since(since) > patience
    }

    /// Asks the map for the shard, as often as it takes to get an answer.
    async fn finish_takeover(&mut self) {
        let Some(placement) = self.context.maps.placement(&self.shard) else {
            return;
        };
        let me = self.me();
        if !placement.backups.contains(&me) {
            self.reconcile().await;
            return;
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let without: Vec<InstanceRef> = placement
            .members()
            .filter(|member| **member != me && view.suspects(member, now))
            .cloned()
            .collect();
        let change = MapChange::TakeOver { by: me, without };
        let proposed = self
            .context
            .maps
            .propose(&self.shard, placement.epoch, change)
            .await;
        match proposed {
            Ok(_) => {
                self.context
                    .counters
                    .takeovers
                    .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                self.reconcile().await;
            }
            Err(ProposeError::Conflict(_)) => self.reconcile().await,
            Err(error) => log::info!("shard takeover waits shard={} error={error}", self.shard),
        }
    }

    /// Reads the domain's map from the platform; returns whether there was an answer.
    async fn refresh_map(&self) -> bool {
        refresh_map(&self.context, &self.shard).await.is_ok()
    }

    fn dump(&self) -> CopyDump {
        let empty = |role: &str, epoch: ShardEpoch, index| CopyDump {
            shard: self.shard.to_smolstr(),
            role: role.into(),
            epoch,
            index,
            backups: Vec::new(),
            detached: false,
            running_calls: 0,
            book: None,
        };
        match &self.state {
            CopyState::Absent => empty("absent", 0, 0),
            CopyState::Backup(copy) => CopyDump {
                book: Some(copy.book().summary()),
                ..empty("backup", copy.epoch(), copy.position().index)
            },
            CopyState::Sealed(copy) => CopyDump {
                book: Some(copy.book().summary()),
                ..empty("sealed", copy.epoch(), copy.position().index)
            },
            CopyState::Primary(primary) => primary.dump(),
        }
    }
}

/// Reads the map of a shard's failure domain from the platform.
pub async fn refresh_map(context: &ShardContext, shard: &ShardId) -> Result<(), PlatformError> {
    let entry = context.platform.read_key(&map_key(&shard.domain)).await?;
    let Some(entry) = entry else { return Ok(()) };
    if let Ok(map) = serde_json::from_str(&entry.value) {
        let revision = entry.revision;
        context.maps.adopt(VersionedMap { revision, map });
    }
    Ok(())
}

fn is_from_peer(command: &ShardCommand) -> bool {
    matches!(
        command,
        ShardCommand::Append(..) | ShardCommand::Install(..)
    )
}

/// Tells whoever waits for the command that this copy is not the primary's.
pub fn answer_moved(command: ShardCommand) {
    // Whoever is gone does not need the answer.
    match command {
        ShardCommand::Begin(_, reply) => drop(reply.send(None)),
        ShardCommand::End(_, _, reply) => drop(reply.send(None)),
        ShardCommand::Call(call) => drop(call.reply.send(CallReply::Moved)),
        ShardCommand::Inspect(_, _, InspectQuestion::Call(_, _, reply)) => {
            drop(reply.send(CallReply::Moved));
        }
        ShardCommand::Append(_, reply) | ShardCommand::Install(_, reply) => {
            let _ = reply.send(AppendReply::Stale);
        }
        ShardCommand::Inspect(..)
        | ShardCommand::Done(_)
        | ShardCommand::Released(..)
        | ShardCommand::AuditHold(..)
        | ShardCommand::Drain
        | ShardCommand::Dump(_) => {}
    }
}

/// Pause between two tries of an append that some backup has not stored.
pub const APPEND_PAUSE: Duration = Duration::from_millis(25);
