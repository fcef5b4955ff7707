//! Adapter for the JSON gateway of etcd's v3 API, over HTTP.

use std::sync::Arc;
use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use samphiregrade_http::{HttpError, HttpPool, IncomingResponse, OutgoingRequest};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use smol_str::{SmolStr, ToSmolStr, format_smolstr};
use tokio::sync::mpsc;

use super::{
    KeyChange, KeyEntry, KeyRange, KeyValueError, KeyValueStore, RangeReading, SwapOutcome,
};
use crate::ids::RevisionNumber;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time without data on a watch before the watch ends and has to be restarted.
const WATCH_TIMEOUT: Duration = Duration::from_mins(10);

/// Capacity of the queue of changes of one watch.
const WATCH_QUEUE: usize = 256;

/// The adapter; cheap to clone.
#[derive(Clone, Debug)]
pub struct EtcdGateway {
    base: SmolStr,
    pool: HttpPool,
    lease: Arc<tokio::sync::Mutex<Option<u64>>>,
}

#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct GatewayHeader {
    revision: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct GatewayEntry {
    key: String,
    value: String,
    mod_revision: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct RangeReply {
    header: GatewayHeader,
    kvs: Vec<GatewayEntry>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct OperationReply {
    response_range: Option<RangeReply>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct TxnReply {
    header: GatewayHeader,
    succeeded: bool,
    responses: Vec<OperationReply>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct LeaseReply {
    #[serde(rename = "ID")]
    id: SmolStr,
    #[serde(rename = "TTL")]
    ttl: SmolStr,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct KeepAliveReply {
    result: LeaseReply,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchEvent {
    #[serde(rename = "type")]
    kind: SmolStr,
    kv: GatewayEntry,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchResult {
    events: Vec<WatchEvent>,
    canceled: bool,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct WatchReply {
    result: WatchResult,
}

fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

fn decode(text: &str) -> Option<String> {
    String::from_utf8(STANDARD.decode(text).ok()?).ok()
}

fn parse_number(text: &str) -> u64 {
    text.parse().unwrap_or(0)
}

impl GatewayEntry {
    fn into_entry(self) -> Option<KeyEntry> {
        Some(KeyEntry {
            key: decode(&self.key)?.into(),
            value: decode(&self.value)?,
            revision: parse_number(&self.mod_revision),
        })
    }
}

impl RangeReply {
    fn into_reading(self) -> RangeReading {
        RangeReading {
            entries: self
                .kvs
                .into_iter()
                .filter_map(GatewayEntry::into_entry)
                .collect(),
            revision: parse_number(&self.header.revision),
        }
    }
}

impl KeyRange {
    /// Composes the fields of a range in the format of the gateway.
    fn fields(&self) -> Value {
        match self {
            Self::Single(key) => json!({"key": encode(key)}),
            Self::Prefix(prefix) => {
                let mut end = prefix.as_bytes().to_vec();
                if let Some(last) = end.last_mut() {
                    *last += 1;
                }
                json!({"key": encode(prefix), "range_end": STANDARD.encode(end)})
            }
        }
    }
}

impl EtcdGateway {
    /// Creates an adapter for a gateway's base URL.
    #[must_use]
    pub fn new(base: &str, pool: HttpPool) -> Self {
        Self {
            base: base.trim_end_matches('/').into(),
            pool,
            lease: Arc::default(),
        }
    }

    async fn call<Reply>(&self, path: &str, body: &Value) -> Result<Reply, KeyValueError>
    where
        Reply: DeserializeOwned,
    {
        let mut response = self.open(path, body, CALL_TIMEOUT).await?;
        response
            .read_json()
            .await
            .map_err(|error| call_error(&error))
    }

    async fn open(
        &self,
        path: &str,
        body: &Value,
        timeout: Duration,
    ) -> Result<IncomingResponse, KeyValueError> {
        let url = format_smolstr!("{}{path}", self.base);
        let request = OutgoingRequest::post_json(&url, body).with_timeout(timeout);
        let response = self
            .pool
            .send(request)
            .await
            .map_err(|error| call_error(&error))?;
        match response.status {
            200 => Ok(response),
            429 => Err(KeyValueError::Limited),
            // This includes 503, with which the gateway also reports writes that have timed out and may still be made.
            status => Err(KeyValueError::NoAnswer(format_smolstr!("status {status}"))),
        }
    }

    async fn swap_now(
        &self,
        key: SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
        lease: u64,
    ) -> Result<SwapOutcome, KeyValueError> {
        let key = encode(&key);
        let write = match &value {
            Some(value) => json!({"request_put": {
                "key": key, "value": encode(value), "lease": lease.to_string()}}),
            None => json!({"request_delete_range": {"key": key}}),
        };
        let body = json!({
            "compare": [{"key": key, "target": "MOD", "result": "EQUAL",
                "mod_revision": expected.to_string()}],
            "success": [write],
            "failure": [{"request_range": {"key": key}}],
        });
        let reply: TxnReply = self.call("/v3/kv/txn", &body).await?;
        if reply.succeeded {
            return Ok(SwapOutcome::Swapped(parse_number(&reply.header.revision)));
        }
        let found = reply
            .responses
            .into_iter()
            .find_map(|response| response.response_range)
            .and_then(|range| range.into_reading().entries.pop());
        Ok(SwapOutcome::Conflict(found))
    }

    /// Renews the lease, or has a new one granted if the last one has expired; returns its id.
    async fn renew_lease(&self, time: Duration) -> Result<u64, KeyValueError> {
        let mut lease = self.lease.lock().await;
        if let Some(id) = *lease {
            let body = json!({"ID": id.to_string()});
            let kept: KeepAliveReply = self.call("/v3/lease/keepalive", &body).await?;
            if parse_number(&kept.result.ttl) > 0 {
                return Ok(id);
            }
        }
        let body = json!({"TTL": time.as_secs().max(1).to_string()});
        let granted: LeaseReply = self.call("/v3/lease/grant", &body).await?;
        let id = parse_number(&granted.id);
        *lease = Some(id);
        Ok(id)
    }

    async fn hold_now(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: Duration,
    ) -> Result<bool, KeyValueError> {
        let lease = self.renew_lease(time).await?;
        match self
            .swap_now(key, 0, Some(holder.to_string()), lease)
            .await?
        {
            SwapOutcome::Swapped(_) => Ok(true),
            SwapOutcome::Conflict(entry) => Ok(entry.is_some_and(|entry| entry.value == holder)),
        }
    }

    async fn watch_now(
        &self,
        range: KeyRange,
        from: RevisionNumber,
    ) -> Result<mpsc::Receiver<KeyChange>, KeyValueError> {
        let mut fields = range.fields();
        fields["start_revision"] = Value::from(from.to_string());
        let body = json!({"create_request": fields});
        let response = self.open("/v3/watch", &body, WATCH_TIMEOUT).await?;
        let (sender, receiver) = mpsc::channel(WATCH_QUEUE);
        tokio::spawn(relay_watch(response, sender));
        Ok(receiver)
    }
}

async fn relay_watch(mut response: IncomingResponse, sender: mpsc::Sender<KeyChange>) {
    let mut pending = Vec::new();
    loop {
        let chunk = tokio::select! {
            chunk = response.next_chunk() => chunk,
            () = sender.closed() => return,
        };
        let Ok(Some(chunk)) = chunk else { return };
        pending.extend_from_slice(&chunk);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let Ok(reply) = serde_json::from_slice::<WatchReply>(&line) else {
                return;
            };
            if reply.result.canceled {
                return;
            }
            for event in reply.result.events {
                let Some(change) = event.into_change() else {
                    continue;
                };
                if sender.send(change).await.is_err() {
                    return;
                }
            }
        }
    }
}

impl WatchEvent {
    fn into_change(self) -> Option<KeyChange> {
        let removed = self.kind == "DELETE";
        let entry = self.kv.into_entry()?;
        Some(KeyChange {
            key: entry.key,
            value: (!removed).then_some(entry.value),
            revision: entry.revision,
        })
    }
}

fn call_error(error: &HttpError) -> KeyValueError {
    if error.not_sent() {
        return KeyValueError::Unreachable(error.to_smolstr());
    }
    KeyValueError::NoAnswer(error.to_smolstr())
}

impl KeyValueStore for EtcdGateway {
    fn read(&self, range: KeyRange) -> BoxFuture<'_, Result<RangeReading, KeyValueError>> {
        async move {
            let reply: RangeReply = self.call("/v3/kv/range", &range.fields()).await?;
            Ok(reply.into_reading())
        }
        .boxed()
    }

    fn swap(
        &self,
        key: SmolStr,
        expected: RevisionNumber,
        value: Option<String>,
    ) -> BoxFuture<'_, Result<SwapOutcome, KeyValueError>> {
        self.swap_now(key, expected, value, 0).boxed()
    }

    fn watch(
        &self,
        range: KeyRange,
        from: RevisionNumber,
    ) -> BoxFuture<'_, Result<mpsc::Receiver<KeyChange>, KeyValueError>> {
        self.watch_now(range, from).boxed()
    }

    fn hold_lease(
        &self,
        key: SmolStr,
        holder: SmolStr,
        time: Duration,
    ) -> BoxFuture<'_, Result<bool, KeyValueError>> {
        self.hold_now(key, holder, time).boxed()
    }
}
