//! Messages of the engine, token counting and the composition of responses.

use std::collections::hash_map::DefaultHasher;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of a response whose prompt requests no length.
const DEFAULT_RESPONSE_TOKENS: usize = 32;

/// Marker with which a prompt requests the length of the response.
const LENGTH_MARKER: &str = "[answer-tokens=";

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// A chat completion request.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Requested model.
    pub model: SmolStr,
    /// The complete conversation.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    pub max_tokens: usize,
    /// Whether the response is streamed; this engine always streams.
    #[serde(default)]
    pub stream: bool,
    /// Scheduling priority; requests with lower values run first.
    #[serde(default)]
    pub priority: i32,
    /// Identifies the request: a repeated id joins or replays the first request.
    pub request_id: SmolStr,
    /// Program whose cached prefix the request continues.
    #[serde(default)]
    pub session: SmolStr,
    /// Attempt of the caller's side; a new attempt restarts the stream from its beginning.
    #[serde(default)]
    pub attempt: u32,
}

/// A call on one session's cached prefix.
#[derive(Debug, Deserialize)]
pub struct SessionCall {
    pub session: SmolStr,
}

/// An exported prefix.
#[derive(Debug, Deserialize, Serialize)]
pub struct ExportCall {
    pub session: SmolStr,
    pub blocks: Vec<u64>,
}

/// An order to load a model or change role.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct EngineOrder {
    /// Fencing number of the sender.
    pub fence: u64,
    /// Model to load.
    pub load_model: Option<SmolStr>,
    /// Role to change to.
    pub role: Option<SmolStr>,
}

/// Faults in force, in the form that `POST /control` accepts.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ControlCall {
    pub leaving: bool,
    pub silent: bool,
}

/// A load report, up to one report interval old.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, rename_all = "kebab-case")]
pub struct EngineLoad {
    /// Number of running requests.
    pub running: usize,
    /// Number of requests waiting inside the engine.
    pub queued: usize,
    /// Number of requests that can run concurrently.
    pub slots: usize,
    /// Capacity of the cache in tokens.
    pub cache_tokens: usize,
    /// Tokens of the cache that are in use.
    pub used_tokens: usize,
    /// Tokens held for sessions.
    pub held_tokens: usize,
    /// Prompt tokens still to be prefilled.
    pub prefill_backlog: usize,
    /// Whether the engine is leaving.
    pub leaving: bool,
    /// Current role.
    pub role: SmolStr,
    /// Models loaded.
    pub models: Vec<SmolStr>,
}

/// One request in the engine's audit log.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct AuditEntry {
    /// Request id.
    pub request: SmolStr,
    /// Program that sent the request.
    pub session: SmolStr,
    /// Time when the request started to run, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens of the prompt found in the cache.
    pub cached_tokens: usize,
    /// Tokens generated.
    pub completion_tokens: usize,
    /// Digest of the prompt.
    pub prompt_digest: u64,
    /// Whether the request ran to completion.
    pub finished: bool,
}

/// The engine's audit log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineAudit {
    /// Every request that started to run.
    pub requests: Vec<AuditEntry>,
    /// Held tokens times the seconds of the hold, summed over all sessions.
    pub held_token_seconds: f64,
    /// Sessions still held.
    pub held_sessions: Vec<SmolStr>,
}

/// Counts the tokens of a text.
#[must_use]
pub fn token_count(text: &str) -> usize {
    text.len().div_ceil(BYTES_PER_TOKEN)
}

/// Returns the digest of a conversation; the digest depends on every message and on their order.
#[must_use]
pub fn prompt_digest(messages: &[ChatMessage]) -> u64 {
    let mut hasher = DefaultHasher::new();
    messages.hash(&mut hasher);
    hasher.finish()
}

/// Returns the complete response to a conversation, truncated to `max_tokens`.
#[must_use]
pub fn answer_text(messages: &[ChatMessage], max_tokens: usize) -> String {
    let last = messages
        .last()
        .map_or("", |message| message.content.as_str());
    let tokens = requested_length(last).unwrap_or(DEFAULT_RESPONSE_TOKENS);
    let length = tokens.min(max_tokens) * BYTES_PER_TOKEN;
    let mut text = format!("[n={} h={:016x}] ", messages.len(), prompt_digest(messages));
    let mut word = 0;
    while text.len() < length {
        let _ = write!(text, "w{word:02} ");
        word = (word + 1) % 100;
    }
    text.truncate(length);
    text
}

fn requested_length(text: &str) -> Option<usize> {
    let (_, rest) = text.split_once(LENGTH_MARKER)?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}
