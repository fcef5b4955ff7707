//! The shard maps of all failure domains that this instance knows, and the proposal of changes to them.
//!
//! Changes that are proposed within a short time are combined into one swap, so that the request rate
//! at the key-value service grows with the number of failures and not with the number of shards.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use smol_str::format_smolstr;
use thiserror::Error;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

use super::map::{
    DomainMap, MapChange, MapConflict, MapDelta, ShardPlacement, VersionedMap, map_key,
};
use crate::ids::{DomainId, RevisionNumber, ShardEpoch, ShardId};
use crate::keyvalue::{KeyValueClient, KeyValueError, SwapOutcome};

/// Time for which changes are collected into one swap.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of swap attempts while other instances change the map concurrently.
const SWAP_ATTEMPTS: usize = 8;

/// An error that prevents a change of placement.
#[derive(Clone, Debug, Error)]
pub enum ProposeError {
    /// The change does not apply to the current placement.
    #[error(transparent)]
    Conflict(#[from] MapConflict),
    /// The call of the key-value service failed.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// The failure domain's map is not known.
    #[error("the failure domain has no shard map yet; one is created within seconds")]
    NoMap,
    /// The instance is stopping.
    #[error("the instance is stopping")]
    Stopped,
}

struct MapProposal {
    shard: ShardId,
    expected: ShardEpoch,
    change: MapChange,
    reply: oneshot::Sender<Result<ShardPlacement, ProposeError>>,
}

type KnownMaps = HashMap<DomainId, Arc<VersionedMap>>;

/// Number of older maps kept for each failure domain, from which deltas are computed.
const HISTORY_LIMIT: usize = 8;

type MapHistory = HashMap<DomainId, VecDeque<Arc<VersionedMap>>>;

/// The shard maps that this instance knows.
#[derive(Debug)]
pub struct MapCache {
    maps: ArcSwap<KnownMaps>,
    /// Older maps, oldest first; the lock is held while a newer map is stored.
    older: Mutex<MapHistory>,
    version: watch::Sender<u64>,
    proposals: mpsc::Sender<MapProposal>,
    map_stored: Notify,
}

impl std::fmt::Debug for MapProposal {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("MapProposal")
            .field("shard", &self.shard)
            .finish_non_exhaustive()
    }
}

impl MapCache {
    /// Creates the cache and spawns its task for proposals; has to be called inside a tokio runtime.
    #[must_use]
    pub fn start(key_value: KeyValueClient, writer: &str, stop: CancellationToken) -> Arc<Self> {
        let (proposals, receiver) = mpsc::channel(1024);
        let cache = Arc::new(Self {
            maps: ArcSwap::default(),
            older: Mutex::default(),
            version: watch::Sender::new(0),
            proposals,
            map_stored: Notify::new(),
        });
        let proposer = MapProposer {
            cache: cache.clone(),
            key_value,
            writer: writer.to_owned(),
            attempts: 0,
        };
        tokio::spawn(proposer.run(receiver, stop));
        cache
    }

    /// Returns the map of a failure domain.
    #[must_use]
    pub fn map(&self, domain: &str) -> Option<Arc<VersionedMap>> {
        self.maps.load().get(domain).cloned()
    }

    /// Returns the changes since a revision, or `None` if the map of that revision is not kept.
    #[must_use]
    pub fn changes_since(&self, domain: &str, revision: RevisionNumber) -> Option<MapDelta> {
        let newest = self.map(domain)?;
        let older = self.older.lock().unwrap_or_else(PoisonError::into_inner);
        let base = older
            .get(domain)?
            .iter()
            .find(|map| map.revision == revision)?;
        Some(newest.delta_from(base))
    }

    /// Applies a delta whose base is the known map; returns whether it was applied.
    pub fn adopt_delta(&self, delta: &MapDelta) -> bool {
        let newer = self
            .map(&delta.domain)
            .and_then(|known| known.with_delta(delta));
        newer.is_some_and(|newer| self.adopt(newer))
    }

    /// Returns the placement of a shard.
    #[must_use]
    pub fn placement(&self, shard: &ShardId) -> Option<ShardPlacement> {
        let map = self.map(&shard.domain)?;
        map.map.shards.get(usize::from(shard.index)).cloned()
    }

    /// Returns the revision of every known map.
    #[must_use]
    pub fn revisions(&self) -> Vec<(DomainId, RevisionNumber)> {
        let maps = self.maps.load();
        maps.iter()
            .map(|(domain, map)| (domain.clone(), map.revision))
            .collect()
    }

    /// Returns every known map.
    #[must_use]
    pub fn all(&self) -> Vec<Arc<VersionedMap>> {
        self.maps.load().values().cloned().collect()
    }

    /// Returns a receiver that is notified of every newer map.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Stores a map if it is newer than the known one; returns whether it was stored.
    pub fn adopt(&self, map: VersionedMap) -> bool {
        let mut older = self.older.lock().unwrap_or_else(PoisonError::into_inner);
        let maps = self.maps.load();
        let known = maps.get(&map.map.domain);
        if known.is_some_and(|known| map.revision <= known.revision) {
            return false;
        }
        if let Some(known) = known {
            let history = older.entry(map.map.domain.clone()).or_default();
            history.push_back(known.clone());
            if history.len() > HISTORY_LIMIT {
                history.pop_front();
            }
        }
        let mut next = KnownMaps::clone(&maps);
        next.insert(map.map.domain.clone(), Arc::new(map));
        self.maps.store(Arc::new(next));
        self.version.send_modify(|version| *version += 1);
        self.map_stored.notify_waiters();
        true
    }

    /// Changes the placement of a shard and returns the new placement.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError`]. Only with [`KeyValueError::NoAnswer`] may the change have been made
    /// nevertheless.
    pub async fn propose(
        &self,
        shard: &ShardId,
        expected: ShardEpoch,
        change: MapChange,
    ) -> Result<ShardPlacement, ProposeError> {
        let (reply, answer) = oneshot::channel();
        let proposal = MapProposal {
            shard: shard.clone(),
            expected,
            change,
            reply,
        };
        self.proposals
            .send(proposal)
            .await
            .map_err(|_| ProposeError::Stopped)?;
        answer.await.map_err(|_| ProposeError::Stopped)?
    }
}

struct MapProposer {
    cache: Arc<MapCache>,
    key_value: KeyValueClient,
    writer: String,
    attempts: u64,
}

impl MapProposer {
    async fn run(mut self, mut proposals: mpsc::Receiver<MapProposal>, stop: CancellationToken) {
        loop {
            let first = tokio::select! {
                first = proposals.recv() => first,
                () = stop.cancelled() => return,
            };
            let Some(first) = first else { return };
            tokio::time::sleep(BATCH_DELAY).await;
            let mut by_domain: HashMap<DomainId, Vec<MapProposal>> = HashMap::new();
            by_domain
                .entry(first.shard.domain.clone())
                .or_default()
                .push(first);
            while let Ok(proposal) = proposals.try_recv() {
                by_domain
                    .entry(proposal.shard.domain.clone())
                    .or_default()
                    .push(proposal);
            }
            for (domain, batch) in by_domain {
                self.apply_batch(&domain, batch).await;
            }
        }
    }

    async fn apply_batch(&mut self, domain: &DomainId, batch: Vec<MapProposal>) {
        for _ in 0..SWAP_ATTEMPTS {
            let Some(known) = self.cache.map(domain) else {
                return reply_to_all(batch, &ProposeError::NoMap);
            };
            self.attempts += 1;
            let (next, results) = self.changed_map(&known, &batch);
            if results.iter().all(Result::is_err) {
                return reply_to_each(batch, results);
            }
            match self.swap(domain, known.revision, &next).await {
                Ok(Some(())) => return reply_to_each(batch, results),
                Ok(None) => {}
                Err(error) => return reply_to_all(batch, &error.into()),
            }
        }
        reply_to_all(batch, &MapConflict::EpochChanged.into());
    }

    fn changed_map(
        &self,
        known: &VersionedMap,
        batch: &[MapProposal],
    ) -> (DomainMap, Vec<Result<ShardPlacement, ProposeError>>) {
        let mut next = known.map.clone();
        next.attempt = format_smolstr!("{}/{}", self.writer, self.attempts);
        let results = batch
            .iter()
            .map(|proposal| {
                let index = usize::from(proposal.shard.index);
                let placement = next.shards.get_mut(index).ok_or(MapConflict::WrongMember)?;
                let changed = placement.with_change(proposal.expected, &proposal.change)?;
                *placement = changed.clone();
                Ok(changed)
            })
            .collect();
        (next, results)
    }

    /// Swaps the map; returns `None` if another map was stored, which is adopted instead.
    async fn swap(
        &self,
        domain: &DomainId,
        revision: RevisionNumber,
        next: &DomainMap,
    ) -> Result<Option<()>, KeyValueError> {
        let text = serde_json::to_string(next).unwrap_or_default();
        match self
            .key_value
            .swap(&map_key(domain), revision, Some(text))
            .await?
        {
            SwapOutcome::Swapped(revision) => {
                let map = next.clone();
                self.cache.adopt(VersionedMap { revision, map });
                Ok(Some(()))
            }
            SwapOutcome::Conflict(Some(entry)) => {
                if let Ok(map) = serde_json::from_str(&entry.value) {
                    let revision = entry.revision;
                    self.cache.adopt(VersionedMap { revision, map });
                }
                Ok(None)
            }
            SwapOutcome::Conflict(None) => Ok(None),
        }
    }
}

fn reply_to_all(batch: Vec<MapProposal>, error: &ProposeError) {
    for proposal in batch {
        // A dropped receiver no longer needs the reply.
        let _ = proposal.reply.send(Err(error.clone()));
    }
}

fn reply_to_each(batch: Vec<MapProposal>, results: Vec<Result<ShardPlacement, ProposeError>>) {
    for (proposal, result) in batch.into_iter().zip(results) {
        // A dropped receiver no longer needs the reply.
        let _ = proposal.reply.send(result);
    }
}
