//! Fair shares of organisations, and a burst in which three of 85 organisations send seven times their usual requests.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use samphiregrade_gateway::fact::{KeeperPlacement, KeeperSlot};
use samphiregrade_gateway::upstream::{
    AccountQuery, OrganisationShare, ProgramProgress, RunEnd, RunStart, RunTable, ShareBoard,
    SlotUse, TurnPace, UrgencyClass, WorkClaim, WorkTable, max_min_share, turn_rank,
};

const ENGINES: u64 = 48;
const SLOTS: u32 = 16;
/// Requests that wait at an engine before it puts further ones back.
const QUEUE_LIMIT: usize = 24;
const KEEPERS: usize = 11;
/// Engines whose accounts a turn queries.
const SURVEYED: usize = 7;
const ORGANISATIONS: u32 = 85;
/// Programs that start in a second at the usual rate: short ones of three turns, long ones of nine.
const SHORT_RATE: f64 = 71.0;
const LONG_RATE: f64 = 51.0;
const LONG_TURNS: u32 = 9;
/// Number of organisations, the largest ones, that send more than usual.
const HOT: u64 = 3;
const BURST: std::ops::Range<Duration> = Duration::from_secs(6)..Duration::from_secs(12);
const RETRY_TIME: Duration = Duration::from_millis(100);
/// Network latency of a turn, and the pause for tool calls after it.
const TURN_OVERHEAD: Duration = Duration::from_millis(160);
const TOKENS: u32 = 270;
/// Time of a turn on an idle engine, and what each further request in the batch adds, as a part of it.
const TURN_TIME: Duration = Duration::from_millis(243);
const BATCH_SLOWDOWN: f64 = 0.046;
const PACE: TurnPace = TurnPace {
    turn: Duration::from_millis(320),
    time_to_head: Duration::from_millis(20),
    token: Duration::from_micros(1150),
};

#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// Multiple of their usual rate at which the three largest organisations start programs in the burst.
    hot_factor: f64,
    rule: bool,
    restarts: bool,
}

struct Program {
    organisation: u64,
    tag: u8,
    arrived: Duration,
    allowed: Duration,
    completed: u32,
    turns: u32,
}

impl Program {
    /// Returns whether the program is one of the other organisations in the burst.
    fn is_counted(&self) -> bool {
        self.organisation >= HOT && in_burst(self.arrived)
    }
}

#[derive(Default)]
struct Engine {
    keepers: Vec<usize>,
    running: u32,
    waiting: BTreeMap<(u8, u64), (usize, RunEnd)>,
}

enum FleetEvent {
    Turn(usize),
    End(usize, RunEnd),
}

struct Fleet {
    trial: Trial,
    since: Instant,
    now: Duration,
    random: StdRng,
    engines: BTreeMap<u64, Engine>,
    tables: Vec<RunTable>,
    programs: Vec<Program>,
    events: BTreeMap<(Duration, u64), FleetEvent>,
    number: u64,
    /// Programs of the other organisations that started in the burst, and those that ended in time.
    started: u32,
    in_time: u32,
}

fn claim(organisation: u64, work: Duration) -> WorkClaim {
    WorkClaim {
        organisation,
        work,
        slots: SLOTS,
    }
}

fn start(end: RunEnd, lasts: Duration, claim: Option<WorkClaim>) -> RunStart {
    RunStart {
        upstream: end.upstream,
        run: end.run,
        service: "engines".into(),
        prompt: Vec::new(),
        capacity: 347_940,
        lasts,
        claim,
    }
}

fn query(upstreams: Vec<u64>, organisation: Option<u64>) -> AccountQuery {
    AccountQuery {
        service: "engines".into(),
        upstreams,
        prompt: Vec::new(),
        organisation,
    }
}

fn in_burst(time: Duration) -> bool {
    BURST.contains(&time)
}

impl Fleet {
    fn new(trial: Trial) -> Self {
        let since = Instant::now();
        let slots = (0..KEEPERS).map(|index| KeeperSlot {
            name: format!("keeper-{index:02}").into(),
            address: ([127, 0, 0, 1], 9000).into(),
            domain: format!("domain-{}", index % 3).into(),
        });
        let placement = KeeperPlacement::first(slots.collect(), 2);
        let engine = |index: u64| {
            let tag = (index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let keepers = placement.account_slots(tag);
            let engine = Engine {
                keepers,
                ..Engine::default()
            };
            (tag, engine)
        };
        Self {
            trial,
            since,
            now: Duration::ZERO,
            random: StdRng::seed_from_u64(11),
            engines: (0..ENGINES).map(engine).collect(),
            tables: (0..KEEPERS).map(|_| RunTable::new(since)).collect(),
            programs: Vec::new(),
            events: BTreeMap::new(),
            number: 0,
            started: 0,
            in_time: 0,
        }
    }

    fn add(&mut self, at: Duration, event: FleetEvent) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    /// Adds the programs that start within a millisecond.
    fn start_programs(&mut self, rates: &[f64]) {
        for (organisation, rate) in (0..).zip(rates) {
            for (turns, per_second, factor) in [(3, SHORT_RATE, 1.7), (LONG_TURNS, LONG_RATE, 1.8)]
            {
                let burst_factor = match (organisation < HOT, turns) {
                    _ if !in_burst(self.now) => 1.0,
                    (true, _) => self.trial.hot_factor,
                    (false, LONG_TURNS) => 2.0,
                    (false, _) => 1.0,
                };
                if !self
                    .random
                    .random_bool(rate * per_second * burst_factor / 1000.0)
                {
                    continue;
                }
                let program = Program {
                    organisation,
                    tag: self.random.random(),
                    arrived: self.now,
                    allowed: ((TURN_TIME + TURN_OVERHEAD) * turns).mul_f64(factor),
                    completed: 0,
                    turns,
                };
                self.started += u32::from(program.is_counted());
                self.programs.push(program);
                self.add(self.now, FleetEvent::Turn(self.programs.len() - 1));
            }
        }
    }

    /// Queries the keepers of seven engines; returns the least loaded engine and the organisation's share.
    fn survey(&mut self, organisation: u64) -> (u64, Option<OrganisationShare>) {
        let mut asked: BTreeMap<usize, Vec<u64>> = BTreeMap::new();
        let engines = self.engines.iter();
        for (&tag, engine) in engines.choose_multiple(&mut self.random, SURVEYED) {
            let keeper = engine.keepers[self.random.random_range(0..engine.keepers.len())];
            asked.entry(keeper).or_default().push(tag);
        }
        let (mut accounts, mut shares) = (Vec::new(), Vec::new());
        for (slot, upstreams) in asked {
            let query = query(upstreams, Some(organisation));
            let now = self.since + self.now;
            accounts.extend(self.tables[slot].answer(&query, now, |_| 1.0));
            shares.extend(self.tables[slot].share(&query, now));
        }
        let least = accounts.iter().min_by_key(|account| account.running);
        let engine = least.expect("an account").upstream;
        (engine, OrganisationShare::average(&shares))
    }

    fn report(&mut self, upstream: u64, report: impl Fn(&mut RunTable, Instant)) {
        for &keeper in &self.engines[&upstream].keepers {
            report(&mut self.tables[keeper], self.since + self.now);
        }
    }

    fn send_turn(&mut self, index: usize) {
        let (engine, share) = self.survey(self.programs[index].organisation);
        let program = &self.programs[index];
        let time_left = (program.arrived + program.allowed).saturating_sub(self.now);
        if time_left.is_zero() {
            return;
        }
        let progress = ProgramProgress {
            tag: program.tag,
            completed_turns: program.completed,
            generated_tokens: u64::from(program.completed * TOKENS),
            initial_time_left: Some(program.allowed),
            time_left: Some(time_left),
            over_share: self.trial.rule && share.is_some_and(|share| share.is_over()),
        };
        let rank = turn_rank(UrgencyClass::default(), &progress, &PACE);
        let end = RunEnd {
            upstream: engine,
            run: self.number,
            work: Duration::ZERO,
        };
        let claimed = claim(program.organisation, PACE.turn);
        let start = start(end, time_left, Some(claimed));
        self.report(engine, |table, now| table.begin(start.clone(), now));
        self.number += 1;
        let key = (rank, self.number);
        let chosen = self.engines.get_mut(&engine).expect("an engine");
        if chosen.waiting.len() >= QUEUE_LIMIT {
            self.report(engine, |table, now| table.end(end, now));
            return self.add(self.now + RETRY_TIME, FleetEvent::Turn(index));
        }
        chosen.waiting.insert(key, (index, end));
        self.fill(engine);
    }

    /// Starts waiting requests in the free slots of an engine.
    fn fill(&mut self, engine: u64) {
        loop {
            let chosen = self.engines.get_mut(&engine).expect("an engine");
            if chosen.running >= SLOTS {
                return;
            }
            let Some((_, (index, end))) = chosen.waiting.pop_first() else {
                return;
            };
            let program = &self.programs[index];
            if self.now >= program.arrived + program.allowed {
                self.report(engine, |table, now| table.end(end, now));
                continue;
            }
            let batch = 1.0 + BATCH_SLOWDOWN * f64::from(chosen.running);
            chosen.running += 1;
            let end = RunEnd {
                work: TURN_TIME.mul_f64(batch),
                ..end
            };
            self.add(self.now + end.work, FleetEvent::End(index, end));
        }
    }

    fn end_turn(&mut self, index: usize, end: RunEnd) {
        let engine = self.engines.get_mut(&end.upstream).expect("an engine");
        engine.running -= 1;
        self.report(end.upstream, |table, now| table.end(end, now));
        self.fill(end.upstream);
        let program = &mut self.programs[index];
        program.completed += 1;
        if program.completed < program.turns {
            return self.add(self.now + TURN_OVERHEAD, FleetEvent::Turn(index));
        }
        let is_in_time = self.now + TURN_OVERHEAD <= program.arrived + program.allowed;
        self.in_time += u32::from(is_in_time && program.is_counted());
    }

    /// Runs the burst; returns the share of the other organisations' programs in it that ended in time.
    fn run(mut self) -> f64 {
        let weights = (1..=ORGANISATIONS).map(|place| f64::from(place).powf(-1.2));
        let weights: Vec<f64> = weights.collect();
        let total: f64 = weights.iter().sum();
        let rates: Vec<f64> = weights.iter().map(|weight| weight / total).collect();
        while self.now < BURST.end + Duration::from_secs(5) {
            self.start_programs(&rates);
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                match entry.remove() {
                    FleetEvent::Turn(index) => self.send_turn(index),
                    FleetEvent::End(index, end) => self.end_turn(index, end),
                }
            }
            if self.trial.restarts && self.now == BURST.start + Duration::from_secs(2) {
                for table in &mut self.tables[..4] {
                    *table = RunTable::new(self.since + self.now);
                }
            }
            self.now += Duration::from_millis(1);
        }
        f64::from(self.in_time) / f64::from(self.started)
    }
}

const WITHOUT_HOT: Trial = Trial {
    hot_factor: 1.0,
    rule: true,
    restarts: false,
};
const HOT_BURST: Trial = Trial {
    hot_factor: 7.0,
    ..WITHOUT_HOT
};

#[test]
fn shares_reduce_the_delay_of_other_organisations_also_if_keepers_restart() {
    let unranked = Fleet::new(Trial {
        rule: false,
        ..HOT_BURST
    })
    .run();
    let ranked = Fleet::new(HOT_BURST).run();
    let restarted = Fleet::new(Trial {
        restarts: true,
        ..HOT_BURST
    })
    .run();
    assert!(unranked < 0.85, "the load affects others: {unranked}");
    assert!(ranked > unranked + 0.08, "{ranked} against {unranked}");
    assert!(
        restarted > unranked + 0.06,
        "{restarted} against {unranked}"
    );
}

#[test]
fn three_hot_organisations_do_not_delay_programs_of_others() {
    let usual = Fleet::new(WITHOUT_HOT).run();
    let ranked = Fleet::new(HOT_BURST).run();
    assert!(
        ranked >= 0.97 * usual,
        "{ranked} of the others' programs in time, {usual} without the three"
    );
}

#[test]
fn max_min_share_divides_what_small_amounts_leave() {
    let share = |room| max_min_share(vec![8.0, 1.0, 4.0], room);
    for (room, expected) in [
        (3.0, 1.0),
        (7.0, 3.0),
        (11.0, 6.0),
        (13.0, 8.0),
        (50.0, 8.0),
    ] {
        assert!(
            (share(room) - expected).abs() < 1e-9,
            "room {room}: {}",
            share(room)
        );
    }
}

/// Returns the shares of organisations of which each has done and waiting work, at an engine that is twice overloaded.
fn shares(done: &[u64]) -> Vec<OrganisationShare> {
    let now = Instant::now();
    let mut table = WorkTable::default();
    for (organisation, &seconds) in (0..).zip(done) {
        let work = Duration::from_secs(seconds);
        let claimed = claim(organisation, work);
        table.begin(&claimed, now);
        table.end(&claimed, now, work, now);
        table.begin(&claimed, now);
    }
    let mut slots = SlotUse::default();
    slots.add(2 * SLOTS, SLOTS);
    let level = table.level(&slots, now);
    (0..)
        .zip(done)
        .filter_map(|(organisation, _)| table.share(organisation, &level, now))
        .collect()
}

fn over(done: &[u64]) -> Vec<bool> {
    shares(done)
        .iter()
        .map(OrganisationShare::is_over)
        .collect()
}

#[test]
fn only_organisations_above_their_share_yield() {
    assert_eq!(
        over(&[5]),
        [false],
        "a single organisation has nobody to yield to"
    );
    assert_eq!(over(&[5, 5, 5]), [false; 3]);
    assert_eq!(over(&[20, 4, 4, 4, 4]), [true, false, false, false, false]);
}

#[test]
fn service_with_room_has_no_organisation_above_its_share() {
    let over = OrganisationShare {
        used: 0.9,
        fair: 0.1,
        contended: true,
    };
    let with_room = OrganisationShare {
        contended: false,
        ..over
    };
    assert!(over.is_over() && !with_room.is_over());
    let average = |shares: &[_]| OrganisationShare::average(shares);
    assert!(average(&[over, over, with_room]).is_some_and(|share| share.is_over()));
    assert!(!average(&[over, with_room]).is_some_and(|share| share.is_over()));
    assert_eq!(average(&[]), None);
}

#[test]
fn number_of_organisations_is_bounded_and_the_largest_are_kept() {
    let now = Instant::now();
    let mut table = WorkTable::default();
    for organisation in 0..3000 {
        let work = Duration::from_millis(if organisation == 7 { 900 } else { 10 });
        let claimed = claim(organisation, work);
        table.begin(&claimed, now);
        table.end(&claimed, now, work, now);
    }
    assert_eq!(table.organisation_count(), 1024);
    let level = table.level(&SlotUse::default(), now);
    assert!(
        table
            .share(7, &level, now)
            .is_some_and(|share| share.used > 0.0)
    );
}

#[test]
fn keeper_without_data_or_organisation_reports_no_share() {
    let now = Instant::now();
    let mut table = RunTable::new(now);
    let claimed = claim(1, PACE.turn);
    let later = now + Duration::from_secs(5);
    let end = |run| RunEnd {
        upstream: 1,
        run,
        work: PACE.turn,
    };
    let share =
        |table: &mut RunTable, organisation, at| table.share(&query(vec![1], organisation), at);
    table.begin(start(end(1), PACE.turn, None), now);
    assert_eq!(
        share(&mut table, Some(1), later),
        None,
        "no run named an organisation"
    );
    table.begin(start(end(2), PACE.turn, Some(claimed)), now);
    table.end(end(2), now + PACE.turn);
    assert_eq!(
        share(&mut table, Some(1), now),
        None,
        "the keeper has just started"
    );
    assert_eq!(
        share(&mut table, None, later),
        None,
        "the caller has no organisation"
    );
    assert!(share(&mut table, Some(1), later).is_some());
}

// Guards against an organisation that stops counting as above its share because its own attempts are refused.
#[test]
fn refused_attempts_do_not_raise_the_fair_share() {
    let now = Instant::now();
    let mut slots = SlotUse::default();
    slots.add(32, 16);
    for refused in [0, 50, 100] {
        let mut table = WorkTable::default();
        let mut add = |organisation, seconds, is_done| {
            let claim = WorkClaim {
                organisation,
                work: Duration::from_secs(seconds),
                slots: 16,
            };
            table.begin(&claim, now);
            let done = if is_done { claim.work } else { Duration::ZERO };
            table.end(&claim, now, done, now);
        };
        add(1, 20, true);
        add(1, refused, false);
        for organisation in 2..=5 {
            add(organisation, 4, true);
        }
        let level = table.level(&slots, now);
        let share = table.share(1, &level, now).expect("work has been done");
        assert!(share.is_over(), "{refused} s refused: {share:?}");
    }
}

// Guards against a caller that states a huge number of tokens and thereby raises every organisation's fair share.
#[test]
fn work_stated_by_a_caller_is_bounded_by_the_time_of_the_run() {
    let now = Instant::now();
    let begun = now + Duration::from_secs(4);
    let later = begun + PACE.turn;
    let mut table = RunTable::new(now);
    let claim = |organisation, work| WorkClaim {
        organisation,
        work,
        slots: 16,
    };
    let end = |run, work| RunEnd {
        upstream: 1,
        run,
        work,
    };
    for organisation in 1..=5 {
        let work = PACE.turn;
        table.begin(
            start(
                end(organisation, work),
                work,
                Some(claim(organisation, work)),
            ),
            begun,
        );
        table.end(end(organisation, work), later);
    }
    let huge = Duration::from_hours(1000);
    table.begin(start(end(6, huge), PACE.turn, Some(claim(1, huge))), begun);
    table.end(end(6, huge), later);
    let share = table
        .share(&query(vec![1], Some(1)), later)
        .expect("work has been done");
    assert!(share.used < 0.5, "{share:?}");
}

#[test]
fn crossing_the_bound_is_noted_once() {
    let (board, now) = (ShareBoard::default(), Instant::now());
    let over = OrganisationShare {
        used: 0.9,
        fair: 0.1,
        contended: true,
    };
    let below = OrganisationShare { used: 0.1, ..over };
    let name = "large".into();
    let at = |milliseconds| now + Duration::from_millis(milliseconds);
    let notes = [
        (0, over),
        (5, over),
        (10, below),
        (15, over),
        (1020, below),
        (1030, below),
    ];
    let crossed = notes.map(|(time, share)| board.note(&name, &share, at(time)));
    assert_eq!(crossed, [true, false, false, false, true, false]);
}

/// Ranks before shares were introduced: begun and in time, begun and late, two groups of new programs, late new ones.
#[test]
fn ranks_without_shares_are_those_of_before() {
    let total = Duration::from_secs(2);
    let rank = |tag, completed_turns, left, over_share| {
        let progress = ProgramProgress {
            tag,
            completed_turns,
            initial_time_left: Some(total),
            time_left: Some(Duration::from_millis(left)),
            over_share,
            ..ProgramProgress::default()
        };
        turn_rank(UrgencyClass { index: 1, count: 2 }, &progress, &PACE)
    };
    let cases = [
        (0, 1, 1900),
        (0, 1, 400),
        (0, 0, 1900),
        (255, 0, 1900),
        (0, 0, 400),
    ];
    let ranks = |over| cases.map(|(tag, turns, left)| rank(tag, turns, left, over));
    assert_eq!(ranks(false), [5, 6, 7, 8, 9]);
    assert_eq!(
        ranks(true),
        [5, 6, 9, 9, 9],
        "begun programs keep their rank"
    );
}

// Guards against a share that moves programs which have begun, or moves new ones behind those of a less urgent class.
#[test]
fn share_moves_only_new_programs_and_never_past_the_next_class() {
    for count in 0..=12_u8 {
        for index in 0..count.max(1) {
            for (tag, turns) in [0, 127, 128, 255]
                .into_iter()
                .flat_map(|tag| [(tag, 0), (tag, 1)])
            {
                let class = UrgencyClass { index, count };
                let progress = ProgramProgress {
                    tag,
                    completed_turns: turns,
                    ..ProgramProgress::default()
                };
                let over = ProgramProgress {
                    over_share: true,
                    ..progress
                };
                let (usual, yielding) = (
                    turn_rank(class, &progress, &PACE),
                    turn_rank(class, &over, &PACE),
                );
                assert!(yielding >= usual, "{class:?} {progress:?}");
                assert!(turns == 0 || yielding == usual, "{class:?} {progress:?}");
                if index + 1 >= count.max(1) || count > 10 {
                    continue;
                }
                let next = UrgencyClass {
                    index: index + 1,
                    count,
                };
                let begun = ProgramProgress {
                    completed_turns: 1,
                    ..progress
                };
                assert!(
                    yielding < turn_rank(next, &begun, &PACE),
                    "{class:?} {progress:?}"
                );
            }
        }
    }
}
