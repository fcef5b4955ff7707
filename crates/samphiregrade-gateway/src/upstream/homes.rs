//! Assigns home engines to shared prompt prefixes, identically on all entries without coordination: pure.
//!
//! Handles many entries that send prompts with a few long shared prefixes to engines that can't cache all of these.
//! Each entry sees too few requests to know which prefixes the other entries have sent to which engine, so every engine
//! would receive every prefix and none would stay cached. Homes are selected by hash; their number for each prefix
//! follows from the prefix's share of the requests.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::SliceRandom;

use super::balance::SLOW_UPSTREAM;
use crate::mix::hash_pair;

/// Half-life of a counted request: a burst of one kind of prompt takes effect within seconds.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(8);

/// Interval between two decays.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Lower bound for the number of homes of a prefix, as a multiple of the engines that its share of the requests
/// corresponds to: headroom for uneven load.
const MIN_SPREAD: f64 = 1.5;

/// Upper bound for the number of homes of a prefix, as a multiple of the engines that its share of the requests
/// corresponds to. With three times the lower bound, a doubled burst on 49 engines puts 1.2 times the mean load on the
/// busiest one, instead of 1.3 times.
const MAX_SPREAD: f64 = 4.5;

/// Share of an engine's memory that shared prefixes may fill: the remaining prompt parts of programs and running
/// requests need the rest.
const MEMORY_SHARE: f64 = 0.3;

/// Minimum number of homes of a prefix, so that one engine may fail.
const MIN_HOMES: usize = 2;

/// Maximum number of counted prefixes; a prefix that only one program uses is seen once or twice and dropped.
const PREFIX_LIMIT: usize = 512;

/// Share of the requests below which a prefix has no homes: only one program uses it.
const MIN_SHARE: f64 = 0.01;

#[derive(Debug, Default)]
struct PrefixCounts {
    counts: HashMap<u64, f64>,
    total: f64,
    decayed_at: Option<Instant>,
}

/// Counts how often each prompt prefix occurs.
#[derive(Debug, Default)]
pub struct PrefixShares {
    state: Mutex<PrefixCounts>,
}

impl PrefixShares {
    /// Counts a request; returns its prefix's share of all requests.
    pub fn count(&self, prefix: u64, now: Instant) -> f64 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.decay(now);
        if state.counts.len() >= PREFIX_LIMIT && !state.counts.contains_key(&prefix) {
            state.drop_rarest();
        }
        state.total += 1.0;
        let count = state.counts.entry(prefix).or_default();
        *count += 1.0;
        *count / state.total
    }

    /// Counts a request; returns its prefix's share of all requests, or 0 while the prefix has been counted less than
    /// `minimum` times: the share of the first few requests says nothing.
    pub fn count_frequent(&self, prefix: u64, minimum: f64, now: Instant) -> f64 {
        let share = self.count(prefix, now);
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let is_frequent = state
            .counts
            .get(&prefix)
            .is_some_and(|count| *count >= minimum);
        if is_frequent { share } else { 0.0 }
    }

    /// Returns the number of counted prefixes.
    #[must_use]
    pub fn tracked(&self) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.counts.len()
    }
}

impl PrefixCounts {
    /// Decays the counts of earlier requests, once in each interval.
    fn decay(&mut self, now: Instant) {
        let since = *self.decayed_at.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        if age < DECAY_INTERVAL {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64());
        self.decayed_at = Some(now);
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.counts.retain(|_, count| *count >= 0.5);
        self.total *= factor;
    }

    /// Drops the rarer half of the prefixes, and those that are as rare as the most frequent one among them.
    fn drop_rarest(&mut self) {
        let mut counts: Vec<f64> = self.counts.values().copied().collect();
        let middle = counts.len() / 2;
        let (_, bound, _) = counts.select_nth_unstable_by(middle, f64::total_cmp);
        let bound = *bound;
        self.counts.retain(|_, count| *count > bound);
    }
}

/// Engines in the order in which they are homes of a prefix.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeRanking {
    /// Indices of the engines; the homes come first.
    pub order: Vec<usize>,
    /// Number of engines at the start of `order` that are homes.
    pub count: usize,
}

impl HomeRanking {
    /// Returns the indices of the homes.
    #[must_use]
    pub fn homes(&self) -> &[usize] {
        &self.order[..self.count]
    }

    /// Ranks slow engines after all others; they are homes only if there are too few others for the minimum number.
    /// `slowdown` returns an engine's slowdown by its index.
    #[must_use]
    pub fn with_slow_last<Slowdown>(mut self, slowdown: Slowdown) -> Self
    where
        Slowdown: Fn(usize) -> f64,
    {
        let is_slow = |index: &usize| slowdown(*index) > SLOW_UPSTREAM;
        self.order.sort_by_key(is_slow);
        let others = self.order.partition_point(|index| !is_slow(index));
        self.count = self.count.min(others.max(MIN_HOMES));
        self
    }

    /// Returns up to `spares` engines that follow the homes in the order, and up to `homes` randomly selected homes.
    pub fn sample<Source>(mut self, homes: usize, spares: usize, source: &mut Source) -> Vec<usize>
    where
        Source: Rng,
    {
        let mut sample = self.order.split_off(self.count);
        sample.truncate(spares);
        let (selected, _) = self.order.partial_shuffle(source, homes);
        sample.extend_from_slice(selected);
        sample
    }
}

/// A shared prompt prefix that needs homes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedPrefix {
    /// Hash of the prefix's id.
    pub tag: u64,
    /// Tokens of the prefix.
    pub tokens: u32,
    /// The prefix's share of the requests.
    pub share: f64,
    /// Tokens that an engine's memory holds.
    pub capacity: u64,
}

impl SharedPrefix {
    /// Returns the number of homes as a multiple of the engines that the prefix's share of the requests corresponds to:
    /// as many as the engines' memory allows, so that load can be spread.
    #[allow(clippy::cast_precision_loss)]
    fn spread(&self) -> f64 {
        let room = self.capacity as f64 * MEMORY_SHARE;
        (room / f64::from(self.tokens.max(1))).clamp(MIN_SPREAD, MAX_SPREAD)
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn wanted_homes(&self, engines: usize) -> usize {
        if self.share < MIN_SHARE {
            return 0;
        }
        let wanted = (engines as f64 * self.share * self.spread()).ceil() as usize;
        wanted.clamp(MIN_HOMES.min(engines), engines)
    }
}

/// Ranks engines as homes of a prefix. A prefix with too small a share of the requests has no homes.
#[must_use]
pub fn rank_homes(prefix: &SharedPrefix, engines: &[u64]) -> HomeRanking {
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_unstable_by_key(|&index| std::cmp::Reverse(hash_pair(prefix.tag, engines[index])));
    HomeRanking {
        count: prefix.wanted_homes(engines.len()),
        order,
    }
}
