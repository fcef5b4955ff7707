//! The waiting calls of an instance with all that decisions about them look at.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use smol_str::SmolStr;

use super::admit::{AdmissionView, refuse_begin};
use super::learn::ClassLearner;
use super::policy::{SchedulingPolicy, make_policy};
use super::retain::{CacheState, wants_hold};
use super::view::{EngineView, JobView, OrderKey, PlacementChoice};
use crate::contract::{CallSpec, Refusal, TokenUsage, text_tokens};
use crate::ids::{ClassName, DomainId, InstanceName, ProgramId, TokenCount, UpstreamName};
use crate::link::{LoadReport, UpstreamDigest};
use crate::record::{ConfigView, PolicySpec, UpstreamKind, UpstreamSpec};
use crate::shard::DispatchJob;
use crate::upstream::CircuitBreaker;

/// Waiting calls looked at in one pass.
const PASS_LIMIT: usize = 128;

/// Requests beyond its slots that an engine is given, so that a freed slot is filled at once.
const SLOT_MARGIN: f64 = 0.25;

/// Weight of the newest measured time.
const NEWEST: f64 = 0.1;

/// Age from which another instance's digest counts no more.
const DIGEST_AGE: Duration = Duration::from_secs(5);

/// Age from which an upstream's report counts no more.
const REPORT_AGE: Duration = Duration::from_secs(15);

/// Shortest first message that counts as a prefix shared between programs.
const SHARED_PREFIX: TokenCount = 32;

/// Slots of an engine that has not reported yet.
const UNKNOWN_SLOTS: u32 = 4;

#[derive(Debug)]
struct WaitingJob {
    job: DispatchJob,
    view: JobView,
    prefix: u64,
    queued: Instant,
    avoid: Option<UpstreamName>,
}

#[derive(Debug)]
struct PeerShare {
    in_flight: u32,
    resident_tokens: TokenCount,
    at: Instant,
}

/// What is known of one upstream.
#[derive(Debug)]
struct UpstreamState {
    report: Option<(LoadReport, Instant)>,
    in_flight: u32,
    sent_since_report: u32,
    peers: HashMap<InstanceName, PeerShare>,
    breaker: CircuitBreaker,
    prefixes: HashMap<u64, (TokenCount, TokenCount)>,
    inserted: TokenCount,
    resident: TokenCount,
    call_time: Duration,
    prefill_time: Duration,
    token_time: Duration,
}

impl Default for UpstreamState {
    fn default() -> Self {
        Self {
            report: None,
            in_flight: 0,
            sent_since_report: 0,
            peers: HashMap::new(),
            breaker: CircuitBreaker::default(),
            prefixes: HashMap::new(),
            inserted: 0,
            resident: 0,
            call_time: Duration::from_millis(500),
            prefill_time: Duration::from_micros(20),
            token_time: Duration::from_millis(6),
        }
    }
}

impl UpstreamState {
    fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        let (report, at) = self.report.as_ref()?;
        (now.duration_since(*at) < REPORT_AGE).then_some(report)
    }

    /// Returns whether the last report lacks the model; `None` without a report.
    fn lacks_model(&self, model: &str, now: Instant) -> Option<bool> {
        let report = self.fresh_report(now)?;
        Some(!report.models.iter().any(|loaded| loaded == model))
    }

    fn slots(&self, now: Instant) -> u32 {
        let reported = self.fresh_report(now).map_or(0, |report| report.slots);
        if reported == 0 {
            UNKNOWN_SLOTS
        } else {
            reported
        }
    }

    fn peer_shares(&self, now: Instant) -> impl Iterator<Item = &PeerShare> {
        let fresh = move |share: &&PeerShare| now.duration_since(share.at) < DIGEST_AGE;
        self.peers.values().filter(fresh)
    }

    /// Estimates the requests there, from the last report and from what the instances have sent.
    fn total_in_flight(&self, now: Instant) -> u32 {
        let peers: u32 = self.peer_shares(now).map(|share| share.in_flight).sum();
        let told = self.in_flight + peers;
        let reported = self.fresh_report(now).map_or(0, |report| {
            report.running + report.queued + self.sent_since_report
        });
        told.max(reported)
    }

    fn cache_tokens(&self, now: Instant) -> TokenCount {
        self.fresh_report(now)
            .map_or(0, |report| report.cache_tokens)
    }

    /// Returns whether something inserted at the mark has probably been put out since.
    fn is_stale(&self, mark: TokenCount, now: Instant) -> bool {
        let size = self.cache_tokens(now);
        size > 0 && self.inserted.saturating_sub(mark) > size - size / 8
    }
}

/// Where a program's prefix is cached, as far as is known.
#[derive(Debug)]
struct ProgramCache {
    engine: UpstreamName,
    tokens: TokenCount,
    mark: TokenCount,
    held: bool,
}

struct QueueState {
    waiting: Vec<WaitingJob>,
    upstreams: HashMap<UpstreamName, UpstreamState>,
    programs: HashMap<ProgramId, ProgramCache>,
    learner: ClassLearner,
    spec: PolicySpec,
    policy: Box<dyn SchedulingPolicy>,
    rng: SmallRng,
    arrivals: u64,
}

/// A call with the upstream chosen for it.
#[derive(Debug)]
pub struct ChosenJob {
    /// The call.
    pub job: DispatchJob,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its record.
    pub spec: Arc<UpstreamSpec>,
    /// Priority for the engine.
    pub priority: u8,
}

/// State of the queue for dumps.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct QueueDump {
    /// Calls waiting.
    pub waiting: usize,
    /// Upstreams as seen from here.
    pub upstreams: Vec<UpstreamDump>,
    /// What was learned of the classes.
    pub classes: ClassLearner,
}

/// One upstream for dumps.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamDump {
    /// The upstream.
    pub name: UpstreamName,
    /// Own calls under way there.
    pub in_flight: u32,
    /// All calls estimated there.
    pub estimated: u32,
    /// Slots reported.
    pub slots: u32,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Whether its circuit breaker is open.
    pub breaker_open: bool,
    /// Tokens of the own running programs there.
    pub resident_tokens: TokenCount,
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
    /// Makes an empty queue of an instance in the failure domain, with a seed for its choices.
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

    /// Puts a call in line; `avoid` names an upstream that has just failed it.
    pub fn push(&self, job: DispatchJob, config: &ConfigView, avoid: Option<UpstreamName>) {
        let mut state = self.state();
        state.arrivals += 1;
        let arrival = state.arrivals;
        if avoid.is_none() && job.intent.sequence > 1 && !job.redispatch {
            state.learner.returned(&job.class, job.pause);
        }
        let view = state.job_view(&job, config, arrival);
        state.waiting.push(WaitingJob {
            prefix: prefix_hash(&job),
            view,
            job,
            queued: Instant::now(),
            avoid,
        });
    }

    /// Takes out the calls whose wait has ended: cancelled ones and those past their deadline.
    pub fn take_expired(&self, now: SystemTime) -> Vec<DispatchJob> {
        let mut state = self.state();
        let over = |waiting: &mut WaitingJob| {
            waiting.job.cancel.is_cancelled() || now >= waiting.job.deadline
        };
        state
            .waiting
            .extract_if(.., over)
            .map(|waiting| waiting.job)
            .collect()
    }

    /// Takes out the calls that can go now, each with its upstream.
    pub fn choose(&self, config: &ConfigView, now: Instant) -> Vec<ChosenJob> {
        let mut state = self.state();
        if state.spec != *config.policy() {
            state.spec = config.policy().clone();
            state.policy = make_policy(&state.spec);
        }
        let order = state.line(now);
        let mut chosen = Vec::new();
        let mut taken = Vec::new();
        for index in order.into_iter().take(PASS_LIMIT) {
            let Some((upstream, spec)) = state.place(index, config, &self.domain, now) else {
                continue;
            };
            let entry = state.upstreams.entry(upstream.clone()).or_default();
            entry.in_flight += 1;
            entry.sent_since_report += 1;
            entry.breaker.sent(now);
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

    /// Notes the end of a call at an engine.
    pub fn answered(
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
            .answered(&job.class, usage.completion_tokens, total);
        let prefix = prefix_hash(job);
        let prefix_tokens = prefix_tokens(job);
        let entry = state.upstreams.entry(upstream.clone()).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        entry.breaker.succeeded();
        blend(&mut entry.call_time, total);
        let missing = usage.prompt_tokens.saturating_sub(usage.cached_tokens);
        if missing > 64 {
            blend(
                &mut entry.prefill_time,
                first_token / u32::try_from(missing).unwrap_or(u32::MAX),
            );
        }
        let tokens = u32::try_from(usage.completion_tokens.max(1)).unwrap_or(u32::MAX);
        blend(
            &mut entry.token_time,
            total.saturating_sub(first_token) / tokens,
        );
        // Other instances fill the cache as well, about in proportion to their calls there.
        let own = u64::from(entry.in_flight.max(1));
        let share = (u64::from(entry.total_in_flight(now)) / own).clamp(1, 16);
        entry.inserted += (missing + usage.completion_tokens) * share;
        let mark = entry.inserted;
        if prefix_tokens >= SHARED_PREFIX {
            entry.prefixes.insert(prefix, (prefix_tokens, mark));
        }
        let cache = ProgramCache {
            engine: upstream.clone(),
            tokens: usage.prompt_tokens + usage.completion_tokens,
            mark,
            held: false,
        };
        state.place_program(&job.intent.program, Some(cache));
    }

    /// Notes a call to a service that has ended, or a call that an upstream has failed.
    pub fn ended(&self, upstream: &UpstreamName, failed: bool) {
        let now = Instant::now();
        let mut state = self.state();
        let entry = state.upstreams.entry(upstream.clone()).or_default();
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if failed {
            entry.breaker.failed(now);
        } else {
            entry.breaker.succeeded();
        }
    }

    /// Takes an upstream's report.
    pub fn take_report(&self, upstream: &UpstreamName, report: LoadReport, at: Instant) {
        let mut state = self.state();
        let entry = state.upstreams.entry(upstream.clone()).or_default();
        if entry.report.as_ref().is_some_and(|(_, known)| *known >= at) {
            return;
        }
        entry.report = Some((report, at));
        entry.sent_since_report = 0;
    }

    /// Takes what another instance tells of upstreams.
    pub fn take_digests(&self, digests: &[UpstreamDigest], now: Instant) {
        for digest in digests {
            let at = now.checked_sub(digest.age).unwrap_or(now);
            if let Some(report) = &digest.report {
                self.take_report(&digest.upstream, report.clone(), at);
            }
            let mut state = self.state();
            let entry = state.upstreams.entry(digest.upstream.clone()).or_default();
            let share = PeerShare {
                in_flight: digest.in_flight,
                resident_tokens: digest.resident_tokens,
                at: now,
            };
            entry.peers.insert(digest.instance.clone(), share);
        }
    }

    /// Composes what to tell other instances.
    pub fn digests(&self, me: &InstanceName) -> Vec<UpstreamDigest> {
        let now = Instant::now();
        let state = self.state();
        let digests = state.upstreams.iter().map(|(name, entry)| {
            let (report, age) = match &entry.report {
                Some((report, at)) => (Some(report.clone()), now.duration_since(*at)),
                None => (None, Duration::ZERO),
            };
            UpstreamDigest {
                upstream: name.clone(),
                instance: me.clone(),
                in_flight: entry.in_flight,
                resident_tokens: entry.resident,
                report: report.filter(|_| age < REPORT_AGE),
                age,
            }
        });
        digests.collect()
    }

    /// Takes an engine's word on how much of a program's prefix it has cached.
    pub fn take_cache_event(&self, upstream: &UpstreamName, program: &ProgramId, tokens: u64) {
        let mut state = self.state();
        let mark = state
            .upstreams
            .get(upstream)
            .map_or(0, |entry| entry.inserted);
        if let Some(cache) = state.programs.get_mut(program)
            && cache.engine == *upstream
            && tokens > cache.tokens
        {
            cache.tokens = tokens;
            cache.mark = mark;
        }
    }

    /// Refuses the begin of a program that could not be served in time.
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
        let slots = state.own_slots(now);
        let view = AdmissionView {
            priority: spec.priority,
            expected_wait: work.div_f64(slots.max(1.0)),
            expected_work: history.remaining_work(0),
            time_left,
        };
        refuse_begin(&view)
    }

    /// Decides whether an engine keeps the prefix of a program that pauses.
    pub fn wants_hold(
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
        wants_hold(&state.learner.history(class), cache, tokens)
    }

    /// Notes whether an engine holds a program's prefix.
    pub fn note_hold(&self, program: &ProgramId, held: bool) {
        if let Some(cache) = self.state().programs.get_mut(program) {
            cache.held = held;
        }
    }

    /// Learns from the end of a program and forgets where its prefix is cached.
    pub fn program_ended(&self, program: &ProgramId, class: &ClassName, calls: u32) {
        let mut state = self.state();
        state.learner.ended(class, calls);
        state.place_program(program, None);
    }

    /// Returns whether an engine has reported lately.
    #[must_use]
    pub fn has_report(&self, upstream: &str) -> bool {
        let state = self.state();
        let entry = state.upstreams.get(upstream);
        entry.is_some_and(|entry| entry.fresh_report(Instant::now()).is_some())
    }

    /// Returns whether an engine has reported that the model is loaded.
    #[must_use]
    pub fn has_model(&self, upstream: &str, model: &str) -> bool {
        let state = self.state();
        let entry = state.upstreams.get(upstream);
        entry.is_some_and(|entry| entry.lacks_model(model, Instant::now()) == Some(false))
    }

    /// Returns the state for a dump.
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
                resident_tokens: entry.resident,
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

impl QueueState {
    fn job_view(&self, job: &DispatchJob, config: &ConfigView, arrival: u64) -> JobView {
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
                .or_else(|| job.held_at.clone()),
        }
    }

    /// Returns the waiting calls in the order in which they are next.
    fn line(&mut self, now: Instant) -> Vec<usize> {
        for waiting in &mut self.waiting {
            waiting.view.waited = now.duration_since(waiting.queued);
        }
        let mut keyed: Vec<(OrderKey, usize)> = self
            .waiting
            .iter()
            .enumerate()
            .map(|(index, waiting)| (self.policy.order(&waiting.view), index))
            .collect();
        keyed.sort_by(|one, other| {
            one.0
                .partial_cmp(&other.0)
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        keyed.into_iter().map(|(_, index)| index).collect()
    }

    fn place(
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

    fn usable(&self, name: &str, spec: &UpstreamSpec, now: Instant) -> bool {
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
        let avoid = self.waiting[index].avoid.as_ref();
        config
            .upstreams()
            .filter(|(_, spec)| spec.kind == UpstreamKind::Service && spec.service == *service)
            .filter(|(name, spec)| self.usable(name, spec, now))
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
        let model = wanted_model(&waiting.job, config)?;
        let candidates: Vec<(UpstreamName, Arc<UpstreamSpec>)> = config
            .upstreams()
            .filter(|(_, spec)| spec.kind == UpstreamKind::Engine && spec.models.contains(&model))
            .filter(|(name, spec)| self.usable(name, spec, now))
            .filter(|(name, _)| {
                let entry = self.upstreams.get(*name);
                entry.and_then(|entry| entry.lacks_model(&model, now)) != Some(true)
            })
            .map(|(name, spec)| (name.clone(), spec.clone()))
            .collect();
        let others: Vec<_> = candidates
            .iter()
            .filter(|(name, _)| waiting.avoid.as_ref() != Some(name))
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
        let margin = (f64::from(slots) * SLOT_MARGIN).ceil();
        let open = entry.breaker.share(now);
        let peers: TokenCount = entry
            .peer_shares(now)
            .map(|share| share.resident_tokens)
            .sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a small positive number"
        )]
        let limit = ((f64::from(slots) + margin) * open).ceil() as u32;
        EngineView {
            name: name.clone(),
            local: spec.failure_domain == *domain,
            slots,
            in_flight: entry.total_in_flight(now),
            limit: limit.min(spec.concurrency),
            cached_tokens: self.cached_tokens(name, entry, waiting, now),
            resident_tokens: entry.resident + peers,
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
                let present = cache.held || !entry.is_stale(cache.mark, now);
                if present { cache.tokens } else { 0 }
            }
            None if waiting.job.held_at.as_ref() == Some(name) => waiting.view.prompt_tokens,
            _ => 0,
        };
        own.max(shared).min(waiting.view.prompt_tokens)
    }

    fn place_program(&mut self, program: &ProgramId, cache: Option<ProgramCache>) {
        if let Some(old) = self.programs.remove(program)
            && let Some(entry) = self.upstreams.get_mut(&old.engine)
        {
            entry.resident = entry.resident.saturating_sub(old.tokens);
        }
        let Some(cache) = cache else { return };
        if let Some(entry) = self.upstreams.get_mut(&cache.engine) {
            entry.resident += cache.tokens;
        }
        self.programs.insert(program.clone(), cache);
    }

    /// Estimates the slots that this instance gets of all engines.
    fn own_slots(&self, now: Instant) -> f64 {
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

/// Returns the model that a call asks for, or that its class names.
#[must_use]
pub fn wanted_model(job: &DispatchJob, config: &ConfigView) -> Option<SmolStr> {
    let CallSpec::Model(call) = &job.intent.spec else {
        return None;
    };
    let by_class = || config.class(&job.class).map(|class| class.model.clone());
    call.model.clone().or_else(by_class)
}

fn first_message(job: &DispatchJob) -> Option<&str> {
    let CallSpec::Model(call) = &job.intent.spec else {
        return None;
    };
    let first = job.history.first().or(call.messages.first())?;
    Some(&first.content)
}

/// Hash of the first message of a model call, which programs of a class often share; else 0.
fn prefix_hash(job: &DispatchJob) -> u64 {
    let Some(first) = first_message(job) else {
        return 0;
    };
    let mut hasher = DefaultHasher::new();
    first.hash(&mut hasher);
    hasher.finish() | 1
}

fn prefix_tokens(job: &DispatchJob) -> TokenCount {
    first_message(job).map_or(0, text_tokens)
}

fn prompt_tokens(job: &DispatchJob) -> TokenCount {
    let history: TokenCount = job
        .history
        .iter()
        .map(|one| text_tokens(&one.content))
        .sum();
    history + job.intent.spec.prompt_tokens()
}

fn blend(mean: &mut Duration, value: Duration) {
    *mean = mean.mul_f64(1.0 - NEWEST) + value.mul_f64(NEWEST);
}
