//! Bounds what is buffered for clients that read slowly: for each connection, and for all together.
//!
//! A response is read from its upstream only as fast as the client reads, so the entry itself holds a few kilobytes of
//! it. The system's send queue is what grows: up to 4 MB for each connection by default, which 200 clients that read
//! nothing turned into 548 MB.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use samphiregrade_http::wire::{SocketLimits, WireSocket};
use tokio_util::sync::CancellationToken;

use crate::hold::lock_ignoring_poison;

/// Divisor of the machine's memory that gives the send queue of a connection.
const CONNECTION_DIVISOR: u64 = 2048;

/// Smallest send queue in bytes.
const MIN_QUEUE: u64 = 32 << 10;

/// Largest send queue in bytes: at a round trip of 2.8 ms, a client that reads can still receive 90 MB/s.
const MAX_QUEUE: u64 = 256 << 10;

/// Divisor of the machine's memory that gives the bytes that all waiting clients together may occupy.
const TOTAL_DIVISOR: u64 = 8;

/// Time for which a client may leave a write waiting even if too much memory is occupied: a lost packet is sent again
/// within this time.
const MIN_WAIT: Duration = Duration::from_secs(1);

/// Memory of the machine in megabytes, as set.
pub type MemoryMegabytes = u64;

type WriteNumber = u64;

#[derive(Debug)]
struct WaitingWrite {
    bytes: usize,
    since: Instant,
    ended: CancellationToken,
}

/// Writes to clients that are waiting for these to read, oldest first.
#[derive(Debug, Default)]
pub struct WaitingWrites {
    writes: BTreeMap<WriteNumber, WaitingWrite>,
    next_number: WriteNumber,
}

impl WaitingWrites {
    /// Adds a write with the bytes that it occupies; the token is cancelled when the write is to be given up.
    pub fn begin(&mut self, bytes: usize, now: Instant) -> (WriteNumber, CancellationToken) {
        let number = self.next_number;
        self.next_number += 1;
        let ended = CancellationToken::new();
        let write = WaitingWrite {
            bytes,
            since: now,
            ended: ended.clone(),
        };
        self.writes.insert(number, write);
        (number, ended)
    }

    /// Removes a write that is no longer waiting.
    pub fn end(&mut self, number: WriteNumber) {
        self.writes.remove(&number);
    }

    /// Returns the bytes that all waiting writes occupy.
    #[must_use]
    pub fn total(&self) -> usize {
        self.writes.values().map(|write| write.bytes).sum()
    }

    /// Gives up the writes that have waited longest until the others occupy no more than `limit` bytes.
    pub fn give_up_slowest(&mut self, limit: usize, now: Instant) {
        let mut total = self.total();
        while total > limit {
            let Some(oldest) = self.writes.first_entry() else {
                return;
            };
            if now.saturating_duration_since(oldest.get().since) < MIN_WAIT {
                return;
            }
            let write = oldest.remove();
            total -= write.bytes;
            write.ended.cancel();
        }
    }
}

/// Bounds the memory that slow clients of an entry occupy; each entry has one instance.
#[derive(Debug)]
pub struct SlowReaders {
    writes: Mutex<WaitingWrites>,
    queue: usize,
    limit: usize,
}

/// Removes a write when it is dropped.
struct WriteGuard<'readers> {
    readers: &'readers SlowReaders,
    number: WriteNumber,
}

impl Drop for WriteGuard<'_> {
    fn drop(&mut self) {
        lock_ignoring_poison(&self.readers.writes).end(self.number);
    }
}

impl SlowReaders {
    /// Returns the bounds for a machine.
    #[must_use]
    pub fn new(memory: MemoryMegabytes) -> Self {
        let bytes = memory.saturating_mul(1 << 20);
        let queue = (bytes / CONNECTION_DIVISOR).clamp(MIN_QUEUE, MAX_QUEUE);
        Self {
            writes: Mutex::default(),
            queue: usize::try_from(queue).unwrap_or(usize::MAX),
            limit: usize::try_from(bytes / TOTAL_DIVISOR).unwrap_or(usize::MAX),
        }
    }

    /// Returns the limits of a client's connection.
    #[must_use]
    pub fn socket_limits(&self) -> SocketLimits {
        SocketLimits {
            send_queue: Some(self.queue),
            ..SocketLimits::default()
        }
    }

    /// Resolves when a write of `pending` bytes is to be given up, since the client is the slowest one and too much
    /// memory is occupied. Counts the write as waiting until the future is dropped.
    pub async fn until_given_up(&self, socket: &WireSocket, pending: usize) {
        let queued = socket.unacknowledged().unwrap_or(self.queue);
        let (number, ended) =
            lock_ignoring_poison(&self.writes).begin(queued + pending, Instant::now());
        let _guard = WriteGuard {
            readers: self,
            number,
        };
        while !ended.is_cancelled() {
            let waiting = tokio::time::timeout(MIN_WAIT, ended.cancelled());
            if waiting.await.is_err() {
                let mut writes = lock_ignoring_poison(&self.writes);
                writes.give_up_slowest(self.limit, Instant::now());
            }
        }
    }
}
