//! Registered sends that are over, until the keepers that know of them have been told.

use std::collections::{HashMap, VecDeque};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::KeeperClient;
use crate::fact::message::KeeperRequest;
use crate::fact::tries::TryNumber;
use crate::hold::lock_ignoring_poison;

/// Maximum number of sends that wait to be reported to one keeper; the oldest one makes room.
const WAITING_LIMIT: usize = 4096;

/// Maximum number of sends that are reported in one message.
const MESSAGE_LIMIT: usize = 64;

/// Time after which sends are reported in a message of their own: a keeper that was asked in place of a late one gets no others.
const REPORT_DELAY: Duration = Duration::from_millis(200);

/// Timeout of such a message.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Sends that are over and not reported yet to one keeper.
#[derive(Debug, Default)]
struct WaitingSends {
    numbers: VecDeque<TryNumber>,
    /// Whether a message of their own is pending.
    is_reporting: bool,
}

/// Sends that are over and not reported yet, by the name of the keeper that knows of them.
#[derive(Debug, Default)]
pub(in crate::fact) struct SendReports {
    waiting: Mutex<HashMap<SmolStr, WaitingSends>>,
}

impl SendReports {
    /// Adds a send to report; returns whether a message has to be scheduled for it.
    fn add(&self, keeper: &SmolStr, number: TryNumber) -> bool {
        let mut waiting = lock_ignoring_poison(&self.waiting);
        let sends = waiting.entry(keeper.clone()).or_default();
        if sends.numbers.len() >= WAITING_LIMIT {
            sends.numbers.pop_front();
        }
        sends.numbers.push_back(number);
        !std::mem::replace(&mut sends.is_reporting, true)
    }

    /// Returns whether sends wait although their message was due.
    fn finish_delay(&self, keeper: &SmolStr) -> bool {
        let mut waiting = lock_ignoring_poison(&self.waiting);
        let sends = waiting.entry(keeper.clone()).or_default();
        sends.is_reporting = false;
        !sends.numbers.is_empty()
    }

    /// Takes the sends to report to a keeper with the next message.
    pub fn take(&self, keeper: &SmolStr) -> Vec<TryNumber> {
        let mut waiting = lock_ignoring_poison(&self.waiting);
        let Some(sends) = waiting.get_mut(keeper) else {
            return Vec::new();
        };
        let count = sends.numbers.len().min(MESSAGE_LIMIT);
        sends.numbers.drain(..count).collect()
    }
}

impl KeeperClient {
    /// Reports to a keeper that a send is over, with the next message to it or after a while.
    fn report_send_over(&self, keeper: &SmolStr, number: TryNumber) {
        if !self.sends.add(keeper, number) {
            return;
        }
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        let (client, keeper) = (self.clone(), keeper.clone());
        runtime.spawn(async move {
            tokio::time::sleep(REPORT_DELAY).await;
            let placement = client.placement.load_full();
            let slot = placement.slot_of(&keeper);
            if !client.sends.finish_delay(&keeper) {
                return;
            }
            if let Some(slot) = slot.map(|index| placement.slots[index].clone()) {
                let probe = KeeperRequest::Probe;
                client.call(slot, &placement, probe, REPORT_TIMEOUT).await;
            }
        });
    }
}

/// A send that keepers know of. Dropping it reports that the send is over without a result that has to be recorded.
pub struct SendRegistration {
    client: KeeperClient,
    number: TryNumber,
    /// Deadline of the send.
    due: Instant,
    /// Names of the keepers that may know of the send.
    keepers: Mutex<Vec<SmolStr>>,
}

impl SendRegistration {
    pub(super) fn new(client: KeeperClient, number: TryNumber, due: Instant) -> Self {
        Self {
            client,
            number,
            due,
            keepers: Mutex::default(),
        }
    }

    /// Returns the number of the send.
    #[must_use]
    pub fn number(&self) -> TryNumber {
        self.number
    }

    /// Returns the time for which the upstream of the send may work on it.
    pub(super) fn work_left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
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
            self.client.report_send_over(keeper, self.number);
        }
    }
}
