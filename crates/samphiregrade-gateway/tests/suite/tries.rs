//! Tests of the decision on a further try of a request under which upstreams have ended.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use samphiregrade_gateway::exchange::SuspectTable;
use samphiregrade_gateway::fact::{
    FactIndex, FactRecord, KnownTries, MAX_ENDED_UPSTREAMS, RequestTry, SendTable, TRY_RETENTION,
    TimedTries, TryDecision, TryEntry, TryFact, TryState, try_key,
};

use crate::facts::export_all;

/// Number of keepers, of which two are a majority.
const KEEPERS: usize = 3;

/// Number of a try that has not been recorded.
const OWN: u64 = u64::MAX;

fn try_of(number: u64, upstream: u64, state: TryState) -> RequestTry {
    RequestTry {
        number,
        upstream,
        state,
    }
}

fn known(rows: &[(u64, u64, TryState)]) -> KnownTries {
    let mut tries = KnownTries::default();
    for &(number, upstream, state) in rows {
        tries.add(try_of(number, upstream, state));
    }
    tries
}

#[test]
fn request_is_not_sent_again_after_three_upstreams_have_ended() {
    let mut tries = KnownTries::default();
    assert_eq!(tries.decide(OWN, false), TryDecision::Unsuspected);
    for upstream in 0..MAX_ENDED_UPSTREAMS as u64 {
        assert_ne!(tries.decide(OWN, false), TryDecision::Exhausted);
        tries.add(try_of(upstream, upstream, TryState::Ended));
    }
    assert_eq!(tries.decide(OWN, false), TryDecision::Exhausted);
}

#[test]
fn upstream_counts_once_however_many_tries_saw_its_end() {
    let rows: Vec<_> = (0..9).map(|number| (number, 7, TryState::Ended)).collect();
    let tries = known(&rows);
    assert_eq!(tries.ended(), 1);
    assert_eq!(tries.decide(OWN, false), TryDecision::Permitted);
}

#[test]
fn tries_in_flight_count_until_their_results_are_known() {
    let mut tries = known(&[
        (1, 1, TryState::Ended),
        (2, 2, TryState::Open),
        (3, 3, TryState::Open),
    ]);
    assert_eq!(tries.decide(OWN, false), TryDecision::Occupied);
    assert_eq!(tries.decide(2, false), TryDecision::Permitted);
    tries.add(try_of(2, 2, TryState::Harmless));
    assert_eq!(tries.decide(OWN, false), TryDecision::Permitted);
}

// Guards against upstreams that fall silent under a request, one after another, and are never counted.
#[test]
fn unresolved_tries_use_up_the_bound_until_their_upstreams_reply() {
    let mut tries = known(&[(1, 1, TryState::Unresolved)]);
    assert_eq!(tries.decide(OWN, false), TryDecision::Permitted);
    tries.add(try_of(2, 2, TryState::Unresolved));
    tries.add(try_of(3, 3, TryState::Unresolved));
    assert_eq!(tries.decide(OWN, false), TryDecision::Occupied);
    assert_eq!(tries.ended(), 0);
    for number in 1..=3 {
        tries.add(try_of(number, number, TryState::Harmless));
    }
    assert_eq!(tries.decide(OWN, false), TryDecision::Unsuspected);
}

// Guards against a frequent request that is refused because several of the upstreams that ran it have ended for other reasons.
#[test]
fn request_that_has_run_is_no_longer_suspected() {
    let mut tries = known(&[(1, 1, TryState::Ended), (2, 2, TryState::Ended)]);
    let acquitted = tries.acquitted();
    tries.merge(&acquitted);
    assert_eq!(tries.decide(OWN, false), TryDecision::Unsuspected);
    // A late report of an end does not undo it.
    tries.add(try_of(1, 1, TryState::Ended));
    assert_eq!(tries.ended(), 0);
}

#[test]
fn tries_are_forgotten_after_their_retention() {
    let now = Instant::now();
    let mut entry = TryEntry::new(now);
    entry.add(&known(&[(1, 1, TryState::Ended)]).into(), now);
    let later = now + TRY_RETENTION;
    assert_eq!(
        entry
            .tries(later.checked_sub(Duration::from_millis(1)).expect("a time"))
            .ended(),
        1
    );
    assert!(entry.tries(later).is_empty());
    entry.add(&known(&[(2, 2, TryState::Ended)]).into(), later);
    assert_eq!(entry.tries(later).ended(), 1, "the first end is forgotten");
}

// Guards against ends that are forgotten while the next upstream works on the request for longer than they are kept.
#[test]
fn tries_are_kept_while_an_upstream_may_work_on_one_of_them() {
    let now = Instant::now();
    let work_left = TRY_RETENTION * 3;
    let mut entry = TryEntry::new(now);
    entry.add(&known(&[(1, 1, TryState::Ended)]).into(), now);
    let open = TimedTries {
        tries: known(&[(2, 2, TryState::Open)]),
        work_left,
    };
    entry.add(&open, now);
    let after_work = now + work_left;
    assert_eq!(entry.tries(after_work).ended(), 1);
    assert_eq!(entry.work_left(now + TRY_RETENTION), TRY_RETENTION * 2);
    entry.add(&known(&[(2, 2, TryState::Ended)]).into(), after_work);
    assert_eq!(entry.tries(after_work).ended(), 2);
    assert!(entry.tries(after_work + TRY_RETENTION).is_empty());
    let fact = TryFact::new(try_key(1), open, TRY_RETENTION * 2);
    assert!(!fact.is_outdated());
}

// Guards against a send whose entry has ended, and that is forgotten while its upstream works on it.
#[test]
fn registered_send_counts_until_after_its_deadline() {
    let now = Instant::now();
    let work_left = TRY_RETENTION * 3;
    let mut sends = SendTable::default();
    sends.register(&try_key(1), 1, work_left, now);
    sends.register(&try_key(2), 2, Duration::ZERO, now + work_left);
    let mut tries = KnownTries::default();
    sends.add_to(&mut tries, &try_key(1), OWN);
    assert_eq!(tries.open(), 1);
    let later = now + work_left + TRY_RETENTION + Duration::from_millis(1);
    sends.register(&try_key(3), 3, Duration::ZERO, later);
    let mut tries = KnownTries::default();
    sends.add_to(&mut tries, &try_key(1), OWN);
    assert_eq!(tries.open(), 0);
}

#[test]
fn known_tries_are_bounded() {
    let mut tries = KnownTries::default();
    for number in 0..1000 {
        tries.add(try_of(number, number, TryState::Harmless));
    }
    tries.add(try_of(1000, 1000, TryState::Ended));
    for number in 2000..3000 {
        tries.add(try_of(number, 7, TryState::Unresolved));
    }
    assert!(tries.iter().count() < 100);
    assert_eq!(tries.ended(), 1);
    assert_eq!(tries.decide(OWN, false), TryDecision::Permitted);
}

#[test]
fn registered_sends_are_bounded_and_forgotten_when_they_are_over_or_old() {
    let now = Instant::now();
    let mut sends = SendTable::default();
    for number in 0..100_000 {
        sends.register(&try_key(number), number, Duration::ZERO, now);
    }
    assert!(sends.len() < 100_000);
    let count = |sends: &SendTable, request: u64| {
        let mut tries = KnownTries::default();
        sends.add_to(&mut tries, &try_key(request), OWN);
        tries.open()
    };
    assert_eq!((count(&sends, 0), count(&sends, 99_999)), (0, 1));
    // Of hundreds of requests that are alike, a reply names as many as a decision needs.
    for number in 200_000..200_500 {
        sends.register(&try_key(5), number, Duration::ZERO, now);
    }
    assert_eq!(count(&sends, 5), MAX_ENDED_UPSTREAMS);
    sends.end(99_999);
    assert_eq!(count(&sends, 99_999), 0);
    let later = now + TRY_RETENTION + Duration::from_millis(1);
    sends.register(&try_key(1), 1, Duration::ZERO, later);
    assert_eq!(sends.len(), 1);
}

// Guards against sends of other requests that are alike, and hold up a request under which no upstream has ended.
#[test]
fn sends_side_by_side_count_only_if_attempts_follow_each_other() {
    let mut tries = KnownTries::default();
    for number in 1..=3 {
        tries.add(RequestTry::registered(number));
    }
    assert_eq!(tries.decide(OWN, false), TryDecision::Unsuspected);
    assert_eq!(tries.decide(OWN, true), TryDecision::Occupied);
    assert_eq!(tries.decide(1, true), TryDecision::Permitted);
    tries.add(try_of(1, 1, TryState::Ended));
    assert_eq!(tries.decide(OWN, false), TryDecision::Occupied);
}

#[test]
fn later_examinations_are_bounded() {
    let table = SuspectTable::default();
    let slots: Vec<_> = (0..3000)
        .map_while(|_| table.take_examination_slot())
        .collect();
    assert!(!slots.is_empty() && slots.len() < 3000);
    assert!(table.take_examination_slot().is_none());
    drop(slots);
    assert!(table.take_examination_slot().is_some());
}

#[test]
fn table_of_suspected_requests_is_bounded_and_keeps_the_newest() {
    let now = Instant::now();
    let table = SuspectTable::default();
    let ended = known(&[(1, 1, TryState::Ended)]).into();
    for request in 0..10_000 {
        let at = now + Duration::from_millis(request);
        table.add(&try_key(request), &ended, at);
    }
    assert!(table.len() <= 4096);
    let end = now + Duration::from_secs(10);
    assert_eq!(table.known(&try_key(9_999), end).tries.ended(), 1);
    assert_eq!(table.known(&try_key(0), end).tries.ended(), 0);
}

#[test]
fn expired_tries_leave_the_index_and_are_not_exported() {
    let now = Instant::now();
    let mut index = FactIndex::default();
    let fact = TryFact::new(
        try_key(1),
        known(&[(1, 1, TryState::Ended)]).into(),
        Duration::ZERO,
    );
    index.insert(&FactRecord::Tries(fact), now);
    let exported = |index: &FactIndex| -> usize {
        let parts = (0..=u8::MAX).map(|part| export_all(index, part).facts.len());
        parts.sum()
    };
    // Parts repeat beyond their number, so only whether there is any counts.
    assert!(exported(&index) > 0);
    assert_eq!(index.tries(&try_key(1), now).0.tries.ended(), 1);
    index.expire(now + TRY_RETENTION);
    assert_eq!(exported(&index), 0);
    assert!(index.tries(&try_key(1), now).0.tries.is_empty());
}

#[test]
fn record_of_an_earlier_minute_does_not_hold_after_a_restart() {
    let tries = TimedTries::from(known(&[(1, 1, TryState::Ended)]));
    let recent = TryFact::new(try_key(1), tries.clone(), TRY_RETENTION / 2);
    let old = TryFact::new(try_key(1), tries, TRY_RETENTION * 2);
    assert!(!recent.is_outdated());
    assert!(old.is_outdated());
    assert!(!old.received_now().is_outdated());
}

/// A step of entries that send one deadly request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// An entry looks up the tries of the request at one keeper and, if it may, records a try on two others or fewer; the
    /// bits select the keepers.
    Begin(u8, u8),
    /// A try in flight ends its upstream, which is recorded on keepers that the bits select, a majority at least.
    End(u8, u8),
    /// A try in flight leaves its upstream running.
    Survive(u8, u8),
}

impl Arbitrary for Step {
    fn arbitrary(source: &mut Gen) -> Self {
        let (one, two) = (u8::arbitrary(source), u8::arbitrary(source));
        match u8::arbitrary(source) % 5 {
            0 | 1 => Self::Begin(one, two),
            2 | 3 => Self::End(one, two),
            _ => Self::Survive(one, two),
        }
    }
}

/// Keepers of one request and the entries that send it.
struct World {
    keepers: Vec<KnownTries>,
    in_flight: Vec<RequestTry>,
    ended: usize,
    next: u64,
}

impl World {
    /// Returns the world after a first, unrecorded try has ended its upstream.
    fn after_the_first_end() -> Self {
        let first = KnownTries::from(try_of(0, 0, TryState::Ended));
        Self {
            keepers: vec![first; KEEPERS],
            in_flight: Vec::new(),
            ended: 1,
            next: 1,
        }
    }

    /// Returns a majority of the keepers.
    fn majority(bits: u8) -> Vec<usize> {
        let left_out = usize::from(bits) % (KEEPERS + 1);
        (0..KEEPERS).filter(|&index| index != left_out).collect()
    }

    fn record(&mut self, recorded: RequestTry, bits: u8) -> KnownTries {
        let mut replied = KnownTries::default();
        for index in Self::majority(bits) {
            self.keepers[index].add(recorded);
            replied.merge(&self.keepers[index].clone());
        }
        replied
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Begin(nearest, bits) => {
                let nearest = &self.keepers[usize::from(nearest) % KEEPERS];
                if nearest.decide(OWN, false) == TryDecision::Exhausted {
                    return;
                }
                self.next += 1;
                let begun = try_of(self.next, self.next, TryState::Open);
                let replied = self.record(begun, bits);
                if replied.decide(begun.number, false) == TryDecision::Permitted {
                    self.in_flight.push(begun);
                } else {
                    self.record(
                        try_of(begun.number, begun.upstream, TryState::Harmless),
                        bits,
                    );
                }
            }
            Step::End(which, bits) => self.finish(which, bits, TryState::Ended),
            Step::Survive(which, bits) => self.finish(which, bits, TryState::Harmless),
        }
    }

    fn finish(&mut self, which: u8, bits: u8, state: TryState) {
        if self.in_flight.is_empty() {
            return;
        }
        let index = usize::from(which) % self.in_flight.len();
        let finished = self.in_flight.remove(index);
        self.ended += usize::from(state == TryState::Ended);
        self.record(RequestTry { state, ..finished }, bits);
    }
}

/// Number of attempts in the model of sends side by side.
const ATTEMPTS: usize = 6;

/// An attempt of a request that is sent once at a time, as its entry sees it.
#[derive(Clone, Debug)]
struct Attempt {
    number: u64,
    step: AttemptStep,
    /// Keepers that the current round has still to reach, and those that a majority does not need.
    round: Vec<usize>,
    known: KnownTries,
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptStep {
    /// Its send is being registered, which also looks up what is known.
    LooksUp,
    /// Its try is being recorded.
    Records,
    /// Its upstream works.
    Runs,
    /// Its upstream has ended, and that is being recorded.
    RecordsEnd,
    /// It is over, or its entry has ended.
    Over,
}

/// A keeper's knowledge of the request.
#[derive(Default)]
struct ModelKeeper {
    sends: SendTable,
    tries: KnownTries,
}

impl ModelKeeper {
    fn record(&mut self, recorded: RequestTry) {
        self.sends.end(recorded.number);
        self.tries.add(recorded);
    }

    fn reply(&self, key: &str, own: u64) -> KnownTries {
        let mut tries = self.tries.clone();
        self.sends.add_to(&mut tries, &key.into(), own);
        tries
    }
}

/// Attempts side by side whose messages reach each keeper at another time; entries may end at any moment.
struct SideBySide {
    keepers: Vec<ModelKeeper>,
    attempts: Vec<Attempt>,
    ended: usize,
}

impl SideBySide {
    fn new() -> Self {
        Self {
            keepers: (0..KEEPERS).map(|_| ModelKeeper::default()).collect(),
            attempts: Vec::new(),
            ended: 0,
        }
    }

    fn step(&mut self, which: u8, bits: u8, entry_ends: bool) {
        let index = usize::from(which) % ATTEMPTS;
        if index >= self.attempts.len() {
            self.attempts.push(Attempt {
                number: self.attempts.len() as u64 + 1,
                step: AttemptStep::LooksUp,
                round: World::majority(bits),
                known: KnownTries::default(),
            });
            return;
        }
        let mut attempt = self.attempts[index].clone();
        if entry_ends && attempt.step == AttemptStep::Runs {
            // The upstream ends, too, and nobody records it.
            self.ended += 1;
            attempt.step = AttemptStep::Over;
        } else if attempt.step == AttemptStep::Runs {
            self.ended += 1;
            attempt.step = AttemptStep::RecordsEnd;
            attempt.round = World::majority(bits);
        } else if let Some(keeper) = attempt.round.pop() {
            self.deliver(&mut attempt, keeper);
            if attempt.round.is_empty() {
                Self::finish_round(&mut attempt, bits);
            }
        }
        self.attempts[index] = attempt;
    }

    fn deliver(&mut self, attempt: &mut Attempt, keeper: usize) {
        let keeper = &mut self.keepers[keeper];
        match attempt.step {
            AttemptStep::LooksUp => {
                let (key, now) = ("k".into(), Instant::now());
                keeper
                    .sends
                    .register(&key, attempt.number, Duration::ZERO, now);
            }
            AttemptStep::Records => {
                keeper.record(try_of(attempt.number, attempt.number, TryState::Open));
            }
            _ => keeper.record(try_of(attempt.number, attempt.number, TryState::Ended)),
        }
        attempt.known.merge(&keeper.reply("k", attempt.number));
    }

    fn finish_round(attempt: &mut Attempt, bits: u8) {
        let decision = attempt.known.decide(attempt.number, true);
        let permitted = matches!(decision, TryDecision::Permitted | TryDecision::Unsuspected);
        attempt.step = match attempt.step {
            AttemptStep::LooksUp if decision == TryDecision::Unsuspected => AttemptStep::Runs,
            AttemptStep::LooksUp if permitted => {
                attempt.round = World::majority(bits);
                attempt.known.forget_registered();
                AttemptStep::Records
            }
            AttemptStep::Records if permitted => AttemptStep::Runs,
            // A refused attempt would be reported as over; until then it counts, which is on the safe side.
            _ => AttemptStep::Over,
        };
    }
}

quickcheck! {
    // Guards against tries at several entries that are each permitted, and together end more upstreams than allowed.
    fn no_interleaving_ends_more_than_three_upstreams(steps: Vec<Step>) -> bool {
        let mut world = World::after_the_first_end();
        for step in steps {
            world.step(step);
        }
        world.ended <= MAX_ENDED_UPSTREAMS
    }

    // Guards against attempts side by side whose sends are unknown to each other because their messages cross, and against ends
    // that are lost with an entry.
    fn no_crossing_of_messages_ends_more_than_three_upstreams(steps: Vec<(u8, u8, bool)>) -> bool {
        let mut played = SideBySide::new();
        for (which, bits, entry_ends) in steps {
            played.step(which, bits, entry_ends);
        }
        played.ended <= MAX_ENDED_UPSTREAMS
    }

    fn merge_of_tries_is_commutative(left: Vec<(u8, u8)>, right: Vec<(u8, u8)>) -> bool {
        let states = [TryState::Open, TryState::Unresolved, TryState::Ended, TryState::Harmless];
        let tries = |rows: &[(u8, u8)]| {
            let mut tries = KnownTries::default();
            for &(number, state) in rows {
                let number = u64::from(number) % 16;
                tries.add(try_of(number, number, states[usize::from(state) % states.len()]));
            }
            tries
        };
        let mut one = tries(&left);
        one.merge(&tries(&right));
        let mut other = tries(&right);
        other.merge(&tries(&left));
        let sorted = |tries: &KnownTries| {
            let mut rows: Vec<RequestTry> = tries.iter().copied().collect();
            rows.sort_by_key(|row| row.number);
            rows
        };
        sorted(&one) == sorted(&other)
    }
}
