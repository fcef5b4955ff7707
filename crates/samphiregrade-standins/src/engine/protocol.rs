//! Messages of the engine, and how it counts tokens and composes answers.

use std::collections::hash_map::DefaultHasher;
use std::fmt::Write;
use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Bytes of text that count as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Tokens of an answer whose prompt asks for no length.
const DEFAULT_ANSWER: usize = 32;

/// Marker by which a prompt asks for the length of its answer.
const LENGTH_MARKER: &str = "[answer-tokens=";

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// A chat completion as the engine takes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ChatRequest {
    /// Model that is to answer.
    pub model: SmolStr,
    /// The whole conversation.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    pub max_tokens: usize,
    /// Whether the answer is streamed; this engine always streams.
    #[serde(default)]
    pub stream: bool,
    /// Lower runs first.
    #[serde(default)]
    pub priority: i32,
    /// Identifies the request: the same one again joins or replays the first.
    pub request_id: SmolStr,
    /// Program whose cached prefix the request continues.
    #[serde(default)]
    pub session: SmolStr,
    /// Attempt of the caller's side; a new one starts the stream from its begin.
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
    /// Role to take.
    pub role: Option<SmolStr>,
}

/// Faults in force, as `POST /control` takes them.
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
    /// Requests running.
    pub running: usize,
    /// Requests waiting inside the engine.
    pub queued: usize,
    /// Requests that can run at once.
    pub slots: usize,
    /// Tokens the cache can hold.
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
    /// Program that asked.
    pub session: SmolStr,
    /// When it arrived, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Tokens of the prompt.
    pub prompt_tokens: usize,
    /// Tokens of the prompt found in the cache.
    pub cached_tokens: usize,
    /// Tokens generated.
    pub completion_tokens: usize,
    /// Digest of the prompt.
    pub prompt_digest: u64,
    /// Whether it ran to its end.
    pub finished: bool,
}

/// The engine's audit log.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct EngineAudit {
    /// Every request that began to run.
    pub requests: Vec<AuditEntry>,
    /// Tokens held times seconds, over all sessions.
    pub held_token_seconds: f64,
    /// Sessions still held.
    pub held_sessions: Vec<SmolStr>,
}

/// Counts the tokens of a text.
#[must_use]
pub fn token_count(text: &str) -> usize {
    text.len().div_ceil(BYTES_PER_TOKEN)
}

/// Digest of a conversation; it changes with any message and with their order.
#[must_use]
pub fn prompt_digest(messages: &[ChatMessage]) -> u64 {
    let mut hasher = DefaultHasher::new();
    messages.hash(&mut hasher);
    hasher.finish()
}

/// The whole answer to a conversation, cut at `max_tokens`.
#[must_use]
pub fn answer_text(messages: &[ChatMessage], max_tokens: usize) -> String {
    let last = messages
        .last()
        .map_or("", |message| message.content.as_str());
    let wanted = asked_length(last).unwrap_or(DEFAULT_ANSWER);
    let length = wanted.min(max_tokens) * BYTES_PER_TOKEN;
    let mut text = format!("[n={} h={:016x}] ", messages.len(), prompt_digest(messages));
    let mut word = 0;
    while text.len() < length {
        let _ = write!(text, "w{word:02} ");
        word = (word + 1) % 100;
    }
    text.truncate(length);
    text
}

fn asked_length(text: &str) -> Option<usize> {
    let (_, rest) = text.split_once(LENGTH_MARKER)?;
    let (number, _) = rest.split_once(']')?;
    number.parse().ok()
}
