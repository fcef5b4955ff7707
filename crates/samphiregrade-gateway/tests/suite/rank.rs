//! Ranks of turns at engines, and what they make of a burst.

use std::time::Duration;

use quickcheck::quickcheck;
use samphiregrade_gateway::upstream::{ProgramProgress, TurnPace, UrgencyClass, turn_rank};

/// Turns of some 256 tokens at 0.85 ms each.
const PACE: TurnPace = TurnPace {
    turn: Duration::from_millis(220),
    time_to_head: Duration::from_millis(40),
    token: Duration::from_micros(850),
};

const URGENT: UrgencyClass = UrgencyClass { index: 0, count: 2 };
const ORDINARY: UrgencyClass = UrgencyClass { index: 1, count: 2 };

fn begins(tag: u8) -> ProgramProgress {
    ProgramProgress {
        tag,
        initial_time_left: Some(Duration::from_secs(2)),
        time_left: Some(Duration::from_secs(2)),
        ..ProgramProgress::default()
    }
}

fn begun(tag: u8) -> ProgramProgress {
    ProgramProgress {
        completed_turns: 1,
        generated_tokens: 256,
        time_left: Some(Duration::from_millis(1600)),
        ..begins(tag)
    }
}

fn late(tag: u8) -> ProgramProgress {
    ProgramProgress {
        time_left: Some(Duration::from_millis(100)),
        ..begun(tag)
    }
}

#[test]
fn begun_programs_go_before_new_ones_and_urgent_routes_before_both() {
    for tag in [0, 90, 255] {
        assert!(turn_rank(URGENT, &begun(tag), &PACE) < turn_rank(URGENT, &begins(0), &PACE));
        assert!(turn_rank(URGENT, &begins(255), &PACE) < turn_rank(ORDINARY, &begun(tag), &PACE));
    }
}

#[test]
fn late_programs_go_after_those_in_time_and_before_new_ones() {
    assert!(turn_rank(ORDINARY, &begun(255), &PACE) < turn_rank(ORDINARY, &late(0), &PACE));
    assert!(turn_rank(ORDINARY, &late(255), &PACE) < turn_rank(ORDINARY, &begins(0), &PACE));
    assert!(turn_rank(URGENT, &late(0), &PACE) < turn_rank(ORDINARY, &begun(0), &PACE));
}

#[test]
fn new_programs_that_have_waited_too_long_go_last_of_their_class() {
    let waited = ProgramProgress {
        time_left: Some(Duration::from_millis(500)),
        ..begins(0)
    };
    assert!(turn_rank(URGENT, &begins(255), &PACE) < turn_rank(URGENT, &waited, &PACE));
    assert!(turn_rank(URGENT, &waited, &PACE) < turn_rank(ORDINARY, &begun(0), &PACE));
}

#[test]
fn first_turn_that_has_waited_too_long_counts_as_late() {
    let waited = |left| ProgramProgress {
        time_left: Some(Duration::from_millis(left)),
        ..begins(0)
    };
    assert!(!waited(1900).is_late(&PACE));
    assert!(!waited(1300).is_late(&PACE));
    assert!(waited(1100).is_late(&PACE));
}

#[test]
fn time_spent_on_turns_is_not_lost() {
    let far = ProgramProgress {
        completed_turns: 4,
        generated_tokens: 1024,
        time_left: Some(Duration::from_millis(400)),
        ..begins(0)
    };
    assert!(!far.is_late(&PACE));
    let stuck = ProgramProgress {
        completed_turns: 1,
        generated_tokens: 256,
        ..far
    };
    assert!(stuck.is_late(&PACE));
}

#[test]
fn without_a_deadline_nothing_is_late() {
    assert!(!ProgramProgress::default().is_late(&PACE));
}

#[test]
fn new_programs_are_parted_by_their_hash() {
    assert!(turn_rank(URGENT, &begins(0), &PACE) < turn_rank(URGENT, &begins(255), &PACE));
    assert_eq!(
        turn_rank(URGENT, &begins(0), &PACE),
        turn_rank(URGENT, &begins(100), &PACE)
    );
}

quickcheck! {
    fn ranks_stay_in_their_range_and_keep_the_order_of_classes(
        tag: u8,
        count: u8,
        index: u8,
        turns: u32
    ) -> bool {
        let progress = ProgramProgress { tag, completed_turns: turns, ..ProgramProgress::default() };
        let class = UrgencyClass { index, count };
        let less = UrgencyClass { index: index.saturating_add(1), count };
        let rank = turn_rank(class, &progress, &PACE);
        rank < 10 && rank <= turn_rank(less, &progress, &PACE)
    }
}

/// An engine that serves the waiting turn with the lowest rank first, in the order of arrival among equals;
/// returns how many programs of three turns end in time, where twice as many come as it can serve.
fn ended_in_time(rank_of: impl Fn(u8, &ProgramProgress) -> u8) -> usize {
    const TURN: u64 = 250;
    const SPARE: u64 = 500;
    struct Program {
        came: u64,
        turns: u32,
        waits_since: u64,
        tag: u8,
    }
    let mut waiting: Vec<Program> = Vec::new();
    let (mut now, mut next, mut in_time) = (0, 0, 0);
    while now < 60_000 {
        while next * 375 <= now && next < 100 {
            let tag = u8::try_from(next * 97 % 256).unwrap_or(0);
            waiting.push(Program {
                came: next * 375,
                turns: 0,
                waits_since: next * 375,
                tag,
            });
            next += 1;
        }
        let whole = Duration::from_millis(3 * TURN + SPARE);
        let key = |program: &Program| {
            let progress = ProgramProgress {
                tag: program.tag,
                completed_turns: program.turns,
                generated_tokens: u64::from(program.turns) * 60,
                initial_time_left: Some(whole),
                time_left: Some(whole.saturating_sub(Duration::from_millis(now - program.came))),
            };
            (rank_of(program.tag, &progress), program.waits_since)
        };
        let Some(index) = (0..waiting.len()).min_by_key(|&index| key(&waiting[index])) else {
            now += 25;
            continue;
        };
        now += TURN;
        let program = &mut waiting[index];
        program.turns += 1;
        program.waits_since = now;
        if program.turns == 3 {
            in_time += usize::from(now - program.came <= 3 * TURN + SPARE);
            waiting.swap_remove(index);
        }
    }
    in_time
}

#[test]
fn under_twice_the_load_many_programs_still_end_in_time() {
    let equal = ended_in_time(|_, _| 0);
    let begun_first = ended_in_time(|_, progress| u8::from(!progress.has_begun()));
    let ranked = ended_in_time(|_, progress| turn_rank(ORDINARY, progress, &PACE));
    assert!(
        equal < 10,
        "in the order of arrival nearly all are late: {equal}"
    );
    assert!(
        ranked >= 25,
        "of 100 programs the engine can carry 50: {ranked}"
    );
    assert!(ranked > 2 * begun_first, "{ranked} against {begun_first}");
}
