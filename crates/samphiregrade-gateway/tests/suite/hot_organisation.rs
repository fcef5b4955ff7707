//! An organisation far beyond its limit costs the others nothing.
//!
//! Pattern: 85 organisations with one home; one of them sends eight times its usual, in programs of another size.

use std::collections::VecDeque;
use std::time::Duration;

use samphiregrade_gateway::access::BootTime;
use samphiregrade_gateway::limits::{
    EntrySource, LimitLedger, LimitRule, OrganisationAllowance, WindowLimit,
};

const WINDOW: Duration = Duration::from_secs(5);
const RULE: LimitRule = LimitRule {
    window: WINDOW,
    standalone_period: Duration::from_secs(30),
};
const STEP: Duration = Duration::from_millis(50);
const PLAYED: Duration = Duration::from_secs(40);
const ORGANISATIONS: usize = 85;
const ENTRIES: usize = 6;

/// Requests that an organisation may make in a window.
const LIMIT: u32 = 100;

/// Requests of a usual program; one of each organisation begins each second, so that half of the limit is used.
const PROGRAM_SIZE: usize = 10;

/// How much more often programs of the hot organisation begin.
const HOT_FACTOR: usize = 8;

/// Share of what is served without a hot organisation that has to be served beside one.
const LEAST_SHARE: f64 = 0.98;

const HOT: usize = 0;

#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    asked: usize,
    served: usize,
}

struct Deployment {
    now: Duration,
    ledger: LimitLedger,
    /// By entry and organisation.
    allowances: Vec<Vec<OrganisationAllowance>>,
    counts: Vec<ServedCount>,
    /// Organisations with the requests that are left of their programs.
    programs: VecDeque<(usize, usize)>,
}

impl Deployment {
    fn new() -> Self {
        let entry = || (0..ORGANISATIONS).map(|_| OrganisationAllowance::default());
        Self {
            now: Duration::from_secs(100),
            ledger: LimitLedger::new(RULE),
            allowances: (0..ENTRIES).map(|_| entry().collect()).collect(),
            counts: vec![ServedCount::default(); ORGANISATIONS],
            programs: VecDeque::new(),
        }
    }

    /// Plays one request; returns whether it was served.
    fn request(&mut self, organisation: usize, begins: bool) -> bool {
        self.counts[organisation].asked += 1;
        let entry = (self.counts[organisation].asked + organisation) % ENTRIES;
        let now = BootTime::since_start(self.now);
        let allowance = &mut self.allowances[entry][organisation];
        let mut passes = allowance.take(begins, now, WINDOW);
        if !passes {
            let source = EntrySource {
                instance: entry as u64 + 1,
                life: entry as u64 + 1000,
                rule: RULE,
                prefetch: true,
            };
            let limit = WindowLimit {
                version: 1,
                requests: LIMIT,
            };
            allowance.begin_waiting();
            let ask = allowance.compose_request(organisation as u64, &source, limit, begins, now);
            let grant = self.ledger.answer(&ask, self.now);
            allowance.accept(&grant, now, now);
            allowance.end_waiting();
            passes = allowance.take(begins, now, WINDOW);
        }
        self.counts[organisation].served += usize::from(passes);
        passes
    }

    fn begin(&mut self, organisation: usize, size: usize) {
        if self.request(organisation, true) {
            self.programs.push_back((organisation, size - 1));
        }
    }

    /// Plays one request of each program that goes on.
    fn go_on(&mut self) {
        for _ in 0..self.programs.len() {
            let Some((organisation, left)) = self.programs.pop_front() else {
                return;
            };
            if left > 0 && self.request(organisation, false) {
                self.programs.push_back((organisation, left - 1));
            }
        }
    }
}

/// Plays all organisations; returns what each was served.
fn play(hot_factor: usize, hot_size: usize) -> Vec<ServedCount> {
    let mut deployment = Deployment::new();
    let steps_per_second = 20;
    let steps = usize::try_from(PLAYED.as_millis() / STEP.as_millis()).expect("a small number");
    for step in 0..steps {
        for organisation in 0..ORGANISATIONS {
            if (step + organisation) % steps_per_second == 0 {
                deployment.begin(organisation, PROGRAM_SIZE);
            }
        }
        for extra in 1..hot_factor {
            if (step + extra * 2) % steps_per_second == 0 {
                deployment.begin(HOT, hot_size);
            }
        }
        deployment.go_on();
        deployment.now += STEP;
    }
    deployment.counts
}

fn share(count: ServedCount) -> f64 {
    // Counts are small.
    #[allow(clippy::cast_precision_loss)]
    let share = count.served as f64 / count.asked as f64;
    share
}

fn expect_others_served(hot_size: usize) {
    let usual = play(1, PROGRAM_SIZE);
    let beside = play(HOT_FACTOR, hot_size);
    assert!(share(beside[HOT]) < 0.9, "it is beyond its limit");
    for organisation in 0..ORGANISATIONS {
        if organisation == HOT {
            continue;
        }
        let (before, after) = (share(usual[organisation]), share(beside[organisation]));
        assert!(
            after >= before * LEAST_SHARE,
            "organisation {organisation} is served {after:.3} in place of {before:.3}"
        );
    }
}

#[test]
fn a_hot_organisation_costs_others_nothing() {
    expect_others_served(PROGRAM_SIZE);
}

#[test]
fn a_hot_organisation_with_long_programs_costs_others_nothing() {
    expect_others_served(12 * PROGRAM_SIZE);
}
