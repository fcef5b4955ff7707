//! Keeps the configuration up to date: a few instances watch the key-value service, the others read from peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use tokio::sync::mpsc;

use super::InstanceState;
use crate::ids::RevisionNumber;
use crate::keyvalue::{KeyChange, KeyRange, KeyValueError, RangeReading};
use crate::link::PeerRequest;
use crate::record::{ConfigView, RECORD_PREFIX, RecordChange, RecordDelta, RecordStore};
use crate::shard::{MAP_PREFIX, VersionedMap};

/// Prefix of all keys of samphiregrade in the key-value service.
const KEY_PREFIX: &str = "samphiregrade/";

/// Number of instances of a failure domain that watch the key-value service.
const WATCHERS_PER_DOMAIN: usize = 2;

/// Pause before a broken watch is restarted.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Time between two checks whether this instance has to watch the key-value service.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Timeout for pushing changed records to a peer.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The records known to an instance, with the configuration view built from them.
#[derive(Debug)]
pub struct RecordCache {
    store: Mutex<RecordStore>,
    view: Arc<ArcSwap<ConfigView>>,
}

impl RecordCache {
    /// Creates a cache without records.
    pub fn new(view: Arc<ArcSwap<ConfigView>>) -> Self {
        Self {
            store: Mutex::default(),
            view,
        }
    }

    /// Returns the revision of the current configuration.
    pub fn revision(&self) -> RevisionNumber {
        self.view.load().revision()
    }

    /// Returns the changes after a revision.
    pub fn changes_since(&self, revision: RevisionNumber) -> RecordDelta {
        self.store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .changes_since(revision)
    }

    /// Merges changes; returns whether any was new.
    pub fn merge(&self, delta: &RecordDelta) -> bool {
        self.change(|store| store.merge(delta))
    }

    /// Merges a complete reading of the key-value service; returns whether anything was new.
    fn merge_reading(&self, reading: RecordDelta) -> bool {
        self.change(|store| store.merge_reading(reading))
    }

    fn change<Change>(&self, change: Change) -> bool
    where
        Change: FnOnce(&mut RecordStore) -> bool,
    {
        let mut store = self.store.lock().unwrap_or_else(PoisonError::into_inner);
        if !change(&mut store) {
            return false;
        }
        let view = store.view();
        log::debug!("configuration updated revision={}", view.revision());
        self.view.store(Arc::new(view));
        true
    }
}

/// Watches the key-value service while this instance is one of the watchers.
pub async fn follow_key_value(state: Arc<InstanceState>) {
    loop {
        let watching = async {
            if state.is_watcher() {
                if let Err(error) = watch_once(&state).await {
                    log::debug!("key-value service not watched error={error}");
                }
                tokio::time::sleep(WATCH_PAUSE).await;
            } else {
                tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
            }
        };
        tokio::select! {
            () = watching => {}
            () = state.stop.cancelled() => return,
        }
    }
}

impl InstanceState {
    /// Returns whether this instance is among the first live instances of its failure domain, by name.
    fn is_watcher(&self) -> bool {
        let view = self.peers.view();
        let live = view.live_in(&view.domain, Instant::now());
        let before = live.iter().filter(|peer| peer.instance.name < view.me.name);
        before.count() < WATCHERS_PER_DOMAIN
    }

    /// Applies a complete reading of samphiregrade's keys.
    fn apply_reading(&self, reading: &RangeReading) {
        let mut delta = RecordDelta {
            changes: Vec::new(),
            revision: reading.revision,
        };
        for entry in &reading.entries {
            let change = KeyChange {
                key: entry.key.clone(),
                value: Some(entry.value.clone()),
                revision: entry.revision,
            };
            self.route_change(change, &mut delta);
        }
        self.records.merge_reading(delta);
    }

    /// Adopts a changed map at once; adds the change of a record to the delta.
    fn route_change(&self, change: KeyChange, delta: &mut RecordDelta) {
        if change.key.starts_with(RECORD_PREFIX) {
            delta.changes.push(RecordChange {
                key: change.key,
                value: change.value,
                revision: change.revision,
            });
            return;
        }
        if !change.key.starts_with(MAP_PREFIX) {
            return;
        }
        let map = change
            .value
            .and_then(|text| serde_json::from_str(&text).ok());
        if let Some(map) = map {
            let revision = change.revision;
            self.maps.adopt(VersionedMap { revision, map });
        }
    }

    /// Sends a request to the instances that share shards with this one.
    pub(super) fn push_to_partners(&self, request: &PeerRequest) {
        let view = self.peers.view();
        for partner in self.partners() {
            let Some(address) = view.address(&partner) else {
                continue;
            };
            let network = self.network.clone();
            let request = request.clone();
            tokio::spawn(async move {
                // A peer that misses the push gets the change after the next probe.
                let _ = network.call(address, &request, PUSH_TIMEOUT).await;
            });
        }
    }
}

/// Reads all keys, then applies changes until the watch breaks or this instance is no longer a watcher.
async fn watch_once(state: &InstanceState) -> Result<(), KeyValueError> {
    let range = KeyRange::Prefix(KEY_PREFIX.into());
    let reading = state.key_value.read(range.clone()).await?;
    state.apply_reading(&reading);
    let mut changes = state.key_value.watch(range, reading.revision + 1).await?;
    while let Some(delta) = next_changes(state, &mut changes).await {
        if state.records.merge(&delta) && !delta.changes.is_empty() {
            state.push_to_partners(&PeerRequest::RecordsUpdate(delta));
        }
        if !state.is_watcher() {
            return Ok(());
        }
    }
    Ok(())
}

/// Waits for a change and collects those that are queued behind it.
async fn next_changes(
    state: &InstanceState,
    changes: &mut mpsc::Receiver<KeyChange>,
) -> Option<RecordDelta> {
    let first = changes.recv().await?;
    let mut delta = RecordDelta::default();
    let mut next = Some(first);
    while let Some(change) = next {
        delta.revision = delta.revision.max(change.revision);
        state.route_change(change, &mut delta);
        next = changes.try_recv().ok();
    }
    Some(delta)
}
