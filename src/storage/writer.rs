//! The thread that writes to disk: jobs that wait at the same time share one commit.

use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use redb::{Database, WriteTransaction};
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::oneshot;

use super::store::{COPIES, ENTRIES};

/// What to write.
#[derive(Debug)]
pub enum WriteJob {
    /// Entries by their index.
    Append(SmolStr, Vec<(u64, Vec<u8>)>),
    /// A whole copy; the entries before it are removed.
    Replace(SmolStr, Vec<u8>),
    /// Remove everything of a shard.
    Remove(SmolStr),
}

/// Why a job failed.
type WriteOutcome = Result<(), SmolStr>;

type WaitingJob = (WriteJob, oneshot::Sender<WriteOutcome>);

/// Sends jobs to the thread; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct DiskWriter {
    jobs: Sender<WaitingJob>,
}

impl DiskWriter {
    /// Starts the thread, which ends with the last sender.
    pub fn start(database: Database) -> Self {
        let (jobs, receiver) = channel();
        thread::spawn(move || write_jobs(&database, &receiver));
        Self { jobs }
    }

    /// Sends a job; the outcome comes once it is on disk.
    pub fn send(&self, job: WriteJob, done: oneshot::Sender<WriteOutcome>) {
        // Where the thread has ended the outcome's sender is dropped, which tells as much.
        let _ = self.jobs.send((job, done));
    }
}

fn write_jobs(database: &Database, jobs: &Receiver<WaitingJob>) {
    while let Ok(first) = jobs.recv() {
        let mut batch = vec![first];
        batch.extend(jobs.try_iter());
        let outcome = write_batch(database, &batch);
        for (_, done) in batch {
            // Whoever is gone does not need the outcome.
            let _ = done.send(outcome.clone());
        }
    }
}

fn write_batch(database: &Database, batch: &[WaitingJob]) -> WriteOutcome {
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
