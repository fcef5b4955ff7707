//! Which engines are the homes of a shared first part of prompts, the same for all entries without a word
//! between them: pure.
//!
//! Answers the pattern of many entries that send prompts with a few long first parts to engines that can't
//! hold all of these: each entry sees too few requests to know what the others have sent where, so every
//! engine is sent every first part and none stays cached. Homes are drawn by hash, as many for each part as
//! its share of the requests needs.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::SliceRandom;

use crate::mix::hash_pair;

/// Time after which an earlier request counts half: a burst of one kind of prompt is noticed within seconds.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(8);

/// Least homes for each engine that a part's share comes to: room for uneven load.
const LEAST_SPREAD: f64 = 1.5;

/// Most homes for each engine that a part's share comes to. With three times the least, a doubled burst on 49 engines
/// puts 1.2 times the mean on the busiest one, in place of 1.3.
const MOST_SPREAD: f64 = 4.5;

/// Share of an engine's memory that first parts may fill: the programs' own parts and what runs need the rest.
const MEMORY_SHARE: f64 = 0.3;

/// Least homes of a part: one may be lost.
const LEAST_HOMES: usize = 2;

/// Parts that are counted at most; a part that is the program's own is seen once or twice and forgotten.
const PART_LIMIT: usize = 512;

/// Share below which a part has no homes: it is a program's own.
const LEAST_SHARE: f64 = 0.01;

#[derive(Debug, Default)]
struct PartCounts {
    counts: HashMap<u64, f64>,
    total: f64,
    faded: Option<Instant>,
}

/// How often first parts of prompts are seen.
#[derive(Debug, Default)]
pub struct PrefixShares {
    state: Mutex<PartCounts>,
}

impl PrefixShares {
    /// Counts a request; returns its first part's share of the requests.
    pub fn count(&self, part: u64, now: Instant) -> f64 {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.fade(now);
        state.total += 1.0;
        let count = state.counts.entry(part).or_default();
        *count += 1.0;
        *count / state.total
    }
}

impl PartCounts {
    /// Lets earlier requests count less, once a second.
    fn fade(&mut self, now: Instant) {
        let since = *self.faded.get_or_insert(now);
        let age = now.saturating_duration_since(since);
        if age < Duration::from_secs(1) && self.counts.len() < PART_LIMIT {
            return;
        }
        let factor = 0.5_f64.powf(age.as_secs_f64() / COUNT_HALF_LIFE.as_secs_f64());
        self.faded = Some(now);
        for count in self.counts.values_mut() {
            *count *= factor;
        }
        self.counts.retain(|_, count| *count >= 0.5);
        self.total *= factor;
    }
}

/// Engines in the order in which they are homes of a part.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct HomeRanking {
    /// Indices of the engines, the first home first.
    pub order: Vec<usize>,
    /// How many of them are homes.
    pub count: usize,
}

impl HomeRanking {
    /// Returns the indices of the homes.
    #[must_use]
    pub fn homes(&self) -> &[usize] {
        &self.order[..self.count]
    }

    /// Draws some of the homes, and returns them with the engines that come next in the order.
    pub fn sample<Source>(mut self, homes: usize, spares: usize, source: &mut Source) -> Vec<usize>
    where
        Source: Rng,
    {
        let mut sample = self.order.split_off(self.count);
        sample.truncate(spares);
        let (drawn, _) = self.order.partial_shuffle(source, homes);
        sample.extend_from_slice(drawn);
        sample
    }
}

/// A first part of prompts that needs homes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SharedPrefix {
    /// Its tag.
    pub tag: u64,
    /// Its tokens.
    pub tokens: u32,
    /// Its share of the requests.
    pub share: f64,
    /// Tokens that an engine's memory holds.
    pub capacity: u64,
}

impl SharedPrefix {
    /// Returns the homes for each engine that the part's share comes to: as many as engines' memory allows, so that load
    /// can be spread.
    #[allow(clippy::cast_precision_loss)]
    fn spread(&self) -> f64 {
        let room = self.capacity as f64 * MEMORY_SHARE;
        (room / f64::from(self.tokens.max(1))).clamp(LEAST_SPREAD, MOST_SPREAD)
    }

    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    fn wanted_homes(&self, engines: usize) -> usize {
        if self.share < LEAST_SHARE {
            return 0;
        }
        let wanted = (engines as f64 * self.share * self.spread()).ceil() as usize;
        wanted.clamp(LEAST_HOMES.min(engines), engines)
    }
}

/// Ranks engines as homes of a part; a part with too small a share of the requests has none.
#[must_use]
pub fn rank_homes(part: &SharedPrefix, engines: &[u64]) -> HomeRanking {
    let mut order: Vec<usize> = (0..engines.len()).collect();
    order.sort_unstable_by_key(|&index| std::cmp::Reverse(hash_pair(part.tag, engines[index])));
    HomeRanking {
        count: part.wanted_homes(engines.len()),
        order,
    }
}
