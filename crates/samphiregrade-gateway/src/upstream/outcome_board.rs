//! An entry's account of outcomes at upstreams: its own, what the keepers tell, and what they have not heard yet.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::outcomes::{Outcome, OutcomeCounts, OutcomeDelta, UpstreamSuspect};
use crate::hold::lock_ignoring_poison;
use crate::model::UpstreamTag;
use crate::observe::Logbook;

/// Outcomes that wait to be told at most; a keeper that has been away misses the older ones.
const UNTOLD_LIMIT: usize = 512;

/// Upstreams that are told of in one message at most.
const MESSAGE_LIMIT: usize = 32;

/// Share of what is known here that a keeper has to know before its account takes the place of it: one that has just
/// started knows nothing yet.
const INFORMED_SHARE: f64 = 0.5;

/// Time within which the leave to probe is used or lost.
const PROBE_LEAVE: Duration = Duration::from_secs(1);

type OutcomeNumber = u64;

#[derive(Debug, Default)]
struct BoardState {
    counts: HashMap<UpstreamTag, OutcomeCounts>,
    untold: VecDeque<OutcomeDelta>,
    /// Number of the outcome after the last one.
    next: OutcomeNumber,
    /// Number up to which each keeper was told.
    told: HashMap<SmolStr, OutcomeNumber>,
    leaves: HashMap<UpstreamTag, Instant>,
}

#[derive(Serialize)]
struct DoubtLine {
    upstream_tag: String,
    doubted: bool,
    failure_share: f64,
    outcomes: f64,
}

/// The account; one for each entry.
#[derive(Debug, Default)]
pub struct OutcomeTracker {
    state: Mutex<BoardState>,
}

impl OutcomeTracker {
    /// Notes how a request ended.
    pub fn note(&self, upstream: UpstreamTag, outcome: Outcome, now: Instant) {
        let delta = OutcomeDelta::of(upstream, outcome);
        let mut state = lock_ignoring_poison(&self.state);
        state.change(upstream, now, |counts| counts.add(&delta, now));
        state.next += 1;
        state.untold.push_back(delta);
        if state.untold.len() > UNTOLD_LIMIT {
            state.untold.pop_front();
        }
    }

    /// Returns what a keeper has not been told yet, which counts as told with it.
    #[must_use]
    pub fn take_unreported(&self, keeper: &SmolStr) -> Vec<OutcomeDelta> {
        let mut state = lock_ignoring_poison(&self.state);
        let next = state.next;
        let told = state.told.insert(keeper.clone(), next).unwrap_or(0);
        let waiting = usize::try_from(next - told).unwrap_or(usize::MAX);
        let mut deltas: Vec<OutcomeDelta> = Vec::new();
        for outcome in state.untold.iter().rev().take(waiting) {
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

    /// Takes what a keeper tells.
    pub fn merge_suspects(&self, suspects: &[UpstreamSuspect], now: Instant) {
        if suspects.is_empty() {
            return;
        }
        let mut state = lock_ignoring_poison(&self.state);
        for suspect in suspects {
            let told = OutcomeCounts::told(suspect, now);
            state.change(suspect.upstream, now, |counts| {
                if told.total() >= counts.faded(now).total() * INFORMED_SHARE {
                    *counts = told;
                }
            });
            if suspect.may_probe {
                state.leaves.insert(suspect.upstream, now);
            }
        }
    }

    /// Returns the time that a request is to be expected to lose at an upstream.
    #[must_use]
    pub fn penalty(&self, upstream: UpstreamTag, repeatable: bool, now: Instant) -> Duration {
        let state = lock_ignoring_poison(&self.state);
        let counts = state.counts.get(&upstream);
        counts.map_or(Duration::ZERO, |counts| counts.penalty(repeatable, now))
    }

    /// Uses the leave to probe an upstream; returns whether there was one.
    #[must_use]
    pub fn take_probe_permit(&self, upstream: UpstreamTag, now: Instant) -> bool {
        let given = lock_ignoring_poison(&self.state).leaves.remove(&upstream);
        given.is_some_and(|given| now.saturating_duration_since(given) < PROBE_LEAVE)
    }

    /// Returns whether any leave to probe is open.
    #[must_use]
    pub fn has_probe_permit(&self) -> bool {
        !lock_ignoring_poison(&self.state).leaves.is_empty()
    }

    /// Forgets the upstreams that are not known any more.
    pub fn keep_only<Choice>(&self, known: Choice)
    where
        Choice: Fn(UpstreamTag) -> bool,
    {
        let mut state = lock_ignoring_poison(&self.state);
        state.counts.retain(|tag, _| known(*tag));
        state.leaves.retain(|tag, _| known(*tag));
    }
}

impl BoardState {
    /// Changes an upstream's counts, and logs where it begins or ceases to be doubted with it.
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
            outcomes: counts.faded(now).total(),
        };
        Logbook::global().record("upstream-doubt", &line);
    }
}
