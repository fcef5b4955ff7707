//! An entry's knowledge of the upstreams' speeds: queues its samples for the keepers, and holds the slowdowns that
//! keepers report.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::speed::{
    DIFFERENCE_BOUND, KnownSpeed, SpeedReport, SpeedSample, UPSTREAM_LIMIT, UpstreamSpeed,
};
use crate::hold::lock_ignoring_poison;
use crate::model::UpstreamTag;
use crate::observe::Logbook;

/// Maximum number of queued samples.
const UNREPORTED_LIMIT: usize = 128;

/// Maximum number of samples in one report.
const MESSAGE_LIMIT: usize = 16;

/// Age at which a queued sample is no longer reported.
const MAX_SAMPLE_AGE: Duration = Duration::from_secs(2);

/// Limit of the samples that are noted.
const NOTED_SAMPLES: SampleBudget = SampleBudget::new(Duration::from_millis(25), 20);

/// Limit of the samples that are sent: each one takes about 25 bytes, so all keepers together cost at most 5 KB/s,
/// however many they are.
const SENT_SAMPLES: SampleBudget = SampleBudget::new(Duration::from_millis(5), 100);

/// Time between two requests for speeds: with 17 differing upstreams, the replies take about 1.5 KB/s.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Number of keepers whose report positions are remembered.
const KEEPER_LIMIT: usize = 64;

type SampleNumber = u64;

/// Limits the mean rate of samples.
#[derive(Clone, Copy, Debug)]
struct SampleBudget {
    /// Shortest mean time between two samples.
    interval: Duration,
    /// Number of samples that may follow each other at once.
    burst: u32,
    /// Time up to which the permitted rate is used up.
    used_up_to: Option<Instant>,
}

impl SampleBudget {
    const fn new(interval: Duration, burst: u32) -> Self {
        Self {
            interval,
            burst,
            used_up_to: None,
        }
    }

    /// Returns whether one more sample is permitted, and counts it.
    fn admit(&mut self, now: Instant) -> bool {
        let used_up_to = self.used_up_to.map_or(now, |time| time.max(now));
        if used_up_to >= now + self.interval * self.burst {
            return false;
        }
        self.used_up_to = Some(used_up_to + self.interval);
        true
    }
}

#[derive(Debug)]
struct BoardState {
    known: HashMap<UpstreamTag, KnownSpeed>,
    unreported: VecDeque<(Instant, SpeedSample)>,
    /// Sequence number of the next sample.
    next_number: SampleNumber,
    /// Sequence number up to which samples were reported to each keeper.
    reported: HashMap<SmolStr, SampleNumber>,
    noted: SampleBudget,
    sent: SampleBudget,
    last_request: Option<Instant>,
}

#[derive(Serialize)]
struct SpeedLine {
    upstream_tag: String,
    slowdown: f64,
    samples: f64,
}

/// Speeds of upstreams; each entry has one instance.
#[derive(Debug, Default)]
pub struct SpeedBoard {
    state: Mutex<BoardState>,
}

impl SpeedBoard {
    /// Records the sample of a response, unless there are too many.
    pub fn note(&self, sample: SpeedSample, now: Instant) {
        let mut state = lock_ignoring_poison(&self.state);
        if !state.noted.admit(now) {
            return;
        }
        state.next_number += 1;
        state.unreported.push_back((now, sample));
        if state.unreported.len() > UNREPORTED_LIMIT {
            state.unreported.pop_front();
        }
    }

    /// Returns the samples that were not reported to a keeper yet, and marks them as reported. `may_request` is set if
    /// the keeper's reply can contain speeds.
    #[must_use]
    pub fn take_report(&self, keeper: &SmolStr, may_request: bool, now: Instant) -> SpeedReport {
        let mut state = lock_ignoring_poison(&self.state);
        if state.reported.len() >= KEEPER_LIMIT {
            state.reported.clear();
        }
        let next_number = state.next_number;
        let reported = state.reported.insert(keeper.clone(), next_number);
        let pending = next_number - reported.unwrap_or(0);
        let limit =
            usize::try_from(pending).map_or(MESSAGE_LIMIT, |count| count.min(MESSAGE_LIMIT));
        let is_recent = |noted| now.saturating_duration_since(noted) < MAX_SAMPLE_AGE;
        let BoardState {
            unreported, sent, ..
        } = &mut *state;
        let newest = unreported.iter().rev().take(limit);
        let samples = newest
            .filter(|(noted, _)| is_recent(*noted) && sent.admit(now))
            .map(|(_, sample)| *sample)
            .collect();
        SpeedReport {
            samples,
            wants_speeds: may_request && state.begin_request(now),
        }
    }

    /// Merges the speeds that a keeper reports.
    pub fn merge_speeds(&self, speeds: &[UpstreamSpeed], now: Instant) {
        if speeds.is_empty() {
            return;
        }
        let mut state = lock_ignoring_poison(&self.state);
        for speed in speeds {
            let Some(reported) = KnownSpeed::from_report(speed, now) else {
                continue;
            };
            state.merge(speed.upstream, reported, now);
        }
    }

    /// Returns how much longer an upstream takes for the same work than the median upstream of its service; 1.0 if it
    /// is not known.
    #[must_use]
    pub fn slowdown(&self, upstream: UpstreamTag, now: Instant) -> f64 {
        let state = lock_ignoring_poison(&self.state);
        let known = state.known.get(&upstream);
        known.map_or(1.0, |known| known.slowdown(now))
    }

    /// Returns the number of upstreams that are slower than their service's median by more than a fifth.
    #[must_use]
    pub fn slow_count(&self, now: Instant) -> usize {
        let state = lock_ignoring_poison(&self.state);
        let slowdowns = state.known.values().map(|known| known.slowdown(now));
        slowdowns
            .filter(|slowdown| *slowdown > DIFFERENCE_BOUND)
            .count()
    }

    /// Drops expired values and the values of upstreams that are not known any more.
    pub fn keep_only<Choice>(&self, known: Choice, now: Instant)
    where
        Choice: Fn(UpstreamTag) -> bool,
    {
        let mut state = lock_ignoring_poison(&self.state);
        state.known.retain(|tag, speed| {
            if !known(*tag) {
                return false;
            }
            if !speed.is_expired(now) {
                return true;
            }
            if speed.differs() {
                log_speed(*tag, 1.0, 0.0);
            }
            false
        });
    }
}

impl Default for BoardState {
    fn default() -> Self {
        Self {
            known: HashMap::new(),
            unreported: VecDeque::new(),
            next_number: 0,
            reported: HashMap::new(),
            noted: NOTED_SAMPLES,
            sent: SENT_SAMPLES,
            last_request: None,
        }
    }
}

impl BoardState {
    fn begin_request(&mut self, now: Instant) -> bool {
        let is_due = |last| now.saturating_duration_since(last) >= REQUEST_INTERVAL;
        if !self.last_request.is_none_or(is_due) {
            return false;
        }
        self.last_request = Some(now);
        true
    }

    /// Takes over a reported value, and logs if this changes whether the upstream differs from the median.
    fn merge(&mut self, upstream: UpstreamTag, reported: KnownSpeed, now: Instant) {
        let known = self.known.get(&upstream);
        if known.is_some_and(|known| !reported.replaces(known)) {
            return;
        }
        if known.is_none() && self.known.len() >= UPSTREAM_LIMIT {
            return;
        }
        let differed = known.is_some_and(KnownSpeed::differs);
        if differed != reported.differs() {
            log_speed(upstream, reported.slowdown(now), reported.samples());
        }
        self.known.insert(upstream, reported);
    }
}

fn log_speed(upstream: UpstreamTag, slowdown: f64, samples: f64) {
    let line = SpeedLine {
        upstream_tag: format!("{upstream:016x}"),
        slowdown,
        samples,
    };
    Logbook::global().record("upstream-speed", &line);
}
