//! The queue of an instance's waiting calls, with the state that scheduling decisions use.

mod state;
mod upstreams;

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use state::{ProgramCache, QueueState, WaitingJob, prefix_hash, prefix_tokens};
use upstreams::PeerShare;

pub use state::wanted_model;

use super::admit::{AdmissionView, refuse_begin};
use super::learn::ClassLearner;
use super::policy::make_policy;
use super::retain::{CacheState, should_hold};
use crate::contract::{Refusal, TokenUsage};
use crate::ids::{ClassName, DomainId, InstanceName, ProgramId, ShardId, TokenCount, UpstreamName};
use crate::link::{LoadReport, ReportNews, UpstreamShare, upstream_tag};
use crate::record::{ConfigView, PolicySpec, UpstreamSpec};
use crate::shard::DispatchJob;

/// Age up to which a report is shared with other instances.
const SHARED_REPORT_AGE: Duration = Duration::from_millis(750);

/// Maximum number of upstreams with own calls that one probe lists.
const SHARE_LIMIT: usize = 64;

/// Maximum number of load reports in one message to other instances.
const REPORT_LIMIT: usize = 48;

/// Maximum number of waiting calls that one pass tries to place.
const PLACEMENT_LIMIT: usize = 128;

/// A call with the upstream chosen for it.
#[derive(Debug)]
pub struct ChosenJob {
    /// The call.
    pub job: DispatchJob,
    /// The upstream.
    pub upstream: UpstreamName,
    /// The record of the upstream.
    pub spec: Arc<UpstreamSpec>,
    /// Priority that is sent to the engine.
    pub priority: u8,
}

/// State of the queue for dumps.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueueDump {
    /// Number of waiting calls.
    pub waiting: usize,
    /// Upstreams as this instance sees them.
    pub upstreams: Vec<UpstreamDump>,
    /// Statistics of the program classes.
    pub classes: ClassLearner,
}

/// One upstream for dumps.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamDump {
    /// The upstream.
    pub name: UpstreamName,
    /// This instance's calls in flight at the upstream.
    pub in_flight: u32,
    /// Estimated calls of all instances at the upstream.
    pub estimated: u32,
    /// Slots that the upstream reported, or the default without a report.
    pub slots: u32,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Whether the upstream's circuit breaker is open.
    pub breaker_open: bool,
    /// Cached tokens of this instance's running programs at the upstream.
    pub resident_tokens: TokenCount,
}

/// How a call ended at its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallEnd {
    /// The upstream answered.
    Answered,
    /// The upstream failed, or has sent nothing for too long.
    Failed,
    /// The call ended before the upstream could answer, which tells nothing about the upstream.
    Withdrawn,
}

/// The waiting calls of an instance.
pub struct CallQueue {
    domain: DomainId,
    state: Mutex<QueueState>,
}

impl std::fmt::Debug for CallQueue {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("CallQueue").finish_non_exhaustive()
    }
}

impl CallQueue {
    /// Creates an empty queue for an instance in the failure domain; `seed` seeds its random choices.
    #[must_use]
    pub fn new(domain: DomainId, seed: u64) -> Self {
        let spec = PolicySpec::default();
        let state = QueueState {
            waiting: Vec::new(),
            upstreams: HashMap::new(),
            programs: HashMap::new(),
            learner: ClassLearner::default(),
            policy: make_policy(&spec),
            spec,
            rng: SmallRng::seed_from_u64(seed),
            arrivals: 0,
        };
        Self {
            domain,
            state: Mutex::new(state),
        }
    }

    fn state(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Enqueues a call.
    pub fn push(&self, job: DispatchJob, config: &ConfigView) {
        let mut state = self.state();
        state.arrivals += 1;
        let arrival = state.arrivals;
        if job.avoid.is_none() && job.intent.sequence > 1 && !job.redispatch {
            state.learner.record_return(&job.class, job.pause);
        }
        let view = state.job_view(&job, config, arrival);
        state.waiting.push(WaitingJob {
            prefix: prefix_hash(&job),
            view,
            job,
            queued: Instant::now(),
        });
    }

    /// Returns whether no call is waiting.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.state().waiting.is_empty()
    }

    /// Removes and returns the calls that are cancelled or past their deadline.
    pub fn take_expired(&self, now: SystemTime) -> Vec<DispatchJob> {
        let mut state = self.state();
        let is_over = |waiting: &mut WaitingJob| {
            waiting.job.cancel.is_cancelled() || now >= waiting.job.deadline
        };
        state
            .waiting
            .extract_if(.., is_over)
            .map(|waiting| waiting.job)
            .collect()
    }

    /// Removes and returns the calls that can be sent now, each with its upstream.
    pub fn choose(&self, config: &ConfigView, now: Instant) -> Vec<ChosenJob> {
        let mut state = self.state();
        if state.spec != *config.policy() {
            state.spec = config.policy().clone();
            state.policy = make_policy(&state.spec);
        }
        let order = state.ordered_jobs(now);
        let mut chosen = Vec::new();
        let mut taken = Vec::new();
        for index in order.into_iter().take(PLACEMENT_LIMIT) {
            let Some((upstream, spec)) = state.place(index, config, &self.domain, now) else {
                continue;
            };
            let entry = state.upstreams.entry(upstream.clone()).or_default();
            entry.in_flight += 1;
            entry.sent_since_report += 1;
            entry.breaker.record_request(now);
            taken.push(index);
            chosen.push((index, upstream, spec));
        }
        let mut jobs: HashMap<usize, WaitingJob> = HashMap::new();
        taken.sort_unstable_by(|one, other| other.cmp(one));
        for index in taken {
            jobs.insert(index, state.waiting.swap_remove(index));
        }
        let mut result = Vec::new();
        for (index, upstream, spec) in chosen {
            let Some(waiting) = jobs.remove(&index) else {
                continue;
            };
            result.push(ChosenJob {
                priority: waiting.view.priority,
                job: waiting.job,
                upstream,
                spec,
            });
        }
        result
    }

    /// Records the response of an engine to a call.
    pub fn record_response(
        &self,
        job: &DispatchJob,
        upstream: &UpstreamName,
        usage: TokenUsage,
        first_token: Duration,
        total: Duration,
    ) {
        let now = Instant::now();
        let mut state = self.state();
        state
            .learner
            .record_response(&job.class, usage.completion_tokens, total);
        let entry = state.upstreams.entry(upstream.clone()).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.breaker.record_success();
        entry.record_response(usage, first_token, total, now);
        entry.record_prefix(prefix_hash(job), prefix_tokens(job));
        let inserted_mark = entry.inserted_tokens;
        let cache = ProgramCache {
            engine: upstream.clone(),
            tokens: usage.prompt_tokens + usage.completion_tokens,
            inserted_mark,
            held: false,
        };
        state.set_program_cache(&job.intent.program, Some(cache));
    }

    /// Records the end of a call without an engine response: a call to a service, or one that was refused, cancelled or
    /// failed.
    pub fn record_end(&self, upstream: &UpstreamName, end: CallEnd) {
        let now = Instant::now();
        let mut state = self.state();
        let entry = state.upstreams.entry(upstream.clone()).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        match end {
            CallEnd::Answered => entry.breaker.record_success(),
            CallEnd::Failed => entry.breaker.record_failure(now),
            CallEnd::Withdrawn => entry.breaker.record_withdrawal(),
        }
    }

    /// Stores an upstream's load report, unless a newer one is known.
    pub fn record_report(&self, upstream: &UpstreamName, report: LoadReport, at: Instant) {
        let mut state = self.state();
        let entry = state.upstreams.entry(upstream.clone()).or_default();
        if entry.report.as_ref().is_some_and(|(_, known)| *known >= at) {
            return;
        }
        entry.report = Some((report, at));
        entry.sent_since_report = 0;
    }

    /// Stores another instance's calls in flight; it has none at the upstreams that `shares` does not name.
    pub fn record_peer_shares(&self, from: &InstanceName, shares: &[UpstreamShare], now: Instant) {
        let mut state = self.state();
        for (name, entry) in &mut state.upstreams {
            let tag = upstream_tag(name);
            let share = shares.iter().find(|share| share.upstream == tag);
            entry.peers.insert(
                from.clone(),
                PeerShare {
                    in_flight: share.map_or(0, |share| share.in_flight),
                    resident_tokens: share.map_or(0, |share| share.resident_tokens),
                    at: now,
                },
            );
        }
    }

    /// Stores the load reports that another instance has read itself or received from others.
    pub fn record_peer_reports(&self, reports: &[ReportNews], now: Instant) {
        for news in reports {
            let at = now.checked_sub(news.age).unwrap_or(now);
            self.record_report(&news.upstream, news.report.clone(), at);
        }
    }

    /// Returns this instance's calls in flight and cached tokens by upstream, for other instances.
    #[must_use]
    pub fn shares(&self) -> Vec<UpstreamShare> {
        let state = self.state();
        let busy = state
            .upstreams
            .iter()
            .filter(|(_, entry)| entry.in_flight > 0 || entry.resident_tokens > 0);
        let shares = busy.map(|(name, entry)| UpstreamShare {
            upstream: upstream_tag(name),
            in_flight: entry.in_flight,
            resident_tokens: entry.resident_tokens,
        });
        shares.take(SHARE_LIMIT).collect()
    }

    /// Returns the recent load reports of upstreams in this instance's failure domain, for other instances.
    #[must_use]
    pub fn recent_reports(&self, config: &ConfigView) -> Vec<ReportNews> {
        let now = Instant::now();
        let state = self.state();
        let local = |name: &UpstreamName| {
            config
                .upstream(name)
                .is_some_and(|spec| spec.failure_domain == self.domain)
        };
        let news = state.upstreams.iter().filter_map(|(name, entry)| {
            let (report, at) = entry.report.as_ref()?;
            let age = now.duration_since(*at);
            (age < SHARED_REPORT_AGE && local(name)).then(|| ReportNews {
                upstream: name.clone(),
                report: report.clone(),
                age,
            })
        });
        news.take(REPORT_LIMIT).collect()
    }

    /// Records how much of a program's prefix an engine reports as cached.
    pub fn record_cache_event(&self, upstream: &UpstreamName, program: &ProgramId, tokens: u64) {
        let mut state = self.state();
        let inserted_mark = state
            .upstreams
            .get(upstream)
            .map_or(0, |entry| entry.inserted_tokens);
        if let Some(cache) = state.programs.get_mut(program)
            && cache.engine == *upstream
            && tokens > cache.tokens
        {
            cache.tokens = tokens;
            cache.inserted_mark = inserted_mark;
        }
    }

    /// Returns a refusal for a new program that can't be served in time.
    pub fn admit(
        &self,
        class: &ClassName,
        time_left: Duration,
        config: &ConfigView,
    ) -> Option<Refusal> {
        let spec = config.class(class)?;
        if !config.policy().in_force().admission {
            return None;
        }
        let now = Instant::now();
        let state = self.state();
        let history = state.learner.history(class);
        let ahead = state
            .waiting
            .iter()
            .filter(|waiting| waiting.view.priority <= spec.priority && waiting.prefix != 0);
        let work: Duration = ahead
            .map(|waiting| state.learner.history(&waiting.job.class).call_time())
            .sum();
        let slots = state.expected_slots(now);
        let view = AdmissionView {
            priority: spec.priority,
            expected_wait: work.div_f64(slots.max(1.0)),
            expected_work: history.remaining_work(0),
            time_left,
        };
        refuse_begin(&view)
    }

    /// Decides whether an engine should hold the prefix of a program that pauses.
    pub fn should_hold(
        &self,
        class: &ClassName,
        upstream: &UpstreamName,
        tokens: TokenCount,
        config: &ConfigView,
    ) -> bool {
        if !config.policy().in_force().retention {
            return false;
        }
        let now = Instant::now();
        let state = self.state();
        let Some(entry) = state.upstreams.get(upstream) else {
            return false;
        };
        let report = entry.fresh_report(now);
        let cache = report.map_or(CacheState::default(), |report| CacheState {
            cache_tokens: report.cache_tokens,
            used_tokens: report.used_tokens,
            held_tokens: report.held_tokens,
        });
        should_hold(&state.learner.history(class), cache, tokens)
    }

    /// Records whether an engine holds a program's prefix.
    pub fn record_hold(&self, program: &ProgramId, held: bool) {
        if let Some(cache) = self.state().programs.get_mut(program) {
            cache.held = held;
        }
    }

    /// Drops the cache locations of the programs of a shard whose primary is now another instance.
    pub fn forget_shard(&self, shard: &ShardId) {
        let mut state = self.state();
        let of_shard =
            |program: &&ProgramId| ShardId::of_program(program).is_ok_and(|other| other == *shard);
        let programs: Vec<ProgramId> = state.programs.keys().filter(of_shard).cloned().collect();
        for program in programs {
            state.set_program_cache(&program, None);
        }
    }

    /// Records the end of a program and drops its cache location.
    pub fn program_ended(&self, program: &ProgramId, class: &ClassName, calls: u32) {
        let mut state = self.state();
        state.learner.record_end(class, calls);
        state.set_program_cache(program, None);
    }

    /// Returns whether the upstream has reported that it is leaving.
    #[must_use]
    pub fn is_leaving(&self, upstream: &str) -> bool {
        let state = self.state();
        let entry = state.upstreams.get(upstream);
        let report = entry.and_then(|entry| entry.report.as_ref());
        report.is_some_and(|(report, _)| report.leaving)
    }

    /// Returns whether a recent report of the engine is known.
    #[must_use]
    pub fn has_report(&self, upstream: &str) -> bool {
        let state = self.state();
        let entry = state.upstreams.get(upstream);
        entry.is_some_and(|entry| entry.fresh_report(Instant::now()).is_some())
    }

    /// Returns whether a recent report of the engine lists the model as loaded.
    #[must_use]
    pub fn has_model(&self, upstream: &str, model: &str) -> bool {
        let state = self.state();
        let entry = state.upstreams.get(upstream);
        entry.is_some_and(|entry| entry.lacks_model(model, Instant::now()) == Some(false))
    }

    /// Returns the state of the queue for a dump.
    #[must_use]
    pub fn dump(&self) -> QueueDump {
        let now = Instant::now();
        let state = self.state();
        let mut upstreams: Vec<UpstreamDump> = state
            .upstreams
            .iter()
            .map(|(name, entry)| UpstreamDump {
                name: name.clone(),
                in_flight: entry.in_flight,
                estimated: entry.total_in_flight(now),
                slots: entry.slots(now),
                leaving: entry
                    .report
                    .as_ref()
                    .is_some_and(|(report, _)| report.leaving),
                breaker_open: !entry.breaker.allows(now),
                resident_tokens: entry.resident_tokens,
            })
            .collect();
        upstreams.sort_by(|one, other| one.name.cmp(&other.name));
        QueueDump {
            waiting: state.waiting.len(),
            upstreams,
            classes: state.learner.clone(),
        }
    }
}
