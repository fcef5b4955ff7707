//! An organisation far over its limit must not reduce the share of requests served to other organisations.
//!
//! Scenario: 85 organisations have the same home. One of them starts programs eight times as often as usual, in one
//! test with larger programs.

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
const DURATION: Duration = Duration::from_secs(40);
const ORGANISATIONS: usize = 85;
const ENTRIES: usize = 6;

/// Requests that an organisation may make in a window.
const LIMIT: u32 = 100;

/// Requests of a usual program. Each organisation starts one program per second, which uses half of its limit.
const PROGRAM_SIZE: usize = 10;

/// Factor by which the hot organisation starts programs more often.
const HOT_FACTOR: usize = 8;

/// Minimum ratio of an organisation's served share with a hot organisation to its served share without one.
const MIN_SHARE: f64 = 0.98;

const HOT: usize = 0;

#[derive(Clone, Copy, Debug, Default)]
struct ServedCount {
    requests: usize,
    served: usize,
}

struct Deployment {
    now: Duration,
    ledger: LimitLedger,
    /// Allowances by entry and organisation.
    allowances: Vec<Vec<OrganisationAllowance>>,
    counts: Vec<ServedCount>,
    /// Running programs: the organisation, and the number of remaining requests.
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

    /// Simulates one request; returns whether it was served.
    fn request(&mut self, organisation: usize, starts_program: bool) -> bool {
        self.counts[organisation].requests += 1;
        let entry = (self.counts[organisation].requests + organisation) % ENTRIES;
        let now = BootTime::since_start(self.now);
        let allowance = &mut self.allowances[entry][organisation];
        let mut admitted = allowance.take(starts_program, now, WINDOW);
        if !admitted {
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
            let request =
                allowance.compose_request(organisation as u64, &source, limit, starts_program, now);
            let grant = self.ledger.answer(&request, self.now);
            allowance.accept(&grant, now, now);
            allowance.end_waiting();
            admitted = allowance.take(starts_program, now, WINDOW);
        }
        self.counts[organisation].served += usize::from(admitted);
        admitted
    }

    fn begin_program(&mut self, organisation: usize, size: usize) {
        if self.request(organisation, true) {
            self.programs.push_back((organisation, size - 1));
        }
    }

    /// Simulates the next request of each running program.
    fn continue_programs(&mut self) {
        for _ in 0..self.programs.len() {
            let Some((organisation, remaining)) = self.programs.pop_front() else {
                return;
            };
            if remaining > 0 && self.request(organisation, false) {
                self.programs.push_back((organisation, remaining - 1));
            }
        }
    }
}

/// Simulates all organisations; returns the served requests of each.
fn simulate(hot_factor: usize, hot_size: usize) -> Vec<ServedCount> {
    let mut deployment = Deployment::new();
    let steps_per_second = 20;
    let steps = usize::try_from(DURATION.as_millis() / STEP.as_millis()).expect("a small number");
    for step in 0..steps {
        for organisation in 0..ORGANISATIONS {
            if (step + organisation) % steps_per_second == 0 {
                deployment.begin_program(organisation, PROGRAM_SIZE);
            }
        }
        for extra in 1..hot_factor {
            if (step + extra * 2) % steps_per_second == 0 {
                deployment.begin_program(HOT, hot_size);
            }
        }
        deployment.continue_programs();
        deployment.now += STEP;
    }
    deployment.counts
}

fn share(count: ServedCount) -> f64 {
    // The counts are small enough to be exact in an `f64`.
    #[allow(clippy::cast_precision_loss)]
    let share = count.served as f64 / count.requests as f64;
    share
}

fn assert_others_unaffected(hot_size: usize) {
    let baseline = simulate(1, PROGRAM_SIZE);
    let contended = simulate(HOT_FACTOR, hot_size);
    assert!(
        share(contended[HOT]) < 0.9,
        "the hot organisation should be over its limit"
    );
    for organisation in 0..ORGANISATIONS {
        if organisation == HOT {
            continue;
        }
        let (before, after) = (
            share(baseline[organisation]),
            share(contended[organisation]),
        );
        assert!(
            after >= before * MIN_SHARE,
            "organisation {organisation}: served share {after:.3} instead of {before:.3}"
        );
    }
}

#[test]
fn hot_organisation_does_not_affect_others() {
    assert_others_unaffected(PROGRAM_SIZE);
}

#[test]
fn hot_organisation_with_long_programs_does_not_affect_others() {
    assert_others_unaffected(12 * PROGRAM_SIZE);
}
