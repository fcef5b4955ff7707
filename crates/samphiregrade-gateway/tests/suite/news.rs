//! What instances hear of revisions beside what their source tells, and when a source is left.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use samphiregrade_gateway::dialect::StoreRevision;
use samphiregrade_gateway::store::{FollowTiming, LagTracker};
use smol_str::{SmolStr, format_smolstr};

/// Time within which an instance has to know a change.
const BOUND: Duration = Duration::from_secs(2);

/// Step of the played time.
const STEP: Duration = Duration::from_millis(10);

/// Time after which each keeper has told something, if only that it is there.
const HEARD_EVERY: Duration = Duration::from_millis(250);

/// Longest time for a call of the key-value service.
const CALL: Duration = Duration::from_millis(100);

const PLAYED: Duration = Duration::from_secs(20);

const KEEPERS: usize = 3;

fn pace() -> FollowTiming {
    FollowTiming::new(BOUND / 4, None)
}

fn name(keeper: usize) -> SmolStr {
    format_smolstr!("keeper-{keeper}")
}

#[test]
fn nobody_is_left_while_nobody_knows_more() {
    let start = Instant::now();
    let mut news = LagTracker::default();
    news.take(7);
    assert!(!news.hear(&name(1), 7, start));
    assert_eq!(news.leave_at(start, BOUND), None);
    assert!(news.hear(&name(1), 9, start));
    news.take(9);
    assert_eq!(news.leave_at(start, BOUND), None);
}

#[test]
fn time_counts_from_the_first_word_of_what_is_missing() {
    let start = Instant::now();
    let later = start + STEP;
    let patience = pace().source_timeout();
    let mut news = LagTracker::default();
    assert!(news.hear(&name(1), 3, start));
    assert!(!news.hear(&name(2), 5, later), "it was behind already");
    assert_eq!(news.leave_at(start, patience), Some(start + patience));
    news.take(3);
    assert_eq!(news.leave_at(start, patience), Some(later + patience));
    assert_eq!(*news.teller(), name(2));
}

#[test]
fn a_source_that_was_just_turned_to_has_its_time() {
    let start = Instant::now();
    let turned = start + BOUND;
    let patience = pace().source_timeout();
    let mut news = LagTracker::default();
    news.hear(&name(1), 3, start);
    assert_eq!(news.leave_at(turned, patience), Some(turned + patience));
}

#[test]
fn a_flood_of_revisions_is_not_forgotten() {
    let start = Instant::now();
    let mut news = LagTracker::default();
    for revision in 1..=1000 {
        news.hear(&name(1), revision, start);
    }
    news.take(900);
    assert_eq!(news.behind_since(), Some(start));
    news.take(1000);
    assert_eq!(news.behind_since(), None);
}

/// Changes of the key-value service, keepers that gather them, and keepers that stop hearing of any.
#[derive(Clone, Debug)]
struct DeafPlay {
    /// Times of changes.
    changes: Vec<Duration>,
    /// How long each keeper takes to learn of a change, by the change's number.
    lags: Vec<[Duration; KEEPERS]>,
    /// When each keeper stops hearing; one of them never does.
    deaf: [Option<Duration>; KEEPERS],
    source: usize,
}

fn time_below(source: &mut Gen, limit: Duration) -> Duration {
    limit.mul_f64(f64::from(u16::arbitrary(source)) / f64::from(u16::MAX))
}

impl Arbitrary for DeafPlay {
    fn arbitrary(source: &mut Gen) -> Self {
        let count = usize::arbitrary(source) % 40;
        let mut changes: Vec<Duration> = (0..count).map(|_| time_below(source, PLAYED)).collect();
        changes.sort_unstable();
        let longest = pace().batch_delay + CALL;
        let lags = changes
            .iter()
            .map(|_| [(); KEEPERS].map(|()| time_below(source, longest)))
            .collect();
        let hears = usize::arbitrary(source) % KEEPERS;
        let mut deaf = [(); KEEPERS].map(|()| {
            let turns_deaf = bool::arbitrary(source);
            turns_deaf.then(|| time_below(source, PLAYED))
        });
        deaf[hears] = None;
        Self {
            changes,
            lags,
            deaf,
            source: usize::arbitrary(source) % KEEPERS,
        }
    }
}

impl DeafPlay {
    /// Returns the revision up to which a keeper knows everything; changes are numbered from one.
    fn known(&self, keeper: usize, now: Duration) -> StoreRevision {
        let mut known = 0;
        for (index, change) in self.changes.iter().enumerate() {
            let learnt = *change + self.lags[index][keeper];
            let heard = self.deaf[keeper].is_none_or(|deaf| learnt < deaf);
            if learnt <= now && heard {
                known = index as StoreRevision + 1;
            }
        }
        known
    }

    /// Returns the newest revision that has to be known.
    fn owed(&self, now: Duration) -> StoreRevision {
        let old = |change: &&Duration| **change + BOUND < now;
        self.changes.iter().filter(old).count() as StoreRevision
    }

    fn holds(&self) -> bool {
        let start = Instant::now();
        let mut news = LagTracker::default();
        let (mut source, mut turned, mut position) = (self.source, start, 0);
        let (mut now, mut next_word) = (Duration::ZERO, Duration::ZERO);
        while now < PLAYED {
            let instant = start + now;
            if now >= next_word {
                next_word = now + HEARD_EVERY;
                for keeper in 0..KEEPERS {
                    news.hear(&name(keeper), self.known(keeper, now), instant);
                }
            }
            position = self.known(source, now).max(position);
            news.take(position);
            let leaves = news.leave_at(turned, pace().source_timeout());
            if leaves.is_some_and(|due| due <= instant) {
                let teller = (0..KEEPERS).find(|&keeper| name(keeper) == *news.teller());
                source = teller.expect("a keeper that told");
                turned = instant;
            }
            if position < self.owed(now) {
                return false;
            }
            now += STEP;
        }
        true
    }
}

quickcheck! {
    // Guards against an instance that stays beyond the bound with a source that no longer hears of changes.
    fn a_change_is_known_in_time_as_long_as_one_keeper_hears_of_it(play: DeafPlay) -> bool {
        play.holds()
    }
}
