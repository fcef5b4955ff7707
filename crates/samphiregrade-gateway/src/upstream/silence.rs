//! Detects upstreams that don't send the response heads they owe: pure.
//!
//! Handles upstreams that accept connections and requests but never respond, while their health checks may pass. No
//! request fails at such an upstream: clients abort after seconds, and every program that uses the upstream is late.

use std::time::{Duration, Instant};

/// Time without a response that has no effect: about ten times the usual time to the response head, on engines and on
/// plain services alike; an engine that processes several long prompts takes half of this time.
const ALLOWED_DELAY: Duration = Duration::from_millis(250);

/// Time without a response after which an upstream counts as failing if the client aborts: no prompt takes that long
/// for a request that engines serve first.
const FAILING_AFTER: Duration = Duration::from_millis(600);

/// Time without a response from an entire failure domain after which a request that has waited as long is abandoned:
/// the network path is interrupted, and retrying costs the caller less than waiting for the deadline.
const OVERDUE_AFTER: Duration = Duration::from_millis(700);

/// Penalty in milliseconds for each millisecond without a response beyond the allowed time: it soon outweighs a
/// completely cached prompt (about 300 ms).
const PENALTY_FACTOR: u32 = 4;

/// Time for which a failure domain counts as unreachable after this was detected, unless something arrives earlier:
/// network partitions last seconds, and each check whether one has ended costs a request.
const UNREACHABLE_MEMORY: Duration = Duration::from_millis(1500);

/// Penalty of an unreachable failure domain: more than any queue elsewhere.
const UNREACHABLE_PENALTY: Duration = Duration::from_secs(5);

/// Number of a request that waits for its response head.
pub type WaitNumber = u64;

#[derive(Clone, Copy, Debug)]
struct OpenWait {
    number: WaitNumber,
    since: Instant,
}

/// Tracks the requests that wait for a response from an upstream or a failure domain.
#[derive(Clone, Debug, Default)]
pub struct ResponseMonitor {
    next: WaitNumber,
    /// Open waits, in the order of sending.
    open: Vec<OpenWait>,
    last_response: Option<Instant>,
    /// Time at which the upstream was found to be unreachable.
    unreachable_since: Option<Instant>,
}

impl ResponseMonitor {
    /// Records that a request was sent whose response head should arrive at once.
    pub fn begin_wait(&mut self, now: Instant) -> WaitNumber {
        self.next += 1;
        self.open.push(OpenWait {
            number: self.next,
            since: now,
        });
        self.next
    }

    /// Records that the upstream has sent something.
    pub fn record_response(&mut self, now: Instant) {
        self.last_response = Some(now);
        self.unreachable_since = None;
    }

    /// Returns whether anything arrived within a time.
    #[must_use]
    pub fn responded_within(&self, time: Duration, now: Instant) -> bool {
        self.last_response
            .is_some_and(|last_response| now.saturating_duration_since(last_response) < time)
    }

    /// Records that the upstream was found to be unreachable.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.unreachable_since = Some(now);
    }

    /// Records that a request does not wait any more; returns whether the upstream counts as failing because of it.
    pub fn end_wait(&mut self, number: WaitNumber, now: Instant) -> bool {
        let failing = self.response_delay(now) >= FAILING_AFTER;
        self.open.retain(|wait| wait.number != number);
        failing
    }

    /// Returns the time for which the upstream has sent nothing although a response is due.
    #[must_use]
    pub fn response_delay(&self, now: Instant) -> Duration {
        let Some(oldest) = self.open.first() else {
            return Duration::ZERO;
        };
        let since = self.last_response.map_or(oldest.since, |last_response| {
            last_response.max(oldest.since)
        });
        now.saturating_duration_since(since)
    }

    /// Returns whether a response that has been awaited since `waited_since` can't be expected any more.
    #[must_use]
    pub fn is_overdue(&self, waited_since: Instant, now: Instant) -> bool {
        let waited = now.saturating_duration_since(waited_since);
        waited.min(self.response_delay(now)) >= OVERDUE_AFTER
    }

    /// Returns whether the upstream was recently found to be unreachable.
    #[must_use]
    pub fn is_unreachable(&self, now: Instant) -> bool {
        self.unreachable_since.is_some_and(|unreachable_since| {
            now.saturating_duration_since(unreachable_since) < UNREACHABLE_MEMORY
        })
    }

    /// Returns the expected extra time of a request that would be sent to the upstream.
    #[must_use]
    pub fn penalty(&self, now: Instant) -> Duration {
        let unreachable_penalty = if self.is_unreachable(now) {
            UNREACHABLE_PENALTY
        } else {
            Duration::ZERO
        };
        unreachable_penalty
            .max(self.response_delay(now).saturating_sub(ALLOWED_DELAY) * PENALTY_FACTOR)
    }
}
