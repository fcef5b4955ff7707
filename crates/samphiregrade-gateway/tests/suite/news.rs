//! Tests of the detection of sources that lag behind the revisions reported by other keepers.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use samphiregrade_gateway::dialect::StoreRevision;
use samphiregrade_gateway::store::{FollowTiming, LagTracker};
use smol_str::{SmolStr, format_smolstr};

/// Time limit within which an instance must know a change.
const TIME_LIMIT: Duration = Duration::from_secs(2);

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);

/// Interval of the keepers' replies, at least to probes.
const REPLY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum duration of a call of the key-value service.
const CALL_TIME: Duration = Duration::from_millis(100);

const SIMULATED_TIME: Duration = Duration::from_secs(20);

const KEEPERS: usize = 3;

fn timing() -> FollowTiming {
    FollowTiming::new(TIME_LIMIT / 4, None)
}

fn name(keeper: usize) -> SmolStr {
    format_smolstr!("keeper-{keeper}")
}

#[test]
fn no_source_is_stale_without_a_newer_revision() {
    let start = Instant::now();
    let mut tracker = LagTracker::default();
    tracker.advance(7);
    assert!(!tracker.record(&name(1), 7, start));
    assert_eq!(tracker.stale_at(start, TIME_LIMIT), None);
    assert!(tracker.record(&name(1), 9, start));
    tracker.advance(9);
    assert_eq!(tracker.stale_at(start, TIME_LIMIT), None);
}

#[test]
fn timeout_counts_from_the_first_report_of_a_missing_revision() {
    let start = Instant::now();
    let later = start + STEP;
    let timeout = timing().source_timeout();
    let mut tracker = LagTracker::default();
    assert!(tracker.record(&name(1), 3, start));
    assert!(!tracker.record(&name(2), 5, later), "it lagged already");
    assert_eq!(tracker.stale_at(start, timeout), Some(start + timeout));
    tracker.advance(3);
    assert_eq!(tracker.stale_at(start, timeout), Some(later + timeout));
    assert_eq!(*tracker.reporter(), name(2));
}

#[test]
fn newly_followed_source_has_the_whole_timeout() {
    let start = Instant::now();
    let followed_since = start + TIME_LIMIT;
    let timeout = timing().source_timeout();
    let mut tracker = LagTracker::default();
    tracker.record(&name(1), 3, start);
    assert_eq!(
        tracker.stale_at(followed_since, timeout),
        Some(followed_since + timeout)
    );
}

#[test]
fn revisions_beyond_the_limit_are_not_lost() {
    let start = Instant::now();
    let mut tracker = LagTracker::default();
    for revision in 1..=1000 {
        tracker.record(&name(1), revision, start);
    }
    tracker.advance(900);
    assert_eq!(tracker.lagging_since(), Some(start));
    tracker.advance(1000);
    assert_eq!(tracker.lagging_since(), None);
}

/// A simulation of changes of the key-value service, keepers that batch them, and keepers that stop receiving any.
#[derive(Clone, Debug)]
struct LagSimulation {
    /// Times of changes.
    changes: Vec<Duration>,
    /// Delay with which each keeper receives a change, by the change's number.
    lags: Vec<[Duration; KEEPERS]>,
    /// When each keeper stops receiving changes; one of them never does.
    stops_at: [Option<Duration>; KEEPERS],
    source: usize,
}

fn time_below(source: &mut Gen, limit: Duration) -> Duration {
    limit.mul_f64(f64::from(u16::arbitrary(source)) / f64::from(u16::MAX))
}

impl Arbitrary for LagSimulation {
    fn arbitrary(source: &mut Gen) -> Self {
        let count = usize::arbitrary(source) % 40;
        let mut changes: Vec<Duration> = (0..count)
            .map(|_| time_below(source, SIMULATED_TIME))
            .collect();
        changes.sort_unstable();
        let longest = timing().batch_delay + CALL_TIME;
        let lags = changes
            .iter()
            .map(|_| [(); KEEPERS].map(|()| time_below(source, longest)))
            .collect();
        let always_receives = usize::arbitrary(source) % KEEPERS;
        let mut stops_at = [(); KEEPERS].map(|()| {
            let stops = bool::arbitrary(source);
            stops.then(|| time_below(source, SIMULATED_TIME))
        });
        stops_at[always_receives] = None;
        Self {
            changes,
            lags,
            stops_at,
            source: usize::arbitrary(source) % KEEPERS,
        }
    }
}

impl LagSimulation {
    /// Returns the revision up to which a keeper knows all changes; changes are numbered from one.
    fn known(&self, keeper: usize, now: Duration) -> StoreRevision {
        let mut known = 0;
        for (index, change) in self.changes.iter().enumerate() {
            let received_at = *change + self.lags[index][keeper];
            let is_received = self.stops_at[keeper].is_none_or(|stops_at| received_at < stops_at);
            if received_at <= now && is_received {
                known = index as StoreRevision + 1;
            }
        }
        known
    }

    /// Returns the newest revision that must be known by now.
    fn required_revision(&self, now: Duration) -> StoreRevision {
        let is_due = |change: &&Duration| **change + TIME_LIMIT < now;
        self.changes.iter().filter(is_due).count() as StoreRevision
    }

    fn invariant_holds(&self) -> bool {
        let start = Instant::now();
        let mut tracker = LagTracker::default();
        let (mut source, mut followed_since, mut position) = (self.source, start, 0);
        let (mut now, mut next_reply) = (Duration::ZERO, Duration::ZERO);
        while now < SIMULATED_TIME {
            let instant = start + now;
            if now >= next_reply {
                next_reply = now + REPLY_INTERVAL;
                for keeper in 0..KEEPERS {
                    tracker.record(&name(keeper), self.known(keeper, now), instant);
                }
            }
            position = self.known(source, now).max(position);
            tracker.advance(position);
            let stale_at = tracker.stale_at(followed_since, timing().source_timeout());
            if stale_at.is_some_and(|stale_at| stale_at <= instant) {
                let reporter = (0..KEEPERS).find(|&keeper| name(keeper) == *tracker.reporter());
                source = reporter.expect("a keeper that reported");
                followed_since = instant;
            }
            if position < self.required_revision(now) {
                return false;
            }
            now += STEP;
        }
        true
    }
}

quickcheck! {
    // Guards against an instance that follows a source beyond the time limit although the source no longer receives
    // changes.
    fn change_is_known_in_time_if_one_keeper_receives_it(simulation: LagSimulation) -> bool {
        simulation.invariant_holds()
    }
}
