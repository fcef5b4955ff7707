//! Outcomes of requests at each upstream, combined over all instances, and their cost in the selection of an upstream:
//! pure.
//!
//! Handles upstreams that fail fast while their health checks pass. A failure takes less time than a success, so such
//! an upstream looks idle and receives more requests than its peers. Where there are many entries, each one sends to a
//! failing upstream only once in seconds and can't detect the failures by itself. The keepers therefore combine the
//! entries' counts, and every turn queries a keeper before an upstream is selected.
//!
//! A suspicion adds a cost and does not exclude the upstream: if all upstreams of a service fail equally, all cost the
//! same and none is excluded, and if the healthy ones are full, the others are used again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::UpstreamTag;

/// Half-life of an outcome: it covers some dozens of requests at each upstream of a busy service.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Successes that are assumed before any outcome is known, so that a single failure has little effect.
const ASSUMED_SUCCESSES: f64 = 4.0;

/// Failure share that costs nothing: lost responses and failures of the work itself stay below it.
const ALLOWED_SHARE: f64 = 0.15;

/// Cost of a certain failure for a request that may be sent again: its time at the upstream, its caller's retry delay,
/// and one of its caller's attempts.
const REPEATABLE_COST: Duration = Duration::from_secs(1);

/// Failure share that costs nothing if the request can't be sent again.
const ALLOWED_NON_REPEATABLE_SHARE: f64 = 0.03;

/// Cost of a certain failure for a request that can't be sent again: the failure ends the request's program. With a
/// cost of three seconds, so many calls went to the upstreams with the lowest failure share that these were full and
/// rejected calls.
const NON_REPEATABLE_COST: Duration = Duration::from_secs(1);

/// Share of the failures that still counts after a successful probe: about three consecutive successes end a suspicion.
const KEPT_AFTER_PROBE: f64 = 0.4;

/// Time between two probes of a suspected upstream, over all instances: an upstream that keeps failing costs one
/// request a second, and one that has recovered is used again within two or three seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Failure count, after decay, below which an upstream isn't reported.
const MIN_REPORTED_FAILURES: f64 = 0.3;

/// Maximum number of upstreams in one reply.
const MAX_REPORTED_UPSTREAMS: usize = 24;

/// Number of upstreams above which those with nearly no remaining outcomes are dropped.
const UPSTREAM_LIMIT: usize = 4096;

/// Total count, after decay, below which an upstream is dropped then.
const MIN_KEPT_OUTCOMES: f64 = 0.05;

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The request succeeded.
    Success,
    /// The upstream failed, aborted the response, or did not respond.
    Failure,
    /// A probe of a suspected upstream succeeded.
    Recovered,
}

/// Outcomes at one upstream since the last report.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeDelta {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Successes, including successful probes.
    pub good: u16,
    /// Failures.
    pub bad: u16,
    /// Successful probes.
    pub recovered: u16,
}

impl OutcomeDelta {
    /// Returns the change that one outcome makes.
    #[must_use]
    pub fn of(upstream: UpstreamTag, outcome: Outcome) -> Self {
        Self {
            upstream,
            good: u16::from(outcome != Outcome::Failure),
            bad: u16::from(outcome == Outcome::Failure),
            recovered: u16::from(outcome == Outcome::Recovered),
        }
    }

    /// Adds other outcomes at the same upstream.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.recovered = self.recovered.saturating_add(other.recovered);
    }
}

/// A failing upstream, as reported by a keeper.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamSuspect {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Successes, after decay.
    pub good: f32,
    /// Failures, after decay.
    pub bad: f32,
    /// Whether the receiver of the report may probe the upstream with a request.
    pub may_probe: bool,
}

/// Successes and failures at one upstream, with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeCounts {
    good: f64,
    bad: f64,
    updated: Instant,
}

impl OutcomeCounts {
    /// Returns zero counts.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            updated: now,
        }
    }

    /// Returns the counts that a keeper reported, with invalid numbers clamped.
    #[must_use]
    pub fn from_report(suspect: &UpstreamSuspect, now: Instant) -> Self {
        let clamped = |count: f32| f64::from(count.max(0.0)).min(1e6);
        Self {
            good: clamped(suspect.good),
            bad: clamped(suspect.bad),
            updated: now,
        }
    }

    /// Adds outcomes.
    pub fn add(&mut self, delta: &OutcomeDelta, now: Instant) {
        *self = self.decayed(now);
        self.good += f64::from(delta.good);
        self.bad += f64::from(delta.bad);
        self.bad *= KEPT_AFTER_PROBE.powi(i32::from(delta.recovered));
    }

    /// Returns the counts after decay up to `now`.
    #[must_use]
    pub fn decayed(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        Self {
            good: self.good * factor,
            bad: self.bad * factor,
            updated: self.updated.max(now),
        }
    }

    /// Returns the sum of successes and failures.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// Returns the expected failure share.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        let counts = self.decayed(now);
        counts.bad / (counts.total() + ASSUMED_SUCCESSES)
    }

    /// Returns whether the upstream is suspected of failing.
    #[must_use]
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.failure_share(now) > ALLOWED_SHARE
    }

    /// Returns the time that a request is expected to lose at the upstream.
    #[must_use]
    pub fn penalty(&self, repeatable: bool, now: Instant) -> Duration {
        let share = self.failure_share(now);
        let (cost, allowed) = if repeatable {
            (REPEATABLE_COST, ALLOWED_SHARE)
        } else {
            (NON_REPEATABLE_COST, ALLOWED_NON_REPEATABLE_SHARE)
        };
        cost.mul_f64((share - allowed).max(0.0))
    }
}

/// Outcomes at all upstreams, as combined by a keeper.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTable {
    counts: HashMap<UpstreamTag, OutcomeCounts>,
    last_probes: HashMap<UpstreamTag, Instant>,
}

impl OutcomeTable {
    /// Adds the outcomes that an entry reports.
    pub fn take(&mut self, deltas: &[OutcomeDelta], now: Instant) {
        for delta in deltas {
            let counts = self
                .counts
                .entry(delta.upstream)
                .or_insert_with(|| OutcomeCounts::new(now));
            counts.add(delta, now);
        }
        if self.counts.len() > UPSTREAM_LIMIT {
            self.counts
                .retain(|_, counts| counts.decayed(now).total() > MIN_KEPT_OUTCOMES);
            let counted = &self.counts;
            self.last_probes.retain(|tag, _| counted.contains_key(tag));
        }
    }

    /// Returns the failing upstreams, the worst first, with probe permits for some of them.
    ///
    /// Each keeper grants probes independently; `keepers` is the number of keepers in the deployment, by which the
    /// interval is scaled so that all keepers together keep to it.
    pub fn suspects(&mut self, keepers: usize, now: Instant) -> Vec<UpstreamSuspect> {
        let mut failing: Vec<(UpstreamTag, OutcomeCounts)> = self
            .counts
            .iter()
            .map(|(tag, counts)| (*tag, counts.decayed(now)))
            .filter(|(_, counts)| counts.bad >= MIN_REPORTED_FAILURES)
            .collect();
        failing.sort_by(|left, right| right.1.bad.total_cmp(&left.1.bad));
        failing.truncate(MAX_REPORTED_UPSTREAMS);
        let interval = PROBE_INTERVAL * u32::try_from(keepers.max(1)).unwrap_or(u32::MAX);
        let mut suspects = Vec::with_capacity(failing.len());
        for (tag, counts) in failing {
            suspects.push(UpstreamSuspect {
                upstream: tag,
                good: narrow(counts.good),
                bad: narrow(counts.bad),
                may_probe: counts.is_doubted(now) && self.grant_probe(tag, interval, now),
            });
        }
        suspects
    }

    fn grant_probe(&mut self, tag: UpstreamTag, interval: Duration, now: Instant) -> bool {
        // A new suspicion is not probed at once: the interval starts with it.
        let last = self.last_probes.entry(tag).or_insert(now);
        if now.saturating_duration_since(*last) < interval {
            return false;
        }
        *last = now;
        true
    }
}

/// Converts a count to the precision of a message.
#[allow(clippy::cast_possible_truncation)]
fn narrow(count: f64) -> f32 {
    count as f32
}
