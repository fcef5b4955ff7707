//! Cache retention: decides whether an engine holds a program's prefix while the program pauses.

use crate::ids::TokenCount;
use crate::scheduler::learn::ClassHistory;

/// Maximum share of a cache that may be held.
const MAX_HELD_SHARE: f64 = 0.5;

/// Share of a cache in use below which the engine evicts nothing, so that no prefix has to be held.
const EVICTION_SHARE: f64 = 0.7;

/// Minimum probability of a call within the return window for which holding a prefix is worthwhile.
const MIN_RETURN_CHANCE: f64 = 0.4;

/// Cache state of an engine as of its last report.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheState {
    /// Capacity of the cache in tokens.
    pub cache_tokens: TokenCount,
    /// Tokens in use.
    pub used_tokens: TokenCount,
    /// Tokens of held prefixes.
    pub held_tokens: TokenCount,
}

/// Decides whether to hold a prefix of `tokens` tokens.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn should_hold(history: &ClassHistory, cache: CacheState, tokens: TokenCount) -> bool {
    if cache.cache_tokens == 0 {
        return false;
    }
    let capacity = cache.cache_tokens as f64;
    let is_under_pressure = cache.used_tokens as f64 >= capacity * EVICTION_SHARE;
    let fits = (cache.held_tokens + tokens) as f64 <= capacity * MAX_HELD_SHARE;
    is_under_pressure && fits && history.return_chance() >= MIN_RETURN_CHANCE
}
