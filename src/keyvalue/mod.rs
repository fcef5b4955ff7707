//! Access to the key-value service, behind one trait, and to the instance list.

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

/// Reason why a call of the key-value service got no result.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum KeyValueError {
    /// The call was not sent or was rejected, and has had no effect.
    #[error("the key-value service can't be reached: {0}; the call is retried later")]
    Unreachable(SmolStr),
    /// The call was sent and may have taken effect.
    #[error("the key-value service did not respond: {0}; the key is read back before a retry")]
    NoAnswer(SmolStr),
    /// The service or the instance's own rate limit rejected the call.
    #[error("the rate limit of the key-value service is exceeded; the call is retried later")]
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

/// Result of a read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct RangeReading {
    /// The keys with their values.
    pub entries: Vec<KeyEntry>,
    /// Revision of the service at the read.
    pub revision: RevisionNumber,
}

/// One change that a watch reports.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: SmolStr,
    /// The new value; `None` if the key was removed.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: RevisionNumber,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SwapOutcome {
    /// The value was stored at this revision.
    Swapped(RevisionNumber),
    /// The key's revision is not the expected one; carries its current entry, `None` if there is none.
    Conflict(Option<KeyEntry>),
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait KeyValueStore: Send + Sync {
    /// Reads a range.
    fn read(&self, range: KeyRange) -> BoxFuture<'_, Result<RangeReading, KeyValueError>>;

    /// Stores or removes a value if the key's revision is `expected`; 0 stands for a key without a value.
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

    /// Stores a holder's name that expires unless it is stored again within the time.
    ///
    /// Returns whether this holder has the key; the value of another holder stays unchanged.
    fn hold_lease(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: std::time::Duration,
    ) -> BoxFuture<'_, Result<bool, KeyValueError>>;
}
