//! Takes waiting calls to upstreams and brings their outcomes back.

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

use super::engine::{EngineAnswer, EngineFailure, complete};
use super::service::{ServiceAnswer, ask_outcome, invoke};
use crate::contract::{CallSpec, Refusal, RefusalKind, ServiceCall};
use crate::ids::{ClassName, ProgramId, ShardId, TokenCount, UpstreamName};
use crate::program::CallOutcome;
use crate::record::{ConfigView, UpstreamKind};
use crate::scheduler::{CallQueue, ChosenJob};
use crate::shard::{DispatchJob, DispatchResult, DispatchSink, ShardCommand};

/// Longest time between two passes while calls wait.
const PASS_INTERVAL: Duration = Duration::from_millis(20);

/// Longest time between two passes while none waits.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Tries to learn the outcome of a call that must not be repeated.
const OUTCOME_TRIES: u32 = 8;

/// Pause between two such tries.
const OUTCOME_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for an answer about a cache.
const CACHE_TIMEOUT: Duration = Duration::from_secs(2);

/// Retries allowed for each answered call, over time.
const RETRY_SHARE: f64 = 0.2;

/// Retries allowed after a quiet time.
const RETRY_BURST: f64 = 50.0;

/// Failures after which a call is given up.
const FAILURE_LIMIT: u32 = 12;

/// Pause of a call whose retry is not allowed yet.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Counters of the calls to upstreams.
#[derive(Debug, Default)]
pub struct RunnerCounters {
    /// Calls sent.
    pub sent: AtomicU64,
    /// Calls answered.
    pub answered: AtomicU64,
    /// Calls sent again.
    pub retried: AtomicU64,
    /// Calls whose outcome stayed unknown.
    pub unknown: AtomicU64,
    /// Prompt tokens of all answers.
    pub prompt_tokens: AtomicU64,
    /// Prompt tokens that engines had cached.
    pub cached_tokens: AtomicU64,
}

struct RunnerInner {
    queue: Arc<CallQueue>,
    pool: HttpPool,
    config: Arc<ArcSwap<ConfigView>>,
    work: Notify,
    retries: Mutex<f64>,
    counters: RunnerCounters,
    handle: tokio::runtime::Handle,
}

/// Takes waiting calls to upstreams; cloning it is cheap.
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
    /// Makes a runner; to be called inside a tokio runtime.
    #[must_use]
    pub fn new(queue: Arc<CallQueue>, pool: HttpPool, config: Arc<ArcSwap<ConfigView>>) -> Self {
        let inner = RunnerInner {
            queue,
            pool,
            config,
            work: Notify::new(),
            retries: Mutex::new(RETRY_BURST),
            counters: RunnerCounters::default(),
            handle: tokio::runtime::Handle::current(),
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &RunnerCounters {
        &self.inner.counters
    }

    /// Sends waiting calls until the token is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        loop {
            let idle = self.inner.queue.is_idle();
            let interval = if idle { IDLE_INTERVAL } else { PASS_INTERVAL };
            tokio::select! {
                () = self.inner.work.notified() => {}
                () = tokio::time::sleep(interval) => {}
                () = stop.cancelled() => return,
            }
            for job in self.inner.queue.take_expired(SystemTime::now()) {
                self.give_up_waiting(job);
            }
            let config = self.inner.config.load_full();
            for chosen in self.inner.queue.choose(&config, Instant::now()) {
                let runner = self.clone();
                tokio::spawn(async move { runner.run_chosen(chosen).await });
            }
        }
    }

    /// Ends a call that was cancelled, or whose deadline passed, before it was sent.
    fn give_up_waiting(&self, job: DispatchJob) {
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
            // A task that is gone has left the call to the next primary.
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
            () = cancel.cancelled() => self.inner.queue.ended(&upstream, false),
            () = tokio::time::sleep(left), if idempotent => {
                self.inner.queue.ended(&upstream, false);
                let detail = "the deadline passed while the call ran";
                let refusal = Refusal::unknown(RefusalKind::DeadlinePassed, detail);
                let reserved = job.intent.reserved;
                self.finish(job, CallOutcome::Refused(refusal), reserved, None);
            }
        }
        self.inner.work.notify_one();
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
        let answer = complete(&self.inner.pool, &spec, &model, priority, &job).await;
        match answer {
            Ok(answer) => self.take_answer(job, upstream, answer),
            Err(EngineFailure::Rejected(status, detail)) => {
                self.inner.queue.ended(&upstream, false);
                let kind = if status == 413 {
                    RefusalKind::BudgetExhausted
                } else {
                    RefusalKind::BadRequest
                };
                let refusal = Refusal::not_run(kind, detail);
                self.finish(job, CallOutcome::Refused(refusal), 0, None);
            }
            Err(EngineFailure::Failed(detail)) => {
                log::debug!("engine failed upstream={upstream} error={detail}");
                self.inner.queue.ended(&upstream, true);
                self.retry(job, upstream).await;
            }
        }
    }

    fn take_answer(&self, job: DispatchJob, upstream: UpstreamName, answer: EngineAnswer) {
        let counters = &self.inner.counters;
        counters.answered.fetch_add(1, Ordering::Relaxed);
        counters
            .prompt_tokens
            .fetch_add(answer.usage.prompt_tokens, Ordering::Relaxed);
        counters
            .cached_tokens
            .fetch_add(answer.usage.cached_tokens, Ordering::Relaxed);
        self.earn_retry();
        self.inner.queue.answered(
            &job,
            &upstream,
            answer.usage,
            answer.first_token,
            answer.total,
        );
        let used = job.intent.spec.prompt_tokens() + answer.usage.completion_tokens;
        let outcome = CallOutcome::Answer {
            text: answer.text,
            usage: answer.usage,
        };
        self.finish(job, outcome, used, Some(upstream));
    }

    /// Puts a call back in line, as the retry budget allows.
    async fn retry(&self, mut job: DispatchJob, avoid: UpstreamName) {
        job.failures += 1;
        if job.failures >= FAILURE_LIMIT {
            let detail = format_smolstr!("{} upstreams in a row failed the call", job.failures);
            let refusal = Refusal::unknown(RefusalKind::UpstreamFailed, detail);
            let reserved = job.intent.reserved;
            return self.finish(job, CallOutcome::Refused(refusal), reserved, None);
        }
        while !self.spend_retry() {
            tokio::time::sleep(RETRY_PAUSE).await;
            self.earn_retry();
        }
        self.inner.counters.retried.fetch_add(1, Ordering::Relaxed);
        job.stream.restart();
        let config = self.inner.config.load_full();
        self.inner.queue.push(job, &config, Some(avoid));
        self.inner.work.notify_one();
    }

    fn earn_retry(&self) {
        let mut retries = self
            .inner
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *retries = (*retries + RETRY_SHARE).min(RETRY_BURST);
    }

    fn spend_retry(&self) -> bool {
        let mut retries = self
            .inner
            .retries
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *retries < 1.0 {
            return false;
        }
        *retries -= 1.0;
        true
    }

    async fn run_service(&self, chosen: ChosenJob, call: &ServiceCall) {
        let ChosenJob {
            job,
            upstream,
            spec,
            ..
        } = chosen;
        let answer = if job.resolve_only {
            ServiceAnswer::Unknown("an earlier primary may have sent the call".into())
        } else {
            invoke(&self.inner.pool, &spec, call, &job).await
        };
        let failed = matches!(answer, ServiceAnswer::NotRun(_) | ServiceAnswer::Unknown(_));
        self.inner
            .queue
            .ended(&upstream, failed && !job.resolve_only);
        match answer {
            ServiceAnswer::Reply(status, body) => {
                self.earn_retry();
                self.inner.counters.answered.fetch_add(1, Ordering::Relaxed);
                self.finish(job, CallOutcome::Reply { status, body }, 0, None);
            }
            ServiceAnswer::Fenced => log::info!("call fenced upstream={upstream}"),
            ServiceAnswer::NotRun(detail) => {
                log::debug!("service not reached upstream={upstream} error={detail}");
                self.retry(job, upstream).await;
            }
            ServiceAnswer::Unknown(_) if call.idempotent => self.retry(job, upstream).await,
            ServiceAnswer::Unknown(detail) => {
                log::info!("outcome not known upstream={upstream} error={detail}");
                self.resolve(job, call).await;
            }
        }
    }

    /// Asks the service for the outcome of a call that must not be sent again.
    async fn resolve(&self, job: DispatchJob, call: &ServiceCall) {
        for _ in 0..OUTCOME_TRIES {
            let config = self.inner.config.load_full();
            let tellers: Vec<_> = config
                .upstreams()
                .filter(|(_, spec)| spec.kind == UpstreamKind::Service)
                .filter(|(_, spec)| spec.service == call.service && spec.tells_outcome)
                .map(|(_, spec)| spec.clone())
                .collect();
            if tellers.is_empty() {
                break;
            }
            for spec in tellers {
                let told = ask_outcome(&self.inner.pool, &spec, &job).await;
                if let Some(ServiceAnswer::Reply(status, body)) = told {
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
        // An engine without a record is gone, and what it held with it.
        let Some(spec) = config.upstream(upstream) else {
            return true;
        };
        let url = format_smolstr!("{}/cache/{action}", spec.address);
        let request = OutgoingRequest::post_json(&url, &json!({"session": program}))
            .with_timeout(CACHE_TIMEOUT);
        let answer = self.inner.pool.send(request).await;
        answer.is_ok_and(|response| response.status == 200)
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
        self.inner.queue.push(job, &self.inner.config.load(), None);
        self.inner.work.notify_one();
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
                runner.inner.queue.note_hold(&program, true);
            }
        });
    }

    fn release(&self, program: ProgramId, upstream: UpstreamName) -> BoxFuture<'_, bool> {
        async move {
            self.inner.queue.note_hold(&program, false);
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
