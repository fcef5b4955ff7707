//! An entry's success and failure counts for each upstream: combines its own outcomes with the counts that keepers
//! report, and queues its outcomes for the keepers.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::outcomes::{Outcome, OutcomeCounts, OutcomeDelta, UpstreamSuspect};
use crate::hold::lock_ignoring_poison;
use crate::model::UpstreamTag;
use crate::observe::Logbook;

/// Maximum number of queued outcomes; a keeper that has been unreachable misses the older ones.
const UNREPORTED_LIMIT: usize = 512;

/// Maximum number of upstreams in one report.
const MESSAGE_LIMIT: usize = 32;

/// Share of the locally known outcomes that a keeper must know before its counts replace the local ones: a keeper that
/// has just started knows nothing yet.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// Time after which an unused probe permit expires.
const PERMIT_LIFETIME: Duration = Duration::from_secs(1);

type OutcomeNumber = u64;

#[derive(Debug, Default)]
struct TrackerState {
    counts: HashMap<UpstreamTag, OutcomeCounts>,
    unreported: VecDeque<OutcomeDelta>,
    /// Sequence number of the next outcome.
    next_number: OutcomeNumber,
    /// Sequence number up to which outcomes were reported to each keeper.
    reported: HashMap<SmolStr, OutcomeNumber>,
    probe_permits: HashMap<UpstreamTag, Instant>,
}

#[derive(Serialize)]
struct DoubtLine {
    upstream_tag: String,
    doubted: bool,
    failure_share: f64,
    outcomes: f64,
}

/// Tracks outcomes at upstreams; each entry has one instance.
#[derive(Debug, Default)]
pub struct OutcomeTracker {
    state: Mutex<TrackerState>,
}

impl OutcomeTracker {
    /// Records the outcome of a request.
    pub fn note(&self, upstream: UpstreamTag, outcome: Outcome, now: Instant) {
        let delta = OutcomeDelta::of(upstream, outcome);
        let mut state = lock_ignoring_poison(&self.state);
        state.change(upstream, now, |counts| counts.add(&delta, now));
        state.next_number += 1;
        state.unreported.push_back(delta);
        if state.unreported.len() > UNREPORTED_LIMIT {
            state.unreported.pop_front();
        }
    }

    /// Returns the outcomes that were not reported to a keeper yet, and marks them as reported.
    #[must_use]
    pub fn take_unreported(&self, keeper: &SmolStr) -> Vec<OutcomeDelta> {
        let mut state = lock_ignoring_poison(&self.state);
        let next_number = state.next_number;
        let reported = state
            .reported
            .insert(keeper.clone(), next_number)
            .unwrap_or(0);
        let pending = usize::try_from(next_number - reported).unwrap_or(usize::MAX);
        let mut deltas: Vec<OutcomeDelta> = Vec::new();
        for outcome in state.unreported.iter().rev().take(pending) {
            let same = |delta: &OutcomeDelta| delta.upstream == outcome.upstream;
            if let Some(index) = deltas.iter().position(same) {
                deltas[index].add(outcome);
                continue;
            }
            if deltas.len() < MESSAGE_LIMIT {
                deltas.push(*outcome);
            }
        }
        deltas
    }

    /// Merges the counts that a keeper reports.
    pub fn merge_suspects(&self, suspects: &[UpstreamSuspect], now: Instant) {
        if suspects.is_empty() {
            return;
        }
        let mut state = lock_ignoring_poison(&self.state);
        for suspect in suspects {
            let reported = OutcomeCounts::from_report(suspect, now);
            state.change(suspect.upstream, now, |counts| {
                if reported.total() >= counts.decayed(now).total() * MIN_KNOWN_SHARE {
                    *counts = reported;
                }
            });
            if suspect.may_probe {
                state.probe_permits.insert(suspect.upstream, now);
            }
        }
    }

    /// Returns the time that a request is expected to lose at an upstream.
    #[must_use]
    pub fn penalty(&self, upstream: UpstreamTag, repeatable: bool, now: Instant) -> Duration {
        let state = lock_ignoring_poison(&self.state);
        let counts = state.counts.get(&upstream);
        counts.map_or(Duration::ZERO, |counts| counts.penalty(repeatable, now))
    }

    /// Consumes the permit to probe an upstream; returns whether there was a valid one.
    #[must_use]
    pub fn take_probe_permit(&self, upstream: UpstreamTag, now: Instant) -> bool {
        let granted = lock_ignoring_poison(&self.state)
            .probe_permits
            .remove(&upstream);
        granted.is_some_and(|granted| now.saturating_duration_since(granted) < PERMIT_LIFETIME)
    }

    /// Returns whether any probe permit is available.
    #[must_use]
    pub fn has_probe_permit(&self) -> bool {
        !lock_ignoring_poison(&self.state).probe_permits.is_empty()
    }

    /// Drops the state of upstreams that are not known any more.
    pub fn keep_only<Choice>(&self, known: Choice)
    where
        Choice: Fn(UpstreamTag) -> bool,
    {
        let mut state = lock_ignoring_poison(&self.state);
        state.counts.retain(|tag, _| known(*tag));
        state.probe_permits.retain(|tag, _| known(*tag));
    }
}

impl TrackerState {
    /// Changes an upstream's counts, and logs if this changes whether the upstream is suspected of failing.
    fn change<Change>(&mut self, upstream: UpstreamTag, now: Instant, change: Change)
    where
        Change: FnOnce(&mut OutcomeCounts),
    {
        let counts = self
            .counts
            .entry(upstream)
            .or_insert_with(|| OutcomeCounts::new(now));
        let before = counts.is_doubted(now);
        change(counts);
        let doubted = counts.is_doubted(now);
        if before == doubted {
            return;
        }
        let line = DoubtLine {
            upstream_tag: format!("{upstream:016x}"),
            doubted,
            failure_share: counts.failure_share(now),
            outcomes: counts.decayed(now).total(),
        };
        Logbook::global().record("upstream-doubt", &line);
    }
}
