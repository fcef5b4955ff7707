//! Speeds of upstreams relative to their service's median upstream, combined by the keepers from the responses that all
//! entries receive: pure.
//!
//! Handles services whose upstreams differ in speed. Where there are many entries, each one sends to an upstream only
//! once in seconds and can't measure its speed by itself.
//!
//! The times are those that upstreams report or, if they report none, response times. Entries report times, and the expected time is formed by each keeper from the times at all upstreams of the service
//! (see `speed_estimate`). It therefore doesn't depend on which upstreams a single entry uses.
//!
//! A verdict needs samples with a total weight of at least six, from four different quarters of a second, and a
//! difference of 3.5 standard errors. With the work of plain requests varying by a factor of three, about a dozen samples
//! show a factor of two and 25 a factor of 1.45. A fifth would need a hundred, which are rarely recent enough.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::contention::REPORT_BOUNDS;
use super::speed_estimate::{MIN_SAMPLES, SpeedEstimate, UpstreamSamples, estimate_speeds};
use crate::model::{UpstreamTag, name_tag};

/// Slowdown above which an upstream is slow, and whose reciprocal bounds the fast ones.
pub(super) const DIFFERENCE_BOUND: f64 = 1.2;

/// Slowdown below which an upstream that differed no longer does; the gap prevents frequent changes.
const RETURN_BOUND: f64 = 1.12;

/// Number of standard errors by which a reported slowdown differs from 1.0: there are dozens of upstreams and several
/// evaluations a second.
const MIN_ERRORS: f64 = 3.5;

/// Bounds of a slowdown.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.25, 8.0);

/// Bounds of a sample's time per unit of work, in seconds.
const TIME_BOUNDS: (f32, f32) = (1e-7, 600.0);

/// Number of generated tokens below which delays of the network, not the engine, determine the time.
const MIN_TOKENS: u32 = 16;

/// Kind of work of the times that upstreams report.
const REPORTED_WORK: &str = "reported";

/// Time between two evaluations of all samples: short compared with the time after which a slow upstream is to be known.
const EVALUATION_INTERVAL: Duration = Duration::from_millis(200);

/// Shortest interval for each upstream in the table, so that the work of evaluations is bounded: above 100 upstreams,
/// evaluations are rarer, and every two seconds with a full table.
const INTERVAL_PER_UPSTREAM: Duration = Duration::from_millis(2);

/// Time for which a verdict is kept without enough samples: a slow upstream receives few requests.
const VERDICT_LIFETIME: Duration = Duration::from_secs(30);

/// Time after which a reported value expires.
const VALUE_LIFETIME: Duration = Duration::from_secs(10);

/// Half-life of the sample count of a reported value when it is compared with that of another keeper.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(3);

/// Share of the samples behind the known value that a report must be based on to replace the value: a keeper that has
/// just started has few.
const MIN_KNOWN_SHARE: f64 = 0.5;

/// Maximum number of upstreams in one reply.
const MAX_REPORTED_UPSTREAMS: usize = 32;

/// Maximum number of upstreams in a table.
pub(super) const UPSTREAM_LIMIT: usize = 1024;

/// Time without a sample after which a full table drops an upstream.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Measured time of a complete, successful response.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpeedSample {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Hash of the service.
    pub service: u32,
    /// Hash of the kind of work: the times of one kind are comparable.
    pub work: u32,
    /// Requests at the upstream, as the response reports them.
    pub load: u16,
    /// Time per unit of work in seconds, without the contention that the response reports.
    pub seconds: f32,
    /// Whether the response reports contention.
    pub is_contended: bool,
}

/// Circumstances of a measured response.
#[derive(Clone, Copy, Debug)]
pub struct SampleSource<'name> {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Name of the service.
    pub service: &'name str,
    /// Requests at the upstream, as the response reports them; 0 if it doesn't.
    pub load: u32,
    /// How much longer work currently takes on the upstream's machine, as the response reports it; 1.0 if it doesn't.
    pub contention: f64,
}

impl SpeedSample {
    /// Returns the sample of a response that reports how long work takes on the upstream's machine, in per cent.
    ///
    /// The figure is the same for all kinds of work and doesn't depend on the load, so that few samples are needed.
    /// Returns `None` for an absurd figure.
    #[must_use]
    pub fn of_report(upstream: UpstreamTag, service: &str, percent: u32) -> Option<Self> {
        let percent = f64::from(percent);
        if percent < REPORT_BOUNDS.0 || percent > REPORT_BOUNDS.1 {
            return None;
        }
        let source = SampleSource {
            upstream,
            service,
            load: 0,
            contention: 1.0,
        };
        Self::new(&source, REPORTED_WORK, percent / 100.0)
    }

    /// Returns the sample of an engine's response; `None` if the response is too short.
    ///
    /// `generation` is the time between the first event and the end, and `tokens` the number generated in it.
    #[must_use]
    pub fn of_engine(source: &SampleSource, generation: Duration, tokens: u32) -> Option<Self> {
        if tokens < MIN_TOKENS {
            return None;
        }
        Self::new(source, "", generation.as_secs_f64() / f64::from(tokens))
    }

    /// Returns the sample of a plain upstream's response to a request of a route.
    #[must_use]
    pub fn of_plain(source: &SampleSource, route: &str, total: Duration) -> Option<Self> {
        Self::new(source, route, total.as_secs_f64())
    }

    #[allow(clippy::cast_possible_truncation)]
    fn new(source: &SampleSource, work: &str, seconds: f64) -> Option<Self> {
        let contention = source
            .contention
            .clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1);
        let sample = Self {
            upstream: source.upstream,
            service: name_tag(source.service) as u32,
            work: name_tag(work) as u32,
            load: u16::try_from(source.load).unwrap_or(u16::MAX),
            seconds: (seconds / contention) as f32,
            is_contended: contention > DIFFERENCE_BOUND,
        };
        sample.is_valid().then_some(sample)
    }

    fn is_valid(&self) -> bool {
        (TIME_BOUNDS.0..=TIME_BOUNDS.1).contains(&self.seconds)
    }
}

/// Samples that an entry reports to a keeper.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SpeedReport {
    /// The samples since the last report to the keeper.
    pub samples: Vec<SpeedSample>,
    /// Whether the reply should contain the upstreams that differ.
    pub wants_speeds: bool,
}

/// Slowdown of an upstream, as reported by a keeper.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamSpeed {
    /// Tag of the upstream's start.
    pub upstream: UpstreamTag,
    /// Time for the same work, relative to the service's median upstream.
    pub slowdown: f32,
    /// Number of samples, after decay.
    pub samples: f32,
}

/// An upstream's slowdown as an entry knows it from reports.
#[derive(Clone, Copy, Debug)]
pub struct KnownSpeed {
    slowdown: f64,
    samples: f64,
    reported: Instant,
}

impl KnownSpeed {
    /// Returns the value that a keeper reported; `None` if it is invalid or based on too few samples.
    #[must_use]
    pub fn from_report(report: &UpstreamSpeed, now: Instant) -> Option<Self> {
        let (slowdown, samples) = (f64::from(report.slowdown), f64::from(report.samples));
        if !slowdown.is_finite() || !samples.is_finite() || samples < MIN_SAMPLES {
            return None;
        }
        Some(Self {
            slowdown: slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1),
            samples,
            reported: now,
        })
    }

    /// Returns whether the value replaces an older one.
    #[must_use]
    pub fn replaces(&self, older: &Self) -> bool {
        let age = self.reported.saturating_duration_since(older.reported);
        let decay = 0.5_f64.powf(age.as_secs_f64() / REPORT_HALF_LIFE.as_secs_f64());
        self.samples >= older.samples * decay * MIN_KNOWN_SHARE
    }

    /// Returns whether the value is too old to be used.
    #[must_use]
    pub fn is_expired(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.reported) >= VALUE_LIFETIME
    }

    /// Returns the slowdown; 1.0 if the value has expired.
    #[must_use]
    pub fn slowdown(&self, now: Instant) -> f64 {
        if self.is_expired(now) {
            return 1.0;
        }
        self.slowdown
    }

    /// Returns whether the reported slowdown differs from the median; a value slightly within the bound of new
    /// verdicts still does.
    #[must_use]
    pub fn differs(&self) -> bool {
        self.slowdown.ln().abs() > RETURN_BOUND.ln()
    }

    /// Returns the number of samples behind the value.
    #[must_use]
    pub fn samples(&self) -> f64 {
        self.samples
    }
}

/// Decision about an upstream.
#[derive(Clone, Copy, Debug)]
struct SpeedVerdict {
    /// 1.0 if the upstream doesn't differ any more.
    slowdown: f64,
    samples: f64,
    confirmed: Instant,
    /// When the upstream was found not to differ any more.
    ended: Option<Instant>,
}

#[derive(Clone, Debug)]
struct UpstreamState {
    service: u32,
    samples: UpstreamSamples,
    verdict: Option<SpeedVerdict>,
}

impl UpstreamState {
    /// Changes the verdict according to a new estimate.
    fn judge(&mut self, estimate: &SpeedEstimate, now: Instant) {
        let difference = estimate.log_slowdown.abs();
        let differed = self.verdict.is_some_and(|verdict| verdict.ended.is_none());
        let differs = if differed {
            difference > RETURN_BOUND.ln()
        } else {
            difference > DIFFERENCE_BOUND.ln().max(MIN_ERRORS * estimate.error)
        };
        if !differs && self.verdict.is_none() {
            return;
        }
        let ended = self.verdict.and_then(|verdict| verdict.ended);
        let slowdown = if differs {
            estimate.log_slowdown.exp()
        } else {
            1.0
        };
        self.verdict = Some(SpeedVerdict {
            slowdown: slowdown.clamp(SLOWDOWN_BOUNDS.0, SLOWDOWN_BOUNDS.1),
            samples: estimate.samples,
            confirmed: now,
            ended: (!differs).then(|| ended.unwrap_or(now)),
        });
    }

    /// Drops a verdict that was not confirmed for long, and one that has ended and that all entries know as ended.
    fn expire(&mut self, now: Instant) {
        let passed = |since: Instant, limit| now.saturating_duration_since(since) >= limit;
        let is_over = self.verdict.is_some_and(|verdict| {
            passed(verdict.confirmed, VERDICT_LIFETIME)
                || verdict
                    .ended
                    .is_some_and(|ended| passed(ended, VALUE_LIFETIME))
        });
        if is_over {
            self.verdict = None;
        }
        self.samples.expire(now);
    }
}

/// Speeds of all upstreams, as combined by a keeper.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    upstreams: HashMap<UpstreamTag, UpstreamState>,
    evaluated: Option<Instant>,
    /// Position in the list of differing upstreams at which the next reply starts.
    next_reported: usize,
}

impl SpeedTable {
    /// Adds the samples that an entry reports.
    pub fn take(&mut self, samples: &[SpeedSample], now: Instant) {
        for sample in samples {
            if !sample.is_valid() || !self.has_room_for(sample.upstream, now) {
                continue;
            }
            self.upstreams
                .entry(sample.upstream)
                .or_insert_with(|| UpstreamState {
                    service: sample.service,
                    samples: UpstreamSamples::default(),
                    verdict: None,
                })
                .samples
                .add(sample, now);
        }
        let count = u32::try_from(self.upstreams.len()).unwrap_or(u32::MAX);
        let interval = EVALUATION_INTERVAL.max(INTERVAL_PER_UPSTREAM * count);
        let is_due = |evaluated| now.saturating_duration_since(evaluated) >= interval;
        if self.evaluated.is_none_or(is_due) {
            self.evaluated = Some(now);
            self.evaluate(now);
        }
    }

    /// Returns upstreams that differ from their service's median by more than a fifth, and those that did until
    /// recently; successive calls return all of them in turn.
    pub fn reports(&mut self) -> Vec<UpstreamSpeed> {
        let mut reports: Vec<UpstreamSpeed> = self
            .upstreams
            .iter()
            .filter_map(|(tag, state)| Some(report(*tag, &state.verdict?)))
            .collect();
        if reports.len() <= MAX_REPORTED_UPSTREAMS {
            return reports;
        }
        reports.sort_by_key(|report| report.upstream);
        let first = self.next_reported % reports.len();
        self.next_reported = first + MAX_REPORTED_UPSTREAMS;
        reports.rotate_left(first);
        reports.truncate(MAX_REPORTED_UPSTREAMS);
        reports
    }

    /// Returns an upstream's slowdown, as of the last evaluation; 1.0 if it isn't known to differ.
    #[must_use]
    pub fn slowdown(&self, upstream: UpstreamTag) -> f64 {
        let state = self.upstreams.get(&upstream);
        let verdict = state.and_then(|state| state.verdict);
        verdict.map_or(1.0, |verdict| verdict.slowdown)
    }

    /// Returns the number of upstreams in the table.
    #[must_use]
    pub fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    fn has_room_for(&mut self, upstream: UpstreamTag, now: Instant) -> bool {
        if self.upstreams.len() < UPSTREAM_LIMIT || self.upstreams.contains_key(&upstream) {
            return true;
        }
        self.upstreams.retain(|_, state| {
            let idle_time = state.samples.idle_time(now);
            idle_time.is_some_and(|idle_time| idle_time < IDLE_LIMIT)
        });
        self.upstreams.len() < UPSTREAM_LIMIT
    }

    fn evaluate(&mut self, now: Instant) {
        let mut services: HashMap<u32, Vec<UpstreamTag>> = HashMap::new();
        for (tag, state) in &mut self.upstreams {
            state.expire(now);
            services.entry(state.service).or_default().push(*tag);
        }
        for tags in services.into_values() {
            let samples: Vec<&UpstreamSamples> = tags
                .iter()
                .map(|tag| &self.upstreams[tag].samples)
                .collect();
            let estimates = estimate_speeds(&samples, now);
            for (tag, estimate) in tags.into_iter().zip(estimates) {
                if let (Some(state), Some(estimate)) = (self.upstreams.get_mut(&tag), estimate) {
                    state.judge(&estimate, now);
                }
            }
        }
        self.upstreams
            .retain(|_, state| state.verdict.is_some() || state.samples.idle_time(now).is_some());
    }
}

#[allow(clippy::cast_possible_truncation)]
fn report(upstream: UpstreamTag, verdict: &SpeedVerdict) -> UpstreamSpeed {
    UpstreamSpeed {
        upstream,
        slowdown: verdict.slowdown as f32,
        samples: verdict.samples as f32,
    }
}
