//! Proofs of the configuration's freshness: a keeper reads the configuration while entries request proofs, and reports
//! the time of the read.
//!
//! Avoids that each instance of a fleet queries the key-value service every second or two to find out whether a key was
//! withdrawn. All entries of a failure domain request proofs from the same keeper first, so that a few calls serve all
//! of them. If that keeper stops responding or its calls are rejected, the next keeper starts reading with the first
//! request. Under a bound for withdrawn keys, the keepers of the failure domains read at evenly spread times, and hold a
//! request that arrives shortly before a read until the read completes.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use super::client::StoreClient;
use super::mirror::StoreMirror;
use crate::access::{BootTime, MIN_READ_INTERVAL, ProofTiming, READS_IN_FLIGHT};
use crate::dialect::{StoreItem, StoreRevision, StoreValue};
use crate::hold::lock_ignoring_poison;

/// Number of reads with which a keeper continues after the last request.
const READS_AFTER_REQUEST: u32 = 2;

/// Maximum time for which a request waits for the read that it has triggered, without a bound for withdrawn keys.
const FIRST_READ_TIMEOUT: Duration = Duration::from_millis(120);

/// Delay after a failed read, without a bound for withdrawn keys.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Timeout of a read without a bound for withdrawn keys: long enough for a service that is slower than usual by a factor
/// of dozens, and short enough that the next read follows soon after an outage.
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
    /// Timing under a bound for withdrawn keys; unset without a bound.
    timing: OnceLock<ProofTiming>,
    /// Phase of the reads in thousandths of the interval.
    phase: AtomicU64,
    /// Whether the watch is being checked against a read.
    checking_watch: AtomicBool,
    /// Cancelled when the keeper stops and holds no more requests.
    released: CancellationToken,
}

impl Default for ProofCache {
    fn default() -> Self {
        Self {
            read: watch::Sender::new(None),
            active_until: Mutex::default(),
            interval: AtomicU64::new(1000),
            requested: Notify::new(),
            timing: OnceLock::new(),
            phase: AtomicU64::new(0),
            checking_watch: AtomicBool::new(false),
            released: CancellationToken::new(),
        }
    }
}

impl ProofCache {
    /// Handles a request for a proof; waits for a new read if there was no recent request or, under a bound for
    /// withdrawn keys, if the next read is due soon.
    pub async fn answer(&self) -> Option<ConfigurationProof> {
        let received = BootTime::now();
        let idle = !self.is_requested();
        let interval = Duration::from_millis(self.interval.load(Ordering::Relaxed));
        *lock_ignoring_poison(&self.active_until) =
            Some(Instant::now() + interval * READS_AFTER_REQUEST);
        if let Some(timing) = self.timing.get() {
            self.await_recent_read(timing, received, idle).await;
        } else if idle {
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

    async fn await_recent_read(&self, timing: &ProofTiming, received: BootTime, idle: bool) {
        let mut reads = self.read.subscribe();
        if idle {
            self.requested.notify_one();
        }
        let known = *reads.borrow_and_update();
        if known.is_some_and(|read| timing.is_recent(received.since(read.sent))) {
            return;
        }
        // Without a read in time, the reply carries the last one with its age.
        tokio::select! {
            _ = tokio::time::timeout(timing.hold, reads.changed()) => {}
            () = self.released.cancelled() => {}
        }
    }

    /// Sets the phase of the reads, as a share of the interval between two reads.
    pub fn set_phase(&self, phase: f64) {
        let thousandths = Duration::from_secs(1).mul_f64(phase.clamp(0.0, 1.0));
        let thousandths = u64::try_from(thousandths.as_millis()).unwrap_or(0);
        self.phase.store(thousandths, Ordering::Relaxed);
    }

    /// Answers all held requests, and holds no more.
    pub fn release_waiters(&self) {
        self.released.cancel();
    }

    /// Returns the time until the next read under a bound for withdrawn keys.
    fn next_read_in(&self, timing: &ProofTiming) -> Duration {
        let time_of_day = SystemTime::now().duration_since(UNIX_EPOCH);
        let phase = Duration::from_millis(self.phase.load(Ordering::Relaxed)).as_secs_f64();
        timing.next_read_in(time_of_day.unwrap_or_default(), phase)
    }

    /// Returns whether the newest read is so old that a read must have failed.
    fn is_overdue(&self, timing: &ProofTiming) -> bool {
        let newest = *self.read.borrow();
        newest.is_none_or(|read| BootTime::now().since(read.sent) > timing.overdue_age)
    }

    /// Stores a read unless a later one is known; returns whether it was stored.
    fn store_read(&self, read: ConfigurationRead) -> bool {
        self.read.send_if_modified(|known| {
            let newer = known.is_none_or(|known| known.sent < read.sent);
            if newer {
                *known = Some(read);
            }
            newer
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
    /// Time between two reads without a bound for withdrawn keys.
    pub interval: Duration,
    /// Timing under a bound for withdrawn keys; `None` without a bound.
    pub timing: Option<ProofTiming>,
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
        match self.timing {
            Some(timing) => self.run_paced(timing, &stop).await,
            None => self.run_serially(&stop).await,
        }
    }

    /// Reads at the times of the timing. A read that does not complete delays none of the next ones: each of them uses
    /// another connection.
    async fn run_paced(self, timing: ProofTiming, stop: &CancellationToken) {
        let interval = u64::try_from(timing.read_interval.as_millis()).unwrap_or(u64::MAX);
        self.cache.interval.store(interval, Ordering::Relaxed);
        // The timing never changes while the process runs.
        let _ = self.cache.timing.set(timing);
        let clients: Vec<StoreClient> = (0..READS_IN_FLIGHT)
            .map(|_| self.store.with_own_connection())
            .collect();
        let prover = Arc::new(self);
        for client in clients.iter().cycle() {
            if !prover.await_request(stop).await {
                return;
            }
            let (prover, client) = (prover.clone(), client.clone());
            let pause = prover.cache.next_read_in(&timing);
            // With a long interval, waiting for the next one would refuse keys long after an outage.
            let pause = if prover.cache.is_overdue(&timing) {
                pause.min(MIN_READ_INTERVAL)
            } else {
                pause
            };
            let reading = stop.clone().run_until_cancelled_owned(async move {
                prover.read(&client, timing.read_timeout).await;
            });
            tokio::spawn(reading);
            tokio::select! {
                () = stop.cancelled() => return,
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    /// Waits until proofs are requested; returns whether the keeper still runs.
    async fn await_request(&self, stop: &CancellationToken) -> bool {
        if self.cache.is_requested() {
            return true;
        }
        tokio::select! {
            () = stop.cancelled() => false,
            () = self.cache.requested.notified() => true,
        }
    }

    /// Reads one after another.
    async fn run_serially(self, stop: &CancellationToken) {
        let interval = u64::try_from(self.interval.as_millis()).unwrap_or(u64::MAX);
        self.cache.interval.store(interval, Ordering::Relaxed);
        loop {
            if !self.await_request(stop).await {
                return;
            }
            let pause = if self.read(&self.store, READ_TIMEOUT).await {
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
    async fn read(&self, client: &StoreClient, timeout: Duration) -> bool {
        let sent = BootTime::now();
        let page = match client.read_within(self.key, timeout).await {
            Ok(page) => page,
            Err(failure) => {
                log::debug!("no proof of the configuration's freshness: {failure}");
                return false;
            }
        };
        // An item that can't be read has revision 0, which would prove every known configuration.
        let is_configuration = |item: &&StoreItem| {
            item.key == self.key
                && item.revision > 0
                && matches!(item.value, StoreValue::Present(_))
        };
        let Some(item) = page.items.iter().find(is_configuration) else {
            return false;
        };
        let revision = item.revision;
        let stored = self.cache.store_read(ConfigurationRead { revision, sent });
        if stored && self.is_newer_than_mirror(revision) {
            self.check_watch(revision);
        }
        true
    }

    fn is_newer_than_mirror(&self, revision: StoreRevision) -> bool {
        let known = self.mirror.revision_of(self.key);
        known.is_some_and(|known| known < revision)
    }

    /// Has all keys read again if the watch doesn't deliver a change that was read.
    ///
    /// Only one check is in progress at a time. Otherwise, frequent reads would interrupt the reading of all keys again
    /// and again while the service is slow.
    fn check_watch(&self, revision: StoreRevision) {
        if self.cache.checking_watch.swap(true, Ordering::AcqRel) {
            return;
        }
        let cache = self.cache.clone();
        let (key, mirror) = (self.key, self.mirror.clone());
        let outdated = self.outdated.clone();
        tokio::spawn(async move {
            tokio::time::sleep(WATCH_TIMEOUT).await;
            cache.checking_watch.store(false, Ordering::Release);
            let known = mirror.revision_of(key);
            if known.is_some_and(|known| known < revision) {
                outdated.notify_one();
            }
        });
    }
}
