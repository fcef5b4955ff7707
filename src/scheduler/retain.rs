//! Whether an engine keeps a program's prefix while the program pauses.

use crate::ids::TokenCount;
use crate::scheduler::learn::ClassHistory;

/// Share of a cache that may be held.
const HELD_SHARE: f64 = 0.5;

/// Share of a cache in use below which nothing is put out, so that nothing has to be held.
const PRESSURE_SHARE: f64 = 0.7;

/// Chance of a soon return from which on holding pays.
const RETURN_CHANCE: f64 = 0.4;

/// Cache of an engine as its last report tells.
#[derive(Clone, Copy, Debug, Default)]
pub struct CacheState {
    /// Tokens the cache can hold.
    pub cache_tokens: TokenCount,
    /// Tokens in use.
    pub used_tokens: TokenCount,
    /// Tokens held.
    pub held_tokens: TokenCount,
}

/// Decides whether to hold a prefix of so many tokens.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "token counts are far below 2^52"
)]
pub fn should_hold(history: &ClassHistory, cache: CacheState, tokens: TokenCount) -> bool {
    if cache.cache_tokens == 0 {
        return false;
    }
    let size = cache.cache_tokens as f64;
    let pressed = cache.used_tokens as f64 >= size * PRESSURE_SHARE;
    let fits = (cache.held_tokens + tokens) as f64 <= size * HELD_SHARE;
    pressed && fits && history.return_chance() >= RETURN_CHANCE
}
