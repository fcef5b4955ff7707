//! Affinity of plain requests to upstreams that have recently handled the same object.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use samphiregrade_gateway::upstream::{
    AffinityGain, AffinityPlan, AffinityRole, AffinitySample, Candidate, LoadView, MAX_GAIN,
    PrefixShares, WorkEstimate, choose_upstream, estimate_loads, rank_for_object, surcharges,
};

/// Work of a request for an object and of another request of the same service, in milliseconds.
const OBJECT_WORK: f64 = 26.0;
const OTHER_WORK: f64 = 87.0;

const SLOTS: usize = 6;
const UPSTREAMS: usize = 24;
const ENTRIES: usize = 68;
const DOMAINS: usize = 4;
const OBJECTS: usize = 1000;

/// Seconds for which an upstream runs requests for an object faster.
const RECENT: f64 = 5.0;

const WORK: WorkEstimate = WorkEstimate {
    slot_milliseconds: OBJECT_WORK,
    prefill_rate: 100.0,
    on_engine: false,
};

/// What a simulated deployment does.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// Share of the work that an upstream saves if it has handled the object recently.
    saving: f64,
    /// Whether entries use affinity.
    uses_affinity: bool,
    /// Number of requests per second.
    rate: f64,
    /// Seconds.
    duration: f64,
}

const UNEVEN_DEPLOYMENT: Scenario = Scenario {
    saving: 0.5,
    uses_affinity: true,
    rate: 950.0,
    duration: 120.0,
};

impl Scenario {
    fn without_affinity(self) -> Self {
        Self {
            uses_affinity: false,
            ..self
        }
    }
}

/// Measurements of the second half of a simulation.
#[derive(Clone, Copy, Debug)]
struct Summary {
    /// Mean time of a request for an object, in milliseconds.
    mean: f64,
    /// Mean gain over the entries.
    gain: f64,
    /// Work of the busiest upstream as a multiple of the mean.
    busiest: f64,
}

#[derive(Clone, Copy, Debug)]
struct SimulatedRequest {
    entry: usize,
    object: Option<u64>,
    sent: f64,
    is_warm: Option<bool>,
    estimated_load: f64,
}

#[derive(Default)]
struct SimulatedUpstream {
    running: usize,
    waiting: VecDeque<SimulatedRequest>,
    handled: HashMap<u64, f64>,
    worked: f64,
    contended: bool,
}

#[derive(Default)]
struct SimulatedEntry {
    gain: AffinityGain,
    objects: PrefixShares,
    own: [f64; UPSTREAMS],
    /// Load of others at each upstream, and when it was reported.
    reports: [(f64, f64); UPSTREAMS],
}

struct Simulation {
    scenario: Scenario,
    random: StdRng,
    start: Instant,
    now: f64,
    upstreams: Vec<SimulatedUpstream>,
    entries: Vec<SimulatedEntry>,
    /// Ends of running requests, in microseconds, with the upstream.
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    running: Vec<SimulatedRequest>,
    times: Vec<f64>,
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
impl Simulation {
    fn run(scenario: Scenario, seed: u64) -> Summary {
        let mut simulation = Self {
            scenario,
            random: StdRng::seed_from_u64(seed),
            start: Instant::now(),
            now: 0.0,
            upstreams: (0..UPSTREAMS)
                .map(|_| SimulatedUpstream::default())
                .collect(),
            entries: (0..ENTRIES).map(|_| SimulatedEntry::default()).collect(),
            ends: BinaryHeap::new(),
            running: Vec::new(),
            times: Vec::new(),
        };
        let (mut next, mut next_change) = (0.0, 0.0);
        while next < scenario.duration {
            let end = simulation
                .ends
                .peek()
                .map(|Reverse(end)| end.0 as f64 / 1e6);
            if let Some(end) = end.filter(|&end| end < next.min(next_change)) {
                simulation.now = end;
                simulation.complete();
                continue;
            }
            if next_change < next {
                for upstream in &mut simulation.upstreams {
                    upstream.contended = simulation.random.random_bool(0.15);
                }
                next_change += 0.6;
                continue;
            }
            simulation.now = next;
            simulation.arrive();
            next += -(1.0 - simulation.random.random::<f64>()).ln() / scenario.rate;
        }
        simulation.summary()
    }

    fn summary(&self) -> Summary {
        let work: Vec<f64> = self
            .upstreams
            .iter()
            .map(|upstream| upstream.worked)
            .collect();
        let total: f64 = work.iter().sum();
        let gains = self.entries.iter().map(|entry| entry.gain.share());
        Summary {
            mean: self.times.iter().sum::<f64>() / self.times.len() as f64,
            gain: gains.sum::<f64>() / ENTRIES as f64,
            busiest: work.iter().copied().fold(0.0, f64::max) * UPSTREAMS as f64 / total,
        }
    }

    fn arrive(&mut self) {
        let entry = self.random.random_range(0..ENTRIES);
        let is_other = self.random.random_bool(400.0 / 950.0);
        // Zipf's law with exponent 1.
        let rank = (OBJECTS as f64).powf(self.random.random::<f64>());
        let object = (!is_other).then_some((rank as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let (index, role, plan, load) = self.choose(entry, object);
        self.entries[entry].own[index] += 1.0;
        let request = SimulatedRequest {
            entry,
            object,
            sent: self.now,
            is_warm: match role {
                AffinityRole::Home if plan.is_warm => Some(true),
                AffinityRole::Other => Some(false),
                _ => None,
            },
            estimated_load: load,
        };
        if self.upstreams[index].running < SLOTS {
            self.begin(index, request);
        } else {
            self.upstreams[index].waiting.push_back(request);
        }
    }

    fn choose(
        &mut self,
        entry: usize,
        object: Option<u64>,
    ) -> (usize, AffinityRole, AffinityPlan, f64) {
        let at = self.start + Duration::from_secs_f64(self.now);
        let known = &self.entries[entry];
        let views: Vec<LoadView> = (0..UPSTREAMS)
            .map(|index| LoadView {
                own: known.own[index],
                others: known.reports[index].0,
                freshness: 0.5_f64.powf((self.now - known.reports[index].1) / 0.25),
            })
            .collect();
        let loads = estimate_loads(&views, |_| 1.0);
        let mut candidates: Vec<Candidate> = (0..UPSTREAMS)
            .map(|index| Candidate {
                load: loads[index],
                slots: SLOTS as f64,
                in_other_domain: index % DOMAINS != entry % DOMAINS,
                connected: true,
                ..Candidate::default()
            })
            .collect();
        let mut plan = AffinityPlan::default();
        let mut roles = vec![AffinityRole::Other; UPSTREAMS];
        if let Some(object) = object.filter(|_| self.scenario.uses_affinity) {
            plan = known
                .gain
                .plan(object, self.now as u64, self.random.random());
            let tags: Vec<u64> = (1..=UPSTREAMS as u64).collect();
            let ranking = rank_for_object(object, known.objects.count(object, at), &tags);
            roles = (0..UPSTREAMS).map(|index| ranking.role(index)).collect();
            let costs: Vec<f64> = candidates.iter().map(|each| each.cost(&WORK)).collect();
            let added = surcharges(&roles, &costs, plan.gain * WORK.slot_milliseconds);
            for (candidate, added) in candidates.iter_mut().zip(added) {
                candidate.penalty = Duration::from_secs_f64(added / 1000.0);
            }
        }
        let index = choose_upstream(&candidates, &WORK, self.random.random()).expect("a choice");
        (index, roles[index], plan, loads[index])
    }

    fn begin(&mut self, index: usize, request: SimulatedRequest) {
        let upstream = &mut self.upstreams[index];
        upstream.running += 1;
        let mut work = OTHER_WORK;
        if let Some(object) = request.object {
            let handled = upstream.handled.insert(object, self.now);
            let is_recent = handled.is_some_and(|handled| self.now - handled < RECENT);
            work = OBJECT_WORK
                * if is_recent {
                    1.0 - self.scenario.saving
                } else {
                    1.0
                };
        }
        work *= self.random.random_range(0.5..1.5);
        upstream.worked += work;
        work *= if upstream.contended { 2.5 } else { 1.0 };
        work *= 1.0 + 0.35 * upstream.running as f64 / SLOTS as f64;
        let end = (self.now + work / 1000.0) * 1e6;
        self.running.push(request);
        self.ends
            .push(Reverse((end as u64, index, self.running.len() - 1)));
    }

    fn complete(&mut self) {
        let Reverse((_, index, number)) = self.ends.pop().expect("an end");
        let request = self.running[number];
        self.upstreams[index].running -= 1;
        if let Some(next) = self.upstreams[index].waiting.pop_front() {
            self.begin(index, next);
        }
        let upstream = &self.upstreams[index];
        let load = (upstream.running + upstream.waiting.len()) as f64;
        let entry = &mut self.entries[request.entry];
        entry.own[index] -= 1.0;
        entry.reports[index] = (load - entry.own[index], self.now);
        let total = self.now - request.sent;
        if request.object.is_none() {
            return;
        }
        if self.now > self.scenario.duration / 2.0 {
            self.times.push(total * 1000.0);
        }
        let Some(is_warm) = request.is_warm else {
            return;
        };
        let sample = AffinitySample {
            route: "read".into(),
            is_warm,
            load: load.max(request.estimated_load) / SLOTS as f64,
            slowdown: 1.0,
            total: Duration::from_secs_f64(total),
        };
        let at = self.start + Duration::from_secs_f64(self.now);
        entry.gain.note(&sample, at);
    }
}

#[test]
fn objects_run_faster_once_the_gain_is_measured() {
    for seed in [1, 2] {
        let with = Simulation::run(UNEVEN_DEPLOYMENT, seed);
        let without = Simulation::run(UNEVEN_DEPLOYMENT.without_affinity(), seed);
        assert!(with.mean < without.mean * 0.9, "{with:?} {without:?}");
        assert!((0.2..MAX_GAIN).contains(&with.gain), "{with:?}");
        assert!(with.busiest < 1.2, "{with:?}");
    }
}

// Guards against trials, or a gain that was measured by chance, that delay requests where upstreams save no time.
#[test]
fn nothing_is_preferred_if_upstreams_save_no_time() {
    let scenario = Scenario {
        saving: 0.0,
        ..UNEVEN_DEPLOYMENT
    };
    for seed in [1, 2] {
        let with = Simulation::run(scenario, seed);
        let without = Simulation::run(scenario.without_affinity(), seed);
        assert!(with.mean < without.mean * 1.03, "{with:?} {without:?}");
        assert!(with.gain < 0.03, "{with:?}");
    }
}

fn sample(is_warm: bool, load: f64, milliseconds: f64) -> AffinitySample {
    AffinitySample {
        route: "read".into(),
        is_warm,
        load,
        slowdown: 1.0,
        total: Duration::from_secs_f64(milliseconds / 1000.0),
    }
}

fn gain_of(samples: &[AffinitySample]) -> f64 {
    let now = Instant::now();
    let mut gain = AffinityGain::default();
    for sample in samples.iter().cycle().take(200) {
        gain.note(sample, now);
    }
    gain.share()
}

#[test]
fn gain_is_the_difference_of_comparable_requests() {
    let faster = [sample(true, 0.1, 18.0), sample(false, 0.1, 24.0)];
    assert!((gain_of(&faster) - 0.25).abs() < 0.01);
    let much_faster = [sample(true, 0.1, 5.0), sample(false, 0.1, 24.0)];
    assert!((gain_of(&much_faster) - MAX_GAIN).abs() < 0.01);
    let slower = [sample(true, 0.1, 30.0), sample(false, 0.1, 24.0)];
    assert!(gain_of(&slower).abs() < 0.01);
    // Too few samples of one kind.
    let now = Instant::now();
    let mut gain = AffinityGain::default();
    for number in 0..200 {
        gain.note(
            &sample(number < 5, 0.1, if number < 5 { 10.0 } else { 24.0 }),
            now,
        );
    }
    assert!(gain.share().abs() < 0.01);
}

// Guards against load that counts as affinity: requests run elsewhere mostly because the homes are loaded.
#[test]
fn differences_of_load_speed_and_route_are_no_gain() {
    let loads = [
        sample(true, 0.1, 20.0),
        sample(true, 0.1, 20.0),
        sample(true, 0.1, 20.0),
        sample(false, 0.1, 20.0),
        sample(true, 0.9, 40.0),
        sample(false, 0.9, 40.0),
        sample(false, 0.9, 40.0),
        sample(false, 0.9, 40.0),
        sample(false, 1.2, 400.0),
    ];
    assert!(gain_of(&loads).abs() < 0.01);
    let slow = AffinitySample {
        slowdown: 2.0,
        ..sample(false, 0.1, 40.0)
    };
    assert!(gain_of(&[slow, sample(true, 0.1, 20.0)]).abs() < 0.01);
    let heavy = AffinitySample {
        route: "heavy".into(),
        ..sample(false, 0.1, 80.0)
    };
    assert!(gain_of(&[heavy, sample(true, 0.1, 20.0)]).abs() < 0.01);
}

#[test]
fn any_samples_leave_a_bounded_gain() {
    fn bounded(samples: Vec<(bool, f64, u32, f64)>) -> bool {
        let now = Instant::now();
        let mut gain = AffinityGain::default();
        for (is_warm, load, total, slowdown) in samples {
            let sample = AffinitySample {
                slowdown,
                ..sample(is_warm, load, f64::from(total))
            };
            gain.note(&sample, now);
            if !(0.0..=MAX_GAIN).contains(&gain.share()) {
                return false;
            }
        }
        true
    }
    quickcheck(bounded as fn(Vec<(bool, f64, u32, f64)>) -> bool);
}

// Guards against a gain outside its bounds where there are enough samples for one.
#[test]
fn many_samples_leave_a_bounded_gain() {
    fn bounded(samples: Vec<(bool, u8, u8, u8)>) -> bool {
        let now = Instant::now();
        let mut gain = AffinityGain::default();
        for (is_warm, load, total, slowdown) in samples.into_iter().cycle().take(200) {
            let sample = AffinitySample {
                slowdown: 0.25 + f64::from(slowdown) / 32.0,
                ..sample(is_warm, f64::from(load) / 256.0, f64::from(total) + 1.0)
            };
            gain.note(&sample, now);
            if !(0.0..=MAX_GAIN).contains(&gain.share()) {
                return false;
            }
        }
        true
    }
    quickcheck(bounded as fn(Vec<(bool, u8, u8, u8)>) -> bool);
}

#[test]
fn without_a_gain_an_eighth_of_the_objects_are_tried_and_each_at_times() {
    let gain = AffinityGain::default();
    let tried = |object, time| gain.plan(object, time, 0.5).gain > 0.0;
    let share = (0..8000).filter(|&object| tried(object, 100)).count();
    assert!((900..1100).contains(&share), "{share}");
    let hour = || (0..3600).step_by(20);
    assert!((0..100).all(|object| hour().any(|time| tried(object, time))));
    assert!((0..100).all(|object| hour().any(|time| !tried(object, time))));
}

#[test]
fn entries_agree_on_homes_and_a_removed_upstream_moves_only_its_objects() {
    let upstreams: Vec<u64> = (1..=24).collect();
    for object in 0..500 {
        let ranking = rank_for_object(object, 0.01, &upstreams);
        assert_eq!(ranking.count, 1);
        let home = upstreams[ranking.order[0]];
        let fewer = rank_for_object(object, 0.01, &upstreams[1..]);
        let next = upstreams[1..][fewer.order[0]];
        let spare = upstreams[ranking.order[1]];
        assert_eq!(next, if home == upstreams[0] { spare } else { home });
    }
    assert_eq!(
        rank_for_object(7, 0.2, &upstreams).count,
        7,
        "a popular object"
    );
    assert_eq!(rank_for_object(7, 1.0, &[]).count, 0);
    let ranking = rank_for_object(7, 0.01, &upstreams);
    let roles = [0, 1, 2].map(|position| ranking.role(ranking.order[position]));
    assert_eq!(
        roles,
        [AffinityRole::Home, AffinityRole::Spare, AffinityRole::Other]
    );
}

#[test]
fn spare_is_preferred_only_if_the_home_is_loaded() {
    let roles = [AffinityRole::Other, AffinityRole::Home, AffinityRole::Spare];
    let added = |home_cost| surcharges(&roles, &[1.0, home_cost, 1.0], 8.0);
    assert_eq!(added(5.0), [8.0, 0.0, 8.0]);
    assert_eq!(added(9.0), [8.0, 0.0, 0.0]);
    // The home is not a candidate: it was tried already, or its circuit breaker is open.
    assert_eq!(surcharges(&roles[2..], &[1.0], 8.0), [0.0]);
    assert_eq!(surcharges(&roles, &[1.0, 2.0, 3.0], 0.0), [0.0; 3]);
}
