//! Cache of the chains of turns that this instance completed: the history that the next turn of a session needs.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};

use bytes::Bytes;

use crate::model::TurnId;

#[derive(Default)]
struct CacheState {
    chains: HashMap<TurnId, Bytes>,
    order: VecDeque<TurnId>,
    bytes: usize,
}

/// A bounded cache of complete chains that evicts the oldest first.
pub struct TurnCache {
    state: Mutex<CacheState>,
    limit: usize,
}

impl TurnCache {
    /// Creates a cache of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            state: Mutex::default(),
            limit,
        }
    }

    /// Stores the chain that ends with a turn, and evicts the oldest chains beyond the limit.
    pub fn insert(&self, turn: &TurnId, chain: Bytes) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.bytes += chain.len();
        match state.chains.insert(turn.clone(), chain) {
            Some(replaced) => state.bytes -= replaced.len(),
            None => state.order.push_back(turn.clone()),
        }
        while state.bytes > self.limit {
            let Some(oldest) = state.order.pop_front() else {
                return;
            };
            let evicted = state.chains.remove(&oldest).map_or(0, |chain| chain.len());
            state.bytes -= evicted;
        }
    }

    /// Returns the chain that ends with a turn, if it is cached.
    #[must_use]
    pub fn get(&self, turn: &TurnId) -> Option<Bytes> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.chains.get(turn).cloned()
    }
}
