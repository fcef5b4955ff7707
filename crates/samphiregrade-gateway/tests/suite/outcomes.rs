//! Upstreams that fail fast while their health checks are good.

use std::time::{Duration, Instant};

use quickcheck::quickcheck;
use samphiregrade_gateway::upstream::{
    Candidate, Outcome, OutcomeCounts, OutcomeDelta, OutcomeTable, OutcomeTracker, UpstreamSuspect,
    WorkEstimate, choose_upstream,
};

const STEP: Duration = Duration::from_millis(100);

fn delta(upstream: u64, good: u16, bad: u16) -> OutcomeDelta {
    OutcomeDelta {
        upstream,
        good,
        bad,
        recovered: 0,
    }
}

fn counts(good: u16, bad: u16, now: Instant) -> OutcomeCounts {
    let mut counts = OutcomeCounts::new(now);
    counts.add(&delta(1, good, bad), now);
    counts
}

#[test]
fn one_failure_costs_little_and_a_failing_upstream_more_than_a_cached_prompt() {
    let now = Instant::now();
    let lost_answer = counts(20, 1, now);
    assert_eq!(lost_answer.penalty(true, now), Duration::ZERO);
    let failing = counts(1, 9, now);
    assert!(failing.penalty(true, now) > Duration::from_millis(300));
    assert!(failing.is_doubted(now));
}

#[test]
fn what_cannot_be_sent_again_goes_to_the_best_known() {
    let now = Instant::now();
    let losing = counts(12, 2, now);
    assert_eq!(losing.penalty(true, now), Duration::ZERO);
    assert!(losing.penalty(false, now) > Duration::from_millis(50));
    assert_eq!(counts(20, 0, now).penalty(false, now), Duration::ZERO);
}

#[test]
fn old_failures_are_forgotten_and_probes_that_succeed_clear_sooner() {
    let now = Instant::now();
    let failing = counts(0, 8, now);
    assert!(!failing.is_doubted(now + 100 * STEP));
    let mut probed = failing;
    for _ in 0..3 {
        probed.add(&OutcomeDelta::of(1, Outcome::Recovered), now);
    }
    assert!(!probed.is_doubted(now));
}

#[test]
fn keepers_together_give_leave_to_probe_once_an_interval() {
    let start = Instant::now();
    let keepers = 4;
    let mut tables = vec![OutcomeTable::default(); keepers];
    let mut leaves = 0;
    for step in 0..200 {
        let now = start + step * STEP;
        let table = &mut tables[step as usize % keepers];
        table.take(&[delta(7, 0, 5)], now);
        let suspects = table.suspects(keepers, now);
        leaves += suspects.iter().filter(|suspect| suspect.may_probe).count();
    }
    assert!((12..=20).contains(&leaves), "{leaves} in 20 seconds");
}

#[test]
fn each_keeper_is_told_each_outcome_once() {
    let now = Instant::now();
    let board = OutcomeTracker::default();
    board.note(7, Outcome::Success, now);
    board.note(7, Outcome::Failure, now);
    board.note(8, Outcome::Success, now);
    let mut first = board.take_unreported(&"a".into());
    first.sort_by_key(|delta| delta.upstream);
    assert_eq!(first, [delta(7, 1, 1), delta(8, 1, 0)]);
    assert_eq!(board.take_unreported(&"a".into()), []);
    board.note(8, Outcome::Failure, now);
    assert_eq!(board.take_unreported(&"a".into()), [delta(8, 0, 1)]);
    assert_eq!(board.take_unreported(&"b".into()).len(), 2);
}

#[test]
fn keeper_that_has_just_started_does_not_clear_what_is_known() {
    let now = Instant::now();
    let board = OutcomeTracker::default();
    for _ in 0..6 {
        board.note(7, Outcome::Failure, now);
    }
    let before = board.penalty(7, true, now);
    let uninformed = UpstreamSuspect {
        upstream: 7,
        good: 1.0,
        bad: 1.0,
        may_probe: false,
    };
    board.merge_suspects(&[uninformed], now);
    assert_eq!(board.penalty(7, true, now), before);
    let informed = UpstreamSuspect {
        good: 30.0,
        ..uninformed
    };
    board.merge_suspects(&[informed], now);
    assert_eq!(board.penalty(7, true, now), Duration::ZERO);
}

#[test]
fn leave_to_probe_is_used_once_and_lost_when_old() {
    let now = Instant::now();
    let board = OutcomeTracker::default();
    let suspect = UpstreamSuspect {
        upstream: 7,
        good: 0.0,
        bad: 5.0,
        may_probe: true,
    };
    board.merge_suspects(&[suspect], now);
    assert!(board.has_probe_permit() && board.take_probe_permit(7, now));
    assert!(!board.take_probe_permit(7, now));
    board.merge_suspects(&[suspect], now);
    assert!(!board.take_probe_permit(7, now + 20 * STEP));
}

/// Entries of the played deployment; each meets one engine every few seconds only.
const ENTRIES: usize = 80;

/// Its engines, of which the first ones fail at once.
const ENGINES: u64 = 60;
const FAILING: u64 = 8;

/// Requests in a tenth of a second, and the tenths that are played.
const REQUESTS: u32 = 80;
const TENTHS: u32 = 60;

/// Plays a busy service of which eight engines answer nearly everything with a failure; returns the failed share.
fn failed_share(shared: bool) -> f64 {
    let start = Instant::now();
    let boards: Vec<OutcomeTracker> = (0..ENTRIES).map(|_| OutcomeTracker::default()).collect();
    let mut keeper = OutcomeTable::default();
    let work = WorkEstimate {
        slot_milliseconds: 220.0,
        prefill_rate: 247.0,
        on_engine: true,
    };
    let mut failed = 0;
    for tenth in 0..TENTHS {
        let now = start + tenth * STEP;
        for request in 0..REQUESTS {
            let board = &boards[(request * 7 + tenth * 13) as usize % ENTRIES];
            let candidates: Vec<Candidate> = (0..ENGINES)
                .map(|engine| Candidate {
                    slots: 24.0,
                    penalty: board.penalty(engine, true, now),
                    ..Candidate::default()
                })
                .collect();
            // Any draw will do that spreads evenly and is the same each time.
            let draw = f64::from((request * 31 + tenth * 17) % 97) / 97.0;
            let engine = choose_upstream(&candidates, &work, draw).expect("an engine") as u64;
            let outcome = if engine < FAILING {
                failed += 1;
                Outcome::Failure
            } else {
                Outcome::Success
            };
            board.note(engine, outcome, now);
        }
        if shared {
            for board in &boards {
                keeper.take(&board.take_unreported(&"k".into()), now);
                board.merge_suspects(&keeper.suspects(1, now), now);
            }
        }
    }
    f64::from(failed) / f64::from(REQUESTS * TENTHS)
}

#[test]
fn shared_accounts_end_the_failures_that_single_entries_go_on_meeting() {
    let alone = failed_share(false);
    let together = failed_share(true);
    assert!(alone > 0.08, "{alone}");
    assert!(together < 0.03, "{together}");
}

#[test]
fn any_order_of_outcomes_gives_sound_shares() {
    fn sound(events: Vec<(u16, u16, u16, u16)>) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut counts = OutcomeCounts::new(start);
        for (good, bad, recovered, pause) in events {
            now += Duration::from_millis(u64::from(pause));
            let told = OutcomeDelta {
                upstream: 1,
                good,
                bad,
                recovered,
            };
            counts.add(&told, now);
        }
        // Accounts may also come from a clock that was read earlier.
        let share = counts.failure_share(start);
        let later = counts.failure_share(now + Duration::from_mins(1));
        (0.0..=1.0).contains(&share) && (0.0..0.5).contains(&later)
    }
    quickcheck(sound as fn(Vec<(u16, u16, u16, u16)>) -> bool);
}

#[test]
fn told_counts_of_any_kind_are_taken_soundly() {
    fn sound(good: f32, bad: f32) -> bool {
        let now = Instant::now();
        let suspect = UpstreamSuspect {
            upstream: 1,
            good,
            bad,
            may_probe: false,
        };
        let share = OutcomeCounts::told(&suspect, now).failure_share(now);
        (0.0..=1.0).contains(&share)
    }
    quickcheck(sound as fn(f32, f32) -> bool);
}
