//! Reads facts back from segments on a separate thread, so that a slow disk doesn't delay other work.

use std::collections::HashMap;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;

use tokio::sync::oneshot;

use super::book::FrameLocation;
use super::disk::{decode_frame, segment_path};
use super::message::{FactRecord, TurnFact};

/// Maximum number of queued reads; further ones are rejected at once.
const QUEUE_LIMIT: usize = 1024;

/// Maximum number of segment files kept open.
const OPEN_FILE_LIMIT: usize = 64;

struct ReadJob {
    locations: Vec<FrameLocation>,
    reply: oneshot::Sender<Option<Vec<TurnFact>>>,
}

/// Reader of a data folder; cheap to clone.
#[derive(Clone, Debug)]
pub struct FactReader {
    jobs: mpsc::SyncSender<ReadJob>,
}

impl FactReader {
    /// Starts the reading thread.
    ///
    /// # Errors
    ///
    /// The system's error if no thread can be started.
    pub fn start(folder: &Path) -> io::Result<Self> {
        let (jobs, queue) = mpsc::sync_channel::<ReadJob>(QUEUE_LIMIT);
        let mut files = SegmentFiles {
            folder: folder.to_owned(),
            open: HashMap::new(),
        };
        thread::Builder::new()
            .name("fact-reader".to_owned())
            .spawn(move || {
                while let Ok(job) = queue.recv() {
                    let facts = files.read_all(&job.locations);
                    // The receiver is gone if the caller has stopped waiting.
                    let _ = job.reply.send(facts);
                }
            })?;
        Ok(Self { jobs })
    }

    /// Reads turns; resolves to `None` if not all of them can be read.
    pub async fn read(&self, locations: Vec<FrameLocation>) -> Option<Vec<TurnFact>> {
        if locations.is_empty() {
            return Some(Vec::new());
        }
        let (reply, facts) = oneshot::channel();
        self.jobs.try_send(ReadJob { locations, reply }).ok()?;
        facts.await.ok()?
    }
}

struct SegmentFiles {
    folder: PathBuf,
    open: HashMap<u64, File>,
}

impl SegmentFiles {
    fn read_all(&mut self, locations: &[FrameLocation]) -> Option<Vec<TurnFact>> {
        let mut turns = Vec::with_capacity(locations.len());
        for location in locations {
            match self.read(location) {
                Ok(turn) => turns.push(turn),
                Err(error) => {
                    self.open.remove(&location.segment);
                    log::warn!(
                        "can't read a turn from segment {}: {error}",
                        location.segment
                    );
                    return None;
                }
            }
        }
        Some(turns)
    }

    fn read(&mut self, location: &FrameLocation) -> io::Result<TurnFact> {
        let mut frame = vec![0; location.length];
        self.file(location.segment)?
            .read_exact_at(&mut frame, location.offset)?;
        match decode_frame(&frame) {
            Some(FactRecord::Turn(turn)) => Ok(turn),
            _ => Err(io::Error::other("the frame is damaged")),
        }
    }

    fn file(&mut self, segment: u64) -> io::Result<&File> {
        if !self.open.contains_key(&segment) {
            if self.open.len() >= OPEN_FILE_LIMIT {
                self.open.clear();
            }
            let file = File::open(segment_path(&self.folder, segment))?;
            self.open.insert(segment, file);
        }
        self.open
            .get(&segment)
            .ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}
