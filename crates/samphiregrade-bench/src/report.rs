//! Reports of scenarios, as JSON.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use samphiregrade::record::PolicyName;
use serde::Serialize;
use smol_str::SmolStr;

/// Number of programs by result, as seen by their callers.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ProgramCounts {
    /// Started programs, including sub-agents.
    pub begun: u64,
    /// Programs with a response to every step.
    pub finished: u64,
    /// Programs with a refused call that did not run.
    pub refused_not_run: u64,
    /// Programs with a call whose outcome is unknown.
    pub outcome_unknown: u64,
    /// Programs without a final response.
    pub unanswered: u64,
}

/// Quantiles of a time in seconds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct TimeQuantiles {
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Maximum.
    pub max: f64,
    /// Number of values.
    pub count: u64,
}

impl TimeQuantiles {
    /// Computes the quantiles of the given times.
    #[must_use]
    pub fn of<Times>(times: Times) -> Self
    where
        Times: IntoIterator<Item = Duration>,
    {
        // Three significant digits, from one microsecond to one hour.
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

/// Use of the engines' caches.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct CacheCounts {
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Prefilled tokens that some engine had cached for the same program before.
    pub recomputed_tokens: u64,
    /// Requests that went to a different engine than the previous request of the program.
    pub moved_requests: u64,
    /// `recomputed_tokens` / `prefill_tokens`.
    pub wasted_fraction: f64,
    /// Tokens held for programs, multiplied by the seconds that they were held.
    pub idle_hold_token_seconds: f64,
}

/// Violations of guarantees; every count must be 0.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct ViolationCounts {
    /// Calls that are not idempotent but were executed more than once.
    pub duplicate_non_idempotent: u64,
    /// Calls that were refused as not run but were executed.
    pub false_not_run: u64,
    /// Calls that were executed before an earlier call of their program.
    pub order: u64,
    /// Executions whose prompt differs from the program's conversation.
    pub history: u64,
    /// Programs that exceeded their token budget.
    pub budget: u64,
    /// Finished programs whose holds remain at engines.
    pub holds_left: u64,
    /// Responses with wrong content.
    pub wrong_answer: u64,
    /// Calls that were started at leaving upstreams.
    pub work_after_leaving: u64,
    /// Requests that were interrupted by a graceful shutdown.
    pub interrupted_by_shutdown: u64,
    /// Number of times that an active configuration was reverted or an accepted change was lost.
    pub configuration_reverted: u64,
}

impl ViolationCounts {
    /// Returns whether no guarantee was violated.
    #[must_use]
    pub fn none(&self) -> bool {
        *self == Self::default()
    }
}

/// Cost of control.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct ControlCost {
    /// Calls of the key-value service per second, over all instances.
    pub platform_calls_per_second: f64,
    /// Bytes sent between instances per second, over all links.
    pub peer_bytes_per_second: f64,
    /// Processor time of all instances, in seconds.
    pub cpu_seconds: f64,
    /// Largest memory of an instance in bytes.
    pub rss_bytes_max: u64,
}

/// Report of a scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: SmolStr,
    /// Scheduling policy.
    pub policy: PolicyName,
    /// Seed of the load.
    pub seed: u64,
    /// Programs started per second.
    pub programs_per_second: f64,
    /// Number of programs by result.
    pub programs: ProgramCounts,
    /// Program latency by class; the key `all` covers all classes.
    pub latency_seconds: BTreeMap<SmolStr, TimeQuantiles>,
    /// Use of the engines' caches.
    pub cache: CacheCounts,
    /// Violations of guarantees.
    pub violations: ViolationCounts,
    /// Time from an interruption to the response, for the calls that were interrupted.
    pub recovery_seconds: TimeQuantiles,
    /// Time from an accepted change of the configuration to its activation, one value for each instance.
    pub configuration_seconds: TimeQuantiles,
    /// Cost of control.
    pub control: ControlCost,
    /// Requests waiting at the engines over time, as pairs of seconds and the mean over the engines.
    pub queue: Vec<(f64, f64)>,
    /// Mean over time of the difference in requests between the busiest and the least busy engine.
    pub engine_spread: f64,
    /// Number of programs that did not finish, by reason.
    pub failures: BTreeMap<SmolStr, u64>,
}

impl ScenarioReport {
    /// Returns whether no guarantee was violated and every caller received a final response.
    #[must_use]
    pub fn kept_promises(&self) -> bool {
        self.violations.none() && self.programs.unanswered == 0
    }
}
