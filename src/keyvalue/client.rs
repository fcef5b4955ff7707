//! The client that the rest of the system uses: limits, read-back after lost replies, statistics.

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

/// Tries of a swap whose reply was lost, before the caller has to live with the doubt.
const SWAP_TRIES: usize = 6;

/// Pause between two tries.
const SWAP_PAUSE: Duration = Duration::from_millis(100);

/// How many calls one instance allows itself.
#[derive(Clone, Copy, Debug)]
pub struct KeyValueLimits {
    /// Calls a second in the long run.
    pub calls_per_second: f64,
    /// Calls at once after a quiet time.
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
    filled: Instant,
}

/// Calls counted since the start.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct KeyValueStats {
    /// Calls made.
    pub calls: u64,
    /// Calls without an answer.
    pub failures: u64,
    /// Calls held back by the own limit.
    pub held_back: u64,
    /// Whether the last call was answered.
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

/// The client; cloning it is cheap.
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
    /// Makes a client on a store.
    #[must_use]
    pub fn new(store: Arc<dyn KeyValueStore>, limits: KeyValueLimits) -> Self {
        let bucket = TokenBucket {
            level: limits.burst,
            filled: Instant::now(),
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

    /// Returns the calls counted so far.
    #[must_use]
    pub fn stats(&self) -> KeyValueStats {
        KeyValueStats {
            calls: self.inner.calls.load(Ordering::Relaxed),
            failures: self.inner.failures.load(Ordering::Relaxed),
            held_back: self.inner.held_back.load(Ordering::Relaxed),
            reachable: self.inner.reachable.load(Ordering::Relaxed),
        }
    }

    /// Returns whether the last call was answered.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        self.inner.reachable.load(Ordering::Relaxed)
    }

    /// Reads a range.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer; reading again is always right.
    pub async fn read(&self, range: KeyRange) -> Result<RangeReading, KeyValueError> {
        self.take_token()?;
        self.note(self.inner.store.read(range).await)
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

    /// Stores a value where the key's last change is `expected`, and settles a lost reply.
    ///
    /// After a lost reply the same swap is sent again: either it takes effect now, and the first one
    /// never can any more, or the first one's value is found. The value has to be unique for that, by
    /// an attempt id for instance.
    ///
    /// # Errors
    ///
    /// Returns [`KeyValueError::NoAnswer`] only where no try brought an answer; the swap may then
    /// have taken effect, or may still do so.
    pub async fn swap(
        &self,
        key: &SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
    ) -> Result<SwapOutcome, KeyValueError> {
        self.take_token()?;
        let mut doubt = None;
        for _ in 0..SWAP_TRIES {
            let answer = self
                .inner
                .store
                .swap(key.clone(), expected, value.clone())
                .await;
            match (self.note(answer), &doubt) {
                (Ok(SwapOutcome::Conflict(Some(entry))), Some(_))
                    if Some(&entry.value) == value.as_ref() =>
                {
                    return Ok(SwapOutcome::Swapped(entry.revision));
                }
                (Ok(outcome), _) => return Ok(outcome),
                (Err(error @ KeyValueError::NoAnswer(_)), _) => doubt = Some(error),
                (Err(error), None) => return Err(error),
                (Err(_), Some(_)) => {}
            }
            tokio::time::sleep(SWAP_PAUSE).await;
        }
        Err(doubt.unwrap_or(KeyValueError::Limited))
    }

    /// Watches a range from a revision on.
    ///
    /// # Errors
    ///
    /// Returns why the watch could not begin.
    pub async fn watch(
        &self,
        range: KeyRange,
        from: RevisionNumber,
    ) -> Result<mpsc::Receiver<KeyChange>, KeyValueError> {
        self.take_token()?;
        self.note(self.inner.store.watch(range, from).await)
    }

    /// Takes or renews a lease; returns whether this holder has it.
    ///
    /// # Errors
    ///
    /// Returns why there was no answer; the lease must be counted as lost then.
    pub async fn hold_lease(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: Duration,
    ) -> Result<bool, KeyValueError> {
        self.take_token()?;
        self.note(self.inner.store.hold_lease(key, holder, time).await)
    }

    fn take_token(&self) -> Result<(), KeyValueError> {
        let mut bucket = self
            .inner
            .bucket
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let gained = now.duration_since(bucket.filled).as_secs_f64();
        let level = bucket.level + gained * self.inner.limits.calls_per_second;
        bucket.level = level.min(self.inner.limits.burst);
        bucket.filled = now;
        if bucket.level < 1.0 {
            self.inner.held_back.fetch_add(1, Ordering::Relaxed);
            return Err(KeyValueError::Limited);
        }
        bucket.level -= 1.0;
        self.inner.calls.fetch_add(1, Ordering::Relaxed);
        Ok(())
    }

    fn note<Answer>(&self, answer: Result<Answer, KeyValueError>) -> Result<Answer, KeyValueError> {
        let reachable = !matches!(
            answer,
            Err(KeyValueError::Unreachable(_) | KeyValueError::NoAnswer(_))
        );
        if !reachable {
            self.inner.failures.fetch_add(1, Ordering::Relaxed);
        }
        let before = self.inner.reachable.swap(reachable, Ordering::Relaxed);
        if before != reachable {
            log::info!("key-value service reachable={reachable}");
        }
        answer
    }
}
