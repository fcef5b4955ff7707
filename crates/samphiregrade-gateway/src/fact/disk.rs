//! Facts on disk: checksummed frames appended to segment files, synced in groups.
//!
//! A torn, missing or damaged frame ends its segment. A restarted keeper always begins a new segment, so that nothing
//! is ever written after a damaged frame. An interrupted compaction may leave duplicates: a compaction writes all live
//! facts to a new segment, syncs it and then removes the older segments. Loading a fact twice has no effect, and a
//! snapshot of the limits replaces their earlier records.

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
use crate::limits::{LedgerTime, LimitReservation, LimitUse, TokenUse};

/// Size of a frame's header in bytes: payload length and checksum.
const FRAME_HEADER: usize = 12;

/// Maximum payload size of a frame; the longest input with its output fits.
const FRAME_LIMIT: usize = 64 << 20;

/// Maximum number of jobs per sync; with more jobs, replies would wait for too large a write.
const GROUP_LIMIT: usize = 512;

/// Group size in bytes above which no further job is added to a sync; a small disk writes this much in about ten
/// milliseconds.
const GROUP_BYTES: usize = 1 << 20;

/// Maximum number of jobs queued for the disk; further ones are rejected at once, so that a hanging disk can't fill the
/// memory.
const QUEUE_LIMIT: usize = 4096;

/// Size at which a new segment is begun: a restart reads one segment into memory at a time.
const SEGMENT_BYTES: u64 = 4 << 20;

const STATE_FILE: &str = "state";
const SEGMENT_PREFIX: &str = "facts-";

/// Error of a data folder that can't be used.
#[derive(Debug, Error)]
pub enum FactDiskError {
    /// A system call failed.
    #[error("{path}: {error}; configure a data folder that the instance may write to")]
    System {
        /// The folder.
        path: PathBuf,
        /// The system's error.
        error: io::Error,
    },
}

/// Error of a value that can't be written as a frame.
#[derive(Debug, Error)]
enum FrameError {
    /// The value can't be encoded.
    #[error("it can't be encoded: {0}; report this bug with the log")]
    Encoding(#[from] postcard::Error),
    /// The value is longer than a frame may be.
    #[error("its {0} bytes exceed the maximum of {FRAME_LIMIT}; lower the clients' body limit")]
    TooLong(usize),
}

/// Persistent state of a keeper besides facts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct DiskState {
    /// Whether the disk has every fact that the keeper has ever acknowledged.
    pub complete: bool,
    /// The newest placement that the keeper knows.
    pub placement: KeeperPlacement,
    /// Certificate of the deployment's authority, as PEM text.
    pub authority: SmolStr,
    /// Key of the deployment's authority, as PEM text.
    pub authority_key: SmolStr,
}

/// Data read from a folder at the start.
#[derive(Default)]
pub struct RecoveredFacts {
    /// Index of all facts.
    pub index: FactIndex,
    /// Number of facts read, including duplicates.
    pub facts: usize,
    /// The state; `None` if the folder has no readable state file.
    pub state: Option<DiskState>,
    /// Whether the folder was empty, without a state file and without facts.
    pub is_fresh: bool,
    /// Total size of the segments in bytes.
    pub bytes: u64,
    /// Number of segments that ended in a damaged frame.
    pub damaged: usize,
    /// Time on the home's clock when it last recorded uses of limits.
    pub limits_at: LedgerTime,
    /// Uses of organisations' limits.
    pub limit_uses: Vec<LimitUse>,
}

impl RecoveredFacts {
    fn add_limits(
        &mut self,
        at: LedgerTime,
        uses: Vec<TokenUse>,
        reservations: Vec<LimitReservation>,
    ) {
        self.limits_at = self.limits_at.max(at);
        let uses = uses.into_iter().map(LimitUse::Tokens);
        self.limit_uses.extend(uses);
        let reservations = reservations.into_iter().map(LimitUse::Reservation);
        self.limit_uses.extend(reservations);
    }
}

/// Receives the locations of appended facts; `None` if they are not durable.
type AppendReply = oneshot::Sender<Option<Vec<FrameLocation>>>;

enum DiskJob {
    Append(Vec<FactRecord>, Option<AppendReply>),
    BeginSegment(oneshot::Sender<bool>),
    RemoveOlder,
    WriteState(DiskState, oneshot::Sender<bool>),
}

/// Writer and reader of a data folder; cheap to clone.
#[derive(Clone, Debug)]
pub struct FactDisk {
    jobs: mpsc::SyncSender<DiskJob>,
    reader: FactReader,
}

impl FactDisk {
    /// Reads a folder and starts the threads that write and read its facts.
    ///
    /// # Errors
    ///
    /// [`FactDiskError`] if the folder can't be read or written.
    pub fn open(folder: &Path) -> Result<(Self, RecoveredFacts), FactDiskError> {
        let system = |error| FactDiskError::System {
            path: folder.to_owned(),
            error,
        };
        fs::create_dir_all(folder).map_err(system)?;
        let recovered = recover(folder).map_err(system)?;
        let segments = segment_numbers(folder).map_err(system)?;
        let mut writer = SegmentWriter {
            folder: folder.to_owned(),
            number: segments.last().copied().unwrap_or(0),
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

    /// Appends facts with one sync; resolves to their locations, or to `None` if they are not durable. The call itself
    /// puts the facts into the queue, so that their order follows that of the calls.
    pub fn append(
        &self,
        facts: Vec<FactRecord>,
    ) -> impl Future<Output = Option<Vec<FrameLocation>>> + use<> {
        let (reply, locations) = oneshot::channel();
        // The reply channel of a rejected job is closed.
        let _ = self.jobs.try_send(DiskJob::Append(facts, Some(reply)));
        async move { locations.await.ok()? }
    }

    /// Appends a fact without waiting for the sync.
    pub fn append_later(&self, fact: FactRecord) {
        if self
            .jobs
            .try_send(DiskJob::Append(vec![fact], None))
            .is_err()
        {
            log::warn!(
                "a fact was not written because the disk's queue is full; its turn counts with the token maximum"
            );
        }
    }

    /// Reads turns; resolves to `None` if not all of them can be read.
    pub async fn read(&self, locations: Vec<FrameLocation>) -> Option<Vec<TurnFact>> {
        self.reader.read(locations).await
    }

    /// Begins a new segment, to which the caller then writes all live facts; resolves to whether it was begun.
    pub async fn begin_segment(&self) -> bool {
        self.submit(DiskJob::BeginSegment).await
    }

    /// Removes the segments before the one that `begin_segment` began last.
    pub fn remove_older(&self) {
        if self.jobs.try_send(DiskJob::RemoveOlder).is_err() {
            log::warn!("old segments are not removed yet because the disk's queue is full");
        }
    }

    /// Writes the persistent state; resolves to whether it is durable.
    pub async fn write_state(&self, state: DiskState) -> bool {
        self.submit(|reply| DiskJob::WriteState(state, reply)).await
    }

    async fn submit<Job>(&self, job: Job) -> bool
    where
        Job: FnOnce(oneshot::Sender<bool>) -> DiskJob,
    {
        let (reply, result) = oneshot::channel();
        if self.jobs.try_send(job(reply)).is_err() {
            return false;
        }
        result.await.unwrap_or(false)
    }
}

/// Position at which a write began.
#[derive(Clone, Copy, Debug)]
struct WritePosition {
    segment: u64,
    offset: u64,
}

/// Append jobs that are written with one sync.
#[derive(Default)]
struct AppendGroup {
    bytes: Vec<u8>,
    replies: Vec<GroupReply>,
}

/// Ranges of one job's frames within the group, and the channel for the reply.
struct GroupReply {
    frames: Vec<Range<usize>>,
    reply: AppendReply,
}

impl AppendGroup {
    /// Adds a job's facts; if one of them can't be written, the job is rejected as a whole.
    fn add(&mut self, facts: &[FactRecord], reply: Option<AppendReply>) {
        let begin = self.bytes.len();
        let mut frames = Vec::with_capacity(facts.len());
        for fact in facts {
            let start = self.bytes.len();
            if let Err(error) = encode_frame(fact, &mut self.bytes) {
                log::error!("a fact is not written: {error}");
                self.bytes.truncate(begin);
                if let Some(reply) = reply {
                    // The receiver is gone if the caller has stopped waiting.
                    let _ = reply.send(None);
                }
                return;
            }
            frames.push(start..self.bytes.len());
        }
        if let Some(reply) = reply {
            self.replies.push(GroupReply { frames, reply });
        }
    }

    fn reply_all(self, written: Option<WritePosition>) {
        for reply in self.replies {
            let locations = written.map(|at| reply.locations(at));
            // The receiver is gone if the caller has stopped waiting; the facts are durable regardless.
            let _ = reply.reply.send(locations);
        }
    }
}

impl GroupReply {
    fn locations(&self, at: WritePosition) -> Vec<FrameLocation> {
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
    /// Size of the open segment in bytes.
    written: u64,
    /// First segment of the last compaction; older ones are removed.
    kept_from: u64,
}

impl SegmentWriter {
    fn run(&mut self, queue: &mpsc::Receiver<DiskJob>) {
        let mut pending: Option<DiskJob> = None;
        loop {
            let Some(first) = pending.take().or_else(|| queue.recv().ok()) else {
                return;
            };
            match first {
                DiskJob::Append(facts, reply) => pending = self.append_group(&facts, reply, queue),
                DiskJob::BeginSegment(reply) => {
                    self.file = None;
                    self.kept_from = self.number + 1;
                    // The receiver is gone if the caller has stopped waiting; the next segment begins regardless.
                    let _ = reply.send(true);
                }
                DiskJob::RemoveOlder => {
                    log_failure(
                        "removal of old segments",
                        self.remove_older().as_ref().err(),
                    );
                }
                DiskJob::WriteState(state, reply) => {
                    let result = self.write_state(&state);
                    log_failure("state", result.as_ref().err());
                    // The receiver is gone if the caller has stopped waiting; the state is written regardless.
                    let _ = reply.send(result.is_ok());
                }
            }
        }
    }

    /// Writes facts together with all queued ones; returns the first queued job of another kind.
    fn append_group(
        &mut self,
        facts: &[FactRecord],
        reply: Option<AppendReply>,
        queue: &mpsc::Receiver<DiskJob>,
    ) -> Option<DiskJob> {
        let mut group = AppendGroup::default();
        let mut pending = None;
        group.add(facts, reply);
        for _ in 1..GROUP_LIMIT {
            if group.bytes.len() > GROUP_BYTES {
                break;
            }
            match queue.try_recv() {
                Ok(DiskJob::Append(facts, reply)) => group.add(&facts, reply),
                Ok(other) => {
                    pending = Some(other);
                    break;
                }
                Err(_) => break,
            }
        }
        let written = self.write_synced(&group.bytes);
        log_failure("facts", written.as_ref().err());
        group.reply_all(written.ok());
        pending
    }

    /// Writes bytes durably; returns their position.
    fn write_synced(&mut self, bytes: &[u8]) -> io::Result<WritePosition> {
        let file = match self.file.take() {
            Some(file) => file,
            None => self.next_segment()?,
        };
        // After a failure the file is not reused: its last frame may be torn.
        (&file).write_all(bytes)?;
        file.sync_data()?;
        let at = WritePosition {
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

    fn remove_older(&self) -> io::Result<()> {
        for number in segment_numbers(&self.folder)? {
            if number < self.kept_from {
                fs::remove_file(segment_path(&self.folder, number))?;
            }
        }
        File::open(&self.folder)?.sync_all()
    }

    fn write_state(&self, state: &DiskState) -> io::Result<()> {
        let mut bytes = Vec::new();
        encode_frame(state, &mut bytes).map_err(io::Error::other)?;
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
        log::warn!("{what}: disk write failed: {error}; the next write uses a new file");
    }
}

fn checksum(payload: &[u8]) -> [u8; 8] {
    let mut sum = [0; 8];
    sum.copy_from_slice(&blake3::hash(payload).as_bytes()[..8]);
    sum
}

/// Appends a frame; an error leaves the output as it was.
fn encode_frame<Value>(value: &Value, output: &mut Vec<u8>) -> Result<(), FrameError>
where
    Value: Serialize,
{
    let payload = postcard::to_stdvec(value)?;
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    if payload.len() > FRAME_LIMIT {
        return Err(FrameError::TooLong(payload.len()));
    }
    output.extend_from_slice(&length.to_le_bytes());
    output.extend_from_slice(&checksum(&payload));
    output.extend_from_slice(&payload);
    Ok(())
}

/// Returns the payload of the frame at the front; `None` at the end of the data or if the frame is torn or damaged.
fn frame_payload(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(bytes.get(..4)?.try_into().ok()?) as usize;
    if length > FRAME_LIMIT {
        return None;
    }
    let sum = bytes.get(4..FRAME_HEADER)?;
    let payload = bytes.get(FRAME_HEADER..FRAME_HEADER + length)?;
    (checksum(payload) == sum).then_some(payload)
}

/// Decodes a complete frame; `None` if it is damaged.
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
        if recovered.state.is_none() {
            log::error!(
                "{} is damaged: the keeper reads all facts of the other keepers again; check the disk",
                state.display()
            );
        }
    }
    let segments = segment_numbers(folder)?;
    recovered.is_fresh = !state.exists() && segments.is_empty();
    for number in segments {
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
            length: FRAME_HEADER + payload.len(),
        };
        offset += location.length;
        match postcard::from_bytes::<FactRecord>(payload) {
            Ok(FactRecord::LimitUses { at, uses }) => {
                recovered.add_limits(at, uses, Vec::new());
            }
            Ok(FactRecord::LimitReservations { at, reservations }) => {
                recovered.add_limits(at, Vec::new(), reservations);
            }
            Ok(FactRecord::LimitSnapshot {
                at,
                uses,
                reservations,
            }) => {
                recovered.limit_uses.clear();
                recovered.add_limits(at, uses, reservations);
            }
            Ok(FactRecord::Tries(fact)) if fact.is_outdated() => {}
            Ok(fact) => {
                recovered.facts += 1;
                recovered.index.insert(&fact, now);
                recovered.index.set_disk_location(&fact, location);
            }
            Err(error) => {
                log::error!(
                    "a stored fact can't be decoded: {error}; run the software version that wrote it"
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
    let mut segments = Vec::new();
    for entry in fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number: Option<u64> = name
            .to_str()
            .and_then(|name| name.strip_prefix(SEGMENT_PREFIX))
            .and_then(|digits| digits.parse().ok());
        segments.extend(number);
    }
    segments.sort_unstable();
    Ok(segments)
}
