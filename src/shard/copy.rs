//! One copy of a shard and the rules by which copies agree.
//!
//! A primary exposes an effect only after every backup of its epoch has stored the entry. So each
//! backup holds every effect that was exposed, and whichever of them the map makes primary refuses
//! the old primary's entries from then on: the old one can expose nothing more, however late it wakes
//! up, and no clock is needed. The role is part of the type: only a backup's copy can be promoted.

use std::marker::PhantomData;

use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, ShardEpoch, ShardId};
use crate::program::{LogEntry, ProgramTable};
use crate::storage::RecoveredCopy;

/// A place in a shard's log: the index with the epoch whose primary wrote the entry there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LogPosition {
    /// Epoch in which the entry was written.
    pub epoch: ShardEpoch,
    /// Index of the entry; 0 stands before the first.
    pub index: LogIndex,
}

/// Entries from a primary to a backup.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AppendRequest {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the primary.
    pub epoch: ShardEpoch,
    /// Place after which the entries go.
    pub previous: LogPosition,
    /// The entries, all of the primary's epoch.
    pub entries: Vec<LogEntry>,
}

/// A whole copy from a primary to a backup.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct InstallRequest {
    /// The shard.
    pub shard: ShardId,
    /// Epoch in which the receiver is to be a backup.
    pub epoch: ShardEpoch,
    /// Last place of the copy.
    pub position: LogPosition,
    /// The copy.
    pub table: ProgramTable,
}

/// What became of entries or a copy.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum AppendReply {
    /// They are stored.
    Stored,
    /// The receiver has moved to a newer epoch or is sealed for this one.
    Stale,
    /// The receiver's copy does not reach the place before the entries; it needs a whole copy.
    Gap,
}

/// Role of a copy that follows a primary.
#[derive(Clone, Copy, Debug)]
pub struct BackupRole;

/// Role of a copy that writes entries.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryRole;

/// One copy of a shard in some role.
#[derive(Clone, Debug)]
pub struct ShardCopy<Role> {
    role: PhantomData<Role>,
    /// Epoch of the primary that the copy was last brought in line with.
    epoch: ShardEpoch,
    position: LogPosition,
    table: ProgramTable,
}

impl<Role> ShardCopy<Role> {
    /// Returns the epoch of the primary that the copy was last brought in line with.
    #[must_use]
    pub fn epoch(&self) -> ShardEpoch {
        self.epoch
    }

    /// Returns the last place of the copy.
    #[must_use]
    pub fn position(&self) -> LogPosition {
        self.position
    }

    /// Returns the programs.
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
    /// Starts an empty copy at the epoch in which the shard begins empty.
    #[must_use]
    pub fn empty(epoch: ShardEpoch) -> Self {
        Self {
            role: PhantomData,
            epoch,
            position: LogPosition::default(),
            table: ProgramTable::default(),
        }
    }

    /// Starts a copy from a whole one.
    #[must_use]
    pub fn installed(request: InstallRequest) -> Self {
        Self {
            role: PhantomData,
            epoch: request.epoch,
            position: request.position,
            table: request.table,
        }
    }

    /// Starts a copy from one that was found on a disk.
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
    /// Entries of an older epoch are refused. Entries that are here already are passed over, so that
    /// a request may come twice.
    pub fn append(&mut self, request: &AppendRequest) -> AppendReply {
        if request.epoch < self.epoch {
            return AppendReply::Stale;
        }
        let known = self.known_part(request);
        let Some(known) = known else {
            return AppendReply::Gap;
        };
        self.epoch = request.epoch;
        for entry in &request.entries[known..] {
            self.table.apply(entry);
            self.position = LogPosition {
                index: self.position.index + 1,
                epoch: request.epoch,
            };
        }
        AppendReply::Stored
    }

    /// Returns how many of the entries are here already; `None` where some before them are missing.
    fn known_part(&self, request: &AppendRequest) -> Option<usize> {
        if self.position == request.previous {
            return Some(0);
        }
        // A repeated request of the same primary: its entries are the last ones here.
        let ahead = self.position.index.checked_sub(request.previous.index)?;
        let ahead = usize::try_from(ahead).ok()?;
        let same_primary = self.position.epoch == request.epoch;
        (same_primary && ahead > 0 && ahead <= request.entries.len()).then_some(ahead)
    }

    /// Replaces the copy by a whole one, unless that is older.
    ///
    /// One epoch has one primary, whose log only grows: of two copies for the same epoch the one that
    /// reaches less far was late on its way, and taking it would lose entries that count as stored.
    pub fn install(&mut self, request: InstallRequest) -> AppendReply {
        let late = request.epoch == self.epoch && request.position < self.position;
        if request.epoch < self.epoch || late {
            return AppendReply::Stale;
        }
        *self = Self::installed(request);
        AppendReply::Stored
    }

    /// Makes the copy the primary's, in an epoch that the map has given it.
    ///
    /// # Errors
    ///
    /// Gives the copy back where it is in that epoch, or a newer one, already.
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
    /// Applies an entry and returns its place.
    ///
    /// Its effects must not be exposed before every backup of the epoch has stored it.
    pub fn write(&mut self, entry: &LogEntry) {
        self.table.apply(entry);
        self.position = LogPosition {
            index: self.position.index + 1,
            epoch: self.epoch,
        };
    }

    /// Moves on to a newer epoch in which this copy stays the primary's.
    pub fn advance(&mut self, epoch: ShardEpoch) {
        self.epoch = self.epoch.max(epoch);
    }

    /// Composes a whole copy for a backup.
    #[must_use]
    pub fn snapshot(&self, shard: &ShardId, epoch: ShardEpoch) -> InstallRequest {
        InstallRequest {
            shard: shard.clone(),
            epoch,
            position: self.position,
            table: self.table.clone(),
        }
    }

    /// Hands the shard over: the copy follows the next primary from then on.
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
    fn entries_of_a_dead_primary_need_a_whole_copy() {
        let mut copy = ShardCopy::empty(1);
        copy.append(&request(1, LogPosition::default(), 3));
        let shorter = request(2, LogPosition { index: 2, epoch: 1 }, 1);
        assert_eq!(copy.append(&shorter), AppendReply::Gap);
    }

    #[test]
    fn late_copy_of_the_same_primary_is_refused() {
        let mut copy = ShardCopy::empty(1);
        let whole = |index| InstallRequest {
            shard: request(1, LogPosition::default(), 0).shard,
            epoch: 2,
            position: LogPosition { index, epoch: 2 },
            table: ProgramTable::default(),
        };
        assert_eq!(copy.install(whole(5)), AppendReply::Stored);
        assert_eq!(copy.install(whole(4)), AppendReply::Stale);
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
