//! Periodic work of a primary: replacing backups, releasing holds, sweeping programs and handing over.

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

/// Interval between sweeps of expired programs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between checks for missing or departing backups.
const REPAIR_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which an idempotent call continues without a reader.
const UNREAD_GRACE: Duration = Duration::from_secs(15);

/// Backoff between attempts to release a hold: the initial and the maximum delay.
const RELEASE_BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(5));

/// Delay between reads of the map after a hand-over whose outcome is unknown.
const HAND_OVER_READ_DELAY: Duration = Duration::from_millis(200);

impl PrimaryState {
    /// Brings every backup to this copy's state, then takes over the holds of the earlier primary.
    ///
    /// # Errors
    ///
    /// Returns [`DeposedError`] if another instance has become primary meanwhile.
    pub async fn begin_tenure(&mut self) -> Result<(), DeposedError> {
        self.replicate(self.copy.position(), Vec::new()).await?;
        self.staged_from = self.copy.position();
        self.persist_snapshot().await;
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

    /// Performs the periodic work that is due.
    ///
    /// # Errors
    ///
    /// Returns [`DeposedError`] if the copy is no longer the primary's.
    pub async fn tick(&mut self) -> Result<(), DeposedError> {
        self.follow_map()?;
        self.reattach().await?;
        self.cancel_unread();
        self.release_expired_holds();
        if self.last_sweep.elapsed() >= SWEEP_INTERVAL {
            self.last_sweep = Instant::now();
            let retention = self.context.settings.retention;
            let entries = sweep_expired(self.copy.table(), SystemTime::now(), retention);
            self.commit_entries(entries).await?;
        }
        if self.last_repair.elapsed() >= REPAIR_INTERVAL {
            self.last_repair = Instant::now();
            self.drop_unavailable_backups().await?;
            self.add_backup().await?;
            self.balance().await?;
        }
        Ok(())
    }

    /// Ends the detached state once the remote copies or the key-value service are reachable again.
    async fn reattach(&mut self) -> Result<(), DeposedError> {
        if !self.detached {
            return Ok(());
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let remote_reachable = self
            .backups
            .iter()
            .all(|backup| !self.is_remote(backup) || !view.suspects(backup, now));
        if !remote_reachable && refresh_map(&self.context, &self.shard).await.is_err() {
            return Ok(());
        }
        self.detached = false;
        self.replicate(self.copy.position(), Vec::new()).await?;
        if self.detached {
            return Ok(());
        }
        log::info!("shard reattached shard={}", self.shard);
        for job in std::mem::take(&mut self.deferred) {
            self.dispatch(job);
        }
        Ok(())
    }

    /// Cancels idempotent calls that have had no reader for [`UNREAD_GRACE`].
    fn cancel_unread(&mut self) {
        let now = Instant::now();
        self.running.retain(|_, call| {
            let unread = call.stream.unread_since();
            let abandoned = unread.is_some_and(|since| now.duration_since(since) > UNREAD_GRACE);
            if !abandoned || !call.idempotent {
                return true;
            }
            call.cancel.cancel();
            call.stream.close();
            false
        });
    }

    fn release_expired_holds(&mut self) {
        let max_hold = self.context.settings.max_hold;
        let busy = |program: &ProgramId| {
            self.copy
                .table()
                .program(program)
                .is_some_and(ProgramRecord::is_busy)
        };
        let expired: Vec<(ProgramId, UpstreamName)> = self
            .holds
            .iter()
            .filter(|((program, _), since)| since.elapsed() > max_hold && !busy(program))
            .map(|(hold, _)| hold.clone())
            .collect();
        for (program, upstream) in expired {
            self.holds.remove(&(program.clone(), upstream.clone()));
            self.release(program, upstream);
        }
    }

    /// Requests that an engine release a program's prefix, and retries until the engine confirms.
    pub(super) fn release(&self, program: ProgramId, upstream: UpstreamName) {
        let dispatch = self.context.dispatch.clone();
        let sender = self.sender.clone();
        let tenure = self.tenure.clone();
        tokio::spawn(async move {
            let (mut delay, max_delay) = RELEASE_BACKOFF;
            while !tenure.is_cancelled() {
                if dispatch.release(program.clone(), upstream.clone()).await {
                    // If this copy's task has ended, the next primary takes over the hold.
                    let _ = sender.send(ShardCommand::Released(program, upstream)).await;
                    return;
                }
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(max_delay);
            }
        });
    }

    /// Removes backups that are leaving or suspected from the map before an entry has to wait for them.
    async fn drop_unavailable_backups(&mut self) -> Result<(), DeposedError> {
        let view = self.context.peers.view();
        let now = Instant::now();
        let unavailable: Vec<InstanceRef> = self
            .backups
            .iter()
            .filter(|backup| view.is_leaving(backup) || view.suspects(backup, now))
            .cloned()
            .collect();
        if unavailable.is_empty() || self.detached {
            return Ok(());
        }
        self.change_map(MapChange::DropBackups(unavailable)).await
    }

    /// Changes the map; a change without a reply is checked again in a later round.
    async fn change_map(&mut self, change: MapChange) -> Result<(), DeposedError> {
        let proposed = self.propose_change(change).await;
        match proposed {
            Ok(placement) => self.adopt(&placement),
            Err(ProposeError::Conflict(_)) => self.follow_map()?,
            Err(error) => log::debug!("shard map not changed shard={} error={error}", self.shard),
        }
        Ok(())
    }

    /// Adds a backup if fewer than the target number exist.
    async fn add_backup(&mut self) -> Result<(), DeposedError> {
        if self.detached || !self.context.key_value.is_reachable() {
            return Ok(());
        }
        let Some(candidate) = self.choose_backup() else {
            return Ok(());
        };
        let epoch = self.copy.epoch() + 1;
        if self.install_at(&candidate, epoch).await != Some(AppendReply::Stored) {
            return Ok(());
        }
        let change = MapChange::AddBackup(candidate.clone());
        let proposed = self.propose_change(change).await;
        match proposed {
            Ok(placement) => {
                log::info!("shard backup added shard={} backup={candidate}", self.shard);
                self.adopt(&placement);
                Ok(())
            }
            Err(ProposeError::Conflict(_)) => self.follow_map(),
            Err(ProposeError::KeyValue(KeyValueError::NoAnswer(_))) => {
                // The map may list the candidate, which therefore has to store every entry from now on.
                self.backups.push(candidate);
                Ok(())
            }
            // With any other error the map has certainly not changed.
            Err(error) => {
                log::debug!("shard backup not added shard={} error={error}", self.shard);
                Ok(())
            }
        }
    }

    fn choose_backup(&self) -> Option<InstanceRef> {
        let settings = &self.context.settings;
        let (remote, local): (Vec<_>, Vec<_>) = self
            .backups
            .iter()
            .partition(|backup| self.is_remote(backup));
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

    /// Chooses the instance with the fewest copies, inside or outside the shard's failure domain.
    fn least_loaded(&self, local: bool) -> Option<InstanceRef> {
        let view = self.context.peers.view();
        let now = Instant::now();
        let is_candidate = |record: &&PeerRecord| {
            (record.domain == self.shard.domain) == local
                && record.last_response.is_some()
                && !record.leaving
                && !view.suspects(&record.instance, now)
                && !self
                    .backups
                    .iter()
                    .any(|backup| backup.name == record.instance.name)
        };
        // A hash of shard and instance spreads shards over equally loaded candidates.
        let tie_breaker = |record: &PeerRecord| {
            let text = format!("{}{}", self.shard, record.instance.name);
            blake3::hash(text.as_bytes()).as_bytes()[0]
        };
        let on_disk = self.context.store.is_some()
            || self
                .backups
                .iter()
                .filter_map(|backup| view.record(backup))
                .any(|record| record.has_disk);
        view.peers()
            .filter(is_candidate)
            // At least one copy on disk has priority over even load.
            .min_by_key(|record| {
                (
                    !record.has_disk && !on_disk,
                    record.copies,
                    tie_breaker(record),
                )
            })
            .map(|record| record.instance.clone())
    }

    /// Hands the shard over to a backup if this instance is stopping or has too many primaries.
    async fn balance(&mut self) -> Result<(), DeposedError> {
        if !self.running.is_empty() || self.detached {
            return Ok(());
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let mut local: Vec<&PeerRecord> = self
            .backups
            .iter()
            .filter_map(|backup| view.record(backup))
            .filter(|record| record.domain == self.shard.domain && !record.leaving)
            .filter(|record| !view.suspects(&record.instance, now))
            .collect();
        local.sort_by_key(|record| record.primaries);
        let Some(target) = local.first() else {
            return Ok(());
        };
        let own_primaries = self.count_primaries(&view.me);
        // Each shard has its own time slot by its number, so that not all shards move at once.
        let excess = own_primaries > target.primaries as usize + 1;
        let slot = now.duration_since(view.since).as_millis() / 500 % 8;
        let overloaded = excess && u128::from(self.shard.index % 8) == slot;
        if !self.draining && !overloaded {
            return Ok(());
        }
        self.hand_over(target.instance.clone()).await
    }

    fn count_primaries(&self, me: &InstanceRef) -> usize {
        let map = self.context.maps.map(&self.shard.domain);
        let shards = map.iter().flat_map(|map| &map.map.shards);
        shards.filter(|placement| placement.primary == *me).count()
    }

    /// Hands the shard over to a backup, which has every entry.
    async fn hand_over(&mut self, to: InstanceRef) -> Result<(), DeposedError> {
        let change = MapChange::HandOver(to);
        let proposed = self.propose_change(change).await;
        match proposed {
            Ok(_) => Err(DeposedError),
            Err(ProposeError::Conflict(_)) => self.follow_map(),
            Err(_) => self.await_hand_over_outcome().await,
        }
    }

    /// Waits until the map has been read after a hand-over whose outcome is unknown.
    ///
    /// The other instance may already be primary, so this copy must not write any entry until then.
    async fn await_hand_over_outcome(&mut self) -> Result<(), DeposedError> {
        while refresh_map(&self.context, &self.shard).await.is_err() {
            tokio::select! {
                () = tokio::time::sleep(HAND_OVER_READ_DELAY) => {}
                () = self.context.stop.cancelled() => return Err(DeposedError),
            }
        }
        self.follow_map()
    }
}
