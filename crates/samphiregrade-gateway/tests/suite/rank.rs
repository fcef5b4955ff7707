//! Ranks of turns at engines, and their effect in a burst.

use std::time::Duration;

use quickcheck::quickcheck;
use samphiregrade_gateway::upstream::{ProgramProgress, TurnPace, UrgencyClass, turn_rank};

/// Turns of about 256 tokens at 0.85 ms each.
const PACE: TurnPace = TurnPace {
    turn: Duration::from_millis(220),
    time_to_head: Duration::from_millis(40),
    token: Duration::from_micros(850),
};

const URGENT: UrgencyClass = UrgencyClass { index: 0, count: 2 };
const ORDINARY: UrgencyClass = UrgencyClass { index: 1, count: 2 };

fn new_program(tag: u8) -> ProgramProgress {
    ProgramProgress {
        tag,
        initial_time_left: Some(Duration::from_secs(2)),
        time_left: Some(Duration::from_secs(2)),
        ..ProgramProgress::default()
    }
}

fn started(tag: u8) -> ProgramProgress {
    ProgramProgress {
        completed_turns: 1,
        generated_tokens: 256,
        time_left: Some(Duration::from_millis(1600)),
        ..new_program(tag)
    }
}

fn late(tag: u8) -> ProgramProgress {
    ProgramProgress {
        time_left: Some(Duration::from_millis(100)),
        ..started(tag)
    }
}

#[test]
fn started_programs_rank_before_new_ones_and_urgent_routes_before_both() {
    for tag in [0, 90, 255] {
        assert!(
            turn_rank(URGENT, &started(tag), &PACE) < turn_rank(URGENT, &new_program(0), &PACE)
        );
        assert!(
            turn_rank(URGENT, &new_program(255), &PACE) < turn_rank(ORDINARY, &started(tag), &PACE)
        );
    }
}

#[test]
fn late_programs_rank_after_those_in_time_and_before_new_ones() {
    assert!(turn_rank(ORDINARY, &started(255), &PACE) < turn_rank(ORDINARY, &late(0), &PACE));
    assert!(turn_rank(ORDINARY, &late(255), &PACE) < turn_rank(ORDINARY, &new_program(0), &PACE));
    assert!(turn_rank(URGENT, &late(0), &PACE) < turn_rank(ORDINARY, &started(0), &PACE));
}

#[test]
fn new_programs_that_have_waited_too_long_rank_last_in_their_class() {
    let waiting_long = ProgramProgress {
        time_left: Some(Duration::from_millis(500)),
        ..new_program(0)
    };
    assert!(turn_rank(URGENT, &new_program(255), &PACE) < turn_rank(URGENT, &waiting_long, &PACE));
    assert!(turn_rank(URGENT, &waiting_long, &PACE) < turn_rank(ORDINARY, &started(0), &PACE));
}

#[test]
fn first_turn_that_has_waited_too_long_counts_as_late() {
    let waiting_long = |left| ProgramProgress {
        time_left: Some(Duration::from_millis(left)),
        ..new_program(0)
    };
    assert!(!waiting_long(1900).is_late(&PACE));
    assert!(!waiting_long(1300).is_late(&PACE));
    assert!(waiting_long(1100).is_late(&PACE));
}

#[test]
fn time_spent_on_turns_does_not_count_as_lost() {
    let advanced = ProgramProgress {
        completed_turns: 4,
        generated_tokens: 1024,
        time_left: Some(Duration::from_millis(400)),
        ..new_program(0)
    };
    assert!(!advanced.is_late(&PACE));
    let stuck = ProgramProgress {
        completed_turns: 1,
        generated_tokens: 256,
        ..advanced
    };
    assert!(stuck.is_late(&PACE));
}

#[test]
fn program_without_a_deadline_is_never_late() {
    assert!(!ProgramProgress::default().is_late(&PACE));
}

#[test]
fn new_programs_are_grouped_by_their_hash() {
    assert!(
        turn_rank(URGENT, &new_program(0), &PACE) < turn_rank(URGENT, &new_program(255), &PACE)
    );
    assert_eq!(
        turn_rank(URGENT, &new_program(0), &PACE),
        turn_rank(URGENT, &new_program(100), &PACE)
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

/// Simulates an engine that serves the waiting turn with the lowest rank first, and equal ranks in the order of
/// arrival.
///
/// Returns how many programs of three turns finish in time if twice as many arrive as the engine can serve.
fn finished_in_time(rank_of: impl Fn(u8, &ProgramProgress) -> u8) -> usize {
    const TURN: u64 = 250;
    const SPARE: u64 = 500;
    struct Program {
        arrived: u64,
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
                arrived: next * 375,
                turns: 0,
                waits_since: next * 375,
                tag,
            });
            next += 1;
        }
        let total_time = Duration::from_millis(3 * TURN + SPARE);
        let key = |program: &Program| {
            let progress = ProgramProgress {
                tag: program.tag,
                completed_turns: program.turns,
                generated_tokens: u64::from(program.turns) * 60,
                initial_time_left: Some(total_time),
                time_left: Some(
                    total_time.saturating_sub(Duration::from_millis(now - program.arrived)),
                ),
                over_share: false,
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
            in_time += usize::from(now - program.arrived <= 3 * TURN + SPARE);
            waiting.swap_remove(index);
        }
    }
    in_time
}

#[test]
fn under_double_load_many_programs_still_finish_in_time() {
    let equal = finished_in_time(|_, _| 0);
    let started_first = finished_in_time(|_, progress| u8::from(!progress.has_begun()));
    let ranked = finished_in_time(|_, progress| turn_rank(ORDINARY, progress, &PACE));
    assert!(
        equal < 10,
        "in the order of arrival nearly all are late: {equal}"
    );
    assert!(
        ranked >= 25,
        "the engine can serve 50 of 100 programs: {ranked}"
    );
    assert!(
        ranked > 2 * started_first,
        "{ranked} against {started_first}"
    );
}
