//! Chains of turns that ended at this instance: what the next turn of the line needs.

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

/// A bounded cache of whole chains; the oldest ones are dropped first.
pub struct TurnCache {
    state: Mutex<CacheState>,
    limit: usize,
}

impl TurnCache {
    /// Makes a cache of so many bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            state: Mutex::default(),
            limit,
        }
    }

    /// Keeps a chain.
    pub fn keep(&self, turn: &TurnId, chain: Bytes) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.bytes += chain.len();
        state.order.push_back(turn.clone());
        state.chains.insert(turn.clone(), chain);
        while state.bytes > self.limit {
            let Some(oldest) = state.order.pop_front() else {
                return;
            };
            let dropped = state.chains.remove(&oldest).map_or(0, |chain| chain.len());
            state.bytes -= dropped;
        }
    }

    /// Returns a chain.
    #[must_use]
    pub fn find(&self, turn: &TurnId) -> Option<Bytes> {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.chains.get(turn).cloned()
    }
}
