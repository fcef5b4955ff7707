//! Accounts that keepers keep of upstreams, and a burst on a large fleet that is placed by these accounts.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::StdRng;
use samphiregrade_gateway::fact::{KeeperPlacement, KeeperSlot};
use samphiregrade_gateway::model::PromptPart;
use samphiregrade_gateway::upstream::{
    AccountQuery, Candidate, RunEnd, RunStart, RunTable, SharedPrefix, UpstreamAccount,
    WorkEstimate, choose_upstream, rank_homes,
};

const CAPACITY: u64 = 192_000;

fn part(tag: u64, tokens: u32) -> PromptPart {
    PromptPart { tag, tokens }
}

fn start(upstream: u64, run: u64, prompt: &[PromptPart]) -> RunStart {
    RunStart {
        upstream,
        run,
        service: "engines".into(),
        prompt: prompt.to_vec(),
        capacity: CAPACITY,
        lasts: Duration::from_secs(2),
        claim: None,
    }
}

fn query(upstreams: &[u64], prompt: &[PromptPart]) -> AccountQuery {
    AccountQuery {
        service: "engines".into(),
        upstreams: upstreams.to_vec(),
        prompt: prompt.to_vec(),
        organisation: None,
    }
}

fn end(upstream: u64, run: u64) -> RunEnd {
    RunEnd {
        upstream,
        run,
        work: Duration::ZERO,
    }
}

#[test]
fn run_starts_and_ends_are_counted() {
    let now = Instant::now();
    let mut table = RunTable::new(now);
    let prompt = [part(1, 12_000), part(2, 800)];
    table.begin(start(7, 1, &prompt), now);
    table.begin(start(7, 2, &prompt), now);
    let accounts = table.answer(&query(&[7], &prompt), now, |_| 1.0);
    assert_eq!((accounts[0].running, accounts[0].uncached), (2, 0));
    table.end(end(7, 1), now);
    let accounts = table.answer(&query(&[7], &[part(1, 12_000), part(3, 500)]), now, |_| 1.0);
    assert_eq!((accounts[0].running, accounts[0].uncached), (1, 500));
}

#[test]
fn run_without_a_reported_end_expires_with_its_deadline() {
    let now = Instant::now();
    let mut table = RunTable::new(now);
    table.begin(start(7, 1, &[]), now);
    let later = now + Duration::from_millis(2001);
    assert_eq!(
        table.answer(&query(&[7], &[]), later, |_| 1.0)[0].running,
        0
    );
}

#[test]
fn duplicate_or_unknown_run_ends_change_nothing() {
    let now = Instant::now();
    let mut table = RunTable::new(now);
    table.begin(start(7, 1, &[]), now);
    for (upstream, run) in [(7, 9), (8, 1)] {
        table.end(end(upstream, run), now);
    }
    assert_eq!(table.answer(&query(&[7], &[]), now, |_| 1.0)[0].running, 1);
    for _ in 0..2 {
        table.end(end(7, 1), now);
    }
    assert_eq!(table.answer(&query(&[7], &[]), now, |_| 1.0)[0].running, 0);
}

#[test]
fn unknown_upstream_has_an_empty_cache_and_the_account_states_the_observation_time() {
    let now = Instant::now();
    let mut table = RunTable::new(now);
    let later = now + Duration::from_secs(4);
    let accounts = table.answer(&query(&[7], &[part(1, 900)]), later, |_| 1.0);
    assert_eq!((accounts[0].running, accounts[0].uncached), (0, 900));
    assert_eq!(accounts[0].informed, Duration::from_secs(4));
}

#[test]
fn reply_includes_other_upstreams_with_free_capacity() {
    let now = Instant::now();
    let mut table = RunTable::new(now);
    for upstream in 0..20 {
        for run in 0..=upstream {
            table.begin(start(upstream, run, &[]), now);
        }
    }
    let other_service = RunStart {
        service: "others".into(),
        ..start(99, 1, &[])
    };
    table.begin(other_service, now);
    let accounts = table.answer(&query(&[19], &[]), now, |_| 1.0);
    let tags: Vec<u64> = accounts.iter().map(|account| account.upstream).collect();
    assert_eq!(tags, [19, 0, 1, 2]);
    let later = now + Duration::from_secs(30);
    let accounts = table.answer(&query(&[19], &[]), later, |_| 1.0);
    assert_eq!(
        accounts.len(),
        1,
        "an upstream without recent requests may have left"
    );
}

// Guards against idle slow upstreams in replies while fast ones have room, and against full fast ones otherwise.
#[test]
fn reply_includes_slow_upstreams_only_if_the_others_are_full() {
    let now = Instant::now();
    let slowdown = |tag| if tag < 4 { 2.2 } else { 1.0 };
    for (runs, expected) in [(7, [4, 5, 6]), (20, [0, 1, 2])] {
        let mut table = RunTable::new(now);
        for upstream in 0..8 {
            let runs = if upstream < 4 { 1 } else { runs };
            for run in 0..runs {
                table.begin(start(upstream, run, &[]), now);
            }
        }
        let accounts = table.answer(&query(&[], &[]), now, slowdown);
        let tags: Vec<u64> = accounts.iter().map(|account| account.upstream).collect();
        assert_eq!(tags, expected);
    }
}

#[test]
fn keeper_account_replaces_an_older_view() {
    let account = UpstreamAccount {
        upstream: 1,
        running: 5,
        uncached: 700,
        uncached_first: 0,
        informed: Duration::from_mins(1),
    };
    let view = Candidate {
        load: 0.2,
        slots: 6.0,
        uncached_tokens: 0,
        ..Candidate::default()
    };
    let mut informed = view;
    informed.apply_account(&account, 0, false);
    assert_eq!((informed.load, informed.uncached_tokens), (5.0, 700));
    informed.apply_account(&account, 8, false);
    assert!((informed.load - 8.0).abs() < f64::EPSILON, "own requests");
    // A keeper that has just started doesn't know of runs that started before.
    let fresh = UpstreamAccount {
        running: 0,
        uncached: 700,
        informed: Duration::from_millis(500),
        ..account
    };
    let mut old = Candidate { load: 4.0, ..view };
    old.apply_account(&fresh, 0, false);
    assert_eq!((old.load, old.uncached_tokens), (4.0, 0));
}

fn placement(domains: usize, keepers: usize) -> KeeperPlacement {
    let slots = (0..keepers).map(|index| KeeperSlot {
        name: format!("keeper-{index:02}").into(),
        address: ([127, 0, 0, 1], 9000).into(),
        domain: format!("domain-{}", index % domains).into(),
    });
    KeeperPlacement::first(slots.collect(), 2)
}

#[test]
fn two_keepers_in_different_domains_account_for_each_upstream() {
    let keepers = placement(5, 24);
    let mut work = [0; 24];
    for upstream in 0..4800_u64 {
        let slots = keepers.account_slots(upstream.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        assert_eq!(slots.len(), 2);
        let domains: Vec<_> = slots
            .iter()
            .map(|&slot| &keepers.slots[slot].domain)
            .collect();
        assert_ne!(domains[0], domains[1]);
        for slot in slots {
            work[slot] += 1;
        }
    }
    assert!(work.iter().all(|&count| (300..500).contains(&count)));
    assert_eq!(placement(1, 1).account_slots(3), [0]);
    assert!(KeeperPlacement::default().account_slots(3).is_empty());
}

/// Reproducible pseudo-random numbers.
struct PseudoRandom(u64);

impl PseudoRandom {
    fn next(&mut self) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        self.0 >> 33
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.next() % bound
    }

    #[allow(clippy::cast_precision_loss)]
    fn share(&mut self) -> f64 {
        self.next() as f64 / (1_u64 << 31) as f64
    }
}

/// An event in the simulated burst.
#[derive(Clone, Debug)]
enum BurstEvent {
    Placed {
        engine: u64,
        prompt: Vec<PromptPart>,
    },
    StartReported(RunStart),
    Ended(RunEnd),
    EndReported(RunEnd),
}

/// Simulated engines of a large fleet that run turns, and the keepers that keep their accounts.
struct SimulatedFleet {
    engines: Vec<u64>,
    placement: KeeperPlacement,
    tables: Vec<RunTable>,
    /// Actual number of running requests for each engine.
    running: BTreeMap<u64, u32>,
    placed: BTreeMap<u64, u32>,
    most_running: u32,
    random: StdRng,
}

const ENGINES: u64 = 49;
const SLOTS: u32 = 6;
const FIRST_PARTS: u64 = 16;
/// Time from an entry to a keeper in another failure domain, and time for storing a turn's reservation.
const REPORT_DELAY: Duration = Duration::from_millis(2);
const RESERVATION_DELAY: Duration = Duration::from_millis(4);
/// Time for which the keepers have received run starts.
const OBSERVATION_TIME: Duration = Duration::from_mins(1);
const SLOT_TIME: Duration = Duration::from_millis(160);

impl SimulatedFleet {
    /// Returns a fleet whose keepers receive run starts from `since` on.
    fn new(since: Instant) -> Self {
        let engines: Vec<u64> = (0..ENGINES)
            .map(|index| (index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .collect();
        Self {
            running: engines.iter().map(|&engine| (engine, 0)).collect(),
            placed: engines.iter().map(|&engine| (engine, 0)).collect(),
            engines,
            placement: placement(5, 24),
            tables: (0..24).map(|_| RunTable::new(since)).collect(),
            most_running: 0,
            random: StdRng::seed_from_u64(7),
        }
    }

    /// Queries the keepers as an entry does, and selects an engine.
    fn choose(&mut self, prompt: &[PromptPart], now: Instant, draw: f64) -> u64 {
        let part = SharedPrefix {
            tag: prompt[0].tag,
            tokens: prompt[0].tokens,
            share: 1.0 / 16.0,
            capacity: CAPACITY,
        };
        let homes = rank_homes(&part, &self.engines);
        let home_indices = homes.homes().to_vec();
        let mut accounts: Vec<UpstreamAccount> = Vec::new();
        for index in homes.sample(5, 2, &mut self.random) {
            let engine = self.engines[index];
            let slot = self.placement.account_slots(engine)[0];
            accounts.extend(self.tables[slot].answer(&query(&[engine], prompt), now, |_| 1.0));
        }
        let candidates: Vec<Candidate> = accounts
            .iter()
            .map(|account| {
                let mut candidate = Candidate {
                    slots: f64::from(SLOTS),
                    ..Candidate::default()
                };
                let index = self
                    .engines
                    .iter()
                    .position(|&engine| engine == account.upstream);
                let home = index.is_some_and(|index| home_indices.contains(&index));
                candidate.apply_account(account, 0, home);
                candidate
            })
            .collect();
        let work = WorkEstimate {
            slot_milliseconds: 160.0,
            prefill_rate: 247.0,
            on_engine: true,
        };
        accounts[choose_upstream(&candidates, &work, draw).expect("a candidate")].upstream
    }

    fn apply(&mut self, event: BurstEvent, now: Instant) -> Vec<(Instant, BurstEvent)> {
        match event {
            BurstEvent::Placed { engine, prompt } => {
                let running = self.running.get_mut(&engine).expect("an engine");
                *running += 1;
                self.most_running = self.most_running.max(*running);
                *self.placed.get_mut(&engine).expect("an engine") += 1;
                let run = u64::from(self.placed.values().sum::<u32>());
                let end = end(engine, run);
                let report = start(engine, run, &prompt);
                vec![
                    (now + REPORT_DELAY, BurstEvent::StartReported(report)),
                    (now + SLOT_TIME, BurstEvent::Ended(end)),
                ]
            }
            BurstEvent::StartReported(report) => {
                for slot in self.placement.account_slots(report.upstream) {
                    self.tables[slot].begin(report.clone(), now);
                }
                Vec::new()
            }
            BurstEvent::Ended(end) => {
                *self.running.get_mut(&end.upstream).expect("an engine") -= 1;
                vec![(now + REPORT_DELAY, BurstEvent::EndReported(end))]
            }
            BurstEvent::EndReported(end) => {
                for slot in self.placement.account_slots(end.upstream) {
                    self.tables[slot].end(end, now);
                }
                Vec::new()
            }
        }
    }
}

#[test]
fn doubled_burst_from_many_entries_spreads_over_all_engines() {
    // 171 entries place 1,150 turns a second on 49 engines, twice the usual rate. Each entry sends seven of them, so by
    // its own responses it receives an engine's load once in seven seconds. Placed by these loads, the busiest engine
    // had 1.5 times the mean and one turn in ten was put back (docs/design/accounts.md).
    let since = Instant::now();
    let mut fleet = SimulatedFleet::new(since);
    let mut now = since + OBSERVATION_TIME;
    let mut draws = PseudoRandom(7);
    let mut events: BTreeMap<(Instant, u64), BurstEvent> = BTreeMap::new();
    let mut number = 0;
    let mut add = |events: &mut BTreeMap<(Instant, u64), BurstEvent>, at, event| {
        number += 1;
        events.insert((at, number), event);
    };
    for turn in 0..6000_u64 {
        now += Duration::from_micros(1_000_000 / 1150);
        while let Some(entry) = events.first_entry() {
            let (at, _) = *entry.key();
            if at > now {
                break;
            }
            let event = entry.remove();
            for (later, event) in fleet.apply(event, at) {
                add(&mut events, later, event);
            }
        }
        let prompt = vec![
            part(1 + draws.below(FIRST_PARTS), 12_600),
            part(1000 + turn, 1_200),
        ];
        let engine = fleet.choose(&prompt, now, draws.share());
        add(
            &mut events,
            now + RESERVATION_DELAY,
            BurstEvent::Placed { engine, prompt },
        );
    }
    let mean = 6000.0 / f64::from(u32::try_from(ENGINES).unwrap_or(u32::MAX));
    let busiest = f64::from(*fleet.placed.values().max().expect("engines"));
    assert!(busiest < 1.2 * mean, "busiest {busiest}, mean {mean}");
    let capacity = SLOTS + 18;
    assert!(
        fleet.most_running < capacity / 2,
        "{} on one engine",
        fleet.most_running
    );
}
