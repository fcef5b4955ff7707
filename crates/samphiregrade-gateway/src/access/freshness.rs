//! Age of an instance's known keys, and the bounds for it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use super::clock::BootTime;
use crate::dialect::StoreRevision;

/// Share of the bound that is left unused, because clocks don't run at exactly the same speed.
const MARGIN_SHARE: f64 = 0.02;

/// Share of the bound after which a keeper reads the configuration again, so that the age of its proofs stays well
/// within the bound.
const READ_SHARE: f64 = 0.3;

/// Share of the bound after which an entry requests a proof from a keeper again. Together with the keeper's own share,
/// the age of a proof is at most a little over 0.4 of the bound, and a network partition has no effect before nearly
/// 0.6 of the bound has passed.
const PROOF_REQUEST_SHARE: f64 = 0.12;

/// Age up to which an unknown key is rejected as unknown if withdrawn keys may still be served: a configuration takes
/// effect within seconds.
const LENIENT_AGE: Duration = Duration::from_secs(35);

/// Maximum number of changes in a watch's response for which the response counts as complete.
const COMPLETE_CHANGES: usize = 48;

/// Rule for how long a withdrawn key may be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessRule {
    /// Longest time after the withdrawal; `None` if the last known keys may always be served.
    pub strict: Option<Duration>,
}

impl FreshnessRule {
    /// Returns the age up to which known keys may be used; `None` without a bound.
    #[must_use]
    pub fn max_age(&self) -> Option<Duration> {
        self.strict.map(|bound| bound.mul_f64(1.0 - MARGIN_SHARE))
    }

    /// Returns the interval at which a keeper requests a proof from the key-value service.
    #[must_use]
    pub fn read_interval(&self) -> Duration {
        self.strict.unwrap_or(LENIENT_AGE).mul_f64(READ_SHARE)
    }

    /// Returns the interval at which an entry requests a proof from a keeper.
    #[must_use]
    pub fn ask_interval(&self) -> Duration {
        self.strict
            .unwrap_or(LENIENT_AGE)
            .mul_f64(PROOF_REQUEST_SHARE)
    }
}

/// The latest time up to which this instance is known to have every configuration.
///
/// The task that applies configurations stores each one before it advances the time, and a request reads the time
/// before it reads the configuration. The configuration that the request reads is therefore at least as new as the time
/// says.
#[derive(Debug)]
pub struct KeyFreshness {
    rule: FreshnessRule,
    /// Nanoseconds since the machine's start; 0 before the first proof.
    proved: AtomicU64,
    /// Whether the newest configuration can't be decoded, so that the known one is older.
    unreadable: AtomicBool,
    /// Revision of the newest configuration that was applied.
    taken: AtomicU64,
}

impl KeyFreshness {
    /// Returns the state of an instance without any proof.
    #[must_use]
    pub fn new(rule: FreshnessRule) -> Self {
        Self {
            rule,
            proved: AtomicU64::new(0),
            unreadable: AtomicBool::new(false),
            taken: AtomicU64::new(0),
        }
    }

    /// Returns the rule.
    #[must_use]
    pub fn rule(&self) -> FreshnessRule {
        self.rule
    }

    /// Records that every configuration up to a time is known.
    pub fn prove(&self, moment: BootTime) {
        if self.unreadable.load(Ordering::Acquire) {
            return;
        }
        let nanos = u64::try_from(moment.elapsed_since_start().as_nanos()).unwrap_or(u64::MAX);
        self.proved.fetch_max(nanos, Ordering::AcqRel);
    }

    /// Records that the newest configuration at a time had a revision; returns whether this proves that the known one
    /// is current.
    pub fn prove_revision(&self, revision: StoreRevision, moment: BootTime) -> bool {
        let known = revision <= self.taken.load(Ordering::Acquire);
        if known {
            self.prove(moment);
        }
        known
    }

    /// Records that the configuration with a revision was applied.
    pub fn take_revision(&self, revision: StoreRevision) {
        self.taken.fetch_max(revision, Ordering::AcqRel);
    }

    /// Sets whether the newest configuration can be decoded.
    pub fn set_readable(&self, readable: bool) {
        self.unreadable.store(!readable, Ordering::Release);
    }

    /// Returns the largest possible age of the known configuration; `None` before the first proof.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        match self.proved.load(Ordering::Acquire) {
            0 => None,
            nanos => Some(now.since(BootTime::since_start(Duration::from_nanos(nanos)))),
        }
    }

    /// Returns whether known keys may be served.
    #[must_use]
    pub fn permits_known_keys(&self, now: BootTime) -> bool {
        let Some(max_age) = self.rule.max_age() else {
            return true;
        };
        self.age(now).is_some_and(|age| age <= max_age)
    }

    /// Returns whether an unknown key may be rejected as unknown; if not, a newer configuration may have added the key.
    #[must_use]
    pub fn permits_denial(&self, now: BootTime) -> bool {
        let max_age = self.rule.max_age().unwrap_or(LENIENT_AGE);
        self.age(now).is_some_and(|age| age <= max_age)
    }
}

/// Returns the time up to which a watch's response proves that all changes are known; `None` if it proves nothing.
///
/// The age counts from the sending of the watch. A watch that ends without changes after `held`, the time for which the
/// service was to hold it, also proves that time. A watch that ends sooner was interrupted, and one with many changes
/// may not have returned all of them.
#[must_use]
pub fn proof_of_watch(
    sent: BootTime,
    ended: BootTime,
    held: Duration,
    changes: usize,
) -> Option<BootTime> {
    if changes > COMPLETE_CHANGES {
        return None;
    }
    if changes == 0 && ended >= sent.after(held) {
        return Some(sent.after(held));
    }
    Some(sent)
}
