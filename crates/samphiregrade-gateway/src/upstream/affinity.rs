//! Affinity of plain requests to upstreams that have recently handled the same object: pure.
//!
//! Handles services whose requests run faster on an upstream that handled the object a short time ago. Each entry sends
//! too few requests to know where the other entries' requests for an object have run, so the preferred upstreams are
//! chosen by hash, identically on all entries. Whether the preference saves time, and how much, is measured.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::homes::HomeRanking;
use crate::mix::hash_pair;

/// Largest gain, as a share of the slot time: requests run faster by up to half.
pub const MAX_GAIN: f64 = 0.5;

/// One object in this many is tried at its homes while no larger gain is known.
const TRIAL_DIVISOR: u64 = 8;

/// The same while measurements show no gain: trials take time where upstreams save none.
const SETTLED_DIVISOR: u64 = 32;

/// Evidence from which on measurements without a gain reduce the trials.
const SETTLED_EVIDENCE: f64 = 24.0;

/// Gain below which measurements show none.
const SETTLED_GAIN: f64 = 0.02;

/// Gain that a trial assumes, as a share of the slot time: more than the usual difference between two upstreams of
/// similar load. A larger one delays requests where there is no gain.
const TRIAL_GAIN: f64 = 0.25;

/// Gain from which on most requests for an object run at its homes, as a share of the slot time: with a smaller one, other
/// differences between upstreams decide, and homes are no more likely to have the object.
const EFFECTIVE_GAIN: f64 = 0.1;

/// Seconds after which other objects are tried, so that each object is tried at times.
const TRIAL_SECONDS: u64 = 20;

/// Seconds after the start of a trial in which its requests aren't measured: the homes receive the objects first.
const WARM_UP_SECONDS: u64 = 2;

/// Share of the requests that are placed without preference although there is a gain, so that there are requests to
/// compare with.
const CONTROL_SHARE: f64 = 1.0 / 16.0;

/// Number of homes of an object, as a multiple of the upstreams that its share of the requests corresponds to. An
/// object that alone takes more than an upstream's mean load has several homes.
const HOME_SPREAD: f64 = 1.5;

/// Half-life of a sample.
const SAMPLE_HALF_LIFE: Duration = Duration::from_secs(30);

/// Evidence below which the gain is 0, as the number of samples at homes if there are many more elsewhere.
const MIN_EVIDENCE: f64 = 6.0;

/// Largest distance of a sample from the mean, in natural logarithms: a request that meets a fault may take seconds.
const MAX_DISTANCE: f64 = 2.0;

/// Number of load bands below the load that fills all slots. Only requests of the same band are compared.
const LOAD_BANDS: f64 = 3.0;

/// Weight below which a stratum is dropped, so that renamed routes are measured.
const MIN_WEIGHT: f64 = 0.01;

/// Largest number of strata; further routes aren't measured.
const STRATUM_LIMIT: usize = 48;

/// Hash of an object's name.
pub type ObjectTag = u64;

/// Seconds since the Unix epoch by the instance's clock. A deviation between instances only mixes two trials for as
/// long.
pub type UnixSeconds = u64;

/// What an upstream is to an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AffinityRole {
    /// Requests for the object prefer the upstream.
    Home,
    /// Requests for the object prefer the upstream if all homes are loaded.
    Spare,
    /// Neither.
    Other,
}

/// How a request for an object is placed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AffinityPlan {
    /// Time that the request is assumed to save at a home, as a share of the slot time.
    pub gain: f64,
    /// Whether the object's homes are likely to have handled the object recently.
    pub is_warm: bool,
}

/// A completed request for an object.
#[derive(Clone, Debug, PartialEq)]
pub struct AffinitySample {
    /// Name of the route: requests of different routes differ in work.
    pub route: SmolStr,
    /// Whether the request ran on an upstream that is likely to have handled the object recently.
    pub is_warm: bool,
    /// Load of the upstream as a share of its slots.
    pub load: f64,
    /// How much longer the same work takes on the upstream than on others, from its speed and contention (1.0 = usual).
    pub slowdown: f64,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

/// Decaying mean of logarithms, with the deviation of the samples from it.
#[derive(Clone, Copy, Debug, Default)]
struct LogMean {
    weight: f64,
    mean: f64,
    square_sum: f64,
}

impl LogMean {
    fn decay(&mut self, factor: f64) {
        self.weight *= factor;
        self.square_sum *= factor;
    }

    fn add(&mut self, sample: f64) {
        self.weight += 1.0;
        if self.weight <= 1.0 {
            self.mean = sample;
            return;
        }
        let distance = (sample - self.mean).clamp(-MAX_DISTANCE, MAX_DISTANCE);
        let step = distance / self.weight;
        self.mean += step;
        self.square_sum += distance * (distance - step);
    }
}

/// Requests that are comparable except for the upstream: of one route, at about the same load.
#[derive(Clone, Debug)]
struct Stratum {
    route: SmolStr,
    band: u8,
    warm: LogMean,
    cold: LogMean,
}

/// Measured gain of a service.
#[derive(Clone, Debug, Default)]
pub struct AffinityGain {
    strata: Vec<Stratum>,
    decayed_at: Option<Instant>,
}

impl AffinityGain {
    /// Adds a sample. A request that may have waited for a slot is ignored: its time says nothing about the work.
    pub fn note(&mut self, sample: &AffinitySample, now: Instant) {
        self.decay(now);
        let logarithm = (sample.total.as_secs_f64() / sample.slowdown).ln();
        let Some(band) = load_band(sample.load).filter(|_| logarithm.is_finite()) else {
            return;
        };
        let same = |stratum: &Stratum| stratum.band == band && stratum.route == sample.route;
        let index = self.strata.iter().position(same).unwrap_or_else(|| {
            self.strata.push(Stratum {
                route: sample.route.clone(),
                band,
                warm: LogMean::default(),
                cold: LogMean::default(),
            });
            self.strata.len() - 1
        });
        let stratum = &mut self.strata[index];
        if sample.is_warm {
            stratum.warm.add(logarithm);
        } else {
            stratum.cold.add(logarithm);
        }
        self.strata.truncate(STRATUM_LIMIT);
    }

    fn decay(&mut self, now: Instant) {
        let since = self.decayed_at.replace(now).unwrap_or(now);
        let age = now.saturating_duration_since(since).as_secs_f64();
        let factor = 0.5_f64.powf(age / SAMPLE_HALF_LIFE.as_secs_f64());
        for stratum in &mut self.strata {
            stratum.warm.decay(factor);
            stratum.cold.decay(factor);
        }
        self.strata
            .retain(|stratum| stratum.warm.weight + stratum.cold.weight >= MIN_WEIGHT);
    }

    /// Returns the evidence for the gain: the effective number of compared samples.
    #[must_use]
    pub fn evidence(&self) -> f64 {
        self.strata.iter().map(Stratum::evidence).sum()
    }

    /// Returns the time that requests save at homes, as a share of the time elsewhere, from 0 to [`MAX_GAIN`].
    ///
    /// The measured difference is reduced by its standard error, so that chance causes no preference.
    #[must_use]
    pub fn share(&self) -> f64 {
        let evidence = self.evidence();
        if evidence < MIN_EVIDENCE {
            return 0.0;
        }
        let (mut difference, mut square_sum, mut weight) = (0.0, 0.0, 0.0);
        for stratum in &self.strata {
            difference += stratum.evidence() * (stratum.cold.mean - stratum.warm.mean);
            square_sum += stratum.cold.square_sum + stratum.warm.square_sum;
            weight += stratum.cold.weight + stratum.warm.weight;
        }
        let error = (square_sum / weight / evidence).sqrt();
        let certain = difference / evidence - 0.5 * error;
        (1.0 - (-certain).exp()).clamp(0.0, MAX_GAIN)
    }

    /// Returns how a request for an object is placed; `draw`, from 0 to 1, selects the requests without preference.
    #[must_use]
    pub fn plan(&self, object: ObjectTag, time: UnixSeconds, draw: f64) -> AffinityPlan {
        let gain = self.share();
        // All entries try the same objects, so that the homes of these soon have them.
        let is_settled = gain < SETTLED_GAIN && self.evidence() >= SETTLED_EVIDENCE;
        let divisor = if is_settled {
            SETTLED_DIVISOR
        } else {
            TRIAL_DIVISOR
        };
        let is_trial = hash_pair(object, time / TRIAL_SECONDS).is_multiple_of(divisor);
        if is_trial && gain < TRIAL_GAIN {
            return AffinityPlan {
                gain: TRIAL_GAIN,
                is_warm: time % TRIAL_SECONDS >= WARM_UP_SECONDS,
            };
        }
        let is_effective = gain >= EFFECTIVE_GAIN;
        let is_control = is_effective && draw < CONTROL_SHARE;
        AffinityPlan {
            gain: if is_control { 0.0 } else { gain },
            is_warm: is_effective && !is_control,
        }
    }
}

impl Stratum {
    fn evidence(&self) -> f64 {
        let both = self.warm.weight + self.cold.weight;
        if both <= 0.0 {
            return 0.0;
        }
        self.warm.weight * self.cold.weight / both
    }
}

/// Returns the band of a load; `None` if requests may have waited for a slot.
#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn load_band(load: f64) -> Option<u8> {
    if !(0.0..1.0).contains(&load) {
        return None;
    }
    Some((load * LOAD_BANDS) as u8)
}

/// Ranks upstreams for an object, by the hashes of their addresses. `share` is the object's share of the requests.
#[must_use]
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss
)]
pub fn rank_for_object(object: ObjectTag, share: f64, upstreams: &[u64]) -> HomeRanking {
    let mut order: Vec<usize> = (0..upstreams.len()).collect();
    order.sort_unstable_by_key(|&index| Reverse(hash_pair(object, upstreams[index])));
    let wanted = (share * upstreams.len() as f64 * HOME_SPREAD) as usize;
    HomeRanking {
        count: wanted.max(1).min(upstreams.len()),
        order,
    }
}

impl HomeRanking {
    /// Returns what the upstream with an index is to the object that the ranking was made for.
    #[must_use]
    pub fn role(&self, index: usize) -> AffinityRole {
        match self.order.iter().position(|&other| other == index) {
            Some(position) if position < self.count => AffinityRole::Home,
            Some(position) if position == self.count => AffinityRole::Spare,
            _ => AffinityRole::Other,
        }
    }
}

/// Returns what to add to the costs of candidates, in milliseconds: `gain` for each one that is not preferred.
///
/// The spare is preferred as well if the homes cost so much more, for their load, speed or failures, that the gain does
/// not outweigh it.
#[must_use]
pub fn surcharges(roles: &[AffinityRole], costs: &[f64], gain: f64) -> Vec<f64> {
    let mut home_cost = f64::INFINITY;
    for (role, &cost) in roles.iter().zip(costs) {
        if *role == AffinityRole::Home {
            home_cost = home_cost.min(cost);
        }
    }
    let surcharge = |(role, &cost): (&AffinityRole, &f64)| match role {
        AffinityRole::Home => 0.0,
        AffinityRole::Spare if home_cost >= cost + gain => 0.0,
        AffinityRole::Spare | AffinityRole::Other => gain,
    };
    roles.iter().zip(costs).map(surcharge).collect()
}
