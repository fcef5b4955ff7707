//! The thread that writes to disk: jobs that are queued at the same time share one commit.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use redb::{Database, WriteTransaction};
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::oneshot;

use super::store::{COPIES, ENTRIES};

/// A change to be written to disk.
#[derive(Debug)]
pub enum WriteJob {
    /// Store entries by their index.
    Append(SmolStr, Vec<(u64, Vec<u8>)>),
    /// Store a snapshot and remove all stored entries of the shard.
    Replace(SmolStr, Vec<u8>),
    /// Remove a shard's snapshot and entries.
    Remove(SmolStr),
}

/// Result of a job; the error says why it failed.
type WriteOutcome = Result<(), SmolStr>;

type QueuedJob = (WriteJob, oneshot::Sender<WriteOutcome>);

/// Sends jobs to the writer thread; cheap to clone.
#[derive(Clone, Debug)]
pub struct DiskWriter {
    jobs: Sender<QueuedJob>,
}

impl DiskWriter {
    /// Starts the thread, which ends when the last clone of the writer is dropped.
    pub fn start(database: Database) -> Self {
        let (jobs, receiver) = channel();
        thread::spawn(move || write_jobs(&database, &receiver));
        Self { jobs }
    }

    /// Sends a job; its outcome is sent to `done` once the job is on disk.
    pub fn send(&self, job: WriteJob, done: oneshot::Sender<WriteOutcome>) {
        // If the thread has ended, `done` is dropped, which the receiver sees as an error.
        let _ = self.jobs.send((job, done));
    }
}

fn write_jobs(database: &Database, jobs: &Receiver<QueuedJob>) {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        batch.extend(jobs.try_iter());
        let outcome = write_batch(database, &batch);
        for (_, done) in batch {
            // A receiver that was dropped does not need the outcome.
            let _ = done.send(outcome.clone());
        }
    }
}

fn write_batch(database: &Database, batch: &[QueuedJob]) -> WriteOutcome {
    let transaction = database.begin_write().map_err(|error| error.to_smolstr())?;
    for (job, _) in batch {
        write_job(&transaction, job)?;
    }
    transaction.commit().map_err(|error| error.to_smolstr())
}

fn write_job(transaction: &WriteTransaction, job: &WriteJob) -> WriteOutcome {
    let text = |error: redb::StorageError| error.to_smolstr();
    let mut copies = transaction
        .open_table(COPIES)
        .map_err(|error| error.to_smolstr())?;
    let mut entries = transaction
        .open_table(ENTRIES)
        .map_err(|error| error.to_smolstr())?;
    match job {
        WriteJob::Append(shard, rows) => {
            for (index, row) in rows {
                entries
                    .insert((shard.as_str(), *index), row.as_slice())
                    .map_err(text)?;
            }
        }
        WriteJob::Replace(shard, row) => {
            let shard = shard.as_str();
            entries
                .retain_in((shard, 0)..=(shard, u64::MAX), |_, _| false)
                .map_err(text)?;
            copies.insert(shard, row.as_slice()).map_err(text)?;
        }
        WriteJob::Remove(shard) => {
            let shard = shard.as_str();
            entries
                .retain_in((shard, 0)..=(shard, u64::MAX), |_, _| false)
                .map_err(text)?;
            copies.remove(shard).map_err(text)?;
        }
    }
    Ok(())
}
