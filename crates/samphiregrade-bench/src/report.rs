//! Reports of scenarios, as JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use samphiregrade::record::PolicyName;
use serde::Serialize;
use smol_str::SmolStr;

/// How programs ended for their callers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProgramCounts {
    /// Begun, sub-agents included.
    pub begun: u64,
    /// Every step answered.
    pub finished: u64,
    /// Refused, and what was refused did not run.
    pub refused_not_run: u64,
    /// The outcome of a call is unknown.
    pub outcome_unknown: u64,
    /// No final answer.
    pub unanswered: u64,
}

/// Quantiles of a time in seconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TimeQuantiles {
    /// Half of the values are below.
    pub p50: f64,
    /// 95 in 100 are below.
    pub p95: f64,
    /// 99 in 100 are below.
    pub p99: f64,
    /// The largest.
    pub max: f64,
    /// Number of values.
    pub count: u64,
}

impl TimeQuantiles {
    /// Computes the quantiles of some times.
    #[must_use]
    pub fn of<Times>(times: Times) -> Self
    where
        Times: IntoIterator<Item = Duration>,
    {
        // Three digits over microseconds up to an hour.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3) else {
            return Self::default();
        };
        for time in times {
            histogram.saturating_record(u64::try_from(time.as_micros()).unwrap_or(u64::MAX).max(1));
        }
        if histogram.is_empty() {
            return Self::default();
        }
        let seconds = |micros: u64| Duration::from_micros(micros).as_secs_f64();
        Self {
            p50: seconds(histogram.value_at_quantile(0.5)),
            p95: seconds(histogram.value_at_quantile(0.95)),
            p99: seconds(histogram.value_at_quantile(0.99)),
            max: seconds(histogram.max()),
            count: histogram.len(),
        }
    }
}

/// What became of the engines' caches.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CacheCounts {
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Of these, tokens that some engine had cached for the same program before.
    pub recomputed_tokens: u64,
    /// Requests that went to another engine than the program's request before.
    pub moved_requests: u64,
    /// `recomputed_tokens` / `prefill_tokens`.
    pub wasted_fraction: f64,
    /// Tokens held for programs times seconds.
    pub idle_hold_token_seconds: f64,
}

/// Broken promises; every number has to be 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ViolationCounts {
    /// Calls that must not be repeated, executed more than once.
    pub duplicate_non_idempotent: u64,
    /// Calls refused as not run that were executed.
    pub false_not_run: u64,
    /// Calls executed before an earlier one of their program.
    pub order: u64,
    /// Prompts that were not the program's conversation.
    pub history: u64,
    /// Programs that used more than their budget.
    pub budget: u64,
    /// Holds of ended programs left at engines.
    pub holds_left: u64,
    /// Answers that were not the right ones.
    pub wrong_answer: u64,
    /// Calls begun at upstreams that were leaving.
    pub work_after_leaving: u64,
    /// Requests that a graceful shutdown has broken off.
    pub interrupted_by_shutdown: u64,
    /// Times that a configuration in force went back, or an accepted change was lost.
    pub configuration_reverted: u64,
}

impl ViolationCounts {
    /// Returns whether no promise was broken.
    #[must_use]
    pub fn none(&self) -> bool {
        *self == Self::default()
    }
}

/// What control has cost.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlCost {
    /// Calls of the key-value service a second, over all instances.
    pub platform_calls_per_second: f64,
    /// Bytes between instances a second, over all links.
    pub peer_bytes_per_second: f64,
    /// Processor time of all instances.
    pub cpu_seconds: f64,
    /// Largest memory of an instance in bytes.
    pub rss_bytes_max: u64,
}

/// Report of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: SmolStr,
    /// How work was scheduled.
    pub policy: PolicyName,
    /// Seed of the load.
    pub seed: u64,
    /// Programs begun a second.
    pub programs_per_second: f64,
    /// How programs ended.
    pub programs: ProgramCounts,
    /// Program latency by class, and of all.
    pub latency_seconds: BTreeMap<SmolStr, TimeQuantiles>,
    /// Caches.
    pub cache: CacheCounts,
    /// Broken promises.
    pub violations: ViolationCounts,
    /// From an interruption to the answer of the calls that it caught.
    pub recovery_seconds: TimeQuantiles,
    /// From an accepted change to its being in force at every instance.
    pub configuration_seconds: TimeQuantiles,
    /// Cost of control.
    pub control: ControlCost,
    /// Requests waiting at the engines over time: seconds, and the mean over the engines.
    pub queue: Vec<(f64, f64)>,
    /// Mean over time of the busiest engine's requests less the idlest one's.
    pub engine_spread: f64,
    /// Reasons for programs that did not finish, each once with its number.
    pub failures: BTreeMap<SmolStr, u64>,
}

impl ScenarioReport {
    /// Returns whether no promise was broken and every caller has got a final answer.
    #[must_use]
    pub fn kept_promises(&self) -> bool {
        self.violations.none() && self.programs.unanswered == 0
    }
}
