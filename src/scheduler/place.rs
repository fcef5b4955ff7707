//! Placement by expected cost: queueing delay, prefill of uncached tokens, distance and cache contention.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::view::{EngineView, JobView, PlacementChoice};

/// Cost of sending a call to another failure domain, in seconds.
const DISTANCE_COST: f64 = 0.05;

/// Relative difference up to which two costs count as equal.
const COST_TOLERANCE: f64 = 0.1;

/// Weight of prefill time for a job with latency weight 1; above 1 because repeated prefill also delays other calls.
const PREFILL_WEIGHT: f64 = 2.0;

/// Additional weight of prefill time for a job with latency weight 0, where avoiding wasted cache matters most.
const WASTE_WEIGHT: f64 = 8.0;

/// Weights of the parts of the cost.
#[derive(Clone, Debug)]
pub struct PlacementWeights {
    /// Whether cached prefixes reduce the cost.
    pub cache: bool,
    /// Whether a call waits in the queue while its cheapest engine is full.
    pub wait: bool,
    /// Weight of the time to prefill uncached tokens.
    pub prefill: f64,
}

impl PlacementWeights {
    /// Returns the weights for a job, by the latency weight of its class.
    #[must_use]
    pub fn for_job(job: &JobView) -> Self {
        Self {
            cache: true,
            wait: true,
            prefill: PREFILL_WEIGHT + WASTE_WEIGHT * (1.0 - job.latency_weight),
        }
    }
}

/// Places a call on the engine with the lowest expected cost, or returns `Wait` while that engine is full.
///
/// Of the engines with about the same cost, two are drawn at random and the cheaper one is chosen, so that instances
/// with the same view do not all send to the same engine.
#[must_use]
pub fn place_by_cost(
    job: &JobView,
    engines: &[EngineView],
    weights: &PlacementWeights,
    rng: &mut SmallRng,
) -> PlacementChoice {
    let costs: Vec<f64> = engines
        .iter()
        .map(|engine| cost(job, engine, weights))
        .collect();
    let is_open = |index: &usize| !weights.wait || engines[*index].has_room();
    let cheapest = |indices: &mut dyn Iterator<Item = usize>| {
        indices.min_by(|one, other| costs[*one].total_cmp(&costs[*other]))
    };
    let Some(best) = cheapest(&mut (0..engines.len())) else {
        return PlacementChoice::Wait;
    };
    if !is_open(&best) {
        return PlacementChoice::Wait;
    }
    let bound = costs[best] * (1.0 + COST_TOLERANCE) + 0.001;
    let cheap: Vec<usize> = (0..engines.len())
        .filter(is_open)
        .filter(|index| costs[*index] <= bound)
        .collect();
    if cheap.len() < 2 {
        return PlacementChoice::At(best);
    }
    let first = cheap[rng.random_range(0..cheap.len())];
    let second = cheap[rng.random_range(0..cheap.len())];
    let cheaper = cheapest(&mut [first, second].into_iter());
    cheaper.map_or(PlacementChoice::Wait, PlacementChoice::At)
}

/// Returns the expected time to the first token in seconds, with weights that account for wasted prefill.
fn cost(job: &JobView, engine: &EngineView, weights: &PlacementWeights) -> f64 {
    let cached = if weights.cache {
        engine.cached_tokens
    } else {
        0
    };
    let missing = job.prompt_tokens.saturating_sub(cached);
    let prefill = scale_seconds(engine.prefill_time, missing) * weights.prefill;
    let distance = if engine.local { 0.0 } else { DISTANCE_COST };
    engine.queue_delay().as_secs_f64() + prefill + distance + contention(job, engine, weights)
}

/// Returns the cost of placing a new program on an engine whose cache is already filled by running programs, since they
/// will evict each other's prefixes.
fn contention(job: &JobView, engine: &EngineView, weights: &PlacementWeights) -> f64 {
    if !weights.cache || engine.cache_tokens == 0 || job.calls > 0 && engine.cached_tokens > 0 {
        return 0.0;
    }
    let after = engine.resident_tokens + job.prompt_tokens + job.answer_tokens;
    let excess = after
        .saturating_sub(engine.cache_tokens)
        .min(engine.cache_tokens);
    scale_seconds(engine.prefill_time, excess) * weights.prefill
}

#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
fn scale_seconds(time: Duration, tokens: u64) -> f64 {
    time.as_secs_f64() * tokens as f64
}

#[cfg(test)]
mod tests {
    use rand::SeedableRng;

    use super::*;

    fn engine(name: &str, in_flight: u32, cached_tokens: u64) -> EngineView {
        EngineView {
            name: name.into(),
            local: true,
            slots: 4,
            in_flight,
            limit: 5,
            cached_tokens,
            resident_tokens: 0,
            cache_tokens: 10_000,
            prefill_time: Duration::from_micros(20),
            token_time: Duration::from_millis(5),
            call_time: Duration::from_millis(200),
        }
    }

    fn job() -> JobView {
        JobView {
            program: "p".into(),
            arrival: 1,
            priority: 5,
            latency_weight: 0.5,
            waited: Duration::ZERO,
            age: Duration::ZERO,
            time_left: Duration::from_mins(1),
            calls: 3,
            prompt_tokens: 4000,
            answer_tokens: 100,
            remaining_work: Duration::from_secs(1),
            home: None,
        }
    }

    #[test]
    fn call_goes_to_the_engine_with_its_cached_prefix() {
        let engines = [engine("a", 0, 0), engine("b", 2, 3900)];
        let mut rng = SmallRng::seed_from_u64(1);
        let weights = PlacementWeights::for_job(&job());
        assert_eq!(
            place_by_cost(&job(), &engines, &weights, &mut rng),
            PlacementChoice::At(1)
        );
    }

    #[test]
    fn call_waits_for_its_cached_prefix_only_while_that_is_cheaper() {
        let mut rng = SmallRng::seed_from_u64(1);
        let weights = PlacementWeights::for_job(&job());
        let full = [engine("a", 0, 0), engine("b", 5, 3900)];
        assert_eq!(
            place_by_cost(&job(), &full, &weights, &mut rng),
            PlacementChoice::Wait
        );
        let overloaded = [engine("a", 0, 0), engine("b", 30, 3900)];
        assert_eq!(
            place_by_cost(&job(), &overloaded, &weights, &mut rng),
            PlacementChoice::At(0)
        );
    }

    #[test]
    fn equal_engines_share_the_work() {
        let engines = vec![engine("a", 0, 0), engine("b", 0, 0), engine("c", 0, 0)];
        let mut rng = SmallRng::seed_from_u64(1);
        let weights = PlacementWeights::for_job(&job());
        let mut counts = [0; 3];
        for _ in 0..300 {
            if let PlacementChoice::At(index) = place_by_cost(&job(), &engines, &weights, &mut rng)
            {
                counts[index] += 1;
            }
        }
        assert!(counts.iter().all(|count| *count > 50), "{counts:?}");
    }
}
