//! An in-process key-value service, for the demo and for tests.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, ready};
use smol_str::SmolStr;
use tokio::sync::{broadcast, mpsc};

use super::{
    KeyChange, KeyEntry, KeyRange, KeyValueError, KeyValueStore, RangeReading, SwapOutcome,
};
use crate::ids::RevisionNumber;

/// Changes that a slow watcher may leave unread before its watch is ended.
const WATCH_QUEUE: usize = 1024;

#[derive(Debug, Default)]
struct MemoryState {
    revision: RevisionNumber,
    keys: BTreeMap<SmolStr, (String, RevisionNumber)>,
    leases: BTreeMap<SmolStr, (SmolStr, Instant)>,
    history: Vec<KeyChange>,
}

/// An in-process key-value service.
#[derive(Debug)]
pub struct MemoryStore {
    state: Mutex<MemoryState>,
    changes: broadcast::Sender<KeyChange>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            changes: broadcast::channel(WATCH_QUEUE).0,
        }
    }
}

impl KeyRange {
    /// Returns whether the range contains the key.
    #[must_use]
    pub fn covers(&self, key: &str) -> bool {
        match self {
            Self::Single(single) => single == key,
            Self::Prefix(prefix) => key.starts_with(prefix.as_str()),
        }
    }
}

impl MemoryStore {
    fn state(&self) -> MutexGuard<'_, MemoryState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn swap_now(
        &self,
        key: SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
    ) -> SwapOutcome {
        let mut state = self.state();
        let current = state.keys.get(&key);
        if current.map_or(0, |(_, revision)| *revision) != expected {
            return SwapOutcome::Conflict(current.map(|(value, revision)| KeyEntry {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            }));
        }
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state.keys.insert(key.clone(), (value.clone(), revision)),
            None => state.keys.remove(&key),
        };
        let change = KeyChange {
            key,
            value,
            revision,
        };
        state.history.push(change.clone());
        // Sending fails only if there are no watchers.
        let _ = self.changes.send(change);
        SwapOutcome::Swapped(revision)
    }

    fn read_now(&self, range: &KeyRange) -> RangeReading {
        let state = self.state();
        let entries = state
            .keys
            .iter()
            .filter(|(key, _)| range.covers(key))
            .map(|(key, (value, revision))| KeyEntry {
                key: key.clone(),
                value: value.clone(),
                revision: *revision,
            })
            .collect();
        RangeReading {
            entries,
            revision: state.revision,
        }
    }

    fn watch_now(&self, range: KeyRange, from: RevisionNumber) -> mpsc::Receiver<KeyChange> {
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE);
        let state = self.state();
        let mut changes = self.changes.subscribe();
        let past: Vec<KeyChange> = state
            .history
            .iter()
            .filter(|change| change.revision >= from && range.covers(&change.key))
            .cloned()
            .collect();
        drop(state);
        tokio::spawn(async move {
            for change in past {
                if sender.send(change).await.is_err() {
                    return;
                }
            }
            loop {
                let change = tokio::select! {
                    change = changes.recv() => change,
                    () = sender.closed() => return,
                };
                let Ok(change) = change else { return };
                if range.covers(&change.key) && sender.send(change).await.is_err() {
                    return;
                }
            }
        });
        receiver
    }

    fn hold_now(&self, key: SmolStr, holder: SmolStr, time: Duration) -> bool {
        let now = Instant::now();
        let mut state = self.state();
        let is_taken = state
            .leases
            .get(&key)
            .is_some_and(|(other, expires)| *other != holder && *expires > now);
        if !is_taken {
            state.leases.insert(key, (holder, now + time));
        }
        !is_taken
    }
}

impl KeyValueStore for MemoryStore {
    fn read(&self, range: KeyRange) -> BoxFuture<'_, Result<RangeReading, KeyValueError>> {
        ready(Ok(self.read_now(&range))).boxed()
    }

    fn swap(
        &self,
        key: SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
    ) -> BoxFuture<'_, Result<SwapOutcome, KeyValueError>> {
        ready(Ok(self.swap_now(key, expected, value))).boxed()
    }

    fn watch(
        &self,
        range: KeyRange,
        from: RevisionNumber,
    ) -> BoxFuture<'_, Result<mpsc::Receiver<KeyChange>, KeyValueError>> {
        ready(Ok(self.watch_now(range, from))).boxed()
    }

    fn hold_lease(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: Duration,
    ) -> BoxFuture<'_, Result<bool, KeyValueError>> {
        ready(Ok(self.hold_now(key, holder, time))).boxed()
    }
}
