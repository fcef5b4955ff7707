//! The maps of all failure domains as this instance knows them, and changes to them.
//!
//! Changes that come close together go into one swap, so that the platform's rate grows with the
//! number of failures and not with the number of shards.

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

/// Time over which changes are collected for one swap.
const COLLECT_TIME: Duration = Duration::from_millis(10);

/// Swaps tried anew after another instance's change came between.
const SWAP_TRIES: usize = 8;

/// Why a change of placement was not made.
#[derive(Clone, Debug, Error)]
pub enum ProposeError {
    /// The placement is not what the change supposed.
    #[error(transparent)]
    Conflict(#[from] MapConflict),
    /// The platform gave no answer.
    #[error(transparent)]
    KeyValue(#[from] KeyValueError),
    /// No map is known.
    #[error("there is no shard map of the failure domain yet; it is made within seconds")]
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

/// Older maps of each failure domain that are kept to tell what has changed since.
const KEPT_MAPS: usize = 8;

type OlderMaps = HashMap<DomainId, VecDeque<Arc<VersionedMap>>>;

/// The maps that this instance knows.
#[derive(Debug)]
pub struct MapCache {
    maps: ArcSwap<KnownMaps>,
    /// Older maps, oldest first; the lock is held by whoever stores a newer one.
    older: Mutex<OlderMaps>,
    version: watch::Sender<u64>,
    proposals: mpsc::Sender<MapProposal>,
    fresh: Notify,
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
    /// Starts a keeper with its task for changes; to be called inside a tokio runtime.
    #[must_use]
    pub fn start(key_value: KeyValueClient, writer: &str, stop: CancellationToken) -> Arc<Self> {
        let (proposals, receiver) = mpsc::channel(1024);
        let keeper = Arc::new(Self {
            maps: ArcSwap::default(),
            older: Mutex::default(),
            version: watch::Sender::new(0),
            proposals,
            fresh: Notify::new(),
        });
        let proposer = MapProposer {
            keeper: keeper.clone(),
            key_value,
            writer: writer.to_owned(),
            attempts: 0,
        };
        tokio::spawn(proposer.run(receiver, stop));
        keeper
    }

    /// Returns the map of a failure domain.
    #[must_use]
    pub fn map(&self, domain: &str) -> Option<Arc<VersionedMap>> {
        self.maps.load().get(domain).cloned()
    }

    /// Returns what has changed since a revision; `None` where that map is not kept any more.
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

    /// Takes changes that start from the known map; returns whether they did.
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

    /// Returns a receiver that tells of every newer map.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.version.subscribe()
    }

    /// Takes a map, unless a newer one is known; returns whether it was newer.
    pub fn adopt(&self, map: VersionedMap) -> bool {
        let mut older = self.older.lock().unwrap_or_else(PoisonError::into_inner);
        let maps = self.maps.load();
        let known = maps.get(&map.map.domain);
        if known.is_some_and(|known| map.revision <= known.revision) {
            return false;
        }
        if let Some(known) = known {
            let kept = older.entry(map.map.domain.clone()).or_default();
            kept.push_back(known.clone());
            if kept.len() > KEPT_MAPS {
                kept.pop_front();
            }
        }
        let mut next = KnownMaps::clone(&maps);
        next.insert(map.map.domain.clone(), Arc::new(map));
        self.maps.store(Arc::new(next));
        self.version.send_modify(|version| *version += 1);
        self.fresh.notify_waiters();
        true
    }

    /// Changes the placement of a shard and returns the new one.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError`]; the change may have been made only where that is
    /// [`KeyValueError::NoAnswer`].
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
    keeper: Arc<MapCache>,
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
            tokio::time::sleep(COLLECT_TIME).await;
            let mut by_domain: HashMap<DomainId, Vec<MapProposal>> = HashMap::new();
            by_domain
                .entry(first.shard.domain.clone())
                .or_default()
                .push(first);
            while let Ok(more) = proposals.try_recv() {
                by_domain
                    .entry(more.shard.domain.clone())
                    .or_default()
                    .push(more);
            }
            for (domain, batch) in by_domain {
                self.apply(&domain, batch).await;
            }
        }
    }

    async fn apply(&mut self, domain: &DomainId, batch: Vec<MapProposal>) {
        for _ in 0..SWAP_TRIES {
            let Some(known) = self.keeper.map(domain) else {
                return answer_all(batch, &ProposeError::NoMap);
            };
            self.attempts += 1;
            let (next, verdicts) = self.changed_map(&known, &batch);
            if verdicts.iter().all(Result::is_err) {
                return answer_each(batch, verdicts);
            }
            match self.swap(domain, known.revision, &next).await {
                Ok(Some(())) => return answer_each(batch, verdicts),
                Ok(None) => {}
                Err(error) => return answer_all(batch, &error.into()),
            }
        }
        answer_all(batch, &MapConflict::EpochChanged.into());
    }

    fn changed_map(
        &self,
        known: &VersionedMap,
        batch: &[MapProposal],
    ) -> (DomainMap, Vec<Result<ShardPlacement, ProposeError>>) {
        let mut next = known.map.clone();
        next.attempt = format_smolstr!("{}/{}", self.writer, self.attempts);
        let verdicts = batch
            .iter()
            .map(|proposal| {
                let index = usize::from(proposal.shard.index);
                let placement = next.shards.get_mut(index).ok_or(MapConflict::WrongMember)?;
                let changed = placement.with_change(proposal.expected, &proposal.change)?;
                *placement = changed.clone();
                Ok(changed)
            })
            .collect();
        (next, verdicts)
    }

    /// Swaps the map; `None` where another one was stored, which is adopted.
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
                self.keeper.adopt(VersionedMap { revision, map });
                Ok(Some(()))
            }
            SwapOutcome::Conflict(Some(entry)) => {
                if let Ok(map) = serde_json::from_str(&entry.value) {
                    let revision = entry.revision;
                    self.keeper.adopt(VersionedMap { revision, map });
                }
                Ok(None)
            }
            SwapOutcome::Conflict(None) => Ok(None),
        }
    }
}

fn answer_all(batch: Vec<MapProposal>, error: &ProposeError) {
    for proposal in batch {
        // A proposer that is gone does not need the answer.
        let _ = proposal.reply.send(Err(error.clone()));
    }
}

fn answer_each(batch: Vec<MapProposal>, verdicts: Vec<Result<ShardPlacement, ProposeError>>) {
    for (proposal, verdict) in batch.into_iter().zip(verdicts) {
        // A proposer that is gone does not need the answer.
        let _ = proposal.reply.send(verdict);
    }
}
