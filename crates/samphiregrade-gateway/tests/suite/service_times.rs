//! Times of a service, estimated from its responses.

use std::time::Duration;

use quickcheck::quickcheck;
use samphiregrade_gateway::upstream::{
    AnsweredRequest, Candidate, RunningMedian, ServiceTimes, WorkEstimate, choose_upstream,
};

/// A simulated engine.
struct SimulatedEngine {
    head: f64,
    prefill_rate: f64,
    token: f64,
}

const FAST: SimulatedEngine = SimulatedEngine {
    head: 10.0,
    prefill_rate: 247.0,
    token: 0.8,
};

const SLOW: SimulatedEngine = SimulatedEngine {
    head: 20.0,
    prefill_rate: 30.0,
    token: 6.0,
};

impl SimulatedEngine {
    /// Returns the measurements of a turn; `share_more` is the share of extra time due to other turns on the engine.
    fn turn(&self, uncached: u32, made: u32, extra_share: f64) -> AnsweredRequest {
        let first = (self.head + f64::from(uncached) / self.prefill_rate) * (1.0 + extra_share);
        let total = first + f64::from(made) * self.token * (1.0 + extra_share);
        AnsweredRequest {
            uncached,
            generated_tokens: made,
            time_to_head: Duration::from_secs_f64(first / 1000.0),
            total: Duration::from_secs_f64(total / 1000.0),
        }
    }

    fn estimated_times(&self, turns: u32) -> ServiceTimes {
        let mut times = ServiceTimes::of_engine();
        for number in 0..turns {
            let uncached = [120, 2_600, 250, 1_400, 600, 3_900][number as usize % 6];
            let extra = [0.0, 0.1, 0.3][number as usize % 3];
            times.note(&self.turn(uncached, 33, extra));
            // One turn in twelve hits a fault and takes seconds.
            if number % 12 == 0 {
                times.note(&self.turn(uncached, 33, 50.0));
            }
        }
        times
    }
}

fn is_close(value: f64, wanted: f64) -> bool {
    value > wanted * 0.6 && value < wanted * 1.5
}

#[test]
fn fast_and_slow_engines_are_estimated_within_dozens_of_turns_despite_faults() {
    for engine in [FAST, SLOW] {
        let times = engine.estimated_times(60);
        let token = times.token().as_secs_f64() * 1000.0;
        assert!(is_close(token, engine.token), "{token}");
        let rate = times.prefill_rate();
        assert!(is_close(rate, engine.prefill_rate), "{rate}");
    }
}

#[test]
fn slow_prefill_keeps_turns_at_their_cached_prompts() {
    let cached = Candidate {
        load: 12.0,
        slots: 24.0,
        ..Candidate::default()
    };
    let empty = Candidate {
        load: 0.0,
        uncached_tokens: 2_500,
        ..cached
    };
    let choose = |engine: &SimulatedEngine| {
        let times = engine.estimated_times(60);
        let work = WorkEstimate {
            slot_milliseconds: times.slot_time().as_secs_f64() * 1000.0,
            prefill_rate: times.prefill_rate(),
            on_engine: true,
        };
        choose_upstream(&[cached, empty], &work, 0.0)
    };
    assert_eq!(choose(&SLOW), Some(0));
    // If prompts are processed fast, an idle engine is worth processing a cached prompt again only if the batch is
    // larger.
    let longer = Candidate {
        load: 30.0,
        ..cached
    };
    let times = FAST.estimated_times(60);
    let work = WorkEstimate {
        slot_milliseconds: times.slot_time().as_secs_f64() * 1000.0,
        prefill_rate: times.prefill_rate(),
        on_engine: true,
    };
    assert_eq!(choose_upstream(&[longer, empty], &work, 0.0), Some(1));
}

#[test]
fn median_follows_a_change() {
    let mut median = RunningMedian::new(100.0, 1.0, 1000.0);
    for _ in 0..30 {
        median.add(10.0);
    }
    assert!((median.estimate() - 10.0).abs() < 1.0);
    for _ in 0..120 {
        median.add(40.0);
    }
    assert!((median.estimate() - 40.0).abs() < 4.0);
}

#[test]
fn any_samples_keep_a_median_within_its_bounds() {
    fn bounded(samples: Vec<f64>) -> bool {
        let mut median = RunningMedian::new(5.0, 1.0, 10.0);
        for sample in samples {
            median.add(sample);
        }
        (1.0..=10.0).contains(&median.estimate())
    }
    quickcheck(bounded as fn(Vec<f64>) -> bool);
}

#[test]
fn any_measurements_leave_valid_times() {
    fn valid(answers: Vec<(u32, u32, u32, u32)>) -> bool {
        let mut times = ServiceTimes::of_plain();
        for (uncached, made, first, extra) in answers {
            let first = Duration::from_micros(u64::from(first));
            times.note(&AnsweredRequest {
                uncached,
                generated_tokens: made,
                time_to_head: first,
                total: first + Duration::from_micros(u64::from(extra)),
            });
        }
        let rate = times.prefill_rate();
        rate.is_finite() && rate >= 1.0 && times.slot_time() > Duration::ZERO
    }
    quickcheck(valid as fn(Vec<(u32, u32, u32, u32)>) -> bool);
}
