//! Circuit breaker of an upstream: after failures, no requests are sent for a time, and then the upstream is tried
//! again.

use std::time::{Duration, Instant};

/// Consecutive failures after which the breaker opens: a single failure may be a lost response.
const FAILURE_THRESHOLD: u32 = 3;

/// Time for which the breaker first stays open.
const FIRST_OPEN_TIME: Duration = Duration::from_millis(400);

/// Longest time for which the breaker stays open: a restarted upstream is detected within this time.
const MAX_OPEN_TIME: Duration = Duration::from_secs(3);

/// State of the breaker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// Requests are sent to the upstream.
    Closed,
    /// No requests are sent to the upstream.
    Open,
}

/// Circuit breaker, which counts an upstream's consecutive failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamBreaker {
    failures: u32,
    openings: u32,
    open_until: Option<Instant>,
}

impl UpstreamBreaker {
    /// Records a success; returns whether this closed the breaker.
    pub fn record_success(&mut self) -> bool {
        let was_open = self.openings > 0;
        *self = Self::default();
        was_open
    }

    /// Records a failure; returns whether this opened the breaker. `certain` is set if one failure is conclusive, for
    /// example if nothing listens at the address, and opens the breaker at once.
    pub fn record_failure(&mut self, now: Instant, certain: bool) -> bool {
        self.failures += 1;
        let half_open = self.openings > 0 && self.state(now) == BreakerState::Closed;
        if !certain && !half_open && self.failures < FAILURE_THRESHOLD {
            return false;
        }
        let open_time = FIRST_OPEN_TIME * 2_u32.saturating_pow(self.openings.min(8));
        self.openings += 1;
        self.open_until = Some(now + open_time.min(MAX_OPEN_TIME));
        true
    }

    /// Returns the state of the breaker.
    #[must_use]
    pub fn state(&self, now: Instant) -> BreakerState {
        match self.open_until {
            Some(until) if now < until => BreakerState::Open,
            _ => BreakerState::Closed,
        }
    }
}
