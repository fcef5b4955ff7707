//! Statistics of the past programs of a class, which predict the next one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::ids::{ClassName, TokenCount};

/// Weight of the newest observation in a mean.
const NEWEST_WEIGHT: f64 = 0.05;

/// Weight of the newest observation while only a few have been made, so that the mean adapts quickly at first.
const EARLY_WEIGHT: f64 = 0.3;

/// Number of observations up to which `EARLY_WEIGHT` applies.
const EARLY_COUNT: u32 = 10;

/// Number of buckets for the calls of a program; programs with more calls share the last bucket.
const CALL_BUCKETS: usize = 64;

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct MovingAverage {
    mean: f64,
    count: u32,
}

impl MovingAverage {
    fn observe(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = match self.count {
            1 => 1.0,
            count if count <= EARLY_COUNT => EARLY_WEIGHT,
            _ => NEWEST_WEIGHT,
        };
        self.mean += weight * (value - self.mean);
    }
}

/// Longest pause that counts as a return, as after a tool call; after a longer one the user is assumed to have left.
/// The mean pause includes each pause with at most three times this length.
const RETURN_WINDOW: Duration = Duration::from_secs(20);

/// Statistics of a program class.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassHistory {
    answer_tokens: MovingAverage,
    call_seconds: MovingAverage,
    pause_seconds: MovingAverage,
    returned: MovingAverage,
    /// Number of programs that ended after as many calls as the index says.
    #[serde(skip)]
    ended_after: Vec<u32>,
}

impl ClassHistory {
    /// Returns the expected number of tokens in a response.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of token counts"
    )]
    pub fn answer_tokens(&self) -> TokenCount {
        if self.answer_tokens.count == 0 {
            return 64;
        }
        self.answer_tokens.mean.max(1.0) as TokenCount
    }

    /// Returns the expected duration of a call.
    #[must_use]
    pub fn call_time(&self) -> Duration {
        if self.call_seconds.count == 0 {
            return Duration::from_millis(500);
        }
        Duration::from_secs_f64(self.call_seconds.mean.max(0.001))
    }

    /// Returns how many more calls a program is expected to make after `calls` calls: the mean over past programs that
    /// made at least as many, or 1 if there is none.
    #[must_use]
    pub fn remaining_calls(&self, calls: u32) -> f64 {
        let buckets = self.ended_after.iter().enumerate().skip(calls as usize);
        let (mut programs, mut remaining) = (0.0, 0.0);
        for (total_calls, count) in buckets {
            let more = f64::from(
                u32::try_from(total_calls)
                    .unwrap_or(u32::MAX)
                    .saturating_sub(calls),
            );
            programs += f64::from(*count);
            remaining += f64::from(*count) * more;
        }
        if programs < 1.0 {
            return 1.0;
        }
        remaining / programs
    }

    /// Returns the engine time that a program is expected to need after `calls` calls.
    #[must_use]
    pub fn remaining_work(&self, calls: u32) -> Duration {
        self.call_time()
            .mul_f64(self.remaining_calls(calls).max(1.0))
    }

    /// Returns the expected pause between two calls of a program.
    #[must_use]
    pub fn pause(&self) -> Duration {
        Duration::from_secs_f64(self.pause_seconds.mean.max(0.0))
    }

    /// Returns the probability that a program makes another call soon after a response.
    #[must_use]
    pub fn return_chance(&self) -> f64 {
        if self.returned.count < EARLY_COUNT {
            return 0.7;
        }
        self.returned.mean
    }
}

/// Histories of all program classes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassLearner {
    classes: BTreeMap<ClassName, ClassHistory>,
}

impl ClassLearner {
    /// Returns the history of a class; it is empty for an unknown class.
    #[must_use]
    pub fn history(&self, class: &str) -> ClassHistory {
        self.classes.get(class).cloned().unwrap_or_default()
    }

    fn entry(&mut self, class: &ClassName) -> &mut ClassHistory {
        self.classes.entry(class.clone()).or_default()
    }

    /// Records the token count and the duration of a response.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn record_response(&mut self, class: &ClassName, tokens: TokenCount, time: Duration) {
        let history = self.entry(class);
        history.answer_tokens.observe(tokens as f64);
        history.call_seconds.observe(time.as_secs_f64());
    }

    /// Records the pause before a program's next call.
    pub fn record_return(&mut self, class: &ClassName, pause: Duration) {
        let history = self.entry(class);
        history
            .pause_seconds
            .observe(pause.as_secs_f64().min(RETURN_WINDOW.as_secs_f64() * 3.0));
        history
            .returned
            .observe(if pause <= RETURN_WINDOW { 1.0 } else { 0.0 });
    }

    /// Records the end of a program after `calls` calls.
    pub fn record_end(&mut self, class: &ClassName, calls: u32) {
        let history = self.entry(class);
        history.returned.observe(0.0);
        let bucket = (calls as usize).min(CALL_BUCKETS - 1);
        if history.ended_after.len() <= bucket {
            history.ended_after.resize(bucket + 1, 0);
        }
        history.ended_after[bucket] += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn remaining_calls_average_over_programs_with_as_many_calls() {
        let mut learner = ClassLearner::default();
        for calls in [1, 1, 1, 9] {
            learner.record_end(&"c".into(), calls);
        }
        let history = learner.history("c");
        assert!((history.remaining_calls(0) - 3.0).abs() < 1e-9);
        assert!((history.remaining_calls(2) - 7.0).abs() < 1e-9);
    }
}
