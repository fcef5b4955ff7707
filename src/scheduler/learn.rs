//! What the past programs of a class tell about the next one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::ids::{ClassName, TokenCount};

/// Weight of the newest observation.
const NEWEST: f64 = 0.05;

/// Weight of the newest observation among the first few.
const NEWEST_AT_FIRST: f64 = 0.3;

/// Observations that count as the first few.
const FIRST_FEW: u32 = 10;

/// Longest number of calls that is told apart.
const CALL_BUCKETS: usize = 64;

/// A mean that forgets slowly.
#[derive(Clone, Copy, Debug, Default, Serialize)]
struct FadingMean {
    mean: f64,
    count: u32,
}

impl FadingMean {
    fn observe(&mut self, value: f64) {
        self.count = self.count.saturating_add(1);
        let weight = match self.count {
            1 => 1.0,
            count if count <= FIRST_FEW => NEWEST_AT_FIRST,
            _ => NEWEST,
        };
        self.mean += weight * (value - self.mean);
    }
}

/// Pause that counts as the answer of a tool and not of a person who left.
const RETURN_WINDOW: Duration = Duration::from_secs(20);

/// What is known of a class.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ClassHistory {
    answer_tokens: FadingMean,
    call_seconds: FadingMean,
    pause_seconds: FadingMean,
    returned: FadingMean,
    #[serde(skip)]
    ended_after: Vec<u32>,
}

impl ClassHistory {
    /// Returns the tokens an answer is expected to have.
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

    /// Returns the time a call is expected to take.
    #[must_use]
    pub fn call_time(&self) -> Duration {
        if self.call_seconds.count == 0 {
            return Duration::from_millis(500);
        }
        Duration::from_secs_f64(self.call_seconds.mean.max(0.001))
    }

    /// Returns the calls that a program is expected to have after so many, by those that had as many.
    #[must_use]
    pub fn remaining_calls(&self, calls: u32) -> f64 {
        let reached = self.ended_after.iter().enumerate().skip(calls as usize);
        let (mut programs, mut total) = (0.0, 0.0);
        for (after, count) in reached {
            let more = f64::from(
                u32::try_from(after)
                    .unwrap_or(u32::MAX)
                    .saturating_sub(calls),
            );
            programs += f64::from(*count);
            total += f64::from(*count) * more;
        }
        if programs < 1.0 {
            return 1.0;
        }
        total / programs
    }

    /// Returns the work that a program is expected to need after so many calls.
    #[must_use]
    pub fn remaining_work(&self, calls: u32) -> Duration {
        self.call_time()
            .mul_f64(self.remaining_calls(calls).max(1.0))
    }

    /// Returns the pause that a program of the class is expected to make.
    #[must_use]
    pub fn pause(&self) -> Duration {
        Duration::from_secs_f64(self.pause_seconds.mean.max(0.0))
    }

    /// Returns how likely a program comes back soon after an answer.
    #[must_use]
    pub fn return_chance(&self) -> f64 {
        if self.returned.count < FIRST_FEW {
            return 0.7;
        }
        self.returned.mean
    }
}

/// The histories of all classes.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClassLearner {
    classes: BTreeMap<ClassName, ClassHistory>,
}

impl ClassLearner {
    /// Returns the history of a class.
    #[must_use]
    pub fn history(&self, class: &str) -> ClassHistory {
        self.classes.get(class).cloned().unwrap_or_default()
    }

    fn entry(&mut self, class: &ClassName) -> &mut ClassHistory {
        self.classes.entry(class.clone()).or_default()
    }

    /// Learns from an answer.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    pub fn answered(&mut self, class: &ClassName, tokens: TokenCount, time: Duration) {
        let history = self.entry(class);
        history.answer_tokens.observe(tokens as f64);
        history.call_seconds.observe(time.as_secs_f64());
    }

    /// Learns from a call that came after a pause.
    pub fn returned(&mut self, class: &ClassName, pause: Duration) {
        let history = self.entry(class);
        history
            .pause_seconds
            .observe(pause.as_secs_f64().min(RETURN_WINDOW.as_secs_f64() * 3.0));
        history
            .returned
            .observe(if pause <= RETURN_WINDOW { 1.0 } else { 0.0 });
    }

    /// Learns from the end of a program.
    pub fn ended(&mut self, class: &ClassName, calls: u32) {
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
    fn remaining_calls_follow_those_that_came_as_far() {
        let mut learner = ClassLearner::default();
        for calls in [1, 1, 1, 9] {
            learner.ended(&"c".into(), calls);
        }
        let history = learner.history("c");
        assert!((history.remaining_calls(0) - 3.0).abs() < 1e-9);
        assert!((history.remaining_calls(2) - 7.0).abs() < 1e-9);
    }
}
