//! Requests under which upstreams have ended, as far as this instance has seen them: what is known without the keepers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use crate::fact::{ReportedTries, TimedTries, TryEntry, TryKey};
use crate::hold::lock_ignoring_poison;

/// Maximum number of requests; the one that has been unchanged for longest makes room.
const SUSPECT_LIMIT: usize = 4096;

/// Maximum number of tries whose upstreams are examined later; those beyond it stay as they are until they are forgotten.
const EXAMINATION_LIMIT: usize = 1024;

/// Table of the suspected requests that this instance has sent.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: Mutex<HashMap<TryKey, TryEntry>>,
    examinations: Arc<AtomicUsize>,
}

/// Counts a later examination as pending until it is dropped.
#[derive(Debug)]
pub struct ExaminationSlot {
    pending: Arc<AtomicUsize>,
}

impl Drop for ExaminationSlot {
    fn drop(&mut self) {
        self.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

impl SuspectTable {
    /// Adds tries of a request.
    pub fn add(&self, key: &TryKey, timed: &TimedTries, now: Instant) {
        let mut entries = lock_ignoring_poison(&self.entries);
        if !entries.contains_key(key) && entries.len() >= SUSPECT_LIMIT {
            make_room(&mut entries, now);
        }
        let entry = entries.entry(key.clone());
        let entry = entry.or_insert_with(|| TryEntry::new(now));
        entry.add(timed, now);
    }

    /// Returns the known tries of a request.
    #[must_use]
    pub fn known(&self, key: &TryKey, now: Instant) -> ReportedTries {
        let entries = lock_ignoring_poison(&self.entries);
        let entry = entries.get(key);
        entry
            .map(|entry| ReportedTries::of_entry(entry, now))
            .unwrap_or_default()
    }

    /// Takes a slot for a later examination; `None` if too many are pending.
    #[must_use]
    pub fn take_examination_slot(&self) -> Option<ExaminationSlot> {
        let slot = ExaminationSlot {
            pending: self.examinations.clone(),
        };
        // A slot beyond the limit is returned when it is dropped.
        let pending = self.examinations.fetch_add(1, Ordering::Relaxed);
        (pending < EXAMINATION_LIMIT).then_some(slot)
    }

    /// Returns the number of requests in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        lock_ignoring_poison(&self.entries).len()
    }

    /// Returns whether the table is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Removes forgotten requests or, if there are none, the one that has been unchanged for longest.
fn make_room(entries: &mut HashMap<TryKey, TryEntry>, now: Instant) {
    let before = entries.len();
    entries.retain(|_, entry| !entry.is_forgotten(now));
    if entries.len() < before {
        return;
    }
    let oldest = entries.iter().max_by_key(|(_, entry)| entry.age(now));
    if let Some(key) = oldest.map(|(key, _)| key.clone()) {
        entries.remove(&key);
    }
}
