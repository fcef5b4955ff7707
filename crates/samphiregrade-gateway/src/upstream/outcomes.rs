//! What became of requests at each upstream, by all instances' account, and what that costs in a choice: pure.
//!
//! Answers the pattern of upstreams that fail fast while their health checks are good. A failure ends sooner than a
//! success, so that such an upstream looks idle and is sent more than its peers. Where there are many entries, each
//! meets it once in seconds and learns nothing: their accounts are put together by the keepers, which every turn
//! asks before it is placed.
//!
//! Doubt is a cost among the others, not a verdict: where all upstreams of a service fail alike, all cost the same and
//! none is left out, and where the good ones are full, the others are used again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::model::UpstreamTag;

/// Time after which an outcome counts half: some dozens of requests at each upstream of a busy service.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Good outcomes that are assumed before any is known, so that one failure alone says little.
const ASSUMED_GOOD: f64 = 4.0;

/// Share of failures that costs nothing: lost answers and failures of the work itself stay below it.
const ALLOWED_SHARE: f64 = 0.15;

/// What a certain failure costs a request that may be sent again: its time at the upstream, its caller's pause, and one
/// of its caller's tries.
const REPEATABLE_COST: Duration = Duration::from_secs(1);

/// Share of failures that costs nothing where the request can't be sent again.
const ALLOWED_FINAL_SHARE: f64 = 0.03;

/// What a certain failure costs a request that can't be sent again: it ends its program. Three seconds sent so many
/// calls to the best known upstreams that these were full and refused.
const FINAL_COST: Duration = Duration::from_secs(1);

/// Part of the failures that still counts after a probe that succeeded: some three in a row clear an upstream.
const KEPT_BY_PROBE: f64 = 0.4;

/// Time between two probes of a doubted upstream, by all instances together: one upstream that goes on failing costs
/// one request a second, and one that has recovered is back within two or three.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Failures below which an upstream isn't told of; they have faded.
const TOLD_FAILURES: f64 = 0.3;

/// Upstreams that are told of in one answer at most.
const TOLD_UPSTREAMS: usize = 24;

/// Upstreams that are counted before those with hardly anything left are dropped.
const COUNTED_UPSTREAMS: usize = 4096;

/// Outcomes below which an upstream is dropped then.
const FORGOTTEN_BELOW: f64 = 0.05;

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// As it should.
    Success,
    /// The upstream failed, broke off, or said nothing.
    Failure,
    /// A probe of a doubted upstream ended as it should.
    Recovered,
}

/// Outcomes at one upstream since they were told last.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct OutcomeDelta {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// Good outcomes.
    pub good: u16,
    /// Failures.
    pub bad: u16,
    /// Probes that succeeded.
    pub recovered: u16,
}

impl OutcomeDelta {
    /// Describes one outcome.
    #[must_use]
    pub fn of(upstream: UpstreamTag, outcome: Outcome) -> Self {
        Self {
            upstream,
            good: u16::from(outcome != Outcome::Failure),
            bad: u16::from(outcome == Outcome::Failure),
            recovered: u16::from(outcome == Outcome::Recovered),
        }
    }

    /// Adds later outcomes.
    pub fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
        self.recovered = self.recovered.saturating_add(other.recovered);
    }
}

/// An upstream that fails, as a keeper tells it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamSuspect {
    /// The start of the upstream.
    pub upstream: UpstreamTag,
    /// Good outcomes, faded.
    pub good: f32,
    /// Failures, faded.
    pub bad: f32,
    /// Whether the one who is told may probe it with a request.
    pub may_probe: bool,
}

/// Outcomes at one upstream; earlier ones count less.
#[derive(Clone, Copy, Debug)]
pub struct OutcomeCounts {
    good: f64,
    bad: f64,
    at: Instant,
}

impl OutcomeCounts {
    /// Starts without any.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            good: 0.0,
            bad: 0.0,
            at: now,
        }
    }

    /// Takes what a keeper told.
    #[must_use]
    pub fn told(suspect: &UpstreamSuspect, now: Instant) -> Self {
        let sound = |count: f32| f64::from(count.max(0.0)).min(1e6);
        Self {
            good: sound(suspect.good),
            bad: sound(suspect.bad),
            at: now,
        }
    }

    /// Adds outcomes.
    pub fn add(&mut self, delta: &OutcomeDelta, now: Instant) {
        *self = self.faded(now);
        self.good += f64::from(delta.good);
        self.bad += f64::from(delta.bad);
        self.bad *= KEPT_BY_PROBE.powi(i32::from(delta.recovered));
    }

    /// Returns the counts as they are now.
    #[must_use]
    pub fn faded(&self, now: Instant) -> Self {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let factor = 0.5_f64.powf(age / HALF_LIFE.as_secs_f64());
        Self {
            good: self.good * factor,
            bad: self.bad * factor,
            at: self.at.max(now),
        }
    }

    /// Returns how many outcomes still count.
    #[must_use]
    pub fn total(&self) -> f64 {
        self.good + self.bad
    }

    /// Returns the share of failures that is to be expected.
    #[must_use]
    pub fn failure_share(&self, now: Instant) -> f64 {
        let counts = self.faded(now);
        counts.bad / (counts.total() + ASSUMED_GOOD)
    }

    /// Returns whether the upstream is doubted.
    #[must_use]
    pub fn is_doubted(&self, now: Instant) -> bool {
        self.failure_share(now) > ALLOWED_SHARE
    }

    /// Returns the time that a request is to be expected to lose there.
    #[must_use]
    pub fn penalty(&self, repeatable: bool, now: Instant) -> Duration {
        let share = self.failure_share(now);
        let (cost, allowed) = if repeatable {
            (REPEATABLE_COST, ALLOWED_SHARE)
        } else {
            (FINAL_COST, ALLOWED_FINAL_SHARE)
        };
        cost.mul_f64((share - allowed).max(0.0))
    }
}

/// Outcomes at all upstreams, as a keeper puts them together.
#[derive(Clone, Debug, Default)]
pub struct OutcomeTable {
    counts: HashMap<UpstreamTag, OutcomeCounts>,
    probed: HashMap<UpstreamTag, Instant>,
}

impl OutcomeTable {
    /// Takes what an entry tells.
    pub fn take(&mut self, deltas: &[OutcomeDelta], now: Instant) {
        for delta in deltas {
            let counts = self
                .counts
                .entry(delta.upstream)
                .or_insert_with(|| OutcomeCounts::new(now));
            counts.add(delta, now);
        }
        if self.counts.len() > COUNTED_UPSTREAMS {
            self.counts
                .retain(|_, counts| counts.faded(now).total() > FORGOTTEN_BELOW);
            let counted = &self.counts;
            self.probed.retain(|tag, _| counted.contains_key(tag));
        }
    }

    /// Returns the upstreams that fail, the worst first, with leave to probe some of them.
    ///
    /// Each of the deployment's keepers gives leave by itself, so that `keepers` of them keep to the interval together.
    pub fn suspects(&mut self, keepers: usize, now: Instant) -> Vec<UpstreamSuspect> {
        let mut failing: Vec<(UpstreamTag, OutcomeCounts)> = self
            .counts
            .iter()
            .map(|(tag, counts)| (*tag, counts.faded(now)))
            .filter(|(_, counts)| counts.bad >= TOLD_FAILURES)
            .collect();
        failing.sort_by(|left, right| right.1.bad.total_cmp(&left.1.bad));
        failing.truncate(TOLD_UPSTREAMS);
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
        // A first doubt is no reason to probe at once: the interval starts with it.
        let last = self.probed.entry(tag).or_insert(now);
        if now.saturating_duration_since(*last) < interval {
            return false;
        }
        *last = now;
        true
    }
}

/// Counts need no more digits than a message carries.
#[allow(clippy::cast_possible_truncation)]
fn narrow(count: f64) -> f32 {
    count as f32
}
