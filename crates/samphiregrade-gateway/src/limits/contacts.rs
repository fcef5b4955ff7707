//! When a home was last in contact with each instance.

use std::collections::HashMap;
use std::time::Duration;

use super::ledger::LedgerTime;
use super::message::InstanceTag;

/// Time for which the last contact with an instance is kept.
const CONTACT_MEMORY: Duration = Duration::from_mins(2);

/// Time without contact after which an instance is assumed to continue without its home: entries check several times a
/// second whether a keeper is reachable.
const UNRESPONSIVE_AFTER: Duration = Duration::from_millis(700);

/// A period without contact that has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct EndedSilence {
    /// When the contact resumed.
    pub(super) ended: LedgerTime,
    /// Length of the period.
    pub(super) length: Duration,
}

#[derive(Clone, Copy, Debug)]
struct ContactRecord {
    last: LedgerTime,
    /// The last period without contact in which the instance counted as unresponsive.
    silence: Option<EndedSilence>,
}

/// Contacts of a home with instances.
#[derive(Debug, Default)]
pub(super) struct InstanceContacts {
    records: HashMap<InstanceTag, ContactRecord>,
}

impl InstanceContacts {
    /// Records a contact, which shows that the instance is reachable.
    pub(super) fn record(&mut self, instance: InstanceTag, now: LedgerTime) {
        let record = self.records.entry(instance).or_insert(ContactRecord {
            last: now,
            silence: None,
        });
        let length = now.saturating_sub(record.last);
        if length >= UNRESPONSIVE_AFTER {
            record.silence = Some(EndedSilence { ended: now, length });
        }
        record.last = now;
    }

    /// Lets an instance count as unresponsive until the next contact.
    pub(super) fn mark_unresponsive(&mut self, instance: InstanceTag, now: LedgerTime) {
        let record = ContactRecord {
            last: now.saturating_sub(UNRESPONSIVE_AFTER),
            silence: None,
        };
        self.records.insert(instance, record);
    }

    /// Returns whether an instance that was in contact before is unresponsive.
    pub(super) fn is_unresponsive(&self, instance: InstanceTag, now: LedgerTime) -> bool {
        self.records
            .get(&instance)
            .is_some_and(|record| now.saturating_sub(record.last) >= UNRESPONSIVE_AFTER)
    }

    /// Returns the last period in which an instance was unresponsive, if it has ended.
    pub(super) fn last_silence(&self, instance: InstanceTag) -> Option<EndedSilence> {
        self.records.get(&instance)?.silence
    }

    /// Drops contacts that no longer matter.
    pub(super) fn sweep(&mut self, now: LedgerTime) {
        self.records
            .retain(|_, record| now.saturating_sub(record.last) < CONTACT_MEMORY);
    }
}
