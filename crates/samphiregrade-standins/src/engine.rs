//! A model engine: continuous batching, a prefix cache, priorities, resumable streams, orders.
//!
//! The engine serves OpenAI-style chat completions as server-sent events. Time passes in steps:
//! each step generates one token for every running request and prefills a limited number of
//! prompt tokens, and takes longer the more requests and context it processes. The response is a
//! function of the prompt alone, so that tests can detect a wrong or mixed-up response.

mod batch;
mod cache;
mod protocol;

use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ntex::server::Server;
use ntex::util::Bytes;
use samphiregrade_http::{HttpServer, IncomingRequest, OutgoingResponse, ServerSettings};
use serde_json::json;
use smol_str::SmolStr;
use tokio::sync::{Notify, mpsc};

use crate::lock;
use batch::{BatchState, RequestId};
pub use protocol::{
    AuditEntry, ChatMessage, ChatRequest, EngineAudit, EngineLoad, EngineOrder, answer_text,
    prompt_digest, token_count,
};
use protocol::{ControlCall, ExportCall, SessionCall};

/// How an engine computes and reports.
///
/// The defaults are assumptions: the project's requirements give no engine figures.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Requests that run concurrently; further requests wait inside the engine.
    pub slots: usize,
    /// Capacity of the prefix cache in tokens.
    pub cache_tokens: usize,
    /// Time of an empty step.
    pub step_base: Duration,
    /// Additional step time for each running request.
    pub step_per_request: Duration,
    /// Additional step time for each 1,000 tokens of context in the batch.
    pub step_per_thousand_context: Duration,
    /// Additional step time for each 1,000 prompt tokens prefilled in the step.
    pub step_per_thousand_prefill: Duration,
    /// Prompt tokens prefilled in one step.
    pub prefill_per_step: usize,
    /// Largest age of a load report.
    pub report_interval: Duration,
    /// Delay before a cache event becomes visible.
    pub event_lag: Duration,
    /// Share of cache events that are lost, from 0 to 1.
    pub event_loss: f64,
    /// Whether orders with an older fencing number are refused.
    pub checks_fencing: bool,
    /// Models loaded at the start.
    pub models: Vec<SmolStr>,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            slots: 8,
            cache_tokens: 49_152,
            step_base: Duration::from_millis(4),
            step_per_request: Duration::from_micros(300),
            step_per_thousand_context: Duration::from_micros(100),
            step_per_thousand_prefill: Duration::from_millis(5),
            prefill_per_step: 192,
            report_interval: Duration::from_millis(200),
            event_lag: Duration::from_millis(100),
            event_loss: 0.02,
            checks_fencing: true,
            models: vec!["policy".into()],
        }
    }
}

#[derive(Debug)]
struct EngineInner {
    settings: EngineSettings,
    state: Mutex<BatchState>,
    orders: Mutex<OrderState>,
    work: Notify,
}

#[derive(Debug, Default)]
struct OrderState {
    fence: u64,
    models: Vec<SmolStr>,
    role: SmolStr,
    accepted: u64,
    leaving: bool,
    silent: bool,
    exports: HashMap<SmolStr, Vec<u64>>,
}

/// A model engine; cloning it gives another handle to the same engine.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    inner: Arc<EngineInner>,
}

impl EngineStandin {
    /// Creates an engine with an empty cache.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        let orders = OrderState {
            models: settings.models.clone(),
            role: "serve".into(),
            ..OrderState::default()
        };
        let inner = EngineInner {
            state: Mutex::new(BatchState::new(&settings)),
            orders: Mutex::new(orders),
            work: Notify::new(),
            settings,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Starts serving; to be called inside a running system.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub fn start(&self, listener: TcpListener) -> io::Result<Server> {
        let stepper = self.clone();
        ntex::rt::spawn(async move { stepper.run_steps().await });
        let engine = self.clone();
        HttpServer::start(listener, ServerSettings::default(), move |request| {
            let engine = engine.clone();
            async move { engine.handle(&request) }
        })
    }

    /// Returns the audit log.
    #[must_use]
    pub fn audit(&self) -> EngineAudit {
        lock(&self.inner.state).audit(Instant::now())
    }

    /// Returns the number of requests that currently wait inside the engine.
    #[must_use]
    pub fn queued(&self) -> usize {
        lock(&self.inner.state).queued()
    }

    /// Returns the number of requests that currently run or wait.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        lock(&self.inner.state).in_flight()
    }

    /// Returns the loaded models.
    #[must_use]
    pub fn models(&self) -> Vec<SmolStr> {
        lock(&self.inner.orders).models.clone()
    }

    /// Returns the number of orders accepted.
    #[must_use]
    pub fn accepted_orders(&self) -> u64 {
        lock(&self.inner.orders).accepted
    }

    /// Sets whether the engine reports that it is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        lock(&self.inner.orders).leaving = leaving;
    }

    /// Sets whether the engine withholds load reports and cache events.
    pub fn set_silent(&self, silent: bool) {
        lock(&self.inner.orders).silent = silent;
    }

    async fn run_steps(&self) {
        let mut due = Instant::now();
        loop {
            let pause = lock(&self.inner.state).step(&self.inner.settings, Instant::now());
            let Some(pause) = pause else {
                let idle = tokio::time::sleep(Duration::from_millis(50));
                tokio::select! {
                    () = self.inner.work.notified() => {}
                    () = idle => {}
                }
                due = Instant::now();
                continue;
            };
            // The next step is due relative to the previous due time, so a late timer doesn't slow the engine down.
            due = (due + pause).max(Instant::now().checked_sub(pause).unwrap_or(due));
            tokio::time::sleep_until(due.into()).await;
        }
    }

    fn handle(&self, request: &IncomingRequest) -> OutgoingResponse {
        match request.segments()[..] {
            ["v1", "chat", "completions"] => self.complete(request),
            ["load"] => self.load(),
            ["events"] => self.events(request),
            ["cache", "holds"] => {
                OutgoingResponse::json(200, &lock(&self.inner.state).cache.held_sessions())
            }
            ["cache", action] => self.cache_call(action, request),
            ["orders"] => self.order(request),
            ["control"] => self.control(request),
            ["audit"] => OutgoingResponse::json(200, &self.audit()),
            _ => refusal(404, "no such call"),
        }
    }

    fn complete(&self, request: &IncomingRequest) -> OutgoingResponse {
        let call: ChatRequest = match request.json() {
            Ok(call) => call,
            Err(error) => return refusal(400, &error.to_string()),
        };
        {
            let orders = lock(&self.inner.orders);
            if !orders.models.contains(&call.model) {
                return refusal(404, "the model is not loaded");
            }
        }
        let (sender, receiver) = mpsc::channel(256);
        let id = RequestId::from(call.request_id.as_str());
        lock(&self.inner.state).attach(id, &call, sender, Instant::now());
        self.inner.work.notify_one();
        OutgoingResponse::stream(200, "text/event-stream", receiver)
    }

    fn load(&self) -> OutgoingResponse {
        let orders = lock(&self.inner.orders);
        if orders.silent {
            return refusal(503, "no load report");
        }
        let settings = &self.inner.settings;
        let mut load = lock(&self.inner.state).load_report(settings, Instant::now());
        load.models.clone_from(&orders.models);
        load.role = orders.role.clone();
        load.leaving = orders.leaving;
        OutgoingResponse::json(200, &load)
    }

    fn events(&self, request: &IncomingRequest) -> OutgoingResponse {
        if lock(&self.inner.orders).silent {
            return refusal(503, "no cache events");
        }
        let since = request
            .query_value("since")
            .and_then(|text| text.parse().ok());
        let lag = self.inner.settings.event_lag;
        let state = lock(&self.inner.state);
        let events = state
            .cache
            .events_since(since.unwrap_or(0), Instant::now(), lag);
        OutgoingResponse::json(200, &events)
    }

    fn cache_call(&self, action: &str, request: &IncomingRequest) -> OutgoingResponse {
        let call: SessionCall = match request.json() {
            Ok(call) => call,
            Err(error) => return refusal(400, &error.to_string()),
        };
        let now = Instant::now();
        let mut state = lock(&self.inner.state);
        match action {
            "hold" => {
                let held = state.cache.hold(&call.session, now);
                OutgoingResponse::json(200, &json!({"held-tokens": held}))
            }
            "release" => {
                state.cache.release(&call.session, now);
                OutgoingResponse::json(200, &json!({}))
            }
            "export" => {
                let blocks = state.cache.export(&call.session);
                let exported = ExportCall {
                    session: call.session.clone(),
                    blocks: blocks.clone(),
                };
                lock(&self.inner.orders)
                    .exports
                    .insert(call.session, blocks);
                OutgoingResponse::json(200, &exported)
            }
            "import" => match request.json::<ExportCall>() {
                Ok(exported) => {
                    state.cache.import(&exported.session, &exported.blocks, now);
                    OutgoingResponse::json(200, &json!({}))
                }
                Err(error) => refusal(400, &error.to_string()),
            },
            _ => refusal(404, "no such call"),
        }
    }

    fn order(&self, request: &IncomingRequest) -> OutgoingResponse {
        let order: EngineOrder = match request.json() {
            Ok(order) => order,
            Err(error) => return refusal(400, &error.to_string()),
        };
        let mut orders = lock(&self.inner.orders);
        if self.inner.settings.checks_fencing && order.fence < orders.fence {
            return refusal(412, "the fencing number is old");
        }
        orders.fence = orders.fence.max(order.fence);
        orders.accepted += 1;
        if let Some(model) = order.load_model
            && !orders.models.contains(&model)
        {
            orders.models.push(model);
        }
        if let Some(role) = order.role {
            orders.role = role;
        }
        OutgoingResponse::json(200, &json!({"accepted": orders.accepted}))
    }

    fn control(&self, request: &IncomingRequest) -> OutgoingResponse {
        match request.json::<ControlCall>() {
            Ok(call) => {
                let mut orders = lock(&self.inner.orders);
                orders.leaving = call.leaving;
                orders.silent = call.silent;
                OutgoingResponse::json(200, &json!({}))
            }
            Err(error) => refusal(400, &error.to_string()),
        }
    }
}

fn refusal(status: u16, message: &str) -> OutgoingResponse {
    OutgoingResponse::json(status, &json!({"error": {"message": message}}))
}

fn sse(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}
