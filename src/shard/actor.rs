//! The task that owns one copy of a shard, in the role that the shard map assigns to it.

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

/// Capacity of the command queue of a task.
const INBOX_CAPACITY: usize = 4096;

/// Multiple of the suspicion timeout after which a remote backup takes a shard over although the
/// shard's failure domain still has a responding instance.
const REMOTE_SUSPECT_FACTOR: u32 = 3;

/// A copy with its current role.
#[derive(Debug)]
enum CopyState {
    Absent,
    Backup(ShardCopy<BackupRole>),
    Primary(Box<PrimaryState>),
}

/// Starts the task of a copy and returns the sender for its commands.
#[must_use]
pub fn spawn_copy(shard: ShardId, context: Arc<ShardContext>) -> mpsc::Sender<ShardCommand> {
    let (sender, inbox) = mpsc::channel(INBOX_CAPACITY);
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
    fn current_role(&self) -> CurrentRole {
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

    fn current_role(&self) -> CurrentRole {
        let recovered = self.context.recovered_position(&self.shard);
        match (&self.state, recovered) {
            (CopyState::Absent, Some((epoch, _))) => CurrentRole::Recovered(epoch),
            (state, _) => state.current_role(),
        }
    }

    fn me(&self) -> InstanceRef {
        self.context.peers.view().me.clone()
    }

    /// Switches to the role that the newest known map assigns to this instance.
    async fn reconcile(&mut self) {
        let Some(placement) = self.context.maps.placement(&self.shard) else {
            return;
        };
        let change = decide_role(self.current_role(), &placement, &self.me());
        let state = std::mem::replace(&mut self.state, CopyState::Absent);
        self.state = match (change, state) {
            (RoleChange::Keep, state) => state,
            (RoleChange::StartEmptyBackup, _) => {
                self.state = CopyState::Backup(ShardCopy::empty(placement.epoch));
                return self.persist_snapshot().await;
            }
            (RoleChange::Adopt, CopyState::Primary(mut primary)) => {
                primary.adopt(&placement);
                CopyState::Primary(primary)
            }
            (RoleChange::StepDown, CopyState::Primary(primary)) => {
                CopyState::Backup(primary.step_down(&self.shard))
            }
            (RoleChange::Drop, state) => {
                if let CopyState::Primary(primary) = state {
                    primary.step_down(&self.shard);
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
                log::info!("shard copy restored from disk shard={}", self.shard);
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

    /// Starts to serve as primary after every backup has the same state.
    async fn start_primary(&mut self, copy: ShardCopy<PrimaryRole>, placement: &ShardPlacement) {
        log::info!(
            "shard primary starts shard={} epoch={} index={} backups={}",
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
        let started = primary.begin_tenure().await;
        self.state = CopyState::Primary(Box::new(primary));
        if started.is_err() {
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
        let (from_callers, from_peers): (Vec<_>, Vec<_>) = commands
            .into_iter()
            .partition(|command| !is_from_peer(command));
        let served = primary.serve(from_callers).await;
        if served.is_err() {
            self.reconcile().await;
        }
        for command in from_peers {
            self.handle_from_peer(command).await;
        }
    }

    /// Handles a command of another primary while this copy still has the primary role.
    async fn handle_from_peer(&mut self, command: ShardCommand) {
        let request_epoch = match &command {
            ShardCommand::Append(request, _) => request.epoch,
            ShardCommand::Install(request, _) => request.epoch,
            _ => 0,
        };
        if let CopyState::Primary(primary) = &self.state
            && request_epoch > primary.epoch()
        {
            // Another primary writes in a newer epoch only if the map has changed.
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
                // The receiver is dropped if the primary no longer waits; the reply is not needed then.
                let _ = reply.send(verdict);
            }
            ShardCommand::Install(request, reply) => {
                let verdict = self.install(*request);
                if verdict == AppendReply::Stored {
                    self.persist_snapshot().await;
                }
                let _ = reply.send(verdict);
            }
            ShardCommand::Dump(reply) => {
                let _ = reply.send(self.dump());
            }
            other => reject_command(other),
        }
    }

    /// Writes entries to disk after this backup has applied them and before it acknowledges them.
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
        if copy.position().index % ENTRIES_PER_SNAPSHOT < request.entries.len() as u64 {
            self.persist_snapshot().await;
        }
    }

    /// Writes a snapshot of the backup's copy to disk.
    async fn persist_snapshot(&self) {
        let (Some(store), CopyState::Backup(copy)) = (&self.context.store, &self.state) else {
            return;
        };
        // The copy that was recovered at startup is now out of date.
        self.context.take_recovered(&self.shard);
        store
            .replace(&self.shard, copy.epoch(), copy.position(), copy.table())
            .await;
    }

    /// Returns whether the known map has a newer epoch, so that the primary of `epoch` is deposed.
    ///
    /// The check also applies to an instance without a copy: if it accepted a copy of an old epoch, the
    /// old primary could count it as a backup although the shard has a newer primary.
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
            CopyState::Backup(_) => self.watch_primary(),
        }
    }

    /// Starts a takeover of the shard if its primary no longer responds.
    fn watch_primary(&mut self) {
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
            "shard takeover starts shard={} epoch={} primary={}",
            self.shard,
            placement.epoch,
            placement.primary
        );
        let context = self.context.clone();
        let shard = self.shard.clone();
        // This copy remains a backup until the map has changed: the suspicion may be wrong.
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
                    .is_none_or(|record| record.domain == self.shard.domain)
            })
            .collect();
        if local.iter().all(|member| view.has_ended(member)) {
            return true;
        }
        // The domain is reachable but its members are not: they are down, not partitioned.
        let remote_timeout = view.suspect_after * REMOTE_SUSPECT_FACTOR;
        let connected = !view.live_in(&self.shard.domain, now).is_empty();
        let all_suspected = local.iter().all(|member| view.suspects(member, now));
        connected && all_suspected && now.duration_since(since) > remote_timeout
    }

    /// Reads the domain's map from the key-value service; returns whether the read succeeded.
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

/// Proposes a map with this instance as primary and without the members that it suspects.
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
        // The conflicting, newer map has been adopted.
        Err(ProposeError::Conflict(_)) => {}
        Err(error) => log::info!("shard takeover failed; retrying shard={shard} error={error}"),
    }
}

/// Reads the map of a shard's failure domain from the key-value service.
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

/// Replies to a command that this copy is not the primary's.
pub fn reject_command(command: ShardCommand) {
    // A dropped receiver no longer needs the reply.
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
        | ShardCommand::UpstreamEnded(_)
        | ShardCommand::Released(..)
        | ShardCommand::AuditHold(..)
        | ShardCommand::Drain
        | ShardCommand::Dump(_) => {}
    }
}

/// Entries on disk after which a snapshot replaces them.
pub const ENTRIES_PER_SNAPSHOT: u64 = 4096;

/// Delay before an append is sent again to the backups that have not stored it.
pub const APPEND_RETRY_DELAY: Duration = Duration::from_millis(25);
