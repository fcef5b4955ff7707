//! When an upstream is left alone after failures, and tried again.

use std::time::{Duration, Instant};

/// Failures in a row after which an upstream is left alone: one may be an answer that was lost.
const FAILURES_ALLOWED: u32 = 3;

/// First time for which it is left alone.
const FIRST_REST: Duration = Duration::from_millis(400);

/// Longest such time: a restarted upstream is found again within it.
const LONGEST_REST: Duration = Duration::from_secs(3);

/// What the breaker says about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakerState {
    /// Requests go there.
    Closed,
    /// It is left alone.
    Open,
}

/// Failures in a row of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct UpstreamBreaker {
    failures: u32,
    rests: u32,
    rest_until: Option<Instant>,
}

impl UpstreamBreaker {
    /// Notes an answer; returns whether the breaker closed with it.
    pub fn record_success(&mut self) -> bool {
        let was_open = self.rests > 0;
        *self = Self::default();
        was_open
    }

    /// Notes a failure; `certain` where nobody listens. Returns whether the breaker opened with it.
    pub fn record_failure(&mut self, now: Instant, certain: bool) -> bool {
        self.failures += 1;
        let tried_again = self.rests > 0 && self.state(now) == BreakerState::Closed;
        if !certain && !tried_again && self.failures < FAILURES_ALLOWED {
            return false;
        }
        let rest = FIRST_REST * 2_u32.saturating_pow(self.rests.min(8));
        self.rests += 1;
        self.rest_until = Some(now + rest.min(LONGEST_REST));
        true
    }

    /// Returns what it says now.
    #[must_use]
    pub fn state(&self, now: Instant) -> BreakerState {
        match self.rest_until {
            Some(until) if now < until => BreakerState::Open,
            _ => BreakerState::Closed,
        }
    }
}
