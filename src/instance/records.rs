//! Keeping the configuration: from the platform by a few instances, from peers by the others.

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

/// Prefix of every key of the system.
const KEY_PREFIX: &str = "samphiregrade/";

/// Instances of a failure domain that watch the platform.
const WATCHERS: usize = 2;

/// Pause before a broken watch is begun anew.
const WATCH_PAUSE: Duration = Duration::from_millis(500);

/// Time between two looks at whether this instance is to watch.
const DUTY_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for a peer to take news.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The records of an instance with the view that they add up to.
#[derive(Debug)]
pub struct RecordKeeper {
    store: Mutex<RecordStore>,
    view: Arc<ArcSwap<ConfigView>>,
}

impl RecordKeeper {
    /// Starts without records.
    pub fn new(view: Arc<ArcSwap<ConfigView>>) -> Self {
        Self {
            store: Mutex::default(),
            view,
        }
    }

    /// Returns the revision in force.
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

    /// Takes changes; returns whether anything was new.
    pub fn merge(&self, delta: &RecordDelta) -> bool {
        self.change(|store| store.merge(delta))
    }

    /// Takes a whole reading of the platform; returns whether anything was new.
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
        log::debug!("configuration in force revision={}", view.revision());
        self.view.store(Arc::new(view));
        true
    }
}

/// Watches the platform while it is this instance's turn.
pub async fn follow_platform(state: Arc<InstanceState>) {
    loop {
        let watching = async {
            if state.is_watcher() {
                if let Err(error) = watch_once(&state).await {
                    log::debug!("key-value service not watched error={error}");
                }
                tokio::time::sleep(WATCH_PAUSE).await;
            } else {
                tokio::time::sleep(DUTY_INTERVAL).await;
            }
        };
        tokio::select! {
            () = watching => {}
            () = state.stop.cancelled() => return,
        }
    }
}

impl InstanceState {
    /// Returns whether this instance is among the first of its failure domain that answer.
    fn is_watcher(&self) -> bool {
        let view = self.peers.view();
        let live = view.live_in(&view.domain, Instant::now());
        let before = live.iter().filter(|peer| peer.instance.name < view.me.name);
        before.count() < WATCHERS
    }

    /// Takes a whole reading of the system's keys.
    fn take_reading(&self, reading: &RangeReading) {
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
            self.sort_change(change, &mut delta);
        }
        self.records.merge_reading(delta);
    }

    /// Takes a map at once, and puts a record's change with the others.
    fn sort_change(&self, change: KeyChange, delta: &mut RecordDelta) {
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

    /// Sends news to the instances that share shards with this one.
    pub(super) fn push_to_partners(&self, request: &PeerRequest) {
        let view = self.peers.view();
        for partner in self.partners() {
            let Some(address) = view.address(&partner) else {
                continue;
            };
            let network = self.network.clone();
            let request = request.clone();
            tokio::spawn(async move {
                // Whoever misses the news learns of it with the next probe.
                let _ = network.call(address, &request, PUSH_TIMEOUT).await;
            });
        }
    }
}

/// Reads everything, then follows the changes until the watch breaks.
async fn watch_once(state: &InstanceState) -> Result<(), KeyValueError> {
    let range = KeyRange::Prefix(KEY_PREFIX.into());
    let reading = state.key_value.read(range.clone()).await?;
    state.take_reading(&reading);
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

/// Waits for a change and takes those that came with it.
async fn next_changes(
    state: &InstanceState,
    changes: &mut mpsc::Receiver<KeyChange>,
) -> Option<RecordDelta> {
    let first = changes.recv().await?;
    let mut delta = RecordDelta::default();
    let mut next = Some(first);
    while let Some(change) = next {
        delta.revision = delta.revision.max(change.revision);
        state.sort_change(change, &mut delta);
        next = changes.try_recv().ok();
    }
    Some(delta)
}
