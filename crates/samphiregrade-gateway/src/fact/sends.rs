//! Sends of requests whose results have not been reported yet, as a keeper knows them; performs no network or disk access.
//!
//! Each look-up registers a send before it takes place, so that a send is known whose entry ends before it reports the result.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Instant;

use super::tries::{KnownTries, MAX_ENDED_UPSTREAMS, RequestTry, TRY_RETENTION, TryKey, TryNumber};

/// Maximum number of sends; the oldest one makes room.
const SEND_LIMIT: usize = 1 << 16;

/// Sends whose results have not been reported; in memory only.
#[derive(Debug, Default)]
pub struct SendTable {
    keys: HashMap<TryNumber, TryKey>,
    numbers: HashMap<TryKey, HashSet<TryNumber>>,
    /// The sends by the time of their registration, ended ones included.
    registered: VecDeque<(Instant, TryNumber)>,
}

impl SendTable {
    /// Registers a send of a request.
    pub fn register(&mut self, key: &TryKey, number: TryNumber, now: Instant) {
        self.expire(now);
        if self.keys.insert(number, key.clone()).is_none() {
            self.numbers.entry(key.clone()).or_default().insert(number);
            self.registered.push_back((now, number));
        }
    }

    /// Removes a send whose result is known.
    pub fn end(&mut self, number: TryNumber) {
        let Some(key) = self.keys.remove(&number) else {
            return;
        };
        let Some(numbers) = self.numbers.get_mut(&key) else {
            return;
        };
        numbers.remove(&number);
        if numbers.is_empty() {
            self.numbers.remove(&key);
        }
    }

    /// Adds registered sends of a request other than `own` to its known tries: as many as a decision needs, since hundreds of
    /// requests that are alike may be in flight.
    pub fn add_to(&self, tries: &mut KnownTries, key: &TryKey, own: TryNumber) {
        let numbers = self.numbers.get(key).into_iter().flatten();
        let others = numbers.filter(|&&number| number != own);
        for &number in others.take(MAX_ENDED_UPSTREAMS) {
            tries.add(RequestTry::registered(number));
        }
    }

    /// Returns the number of sends whose results have not been reported.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether all results have been reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Forgets sends whose entry has not reported a result for so long that it has ended, and those beyond the limit.
    fn expire(&mut self, now: Instant) {
        while let Some(&(registered, number)) = self.registered.front() {
            let is_old = now.saturating_duration_since(registered) > TRY_RETENTION;
            if !is_old && self.registered.len() < SEND_LIMIT {
                return;
            }
            self.registered.pop_front();
            self.end(number);
        }
    }
}
