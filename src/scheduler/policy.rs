//! The trait of a scheduling policy, and the product's own.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::baseline::{LeastLoadedPolicy, RoundRobinPolicy, StickyPolicy};
use super::place::{PlacementWeights, place_by_cost};
use super::view::{EngineView, JobView, OrderKey, PlacementChoice};
use crate::record::{PolicyName, PolicySpec};

/// Waiting time that lifts a call by one band of priority.
const AGEING_STEP: Duration = Duration::from_secs(20);

/// Most bands by which waiting lifts a call.
const AGEING_LIMIT: u8 = 2;

/// Orders waiting calls and places them.
pub trait SchedulingPolicy: Send {
    /// Returns where the call stands in line.
    fn order(&self, job: &JobView) -> OrderKey;

    /// Chooses an engine; `engines` is not empty.
    fn place(
        &mut self,
        job: &JobView,
        engines: &[EngineView],
        rng: &mut SmallRng,
    ) -> PlacementChoice;
}

/// Makes the policy that a record names.
#[must_use]
pub fn make_policy(spec: &PolicySpec) -> Box<dyn SchedulingPolicy> {
    match spec.policy {
        PolicyName::Default => Box::new(ProgramPolicy::new(spec.clone())),
        PolicyName::RoundRobin => Box::<RoundRobinPolicy>::default(),
        PolicyName::LeastLoaded => Box::new(LeastLoadedPolicy),
        PolicyName::Sticky => Box::new(StickyPolicy),
    }
}

/// Orders by priority and by the work a program still needs; places by cached prefix and load.
#[derive(Clone, Debug)]
pub struct ProgramPolicy {
    spec: PolicySpec,
}

impl ProgramPolicy {
    /// Makes the policy with the mechanisms that the record leaves on.
    #[must_use]
    pub fn new(spec: PolicySpec) -> Self {
        Self { spec }
    }
}

/// Band of priority after ageing.
fn aged_band(job: &JobView) -> u8 {
    let steps = job.waited.as_secs() / AGEING_STEP.as_secs();
    let lift = u8::try_from(steps).unwrap_or(u8::MAX).min(AGEING_LIMIT);
    job.priority.saturating_sub(lift)
}

/// Order of arrival alone.
pub(super) fn arrival_order(job: &JobView) -> OrderKey {
    OrderKey {
        band: 0,
        score: 0.0,
        arrival: job.arrival,
    }
}

impl SchedulingPolicy for ProgramPolicy {
    fn order(&self, job: &JobView) -> OrderKey {
        if !self.spec.program_order {
            return arrival_order(job);
        }
        // The less a program still needs, and the longer it is under way, the earlier it is next.
        let score = job.remaining_work.as_secs_f64() - job.age.as_secs_f64();
        OrderKey {
            band: aged_band(job),
            score,
            arrival: job.arrival,
        }
    }

    fn place(
        &mut self,
        job: &JobView,
        engines: &[EngineView],
        rng: &mut SmallRng,
    ) -> PlacementChoice {
        let weights = PlacementWeights {
            cache: self.spec.cache_placement,
            wait: self.spec.admission,
            ..PlacementWeights::for_job(job)
        };
        place_by_cost(job, engines, &weights, rng)
    }
}
