//! Proofs of how fresh the configuration is: a keeper reads it while entries ask, and tells when that was.
//!
//! Answers the pattern of a fleet in which each instance would have to ask the key-value service every second or two
//! whether a key was withdrawn. All entries of a failure domain ask the same keeper first, so that a few calls prove it
//! for all; where that keeper falls silent or is turned away, the next one begins to read with the first question.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::client::StoreClient;
use super::mirror::StoreMirror;
use crate::access::BootTime;
use crate::dialect::StoreRevision;
use crate::hold::lock_ignoring_poison;

/// Reads after the last question with which a keeper goes on.
const READS_UNASKED: u32 = 2;

/// Longest wait of a question for a read that has been begun for it.
const FIRST_READ: Duration = Duration::from_millis(120);

/// Pause after a read that failed.
const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for a read: a service that is slow by dozens answers within it, and one that was away is asked again as
/// soon as it is back.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Time in which a watch brings what a read has shown; changes are gathered for up to a second.
const WATCH_PATIENCE: Duration = Duration::from_millis(1200);

/// Which configuration was the newest one at a moment.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationProof {
    /// Revision of its last change.
    pub revision: StoreRevision,
    /// How long before the question that was.
    pub age: Duration,
}

/// A read of the configuration.
#[derive(Clone, Copy, Debug)]
struct ProvedRead {
    revision: StoreRevision,
    /// When it was sent.
    sent: BootTime,
}

/// What a keeper has proved, and whether anybody asks.
#[derive(Debug)]
pub struct ProofCache {
    read: watch::Sender<Option<ProvedRead>>,
    /// Until when the keeper reads.
    reads_until: Mutex<Option<Instant>>,
    /// Time between two reads, in milliseconds.
    interval: AtomicU64,
    wanted: Notify,
}

impl Default for ProofCache {
    fn default() -> Self {
        Self {
            read: watch::Sender::new(None),
            reads_until: Mutex::default(),
            interval: AtomicU64::new(1000),
            wanted: Notify::new(),
        }
    }
}

impl ProofCache {
    /// Answers a question; waits a little where nobody has asked lately.
    pub async fn answer(&self) -> Option<ConfigurationProof> {
        let came = BootTime::now();
        let idle = !self.is_asked();
        let interval = Duration::from_millis(self.interval.load(Ordering::Relaxed));
        *lock_ignoring_poison(&self.reads_until) = Some(Instant::now() + interval * READS_UNASKED);
        if idle {
            let mut reads = self.read.subscribe();
            self.wanted.notify_one();
            // Without a read in time the last one is told, with its age.
            let _ = tokio::time::timeout(FIRST_READ, reads.changed()).await;
        }
        let read = (*self.read.borrow())?;
        Some(ConfigurationProof {
            revision: read.revision,
            age: came.since(read.sent),
        })
    }

    fn is_asked(&self) -> bool {
        lock_ignoring_poison(&self.reads_until).is_some_and(|until| Instant::now() < until)
    }
}

/// Reads the configuration for as long as somebody asks.
pub struct ConfigurationProver {
    /// The key-value service.
    pub store: StoreClient,
    /// Key of the configuration.
    pub key: &'static str,
    /// Time between two reads.
    pub interval: Duration,
    /// Where reads are told.
    pub cache: Arc<ProofCache>,
    /// What the keeper's watch has brought.
    pub mirror: Arc<StoreMirror>,
    /// Told where the watch has stayed silent about a change.
    pub outdated: Arc<Notify>,
}

impl ConfigurationProver {
    /// Reads until told to stop.
    pub async fn run(self, stop: CancellationToken) {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.cache.interval.store(interval, Ordering::Relaxed);
        loop {
            if !self.cache.is_asked() {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = self.cache.wanted.notified() => {}
                }
            }
            let pause = if self.read().await {
                self.interval
            } else {
                FAILED_PAUSE
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Reads the configuration once; returns whether that proved anything.
    async fn read(&self) -> bool {
        let sent = BootTime::now();
        let page = match self.store.read_within(self.key, READ_TIMEOUT).await {
            Ok(page) => page,
            Err(failure) => {
                log::debug!("the configuration is not confirmed: {failure}");
                return false;
            }
        };
        let Some(item) = page.items.iter().find(|item| item.key == self.key) else {
            return false;
        };
        let revision = item.revision;
        self.cache
            .read
            .send_replace(Some(ProvedRead { revision, sent }));
        if self.is_behind(revision) {
            self.expect_change(revision);
        }
        true
    }

    fn is_behind(&self, revision: StoreRevision) -> bool {
        let known = self.mirror.revision_of(self.key);
        known.is_some_and(|known| known < revision)
    }

    /// Has everything read again where the watch doesn't bring a change that was read.
    fn expect_change(&self, revision: StoreRevision) {
        let (key, mirror) = (self.key, self.mirror.clone());
        let outdated = self.outdated.clone();
        tokio::spawn(async move {
            tokio::time::sleep(WATCH_PATIENCE).await;
            let known = mirror.revision_of(key);
            if known.is_some_and(|known| known < revision) {
                outdated.notify_one();
            }
        });
    }
}
