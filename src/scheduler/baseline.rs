//! Baseline policies for comparison: they send each call immediately, in order of arrival, and use no statistics of
//! programs.

use std::hash::{DefaultHasher, Hash, Hasher};

use rand::rngs::SmallRng;

use super::policy::{SchedulingPolicy, arrival_order};
use super::view::{EngineView, JobView, OrderKey, PlacementChoice};

/// Sends each call to the next engine in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobinPolicy {
    next: usize,
}

impl SchedulingPolicy for RoundRobinPolicy {
    fn order(&self, job: &JobView) -> OrderKey {
        arrival_order(job)
    }

    fn place(&mut self, _: &JobView, engines: &[EngineView], _: &mut SmallRng) -> PlacementChoice {
        self.next = self.next.wrapping_add(1);
        PlacementChoice::At(self.next % engines.len())
    }
}

/// Sends each call to the engine with the fewest requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct LeastLoadedPolicy;

impl SchedulingPolicy for LeastLoadedPolicy {
    fn order(&self, job: &JobView) -> OrderKey {
        arrival_order(job)
    }

    fn place(&mut self, _: &JobView, engines: &[EngineView], _: &mut SmallRng) -> PlacementChoice {
        let least = (0..engines.len()).min_by_key(|index| engines[*index].in_flight);
        least.map_or(PlacementChoice::Wait, PlacementChoice::At)
    }
}

/// Sends all calls of a program to the same engine, chosen by rendezvous hashing.
#[derive(Clone, Copy, Debug)]
pub struct StickyPolicy;

impl SchedulingPolicy for StickyPolicy {
    fn order(&self, job: &JobView) -> OrderKey {
        arrival_order(job)
    }

    fn place(
        &mut self,
        job: &JobView,
        engines: &[EngineView],
        _: &mut SmallRng,
    ) -> PlacementChoice {
        let weight = |engine: &EngineView| {
            let mut hasher = DefaultHasher::new();
            (&job.program, &engine.name).hash(&mut hasher);
            hasher.finish()
        };
        let highest = (0..engines.len()).max_by_key(|index| weight(&engines[*index]));
        highest.map_or(PlacementChoice::Wait, PlacementChoice::At)
    }
}
