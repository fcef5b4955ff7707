//! Circuit breaking and slow start of one upstream.

use std::time::{Duration, Instant};

/// Failures in a row that open the circuit.
const FAILURE_LIMIT: u32 = 3;

/// First time for which an open circuit stays open; it doubles up to the longest.
const OPEN_TIMES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));

/// Time over which an upstream gets its full share again after failures.
const SLOW_START: Duration = Duration::from_secs(4);

/// Share of its limit that a returning upstream gets at first.
const FIRST_SHARE: f64 = 0.2;

/// Time after which a trial without an answer allows another one.
const TRIAL_TIME: Duration = Duration::from_secs(2);

/// Circuit breaker of one upstream.
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
    /// Returns whether a request may be sent.
    #[must_use]
    pub fn allows(&self, now: Instant) -> bool {
        let Some(until) = self.open_until else {
            return true;
        };
        let tried = self
            .trial
            .is_some_and(|at| now.duration_since(at) < TRIAL_TIME);
        now >= until && !tried
    }

    /// Returns the share of its limit that the upstream gets, from above 0 to 1.
    #[must_use]
    pub fn share(&self, now: Instant) -> f64 {
        let Some(closed_at) = self.closed_at else {
            return 1.0;
        };
        let part = now.duration_since(closed_at).as_secs_f64() / SLOW_START.as_secs_f64();
        (FIRST_SHARE + (1.0 - FIRST_SHARE) * part).min(1.0)
    }

    /// Notes a request; while the circuit is open it is the one trial.
    pub fn sent(&mut self, now: Instant) {
        if self.open_until.is_some() {
            self.trial = Some(now);
        }
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        if self.open_until.take().is_some() {
            self.closed_at = Some(Instant::now());
            self.trial = None;
            self.open_time = OPEN_TIMES.0;
        }
        self.failures = 0;
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Instant) {
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
    fn circuit_opens_tries_once_and_closes() {
        let start = Instant::now();
        let mut breaker = CircuitBreaker::default();
        for _ in 0..FAILURE_LIMIT {
            assert!(breaker.allows(start));
            breaker.failed(start);
        }
        assert!(!breaker.allows(start));
        let later = start + OPEN_TIMES.0;
        assert!(breaker.allows(later));
        breaker.sent(later);
        assert!(!breaker.allows(later));
        breaker.succeeded();
        assert!(breaker.allows(later));
        assert!(breaker.share(Instant::now()) < 1.0);
    }
}
