//! One copy of a shard and the rules of the replication protocol.
//!
//! A primary exposes an effect only after every backup of its epoch has stored the entry, so each
//! backup has every exposed effect. The backup that the map promotes refuses the old primary's entries
//! from then on, so the old primary can expose nothing more, even if it resumes after a long pause. The
//! protocol does not depend on clocks. The role is part of the type: only a backup's copy can be
//! promoted.

use std::marker::PhantomData;

use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, ShardEpoch, ShardId};
use crate::program::{LogEntry, ProgramTable};
use crate::storage::RecoveredCopy;

/// A position in a shard's log: the index of an entry and the epoch of the primary that wrote it.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LogPosition {
    /// Epoch in which the primary wrote the entry.
    pub epoch: ShardEpoch,
    /// Index of the entry; 0 is the position before the first entry.
    pub index: LogIndex,
}

/// Log entries that a primary sends to a backup.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AppendRequest {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the primary.
    pub epoch: ShardEpoch,
    /// Position of the entry before the first one of the request.
    pub previous: LogPosition,
    /// The entries, all written in the primary's epoch.
    pub entries: Vec<LogEntry>,
}

/// A snapshot that a primary sends to a backup.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstallRequest {
    /// The shard.
    pub shard: ShardId,
    /// Epoch in which the receiver becomes or stays a backup.
    pub epoch: ShardEpoch,
    /// Position of the last entry in the snapshot.
    pub position: LogPosition,
    /// The programs at this position.
    pub table: ProgramTable,
}

/// A backup's verdict on an append or a snapshot.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendReply {
    /// The entries or the snapshot are stored.
    Stored,
    /// The receiver knows a newer epoch, is the primary itself, or already has a later position.
    Stale,
    /// The receiver's copy does not match the position before the entries; it needs a snapshot.
    Gap,
}

/// Role of a copy that stores a primary's entries.
#[derive(Clone, Copy, Debug)]
pub struct BackupRole;

/// Role of a copy that writes entries.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryRole;

/// One copy of a shard with its role.
#[derive(Clone, Debug)]
pub struct ShardCopy<Role> {
    role: PhantomData<Role>,
    /// Epoch of the primary that the copy was last synchronised with.
    epoch: ShardEpoch,
    position: LogPosition,
    table: ProgramTable,
}

impl<Role> ShardCopy<Role> {
    /// Returns the epoch of the primary that the copy was last synchronised with.
    #[must_use]
    pub fn epoch(&self) -> ShardEpoch {
        self.epoch
    }

    /// Returns the position of the copy's last entry.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Returns the programs of the shard.
    #[must_use]
    pub fn table(&self) -> &ProgramTable {
        &self.table
    }

    fn into_role<NewRole>(self) -> ShardCopy<NewRole> {
        ShardCopy {
            role: PhantomData,
            epoch: self.epoch,
            position: self.position,
            table: self.table,
        }
    }
}

impl ShardCopy<BackupRole> {
    /// Creates an empty copy for the epoch in which the shard starts empty.
    #[must_use]
    pub fn empty(epoch: ShardEpoch) -> Self {
        Self {
            role: PhantomData,
            epoch,
            position: LogPosition::default(),
            table: ProgramTable::default(),
        }
    }

    /// Creates a copy from a snapshot.
    #[must_use]
    pub fn installed(request: InstallRequest) -> Self {
        Self {
            role: PhantomData,
            epoch: request.epoch,
            position: request.position,
            table: request.table,
        }
    }

    /// Creates a copy from one that was recovered from disk.
    #[must_use]
    pub fn recovered(copy: RecoveredCopy) -> Self {
        Self {
            role: PhantomData,
            epoch: copy.epoch,
            position: copy.position,
            table: copy.table,
        }
    }

    /// Stores entries of the primary.
    ///
    /// Refuses entries of an older epoch. Skips entries that are already stored, so that a repeated
    /// request has no effect.
    pub fn append(&mut self, request: &AppendRequest) -> AppendReply {
        if request.epoch < self.epoch {
            return AppendReply::Stale;
        }
        let stored = self.stored_prefix(request);
        let Some(stored) = stored else {
            return AppendReply::Gap;
        };
        self.epoch = request.epoch;
        for entry in &request.entries[stored..] {
            self.table.apply(entry);
            self.position = LogPosition {
                index: self.position.index + 1,
                epoch: request.epoch,
            };
        }
        AppendReply::Stored
    }

    /// Returns how many of the entries are already stored, or `None` if the copy does not match the
    /// position before them.
    fn stored_prefix(&self, request: &AppendRequest) -> Option<usize> {
        if self.position == request.previous {
            return Some(0);
        }
        // In a repeated request of the same primary, the entries are the last ones of this copy.
        let ahead = self.position.index.checked_sub(request.previous.index)?;
        let ahead = usize::try_from(ahead).ok()?;
        let same_primary = self.position.epoch == request.epoch;
        (same_primary && ahead > 0 && ahead <= request.entries.len()).then_some(ahead)
    }

    /// Replaces the copy by a snapshot, unless the snapshot is older.
    ///
    /// An epoch has one primary, whose log only grows. Of two snapshots of the same epoch, the one with
    /// the earlier position was delayed in transit, and installing it would lose entries that the
    /// primary counts as stored.
    pub fn install(&mut self, request: InstallRequest) -> AppendReply {
        let delayed = request.epoch == self.epoch && request.position < self.position;
        if request.epoch < self.epoch || delayed {
            return AppendReply::Stale;
        }
        *self = Self::installed(request);
        AppendReply::Stored
    }

    /// Promotes the copy to primary in the epoch that the map assigns.
    ///
    /// # Errors
    ///
    /// Returns the copy unchanged if it already has that epoch or a newer one.
    pub fn promote(self, epoch: ShardEpoch) -> Result<ShardCopy<PrimaryRole>, Self> {
        if epoch <= self.epoch {
            return Err(self);
        }
        let mut copy = self.into_role();
        copy.epoch = epoch;
        Ok(copy)
    }
}

impl ShardCopy<PrimaryRole> {
    /// Applies an entry and advances the position.
    ///
    /// The effects of the entry must not be exposed before every backup of the epoch has stored it.
    pub fn write(&mut self, entry: &LogEntry) {
        self.table.apply(entry);
        self.position = LogPosition {
            index: self.position.index + 1,
            epoch: self.epoch,
        };
    }

    /// Advances to a newer epoch in which this copy remains the primary's.
    pub fn advance(&mut self, epoch: ShardEpoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Composes a snapshot for a backup.
    #[must_use]
    pub fn snapshot(&self, shard: &ShardId, epoch: ShardEpoch) -> InstallRequest {
        InstallRequest {
            shard: shard.clone(),
            epoch,
            position: self.position,
            table: self.table.clone(),
        }
    }

    /// Demotes the copy to a backup of the next primary.
    #[must_use]
    pub fn step_down(self) -> ShardCopy<BackupRole> {
        self.into_role()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn request(epoch: ShardEpoch, previous: LogPosition, entries: usize) -> AppendRequest {
        let shard = ShardId {
            domain: "a".into(),
            index: 0,
        };
        let entries = vec![LogEntry::Forget("p".into()); entries];
        AppendRequest {
            shard,
            epoch,
            previous,
            entries,
        }
    }

    #[test]
    fn copy_of_a_newer_epoch_refuses_an_older_one() {
        let mut copy = ShardCopy::empty(1);
        let first = request(1, LogPosition::default(), 2);
        assert_eq!(copy.append(&first), AppendReply::Stored);
        let reached = LogPosition { index: 2, epoch: 1 };
        assert_eq!(copy.append(&request(2, reached, 0)), AppendReply::Stored);
        assert_eq!(copy.append(&request(1, reached, 1)), AppendReply::Stale);
    }

    #[test]
    fn repeated_request_changes_nothing() {
        let mut copy = ShardCopy::empty(1);
        let first = request(1, LogPosition::default(), 3);
        copy.append(&first);
        assert_eq!(copy.append(&first), AppendReply::Stored);
        assert_eq!(copy.position().index, 3);
    }

    #[test]
    fn entries_of_a_failed_primary_need_a_snapshot() {
        let mut copy = ShardCopy::empty(1);
        copy.append(&request(1, LogPosition::default(), 3));
        let shorter = request(2, LogPosition { index: 2, epoch: 1 }, 1);
        assert_eq!(copy.append(&shorter), AppendReply::Gap);
    }

    #[test]
    fn delayed_snapshot_of_the_same_epoch_is_refused() {
        let mut copy = ShardCopy::empty(1);
        let snapshot = |index| InstallRequest {
            shard: request(1, LogPosition::default(), 0).shard,
            epoch: 2,
            position: LogPosition { index, epoch: 2 },
            table: ProgramTable::default(),
        };
        assert_eq!(copy.install(snapshot(5)), AppendReply::Stored);
        assert_eq!(copy.install(snapshot(4)), AppendReply::Stale);
        assert_eq!(copy.position().index, 5);
    }

    #[test]
    fn only_a_newer_epoch_promotes() {
        let copy = ShardCopy::empty(3)
            .promote(3)
            .expect_err("epoch 3 is not newer");
        assert!(copy.promote(4).is_ok());
    }
}
