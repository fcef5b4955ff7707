//! Durable copies of shards under the data folder of the instances that have one.
//!
//! A copy on disk counts only if it is complete: entries are on disk before they are acknowledged, so
//! the disk of a member of a shard's placement holds everything that was ever exposed. Every value has
//! a checksum; a damaged copy is not used, and the instance gets a new one from the shard's primary.

mod store;
mod writer;

pub use store::{BulkStore, RecoveredCopy, StorageError};
