//! The database of an instance's shard copies: read once at the start, then only written.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use redb::{Database, DatabaseError, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;
use tokio::sync::oneshot;

use super::writer::{DiskWriter, WriteJob};
use crate::ids::{ShardEpoch, ShardId};
use crate::program::{LogEntry, ProgramTable};
use crate::shard::LogPosition;

/// File of the database within the data folder.
const FILE_NAME: &str = "copies.redb";

/// Length of the checksum before every value, in bytes.
const CHECKSUM_BYTES: usize = 16;

/// Snapshots by shard.
pub(super) const COPIES: TableDefinition<&str, &[u8]> = TableDefinition::new("copies");

/// Entries after the snapshot, by shard and index.
pub(super) const ENTRIES: TableDefinition<(&str, u64), &[u8]> = TableDefinition::new("entries");

/// Reason why a data folder can't be used.
#[derive(Debug, Error)]
pub enum StorageError {
    /// The folder or a file can't be read or written.
    #[error("{path}: {error}; check the data folder's owner and free space")]
    Folder {
        /// The path.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// Another process has the database open.
    #[error(
        "another process uses the database; stop it, or give each instance its own data folder"
    )]
    InUse,
    /// The database can't be used.
    #[error("the database can't be used: {0}; the instance continues without its disk")]
    Database(SmolStr),
}

/// A snapshot as it is stored.
#[derive(Debug, Deserialize, Serialize)]
struct StoredCopy {
    epoch: ShardEpoch,
    position: LogPosition,
    table: ProgramTable,
}

/// An entry as it is stored.
#[derive(Debug, Deserialize, Serialize)]
struct StoredEntry {
    epoch: ShardEpoch,
    entry: LogEntry,
}

/// A complete copy that was found on disk.
#[derive(Clone, Debug)]
pub struct RecoveredCopy {
    /// The shard.
    pub shard: ShardId,
    /// Epoch of the last entry, or of the snapshot if no entry follows it.
    pub epoch: ShardEpoch,
    /// Position of the last entry of the copy.
    pub position: LogPosition,
    /// The programs.
    pub table: ProgramTable,
}

/// Handle to the database of an instance's shard copies; clones refer to the same database.
#[derive(Clone, Debug)]
pub struct BulkStore {
    path: PathBuf,
    writer: DiskWriter,
    failed: Arc<AtomicBool>,
}

fn database_error<Source>(error: Source) -> StorageError
where
    Source: std::fmt::Display,
{
    StorageError::Database(error.to_smolstr())
}

/// Serialises a value and prefixes it with its checksum.
fn encode_with_checksum<Value>(value: &Value) -> Result<Vec<u8>, StorageError>
where
    Value: Serialize,
{
    let body = postcard::to_stdvec(value).map_err(database_error)?;
    let mut encoded = blake3::hash(&body).as_bytes()[..CHECKSUM_BYTES].to_vec();
    encoded.extend_from_slice(&body);
    Ok(encoded)
}

/// Deserialises a value; returns `None` if its checksum does not match.
fn decode_verified<Value>(bytes: &[u8]) -> Option<Value>
where
    Value: DeserializeOwned,
{
    let (checksum, body) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let complete = blake3::hash(body).as_bytes()[..CHECKSUM_BYTES] == *checksum;
    complete.then(|| postcard::from_bytes(body).ok()).flatten()
}

impl BulkStore {
    /// Opens the database in a folder and reads the complete copies in it.
    ///
    /// A database that can't be read is renamed; the instance gets its copies from the primaries again.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError`] if the folder can't be used, or another process has the database open.
    pub fn open(folder: &Path) -> Result<(Self, Vec<RecoveredCopy>), StorageError> {
        let failed = |error| StorageError::Folder {
            path: folder.to_owned(),
            error,
        };
        fs::create_dir_all(folder).map_err(failed)?;
        let path = folder.join(FILE_NAME);
        // redb may panic on a truncated file.
        let opened = std::panic::catch_unwind(|| open_database(&path));
        let opened = opened.unwrap_or_else(|_| Err(database_error("the file is damaged")));
        let (database, copies) = match opened {
            Ok(opened) => opened,
            // Another process still has the database open, so the file is not damaged.
            Err(error @ StorageError::InUse) => return Err(error),
            Err(error) => {
                log::error!(
                    "unreadable database renamed path={} error={error}",
                    path.display()
                );
                fs::rename(&path, folder.join("copies.damaged")).map_err(failed)?;
                open_database(&path)?
            }
        };
        let store = Self {
            path,
            writer: DiskWriter::start(database),
            failed: Arc::default(),
        };
        Ok((store, copies))
    }

    /// Returns whether the disk has failed, after which nothing is written to it.
    #[must_use]
    pub fn has_failed(&self) -> bool {
        self.failed.load(Ordering::Relaxed)
    }

    /// Stores the entries that follow a position; returns once they are on disk.
    pub async fn append(
        &self,
        shard: &ShardId,
        previous: LogPosition,
        epoch: ShardEpoch,
        entries: &[LogEntry],
    ) {
        let mut rows = Vec::with_capacity(entries.len());
        for (entry, offset) in entries.iter().zip(1..) {
            let stored = StoredEntry {
                epoch,
                entry: entry.clone(),
            };
            match encode_with_checksum(&stored) {
                Ok(row) => rows.push((previous.index + offset, row)),
                Err(error) => return self.disable(&error),
            }
        }
        self.write(WriteJob::Append(shard.to_smolstr(), rows)).await;
    }

    /// Replaces a shard's stored copy with a snapshot; returns once it is on disk.
    pub async fn replace(
        &self,
        shard: &ShardId,
        epoch: ShardEpoch,
        position: LogPosition,
        table: &ProgramTable,
    ) {
        let stored = StoredCopy {
            epoch,
            position,
            table: table.clone(),
        };
        match encode_with_checksum(&stored) {
            Ok(row) => self.write(WriteJob::Replace(shard.to_smolstr(), row)).await,
            Err(error) => self.disable(&error),
        }
    }

    /// Removes a shard's copy.
    pub async fn remove(&self, shard: &ShardId) {
        self.write(WriteJob::Remove(shard.to_smolstr())).await;
    }

    async fn write(&self, job: WriteJob) {
        if self.has_failed() {
            return;
        }
        let (done, outcome) = oneshot::channel();
        self.writer.send(job, done);
        match outcome.await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => self.disable(&StorageError::Database(error)),
            Err(_) => self.disable(&StorageError::Database(
                "the writer thread has ended".into(),
            )),
        }
    }

    /// Disables the disk after a failure.
    ///
    /// The stored copies are incomplete from now on. The file is removed so that a later process does not
    /// mistake them for complete ones. Removing a file works on a full disk, too.
    fn disable(&self, error: &StorageError) {
        if self.failed.swap(true, Ordering::Relaxed) {
            return;
        }
        log::error!("disk disabled path={} error={error}", self.path.display());
        if let Err(error) = fs::remove_file(&self.path) {
            log::error!(
                "file not removed path={} error={error}",
                self.path.display()
            );
        }
    }
}

fn open_database(path: &Path) -> Result<(Database, Vec<RecoveredCopy>), StorageError> {
    let opened = Database::create(path).map_err(|error| match error {
        DatabaseError::DatabaseAlreadyOpen => StorageError::InUse,
        other => database_error(other),
    })?;
    let transaction = opened.begin_write().map_err(database_error)?;
    transaction.open_table(COPIES).map_err(database_error)?;
    transaction.open_table(ENTRIES).map_err(database_error)?;
    transaction.commit().map_err(database_error)?;
    let copies = read_copies(&opened)?;
    Ok((opened, copies))
}

fn read_copies(opened: &Database) -> Result<Vec<RecoveredCopy>, StorageError> {
    let transaction = opened.begin_read().map_err(database_error)?;
    let copies = transaction.open_table(COPIES).map_err(database_error)?;
    let entries = transaction.open_table(ENTRIES).map_err(database_error)?;
    let mut recovered = Vec::new();
    for row in copies.iter().map_err(database_error)? {
        let (key, value) = row.map_err(database_error)?;
        let name = key.value();
        let Some(shard) = parse_shard(name) else {
            continue;
        };
        let Some(stored) = decode_verified::<StoredCopy>(value.value()) else {
            log::error!("damaged copy skipped shard={name}");
            continue;
        };
        let mut copy = RecoveredCopy {
            shard,
            epoch: stored.epoch,
            position: stored.position,
            table: stored.table,
        };
        let range = (name, copy.position.index + 1)..=(name, u64::MAX);
        let mut complete = true;
        for row in entries.range(range).map_err(database_error)? {
            let (key, value) = row.map_err(database_error)?;
            complete = copy.apply(key.value().1, value.value());
            if !complete {
                log::error!("damaged entry shard={name} index={}", key.value().1);
                break;
            }
        }
        if complete {
            recovered.push(copy);
        }
    }
    Ok(recovered)
}

fn parse_shard(name: &str) -> Option<ShardId> {
    let (domain, index) = name.rsplit_once('.')?;
    Some(ShardId {
        domain: domain.into(),
        index: index.parse().ok()?,
    })
}

impl RecoveredCopy {
    /// Applies a stored entry; returns whether the entry is undamaged and directly follows the last one.
    fn apply(&mut self, index: u64, bytes: &[u8]) -> bool {
        let Some(stored) = decode_verified::<StoredEntry>(bytes) else {
            return false;
        };
        if index != self.position.index + 1 {
            return false;
        }
        self.table.apply(&stored.entry);
        self.epoch = stored.epoch;
        self.position = LogPosition {
            epoch: stored.epoch,
            index,
        };
        true
    }
}

#[cfg(test)]
mod tests {
    use tempfile::TempDir;

    use super::*;

    fn shard() -> ShardId {
        ShardId {
            domain: "a".into(),
            index: 3,
        }
    }

    /// Reopens a store; retries while the writer thread of the earlier handle still has the database open.
    fn reopen(folder: &Path) -> Vec<RecoveredCopy> {
        loop {
            match BulkStore::open(folder) {
                Ok((_, recovered)) => return recovered,
                Err(StorageError::InUse) => std::thread::yield_now(),
                Err(error) => panic!("not opened: {error}"),
            }
        }
    }

    async fn fill(folder: &Path) {
        let (store, recovered) = BulkStore::open(folder).expect("an opened store");
        assert!(recovered.is_empty());
        let start = LogPosition { epoch: 1, index: 7 };
        store
            .replace(&shard(), 1, start, &ProgramTable::default())
            .await;
        let entries = [LogEntry::Forget("p".into()), LogEntry::Forget("q".into())];
        store.append(&shard(), start, 2, &entries).await;
    }

    #[tokio::test]
    async fn copy_is_found_again() {
        let folder = TempDir::new().expect("a folder");
        fill(folder.path()).await;
        let recovered = reopen(folder.path());
        assert_eq!(recovered.len(), 1);
        assert_eq!(recovered[0].position, LogPosition { epoch: 2, index: 9 });
        assert_eq!(recovered[0].shard, shard());
    }

    #[tokio::test]
    async fn damaged_file_or_copy_is_not_used() {
        let folder = TempDir::new().expect("a folder");
        fill(folder.path()).await;
        let path = folder.path().join(FILE_NAME);
        let mut bytes = fs::read(&path).expect("a file");
        for byte in &mut bytes[4096..] {
            *byte = !*byte;
        }
        fs::write(&path, bytes).expect("a damaged file");
        assert!(reopen(folder.path()).is_empty());
    }

    #[test]
    fn changed_byte_fails_the_checksum() {
        let mut bytes = encode_with_checksum(&StoredEntry {
            epoch: 1,
            entry: LogEntry::Forget("p".into()),
        })
        .expect("an encoded value");
        assert!(decode_verified::<StoredEntry>(&bytes).is_some());
        let last = bytes.len() - 1;
        bytes[last] ^= 1;
        assert!(decode_verified::<StoredEntry>(&bytes).is_none());
    }
}
