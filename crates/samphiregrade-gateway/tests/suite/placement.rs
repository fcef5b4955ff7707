//! Placement by expected completion on upstreams of uneven speed and varying contention.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use samphiregrade_gateway::upstream::{
    Candidate, ContentionView, LoadView, WorkEstimate, choose_upstream, estimate_loads, mean_excess,
};

const ENGINES: usize = 44;
const SLOTS: usize = 8;
const SLOW_EACH: usize = 4;
/// Speeds of 0.55 and 1.2, relative to the median.
const SLOW: f64 = 1.2 / 0.55;
const CONTENDED: f64 = 2.5;
const CONTENDED_SHARE: f64 = 0.15;
const CONTENTION_TICKS: usize = 120;
const TICK_MILLISECONDS: f64 = 5.0;
/// Age of the views, 0.2 s, in ticks.
const VIEW_TICKS: usize = 40;
/// Turns per tick at mean load: 400 per second.
const MEAN_TURNS: usize = 2;
const TICKS: usize = 4_000;

const TURN: WorkEstimate = WorkEstimate {
    slot_milliseconds: 260.0,
    prefill_rate: 471.0,
    on_engine: true,
};

#[derive(Clone, Copy)]
struct EngineReport {
    load: usize,
    contention: f64,
}

struct SimulatedEngine {
    speed: f64,
    contention: f64,
    /// Milliseconds of work left for each turn; the first ones occupy the slots.
    turns: VecDeque<f64>,
    reports: VecDeque<EngineReport>,
    placed: u32,
}

impl SimulatedEngine {
    fn new(number: usize) -> Self {
        let idle = EngineReport {
            load: 0,
            contention: 1.0,
        };
        let is_slow = number.is_multiple_of(SLOW_EACH);
        Self {
            speed: if is_slow { SLOW } else { 1.0 },
            contention: 1.0,
            turns: VecDeque::new(),
            reports: VecDeque::from(vec![idle; VIEW_TICKS]),
            placed: 0,
        }
    }

    fn is_slow(&self) -> bool {
        self.speed > 1.0
    }

    fn has_room(&self) -> bool {
        self.turns.len() < SLOTS
    }

    /// Runs the turns for one tick; each further turn makes a step 1.3 % longer.
    fn step(&mut self) {
        let running = self.turns.len().min(SLOTS);
        let batch = 1.0 + 0.013 * number(running.saturating_sub(1));
        let progress = TICK_MILLISECONDS / (self.speed * self.contention * batch);
        for work in self.turns.iter_mut().take(SLOTS) {
            *work -= progress;
        }
        self.turns.retain(|work| *work > 0.0);
        self.reports.pop_front();
        self.reports.push_back(EngineReport {
            load: self.turns.len(),
            contention: self.contention,
        });
    }
}

#[allow(clippy::cast_precision_loss)]
fn number(count: usize) -> f64 {
    count as f64
}

fn freshness(age: Duration, half_life: Duration) -> f64 {
    0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
}

/// Whether loads are as old as the contention, or as current as the keepers' accounts.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LoadAge {
    Old,
    Current,
}

/// Describes the engines as all entries see them.
fn candidates(engines: &[SimulatedEngine], load_age: LoadAge) -> Vec<Candidate> {
    let age = Duration::from_millis(200);
    let (report, load_freshness) = match load_age {
        LoadAge::Old => (0, freshness(age, Duration::from_millis(250))),
        LoadAge::Current => (VIEW_TICKS - 2, 1.0),
    };
    let loads: Vec<LoadView> = engines
        .iter()
        .map(|engine| LoadView {
            own: 0.0,
            others: number(engine.reports[report].load),
            freshness: load_freshness,
        })
        .collect();
    // The middle of a turn is 130 ms from now.
    let age_at_middle = age + Duration::from_millis(130);
    let views: Vec<ContentionView> = engines
        .iter()
        .map(|engine| ContentionView {
            excess: engine.reports[0].contention - 1.0,
            freshness: freshness(age_at_middle, Duration::from_millis(300)),
        })
        .collect();
    let mean = mean_excess(&views);
    let mut candidates = Vec::new();
    for ((engine, view), load) in engines
        .iter()
        .zip(&views)
        .zip(estimate_loads(&loads, |index| engines[index].speed))
    {
        candidates.push(Candidate {
            load,
            slots: number(SLOTS),
            slowdown: engine.speed,
            contention: view.estimate(mean),
            ..Candidate::default()
        });
    }
    candidates
}

struct PlacementResult {
    /// Share of the turns placed on a slow engine while a fast one had a free slot.
    needlessly_slow: f64,
    /// Turns on the busiest fast engine, relative to the mean of the fast ones.
    busiest: f64,
    /// Mean time of a turn, in milliseconds.
    mean_time: f64,
}

fn simulate(turns_per_tick: usize, load_age: LoadAge) -> PlacementResult {
    let mut random = StdRng::seed_from_u64(11);
    let mut engines: Vec<SimulatedEngine> = (0..ENGINES).map(SimulatedEngine::new).collect();
    let (mut needlessly_slow, mut present) = (0, 0);
    for tick in 0..TICKS {
        for (index, engine) in engines.iter_mut().enumerate() {
            // The engines' contention changes at different times.
            if (tick + 7 * index).is_multiple_of(CONTENTION_TICKS) {
                let contended = random.random_bool(CONTENDED_SHARE);
                engine.contention = if contended { CONTENDED } else { 1.0 };
            }
            engine.step();
            present += engine.turns.len();
        }
        let candidates = candidates(&engines, load_age);
        for _ in 0..turns_per_tick {
            let chosen = choose_upstream(&candidates, &TURN, random.random()).expect("an engine");
            let room = engines.iter().any(|one| !one.is_slow() && one.has_room());
            needlessly_slow += usize::from(engines[chosen].is_slow() && room);
            // The work of turns varies by a factor of three.
            let work = random.random_range(130.0..390.0);
            engines[chosen].turns.push_back(work);
            engines[chosen].placed += 1;
        }
    }
    let fast = engines.iter().filter(|engine| !engine.is_slow());
    let placed: Vec<f64> = fast.map(|engine| f64::from(engine.placed)).collect();
    let mean = placed.iter().sum::<f64>() / number(placed.len());
    PlacementResult {
        needlessly_slow: number(needlessly_slow) / number(TICKS * turns_per_tick),
        busiest: placed.iter().copied().fold(0.0, f64::max) / mean,
        mean_time: number(present) * TICK_MILLISECONDS / number(TICKS * turns_per_tick),
    }
}

// Guards against turns on slow engines while fast ones have room, and against old views that send the turns of all
// entries to the same engines.
#[test]
fn turns_spread_over_the_fast_engines_by_old_views() {
    for (turns_per_tick, longest) in [(MEAN_TURNS, 330.0), (2 * MEAN_TURNS, 1_200.0)] {
        let result = simulate(turns_per_tick, LoadAge::Old);
        let PlacementResult {
            needlessly_slow,
            busiest,
            mean_time,
        } = result;
        assert!(needlessly_slow < 0.02, "{needlessly_slow} on slow engines");
        assert!(busiest < 1.35, "busiest {busiest}");
        assert!(mean_time < longest, "mean time {mean_time}");
    }
}

// Guards against queues at uncontended engines, which last longer than the contention that is avoided.
#[test]
fn avoiding_contention_does_not_cause_longer_queues() {
    for (turns_per_tick, longest) in [(MEAN_TURNS, 300.0), (2 * MEAN_TURNS, 400.0)] {
        let mean_time = simulate(turns_per_tick, LoadAge::Current).mean_time;
        assert!(mean_time < longest, "mean time {mean_time}");
    }
}

/// Returns the cost of a candidate as it was before slowdowns were known.
fn cost_without_slowdown(candidate: &Candidate, work: &WorkEstimate) -> f64 {
    let slots = candidate.slots.max(1.0);
    let running = candidate.load.min(slots);
    let queue = (candidate.load + 1.0 - slots).max(0.0) * work.slot_milliseconds / slots;
    let domain = if candidate.in_other_domain { 2.8 } else { 0.0 };
    let connection = if candidate.connected { 0.0 } else { 2.0 };
    let prefill = f64::from(candidate.uncached_tokens) / work.prefill_rate;
    let execution = if work.on_engine {
        prefill * (1.0 + running) + 0.0045 * work.slot_milliseconds * running
    } else {
        0.35 * work.slot_milliseconds * running / slots
    };
    execution + queue + domain + connection + candidate.penalty.as_secs_f64() * 1000.0
}

fn random_candidate(random: &mut StdRng) -> Candidate {
    let view = ContentionView {
        excess: 0.0,
        freshness: random.random(),
    };
    Candidate {
        load: f64::from(random.random_range(0..40)) / 3.0,
        slots: f64::from(random.random_range(0..12)),
        uncached_tokens: random.random_range(0..3) * 100,
        in_other_domain: random.random(),
        connected: random.random(),
        penalty: Duration::from_millis(random.random_range(0..2) * 30),
        contention: view.estimate(mean_excess(&[view])),
        ..Candidate::default()
    }
}

// Guards against other choices in deployments whose upstreams are equally fast and report no contention.
#[test]
fn costs_and_choices_at_equal_speeds_are_unchanged() {
    let mut random = StdRng::seed_from_u64(5);
    for round in 0..5_000 {
        let work = WorkEstimate {
            on_engine: round % 2 == 0,
            ..TURN
        };
        let candidates: Vec<Candidate> = (0..12).map(|_| random_candidate(&mut random)).collect();
        let costs: Vec<f64> = candidates
            .iter()
            .map(|candidate| cost_without_slowdown(candidate, &work))
            .collect();
        for (candidate, cost) in candidates.iter().zip(&costs) {
            assert_eq!(candidate.cost(&work).to_bits(), cost.to_bits());
        }
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let mut equal = (0..12).filter(|&index| costs[index] <= least + 0.3);
        let chosen = choose_upstream(&candidates, &work, 0.0);
        assert_eq!(chosen, equal.next());
        let chosen = choose_upstream(&candidates, &work, 1.0);
        assert_eq!(
            chosen,
            equal
                .next_back()
                .or(choose_upstream(&candidates, &work, 0.0))
        );
    }
}

#[test]
fn all_work_on_a_slow_upstream_takes_longer() {
    let usual = Candidate {
        load: 9.0,
        slots: 8.0,
        uncached_tokens: 471,
        connected: true,
        ..Candidate::default()
    };
    let slow = Candidate {
        slowdown: 2.0,
        ..usual
    };
    let expected = 2.0 * usual.cost(&TURN) + TURN.slot_milliseconds;
    assert!((slow.cost(&TURN) - expected).abs() < 1e-6);
    // A long queue on a fast engine is worse than an idle slow one; a short one is better.
    let idle = Candidate { load: 0.0, ..slow };
    let longer = Candidate {
        load: 20.0,
        ..usual
    };
    assert_eq!(choose_upstream(&[usual, idle], &TURN, 0.0), Some(0));
    assert_eq!(choose_upstream(&[longer, idle], &TURN, 0.0), Some(1));
}

#[test]
fn outdated_contention_tends_to_the_mean() {
    let contended = ContentionView {
        excess: 1.5,
        freshness: 1.0,
    };
    let usual = ContentionView {
        excess: 0.0,
        freshness: 1.0,
    };
    let outdated = ContentionView {
        excess: 7.0,
        freshness: 0.0,
    };
    let mean = mean_excess(&[contended, usual, outdated]);
    for (view, expected) in [(contended, 2.5), (usual, 1.0), (outdated, 1.75)] {
        let factor = view.estimate(mean).factor;
        assert!((factor - expected).abs() < 1e-9, "{factor}");
    }
}
