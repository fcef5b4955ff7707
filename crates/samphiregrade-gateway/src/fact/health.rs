//! Which keepers have answered lately: whether this instance is cut off from them.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::placement::{KeeperPlacement, KeeperSlot};

/// Silence after which a keeper is asked whether it is there.
const ASK_AFTER: Duration = Duration::from_millis(200);

/// Silence after which a keeper counts as out of reach: a question and its answer fit twice.
const OUT_OF_REACH: Duration = Duration::from_millis(650);

/// When each keeper answered last.
#[derive(Debug, Default)]
pub struct KeeperHealth {
    heard: Mutex<HashMap<SmolStr, Instant>>,
}

impl KeeperHealth {
    /// Notes an answer.
    pub fn note(&self, name: &SmolStr, now: Instant) {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        heard.insert(name.clone(), now);
    }

    /// Returns the keepers that have been silent for a while.
    #[must_use]
    pub fn silent(&self, placement: &KeeperPlacement, now: Instant) -> Vec<KeeperSlot> {
        let slots = placement.slots.iter();
        let silent = slots.filter(|slot| self.silence(&slot.name, now) >= ASK_AFTER);
        silent.cloned().collect()
    }

    /// Returns how many of the keepers are within reach.
    #[must_use]
    pub fn reachable(&self, slots: &[KeeperSlot], now: Instant) -> usize {
        let silences = slots.iter().map(|slot| self.silence(&slot.name, now));
        silences.filter(|&silence| silence < OUT_OF_REACH).count()
    }

    /// Returns how long more keepers have been out of reach than every program's group can spare.
    #[must_use]
    pub fn cut_off_for(&self, placement: &KeeperPlacement, now: Instant) -> Duration {
        if placement.slots.is_empty() {
            return Duration::ZERO;
        }
        let mut silences: Vec<Duration> = placement
            .slots
            .iter()
            .map(|slot| self.silence(&slot.name, now))
            .collect();
        silences.sort_unstable_by(|left, right| right.cmp(left));
        let spared = placement.copies - placement.majority();
        let decisive = silences.get(spared).copied().unwrap_or(Duration::ZERO);
        if decisive < OUT_OF_REACH {
            return Duration::ZERO;
        }
        decisive
    }

    /// Returns how long a keeper has been silent; the first look at it starts the clock.
    fn silence(&self, name: &SmolStr, now: Instant) -> Duration {
        let mut heard = self.heard.lock().unwrap_or_else(PoisonError::into_inner);
        let last = heard.entry(name.clone()).or_insert(now);
        now.saturating_duration_since(*last)
    }
}
