//! Continuous batching: the waiting and running requests, and how one step advances them.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ntex::util::Bytes;
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::mpsc;

use super::cache::{BlockHash, PrefixCache, block_hashes};
use super::protocol::{
    AuditEntry, ChatRequest, EngineAudit, EngineLoad, answer_text, prompt_digest, token_count,
};
use super::{EngineSettings, sse};

/// Identifies a request to the engine.
pub type RequestId = SmolStr;

/// How long a request without a listener continues, so that a resumed stream can join it.
const ORPHAN_GRACE: Duration = Duration::from_secs(2);

/// How long a finished response is kept for a resumed stream.
const REPLAY_TIME: Duration = Duration::from_mins(2);

/// Tokens sent in one event, so that small machines can serve many streams.
const TOKENS_PER_EVENT: usize = 8;

#[derive(Debug, PartialEq)]
enum RequestPhase {
    Waiting,
    Prefilling(usize),
    Generating,
    Finished,
}

#[derive(Debug)]
struct EngineRequest {
    id: RequestId,
    session: SmolStr,
    priority: i32,
    order: u64,
    phase: RequestPhase,
    prompt_tokens: usize,
    cached_tokens: usize,
    answer: String,
    answer_tokens: usize,
    generated: usize,
    sent: usize,
    messages: Vec<super::ChatMessage>,
    hashes: Vec<BlockHash>,
    listener: Option<mpsc::Sender<Bytes>>,
    orphaned: Option<Instant>,
    audit: Option<usize>,
}

/// All requests of an engine with its cache.
#[derive(Debug)]
pub struct BatchState {
    pub cache: PrefixCache,
    requests: HashMap<RequestId, EngineRequest>,
    waiting: BTreeMap<(i32, u64), RequestId>,
    running: Vec<RequestId>,
    finished: Vec<(Instant, RequestId)>,
    audit: Vec<AuditEntry>,
    arrivals: u64,
    report: Option<(Instant, EngineLoad)>,
}

impl BatchState {
    /// Creates an idle batch.
    pub fn new(settings: &EngineSettings) -> Self {
        Self {
            cache: PrefixCache::new(settings.cache_tokens, settings.event_loss),
            requests: HashMap::new(),
            waiting: BTreeMap::new(),
            running: Vec::new(),
            finished: Vec::new(),
            audit: Vec::new(),
            arrivals: 0,
            report: None,
        }
    }

    /// Adds a request, or attaches the listener to an already known request with the same id.
    pub fn attach(
        &mut self,
        id: RequestId,
        call: &ChatRequest,
        listener: mpsc::Sender<Bytes>,
        now: Instant,
    ) {
        if let Some(known) = self.requests.get_mut(&id) {
            known.listener = Some(listener);
            known.orphaned = None;
            known.sent = 0;
            if known.phase == RequestPhase::Finished {
                known.send_progress();
            }
            return;
        }
        self.arrivals += 1;
        let answer = answer_text(&call.messages, call.max_tokens);
        let request = EngineRequest {
            id: id.clone(),
            session: call.session.clone(),
            priority: call.priority,
            order: self.arrivals,
            phase: RequestPhase::Waiting,
            prompt_tokens: call
                .messages
                .iter()
                .map(|message| token_count(&message.content))
                .sum(),
            cached_tokens: 0,
            answer_tokens: token_count(&answer),
            answer,
            generated: 0,
            sent: 0,
            messages: call.messages.clone(),
            hashes: block_hashes(&call.messages, ""),
            listener: Some(listener),
            orphaned: None,
            audit: None,
        };
        self.waiting
            .insert((call.priority, self.arrivals), id.clone());
        self.requests.insert(id, request);
        self.forget_finished(now);
    }

    fn forget_finished(&mut self, now: Instant) {
        let old = |at: &Instant| now.duration_since(*at) > REPLAY_TIME;
        for (_, id) in self.finished.iter().filter(|(at, _)| old(at)) {
            self.requests.remove(id);
        }
        self.finished.retain(|(at, _)| !old(at));
    }

    /// Runs one step; returns its duration, or `None` if no request runs.
    pub fn step(&mut self, settings: &EngineSettings, now: Instant) -> Option<Duration> {
        self.drop_orphans(now);
        self.start_waiting(settings);
        if self.running.is_empty() {
            return None;
        }
        let (context, prefilled) = self.advance(settings, now);
        let requests = u32::try_from(self.running.len()).unwrap_or(u32::MAX);
        let thousands = u32::try_from(context / 1000).unwrap_or(u32::MAX);
        let prefilled = u32::try_from(prefilled).unwrap_or(u32::MAX);
        let pause = settings.step_base
            + settings.step_per_request * requests
            + settings.step_per_thousand_context * thousands
            + settings.step_per_thousand_prefill * prefilled / 1000;
        self.retire(now);
        Some(pause)
    }

    fn drop_orphans(&mut self, now: Instant) {
        let mut expired = Vec::new();
        for request in self.requests.values_mut() {
            if request.phase == RequestPhase::Finished {
                continue;
            }
            let is_closed = request
                .listener
                .as_ref()
                .is_none_or(mpsc::Sender::is_closed);
            if !is_closed {
                request.orphaned = None;
                continue;
            }
            let since = *request.orphaned.get_or_insert(now);
            if now.duration_since(since) > ORPHAN_GRACE {
                expired.push(request.id.clone());
            }
        }
        for id in expired {
            if let Some(request) = self.requests.remove(&id) {
                self.waiting.remove(&(request.priority, request.order));
                self.running.retain(|running| *running != id);
            }
        }
    }

    fn start_waiting(&mut self, settings: &EngineSettings) {
        while self.running.len() < settings.slots {
            let Some((_, id)) = self.waiting.pop_first() else {
                return;
            };
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            request.cached_tokens = self
                .cache
                .touch_prefix(&request.hashes)
                .min(request.prompt_tokens);
            let missing = request.prompt_tokens - request.cached_tokens;
            request.phase = RequestPhase::Prefilling(missing);
            request.audit = Some(self.audit.len());
            self.audit.push(request.audit_entry());
            self.running.push(id);
        }
    }

    /// Prefills prompts and generates tokens; returns the batch's context tokens and the number of prefilled tokens.
    fn advance(&mut self, settings: &EngineSettings, now: Instant) -> (usize, usize) {
        let mut prefill = settings.prefill_per_step;
        let mut context = 0;
        for id in &self.running {
            let Some(request) = self.requests.get_mut(id) else {
                continue;
            };
            context += request.prompt_tokens + request.generated;
            match request.phase {
                RequestPhase::Prefilling(missing) if missing > prefill => {
                    request.phase = RequestPhase::Prefilling(missing - prefill);
                    prefill = 0;
                }
                RequestPhase::Prefilling(missing) => {
                    prefill -= missing;
                    request.phase = RequestPhase::Generating;
                    self.cache.insert(&request.session, &request.hashes, now);
                }
                RequestPhase::Generating => {
                    request.generated += 1;
                    let due = request.generated - request.sent >= TOKENS_PER_EVENT;
                    if request.generated >= request.answer_tokens {
                        request.phase = RequestPhase::Finished;
                    } else if due || request.generated == 1 {
                        request.send_progress();
                    }
                }
                RequestPhase::Waiting | RequestPhase::Finished => {}
            }
        }
        (context, settings.prefill_per_step - prefill)
    }

    fn retire(&mut self, now: Instant) {
        let mut running = std::mem::take(&mut self.running);
        running.retain(|id| {
            let Some(request) = self.requests.get_mut(id) else {
                return false;
            };
            if request.phase != RequestPhase::Finished {
                return true;
            }
            request.send_progress();
            let hashes = block_hashes(&request.messages, &request.answer);
            self.cache.insert(&request.session, &hashes, now);
            if let Some(entry) = request.audit.and_then(|index| self.audit.get_mut(index)) {
                entry.completion_tokens = request.generated;
                entry.finished = true;
            }
            self.finished.push((now, id.clone()));
            false
        });
        self.running = running;
    }

    /// Returns the number of requests that wait for a slot.
    pub fn queued(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests that run or wait.
    pub fn in_flight(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Returns the load as it was at the last report.
    pub fn load_report(&mut self, settings: &EngineSettings, now: Instant) -> EngineLoad {
        if let Some((at, load)) = &self.report
            && now.duration_since(*at) < settings.report_interval
        {
            return load.clone();
        }
        let load = self.current_load(settings);
        self.report = Some((now, load.clone()));
        load
    }

    fn current_load(&self, settings: &EngineSettings) -> EngineLoad {
        let (used_tokens, held_tokens) = self.cache.usage();
        let backlog = self.requests.values().map(|request| match request.phase {
            RequestPhase::Waiting => request.prompt_tokens,
            RequestPhase::Prefilling(missing) => missing,
            RequestPhase::Generating | RequestPhase::Finished => 0,
        });
        EngineLoad {
            running: self.running.len(),
            queued: self.waiting.len(),
            slots: settings.slots,
            cache_tokens: settings.cache_tokens,
            used_tokens,
            held_tokens,
            prefill_backlog: backlog.sum(),
            ..EngineLoad::default()
        }
    }

    /// Returns the audit log.
    pub fn audit(&self, now: Instant) -> EngineAudit {
        EngineAudit {
            requests: self.audit.clone(),
            held_token_seconds: self.cache.held_token_seconds(now),
            held_sessions: self.cache.held_sessions(),
        }
    }
}

impl EngineRequest {
    fn audit_entry(&self) -> AuditEntry {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        AuditEntry {
            request: self.id.clone(),
            session: self.session.clone(),
            at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            completion_tokens: 0,
            prompt_digest: prompt_digest(&self.messages),
            finished: false,
        }
    }

    /// Sends the listener the tokens that were generated since the last event.
    fn send_progress(&mut self) {
        let finished = self.phase == RequestPhase::Finished;
        let Some(listener) = &self.listener else {
            return;
        };
        let end = if finished {
            self.answer.len()
        } else {
            self.generated * 4
        };
        let end = end.min(self.answer.len());
        let start = (self.sent * 4).min(end);
        let delta = &self.answer[start..end];
        let mut event =
            sse(&json!({"choices": [{"index": 0, "delta": {"content": delta}}]}).to_string())
                .to_vec();
        if finished {
            event.extend_from_slice(&self.last_event());
        }
        if listener.try_send(Bytes::from(event)).is_err() {
            // A listener whose queue is full or closed is dropped; a resumed stream restarts from the beginning.
            self.listener = None;
            return;
        }
        self.sent = self.generated;
        if finished {
            self.listener = None;
        }
    }

    fn last_event(&self) -> Vec<u8> {
        let usage = json!({
            "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
            "usage": {
                "prompt_tokens": self.prompt_tokens,
                "completion_tokens": self.answer_tokens,
                "prompt_tokens_details": {"cached_tokens": self.cached_tokens},
            },
        });
        let mut last = sse(&usage.to_string()).to_vec();
        last.extend_from_slice(&sse("[DONE]"));
        last
    }
}
