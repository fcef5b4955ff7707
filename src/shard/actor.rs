//! The task that owns one copy of a shard, in whatever role the map gives it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use smol_str::ToSmolStr;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::command::{CallReply, CopyDump, ProgramQuery, ShardCommand};
use super::context::ShardContext;
use super::copy::{AppendReply, AppendRequest, BackupRole, InstallRequest, PrimaryRole, ShardCopy};
use super::keeper::ProposeError;
use super::map::{MapChange, ShardPlacement, VersionedMap, map_key};
use super::primary::PrimaryState;
use super::role::{CurrentRole, RoleChange, decide_role};
use crate::ids::{InstanceRef, ShardEpoch, ShardId};
use crate::keyvalue::KeyValueError;

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
        takeover: None,
    };
    tokio::spawn(actor.run(inbox));
    sender
}

impl CopyState {
    fn held(&self) -> CurrentRole {
        match self {
            Self::Absent => CurrentRole::Absent,
            Self::Backup(copy) => CurrentRole::Backup(copy.epoch()),
            Self::Primary(primary) => CurrentRole::Primary(primary.epoch()),
        }
    }
}

struct CopyActor {
    shard: ShardId,
    context: Arc<ShardContext>,
    sender: mpsc::Sender<ShardCommand>,
    state: CopyState,
    suspected_since: Option<Instant>,
    takeover: Option<JoinHandle<()>>,
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
                count = inbox.recv_many(&mut commands, context.settings.max_batch) => {
                    if count == 0 {
                        return;
                    }
                    self.handle(std::mem::take(&mut commands)).await;
                }
                _ = ticks.tick() => self.tick().await,
            }
        }
    }

    fn held(&self) -> CurrentRole {
        let recovered = self.context.recovered_position(&self.shard);
        match (&self.state, recovered) {
            (CopyState::Absent, Some((epoch, _))) => CurrentRole::Recovered(epoch),
            (state, _) => state.held(),
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
        let change = decide_role(self.held(), &placement, &self.me());
        let state = std::mem::replace(&mut self.state, CopyState::Absent);
        self.state = match (change, state) {
            (RoleChange::Keep, state) => state,
            (RoleChange::StartEmptyBackup, _) => {
                self.state = CopyState::Backup(ShardCopy::empty(placement.epoch));
                return self.persist_copy().await;
            }
            (RoleChange::Adopt, CopyState::Primary(mut primary)) => {
                primary.adopt(&placement);
                CopyState::Primary(primary)
            }
            (RoleChange::StepDown, CopyState::Primary(primary)) => {
                CopyState::Backup(primary.resign(&self.shard))
            }
            (RoleChange::Drop, state) => {
                if let CopyState::Primary(primary) = state {
                    primary.resign(&self.shard);
                }
                self.context.take_recovered(&self.shard);
                if let Some(store) = &self.context.store {
                    store.remove(&self.shard).await;
                }
                CopyState::Absent
            }
            (RoleChange::Promote | RoleChange::StartEmptyPrimary, state) => {
                return self.promote(state, &placement).await;
            }
            (RoleChange::Restore, _) => {
                let Some(copy) = self.context.take_recovered(&self.shard) else {
                    return;
                };
                log::info!("shard restored from disk shard={}", self.shard);
                let state = CopyState::Backup(ShardCopy::recovered(copy));
                return self.promote(state, &placement).await;
            }
            (_, _) => CopyState::Absent,
        };
    }

    async fn promote(&mut self, state: CopyState, placement: &ShardPlacement) {
        let copy = match state {
            CopyState::Backup(copy) => copy,
            _ => ShardCopy::empty(placement.epoch - 1),
        };
        match copy.promote(placement.epoch) {
            Ok(copy) => self.start_primary(copy, placement).await,
            Err(copy) => self.state = CopyState::Backup(copy),
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
                self.handle_as_follower(command).await;
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
        self.handle_as_follower(command).await;
    }

    async fn handle_as_follower(&mut self, command: ShardCommand) {
        match command {
            ShardCommand::Append(request, reply) => {
                let verdict = self.append(&request);
                self.persist_entries(&request, verdict).await;
                // A primary that is gone does not need the answer.
                let _ = reply.send(verdict);
            }
            ShardCommand::Install(request, reply) => {
                let verdict = self.install(*request);
                if verdict == AppendReply::Stored {
                    self.persist_copy().await;
                }
                let _ = reply.send(verdict);
            }
            ShardCommand::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            other => answer_moved(other),
        }
    }

    /// Puts entries that were stored here on the disk, before they are acknowledged.
    async fn persist_entries(&mut self, request: &AppendRequest, verdict: AppendReply) {
        let Some(store) = self.context.store.clone() else {
            return;
        };
        let CopyState::Backup(copy) = &self.state else {
            return;
        };
        if verdict != AppendReply::Stored || request.entries.is_empty() {
            return;
        }
        store
            .append(
                &self.shard,
                request.previous,
                request.epoch,
                &request.entries,
            )
            .await;
        if copy.position().index % ENTRIES_PER_COPY < request.entries.len() as u64 {
            self.persist_copy().await;
        }
    }

    /// Puts the whole copy on the disk.
    async fn persist_copy(&self) {
        let (Some(store), CopyState::Backup(copy)) = (&self.context.store, &self.state) else {
            return;
        };
        // What was found at the start is out of date now.
        self.context.take_recovered(&self.shard);
        store
            .replace(&self.shard, copy.epoch(), copy.position(), copy.table())
            .await;
    }

    /// Returns whether a newer map is known here than the epoch: its primary writes no more.
    ///
    /// This holds for an instance without a copy as well. Were it to take one of an old epoch, an old
    /// primary could count on it although the shard has moved on.
    fn is_outdated(&self, epoch: ShardEpoch) -> bool {
        let placement = self.context.maps.placement(&self.shard);
        placement.is_some_and(|placement| epoch < placement.epoch)
    }

    fn append(&mut self, request: &AppendRequest) -> AppendReply {
        if self.is_outdated(request.epoch) {
            return AppendReply::Stale;
        }
        match &mut self.state {
            CopyState::Backup(copy) => copy.append(request),
            CopyState::Absent => AppendReply::Gap,
            CopyState::Primary(_) => AppendReply::Stale,
        }
    }

    fn install(&mut self, request: InstallRequest) -> AppendReply {
        if self.is_outdated(request.epoch) {
            return AppendReply::Stale;
        }
        match &mut self.state {
            CopyState::Backup(copy) => copy.install(request),
            CopyState::Absent => {
                self.state = CopyState::Backup(ShardCopy::installed(request));
                AppendReply::Stored
            }
            CopyState::Primary(_) => AppendReply::Stale,
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
            CopyState::Backup(_) => self.look_after_primary(),
        }
    }

    /// Takes the shard over where its primary does not answer any more.
    fn look_after_primary(&mut self) {
        let Some(placement) = self.context.maps.placement(&self.shard) else {
            return;
        };
        let now = Instant::now();
        if !self.may_take_over(&placement, now) {
            return;
        }
        if self
            .takeover
            .as_ref()
            .is_some_and(|takeover| !takeover.is_finished())
        {
            return;
        }
        log::info!(
            "shard takeover begins shard={} epoch={} primary={}",
            self.shard,
            placement.epoch,
            placement.primary
        );
        let context = self.context.clone();
        let shard = self.shard.clone();
        // Until the map has changed this copy goes on following: the suspicion may be wrong.
        self.takeover = Some(tokio::spawn(take_over(context, shard, placement)));
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
                book: Some(copy.table().summary()),
                ..empty("backup", copy.epoch(), copy.position().index)
            },
            CopyState::Primary(primary) => primary.dump(),
        }
    }
}

/// Asks the map to make this instance's copy the primary's, without the members it suspects.
async fn take_over(context: Arc<ShardContext>, shard: ShardId, placement: ShardPlacement) {
    let view = context.peers.view();
    let now = Instant::now();
    let without: Vec<InstanceRef> = placement
        .members()
        .filter(|member| **member != view.me && view.suspects(member, now))
        .cloned()
        .collect();
    let by = view.me.clone();
    let change = MapChange::TakeOver { by, without };
    match context.maps.propose(&shard, placement.epoch, change).await {
        Ok(_) => {
            context.counters.takeovers.fetch_add(1, Ordering::Relaxed);
        }
        // The newer map that stood in the way is known now.
        Err(ProposeError::Conflict(_)) => {}
        Err(error) => log::info!("shard takeover waits shard={shard} error={error}"),
    }
}

/// Reads the map of a shard's failure domain from the platform.
pub async fn refresh_map(context: &ShardContext, shard: &ShardId) -> Result<(), KeyValueError> {
    let entry = context.key_value.read_key(&map_key(&shard.domain)).await?;
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
        ShardCommand::Call(call) => drop(call.reply.send(CallReply::NotPrimary)),
        ShardCommand::Query(_, _, ProgramQuery::Call(_, reply)) => {
            drop(reply.send(CallReply::NotPrimary));
        }
        ShardCommand::Append(_, reply) | ShardCommand::Install(_, reply) => {
            let _ = reply.send(AppendReply::Stale);
        }
        ShardCommand::Query(..)
        | ShardCommand::DispatchFinished(_)
        | ShardCommand::Released(..)
        | ShardCommand::AuditHold(..)
        | ShardCommand::Drain
        | ShardCommand::Dump(_) => {}
    }
}

/// Entries after which the disk gets a whole copy in their place.
pub const ENTRIES_PER_COPY: u64 = 4096;

/// Pause between two tries of an append that some backup has not stored.
pub const APPEND_PAUSE: Duration = Duration::from_millis(25);
