//! Upstreams that fail fast while their health checks pass.

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
fn rare_failure_costs_nothing_and_failing_upstream_more_than_a_cached_prompt() {
    let now = Instant::now();
    let rare_failure = counts(20, 1, now);
    assert_eq!(rare_failure.penalty(true, now), Duration::ZERO);
    let failing = counts(1, 9, now);
    assert!(failing.penalty(true, now) > Duration::from_millis(300));
    assert!(failing.is_doubted(now));
}

#[test]
fn non_repeatable_requests_avoid_upstreams_with_few_failures() {
    let now = Instant::now();
    let few_failures = counts(12, 2, now);
    assert_eq!(few_failures.penalty(true, now), Duration::ZERO);
    assert!(few_failures.penalty(false, now) > Duration::from_millis(50));
    assert_eq!(counts(20, 0, now).penalty(false, now), Duration::ZERO);
}

#[test]
fn old_failures_decay_and_successful_probes_end_a_suspicion_sooner() {
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
fn keepers_together_permit_one_probe_per_interval() {
    let start = Instant::now();
    let keepers = 4;
    let mut tables = vec![OutcomeTable::default(); keepers];
    let mut permits = 0;
    for step in 0..200 {
        let now = start + step * STEP;
        let table = &mut tables[step as usize % keepers];
        table.take(&[delta(7, 0, 5)], now);
        let suspects = table.suspects(keepers, now);
        permits += suspects.iter().filter(|suspect| suspect.may_probe).count();
    }
    assert!((12..=20).contains(&permits), "{permits} in 20 seconds");
}

#[test]
fn each_outcome_is_reported_once_to_each_keeper() {
    let now = Instant::now();
    let tracker = OutcomeTracker::default();
    tracker.note(7, Outcome::Success, now);
    tracker.note(7, Outcome::Failure, now);
    tracker.note(8, Outcome::Success, now);
    let mut first = tracker.take_unreported(&"a".into());
    first.sort_by_key(|delta| delta.upstream);
    assert_eq!(first, [delta(7, 1, 1), delta(8, 1, 0)]);
    assert_eq!(tracker.take_unreported(&"a".into()), []);
    tracker.note(8, Outcome::Failure, now);
    assert_eq!(tracker.take_unreported(&"a".into()), [delta(8, 0, 1)]);
    assert_eq!(tracker.take_unreported(&"b".into()).len(), 2);
}

#[test]
fn keeper_that_has_just_started_does_not_replace_known_counts() {
    let now = Instant::now();
    let tracker = OutcomeTracker::default();
    for _ in 0..6 {
        tracker.note(7, Outcome::Failure, now);
    }
    let before = tracker.penalty(7, true, now);
    let uninformed = UpstreamSuspect {
        upstream: 7,
        good: 1.0,
        bad: 1.0,
        may_probe: false,
    };
    tracker.merge_suspects(&[uninformed], now);
    assert_eq!(tracker.penalty(7, true, now), before);
    let informed = UpstreamSuspect {
        good: 30.0,
        ..uninformed
    };
    tracker.merge_suspects(&[informed], now);
    assert_eq!(tracker.penalty(7, true, now), Duration::ZERO);
}

#[test]
fn probe_permit_is_used_once_and_expires() {
    let now = Instant::now();
    let tracker = OutcomeTracker::default();
    let suspect = UpstreamSuspect {
        upstream: 7,
        good: 0.0,
        bad: 5.0,
        may_probe: true,
    };
    tracker.merge_suspects(&[suspect], now);
    assert!(tracker.has_probe_permit() && tracker.take_probe_permit(7, now));
    assert!(!tracker.take_probe_permit(7, now));
    tracker.merge_suspects(&[suspect], now);
    assert!(!tracker.take_probe_permit(7, now + 20 * STEP));
}

/// Entries of the simulated deployment; each one sends to the same engine only every few seconds.
const ENTRIES: usize = 80;

/// Engines of the simulated deployment; the first ones fail at once.
const ENGINES: u64 = 60;
const FAILING: u64 = 8;

/// Requests in a tenth of a second, and the number of tenths that are simulated.
const REQUESTS: u32 = 80;
const TENTHS: u32 = 60;

/// Simulates a busy service in which eight engines fail nearly all requests; returns the share of failed requests.
fn failed_share(shared: bool) -> f64 {
    let start = Instant::now();
    let trackers: Vec<OutcomeTracker> = (0..ENTRIES).map(|_| OutcomeTracker::default()).collect();
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
            let tracker = &trackers[(request * 7 + tenth * 13) as usize % ENTRIES];
            let candidates: Vec<Candidate> = (0..ENGINES)
                .map(|engine| Candidate {
                    slots: 24.0,
                    penalty: tracker.penalty(engine, true, now),
                    ..Candidate::default()
                })
                .collect();
            // The draw only has to be evenly distributed and reproducible.
            let draw = f64::from((request * 31 + tenth * 17) % 97) / 97.0;
            let engine = choose_upstream(&candidates, &work, draw).expect("an engine") as u64;
            let outcome = if engine < FAILING {
                failed += 1;
                Outcome::Failure
            } else {
                Outcome::Success
            };
            tracker.note(engine, outcome, now);
        }
        if shared {
            for tracker in &trackers {
                keeper.take(&tracker.take_unreported(&"k".into()), now);
                tracker.merge_suspects(&keeper.suspects(1, now), now);
            }
        }
    }
    f64::from(failed) / f64::from(REQUESTS * TENTHS)
}

#[test]
fn shared_counts_end_failures_that_single_entries_keep_meeting() {
    let alone = failed_share(false);
    let together = failed_share(true);
    assert!(alone > 0.08, "{alone}");
    assert!(together < 0.03, "{together}");
}

#[test]
fn any_order_of_outcomes_gives_valid_shares() {
    fn valid(events: Vec<(u16, u16, u16, u16)>) -> bool {
        let start = Instant::now();
        let mut now = start;
        let mut counts = OutcomeCounts::new(start);
        for (good, bad, recovered, pause) in events {
            now += Duration::from_millis(u64::from(pause));
            let reported = OutcomeDelta {
                upstream: 1,
                good,
                bad,
                recovered,
            };
            counts.add(&reported, now);
        }
        // Counts may also be read with an earlier time.
        let share = counts.failure_share(start);
        let later = counts.failure_share(now + Duration::from_mins(1));
        (0.0..=1.0).contains(&share) && (0.0..0.5).contains(&later)
    }
    quickcheck(valid as fn(Vec<(u16, u16, u16, u16)>) -> bool);
}

#[test]
fn any_reported_counts_give_valid_shares() {
    fn valid(good: f32, bad: f32) -> bool {
        let now = Instant::now();
        let suspect = UpstreamSuspect {
            upstream: 1,
            good,
            bad,
            may_probe: false,
        };
        let share = OutcomeCounts::from_report(&suspect, now).failure_share(now);
        (0.0..=1.0).contains(&share)
    }
    quickcheck(valid as fn(f32, f32) -> bool);
}
