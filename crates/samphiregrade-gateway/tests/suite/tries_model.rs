//! Model test of the bound on upstreams that end under one request of a program: late ends, clients that leave, entries that end,
//! cuts and keepers that forget.
//!
//! The model uses the product's decision, tables, retention and rule on what shows that a process has outlived a try. A try counts
//! for a minute after its last record and, as long as nothing is known of its process, after its deadline. Invariant: of the tries
//! that count, at most three have ended their upstreams, and one more for each send of which nobody could know: one that was sent
//! without a majority of the keepers, or that its keepers forgot without a record, at a restart or a minute after its deadline.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use samphiregrade_gateway::fact::{
    KnownTries, LATE_END, MAX_ENDED_UPSTREAMS, RequestTry, SendTable, TRY_RETENTION, TimedTries,
    TryDecision, TryEntry, TryKey, TryState, provable_from, try_key,
};
use samphiregrade_gateway::upstream::{LifeEvidence, LifeSign};

/// Number of keepers, of which two are a majority.
const KEEPERS: usize = 3;

/// Longest deadline of a send: longer than tries are kept after their last change.
const LONGEST_DEADLINE: Duration = Duration::from_secs(90);

/// Number of random runs.
const RUNS: u64 = 4_000;

/// Steps of one run.
const STEPS: usize = 120;

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A client sends the request with a deadline in seconds; the bits select a majority of the keepers.
    Send(u8, u8),
    /// As `Send`, by an entry that reaches one keeper or none.
    SendCutOff(u8, u8),
    /// The connection of a try closes, or its client leaves, and its entry records a doubt.
    Doubt(u8, u8),
    /// The entry of a try ends, and records nothing.
    LoseEntry(u8),
    /// A process ends under a try that it may still work on, or could a moment before.
    EndProcess(u8),
    /// A process responds to a new request of something else.
    Respond(u8),
    /// The entry of a doubted try examines its upstream.
    Examine(u8, u8),
    /// A keeper restarts: what it has on disk comes back.
    RestartKeeper(u8),
    /// Time passes, in units of 100 ms or of seconds.
    Pass(u8, bool),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let (one, two) = (u8::arbitrary(source), u8::arbitrary(source));
        match u8::arbitrary(source) % 16 {
            0..=3 => Self::Send(one, two),
            4 => Self::SendCutOff(one, two),
            5 | 6 => Self::Doubt(one, two),
            7 => Self::LoseEntry(one),
            8 | 9 => Self::EndProcess(one),
            10 | 11 => Self::Respond(one),
            12 | 13 => Self::Examine(one, two),
            14 => Self::RestartKeeper(one),
            _ => Self::Pass(one, two % 4 == 0),
        }
    }
}

/// How far a try has come, as its entry knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TryStep {
    Sent,
    Doubted(Instant),
    /// Its entry has ended, or has recorded what became of the process.
    Over,
}

/// A try and the process that runs it; each try has a process of its own.
struct ModelTry {
    number: u64,
    due: Instant,
    step: TryStep,
    lives: bool,
    evidence: LifeEvidence,
    /// Whether a majority of the keepers has a record of the try on disk.
    is_recorded: bool,
    /// When the try no longer counts.
    counts_until: Instant,
    /// Whether nobody can know of the send.
    is_unknown: bool,
}

struct ModelKeeper {
    tries: TryEntry,
    sends: SendTable,
}

struct World {
    now: Instant,
    key: TryKey,
    keepers: Vec<ModelKeeper>,
    tries: Vec<ModelTry>,
    /// Number of sends so far.
    sends: u64,
}

impl World {
    fn new() -> Self {
        let now = Instant::now();
        let keeper = |_| ModelKeeper {
            tries: TryEntry::new(now),
            sends: SendTable::default(),
        };
        Self {
            now,
            key: try_key(1),
            keepers: (0..KEEPERS).map(keeper).collect(),
            tries: Vec::new(),
            sends: 0,
        }
    }

    fn majority(bits: u8) -> impl Iterator<Item = usize> {
        let left_out = usize::from(bits) % (KEEPERS + 1);
        (0..KEEPERS).filter(move |&index| index != left_out)
    }

    /// Registers a send with keepers, and returns what these know.
    fn look_up(&mut self, keepers: &[usize], number: u64, work_left: Duration) -> KnownTries {
        let mut known = KnownTries::default();
        for &index in keepers {
            let keeper = &mut self.keepers[index];
            keeper
                .sends
                .register(&self.key, number, work_left, self.now);
            known.merge(&keeper.tries.tries(self.now));
            keeper.sends.add_to(&mut known, &self.key, number);
        }
        known
    }

    fn record(&mut self, recorded: RequestTry, work_left: Duration, bits: u8) -> KnownTries {
        let timed = TimedTries {
            tries: recorded.into(),
            work_left,
        };
        let mut known = KnownTries::default();
        for index in Self::majority(bits) {
            let keeper = &mut self.keepers[index];
            keeper.sends.end(recorded.number);
            keeper.tries.add(&timed, self.now);
            known.merge(&keeper.tries.tries(self.now));
            keeper.sends.add_to(&mut known, &self.key, recorded.number);
        }
        known
    }

    fn forget_send(&mut self, number: u64) {
        for keeper in &mut self.keepers {
            keeper.sends.end(number);
        }
    }

    fn send(&mut self, seconds: u8, bits: u8, is_cut_off: bool) {
        self.sends += 1;
        let number = self.sends;
        let work_left = Duration::from_secs(seconds.into()).min(LONGEST_DEADLINE);
        let reached: Vec<usize> = if is_cut_off {
            (0..usize::from(bits) % 2).collect()
        } else {
            Self::majority(bits).collect()
        };
        let known = self.look_up(&reached, number, work_left);
        let mut decision = known.decide(number, true);
        let is_recorded = decision == TryDecision::Permitted && !is_cut_off;
        if is_recorded {
            let open = try_of(number, TryState::Open);
            decision = self.record(open, work_left, bits).decide(number, true);
        }
        if decision != TryDecision::Unsuspected
            && !(is_recorded && decision == TryDecision::Permitted)
        {
            if is_recorded {
                self.record(try_of(number, TryState::Harmless), Duration::ZERO, bits);
            }
            return self.forget_send(number);
        }
        self.tries.push(ModelTry {
            number,
            due: self.now + work_left,
            step: TryStep::Sent,
            lives: true,
            evidence: LifeEvidence::default(),
            is_recorded,
            counts_until: self.now + work_left + TRY_RETENTION,
            is_unknown: is_cut_off,
        });
    }

    fn choose(&self, which: u8) -> Option<usize> {
        (!self.tries.is_empty()).then(|| usize::from(which) % self.tries.len())
    }

    fn step(&mut self, step: Step) {
        let now = self.now;
        let index = match step {
            Step::Send(seconds, bits) => return self.send(seconds, bits, false),
            Step::SendCutOff(seconds, bits) => return self.send(seconds, bits, true),
            Step::RestartKeeper(which) => return self.restart_keeper(which),
            Step::Pass(units, is_long) => {
                let unit = Duration::from_millis(if is_long { 1000 } else { 100 });
                return self.pass(unit * u32::from(units % 64));
            }
            Step::Doubt(which, _)
            | Step::LoseEntry(which)
            | Step::EndProcess(which)
            | Step::Respond(which)
            | Step::Examine(which, _) => self.choose(which),
        };
        let Some(index) = index else {
            return;
        };
        let due = self.tries[index].due;
        match step {
            Step::Doubt(_, bits) if self.tries[index].step == TryStep::Sent => {
                self.doubt(index, bits);
            }
            Step::LoseEntry(_) => self.tries[index].step = TryStep::Over,
            // A process that works on the request ends by then, or the request has not ended it.
            Step::EndProcess(_) if now < due + LATE_END => self.tries[index].lives = false,
            Step::Respond(_) if self.tries[index].lives => {
                self.tries[index].evidence.record_response(now);
            }
            Step::Examine(_, bits) => self.examine(index, bits),
            _ => {}
        }
    }

    fn doubt(&mut self, index: usize, bits: u8) {
        let doubted = &mut self.tries[index];
        doubted.is_recorded = true;
        doubted.step = TryStep::Doubted(self.now);
        let work_left = doubted.due.saturating_duration_since(self.now);
        doubted.counts_until = self.now + work_left + TRY_RETENTION;
        let number = doubted.number;
        self.record(try_of(number, TryState::Doubted), work_left, bits);
    }

    /// Lets time pass. An entry gives a send up at its deadline.
    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        let mut overdue: Vec<usize> = (0..self.tries.len())
            .filter(|&index| self.tries[index].step == TryStep::Sent)
            .filter(|&index| self.tries[index].due <= end)
            .collect();
        overdue.sort_by_key(|&index| self.tries[index].due);
        for index in overdue {
            self.now = self.now.max(self.tries[index].due);
            self.doubt(index, u8::try_from(index % KEEPERS).unwrap_or_default());
        }
        self.now = end;
        // At that very moment, keepers have forgotten a try.
        self.tries.retain(|known| known.counts_until > end);
    }

    fn examine(&mut self, index: usize, bits: u8) {
        let examined = &mut self.tries[index];
        let TryStep::Doubted(doubted_at) = examined.step else {
            return;
        };
        let provable = provable_from(examined.due.max(doubted_at));
        let state = match examined.evidence.sign_since(provable) {
            LifeSign::Lives => TryState::Harmless,
            _ if !examined.lives => TryState::Ended,
            _ => return,
        };
        examined.step = TryStep::Over;
        examined.counts_until = self.now + TRY_RETENTION;
        let number = examined.number;
        self.record(try_of(number, state), Duration::ZERO, bits);
    }

    /// Restarts a keeper: registered sends that no majority has on disk may be unknown from then on.
    fn restart_keeper(&mut self, which: u8) {
        self.keepers[usize::from(which) % KEEPERS].sends = SendTable::default();
        for lost in &mut self.tries {
            lost.is_unknown |= !lost.is_recorded;
        }
    }

    /// Returns whether the bound holds for the tries that count.
    fn is_bounded(&self) -> bool {
        let ended = self.tries.iter().filter(|ended| !ended.lives);
        let unknown = self.tries.iter().filter(|lost| lost.is_unknown).count();
        ended.count() <= MAX_ENDED_UPSTREAMS + unknown
    }
}

fn try_of(number: u64, state: TryState) -> RequestTry {
    RequestTry {
        number,
        upstream: number,
        state,
    }
}

/// Plays steps; returns whether the bound held.
fn holds(steps: &[Step]) -> bool {
    let mut world = World::new();
    for &step in steps {
        world.step(step);
        if !world.is_bounded() {
            return false;
        }
    }
    true
}

// Guards against a doubt about an upstream that time or another process settles, in any order of late events.
#[test]
fn no_late_event_ends_more_than_three_upstreams() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck hands values over"
    )]
    fn property(steps: Vec<Step>) -> bool {
        holds(&steps)
    }
    QuickCheck::new()
        .rng(Gen::new(STEPS))
        .tests(RUNS)
        .max_tests(RUNS)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}
