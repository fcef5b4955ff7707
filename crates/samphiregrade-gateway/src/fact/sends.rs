//! Sends of requests whose results have not been reported yet, as a keeper knows them; performs no network or disk access.
//!
//! Each look-up registers a send before it takes place, so that a send is known whose entry ends before it reports the result.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::{Duration, Instant};

use super::tries::{KnownTries, MAX_ENDED_UPSTREAMS, RequestTry, TRY_RETENTION, TryKey, TryNumber};

/// Maximum number of sends; the one that expires first makes room.
const SEND_LIMIT: usize = 1 << 16;

/// A send whose result has not been reported.
#[derive(Debug)]
struct OpenSend {
    key: TryKey,
    /// Time at which the send is forgotten.
    expires: Instant,
}

/// Sends whose results have not been reported; in memory only.
#[derive(Debug, Default)]
pub struct SendTable {
    sends: HashMap<TryNumber, OpenSend>,
    numbers: HashMap<TryKey, HashSet<TryNumber>>,
    expiries: BTreeSet<(Instant, TryNumber)>,
}

impl SendTable {
    /// Registers a send of a request, on which its upstream may work for the time that is left.
    pub fn register(&mut self, key: &TryKey, number: TryNumber, work_left: Duration, now: Instant) {
        self.expire(now);
        if self.sends.contains_key(&number) {
            return;
        }
        let expires = now + work_left + TRY_RETENTION;
        let key = key.clone();
        self.numbers.entry(key.clone()).or_default().insert(number);
        self.expiries.insert((expires, number));
        self.sends.insert(number, OpenSend { key, expires });
    }

    /// Removes a send whose result is known.
    pub fn end(&mut self, number: TryNumber) {
        let Some(OpenSend { key, expires }) = self.sends.remove(&number) else {
            return;
        };
        self.expiries.remove(&(expires, number));
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
        self.sends.len()
    }

    /// Returns whether all results have been reported.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sends.is_empty()
    }

    /// Forgets sends whose entry has not reported a result for so long that it has ended, and those beyond the limit.
    fn expire(&mut self, now: Instant) {
        while let Some(&(expires, number)) = self.expiries.first() {
            if expires >= now && self.sends.len() < SEND_LIMIT {
                return;
            }
            self.end(number);
        }
    }
}
