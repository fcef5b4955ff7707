//! Facts on disk: checksummed frames appended to segment files, synced in groups.
//!
//! A frame that is torn, missing or damaged ends its segment; a restart goes on in a new one, so that
//! nothing is ever written behind a damaged frame. Reading a fact twice changes nothing, so a compaction
//! needs no care about what it leaves behind: it writes all live facts to a new segment, syncs it, and
//! then removes the older ones.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::mpsc;
use std::thread;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;
use tokio::sync::oneshot;

use super::book::{FactIndex, FrameLocation};
use super::message::{FactRecord, TurnFact};
use super::placement::KeeperPlacement;
use super::reader::FactReader;
use crate::limits::{LedgerTime, LimitUse};

/// Bytes of a frame before its payload: length and checksum.
const FRAME_HEAD: usize = 12;

/// Largest accepted frame; the longest input with its output fits.
const FRAME_LIMIT: usize = 64 << 20;

/// Jobs that one sync covers at most; beyond it the answers would wait for too large a write.
const GROUP_LIMIT: usize = 512;

/// Bytes beyond which a sync covers no further job; a small disk writes them in about ten milliseconds.
const GROUP_BYTES: usize = 1 << 20;

/// Facts that may wait for the disk; more are refused at once, so that a hanging disk can't fill memory.
const QUEUE_LIMIT: usize = 4096;

/// Size at which a segment is ended: a restart reads one into memory at a time.
const SEGMENT_BYTES: u64 = 4 << 20;

const STATE_FILE: &str = "state";
const SEGMENT_PREFIX: &str = "facts-";

/// A folder that can't be used.
#[derive(Debug, Error)]
pub enum FactDiskError {
    /// The system refused.
    #[error("{path}: {error}; give the instance a folder that it may write to")]
    System {
        /// The file or folder.
        path: PathBuf,
        /// Why.
        error: io::Error,
    },
}

/// The little that a keeper remembers beside facts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiskState {
    /// Whether the disk has everything that the keeper ever stored.
    pub complete: bool,
    /// The newest placement that it knows.
    pub placement: KeeperPlacement,
    /// Certificate of the deployment's authority, as PEM text.
    pub authority: SmolStr,
    /// Key of the deployment's authority, as PEM text.
    pub authority_key: SmolStr,
}

/// What a folder held.
#[derive(Default)]
pub struct RecoveredFacts {
    /// All facts.
    pub book: FactIndex,
    /// Facts read, repeated ones included.
    pub facts: usize,
    /// The state; `None` where the folder was empty.
    pub state: Option<DiskState>,
    /// Bytes of segments read.
    pub bytes: u64,
    /// Segments that ended in a damaged frame.
    pub damaged: usize,
    /// Time on the home's clock when it noted uses of limits last.
    pub limits_at: LedgerTime,
    /// Uses of organisations' limits.
    pub limit_uses: Vec<LimitUse>,
}

/// Where appended facts stand; `None` where they are not durable.
type AppendReply = oneshot::Sender<Option<Vec<FrameLocation>>>;

enum DiskJob {
    Append(Vec<FactRecord>, Option<AppendReply>),
    BeginSegment(oneshot::Sender<bool>),
    DropOlder,
    Remember(DiskState, oneshot::Sender<bool>),
}

/// The writing side of a folder; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct FactDisk {
    jobs: mpsc::SyncSender<DiskJob>,
    reader: FactReader,
}

impl FactDisk {
    /// Reads a folder and starts the thread that writes to it.
    ///
    /// # Errors
    ///
    /// [`FactDiskError`] where the folder can't be read or written.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredFacts), FactDiskError> {
        let system = |error| FactDiskError::System {
            path: folder.to_owned(),
            error,
        };
        fs::create_dir_all(folder).map_err(system)?;
        let recovered = recover(folder).map_err(system)?;
        let numbers = segment_numbers(folder).map_err(system)?;
        let mut writer = SegmentWriter {
            folder: folder.to_owned(),
            number: numbers.last().copied().unwrap_or(0),
            file: None,
            written: 0,
            kept_from: 0,
        };
        let (jobs, queue) = mpsc::sync_channel(QUEUE_LIMIT);
        thread::Builder::new()
            .name("fact-disk".to_owned())
            .spawn(move || writer.run(&queue))
            .map_err(system)?;
        let reader = FactReader::start(folder).map_err(system)?;
        Ok((Self { jobs, reader }, recovered))
    }

    /// Appends facts with one sync; resolves to where they stand, `None` where they are not durable.
    pub async fn append(&self, facts: Vec<FactRecord>) -> Option<Vec<FrameLocation>> {
        let (reply, locations) = oneshot::channel();
        self.jobs
            .try_send(DiskJob::Append(facts, Some(reply)))
            .ok()?;
        locations.await.ok()?
    }

    /// Appends a fact that is durable with the next one.
    pub fn note(&self, fact: FactRecord) {
        if self
            .jobs
            .try_send(DiskJob::Append(vec![fact], None))
            .is_err()
        {
            log::warn!(
                "a note was not written since the disk's queue is full; the turn counts at its most"
            );
        }
    }

    /// Reads turns; `None` where not all of them can be read.
    pub async fn read(&self, locations: Vec<FrameLocation>) -> Option<Vec<TurnFact>> {
        self.reader.read(locations).await
    }

    /// Begins a new segment, to which all live facts are then written; resolves to whether it began.
    pub async fn begin_segment(&self) -> bool {
        self.ask(DiskJob::BeginSegment).await
    }

    /// Removes the segments before the one that was begun last.
    pub fn drop_older(&self) {
        if self.jobs.try_send(DiskJob::DropOlder).is_err() {
            log::warn!("old segments are kept for now since the disk's queue is full");
        }
    }

    /// Writes the state; resolves to whether it is durable.
    pub async fn remember(&self, state: DiskState) -> bool {
        self.ask(|reply| DiskJob::Remember(state, reply)).await
    }

    async fn ask<Job>(&self, job: Job) -> bool
    where
        Job: FnOnce(oneshot::Sender<bool>) -> DiskJob,
    {
        let (reply, done) = oneshot::channel();
        if self.jobs.try_send(job(reply)).is_err() {
            return false;
        }
        done.await.unwrap_or(false)
    }
}

/// Where written bytes begin.
#[derive(Clone, Copy, Debug)]
struct WrittenAt {
    segment: u64,
    offset: u64,
}

/// Jobs that are written with one sync.
#[derive(Default)]
struct AppendGroup {
    bytes: Vec<u8>,
    answers: Vec<GroupAnswer>,
}

/// Where the frames of one job stand in the group, and who asked.
struct GroupAnswer {
    frames: Vec<Range<usize>>,
    reply: AppendReply,
}

impl AppendGroup {
    fn add(&mut self, facts: &[FactRecord], reply: Option<AppendReply>) {
        let mut frames = Vec::with_capacity(facts.len());
        for fact in facts {
            let start = self.bytes.len();
            encode_frame(fact, &mut self.bytes);
            frames.push(start..self.bytes.len());
        }
        if let Some(reply) = reply {
            self.answers.push(GroupAnswer { frames, reply });
        }
    }

    fn answer(self, written: Option<WrittenAt>) {
        for answer in self.answers {
            let locations = written.map(|at| answer.locations(at));
            // Whoever asked may have given up; the facts are durable all the same.
            let _ = answer.reply.send(locations);
        }
    }
}

impl GroupAnswer {
    fn locations(&self, at: WrittenAt) -> Vec<FrameLocation> {
        let frames = self.frames.iter().map(|frame| FrameLocation {
            segment: at.segment,
            offset: at.offset + frame.start as u64,
            length: frame.len(),
        });
        frames.collect()
    }
}

struct SegmentWriter {
    folder: PathBuf,
    number: u64,
    file: Option<File>,
    /// Bytes in the open segment.
    written: u64,
    /// Segment that was begun last by a compaction.
    kept_from: u64,
}

impl SegmentWriter {
    fn run(&mut self, queue: &mpsc::Receiver<DiskJob>) {
        let mut held: Option<DiskJob> = None;
        loop {
            let Some(first) = held.take().or_else(|| queue.recv().ok()) else {
                return;
            };
            match first {
                DiskJob::Append(facts, reply) => held = self.append_group(&facts, reply, queue),
                DiskJob::BeginSegment(reply) => {
                    self.file = None;
                    self.kept_from = self.number + 1;
                    // The asker may have given up; the next segment begins all the same.
                    let _ = reply.send(true);
                }
                DiskJob::DropOlder => {
                    log_failure("removal of old segments", self.drop_older().as_ref().err());
                }
                DiskJob::Remember(state, reply) => {
                    let done = self.remember(&state);
                    log_failure("state", done.as_ref().err());
                    // The asker may have given up; the state is written all the same.
                    let _ = reply.send(done.is_ok());
                }
            }
        }
    }

    /// Writes facts with all others that wait; returns the first job of another kind.
    fn append_group(
        &mut self,
        facts: &[FactRecord],
        reply: Option<AppendReply>,
        queue: &mpsc::Receiver<DiskJob>,
    ) -> Option<DiskJob> {
        let mut group = AppendGroup::default();
        let mut held = None;
        group.add(facts, reply);
        for _ in 1..GROUP_LIMIT {
            if group.bytes.len() > GROUP_BYTES {
                break;
            }
            match queue.try_recv() {
                Ok(DiskJob::Append(facts, reply)) => group.add(&facts, reply),
                Ok(other) => {
                    held = Some(other);
                    break;
                }
                Err(_) => break,
            }
        }
        let written = self.write_synced(&group.bytes);
        log_failure("facts", written.as_ref().err());
        group.answer(written.ok());
        held
    }

    /// Writes bytes durably; returns where they begin.
    fn write_synced(&mut self, bytes: &[u8]) -> io::Result<WrittenAt> {
        let file = match self.file.take() {
            Some(file) => file,
            None => self.next_segment()?,
        };
        // After a failure the file is not used again: its end may be torn.
        (&file).write_all(bytes)?;
        file.sync_data()?;
        let at = WrittenAt {
            segment: self.number,
            offset: self.written,
        };
        self.written += bytes.len() as u64;
        if self.written < SEGMENT_BYTES {
            self.file = Some(file);
        }
        Ok(at)
    }

    fn next_segment(&mut self) -> io::Result<File> {
        self.number += 1;
        self.written = 0;
        let path = segment_path(&self.folder, self.number);
        let file = OpenOptions::new()
            .create_new(true)
            .append(true)
            .open(path)?;
        file.sync_all()?;
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }

    fn drop_older(&self) -> io::Result<()> {
        for number in segment_numbers(&self.folder)? {
            if number < self.kept_from {
                fs::remove_file(segment_path(&self.folder, number))?;
            }
        }
        File::open(&self.folder)?.sync_all()
    }

    fn remember(&self, state: &DiskState) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode_frame(state, &mut bytes);
        let draft = self.folder.join("state-draft");
        let mut file = File::create(&draft)?;
        file.write_all(&bytes)?;
        file.sync_all()?;
        fs::rename(&draft, self.folder.join(STATE_FILE))?;
        File::open(&self.folder)?.sync_all()
    }
}

fn log_failure(what: &str, failure: Option<&io::Error>) {
    if let Some(error) = failure {
        log::warn!("{what} not written to disk: {error}; a new file is tried next");
    }
}

fn checksum(payload: &[u8]) -> [u8; 8] {
    let mut sum = [0; 8];
    sum.copy_from_slice(&blake3::hash(payload).as_bytes()[..8]);
    sum
}

fn encode_frame<Value>(value: &Value, output: &mut Vec<u8>)
where
    Value: Serialize,
{
    let payload = match postcard::to_stdvec(value) {
        Ok(payload) => payload,
        Err(error) => {
            log::error!("a fact can't be encoded: {error}; report it with the log");
            return;
        }
    };
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    output.extend_from_slice(&length.to_le_bytes());
    output.extend_from_slice(&checksum(&payload));
    output.extend_from_slice(&payload);
}

/// Returns the payload of the whole frame at the front; `None` at the end or at damage.
fn frame_payload(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    if length > FRAME_LIMIT {
        return None;
    }
    let sum = bytes.get(4..FRAME_HEAD)?;
    let payload = bytes.get(FRAME_HEAD..FRAME_HEAD + length)?;
    (checksum(payload) == sum).then_some(payload)
}

/// Decodes a whole frame; `None` where it is damaged.
pub(super) fn decode_frame(frame: &[u8]) -> Option<FactRecord> {
    postcard::from_bytes(frame_payload(frame)?).ok()
}

fn recover(folder: &Path) -> io::Result<RecoveredFacts> {
    let now = Instant::now();
    let mut recovered = RecoveredFacts::default();
    let state = folder.join(STATE_FILE);
    if state.exists() {
        let bytes = fs::read(&state)?;
        let payload = frame_payload(&bytes);
        recovered.state = payload.and_then(|payload| postcard::from_bytes(payload).ok());
    }
    for number in segment_numbers(folder)? {
        let bytes = fs::read(segment_path(folder, number))?;
        recovered.bytes += bytes.len() as u64;
        recover_segment(number, &bytes, &mut recovered, now);
    }
    Ok(recovered)
}

fn recover_segment(segment: u64, bytes: &[u8], recovered: &mut RecoveredFacts, now: Instant) {
    let mut offset = 0;
    while let Some(payload) = frame_payload(&bytes[offset..]) {
        let location = FrameLocation {
            segment,
            offset: offset as u64,
            length: FRAME_HEAD + payload.len(),
        };
        offset += location.length;
        match postcard::from_bytes::<FactRecord>(payload) {
            Ok(FactRecord::LimitUses { at, uses }) => {
                recovered.limits_at = recovered.limits_at.max(at);
                recovered.limit_uses.extend(uses);
            }
            Ok(fact) => {
                recovered.facts += 1;
                recovered.book.take(&fact, now);
                recovered.book.place_on_disk(&fact, location);
            }
            Err(error) => {
                log::error!(
                    "a stored fact can't be decoded: {error}; run the version that wrote it"
                );
            }
        }
    }
    if offset < bytes.len() {
        recovered.damaged += 1;
    }
}

pub(super) fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:08}"))
}

fn segment_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number: Option<u64> = name
            .to_str()
            .and_then(|name| name.strip_prefix(SEGMENT_PREFIX))
            .and_then(|digits| digits.parse().ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}
