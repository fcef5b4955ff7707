//! The trait of scheduling policies and the default policy.

use std::time::Duration;

use rand::rngs::SmallRng;

use super::baseline::{LeastLoadedPolicy, RoundRobinPolicy, StickyPolicy};
use super::place::{PlacementWeights, place_by_cost};
use super::view::{EngineView, JobView, OrderKey, PlacementChoice};
use crate::record::{PolicyName, PolicySpec};

/// Waiting time that raises a call by one priority band.
const AGEING_STEP: Duration = Duration::from_secs(20);

/// Maximum number of bands by which waiting raises a call.
const AGEING_LIMIT: u8 = 2;

/// Orders waiting calls and places them.
pub trait SchedulingPolicy: Send {
    /// Returns the sort key of a waiting call; the smallest key is next.
    fn order(&self, job: &JobView) -> OrderKey;

    /// Chooses an engine; `engines` is not empty.
    fn place(
        &mut self,
        job: &JobView,
        engines: &[EngineView],
        rng: &mut SmallRng,
    ) -> PlacementChoice;
}

/// Creates the policy that a record names.
#[must_use]
pub fn make_policy(spec: &PolicySpec) -> Box<dyn SchedulingPolicy> {
    match spec.policy {
        PolicyName::Default => Box::new(ProgramPolicy::new(spec.clone())),
        PolicyName::RoundRobin => Box::<RoundRobinPolicy>::default(),
        PolicyName::LeastLoaded => Box::new(LeastLoadedPolicy),
        PolicyName::Sticky => Box::new(StickyPolicy),
    }
}

/// Default policy: orders calls by priority, then by the remaining work and the age of their program, and places
/// them by cached prefix and load.
#[derive(Clone, Debug)]
pub struct ProgramPolicy {
    spec: PolicySpec,
}

impl ProgramPolicy {
    /// Creates the policy with the mechanisms that the record enables.
    #[must_use]
    pub fn new(spec: PolicySpec) -> Self {
        Self { spec }
    }
}

/// Returns the priority band after ageing.
fn aged_band(job: &JobView) -> u8 {
    let steps = job.waited.as_secs() / AGEING_STEP.as_secs();
    let raised_bands = u8::try_from(steps).unwrap_or(u8::MAX).min(AGEING_LIMIT);
    job.priority.saturating_sub(raised_bands)
}

/// Returns a key that orders calls by arrival alone.
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
        // Programs with less remaining work come first, and so do older programs.
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
