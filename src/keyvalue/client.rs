//! The client of the key-value service: limits its call rate, resolves lost replies and counts calls.

use std::fmt;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::{
    KeyChange, KeyEntry, KeyRange, KeyValueError, KeyValueStore, RangeReading, SwapOutcome,
};
use crate::ids::RevisionNumber;

/// Attempts of a swap whose reply was lost, before the caller gets [`KeyValueError::NoAnswer`].
const SWAP_TRIES: usize = 6;

/// Pause between two attempts.
const SWAP_PAUSE: Duration = Duration::from_millis(100);

/// Rate limit of one instance's calls of the key-value service.
#[derive(Clone, Copy, Debug)]
pub struct KeyValueLimits {
    /// Sustained rate in calls per second.
    pub calls_per_second: f64,
    /// Calls that can be made at once after a period without calls.
    pub burst: f64,
}

impl Default for KeyValueLimits {
    fn default() -> Self {
        Self {
            calls_per_second: 20.0,
            burst: 60.0,
        }
    }
}

#[derive(Debug)]
struct TokenBucket {
    level: f64,
    refilled: Instant,
}

/// Counters of calls since the start.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyValueStats {
    /// Calls sent.
    pub calls: u64,
    /// Calls without a response.
    pub failures: u64,
    /// Calls rejected by the instance's own rate limit.
    pub held_back: u64,
    /// Whether the last call got a response.
    pub reachable: bool,
}

struct ClientInner {
    store: Arc<dyn KeyValueStore>,
    limits: KeyValueLimits,
    bucket: Mutex<TokenBucket>,
    calls: AtomicU64,
    failures: AtomicU64,
    held_back: AtomicU64,
    reachable: AtomicBool,
}

/// Client of the key-value service; cheap to clone.
#[derive(Clone)]
pub struct KeyValueClient {
    inner: Arc<ClientInner>,
}

impl fmt::Debug for KeyValueClient {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("KeyValueClient")
            .field("stats", &self.stats())
            .finish()
    }
}

impl KeyValueClient {
    /// Creates a client of a store.
    #[must_use]
    pub fn new(store: Arc<dyn KeyValueStore>, limits: KeyValueLimits) -> Self {
        let bucket = TokenBucket {
            level: limits.burst,
            refilled: Instant::now(),
        };
        let inner = ClientInner {
            store,
            limits,
            bucket: Mutex::new(bucket),
            calls: AtomicU64::new(0),
            failures: AtomicU64::new(0),
            held_back: AtomicU64::new(0),
            reachable: AtomicBool::new(true),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the counters of calls.
    #[must_use]
    pub fn stats(&self) -> KeyValueStats {
        KeyValueStats {
            calls: self.inner.calls.load(Ordering::Relaxed),
            failures: self.inner.failures.load(Ordering::Relaxed),
            held_back: self.inner.held_back.load(Ordering::Relaxed),
            reachable: self.inner.reachable.load(Ordering::Relaxed),
        }
    }

    /// Returns whether the last call got a response.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.inner.reachable.load(Ordering::Relaxed)
    }

    /// Reads a range.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response; a read can always be repeated.
    pub async fn read(&self, range: KeyRange) -> Result<RangeReading, KeyValueError> {
        self.take_token()?;
        self.record_outcome(self.inner.store.read(range).await)
    }

    /// Reads one key.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read).
    pub async fn read_key(&self, key: &SmolStr) -> Result<Option<KeyEntry>, KeyValueError> {
        let reading = self.read(KeyRange::Single(key.clone())).await?;
        Ok(reading.entries.into_iter().next())
    }

    /// Stores a value if the key's revision is `expected`, and finds out whether a swap without reply took effect.
    ///
    /// After a lost reply the same swap is sent again. Either it takes effect now, which prevents the first one
    /// from ever taking effect, or the value of the first one is found. This requires a unique value, for
    /// example one that contains an attempt id.
    ///
    /// # Errors
    ///
    /// Returns [`KeyValueError::NoAnswer`] only if a reply was lost and no later attempt got one; the swap may
    /// then have taken effect, or may still do so.
    pub async fn swap(
        &self,
        key: &SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
    ) -> Result<SwapOutcome, KeyValueError> {
        self.take_token()?;
        let mut lost_reply = None;
        for _ in 0..SWAP_TRIES {
            let reply = self
                .inner
                .store
                .swap(key.clone(), expected, value.clone())
                .await;
            match (self.record_outcome(reply), &lost_reply) {
                (Ok(SwapOutcome::Conflict(Some(entry))), Some(_))
                    if Some(&entry.value) == value.as_ref() =>
                {
                    return Ok(SwapOutcome::Swapped(entry.revision));
                }
                (Ok(outcome), _) => return Ok(outcome),
                (Err(error @ KeyValueError::NoAnswer(_)), _) => lost_reply = Some(error),
                (Err(error), None) => return Err(error),
                (Err(_), Some(_)) => {}
            }
            tokio::time::sleep(SWAP_PAUSE).await;
        }
        Err(lost_reply.unwrap_or(KeyValueError::Limited))
    }

    /// Watches a range from a revision on.
    ///
    /// # Errors
    ///
    /// Returns the reason why the watch could not be started.
    pub async fn watch(
        &self,
        range: KeyRange,
        from: RevisionNumber,
    ) -> Result<mpsc::Receiver<KeyChange>, KeyValueError> {
        self.take_token()?;
        self.record_outcome(self.inner.store.watch(range, from).await)
    }

    /// Acquires or renews a lease; returns whether this holder has it.
    ///
    /// # Errors
    ///
    /// Returns the reason why there is no response; the caller then has to treat the lease as lost.
    pub async fn hold_lease(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: Duration,
    ) -> Result<bool, KeyValueError> {
        self.take_token()?;
        self.record_outcome(self.inner.store.hold_lease(key, holder, time).await)
    }

    fn take_token(&self) -> Result<(), KeyValueError> {
        let mut bucket = self
            .inner
            .bucket
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(bucket.refilled).as_secs_f64();
        let level = bucket.level + gained * self.inner.limits.calls_per_second;
        bucket.level = level.min(self.inner.limits.burst);
        bucket.refilled = now;
        if bucket.level < 1.0 {
            self.inner.held_back.fetch_add(1, Ordering::Relaxed);
            return Err(KeyValueError::Limited);
        }
        bucket.level -= 1.0;
        self.inner.calls.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn record_outcome<Reply>(
        &self,
        reply: Result<Reply, KeyValueError>,
    ) -> Result<Reply, KeyValueError> {
        let reachable = !matches!(
            reply,
            Err(KeyValueError::Unreachable(_) | KeyValueError::NoAnswer(_))
        );
        if !reachable {
            self.inner.failures.fetch_add(1, Ordering::Relaxed);
        }
        let before = self.inner.reachable.swap(reachable, Ordering::Relaxed);
        if before != reachable {
            log::info!("key-value service reachable={reachable}");
        }
        reply
    }
}
