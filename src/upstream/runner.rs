//! Dispatches waiting calls to upstreams and returns their outcomes to the shards.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use arc_swap::ArcSwap;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use samphiregrade_http::{HttpPool, OutgoingRequest};
use serde_json::json;
use smol_str::format_smolstr;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::engine::{EngineFailure, EngineResponse, complete};
use super::service::{ServiceOutcome, invoke, query_outcome};
use crate::contract::{CallSpec, Refusal, RefusalKind, ServiceCall};
use crate::ids::{ClassName, ProgramId, ShardId, TokenCount, UpstreamName};
use crate::program::CallOutcome;
use crate::record::{ConfigView, UpstreamKind, UpstreamSpec};
use crate::scheduler::{CallEnd, CallQueue, ChosenJob};
use crate::shard::{DispatchJob, DispatchResult, DispatchSink, ShardCommand};

/// Longest time between two passes over the queue while calls are waiting.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time between two passes over the queue while it is empty.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Attempts to query the outcome of a call that must not be repeated.
const OUTCOME_TRIES: u32 = 8;

/// Pause between two such attempts.
const OUTCOME_PAUSE: Duration = Duration::from_millis(250);

/// Timeout of a request to hold or release a prefix.
const CACHE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time without any text after which a call whose deadline passes counts as a failure of its upstream. With less time, the
/// upstream may just have been busy.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Amount that each call with a response adds to the retry budget.
const RETRY_SHARE: f64 = 0.2;

/// Initial and maximum retry budget.
const RETRY_BURST: f64 = 50.0;

/// Number of failures after which a call is refused.
const FAILURE_LIMIT: u32 = 12;

/// Pause of a call while the retry budget is exhausted; each pause adds to the budget, so that the call is retried
/// eventually.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Counters of calls to upstreams.
#[derive(Debug, Default)]
pub struct RunnerCounters {
    /// Calls sent.
    pub sent: AtomicU64,
    /// Calls with a response.
    pub answered: AtomicU64,
    /// Calls retried.
    pub retried: AtomicU64,
    /// Calls that an upstream broke off, and may have ended under.
    pub ended: AtomicU64,
    /// Calls whose outcome remained unknown.
    pub unknown: AtomicU64,
    /// Prompt tokens of all responses.
    pub prompt_tokens: AtomicU64,
    /// Prompt tokens that engines had cached.
    pub cached_tokens: AtomicU64,
}

struct RunnerInner {
    queue: Arc<CallQueue>,
    pool: HttpPool,
    config: Arc<ArcSwap<ConfigView>>,
    wakeup: Notify,
    retry_budget: Mutex<f64>,
    counters: RunnerCounters,
    handle: tokio::runtime::Handle,
}

/// Dispatches waiting calls to upstreams; cloning it is cheap.
#[derive(Clone)]
pub struct UpstreamRunner {
    inner: Arc<RunnerInner>,
}

impl std::fmt::Debug for UpstreamRunner {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("UpstreamRunner")
            .finish_non_exhaustive()
    }
}

impl UpstreamRunner {
    /// Creates a runner; must be called inside a tokio runtime.
    #[must_use]
    pub fn new(queue: Arc<CallQueue>, pool: HttpPool, config: Arc<ArcSwap<ConfigView>>) -> Self {
        let inner = RunnerInner {
            queue,
            pool,
            config,
            wakeup: Notify::new(),
            retry_budget: Mutex::new(RETRY_BURST),
            counters: RunnerCounters::default(),
            handle: tokio::runtime::Handle::current(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the counters of this runner.
    #[must_use]
    pub fn counters(&self) -> &RunnerCounters {
        &self.inner.counters
    }

    /// Dispatches waiting calls until the token is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            let idle = self.inner.queue.is_idle();
            let interval = if idle { IDLE_INTERVAL } else { PASS_INTERVAL };
            tokio::select! {
                () = self.inner.wakeup.notified() => {}
                () = tokio::time::sleep(interval) => {}
                () = stop.cancelled() => return,
            }
            for job in self.inner.queue.take_expired(SystemTime::now()) {
                self.refuse_expired(job);
            }
            let config = self.inner.config.load_full();
            for chosen in self.inner.queue.choose(&config, Instant::now()) {
                let runner = self.clone();
                tokio::spawn(async move { runner.run_chosen(chosen).await });
            }
        }
    }

    /// Refuses a call whose deadline passed before it was sent; a cancelled call gets no outcome.
    fn refuse_expired(&self, job: DispatchJob) {
        if job.cancel.is_cancelled() {
            return;
        }
        let detail = "the deadline passed before an upstream was free";
        let refusal = if job.redispatch {
            Refusal::unknown(RefusalKind::DeadlinePassed, detail)
        } else {
            Refusal::not_run(RefusalKind::DeadlinePassed, detail)
        };
        self.finish(job, CallOutcome::Refused(refusal), 0, None);
    }

    fn finish(
        &self,
        job: DispatchJob,
        outcome: CallOutcome,
        used: TokenCount,
        hold: Option<UpstreamName>,
    ) {
        let done = DispatchResult {
            program: job.intent.program,
            sequence: job.intent.sequence,
            epoch: job.epoch,
            outcome,
            used,
            hold,
        };
        let sender = job.done;
        self.inner.handle.spawn(async move {
            // If the shard's task has ended, the shard's next primary handles the call.
            let _ = sender
                .send(ShardCommand::DispatchFinished(Box::new(done)))
                .await;
        });
    }

    async fn run_chosen(&self, chosen: ChosenJob) {
        self.inner.counters.sent.fetch_add(1, Ordering::Relaxed);
        let cancel = chosen.job.cancel.clone();
        let upstream = chosen.upstream.clone();
        let left = chosen
            .job
            .deadline
            .duration_since(SystemTime::now())
            .unwrap_or_default();
        let job = chosen.job.clone();
        let idempotent = job.intent.spec.is_idempotent();
        let work = async {
            match chosen.job.intent.spec.clone() {
                CallSpec::Model(_) => self.run_model(chosen).await,
                CallSpec::Service(call) => self.run_service(chosen, &call).await,
            }
        };
        tokio::select! {
            () = work => {}
            () = cancel.cancelled() => self.inner.queue.record_end(&upstream, CallEnd::Withdrawn),
            () = tokio::time::sleep(left), if idempotent => {
                let silent = left >= SILENCE_LIMIT && job.stream.is_empty();
                let end = if silent { CallEnd::Failed } else { CallEnd::Withdrawn };
                self.inner.queue.record_end(&upstream, end);
                let detail = "the deadline passed while the call ran";
                let refusal = Refusal::unknown(RefusalKind::DeadlinePassed, detail);
                let reserved = job.intent.reserved;
                self.finish(job, CallOutcome::Refused(refusal), reserved, None);
            }
        }
        self.inner.wakeup.notify_one();
    }

    async fn run_model(&self, chosen: ChosenJob) {
        let config = self.inner.config.load_full();
        let model =
            crate::scheduler::wanted_model(&chosen.job.intent.spec, &chosen.job.class, &config)
                .unwrap_or_default();
        let ChosenJob {
            job,
            upstream,
            spec,
            priority,
        } = chosen;
        let response = complete(&self.inner.pool, &spec, &model, priority, &job).await;
        match response {
            Ok(response) => self.accept_response(job, upstream, response),
            Err(EngineFailure::Rejected(status, detail)) => {
                self.inner.queue.record_end(&upstream, CallEnd::Answered);
                let kind = if status == 413 {
                    RefusalKind::BudgetExhausted
                } else {
                    RefusalKind::BadRequest
                };
                let refusal = Refusal::not_run(kind, detail);
                self.finish(job, CallOutcome::Refused(refusal), 0, None);
            }
            Err(EngineFailure::Failed(detail)) => {
                log::debug!("engine failed the call upstream={upstream} error={detail}");
                self.inner.queue.record_end(&upstream, CallEnd::Failed);
                self.retry(job, upstream).await;
            }
            Err(EngineFailure::Interrupted(detail)) => {
                log::debug!("engine broke off the call upstream={upstream} error={detail}");
                self.inner.queue.record_end(&upstream, CallEnd::Failed);
                self.retry_interrupted(job, upstream, &spec).await;
            }
        }
    }

    fn accept_response(&self, job: DispatchJob, upstream: UpstreamName, response: EngineResponse) {
        let counters = &self.inner.counters;
        counters.answered.fetch_add(1, Ordering::Relaxed);
        counters
            .prompt_tokens
            .fetch_add(response.usage.prompt_tokens, Ordering::Relaxed);
        counters
            .cached_tokens
            .fetch_add(response.usage.cached_tokens, Ordering::Relaxed);
        self.earn_retry();
        self.inner.queue.record_response(
            &job,
            &upstream,
            response.usage,
            response.first_token,
            response.total,
        );
        let used = job.intent.spec.prompt_tokens() + response.usage.completion_tokens;
        let outcome = CallOutcome::Answer {
            text: response.text,
            usage: response.usage,
        };
        self.finish(job, outcome, used, Some(upstream));
    }

    /// Sends a call again whose connection ended or fell silent. Its upstream may have ended, too, since another process may accept
    /// connections at the address: the shard records that first, and refuses the call if too many may have.
    async fn retry_interrupted(
        &self,
        mut job: DispatchJob,
        upstream: UpstreamName,
        spec: &UpstreamSpec,
    ) {
        if spec.leaving || self.inner.queue.is_leaving(&upstream) {
            return self.retry(job, upstream).await;
        }
        self.inner.counters.ended.fetch_add(1, Ordering::Relaxed);
        log::info!(
            "upstream broke off a call and may have ended upstream={upstream} program={} call={}",
            job.intent.program,
            job.intent.sequence
        );
        self.await_retry_budget().await;
        job.stream.restart();
        job.avoid = Some(upstream);
        let sender = job.done.clone();
        // If the shard's task has ended, the shard's next primary handles the call.
        let _ = sender
            .send(ShardCommand::UpstreamEnded(Box::new(job)))
            .await;
    }

    /// Enqueues a failed call again as soon as the retry budget allows, or refuses it after too many failures.
    async fn retry(&self, mut job: DispatchJob, avoid: UpstreamName) {
        job.failures += 1;
        if job.failures >= FAILURE_LIMIT {
            let detail = format_smolstr!("{} upstreams in a row failed the call", job.failures);
            let refusal = Refusal::unknown(RefusalKind::UpstreamFailed, detail);
            let reserved = job.intent.reserved;
            return self.finish(job, CallOutcome::Refused(refusal), reserved, None);
        }
        self.await_retry_budget().await;
        job.stream.restart();
        job.avoid = Some(avoid);
        self.dispatch(job);
    }

    async fn await_retry_budget(&self) {
        while !self.spend_retry() {
            tokio::time::sleep(RETRY_PAUSE).await;
            self.earn_retry();
        }
        self.inner.counters.retried.fetch_add(1, Ordering::Relaxed);
    }

    fn earn_retry(&self) {
        let mut budget = self
            .inner
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *budget = (*budget + RETRY_SHARE).min(RETRY_BURST);
    }

    fn spend_retry(&self) -> bool {
        let mut budget = self
            .inner
            .retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *budget < 1.0 {
            return false;
        }
        *budget -= 1.0;
        true
    }

    async fn run_service(&self, chosen: ChosenJob, call: &ServiceCall) {
        let ChosenJob {
            job,
            upstream,
            spec,
            ..
        } = chosen;
        let outcome = if job.resolve_only {
            ServiceOutcome::Unknown("an earlier primary may have sent the call".into())
        } else {
            invoke(&self.inner.pool, &spec, call, &job).await
        };
        let end = match &outcome {
            _ if job.resolve_only => CallEnd::Withdrawn,
            ServiceOutcome::NotRun(_)
            | ServiceOutcome::Unknown(_)
            | ServiceOutcome::Interrupted(_) => CallEnd::Failed,
            ServiceOutcome::Reply(..) | ServiceOutcome::Fenced => CallEnd::Answered,
        };
        self.inner.queue.record_end(&upstream, end);
        match outcome {
            ServiceOutcome::Reply(status, body) => {
                self.earn_retry();
                self.inner.counters.answered.fetch_add(1, Ordering::Relaxed);
                self.finish(job, CallOutcome::Reply { status, body }, 0, None);
            }
            ServiceOutcome::Fenced => log::info!("stale fencing number upstream={upstream}"),
            ServiceOutcome::NotRun(detail) => {
                log::debug!("service did not run the call upstream={upstream} error={detail}");
                self.retry(job, upstream).await;
            }
            ServiceOutcome::Unknown(_) if call.idempotent => self.retry(job, upstream).await,
            ServiceOutcome::Interrupted(_) if call.idempotent => {
                self.retry_interrupted(job, upstream, &spec).await;
            }
            ServiceOutcome::Unknown(detail) | ServiceOutcome::Interrupted(detail) => {
                log::info!("outcome of the call is unknown upstream={upstream} error={detail}");
                self.resolve(job, call).await;
            }
        }
    }

    /// Queries the service for the outcome of a call that must not be sent again.
    async fn resolve(&self, job: DispatchJob, call: &ServiceCall) {
        for _ in 0..OUTCOME_TRIES {
            let config = self.inner.config.load_full();
            let specs: Vec<_> = config
                .upstreams()
                .filter(|(_, spec)| spec.kind == UpstreamKind::Service)
                .filter(|(_, spec)| spec.service == call.service && spec.tells_outcome)
                .map(|(_, spec)| spec.clone())
                .collect();
            if specs.is_empty() {
                break;
            }
            for spec in specs {
                let reply = query_outcome(&self.inner.pool, &spec, &job).await;
                if let Some(ServiceOutcome::Reply(status, body)) = reply {
                    self.finish(job, CallOutcome::Reply { status, body }, 0, None);
                    return;
                }
            }
            tokio::time::sleep(OUTCOME_PAUSE).await;
        }
        self.inner.counters.unknown.fetch_add(1, Ordering::Relaxed);
        let detail = "the call was sent, and no answer came";
        let refusal = Refusal::unknown(RefusalKind::OutcomeUnknown, detail);
        self.finish(job, CallOutcome::Refused(refusal), 0, None);
    }

    async fn cache_call(&self, action: &str, program: &ProgramId, upstream: &str) -> bool {
        let config = self.inner.config.load_full();
        // An engine without a record has been removed, and so have the prefixes that it held.
        let Some(spec) = config.upstream(upstream) else {
            return true;
        };
        let url = format_smolstr!("{}/cache/{action}", spec.address);
        let request = OutgoingRequest::post_json(&url, &json!({"session": program}))
            .with_timeout(CACHE_TIMEOUT);
        let response = self.inner.pool.send(request).await;
        response.is_ok_and(|response| response.status == 200)
    }
}

impl DispatchSink for UpstreamRunner {
    fn admit(&self, class: &ClassName, deadline: SystemTime, now: SystemTime) -> Option<Refusal> {
        let left = deadline.duration_since(now).unwrap_or_default();
        self.inner
            .queue
            .admit(class, left, &self.inner.config.load())
    }

    fn dispatch(&self, job: DispatchJob) {
        self.inner.queue.push(job, &self.inner.config.load());
        self.inner.wakeup.notify_one();
    }

    fn should_hold(&self, class: &ClassName, upstream: &UpstreamName, tokens: u64) -> bool {
        self.inner
            .queue
            .should_hold(class, upstream, tokens, &self.inner.config.load())
    }

    fn hold(&self, program: ProgramId, upstream: UpstreamName) {
        let runner = self.clone();
        self.inner.handle.spawn(async move {
            if runner.cache_call("hold", &program, &upstream).await {
                runner.inner.queue.record_hold(&program, true);
            }
        });
    }

    fn release(&self, program: ProgramId, upstream: UpstreamName) -> BoxFuture<'_, bool> {
        async move {
            self.inner.queue.record_hold(&program, false);
            self.cache_call("release", &program, &upstream).await
        }
        .boxed()
    }

    fn forget_shard(&self, shard: &ShardId) {
        self.inner.queue.forget_shard(shard);
    }

    fn program_ended(&self, program: &ProgramId, class: &ClassName, calls: u32, _tokens: u64) {
        self.inner.queue.program_ended(program, class, calls);
    }
}
