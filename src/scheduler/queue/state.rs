//! State of the queue: waiting calls, the known state of programs and upstreams, and the placement of calls.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use rand::rngs::SmallRng;
use smol_str::SmolStr;

use super::upstreams::UpstreamState;
use crate::contract::{CallSpec, text_tokens};
use crate::ids::{DomainId, ProgramId, TokenCount, UpstreamName};
use crate::record::{ConfigView, PolicySpec, UpstreamKind, UpstreamSpec};
use crate::scheduler::learn::ClassLearner;
use crate::scheduler::policy::SchedulingPolicy;
use crate::scheduler::view::{EngineView, JobView, OrderKey, PlacementChoice};
use crate::shard::DispatchJob;

/// Share of its slots by which an engine is sent more requests, so that a freed slot is filled immediately.
const SLOT_MARGIN_SHARE: f64 = 0.25;

/// A waiting call.
#[derive(Debug)]
pub(super) struct WaitingJob {
    pub job: DispatchJob,
    pub view: JobView,
    /// Result of `prefix_hash`.
    pub prefix: u64,
    pub queued: Instant,
}

/// Where a program's prefix is probably cached.
#[derive(Debug)]
pub(super) struct ProgramCache {
    pub engine: UpstreamName,
    pub tokens: TokenCount,
    /// The engine's `inserted_tokens` when the prefix was cached.
    pub inserted_mark: TokenCount,
    pub held: bool,
}

/// The state that scheduling decisions use.
pub(super) struct QueueState {
    pub waiting: Vec<WaitingJob>,
    pub upstreams: HashMap<UpstreamName, UpstreamState>,
    pub programs: HashMap<ProgramId, ProgramCache>,
    pub learner: ClassLearner,
    pub spec: PolicySpec,
    pub policy: Box<dyn SchedulingPolicy>,
    pub rng: SmallRng,
    pub arrivals: u64,
}

impl QueueState {
    pub fn job_view(&self, job: &DispatchJob, config: &ConfigView, arrival: u64) -> JobView {
        let class = config.class(&job.class);
        let history = self.learner.history(&job.class);
        let calls = job.intent.sequence.saturating_sub(1);
        let now = SystemTime::now();
        JobView {
            program: job.intent.program.clone(),
            arrival,
            priority: class.map_or(5, |class| class.priority),
            latency_weight: class.map_or(0.5, |class| class.latency_weight),
            waited: Duration::ZERO,
            age: now.duration_since(job.began).unwrap_or_default(),
            time_left: job.deadline.duration_since(now).unwrap_or_default(),
            calls,
            prompt_tokens: prompt_tokens(job),
            answer_tokens: history.answer_tokens(),
            remaining_work: history.remaining_work(calls),
            home: self
                .programs
                .get(&job.intent.program)
                .map(|cache| cache.engine.clone())
                .or_else(|| job.holding_upstream.clone()),
        }
    }

    /// Returns the indices of the waiting calls, the next one first.
    pub fn ordered_jobs(&mut self, now: Instant) -> Vec<usize> {
        for waiting in &mut self.waiting {
            waiting.view.waited = now.duration_since(waiting.queued);
        }
        let mut keys: Vec<(OrderKey, usize)> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(index, waiting)| (self.policy.order(&waiting.view), index))
            .collect();
        keys.sort_by(|one, other| {
            one.0
                .partial_cmp(&other.0)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        keys.into_iter().map(|(_, index)| index).collect()
    }

    pub fn place(
        &mut self,
        index: usize,
        config: &ConfigView,
        domain: &DomainId,
        now: Instant,
    ) -> Option<(UpstreamName, Arc<UpstreamSpec>)> {
        match &self.waiting[index].job.intent.spec {
            CallSpec::Service(call) => {
                let service = call.service.clone();
                self.place_service(index, &service, config, domain, now)
            }
            CallSpec::Model(_) => self.place_model(index, config, domain, now),
        }
    }

    fn is_usable(&self, name: &str, spec: &UpstreamSpec, now: Instant) -> bool {
        let entry = self.upstreams.get(name);
        let leaving = entry
            .and_then(|entry| entry.report.as_ref())
            .is_some_and(|(report, _)| report.leaving);
        !spec.leaving && !leaving && entry.is_none_or(|entry| entry.breaker.allows(now))
    }

    fn place_service(
        &self,
        index: usize,
        service: &SmolStr,
        config: &ConfigView,
        domain: &DomainId,
        now: Instant,
    ) -> Option<(UpstreamName, Arc<UpstreamSpec>)> {
        let avoid = self.waiting[index].job.avoid.as_ref();
        config
            .upstreams()
            .filter(|(_, spec)| spec.kind == UpstreamKind::Service && spec.service == *service)
            .filter(|(name, spec)| self.is_usable(name, spec, now))
            .map(|(name, spec)| {
                let in_flight = self
                    .upstreams
                    .get(name)
                    .map_or(0, |entry| entry.total_in_flight(now));
                (name, spec, in_flight)
            })
            .filter(|(_, spec, in_flight)| *in_flight < spec.concurrency)
            .min_by_key(|(name, spec, in_flight)| {
                (
                    avoid == Some(*name),
                    spec.failure_domain != *domain,
                    *in_flight,
                )
            })
            .map(|(name, spec, _)| (name.clone(), spec.clone()))
    }

    fn place_model(
        &mut self,
        index: usize,
        config: &ConfigView,
        domain: &DomainId,
        now: Instant,
    ) -> Option<(UpstreamName, Arc<UpstreamSpec>)> {
        let waiting = &self.waiting[index];
        let model = wanted_model(&waiting.job.intent.spec, &waiting.job.class, config)?;
        let candidates: Vec<(UpstreamName, Arc<UpstreamSpec>)> = config
            .upstreams()
            .filter(|(_, spec)| spec.kind == UpstreamKind::Engine && spec.models.contains(&model))
            .filter(|(name, spec)| self.is_usable(name, spec, now))
            .filter(|(name, _)| {
                let entry = self.upstreams.get(*name);
                entry.and_then(|entry| entry.lacks_model(&model, now)) != Some(true)
            })
            .map(|(name, spec)| (name.clone(), spec.clone()))
            .collect();
        let others: Vec<_> = candidates
            .iter()
            .filter(|(name, _)| waiting.job.avoid.as_ref() != Some(name))
            .cloned()
            .collect();
        let candidates = if others.is_empty() {
            candidates
        } else {
            others
        };
        if candidates.is_empty() {
            return None;
        }
        let views: Vec<EngineView> = candidates
            .iter()
            .map(|(name, spec)| self.engine_view(name, spec, waiting, domain, now))
            .collect();
        let view = waiting.view.clone();
        match self.policy.place(&view, &views, &mut self.rng) {
            PlacementChoice::At(chosen) => candidates.into_iter().nth(chosen),
            PlacementChoice::Wait => None,
        }
    }

    fn engine_view(
        &self,
        name: &UpstreamName,
        spec: &UpstreamSpec,
        waiting: &WaitingJob,
        domain: &DomainId,
        now: Instant,
    ) -> EngineView {
        let unknown = UpstreamState::default();
        let entry = self.upstreams.get(name).unwrap_or(&unknown);
        let slots = entry.slots(now);
        let margin = (f64::from(slots) * SLOT_MARGIN_SHARE).ceil();
        let breaker_share = entry.breaker.share(now);
        let peers: TokenCount = entry
            .peer_shares(now)
            .map(|share| share.resident_tokens)
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number"
        )]
        let limit = ((f64::from(slots) + margin) * breaker_share).ceil() as u32;
        EngineView {
            name: name.clone(),
            local: spec.failure_domain == *domain,
            slots,
            in_flight: entry.total_in_flight(now),
            limit: limit.min(spec.concurrency),
            cached_tokens: self.cached_tokens(name, entry, waiting, now),
            resident_tokens: entry.resident_tokens + peers,
            cache_tokens: entry.cache_tokens(now),
            prefill_time: entry.prefill_time,
            token_time: entry.token_time,
            call_time: entry.call_time,
        }
    }

    fn cached_tokens(
        &self,
        name: &UpstreamName,
        entry: &UpstreamState,
        waiting: &WaitingJob,
        now: Instant,
    ) -> TokenCount {
        let shared = entry.prefixes.get(&waiting.prefix);
        let shared = shared.filter(|(_, mark)| !entry.is_stale(*mark, now));
        let shared = shared.map_or(0, |(tokens, _)| *tokens);
        let own = match self.programs.get(&waiting.view.program) {
            Some(cache) if cache.engine == *name => {
                let is_cached = cache.held || !entry.is_stale(cache.inserted_mark, now);
                if is_cached { cache.tokens } else { 0 }
            }
            None if waiting.job.holding_upstream.as_ref() == Some(name) => {
                waiting.view.prompt_tokens
            }
            _ => 0,
        };
        own.max(shared).min(waiting.view.prompt_tokens)
    }

    pub fn set_program_cache(&mut self, program: &ProgramId, cache: Option<ProgramCache>) {
        if let Some(old) = self.programs.remove(program)
            && let Some(entry) = self.upstreams.get_mut(&old.engine)
        {
            entry.resident_tokens = entry.resident_tokens.saturating_sub(old.tokens);
        }
        let Some(cache) = cache else { return };
        if let Some(entry) = self.upstreams.get_mut(&cache.engine) {
            entry.resident_tokens += cache.tokens;
        }
        self.programs.insert(program.clone(), cache);
    }

    /// Estimates how many slots of all engines are available to this instance, in proportion to its calls in flight.
    pub fn expected_slots(&self, now: Instant) -> f64 {
        let engines = self.upstreams.values().filter(|entry| {
            entry
                .fresh_report(now)
                .is_some_and(|report| report.slots > 0 && !report.leaving)
        });
        let shares = engines.map(|entry| {
            let peers: u32 = entry.peer_shares(now).map(|share| share.in_flight).sum();
            let own = f64::from(entry.in_flight) + 1.0;
            f64::from(entry.slots(now)) * own / (own + f64::from(peers))
        });
        shares.sum()
    }
}

/// Returns the model that a call requests, or else the one that its class names.
#[must_use]
pub fn wanted_model(spec: &CallSpec, class: &str, config: &ConfigView) -> Option<SmolStr> {
    let CallSpec::Model(call) = spec else {
        return None;
    };
    config.wanted_model(call.model.as_ref(), class)
}

fn first_message(job: &DispatchJob) -> Option<&str> {
    let CallSpec::Model(call) = &job.intent.spec else {
        return None;
    };
    let first = job.history.first().or(call.messages.first())?;
    Some(&first.content)
}

/// Returns the hash of the first message of a model call, which programs of a class often share, or 0 for other calls.
pub(super) fn prefix_hash(job: &DispatchJob) -> u64 {
    let Some(first) = first_message(job) else {
        return 0;
    };
    let mut hasher = DefaultHasher::new();
    first.hash(&mut hasher);
    hasher.finish() | 1
}

pub(super) fn prefix_tokens(job: &DispatchJob) -> TokenCount {
    first_message(job).map_or(0, text_tokens)
}

fn prompt_tokens(job: &DispatchJob) -> TokenCount {
    let history: TokenCount = job
        .history
        .iter()
        .map(|message| text_tokens(&message.content))
        .sum();
    history + job.intent.spec.prompt_tokens()
}
