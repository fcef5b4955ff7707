//! Plain services and tool services: they count how often each key was executed.

use std::collections::HashMap;
use std::io;
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ntex::server::Server;
use samphiregrade_http::{HttpServer, IncomingRequest, OutgoingResponse, ServerSettings};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::SmolStr;

use crate::lock;

/// How a service behaves.
#[derive(Clone, Debug)]
pub struct ServiceSettings {
    /// Duration of one call.
    pub delay: Duration,
    /// Whether calls with an older fencing number than one seen for their shard are refused.
    pub checks_fencing: bool,
    /// Whether the service reports the outcome of an earlier call on request.
    pub tells_outcome: bool,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            delay: Duration::from_millis(20),
            checks_fencing: false,
            tells_outcome: false,
        }
    }
}

/// Faults in force, in the form that `POST /control` accepts.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ServiceFaults {
    /// Execute calls, but never respond.
    pub hang: bool,
    /// Share of executed calls whose reply is lost, from 0 to 1.
    pub lose_replies: f64,
    /// State in the load report that the service is leaving.
    pub leaving: bool,
}

/// One executed call, in the form that `GET /audit` returns.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ServiceExecution {
    /// Idempotency key of the call.
    pub key: SmolStr,
    /// Name of the tool or path.
    pub tool: SmolStr,
    /// Time of the execution, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

#[derive(Debug, Default)]
struct ServiceState {
    executions: Vec<ServiceExecution>,
    results: HashMap<SmolStr, Value>,
    fences: HashMap<SmolStr, u64>,
    faults: ServiceFaults,
}

/// A plain or tool service; cloning it gives another handle to the same service.
#[derive(Clone, Debug)]
pub struct ServiceStandin {
    settings: ServiceSettings,
    state: Arc<Mutex<ServiceState>>,
}

impl ServiceStandin {
    /// Creates a service without executed calls.
    #[must_use]
    pub fn new(settings: ServiceSettings) -> Self {
        Self {
            settings,
            state: Arc::default(),
        }
    }

    /// Starts serving; to be called inside a running system.
    ///
    /// # Errors
    ///
    /// Returns the listener's error.
    pub fn start(&self, listener: TcpListener) -> io::Result<Server> {
        let service = self.clone();
        HttpServer::start(listener, ServerSettings::default(), move |request| {
            let service = service.clone();
            async move { service.handle(request).await }
        })
    }

    /// Returns every call executed so far.
    #[must_use]
    pub fn executions(&self) -> Vec<ServiceExecution> {
        lock(&self.state).executions.clone()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: ServiceFaults) {
        lock(&self.state).faults = faults;
    }

    async fn handle(&self, request: IncomingRequest) -> OutgoingResponse {
        match request.segments()[..] {
            ["invoke", tool] => self.invoke(tool, &request).await,
            ["outcome"] => self.outcome(&request),
            ["audit"] => OutgoingResponse::json(200, &lock(&self.state).executions),
            ["load"] => {
                let leaving = lock(&self.state).faults.leaving;
                OutgoingResponse::json(200, &json!({"leaving": leaving}))
            }
            ["control"] => match request.json::<ServiceFaults>() {
                Ok(faults) => {
                    lock(&self.state).faults = faults;
                    OutgoingResponse::json(200, &json!({}))
                }
                Err(error) => refusal(400, &error.to_string()),
            },
            _ => refusal(404, "no such call"),
        }
    }

    async fn invoke(&self, tool: &str, request: &IncomingRequest) -> OutgoingResponse {
        let Some(key) = request.header("idempotency-key").map(SmolStr::from) else {
            return refusal(400, "the idempotency-key header is missing");
        };
        if self.settings.checks_fencing && !self.pass_fence(request) {
            return refusal(412, "the fencing number is old");
        }
        // A zero delay skips the timer, which would round it up to a millisecond.
        if !self.settings.delay.is_zero() {
            tokio::time::sleep(self.settings.delay).await;
        }
        let arguments = request.json::<Value>().unwrap_or(Value::Null);
        let result = json!({"tool": tool, "key": key, "arguments": arguments});
        let faults = self.execute(key, tool, result.clone());
        if faults.hang {
            std::future::pending::<()>().await;
        }
        if rand::random::<f64>() < faults.lose_replies {
            return refusal(504, "the reply was lost");
        }
        OutgoingResponse::json(200, &result)
    }

    fn pass_fence(&self, request: &IncomingRequest) -> bool {
        let shard: SmolStr = request.header("fencing-scope").unwrap_or("").into();
        let fence = request
            .header("fencing")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut state = lock(&self.state);
        let highest = state.fences.entry(shard).or_insert(fence);
        if fence < *highest {
            return false;
        }
        *highest = fence;
        true
    }

    fn execute(&self, key: SmolStr, tool: &str, result: Value) -> ServiceFaults {
        let now = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let execution = ServiceExecution {
            key: key.clone(),
            tool: tool.into(),
            at_ms: u64::try_from(now.as_millis()).unwrap_or(u64::MAX),
        };
        let mut state = lock(&self.state);
        state.executions.push(execution);
        state.results.insert(key, result);
        state.faults.clone()
    }

    fn outcome(&self, request: &IncomingRequest) -> OutgoingResponse {
        if !self.settings.tells_outcome {
            return refusal(404, "outcomes are not told here");
        }
        let key = request.header("idempotency-key").unwrap_or("");
        match lock(&self.state).results.get(key) {
            Some(result) => OutgoingResponse::json(200, result),
            None => refusal(410, "no call with this key was executed"),
        }
    }
}

fn refusal(status: u16, message: &str) -> OutgoingResponse {
    OutgoingResponse::json(status, &json!({"error": message}))
}
