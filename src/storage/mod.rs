//! Durable copies of shards in the data folder of the instances that have one.
//!
//! A copy on disk is used only if it is complete: entries are written to disk before they are acknowledged,
//! so the disk of a member of a shard's placement holds everything that was ever exposed. Every value has
//! a checksum. A damaged copy is not used; the instance gets a new one from the shard's primary.

mod store;
mod writer;

pub use store::{BulkStore, RecoveredCopy, StorageError};
