//! How old what an instance knows of keys may be, and how old it is.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use super::clock::BootTime;
use crate::dialect::StoreRevision;

/// Part of the bound that is left unused: for clocks that don't run at quite the same speed.
const MARGIN_SHARE: f64 = 0.02;

/// Part of the bound after which a keeper reads the configuration again, so that what it proves stays well within it.
const READ_SHARE: f64 = 0.3;

/// Part of the bound after which an entry asks a keeper again. With the keeper's own part what is proved is at most
/// little more than four tenths of the bound old, and a cut costs nothing before nearly six have passed.
const ASK_SHARE: f64 = 0.12;

/// Age up to which a key that isn't known is called unknown where withdrawn keys may still be served: a configuration
/// is in force within seconds.
const LENIENT_AGE: Duration = Duration::from_secs(35);

/// Changes that one watch brings at most for its answer to be taken as all that there were.
const WHOLE_CHANGES: usize = 48;

/// How long a withdrawn key may be served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FreshnessRule {
    /// Longest time after the withdrawal; `None` where keys that are known last may always be served.
    pub strict: Option<Duration>,
}

impl FreshnessRule {
    /// Returns the age up to which what is known may be used; `None` without a bound.
    #[must_use]
    pub fn longest_age(&self) -> Option<Duration> {
        self.strict.map(|bound| bound.mul_f64(1.0 - MARGIN_SHARE))
    }

    /// Returns the time after which the service is to be asked again for a proof.
    #[must_use]
    pub fn read_interval(&self) -> Duration {
        self.strict.unwrap_or(LENIENT_AGE).mul_f64(READ_SHARE)
    }

    /// Returns the time after which a keeper is to be asked again for one.
    #[must_use]
    pub fn ask_interval(&self) -> Duration {
        self.strict.unwrap_or(LENIENT_AGE).mul_f64(ASK_SHARE)
    }
}

/// The newest moment up to which this instance is known to know every configuration.
///
/// The one who takes configurations stores each before the moment is raised, and a request reads the moment before it
/// reads the configuration; so what the request reads is at least as new as the moment says.
#[derive(Debug)]
pub struct KeyFreshness {
    rule: FreshnessRule,
    /// Nanoseconds since the machine's start; 0 before anything is proved.
    proved: AtomicU64,
    /// Whether the newest configuration can't be read: what is known is an older one then.
    unreadable: AtomicBool,
    /// Revision of the newest configuration that has been taken.
    taken: AtomicU64,
}

impl KeyFreshness {
    /// Makes the state of an instance to which nothing is proved yet.
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

    /// Notes that everything up to a moment is known.
    pub fn prove(&self, moment: BootTime) {
        if self.unreadable.load(Ordering::Acquire) {
            return;
        }
        let nanos = u64::try_from(moment.elapsed_since_start().as_nanos()).unwrap_or(u64::MAX);
        self.proved.fetch_max(nanos, Ordering::AcqRel);
    }

    /// Notes that the newest configuration at a moment was the one of a revision; returns whether that proves anything.
    pub fn prove_revision(&self, revision: StoreRevision, moment: BootTime) -> bool {
        let known = revision <= self.taken.load(Ordering::Acquire);
        if known {
            self.prove(moment);
        }
        known
    }

    /// Notes that the configuration of a revision has been taken.
    pub fn take_revision(&self, revision: StoreRevision) {
        self.taken.fetch_max(revision, Ordering::AcqRel);
    }

    /// Notes whether the newest configuration can be read.
    pub fn set_readable(&self, readable: bool) {
        self.unreadable.store(!readable, Ordering::Release);
    }

    /// Returns how old what is known may be; `None` before anything is proved.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        match self.proved.load(Ordering::Acquire) {
            0 => None,
            nanos => Some(now.since(BootTime::since_start(Duration::from_nanos(nanos)))),
        }
    }

    /// Returns whether keys that are known may be served.
    #[must_use]
    pub fn permits_known_keys(&self, now: BootTime) -> bool {
        let Some(longest) = self.rule.longest_age() else {
            return true;
        };
        self.age(now).is_some_and(|age| age <= longest)
    }

    /// Returns whether a key that is not known may be called unknown: it may have come with a newer configuration.
    #[must_use]
    pub fn permits_denial(&self, now: BootTime) -> bool {
        let longest = self.rule.longest_age().unwrap_or(LENIENT_AGE);
        self.age(now).is_some_and(|age| age <= longest)
    }
}

/// Returns the moment up to which the answer of a watch proves that all changes are known; `None` where it proves nothing.
///
/// The age counts from the sending. A watch that ends without changes after the time for which it was to be held proves
/// as much as that time more; one that ends sooner was cut short, and one with many changes may not have brought all.
#[must_use]
pub fn proof_of_watch(
    sent: BootTime,
    ended: BootTime,
    held: Duration,
    changes: usize,
) -> Option<BootTime> {
    if changes > WHOLE_CHANGES {
        return None;
    }
    if changes == 0 && ended >= sent.after(held) {
        return Some(sent.after(held));
    }
    Some(sent)
}
