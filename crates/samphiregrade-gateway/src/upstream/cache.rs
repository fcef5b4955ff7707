//! Which parts of prompts an engine is thought to have cached, from what was sent there.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::model::PromptPart;

/// Share of an engine's memory that this instance's own view fills at most: the others send there too.
const VIEW_SHARE: f64 = 0.5;

/// Time after which an unused part counts as gone.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Parts that are remembered at most before old ones are looked for.
const PART_LIMIT: usize = 4096;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    used: Instant,
}

/// One engine's cache, as this instance sees it.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    parts: HashMap<u64, CachedPart>,
    tokens: u64,
    /// Share of the engine's memory that the view fills at most.
    share: f64,
}

impl Default for PrefixCache {
    fn default() -> Self {
        Self::with_share(VIEW_SHARE)
    }
}

impl PrefixCache {
    /// Makes an empty view that fills a share of the engine's memory at most.
    #[must_use]
    pub fn with_share(share: f64) -> Self {
        Self {
            parts: HashMap::new(),
            tokens: 0,
            share,
        }
    }

    /// Returns the tokens of the prompt that are not thought to be cached; those of the first part are where the
    /// engine is its home, since others send it there.
    #[must_use]
    pub fn uncached(&self, prompt: &[PromptPart], home: bool, now: Instant) -> u32 {
        let mut uncached = 0;
        let mut whole = true;
        let rest = if home {
            prompt.get(1..).unwrap_or_default()
        } else {
            prompt
        };
        for part in rest {
            let known = self.parts.get(&part.tag).filter(|_| whole);
            let fresh =
                known.filter(|known| now.saturating_duration_since(known.used) < FORGET_AFTER);
            let cached = fresh.map_or(0, |known| known.tokens.min(part.tokens));
            uncached += part.tokens - cached;
            whole &= cached == part.tokens;
        }
        uncached
    }

    /// Notes that an engine has read a prompt.
    pub fn note(&mut self, prompt: &[PromptPart], capacity: u64, now: Instant) {
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
        let most = (capacity as f64 * self.share) as u64;
        if self.tokens > most || self.parts.len() > PART_LIMIT {
            self.forget_oldest(most);
        }
    }

    fn forget_oldest(&mut self, most: u64) {
        let mut by_age: Vec<(Instant, u64)> = self
            .parts
            .iter()
            .map(|(tag, part)| (part.used, *tag))
            .collect();
        by_age.sort_unstable();
        for (_, tag) in by_age {
            // Leave some room, so that this is not done for every request.
            if self.tokens <= most / 8 * 7 && self.parts.len() <= PART_LIMIT / 8 * 7 {
                return;
            }
            if let Some(part) = self.parts.remove(&tag) {
                self.tokens -= u64::from(part.tokens);
            }
        }
    }
}
