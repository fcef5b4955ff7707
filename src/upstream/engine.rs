//! Calls to model engines over an OpenAI-style HTTP API with server-sent events.

use std::time::{Duration, Instant};

use samphiregrade_http::{HttpError, HttpPool, IncomingResponse, OutgoingRequest};
use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};

use crate::contract::{CallSpec, ChatMessage, TokenUsage};
use crate::ids::TokenCount;
use crate::record::UpstreamSpec;
use crate::shard::{DispatchJob, StreamBuffer};

#[derive(Serialize)]
struct EngineRequest<'job> {
    model: &'job str,
    messages: Vec<&'job ChatMessage>,
    max_tokens: TokenCount,
    stream: bool,
    priority: u8,
    request_id: SmolStr,
    session: &'job str,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChunkDelta {
    content: String,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChunkChoice {
    delta: ChunkDelta,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct PromptDetails {
    cached_tokens: TokenCount,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ChunkUsage {
    prompt_tokens: TokenCount,
    completion_tokens: TokenCount,
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct ResponseChunk {
    choices: Vec<ChunkChoice>,
    usage: Option<ChunkUsage>,
}

/// A complete response of an engine.
#[derive(Clone, Debug)]
pub struct EngineResponse {
    /// Generated text.
    pub text: String,
    /// Tokens used.
    pub usage: TokenUsage,
    /// Time from sending the request to the first text.
    pub first_token: Duration,
    /// Time from sending the request to the end of the response.
    pub total: Duration,
}

/// Reason why an engine returned no complete response.
#[derive(Clone, Debug)]
pub enum EngineFailure {
    /// The connection ended, or nothing came for too long, while the engine may have been running the call.
    Interrupted(SmolStr),
    /// The engine could not be reached, returned an error or sent an invalid or incomplete response; another engine may
    /// serve the call.
    Failed(SmolStr),
    /// The engine rejected the call as invalid, with this HTTP status; another engine would do the same.
    Rejected(u16, SmolStr),
}

impl From<HttpError> for EngineFailure {
    fn from(error: HttpError) -> Self {
        let detail = format_smolstr!("{error}");
        match error {
            // An engine that falls silent may have ended.
            HttpError::Interrupted(_) | HttpError::TimedOut => Self::Interrupted(detail),
            HttpError::NotSent(_) | HttpError::Unreadable(_) => Self::Failed(detail),
        }
    }
}

/// Sends a call to an engine and forwards the text to the call's stream as it arrives.
///
/// # Errors
///
/// Returns [`EngineFailure`]; model calls are idempotent, so they may always be sent again.
pub async fn complete(
    pool: &HttpPool,
    spec: &UpstreamSpec,
    model: &str,
    priority: u8,
    job: &DispatchJob,
) -> Result<EngineResponse, EngineFailure> {
    let CallSpec::Model(call) = &job.intent.spec else {
        return Err(EngineFailure::Rejected(400, "not a call of a model".into()));
    };
    let body = EngineRequest {
        model,
        messages: job.history.iter().chain(&call.messages).collect(),
        max_tokens: call.max_tokens,
        stream: true,
        priority,
        request_id: job.intent.idempotency_key(),
        session: &job.intent.program,
    };
    let url = format_smolstr!("{}/v1/chat/completions", spec.address);
    let request = OutgoingRequest::post_json(&url, &body)
        .with_header("idempotency-key", &job.intent.idempotency_key())
        .with_header("fencing", &job.epoch.to_string())
        .with_timeout(spec.timeout());
    let started = Instant::now();
    let mut response = pool.send(request).await?;
    if response.status != 200 {
        return Err(read_failure(&mut response).await);
    }
    read_response(&mut response, &job.stream, started).await
}

async fn read_failure(response: &mut IncomingResponse) -> EngineFailure {
    let status = response.status;
    let body = response.read_all().await.unwrap_or_default();
    let detail = format_smolstr!("status {status}: {}", String::from_utf8_lossy(&body));
    match status {
        400 | 413 | 422 => EngineFailure::Rejected(status, detail),
        _ => EngineFailure::Failed(detail),
    }
}

async fn read_response(
    response: &mut IncomingResponse,
    stream: &StreamBuffer,
    started: Instant,
) -> Result<EngineResponse, EngineFailure> {
    let mut buffer = Vec::new();
    let mut text = String::new();
    let mut usage = None;
    let mut first_token = None;
    while let Some(chunk) = response.next_chunk().await? {
        buffer.extend_from_slice(&chunk);
        while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = buffer.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data: ") else {
                continue;
            };
            if data.starts_with(b"[DONE]") {
                let total = started.elapsed();
                return finish(text, usage, first_token.unwrap_or(total), total);
            }
            let chunk: ResponseChunk = serde_json::from_slice(data)
                .map_err(|error| EngineFailure::Failed(format_smolstr!("{error}")))?;
            for choice in &chunk.choices {
                if choice.delta.content.is_empty() {
                    continue;
                }
                first_token.get_or_insert_with(|| started.elapsed());
                stream.push(&choice.delta.content);
                text.push_str(&choice.delta.content);
            }
            usage = chunk.usage.or(usage);
        }
    }
    Err(EngineFailure::Interrupted("the answer broke off".into()))
}

fn finish(
    text: String,
    usage: Option<ChunkUsage>,
    first_token: Duration,
    total: Duration,
) -> Result<EngineResponse, EngineFailure> {
    let usage = usage.ok_or(EngineFailure::Failed("the answer has no usage".into()))?;
    Ok(EngineResponse {
        text,
        usage: TokenUsage {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            cached_tokens: usage.prompt_tokens_details.cached_tokens,
        },
        first_token,
        total,
    })
}
