//! The platform's key-value service and instance list, behind one trait.

mod client;
mod etcd;
mod instances;
mod memory;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::sync::mpsc;

use crate::ids::RevisionNumber;

pub use client::{KeyValueClient, KeyValueLimits, KeyValueStats};
pub use etcd::EtcdGateway;
pub use instances::{InstanceList, ListedInstance};
pub use memory::MemoryStore;

/// Why a call of the platform brought no answer.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyValueError {
    /// The call certainly had no effect.
    #[error("the key-value service can't be reached: {0}; the call is retried later")]
    Unreachable(SmolStr),
    /// The call may have had its effect.
    #[error("the key-value service gave no answer: {0}; the key is read back before a retry")]
    NoAnswer(SmolStr),
    /// The service or the own limit has refused the call.
    #[error("the rate of the key-value service is used up; the call is retried later")]
    Limited,
}

/// Keys to read or watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeyRange {
    /// One key.
    Single(SmolStr),
    /// Every key with the prefix.
    Prefix(SmolStr),
}

/// A key with its value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyEntry {
    /// The key.
    pub key: SmolStr,
    /// The value.
    pub value: String,
    /// Revision of the last change.
    pub revision: RevisionNumber,
}

/// What a read found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeReading {
    /// The keys with their values.
    pub entries: Vec<KeyEntry>,
    /// Revision of the service at the read.
    pub revision: RevisionNumber,
}

/// One change that a watch tells.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: SmolStr,
    /// The new value; `None` where the key was removed.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: RevisionNumber,
}

/// What a compare-and-swap did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value is stored, at this revision.
    Swapped(RevisionNumber),
    /// The key had changed; this is its entry now, `None` where there is none.
    Conflict(Option<KeyEntry>),
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValueStore: Send + Sync {
    /// Reads a range.
    fn read(&self, range: KeyRange) -> BoxFuture<'_, Result<RangeReading, KeyValueError>>;

    /// Stores or removes a value where the key's last change is `expected`; 0 where there is none.
    fn swap(
        &self,
        key: SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
    ) -> BoxFuture<'_, Result<SwapOutcome, KeyValueError>>;

    /// Watches a range from a revision on; the channel closes when the watch breaks.
    fn watch(
        &self,
        range: KeyRange,
        from: RevisionNumber,
    ) -> BoxFuture<'_, Result<mpsc::Receiver<KeyChange>, KeyValueError>>;

    /// Stores a value that vanishes unless it is stored again within the time.
    ///
    /// Returns whether this holder has the key; another holder's value is left alone.
    fn hold_lease(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: std::time::Duration,
    ) -> BoxFuture<'_, Result<bool, KeyValueError>>;
}
