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

/// Time after which an earlier request counts half: a burst of one kind of prompt is noticed within seconds.
const COUNT_HALF_LIFE: Duration = Duration::from_secs(8);

/// Homes for each engine that a part's share comes to: room for uneven load. More homes were worse where
/// engines' memory is short (docs/design/deployment.md has the figures).
const SPREAD: f64 = 1.5;

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
pub struct FirstParts {
    state: Mutex<PartCounts>,
}

impl FirstParts {
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

/// Returns for each engine whether it is a home of the part.
#[must_use]
pub fn homes(part: u64, share: f64, engines: &[u64]) -> Vec<bool> {
    if share < LEAST_SHARE {
        return vec![false; engines.len()];
    }
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss
    )]
    let wanted = (engines.len() as f64 * share * SPREAD).ceil() as usize;
    let mut ranked: Vec<usize> = (0..engines.len()).collect();
    ranked.sort_unstable_by_key(|&index| std::cmp::Reverse(mix(part, engines[index])));
    let mut chosen = vec![false; engines.len()];
    for index in ranked.into_iter().take(wanted.max(LEAST_HOMES)) {
        chosen[index] = true;
    }
    chosen
}

/// Mixes two numbers (the finisher of splitmix64, public domain).
fn mix(part: u64, engine: u64) -> u64 {
    let mut value = part ^ engine.rotate_left(32);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
