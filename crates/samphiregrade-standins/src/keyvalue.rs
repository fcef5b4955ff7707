//! The key-value service, with the JSON gateway protocol of etcd version 3.
//!
//! The stand-in offers range reads, compare-and-swap transactions, leases and watches. It counts
//! its calls and limits their rate. On request it simulates an outage, delays responses or loses
//! replies after the write took effect.

mod protocol;
mod store;

use std::io;
use std::net::TcpListener;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ntex::server::Server;
use ntex::util::Bytes;
use samphiregrade_http::{HttpServer, IncomingRequest, OutgoingResponse, ServerSettings};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::{broadcast, mpsc};

use crate::lock;
use protocol::{LeaseCall, RangeCall, TxnCall, WatchCall};
use store::{StoreEvent, StoreState};

/// Interval between checks for expired leases.
const LEASE_INTERVAL: Duration = Duration::from_millis(100);

/// Events that a slow watcher may leave unread before its watch is closed.
const WATCH_QUEUE: usize = 4096;

/// Limits of the service.
#[derive(Clone, Debug)]
pub struct KeyValueSettings {
    /// Reads accepted per second, including the opening of watches.
    pub reads_per_second: u32,
    /// Writes accepted per second.
    pub writes_per_second: u32,
}

impl Default for KeyValueSettings {
    fn default() -> Self {
        Self {
            reads_per_second: 2000,
            writes_per_second: 300,
        }
    }
}

/// Faults in force, in the form that `POST /control` accepts.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct KeyValueFaults {
    /// Refuse every call.
    pub outage: bool,
    /// Delay of every response in milliseconds.
    pub delay_ms: u64,
    /// Share of writes whose reply is lost after they took effect, from 0 to 1.
    pub lose_replies: f64,
}

/// Calls counted since the start, in the form that `GET /stats` returns.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct KeyValueStats {
    /// Range reads and opened watches.
    pub reads: u64,
    /// Transactions, puts and lease calls.
    pub writes: u64,
    /// Opened watches.
    pub watches: u64,
    /// Calls refused because of the rate limit.
    pub limited: u64,
}

#[derive(Debug)]
struct CallWindow {
    start: Instant,
    reads: u32,
    writes: u32,
}

#[derive(Debug)]
struct ServiceInner {
    settings: KeyValueSettings,
    state: Mutex<StoreState>,
    faults: Mutex<KeyValueFaults>,
    window: Mutex<CallWindow>,
    events: broadcast::Sender<StoreEvent>,
    reads: AtomicU64,
    writes: AtomicU64,
    watches: AtomicU64,
    limited: AtomicU64,
}

/// The key-value service; cloning it gives another handle to the same service.
#[derive(Clone, Debug)]
pub struct KeyValueStandin {
    inner: Arc<ServiceInner>,
}

#[derive(Clone, Copy, PartialEq)]
enum CallKind {
    Read,
    Write,
}

impl KeyValueStandin {
    /// Creates a service without keys.
    #[must_use]
    pub fn new(settings: KeyValueSettings) -> Self {
        let window = CallWindow {
            start: Instant::now(),
            reads: 0,
            writes: 0,
        };
        let inner = ServiceInner {
            settings,
            state: Mutex::new(StoreState::default()),
            faults: Mutex::default(),
            window: Mutex::new(window),
            events: broadcast::channel(WATCH_QUEUE).0,
            reads: AtomicU64::new(0),
            writes: AtomicU64::new(0),
            watches: AtomicU64::new(0),
            limited: AtomicU64::new(0),
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
        let service = self.clone();
        let expiry = self.clone();
        ntex::rt::spawn(async move { expiry.expire_leases().await });
        HttpServer::start(listener, ServerSettings::default(), move |request| {
            let service = service.clone();
            async move { service.handle(request).await }
        })
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: KeyValueFaults) {
        *lock(&self.inner.faults) = faults;
    }

    async fn expire_leases(&self) {
        loop {
            tokio::time::sleep(LEASE_INTERVAL).await;
            let events = lock(&self.inner.state).expire_leases(Instant::now());
            self.publish(events);
        }
    }

    fn publish(&self, events: Vec<StoreEvent>) {
        for event in events {
            // Sending fails if there are no watchers, which is no error.
            let _ = self.inner.events.send(event);
        }
    }

    async fn handle(&self, request: IncomingRequest) -> OutgoingResponse {
        match request.path.as_str() {
            "/control" => return self.control(&request),
            "/stats" => return OutgoingResponse::json(200, &self.stats()),
            _ => {}
        }
        let faults = lock(&self.inner.faults).clone();
        if faults.outage {
            return gateway_error(503, 14, "the service is unavailable");
        }
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        let kind = call_kind(&request.path);
        if !self.admit(kind) {
            return gateway_error(429, 8, "too many requests");
        }
        let response = self.dispatch(&request);
        let lost = kind == CallKind::Write && rand::random::<f64>() < faults.lose_replies;
        if lost {
            return gateway_error(504, 4, "the reply was lost");
        }
        response
    }

    fn dispatch(&self, request: &IncomingRequest) -> OutgoingResponse {
        let now = Instant::now();
        match request.path.as_str() {
            "/v3/kv/range" => with_body(request, |call: RangeCall| {
                lock(&self.inner.state).range(&call)
            }),
            "/v3/kv/txn" => with_body(request, |call: TxnCall| {
                let (reply, events) = lock(&self.inner.state).transact(&call);
                self.publish(events);
                reply
            }),
            "/v3/lease/grant" => with_body(request, |call: LeaseCall| {
                lock(&self.inner.state).grant_lease(&call, now)
            }),
            "/v3/lease/keepalive" => with_body(request, |call: LeaseCall| {
                lock(&self.inner.state).renew_lease(&call, now)
            }),
            "/v3/lease/revoke" => with_body(request, |call: LeaseCall| {
                let events = lock(&self.inner.state).revoke_lease(call.id);
                self.publish(events);
                json!({})
            }),
            "/v3/watch" => self.watch(request),
            _ => gateway_error(404, 5, "no such call"),
        }
    }

    fn watch(&self, request: &IncomingRequest) -> OutgoingResponse {
        let call: WatchCall = match request.json() {
            Ok(call) => call,
            Err(error) => return gateway_error(400, 3, &error.to_string()),
        };
        self.inner.watches.fetch_add(1, Ordering::Relaxed);
        let (sender, receiver) = mpsc::channel(64);
        let events = self.inner.events.subscribe();
        let (past, revision) = lock(&self.inner.state).events_since(&call.create_request);
        let service = self.clone();
        tokio::spawn(async move {
            let created = json!({"result": {
                "header": {"revision": revision.to_string()}, "created": true}});
            if sender.send(line(&created)).await.is_err() {
                return;
            }
            for event in past {
                if sender.send(line(&event.message())).await.is_err() {
                    return;
                }
            }
            service.relay_events(call, revision, events, sender).await;
        });
        OutgoingResponse::stream(200, "application/json", receiver)
    }

    async fn relay_events(
        &self,
        call: WatchCall,
        revision: u64,
        mut events: broadcast::Receiver<StoreEvent>,
        sender: mpsc::Sender<Bytes>,
    ) {
        loop {
            let event = tokio::select! {
                event = events.recv() => event,
                () = sender.closed() => return,
                () = self.wait_for_outage() => return,
            };
            let Ok(event) = event else { return };
            if event.revision <= revision || !call.create_request.covers(&event.key) {
                continue;
            }
            if sender.send(line(&event.message())).await.is_err() {
                return;
            }
        }
    }

    async fn wait_for_outage(&self) {
        while !lock(&self.inner.faults).outage {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    fn admit(&self, kind: CallKind) -> bool {
        let mut window = lock(&self.inner.window);
        if window.start.elapsed() >= Duration::from_secs(1) {
            window.start = Instant::now();
            window.reads = 0;
            window.writes = 0;
        }
        let (used, limit, total) = match kind {
            CallKind::Read => {
                let limit = self.inner.settings.reads_per_second;
                (&mut window.reads, limit, &self.inner.reads)
            }
            CallKind::Write => {
                let limit = self.inner.settings.writes_per_second;
                (&mut window.writes, limit, &self.inner.writes)
            }
        };
        if *used >= limit {
            self.inner.limited.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        *used += 1;
        total.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Returns the call counts since the start.
    #[must_use]
    pub fn stats(&self) -> KeyValueStats {
        KeyValueStats {
            reads: self.inner.reads.load(Ordering::Relaxed),
            writes: self.inner.writes.load(Ordering::Relaxed),
            watches: self.inner.watches.load(Ordering::Relaxed),
            limited: self.inner.limited.load(Ordering::Relaxed),
        }
    }

    fn control(&self, request: &IncomingRequest) -> OutgoingResponse {
        match request.json::<KeyValueFaults>() {
            Ok(faults) => {
                self.set_faults(faults);
                OutgoingResponse::json(200, &json!({}))
            }
            Err(error) => gateway_error(400, 3, &error.to_string()),
        }
    }
}

fn call_kind(path: &str) -> CallKind {
    match path {
        "/v3/kv/range" | "/v3/watch" => CallKind::Read,
        _ => CallKind::Write,
    }
}

fn with_body<Call, Work>(request: &IncomingRequest, work: Work) -> OutgoingResponse
where
    Call: serde::de::DeserializeOwned,
    Work: FnOnce(Call) -> serde_json::Value,
{
    match request.json::<Call>() {
        Ok(call) => OutgoingResponse::json(200, &work(call)),
        Err(error) => gateway_error(400, 3, &error.to_string()),
    }
}

fn gateway_error(status: u16, code: u32, message: &str) -> OutgoingResponse {
    OutgoingResponse::json(
        status,
        &json!({"error": message, "code": code, "message": message}),
    )
}

fn line(message: &serde_json::Value) -> Bytes {
    Bytes::from(format!("{message}\n"))
}
