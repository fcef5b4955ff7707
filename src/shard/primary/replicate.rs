//! Storing entries at every backup, and changing the set of backups when one fails.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::{DeposedError, PrimaryState};
use crate::ids::{InstanceRef, ShardEpoch, ShardId};
use crate::link::{LinkError, PeerReply, PeerRequest};
use crate::program::LogEntry;
use crate::shard::actor::{APPEND_PAUSE, ENTRIES_PER_COPY, refresh_map};
use crate::shard::copy::{AppendReply, AppendRequest, LogPosition};
use crate::shard::keeper::ProposeError;
use crate::shard::map::{MapChange, ShardPlacement};
use crate::storage::BulkStore;

/// Longest wait for a backup to take a whole copy.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(10);

impl PrimaryState {
    /// Stores entries that are applied here at every backup of the epoch.
    ///
    /// Only after this has returned may their effects be exposed. With a failure domain cut off
    /// from its remote copy and from the platform, the state is then `detached`: the entries are
    /// stored within the domain only.
    pub(super) async fn replicate(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
    ) -> Result<(), DeposedError> {
        let disk = persist(
            self.context.store.clone(),
            self.shard.clone(),
            previous,
            self.copy.epoch(),
            entries.clone(),
        );
        let (sent, ()) = futures_util::join!(self.replicate_to_backups(previous, entries), disk);
        sent?;
        self.persist_copy_now_and_then(previous).await;
        Ok(())
    }

    async fn replicate_to_backups(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
    ) -> Result<(), DeposedError> {
        let mut request = AppendRequest {
            shard: self.shard.clone(),
            epoch: self.copy.epoch(),
            previous,
            entries,
        };
        let mut missing = self.required_backups();
        loop {
            let stale = self.send_round(&request, &mut missing).await;
            if missing.is_empty() {
                return Ok(());
            }
            if stale {
                // Without an answer of the platform the newest map known here has to do.
                let _ = refresh_map(&self.context, &self.shard).await;
            }
            self.follow_map()?;
            if stale {
                self.settle_additions(&missing).await?;
            }
            request.epoch = self.copy.epoch();
            missing.retain(|one| self.backups.contains(one));
            if missing.is_empty() {
                return Ok(());
            }
            if self.drop_suspected(&missing).await? {
                return Ok(());
            }
            missing.retain(|one| self.backups.contains(one));
            tokio::time::sleep(APPEND_PAUSE).await;
        }
    }

    /// Puts a whole copy on the disk in place of the entries, once there are many.
    async fn persist_copy_now_and_then(&self, previous: LogPosition) {
        let position = self.copy.position();
        let Some(store) = &self.context.store else {
            return;
        };
        if position.index / ENTRIES_PER_COPY != previous.index / ENTRIES_PER_COPY {
            store
                .replace(&self.shard, self.copy.epoch(), position, self.copy.table())
                .await;
        }
    }

    /// Puts the whole copy on the disk at the begin of a tenure.
    pub(super) async fn persist_whole(&self) {
        if let Some(store) = &self.context.store {
            let position = self.copy.position();
            store
                .replace(&self.shard, self.copy.epoch(), position, self.copy.table())
                .await;
        }
    }

    /// Asks for a change of the placement that this copy is in.
    pub(super) async fn ask_map(&self, change: MapChange) -> Result<ShardPlacement, ProposeError> {
        let maps = &self.context.maps;
        maps.propose(&self.shard, self.copy.epoch(), change).await
    }

    /// Takes those out of the map, for certain, whose addition never got an answer.
    ///
    /// Such a backup is in the epoch that its addition would have begun and refuses this one; until
    /// the map says which of the two it is, no entry can be stored.
    async fn settle_additions(&mut self, missing: &[InstanceRef]) -> Result<(), DeposedError> {
        let placement = self.context.maps.placement(&self.shard);
        let Some(placement) = placement.filter(|one| one.epoch == self.copy.epoch()) else {
            return Ok(());
        };
        let doubtful: Vec<InstanceRef> = missing
            .iter()
            .filter(|one| !placement.has_member(one))
            .cloned()
            .collect();
        if doubtful.is_empty() {
            return Ok(());
        }
        match self.ask_map(MapChange::DropBackups(doubtful)).await {
            Ok(placement) => self.adopt(&placement),
            Err(ProposeError::Conflict(_)) => self.follow_map()?,
            Err(error) => log::debug!("addition in doubt shard={} error={error}", self.shard),
        }
        Ok(())
    }

    /// Returns the backups that have to store an entry now.
    fn required_backups(&self) -> Vec<InstanceRef> {
        if !self.detached {
            return self.backups.clone();
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let local = |one: &&InstanceRef| !self.is_remote(one) || !view.suspects(one, now);
        self.backups.iter().filter(local).cloned().collect()
    }

    /// Returns whether an instance stands in another failure domain than the shard.
    pub(super) fn is_remote(&self, instance: &InstanceRef) -> bool {
        let view = self.context.peers.view();
        let record = view
            .peers()
            .find(|record| record.instance.name == instance.name);
        record.is_some_and(|record| record.domain != self.shard.domain)
    }

    /// Sends entries to the backups that miss them; returns whether one refused the epoch.
    async fn send_round(
        &mut self,
        request: &AppendRequest,
        missing: &mut Vec<InstanceRef>,
    ) -> bool {
        if missing.is_empty() {
            return false;
        }
        self.context
            .counters
            .batches
            .fetch_add(1, Ordering::Relaxed);
        let message = PeerRequest::Append(request.clone());
        let timeout = self.context.settings.append_timeout;
        let sends = missing
            .iter()
            .map(|backup| self.send(backup, &message, timeout));
        let answers = join_all(sends).await;
        let mut stale = false;
        let mut left = Vec::new();
        for (backup, answer) in std::mem::take(missing).into_iter().zip(answers) {
            let verdict = match answer {
                Ok(PeerReply::Append(AppendReply::Gap)) => self.send_copy(&backup).await,
                Ok(PeerReply::Append(verdict)) => Some(verdict),
                _ => None,
            };
            match verdict {
                Some(AppendReply::Stored) => {}
                Some(AppendReply::Stale) => {
                    stale = true;
                    left.push(backup);
                }
                Some(AppendReply::Gap) | None => left.push(backup),
            }
        }
        *missing = left;
        stale
    }

    async fn send(
        &self,
        backup: &InstanceRef,
        message: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, LinkError> {
        let view = self.context.peers.view();
        let unknown = || LinkError::Unreachable("its address is not known".into());
        if view.has_ended(backup) {
            return Err(unknown());
        }
        let address = view.address(backup).ok_or_else(unknown)?;
        self.context.network.call(address, message, timeout).await
    }

    /// Sends the whole copy to a backup.
    async fn send_copy(&self, backup: &InstanceRef) -> Option<AppendReply> {
        self.install_at(backup, self.copy.epoch()).await
    }

    /// Sends the whole copy for an epoch, a bounded number at a time.
    pub(super) async fn install_at(&self, backup: &InstanceRef, epoch: u64) -> Option<AppendReply> {
        let _permit = self.context.install_permits.acquire().await.ok()?;
        self.context
            .counters
            .installs
            .fetch_add(1, Ordering::Relaxed);
        let message = PeerRequest::Install(self.copy.snapshot(&self.shard, epoch));
        match self.send(backup, &message, INSTALL_TIMEOUT).await {
            Ok(PeerReply::Install(verdict)) => Some(verdict),
            _ => None,
        }
    }

    /// Follows the newest known map.
    pub(super) fn follow_map(&mut self) -> Result<(), DeposedError> {
        let Some(placement) = self.context.maps.placement(&self.shard) else {
            return Ok(());
        };
        if placement.epoch <= self.copy.epoch() {
            return Ok(());
        }
        if placement.primary != self.context.peers.view().me {
            return Err(DeposedError);
        }
        self.adopt(&placement);
        Ok(())
    }

    /// Takes suspected backups out of the map; returns whether the entries count as stored now.
    ///
    /// Where neither the platform nor the copies in other failure domains can be reached, the
    /// state becomes detached.
    async fn drop_suspected(&mut self, missing: &[InstanceRef]) -> Result<bool, DeposedError> {
        let view = self.context.peers.view();
        let now = Instant::now();
        let suspected: Vec<InstanceRef> = missing
            .iter()
            .filter(|one| view.suspects(one, now))
            .cloned()
            .collect();
        if suspected.is_empty() {
            return Ok(false);
        }
        let change = MapChange::DropBackups(suspected.clone());
        let proposed = self.ask_map(change).await;
        match proposed {
            Ok(placement) => {
                log::info!(
                    "shard backups dropped shard={} dropped={suspected:?}",
                    self.shard
                );
                self.adopt(&placement);
                Ok(missing.iter().all(|one| !self.backups.contains(one)))
            }
            Err(ProposeError::Conflict(_)) => {
                self.follow_map()?;
                Ok(false)
            }
            Err(ProposeError::Stopped) => Err(DeposedError),
            Err(ProposeError::KeyValue(_) | ProposeError::NoMap) => {
                let only_remote = missing.iter().all(|one| self.is_remote(one));
                let cut_off = only_remote
                    && suspected.len() == missing.len()
                    && !view.reaches_other_domain(now);
                if cut_off && !self.detached {
                    log::warn!("shard detached shard={}", self.shard);
                    self.detached = true;
                }
                Ok(cut_off)
            }
        }
    }
}

/// Puts entries on the disk, where there is one.
async fn persist(
    store: Option<BulkStore>,
    shard: ShardId,
    previous: LogPosition,
    epoch: ShardEpoch,
    entries: Vec<LogEntry>,
) {
    let Some(store) = store.filter(|_| !entries.is_empty()) else {
        return;
    };
    store.append(&shard, previous, epoch, &entries).await;
}
