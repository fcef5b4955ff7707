//! Circuit breaker and slow start of one upstream.

use std::time::{Duration, Instant};

/// Consecutive failures that open the circuit.
const FAILURE_LIMIT: u32 = 3;

/// Initial and maximum time for which the circuit stays open; it doubles with each failure while the circuit is open.
const OPEN_TIMES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Time after the circuit closes over which the upstream's share rises to the full limit.
const SLOW_START: Duration = Duration::from_secs(4);

/// Share of its limit that an upstream gets right after the circuit closes.
const INITIAL_SHARE: f64 = 0.2;

/// Time after which a trial request without a response allows another one.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Circuit breaker of one upstream: opens after repeated failures and closes when a trial request succeeds.
#[derive(Clone, Debug)]
pub struct CircuitBreaker {
    failures: u32,
    open_time: Duration,
    open_until: Option<Instant>,
    trial: Option<Instant>,
    closed_at: Option<Instant>,
}

impl Default for CircuitBreaker {
    fn default() -> Self {
        Self {
            failures: 0,
            open_time: OPEN_TIMES.0,
            open_until: None,
            trial: None,
            closed_at: None,
        }
    }
}

impl CircuitBreaker {
    /// Returns whether a request may be sent to the upstream.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        let Some(until) = self.open_until else {
            return true;
        };
        let is_trial_pending = self
            .trial
            .is_some_and(|at| now.duration_since(at) < TRIAL_TIMEOUT);
        now >= until && !is_trial_pending
    }

    /// Returns the share of its request limit that the upstream gets: above 0, at most 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let Some(closed_at) = self.closed_at else {
            return 1.0;
        };
        let progress = now.duration_since(closed_at).as_secs_f64() / SLOW_START.as_secs_f64();
        (INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress).min(1.0)
    }

    /// Records a sent request; while the circuit is open, it is the only trial request.
    pub fn record_request(&mut self, now: Instant) {
        if self.open_until.is_some() {
            self.trial = Some(now);
        }
    }

    /// Records a success: closes the circuit and resets the failure count.
    pub fn record_success(&mut self) {
        if self.open_until.take().is_some() {
            self.closed_at = Some(Instant::now());
            self.trial = None;
            self.open_time = OPEN_TIMES.0;
        }
        self.failures = 0;
    }

    /// Records a request that ended without a result, so that another trial request may be sent.
    pub fn record_withdrawal(&mut self) {
        self.trial = None;
    }

    /// Records a failure, which may open the circuit or keep it open for longer.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        let was_open = self.open_until.is_some();
        if self.failures < FAILURE_LIMIT && !was_open {
            return;
        }
        self.trial = None;
        self.open_until = Some(now + self.open_time);
        self.open_time = (self.open_time * 2).min(OPEN_TIMES.1);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn open_circuit_allows_one_trial_and_closes_on_success() {
        let start = Instant::now();
        let mut breaker = CircuitBreaker::default();
        for _ in 0..FAILURE_LIMIT {
            assert!(breaker.allows(start));
            breaker.record_failure(start);
        }
        assert!(!breaker.allows(start));
        let later = start + OPEN_TIMES.0;
        assert!(breaker.allows(later));
        breaker.record_request(later);
        assert!(!breaker.allows(later));
        breaker.record_success();
        assert!(breaker.allows(later));
        assert!(breaker.share(Instant::now()) < 1.0);
    }
}
