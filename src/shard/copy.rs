//! One copy of a shard and the rules by which copies agree.
//!
//! A primary exposes an effect only after every backup of its epoch has stored the entry. A backup
//! that wants to take over seals its copy first: from then on it refuses the old epoch's entries, so
//! the old primary can expose nothing more, however late it wakes up, and no clock is needed. The
//! role is part of the type: only a sealed copy can be promoted.

use serde::{Deserialize, Serialize};

use crate::ids::{LogIndex, ShardEpoch, ShardId};
use crate::program::{LogEntry, ShardBook};

/// A place in a shard's log: the index with the epoch whose primary wrote the entry there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogPosition {
    /// Index of the entry; 0 stands before the first.
    pub index: LogIndex,
    /// Epoch in which it was written.
    pub epoch: ShardEpoch,
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
    pub book: ShardBook,
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

/// Role of a copy that accepts no more entries of its epoch.
#[derive(Clone, Copy, Debug)]
pub struct SealedRole {
    sealed: ShardEpoch,
}

/// Role of a copy that writes entries.
#[derive(Clone, Copy, Debug)]
pub struct PrimaryRole;

/// One copy of a shard in some role.
#[derive(Clone, Debug)]
pub struct ShardCopy<Role> {
    role: Role,
    epoch: ShardEpoch,
    position: LogPosition,
    book: ShardBook,
}

impl<Role> ShardCopy<Role> {
    /// Returns the epoch that the copy is in.
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
    pub fn book(&self) -> &ShardBook {
        &self.book
    }

    fn into_role<NewRole>(self, role: NewRole) -> ShardCopy<NewRole> {
        ShardCopy {
            role,
            epoch: self.epoch,
            position: self.position,
            book: self.book,
        }
    }
}

impl ShardCopy<BackupRole> {
    /// Starts an empty copy at the epoch in which the shard begins empty.
    #[must_use]
    pub fn empty(epoch: ShardEpoch) -> Self {
        Self {
            role: BackupRole,
            epoch,
            position: LogPosition::default(),
            book: ShardBook::default(),
        }
    }

    /// Starts a copy from a whole one.
    #[must_use]
    pub fn installed(request: InstallRequest) -> Self {
        Self {
            role: BackupRole,
            epoch: request.epoch,
            position: request.position,
            book: request.book,
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
            self.book.apply(entry);
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

    /// Replaces the copy by a whole one, unless that is of an older epoch.
    pub fn install(&mut self, request: InstallRequest) -> AppendReply {
        if request.epoch < self.epoch {
            return AppendReply::Stale;
        }
        *self = Self::installed(request);
        AppendReply::Stored
    }

    /// Seals the copy for its epoch and every older one.
    #[must_use]
    pub fn seal(self, epoch: ShardEpoch) -> ShardCopy<SealedRole> {
        let sealed = epoch.max(self.epoch);
        self.into_role(SealedRole { sealed })
    }
}

impl ShardCopy<SealedRole> {
    /// Returns the epoch up to which the copy refuses entries.
    #[must_use]
    pub fn sealed(&self) -> ShardEpoch {
        self.role.sealed
    }

    /// Makes the copy the primary's, in an epoch that the map has given it.
    ///
    /// # Errors
    ///
    /// Gives the copy back where the epoch is not newer than the seal.
    #[expect(
        clippy::result_large_err,
        reason = "the copy itself goes back, once in a takeover"
    )]
    pub fn promote(self, epoch: ShardEpoch) -> Result<ShardCopy<PrimaryRole>, Self> {
        if epoch <= self.role.sealed {
            return Err(self);
        }
        let mut copy = self.into_role(PrimaryRole);
        copy.epoch = epoch;
        Ok(copy)
    }

    /// Opens the copy again for entries of a newer epoch, after another took the shard over.
    #[must_use]
    pub fn reopen(self) -> ShardCopy<BackupRole> {
        let next = self.role.sealed + 1;
        let mut copy = self.into_role(BackupRole);
        copy.epoch = copy.epoch.max(next);
        copy
    }
}

impl ShardCopy<PrimaryRole> {
    /// Applies an entry and returns its place.
    ///
    /// Its effects must not be exposed before every backup of the epoch has stored it.
    pub fn write(&mut self, entry: &LogEntry) {
        self.book.apply(entry);
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
            book: self.book.clone(),
        }
    }

    /// Hands the shard over: the copy follows the next primary from then on.
    #[must_use]
    pub fn step_down(self) -> ShardCopy<BackupRole> {
        self.into_role(BackupRole)
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
    fn sealed_copy_refuses_the_old_epoch_after_reopening() {
        let mut copy = ShardCopy::empty(1);
        let first = request(1, LogPosition::default(), 2);
        assert_eq!(copy.append(&first), AppendReply::Stored);
        let mut copy = copy.seal(1).reopen();
        let late = request(1, LogPosition { index: 2, epoch: 1 }, 1);
        assert_eq!(copy.append(&late), AppendReply::Stale);
        let next = request(2, LogPosition { index: 2, epoch: 1 }, 1);
        assert_eq!(copy.append(&next), AppendReply::Stored);
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
    fn only_a_newer_epoch_promotes() {
        let sealed = ShardCopy::empty(3).seal(3);
        let sealed = sealed.promote(3).expect_err("the seal covers epoch 3");
        assert!(sealed.promote(4).is_ok());
    }
}
