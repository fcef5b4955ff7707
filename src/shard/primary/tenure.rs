//! What a primary does of its own accord: repair, release, sweep and hand-over.

use std::time::{Duration, Instant, SystemTime};

use super::{DeposedError, PrimaryState};
use crate::ids::{InstanceRef, ProgramId, UpstreamName};
use crate::keyvalue::KeyValueError;
use crate::membership::PeerRecord;
use crate::program::{ProgramRecord, sweep_expired};
use crate::shard::actor::refresh_map;
use crate::shard::command::ShardCommand;
use crate::shard::copy::AppendReply;
use crate::shard::keeper::ProposeError;
use crate::shard::map::MapChange;

/// Time between two sweeps of old programs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two looks at missing backups.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// How long a call that nobody waits for goes on.
const UNREAD_GRACE: Duration = Duration::from_secs(15);

/// Pauses between two tries to release a hold: the first, and the longest.
const RELEASE_PAUSES: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Pause between two readings of a map that a hand-over may have changed.
const DOUBT_PAUSE: Duration = Duration::from_millis(200);

impl PrimaryState {
    /// Brings every backup to this copy's state, then takes up what an earlier primary left.
    ///
    /// # Errors
    ///
    /// Returns [`DeposedError`] where another has become primary meanwhile.
    pub async fn begin_tenure(&mut self) -> Result<(), DeposedError> {
        self.replicate(self.copy.position(), Vec::new()).await?;
        self.staged_from = self.copy.position();
        self.persist_whole().await;
        let now = Instant::now();
        let mut ended = Vec::new();
        for (program, record) in self.copy.table().programs() {
            for upstream in &record.holds {
                let hold = (program.clone(), upstream.clone());
                if record.is_running() {
                    self.holds.insert(hold, now);
                } else {
                    ended.push(hold);
                }
            }
        }
        for (program, upstream) in ended {
            self.release(program, upstream);
        }
        Ok(())
    }

    /// Does what is due.
    ///
    /// # Errors
    ///
    /// Returns [`DeposedError`] where the copy is not the primary's any more.
    pub async fn tick(&mut self) -> Result<(), DeposedError> {
        self.follow_map()?;
        self.attach_again().await?;
        self.cancel_unread();
        self.release_old_holds();
        if self.swept.elapsed() >= SWEEP_INTERVAL {
            self.swept = Instant::now();
            let retention = self.context.settings.retention;
            let entries = sweep_expired(self.copy.table(), SystemTime::now(), retention);
            self.commit_quietly(entries).await?;
        }
        if self.repaired.elapsed() >= REPAIR_INTERVAL {
            self.repaired = Instant::now();
            self.drop_leaving().await?;
            self.add_backup().await?;
            self.balance().await?;
        }
        Ok(())
    }

    /// Ends the detached state once the remote copy or the platform is back.
    async fn attach_again(&mut self) -> Result<(), DeposedError> {
        if !self.detached {
            return Ok(());
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let remote_back = self
            .backups
            .iter()
            .all(|one| !self.is_remote(one) || !view.suspects(one, now));
        if !remote_back && refresh_map(&self.context, &self.shard).await.is_err() {
            return Ok(());
        }
        self.detached = false;
        self.replicate(self.copy.position(), Vec::new()).await?;
        if self.detached {
            return Ok(());
        }
        log::info!("shard attached again shard={}", self.shard);
        for job in std::mem::take(&mut self.parked) {
            self.dispatch(job);
        }
        Ok(())
    }

    /// Cancels idempotent calls that nobody has waited for lately.
    fn cancel_unread(&mut self) {
        let now = Instant::now();
        self.running.retain(|_, call| {
            let unread = call.stream.unread_since();
            let long = unread.is_some_and(|since| now.duration_since(since) > UNREAD_GRACE);
            if !long || !call.idempotent {
                return true;
            }
            call.cancel.cancel();
            call.stream.close();
            false
        });
    }

    fn release_old_holds(&mut self) {
        let longest = self.context.settings.max_hold;
        let busy = |program: &ProgramId| {
            self.copy
                .table()
                .program(program)
                .is_some_and(ProgramRecord::is_busy)
        };
        let old: Vec<(ProgramId, UpstreamName)> = self
            .holds
            .iter()
            .filter(|((program, _), since)| since.elapsed() > longest && !busy(program))
            .map(|(hold, _)| hold.clone())
            .collect();
        for (program, upstream) in old {
            self.holds.remove(&(program.clone(), upstream.clone()));
            self.release(program, upstream);
        }
    }

    /// Has an engine release a program's prefix, as often as it takes.
    pub(super) fn release(&self, program: ProgramId, upstream: UpstreamName) {
        let dispatch = self.context.dispatch.clone();
        let sender = self.sender.clone();
        let tenure = self.tenure.clone();
        tokio::spawn(async move {
            let (mut pause, longest) = RELEASE_PAUSES;
            while !tenure.is_cancelled() {
                if dispatch.release(program.clone(), upstream.clone()).await {
                    // A task that is gone has left the hold to the next primary.
                    let _ = sender.send(ShardCommand::Released(program, upstream)).await;
                    return;
                }
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(longest);
            }
        });
    }

    /// Takes backups out of the map that are leaving, or down, before an entry has to wait.
    async fn drop_leaving(&mut self) -> Result<(), DeposedError> {
        let view = self.context.peers.view();
        let now = Instant::now();
        let gone: Vec<InstanceRef> = self
            .backups
            .iter()
            .filter(|one| view.is_leaving(one) || view.suspects(one, now))
            .cloned()
            .collect();
        if gone.is_empty() || self.detached {
            return Ok(());
        }
        self.propose(MapChange::DropBackups(gone)).await
    }

    /// Changes the map; an unanswered change is looked at again later.
    async fn propose(&mut self, change: MapChange) -> Result<(), DeposedError> {
        let proposed = self.ask_map(change).await;
        match proposed {
            Ok(placement) => self.adopt(&placement),
            Err(ProposeError::Conflict(_)) => self.follow_map()?,
            Err(error) => log::debug!("map not changed shard={} error={error}", self.shard),
        }
        Ok(())
    }

    /// Adds a backup where one is missing.
    async fn add_backup(&mut self) -> Result<(), DeposedError> {
        if self.detached || !self.context.key_value.is_reachable() {
            return Ok(());
        }
        let Some(candidate) = self.missing_backup() else {
            return Ok(());
        };
        let epoch = self.copy.epoch() + 1;
        if self.install_at(&candidate, epoch).await != Some(AppendReply::Stored) {
            return Ok(());
        }
        let change = MapChange::AddBackup(candidate.clone());
        let proposed = self.ask_map(change).await;
        match proposed {
            Ok(placement) => {
                log::info!("shard backup added shard={} backup={candidate}", self.shard);
                self.adopt(&placement);
                Ok(())
            }
            Err(ProposeError::Conflict(_)) => self.follow_map(),
            Err(ProposeError::KeyValue(KeyValueError::NoAnswer(_))) => {
                // The map may list it: from now on it has to store every entry as well.
                self.backups.push(candidate);
                Ok(())
            }
            // The map was certainly not changed.
            Err(error) => {
                log::debug!("backup not added shard={} error={error}", self.shard);
                Ok(())
            }
        }
    }

    fn missing_backup(&self) -> Option<InstanceRef> {
        let settings = &self.context.settings;
        let (remote, local): (Vec<_>, Vec<_>) =
            self.backups.iter().partition(|one| self.is_remote(one));
        if local.len() < settings.local_backups
            && let Some(candidate) = self.least_loaded(true)
        {
            return Some(candidate);
        }
        if remote.len() < settings.remote_backups {
            return self.least_loaded(false);
        }
        None
    }

    /// Chooses the instance with the fewest copies, within the shard's failure domain or outside.
    fn least_loaded(&self, local: bool) -> Option<InstanceRef> {
        let view = self.context.peers.view();
        let now = Instant::now();
        let fits = |record: &&PeerRecord| {
            (record.domain == self.shard.domain) == local
                && record.last_response.is_some()
                && !record.leaving
                && !view.suspects(&record.instance, now)
                && !self
                    .backups
                    .iter()
                    .any(|backup| backup.name == record.instance.name)
        };
        // The shard's number spreads equal candidates.
        let spread = |record: &PeerRecord| {
            let text = format!("{}{}", self.shard, record.instance.name);
            blake3::hash(text.as_bytes()).as_bytes()[0]
        };
        let on_disk = self.context.store.is_some()
            || self
                .backups
                .iter()
                .filter_map(|one| view.record(one))
                .any(|one| one.has_disk);
        view.peers()
            .filter(fits)
            // The first copy on a disk comes before an even spread.
            .min_by_key(|record| (!record.has_disk && !on_disk, record.copies, spread(record)))
            .map(|record| record.instance.clone())
    }

    /// Hands the shard to a backup where this instance is leaving or has too many primaries.
    async fn balance(&mut self) -> Result<(), DeposedError> {
        if !self.running.is_empty() || self.detached {
            return Ok(());
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let mut local: Vec<&PeerRecord> = self
            .backups
            .iter()
            .filter_map(|one| view.record(one))
            .filter(|record| record.domain == self.shard.domain && !record.leaving)
            .filter(|record| !view.suspects(&record.instance, now))
            .collect();
        local.sort_by_key(|record| record.primaries);
        let Some(target) = local.first() else {
            return Ok(());
        };
        let mine = self.own_primaries(&view.me);
        // One at a time: the shard's number decides who moves, so that not all move at once.
        let excess = mine > target.primaries as usize + 1;
        let turn = now.duration_since(view.since).as_millis() / 500 % 8;
        let overloaded = excess && u128::from(self.shard.index % 8) == turn;
        if !self.draining && !overloaded {
            return Ok(());
        }
        self.hand_over(target.instance.clone()).await
    }

    fn own_primaries(&self, me: &InstanceRef) -> usize {
        let map = self.context.maps.map(&self.shard.domain);
        let shards = map.iter().flat_map(|map| &map.map.shards);
        shards.filter(|placement| placement.primary == *me).count()
    }

    /// Hands the shard to a backup that has every entry.
    async fn hand_over(&mut self, to: InstanceRef) -> Result<(), DeposedError> {
        let change = MapChange::HandOver(to);
        let proposed = self.ask_map(change).await;
        match proposed {
            Ok(_) => Err(DeposedError),
            Err(ProposeError::Conflict(_)) => self.follow_map(),
            Err(_) => self.resolve_doubt().await,
        }
    }

    /// Waits until the map has been read after a hand-over whose outcome is not known.
    ///
    /// Meanwhile the other may be primary, so that nothing may be written here.
    async fn resolve_doubt(&mut self) -> Result<(), DeposedError> {
        while refresh_map(&self.context, &self.shard).await.is_err() {
            tokio::select! {
                () = tokio::time::sleep(DOUBT_PAUSE) => {}
                () = self.context.stop.cancelled() => return Err(DeposedError),
            }
        }
        self.follow_map()
    }
}
