//! Estimate of the prompt parts that an engine has cached, derived from the prompts that were sent to the engine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::PromptPart;

/// Largest share of an engine's memory that this instance's own view assumes to be in use: other instances send prompts
/// to the engine, too.
const OWN_VIEW_SHARE: f64 = 0.5;

/// Time after which an unused part counts as evicted.
const EVICT_AFTER: Duration = Duration::from_secs(30);

/// Number of tracked parts above which the oldest ones are dropped.
const PART_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: Instant,
}

/// This instance's estimate of one engine's cache.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
    /// Largest share of the engine's memory that the view fills.
    share: f64,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self::with_share(OWN_VIEW_SHARE)
    }
}

impl PrefixCache {
    /// Returns an empty view that fills at most a share of the engine's memory.
    #[must_use]
    pub fn with_share(share: f64) -> Self {
        Self {
            parts: HashMap::new(),
            tokens: 0,
            share,
        }
    }

    /// Returns the number of prompt tokens that are estimated not to be cached.
    ///
    /// If the engine is a home of the prompt's shared prefix, the prefix counts as cached, since other instances send
    /// it there.
    #[must_use]
    pub fn uncached(&self, prompt: &[PromptPart], home: bool, now: Instant) -> u32 {
        let mut uncached = 0;
        let mut unbroken = true;
        let remaining = if home {
            prompt.get(1..).unwrap_or_default()
        } else {
            prompt
        };
        for part in remaining {
            let known = self.parts.get(&part.tag).filter(|_| unbroken);
            let fresh =
                known.filter(|known| now.saturating_duration_since(known.used) < EVICT_AFTER);
            let cached = fresh.map_or(0, |known| known.tokens.min(part.tokens));
            uncached += part.tokens - cached;
            unbroken &= cached == part.tokens;
        }
        uncached
    }

    /// Records that the engine has processed a prompt.
    pub fn record(&mut self, prompt: &[PromptPart], capacity: u64, now: Instant) {
        for part in prompt {
            let known = self.parts.insert(
                part.tag,
                CachedPart {
                    tokens: part.tokens,
                    used: now,
                },
            );
            self.tokens += u64::from(part.tokens);
            self.tokens -= known.map_or(0, |known| u64::from(known.tokens));
        }
        #[allow(
            clippy::cast_possible_truncation,
            clippy::cast_precision_loss,
            clippy::cast_sign_loss
        )]
        let max_tokens = (capacity as f64 * self.share) as u64;
        if self.tokens > max_tokens || self.parts.len() > PART_LIMIT {
            self.evict_oldest(max_tokens);
        }
    }

    fn evict_oldest(&mut self, max_tokens: u64) {
        let mut by_age: Vec<(Instant, u64)> = self
            .parts
            .iter()
            .map(|(tag, part)| (part.used, *tag))
            .collect();
        by_age.sort_unstable();
        for (_, tag) in by_age {
            // Evicts down to 7/8 of the limits, so that the next requests don't evict again.
            if self.tokens <= max_tokens / 8 * 7 && self.parts.len() <= PART_LIMIT / 8 * 7 {
                return;
            }
            if let Some(part) = self.parts.remove(&tag) {
                self.tokens -= u64::from(part.tokens);
            }
        }
    }
}
