//! Request times of a service, estimated from its responses: pure.
//!
//! Handles engines and services whose speeds differ by an order of magnitude between deployments and are not configured
//! anywhere. The selection of an upstream weighs a cached prompt against a queue, and the rank of a turn weighs the
//! time that its program has lost; both need realistic times.

use std::time::Duration;

/// First step of a median, relative to its value: the median reaches a value that is ten times off within a dozen
/// samples.
const FIRST_STEP: f64 = 0.5;

/// Number of samples after which the step has halved.
const STEP_SAMPLES: f64 = 6.0;

/// Smallest step: the median follows changes within dozens of samples and otherwise stays within a few percent.
const MIN_STEP: f64 = 0.02;

/// Largest number of uncached tokens with which a turn measures the time to the response head without prompt
/// processing.
const SHORT_PROMPT: u32 = 300;

/// Smallest number of uncached tokens with which a turn measures the speed of prompt processing.
const LONG_PROMPT: u32 = 1000;

/// Running median of samples. Samples of faulty requests are rare and have little effect.
#[derive(Clone, Copy, Debug)]
pub struct RunningMedian {
    estimate: f64,
    samples: u32,
    lower: f64,
    upper: f64,
}

impl RunningMedian {
    /// Returns a median with an initial estimate; all estimates stay within the bounds.
    #[must_use]
    pub fn new(initial: f64, lower: f64, upper: f64) -> Self {
        Self {
            estimate: initial.clamp(lower, upper),
            samples: 0,
            lower,
            upper,
        }
    }

    /// Adds a sample; ignores a sample that is not a positive number.
    pub fn add(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let step = FIRST_STEP / (1.0 + f64::from(self.samples) / STEP_SAMPLES);
        let factor = 1.0 + step.max(MIN_STEP);
        // A step doesn't overshoot the sample, so that equal samples are reached exactly.
        let next = if sample > self.estimate {
            (self.estimate * factor).min(sample)
        } else {
            (self.estimate / factor).max(sample)
        };
        self.estimate = next.clamp(self.lower, self.upper);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the estimate.
    #[must_use]
    pub fn estimate(&self) -> f64 {
        self.estimate
    }
}

/// Measurements of a request with a complete response.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnsweredRequest {
    /// Prompt tokens that the engine had to process.
    pub uncached: u32,
    /// Tokens that the engine generated.
    pub generated_tokens: u32,
    /// Time from sending to the response head.
    pub time_to_head: Duration,
    /// Time from sending to the end of the response.
    pub total: Duration,
}

/// Request times of one service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// Milliseconds from sending to the end of the response.
    slot_time: RunningMedian,
    /// Milliseconds to the response head for prompts that are almost completely cached.
    short_prompt_head: RunningMedian,
    /// Milliseconds to the response head.
    time_to_head: RunningMedian,
    /// Prompt tokens that are processed per millisecond.
    prefill_rate: RunningMedian,
    /// Milliseconds per generated token.
    token: RunningMedian,
}

impl ServiceTimes {
    /// Returns initial times for engines: between the fastest and the slowest known engines, which differ by a factor
    /// of six.
    #[must_use]
    pub fn of_engine() -> Self {
        Self {
            slot_time: RunningMedian::new(220.0, 1.0, 60_000.0),
            short_prompt_head: RunningMedian::new(20.0, 0.5, 10_000.0),
            time_to_head: RunningMedian::new(40.0, 0.5, 10_000.0),
            prefill_rate: RunningMedian::new(100.0, 1.0, 10_000.0),
            token: RunningMedian::new(2.0, 0.01, 1000.0),
        }
    }

    /// Returns initial times for plain services.
    #[must_use]
    pub fn of_plain() -> Self {
        Self {
            slot_time: RunningMedian::new(30.0, 0.5, 60_000.0),
            ..Self::of_engine()
        }
    }

    /// Adds the measurements of a request.
    pub fn note(&mut self, measured: &AnsweredRequest) {
        let time_to_head = milliseconds(measured.time_to_head);
        let total = milliseconds(measured.total);
        self.slot_time.add(total);
        self.time_to_head.add(time_to_head);
        if measured.uncached <= SHORT_PROMPT {
            self.short_prompt_head.add(time_to_head);
        }
        let prefill_time = time_to_head - self.short_prompt_head.estimate();
        if measured.uncached >= LONG_PROMPT && prefill_time > 0.0 {
            self.prefill_rate
                .add(f64::from(measured.uncached) / prefill_time);
        }
        if measured.generated_tokens > 0 {
            self.token
                .add((total - time_to_head) / f64::from(measured.generated_tokens));
        }
    }

    /// Returns the time for which a request occupies a slot.
    #[must_use]
    pub fn slot_time(&self) -> Duration {
        to_duration(self.slot_time.estimate())
    }

    /// Returns the time to the response head.
    #[must_use]
    pub fn time_to_head(&self) -> Duration {
        to_duration(self.time_to_head.estimate())
    }

    /// Returns the prompt tokens that are processed per millisecond.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.prefill_rate.estimate()
    }

    /// Returns the time per generated token.
    #[must_use]
    pub fn token(&self) -> Duration {
        to_duration(self.token.estimate())
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn to_duration(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1000.0)
}
