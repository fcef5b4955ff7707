//! Registered sends that are over, until the keepers that know of them have been told.

use std::collections::{HashMap, VecDeque};
use std::sync::{Arc, Mutex};

use smol_str::SmolStr;

use crate::fact::tries::TryNumber;
use crate::hold::lock_ignoring_poison;

/// Maximum number of sends that wait to be reported to one keeper; the oldest one makes room.
const WAITING_LIMIT: usize = 4096;

/// Maximum number of sends that are reported in one message.
const MESSAGE_LIMIT: usize = 64;

/// Sends that are over and not reported yet, by the name of the keeper that knows of them.
#[derive(Debug, Default)]
pub(in crate::fact) struct SendReports {
    waiting: Mutex<HashMap<SmolStr, VecDeque<TryNumber>>>,
}

impl SendReports {
    fn add(&self, keeper: &SmolStr, number: TryNumber) {
        let mut waiting = lock_ignoring_poison(&self.waiting);
        let numbers = waiting.entry(keeper.clone()).or_default();
        if numbers.len() >= WAITING_LIMIT {
            numbers.pop_front();
        }
        numbers.push_back(number);
    }

    /// Takes the sends to report to a keeper with the next message.
    pub fn take(&self, keeper: &SmolStr) -> Vec<TryNumber> {
        let mut waiting = lock_ignoring_poison(&self.waiting);
        let Some(numbers) = waiting.get_mut(keeper) else {
            return Vec::new();
        };
        let count = numbers.len().min(MESSAGE_LIMIT);
        numbers.drain(..count).collect()
    }
}

/// A send that keepers know of. Dropping it reports that the send is over without a result that has to be recorded.
#[derive(Debug)]
pub struct SendRegistration {
    reports: Arc<SendReports>,
    number: TryNumber,
    /// Names of the keepers that may know of the send.
    keepers: Mutex<Vec<SmolStr>>,
}

impl SendRegistration {
    pub(super) fn new(reports: Arc<SendReports>, number: TryNumber) -> Self {
        Self {
            reports,
            number,
            keepers: Mutex::default(),
        }
    }

    /// Returns the number of the send.
    #[must_use]
    pub fn number(&self) -> TryNumber {
        self.number
    }

    pub(super) fn note_keeper(&self, keeper: &SmolStr) {
        let mut keepers = lock_ignoring_poison(&self.keepers);
        if !keepers.contains(keeper) {
            keepers.push(keeper.clone());
        }
    }

    /// Leaves the send as it is: its result is recorded, and keepers without the record go on counting it.
    pub fn leave(&self) {
        lock_ignoring_poison(&self.keepers).clear();
    }
}

impl Drop for SendRegistration {
    fn drop(&mut self) {
        for keeper in lock_ignoring_poison(&self.keepers).iter() {
            self.reports.add(keeper, self.number);
        }
    }
}
