//! Estimates the speeds of a service's upstreams from the times of their responses: pure.
//!
//! The expected time of a kind of work is the median over the recent responses of all upstreams of the service, as one
//! keeper received them from all entries. Entries report times, not ratios, so an entry that uses only slow upstreams
//! doesn't regard their times as normal.
//!
//! Delays such as preemption, unreported contention and slow clients lengthen a response and never shorten it. An
//! upstream's time is therefore a mean over the lower half of its responses. The effect of the load is estimated within
//! each upstream and subtracted, because a busy upstream is not a slow one.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use super::speed::SpeedSample;

/// Shortest half-life of a sample's weight: several periods of contention, so that one of them does not decide.
const MIN_HALF_LIFE: Duration = Duration::from_secs(1);

/// Longest half-life, which applies while there are fewer than `WEIGHTED_SAMPLES`.
const MAX_HALF_LIFE: Duration = Duration::from_secs(10);

/// Number of the newest samples whose age determines the half-life: services with one request per second and upstream
/// need a longer one to be judged.
const WEIGHTED_SAMPLES: usize = 16;

/// Half-life as a share of the age of the oldest of these samples; their weights add up to more than ten.
const HALF_LIFE_SHARE: f64 = 0.5;

/// Weight of a sample during reported contention, which may have lasted for a part of the response only: dividing by it
/// makes the time too short by up to the contention.
const CONTENDED_WEIGHT: f64 = 0.25;

/// Maximum number of samples kept for an upstream.
const SAMPLE_LIMIT: usize = 96;

/// Shortest time between two kept samples of an upstream: all kept samples together cover about two seconds, which is
/// several contention periods.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);

/// Age at which samples are dropped.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(30);

/// Total weight of the samples that an estimate needs.
pub(super) const MIN_SAMPLES: f64 = 6.0;

/// Duration of a period, and the number of periods with samples that an estimate needs: the samples of a single
/// contention period must not decide.
const PERIOD: Duration = Duration::from_millis(250);
const MIN_PERIODS: usize = 4;

/// Quantiles between which an upstream's samples are averaged: contention and preemption lengthen up to half of the
/// responses.
const BAND: (f64, f64) = (0.1, 0.5);

/// Standard error of the band's mean, relative to the spread of single samples divided by the square root of their
/// number: 1.3 for samples with a normal distribution.
const BAND_ERROR: f64 = 1.3;

/// Ratio of the standard deviation to the median absolute deviation of a normal distribution.
const DEVIATION_RATIO: f64 = 1.4826;

/// Assumed increase of the time's logarithm for each further request, until the samples show another: engines' steps
/// take 1 to 5 % longer for each further request.
const ASSUMED_LOAD_EFFECT: f64 = 0.03;

/// Weight of the assumed load effect, as a sum of squared deviations of the load.
const ASSUMED_LOAD_WEIGHT: f64 = 50.0;

/// Largest load effect; a larger estimate is caused by preempted requests.
const MAX_LOAD_EFFECT: f64 = 0.08;

/// Largest deviation of a logarithm that counts in the estimate of the load effect.
const MAX_DEVIATION: f64 = 0.5;

/// Number of judged upstreams below which there is no usable median.
const MIN_UPSTREAMS: usize = 4;

#[derive(Clone, Copy, Debug)]
struct KeptSample {
    at: Instant,
    /// Hash of the kind of work.
    work: u32,
    load: f64,
    log_time: f64,
    is_contended: bool,
}

/// Recent samples of one upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct UpstreamSamples {
    kept: VecDeque<KeptSample>,
}

impl UpstreamSamples {
    /// Adds a valid sample, unless the previous one is too recent.
    pub fn add(&mut self, sample: &SpeedSample, now: Instant) {
        let since_last = self.idle_time(now);
        if since_last.is_some_and(|since_last| since_last < SAMPLE_INTERVAL) {
            return;
        }
        if self.kept.len() >= SAMPLE_LIMIT {
            self.kept.pop_front();
        }
        self.kept.push_back(KeptSample {
            at: now,
            work: sample.work,
            load: f64::from(sample.load),
            log_time: f64::from(sample.seconds).ln(),
            is_contended: sample.is_contended,
        });
    }

    /// Drops old samples.
    pub fn expire(&mut self, now: Instant) {
        self.kept
            .retain(|sample| now.saturating_duration_since(sample.at) < SAMPLE_LIFETIME);
    }

    /// Returns the time since the newest sample.
    pub fn idle_time(&self, now: Instant) -> Option<Duration> {
        let newest = self.kept.back()?;
        Some(now.saturating_duration_since(newest.at))
    }

    /// Returns whether the samples come from enough different periods.
    fn cover_enough_periods(&self) -> bool {
        let Some(first) = self.kept.front() else {
            return false;
        };
        let period = |sample: &KeptSample| {
            let since_first = sample.at.saturating_duration_since(first.at);
            since_first.as_millis() / PERIOD.as_millis()
        };
        let mut periods: Vec<u128> = self.kept.iter().map(period).collect();
        periods.dedup();
        periods.len() >= MIN_PERIODS
    }

    fn weights(&self, now: Instant) -> impl Iterator<Item = f64> {
        let half_life = self.half_life(now);
        self.kept.iter().map(move |sample| {
            let age = now.saturating_duration_since(sample.at);
            let weight = 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64());
            if sample.is_contended {
                weight * CONTENDED_WEIGHT
            } else {
                weight
            }
        })
    }

    fn half_life(&self, now: Instant) -> Duration {
        let Some(sample) = self.kept.iter().rev().nth(WEIGHTED_SAMPLES - 1) else {
            return MAX_HALF_LIFE;
        };
        let age = now.saturating_duration_since(sample.at);
        age.mul_f64(HALF_LIFE_SHARE)
            .clamp(MIN_HALF_LIFE, MAX_HALF_LIFE)
    }
}

/// Estimated speed of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct SpeedEstimate {
    /// Logarithm of the upstream's time for the same work, relative to the service's median upstream.
    pub log_slowdown: f64,
    /// Standard error of the logarithm.
    pub error: f64,
    /// Total weight of the samples.
    pub samples: f64,
}

/// An upstream's time before it is compared with the others'.
struct UpstreamTime {
    log_time: f64,
    samples: f64,
}

/// Returns the estimates for the upstreams of one service, in their order; `None` for an upstream with too few samples,
/// and for all if too few upstreams can be compared.
pub(super) fn estimate_speeds(
    upstreams: &[&UpstreamSamples],
    now: Instant,
) -> Vec<Option<SpeedEstimate>> {
    let mut residuals = work_residuals(upstreams);
    let load_effect = load_effect(upstreams, &residuals);
    for (upstream, residuals) in upstreams.iter().zip(&mut residuals) {
        for (sample, residual) in upstream.kept.iter().zip(residuals) {
            *residual -= load_effect * sample.load;
        }
    }
    let mut times = Vec::with_capacity(upstreams.len());
    let mut deviations = Vec::new();
    for (upstream, residuals) in upstreams.iter().zip(&residuals) {
        let time = upstream_time(upstream, residuals, now);
        if let Some(time) = &time {
            deviations.extend(residuals.iter().map(|one| (one - time.log_time).abs()));
        }
        times.push(time);
    }
    let mut log_times: Vec<f64> = times.iter().flatten().map(|time| time.log_time).collect();
    if log_times.len() < MIN_UPSTREAMS {
        return vec![None; upstreams.len()];
    }
    let service_time = median(&mut log_times);
    let spread = median(&mut deviations) * DEVIATION_RATIO;
    let estimate = |time: UpstreamTime| SpeedEstimate {
        log_slowdown: time.log_time - service_time,
        error: BAND_ERROR * spread / time.samples.sqrt(),
        samples: time.samples,
    };
    times.into_iter().map(|time| time.map(estimate)).collect()
}

/// Returns the logarithms of the samples' times, relative to the median of the same kind of work at all upstreams.
fn work_residuals(upstreams: &[&UpstreamSamples]) -> Vec<Vec<f64>> {
    let mut by_work: HashMap<u32, Vec<f64>> = HashMap::new();
    for sample in upstreams.iter().flat_map(|upstream| &upstream.kept) {
        by_work
            .entry(sample.work)
            .or_default()
            .push(sample.log_time);
    }
    let medians: HashMap<u32, f64> = by_work
        .into_iter()
        .map(|(work, mut log_times)| (work, median(&mut log_times)))
        .collect();
    let residual = |sample: &KeptSample| sample.log_time - medians[&sample.work];
    upstreams
        .iter()
        .map(|upstream| upstream.kept.iter().map(residual).collect())
        .collect()
}

/// Returns the increase of a time's logarithm for each further request, from the variation within each upstream:
/// differences between upstreams may be those of their speeds.
fn load_effect(upstreams: &[&UpstreamSamples], residuals: &[Vec<f64>]) -> f64 {
    let mut products = ASSUMED_LOAD_EFFECT * ASSUMED_LOAD_WEIGHT;
    let mut squares = ASSUMED_LOAD_WEIGHT;
    for (upstream, residuals) in upstreams.iter().zip(residuals) {
        if residuals.is_empty() {
            continue;
        }
        let mut loads: Vec<f64> = upstream.kept.iter().map(|sample| sample.load).collect();
        let mean_load = mean(&loads);
        let middle = median(&mut residuals.clone());
        for (load, residual) in loads.drain(..).zip(residuals) {
            let deviation = (residual - middle).clamp(-MAX_DEVIATION, MAX_DEVIATION);
            products += (load - mean_load) * deviation;
            squares += (load - mean_load).powi(2);
        }
    }
    (products / squares).clamp(0.0, MAX_LOAD_EFFECT)
}

/// Returns the weighted mean of an upstream's residuals within the band; `None` if there are too few samples.
fn upstream_time(
    upstream: &UpstreamSamples,
    residuals: &[f64],
    now: Instant,
) -> Option<UpstreamTime> {
    let mut weighted: Vec<(f64, f64)> = residuals
        .iter()
        .copied()
        .zip(upstream.weights(now))
        .collect();
    let samples: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    if samples < MIN_SAMPLES || !upstream.cover_enough_periods() {
        return None;
    }
    weighted.sort_by(|left, right| left.0.total_cmp(&right.0));
    let (lower, upper) = (BAND.0 * samples, BAND.1 * samples);
    let (mut passed, mut sum) = (0.0, 0.0);
    for (residual, weight) in weighted {
        let next = passed + weight;
        let inside = (next.min(upper) - f64::max(passed, lower)).max(0.0);
        sum += residual * inside;
        passed = next;
    }
    Some(UpstreamTime {
        log_time: sum / (upper - lower),
        samples,
    })
}

/// Returns the median of values, the lower one of two; 0 without values.
fn median(values: &mut [f64]) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let middle = (values.len() - 1) / 2;
    *values.select_nth_unstable_by(middle, f64::total_cmp).1
}

#[allow(clippy::cast_precision_loss)]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
