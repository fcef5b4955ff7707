//! Proofs of the configuration's freshness: a keeper reads the configuration while entries request proofs, and reports
//! the time of the read.
//!
//! Avoids that each instance of a fleet queries the key-value service every second or two to find out whether a key was
//! withdrawn. All entries of a failure domain request proofs from the same keeper first, so that a few calls serve all
//! of them. If that keeper stops responding or its calls are rejected, the next keeper starts reading with the first
//! request.

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

/// Number of reads with which a keeper continues after the last request.
const READS_AFTER_REQUEST: u32 = 2;

/// Maximum time for which a request waits for the read that it has triggered.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(120);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a read: long enough for a service that is slower than usual by a factor of dozens, and short enough that
/// the next read follows soon after an outage.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Time within which the watch has to deliver a change that a read has returned; changes are batched for up to a
/// second.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1200);

/// Proof of which configuration was the newest one at a point in time.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigurationProof {
    /// Revision of the configuration's last change.
    pub revision: StoreRevision,
    /// Age of the proof when the request arrived.
    pub age: Duration,
}

/// A read of the configuration.
#[derive(Clone, Copy, Debug)]
struct ConfigurationRead {
    revision: StoreRevision,
    /// When the read was sent.
    sent: BootTime,
}

/// The latest read of the configuration, and whether proofs are requested.
#[derive(Debug)]
pub struct ProofCache {
    read: watch::Sender<Option<ConfigurationRead>>,
    /// Time until which the keeper continues to read.
    active_until: Mutex<Option<Instant>>,
    /// Time between two reads, in milliseconds.
    interval: AtomicU64,
    requested: Notify,
}

impl Default for ProofCache {
    fn default() -> Self {
        Self {
            read: watch::Sender::new(None),
            active_until: Mutex::default(),
            interval: AtomicU64::new(1000),
            requested: Notify::new(),
        }
    }
}

impl ProofCache {
    /// Handles a request for a proof; waits briefly for a new read if there was no recent request.
    pub async fn answer(&self) -> Option<ConfigurationProof> {
        let received = BootTime::now();
        let idle = !self.is_requested();
        let interval = Duration::from_millis(self.interval.load(Ordering::Relaxed));
        *lock_ignoring_poison(&self.active_until) =
            Some(Instant::now() + interval * READS_AFTER_REQUEST);
        if idle {
            let mut reads = self.read.subscribe();
            self.requested.notify_one();
            // If no read completes in time, the reply carries the last read with its age.
            let _ = tokio::time::timeout(FIRST_READ_TIMEOUT, reads.changed()).await;
        }
        let read = (*self.read.borrow())?;
        Some(ConfigurationProof {
            revision: read.revision,
            age: received.since(read.sent),
        })
    }

    fn is_requested(&self) -> bool {
        lock_ignoring_poison(&self.active_until).is_some_and(|until| Instant::now() < until)
    }
}

/// Reads the configuration for as long as proofs are requested.
pub struct ConfigurationProver {
    /// The key-value service.
    pub store: StoreClient,
    /// Key of the configuration.
    pub key: &'static str,
    /// Time between two reads.
    pub interval: Duration,
    /// Receives the reads.
    pub cache: Arc<ProofCache>,
    /// Data that the keeper's watch has delivered.
    pub mirror: Arc<StoreMirror>,
    /// Notified when the watch has missed a change.
    pub outdated: Arc<Notify>,
}

impl ConfigurationProver {
    /// Reads until cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.cache.interval.store(interval, Ordering::Relaxed);
        loop {
            if !self.cache.is_requested() {
                tokio::select! {
                    () = stop.cancelled() => return,
                    () = self.cache.requested.notified() => {}
                }
            }
            let pause = if self.read().await {
                self.interval
            } else {
                RETRY_DELAY
            };
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Reads the configuration once; returns whether the read yielded a proof.
    async fn read(&self) -> bool {
        let sent = BootTime::now();
        let page = match self.store.read_within(self.key, READ_TIMEOUT).await {
            Ok(page) => page,
            Err(failure) => {
                log::debug!("no proof of the configuration's freshness: {failure}");
                return false;
            }
        };
        let Some(item) = page.items.iter().find(|item| item.key == self.key) else {
            return false;
        };
        let revision = item.revision;
        self.cache
            .read
            .send_replace(Some(ConfigurationRead { revision, sent }));
        if self.is_newer_than_mirror(revision) {
            self.check_watch(revision);
        }
        true
    }

    fn is_newer_than_mirror(&self, revision: StoreRevision) -> bool {
        let known = self.mirror.revision_of(self.key);
        known.is_some_and(|known| known < revision)
    }

    /// Has all keys read again if the watch doesn't deliver a change that was read.
    fn check_watch(&self, revision: StoreRevision) {
        let (key, mirror) = (self.key, self.mirror.clone());
        let outdated = self.outdated.clone();
        tokio::spawn(async move {
            tokio::time::sleep(WATCH_TIMEOUT).await;
            let known = mirror.revision_of(key);
            if known.is_some_and(|known| known < revision) {
                outdated.notify_one();
            }
        });
    }
}
