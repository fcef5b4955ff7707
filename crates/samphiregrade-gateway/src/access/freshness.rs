//! Age of an instance's known keys, and the bounds for it.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use super::clock::BootTime;
use crate::dialect::StoreRevision;
use crate::model::DomainId;

/// Share of the bound that is left unused, because clocks don't run at exactly the same speed.
const MARGIN_SHARE: f64 = 0.02;

/// Share of the bound after which a keeper reads the configuration again, so that the age of its proofs stays well
/// within the bound.
const READ_SHARE: f64 = 0.3;

/// Share of the bound after which an entry requests a proof from a keeper again. Together with the keeper's own share,
/// the age of a proof is at most a little over 0.4 of the bound, and a network partition has no effect before nearly
/// 0.6 of the bound has passed.
const PROOF_REQUEST_SHARE: f64 = 0.12;

/// Share of the bound after which a keeper reads the configuration again while entries hold keys to the bound.
const PACED_READ_SHARE: f64 = 0.1;

/// Shortest time between two reads of a keeper, unless the bound requires a shorter one: at most two calls a second.
pub const MIN_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Number of reads of a keeper that may be in progress at the same time.
pub const READS_IN_FLIGHT: u32 = 3;

/// Timeout of a read, in read intervals; below [`READS_IN_FLIGHT`], so that a connection is free for each read.
const READ_TIMEOUT_INTERVALS: f64 = 2.8;

/// Longest timeout of a read: long enough for a service that is slower than usual by a factor of dozens.
const MAX_READ_TIMEOUT: Duration = Duration::from_millis(1400);

/// Longest time for which a keeper holds a request until its next read.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Part of the read interval that is the shortest time between two reads. A timer that fires early must not cause two
/// reads, and the first read after a pause, which is not aligned, must not delay the next one for long.
const MIN_PAUSE_DIVISOR: u128 = 8;

/// Delay of an entry's request after the keeper's expected read, in read intervals. A request that arrives before the
/// read is sent proves less than the read does; the delay moves the requests of the next rounds behind the reads.
const REQUEST_DELAY_INTERVALS: f64 = 0.05;

/// Age of a proof in read intervals from which an entry queries the keepers of all failure domains.
const OVERDUE_INTERVALS: f64 = 1.5;

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

    /// Returns how proofs are obtained under a bound; `None` without a bound.
    #[must_use]
    pub fn proof_timing(&self) -> Option<ProofTiming> {
        self.strict.map(ProofTiming::for_bound)
    }

    /// Returns the interval at which a keeper requests a proof from the key-value service without a bound, and at which
    /// an entry that no keeper reaches renews its watch.
    #[must_use]
    pub fn read_interval(&self) -> Duration {
        self.strict.unwrap_or(LENIENT_AGE).mul_f64(READ_SHARE)
    }

    /// Returns the interval at which an entry requests a proof from a keeper without a bound.
    #[must_use]
    pub fn ask_interval(&self) -> Duration {
        self.strict
            .unwrap_or(LENIENT_AGE)
            .mul_f64(PROOF_REQUEST_SHARE)
    }
}

/// How keepers and entries obtain proofs under a bound for withdrawn keys.
///
/// A keeper reads once per interval, and an entry's request arrives just after a read. A proof is therefore at most a
/// little over one interval old when an outage begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProofTiming {
    /// Time between two reads of a keeper.
    pub read_interval: Duration,
    /// Timeout of a read.
    pub read_timeout: Duration,
    /// Longest time for which a keeper holds a request until its next read.
    pub hold: Duration,
    /// Age of the proof from which an entry queries the keepers of all failure domains.
    pub overdue_age: Duration,
}

impl ProofTiming {
    /// Returns the timing for a bound.
    #[must_use]
    pub fn for_bound(bound: Duration) -> Self {
        let shortest = MIN_READ_INTERVAL.min(bound.mul_f64(READ_SHARE));
        let read_interval = bound.mul_f64(PACED_READ_SHARE).max(shortest);
        Self {
            read_interval,
            read_timeout: read_interval
                .mul_f64(READ_TIMEOUT_INTERVALS)
                .min(MAX_READ_TIMEOUT),
            hold: (read_interval * 2).min(MAX_HOLD),
            overdue_age: read_interval.mul_f64(OVERDUE_INTERVALS),
        }
    }

    /// Returns whether a keeper answers with a read of the given age at once instead of waiting for the next read.
    #[must_use]
    pub fn is_recent(&self, age: Duration) -> bool {
        age < self.read_interval / 2
    }

    /// Returns the time until an entry's next request, by the age of its proof: just after the keeper's next read.
    #[must_use]
    pub fn next_request_in(&self, age: Duration) -> Duration {
        let due = self.read_interval.mul_f64(1.0 + REQUEST_DELAY_INTERVALS);
        due.saturating_sub(age)
    }

    /// Returns the time from a keeper's read to its next one.
    ///
    /// Reads are aligned to the time of day and shifted by `phase`, a share of the interval that differs between the
    /// failure domains. After an outage, one of three keepers reads within a third of the interval, without further
    /// calls. Clocks that differ between machines only make the reads less evenly spread.
    #[must_use]
    pub fn next_read_in(&self, time_of_day: Duration, phase: f64) -> Duration {
        let interval = self.read_interval.as_nanos().max(1);
        let offset = self.read_interval.mul_f64(phase).as_nanos();
        let since_read = (time_of_day.as_nanos() + interval - offset) % interval;
        let left = interval - since_read;
        let left = if left < interval / MIN_PAUSE_DIVISOR {
            left + interval
        } else {
            left
        };
        Duration::from_nanos(u64::try_from(left).unwrap_or(u64::MAX))
    }
}

/// Returns the phase of a failure domain's reads: its position among the domains that have keepers, as a share of their
/// number.
#[must_use]
pub fn read_phase(domains: &BTreeSet<DomainId>, own: &DomainId) -> f64 {
    let position = domains.iter().position(|domain| domain == own);
    let share = |index: usize| f64::from(u32::try_from(index).unwrap_or(u32::MAX));
    position.map_or(0.0, |index| share(index) / share(domains.len()))
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
        let known = revision > 0 && revision <= self.taken.load(Ordering::Acquire);
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

    /// Returns the time up to which every configuration is known; `None` before the first proof.
    #[must_use]
    pub fn proved_until(&self) -> Option<BootTime> {
        let nanos = self.proved.load(Ordering::Acquire);
        (nanos > 0).then(|| BootTime::since_start(Duration::from_nanos(nanos)))
    }

    /// Returns for how long known keys have not been served for lack of a proof; zero before the first proof, `None`
    /// without a bound.
    #[must_use]
    pub fn unproved_for(&self, now: BootTime) -> Option<Duration> {
        let max_age = self.rule.max_age()?;
        let age = self.age(now).unwrap_or_default();
        Some(age.saturating_sub(max_age))
    }

    /// Returns the largest possible age of the known configuration; `None` before the first proof.
    #[must_use]
    pub fn age(&self, now: BootTime) -> Option<Duration> {
        self.proved_until().map(|proved| now.since(proved))
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
