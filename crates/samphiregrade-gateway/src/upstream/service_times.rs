//! What requests of a service take, learned from its answers: pure.
//!
//! Answers the pattern of engines and services whose speeds differ by an order of magnitude between deployments and are
//! told by nobody. The choice of an upstream weighs a cached prompt against a queue, and the rank of a turn weighs
//! what its program has lost; both need times that fit.

use std::time::Duration;

/// Step of a new median, as part of itself: it finds a value that is ten times off within a dozen samples.
const FIRST_STEP: f64 = 0.5;

/// Samples after which the step has halved.
const STEP_SAMPLES: f64 = 6.0;

/// Least step: it follows changes within dozens of samples and stays within some hundredths otherwise.
const LEAST_STEP: f64 = 0.02;

/// Uncached tokens up to which a turn tells how long an answer takes to begin beside its prompt.
const SHORT_PROMPT: u32 = 300;

/// Uncached tokens from which on a turn tells how fast prompts are read.
const LONG_PROMPT: u32 = 1000;

/// A median that follows its samples; faults are few among these and move it little.
#[derive(Clone, Copy, Debug)]
pub struct RunningMedian {
    estimate: f64,
    samples: u32,
    least: f64,
    most: f64,
}

impl RunningMedian {
    /// Starts with what is likely, and stays within bounds.
    #[must_use]
    pub fn new(likely: f64, least: f64, most: f64) -> Self {
        Self {
            estimate: likely.clamp(least, most),
            samples: 0,
            least,
            most,
        }
    }

    /// Takes a sample; one that is no positive number says nothing.
    pub fn add(&mut self, sample: f64) {
        if !sample.is_finite() || sample <= 0.0 {
            return;
        }
        let step = FIRST_STEP / (1.0 + f64::from(self.samples) / STEP_SAMPLES);
        let factor = 1.0 + step.max(LEAST_STEP);
        // A step doesn't pass the sample, so that equal samples are met exactly.
        let next = if sample > self.estimate {
            (self.estimate * factor).min(sample)
        } else {
            (self.estimate / factor).max(sample)
        };
        self.estimate = next.clamp(self.least, self.most);
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the estimate.
    #[must_use]
    pub fn estimate(&self) -> f64 {
        self.estimate
    }
}

/// How a request went that was answered whole.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnsweredRequest {
    /// Tokens that the engine had to read.
    pub uncached: u32,
    /// Tokens that it made.
    pub generated_tokens: u32,
    /// Time from sending to the head of the answer.
    pub time_to_head: Duration,
    /// Time from sending to the end of the answer.
    pub total: Duration,
}

/// What requests of one service take.
#[derive(Clone, Copy, Debug)]
pub struct ServiceTimes {
    /// Milliseconds from sending to the end.
    hold: RunningMedian,
    /// Milliseconds to the head of the answer where hardly anything has to be read.
    head: RunningMedian,
    /// Milliseconds to the head of the answer.
    first: RunningMedian,
    /// Prompt tokens that are read in a millisecond.
    reading: RunningMedian,
    /// Milliseconds for each token that is made.
    token: RunningMedian,
}

impl ServiceTimes {
    /// Returns what is likely of an engine before it has answered: between the fastest and the slowest that are known,
    /// which are six times apart.
    #[must_use]
    pub fn of_engine() -> Self {
        Self {
            hold: RunningMedian::new(220.0, 1.0, 60_000.0),
            head: RunningMedian::new(20.0, 0.5, 10_000.0),
            first: RunningMedian::new(40.0, 0.5, 10_000.0),
            reading: RunningMedian::new(100.0, 1.0, 10_000.0),
            token: RunningMedian::new(2.0, 0.01, 1000.0),
        }
    }

    /// Returns what is likely of a plain service.
    #[must_use]
    pub fn of_plain() -> Self {
        Self {
            hold: RunningMedian::new(30.0, 0.5, 60_000.0),
            ..Self::of_engine()
        }
    }

    /// Takes how a request went.
    pub fn note(&mut self, answered: &AnsweredRequest) {
        let first = milliseconds(answered.time_to_head);
        let total = milliseconds(answered.total);
        self.hold.add(total);
        self.first.add(first);
        if answered.uncached <= SHORT_PROMPT {
            self.head.add(first);
        }
        let read = first - self.head.estimate();
        if answered.uncached >= LONG_PROMPT && read > 0.0 {
            self.reading.add(f64::from(answered.uncached) / read);
        }
        if answered.generated_tokens > 0 {
            self.token
                .add((total - first) / f64::from(answered.generated_tokens));
        }
    }

    /// Returns how long a request holds a slot.
    #[must_use]
    pub fn slot_time(&self) -> Duration {
        span(self.hold.estimate())
    }

    /// Returns how long an answer takes to begin.
    #[must_use]
    pub fn time_to_head(&self) -> Duration {
        span(self.first.estimate())
    }

    /// Returns the prompt tokens that are read in a millisecond.
    #[must_use]
    pub fn prefill_rate(&self) -> f64 {
        self.reading.estimate()
    }

    /// Returns how long a token takes.
    #[must_use]
    pub fn token(&self) -> Duration {
        span(self.token.estimate())
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn span(milliseconds: f64) -> Duration {
    Duration::from_secs_f64(milliseconds / 1000.0)
}
