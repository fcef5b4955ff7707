//! Replication of entries to every backup, and removal of backups that have failed.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use futures_util::future::join_all;

use super::{DeposedError, PrimaryState};
use crate::ids::{InstanceRef, ShardEpoch, ShardId};
use crate::link::{LinkError, PeerReply, PeerRequest};
use crate::program::LogEntry;
use crate::shard::actor::{APPEND_RETRY_DELAY, ENTRIES_PER_SNAPSHOT, refresh_map};
use crate::shard::copy::{AppendReply, AppendRequest, LogPosition};
use crate::shard::keeper::ProposeError;
use crate::shard::map::{MapChange, ShardPlacement};
use crate::storage::BulkStore;

/// Timeout for the installation of a snapshot at a backup.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(10);

impl PrimaryState {
    /// Stores entries that this copy has applied at every backup of the epoch.
    ///
    /// The effects of the entries must not be exposed before this method has returned. If the failure
    /// domain reaches neither its remote copy nor the key-value service, the state becomes
    /// `detached`: the entries are stored within the domain only.
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
        self.persist_snapshot_if_due(previous).await;
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
                // If the key-value service does not respond, the newest known map is used.
                let _ = refresh_map(&self.context, &self.shard).await;
            }
            self.follow_map()?;
            if stale {
                self.resolve_additions(&missing).await?;
            }
            request.epoch = self.copy.epoch();
            missing.retain(|backup| self.backups.contains(backup));
            if missing.is_empty() {
                return Ok(());
            }
            if self.drop_suspected(&missing).await? {
                return Ok(());
            }
            missing.retain(|backup| self.backups.contains(backup));
            tokio::time::sleep(APPEND_RETRY_DELAY).await;
        }
    }

    /// Writes a snapshot to disk in place of the entries, once every [`ENTRIES_PER_SNAPSHOT`] entries.
    async fn persist_snapshot_if_due(&self, previous: LogPosition) {
        let position = self.copy.position();
        let Some(store) = &self.context.store else {
            return;
        };
        if position.index / ENTRIES_PER_SNAPSHOT != previous.index / ENTRIES_PER_SNAPSHOT {
            store
                .replace(&self.shard, self.copy.epoch(), position, self.copy.table())
                .await;
        }
    }

    /// Writes a snapshot to disk at the start of a tenure as primary.
    pub(super) async fn persist_snapshot(&self) {
        if let Some(store) = &self.context.store {
            let position = self.copy.position();
            store
                .replace(&self.shard, self.copy.epoch(), position, self.copy.table())
                .await;
        }
    }

    /// Proposes a change of the shard's placement at this copy's epoch.
    pub(super) async fn propose_change(
        &self,
        change: MapChange,
    ) -> Result<ShardPlacement, ProposeError> {
        let maps = &self.context.maps;
        maps.propose(&self.shard, self.copy.epoch(), change).await
    }

    /// Removes the backups whose addition got no reply, so that the map certainly does not list them.
    ///
    /// Such a backup already has the epoch that its addition would have started and refuses entries of
    /// the current one. No entry can be stored until the map shows whether the addition was made.
    async fn resolve_additions(&mut self, missing: &[InstanceRef]) -> Result<(), DeposedError> {
        let placement = self.context.maps.placement(&self.shard);
        let Some(placement) = placement.filter(|placement| placement.epoch == self.copy.epoch())
        else {
            return Ok(());
        };
        let unconfirmed: Vec<InstanceRef> = missing
            .iter()
            .filter(|backup| !placement.has_member(backup))
            .cloned()
            .collect();
        if unconfirmed.is_empty() {
            return Ok(());
        }
        match self
            .propose_change(MapChange::DropBackups(unconfirmed))
            .await
        {
            Ok(placement) => self.adopt(&placement),
            Err(ProposeError::Conflict(_)) => self.follow_map()?,
            Err(error) => log::debug!(
                "shard backup addition unresolved shard={} error={error}",
                self.shard
            ),
        }
        Ok(())
    }

    /// Returns the backups that have to store an entry in the current state.
    fn required_backups(&self) -> Vec<InstanceRef> {
        if !self.detached {
            return self.backups.clone();
        }
        let view = self.context.peers.view();
        let now = Instant::now();
        let required =
            |backup: &&InstanceRef| !self.is_remote(backup) || !view.suspects(backup, now);
        self.backups.iter().filter(required).cloned().collect()
    }

    /// Returns whether an instance is known to be in another failure domain than the shard.
    pub(super) fn is_remote(&self, instance: &InstanceRef) -> bool {
        let view = self.context.peers.view();
        let record = view
            .peers()
            .find(|record| record.instance.name == instance.name);
        record.is_some_and(|record| record.domain != self.shard.domain)
    }

    /// Sends entries to the backups that have not stored them, and removes those that have from the
    /// list; returns whether any backup refused the epoch.
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
        let mut still_missing = Vec::new();
        for (backup, answer) in std::mem::take(missing).into_iter().zip(answers) {
            let verdict = match answer {
                Ok(PeerReply::Append(AppendReply::Gap)) => self.send_snapshot(&backup).await,
                Ok(PeerReply::Append(verdict)) => Some(verdict),
                _ => None,
            };
            match verdict {
                Some(AppendReply::Stored) => {}
                Some(AppendReply::Stale) => {
                    stale = true;
                    still_missing.push(backup);
                }
                Some(AppendReply::Gap) | None => still_missing.push(backup),
            }
        }
        *missing = still_missing;
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

    /// Sends a snapshot for the current epoch to a backup.
    async fn send_snapshot(&self, backup: &InstanceRef) -> Option<AppendReply> {
        self.install_at(backup, self.copy.epoch()).await
    }

    /// Sends a snapshot for an epoch to a backup; the number of concurrent snapshots is limited.
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

    /// Applies the newest known placement, or returns an error if it has another primary.
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

    /// Removes suspected backups from the map; returns whether the entries now count as stored.
    ///
    /// If neither the key-value service nor any instance in another failure domain is reachable, the
    /// state becomes detached.
    async fn drop_suspected(&mut self, missing: &[InstanceRef]) -> Result<bool, DeposedError> {
        let view = self.context.peers.view();
        let now = Instant::now();
        let suspected: Vec<InstanceRef> = missing
            .iter()
            .filter(|backup| view.suspects(backup, now))
            .cloned()
            .collect();
        if suspected.is_empty() {
            return Ok(false);
        }
        let change = MapChange::DropBackups(suspected.clone());
        let proposed = self.propose_change(change).await;
        match proposed {
            Ok(placement) => {
                log::info!(
                    "shard backups dropped shard={} dropped={suspected:?}",
                    self.shard
                );
                self.adopt(&placement);
                Ok(missing.iter().all(|backup| !self.backups.contains(backup)))
            }
            Err(ProposeError::Conflict(_)) => {
                self.follow_map()?;
                Ok(false)
            }
            Err(ProposeError::Stopped) => Err(DeposedError),
            Err(ProposeError::KeyValue(_) | ProposeError::NoMap) => {
                let only_remote = missing.iter().all(|backup| self.is_remote(backup));
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

/// Writes entries to disk if the instance has one.
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
