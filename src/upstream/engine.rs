//! Calls to model engines by OpenAI-style HTTP with server-sent events.

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
struct AnswerChunk {
    choices: Vec<ChunkChoice>,
    usage: Option<ChunkUsage>,
}

/// A whole answer of an engine.
#[derive(Clone, Debug)]
pub struct EngineAnswer {
    /// The text.
    pub text: String,
    /// Tokens taken.
    pub usage: TokenUsage,
    /// Time until the first text.
    pub first_token: Duration,
    /// Time until the end.
    pub total: Duration,
}

/// Why an engine gave no answer.
#[derive(Clone, Debug)]
pub enum EngineFailure {
    /// It could not be reached or broke off; another may serve the call.
    Failed(SmolStr),
    /// It refuses the call itself.
    Rejected(u16, SmolStr),
}

impl From<HttpError> for EngineFailure {
    fn from(error: HttpError) -> Self {
        Self::Failed(format_smolstr!("{error}"))
    }
}

/// Sends a call to an engine and passes the text on as it comes.
///
/// # Errors
///
/// Returns [`EngineFailure`]; a call of a model may always be sent again.
pub async fn complete(
    pool: &HttpPool,
    spec: &UpstreamSpec,
    model: &str,
    priority: u8,
    job: &DispatchJob,
) -> Result<EngineAnswer, EngineFailure> {
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
        return Err(rejection(&mut response).await);
    }
    read_answer(&mut response, &job.stream, started).await
}

async fn rejection(response: &mut IncomingResponse) -> EngineFailure {
    let status = response.status;
    let body = response.read_all().await.unwrap_or_default();
    let detail = format_smolstr!("status {status}: {}", String::from_utf8_lossy(&body));
    match status {
        400 | 413 | 422 => EngineFailure::Rejected(status, detail),
        _ => EngineFailure::Failed(detail),
    }
}

async fn read_answer(
    response: &mut IncomingResponse,
    stream: &StreamBuffer,
    started: Instant,
) -> Result<EngineAnswer, EngineFailure> {
    let mut pending = Vec::new();
    let mut text = String::new();
    let mut usage = None;
    let mut first_token = None;
    while let Some(chunk) = response.next_chunk().await? {
        pending.extend_from_slice(&chunk);
        while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = pending.drain(..=end).collect();
            let Some(data) = line.strip_prefix(b"data: ") else {
                continue;
            };
            if data.starts_with(b"[DONE]") {
                let total = started.elapsed();
                return finish(text, usage, first_token.unwrap_or(total), total);
            }
            let chunk: AnswerChunk = serde_json::from_slice(data)
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
    Err(EngineFailure::Failed("the answer broke off".into()))
}

fn finish(
    text: String,
    usage: Option<ChunkUsage>,
    first_token: Duration,
    total: Duration,
) -> Result<EngineAnswer, EngineFailure> {
    let usage = usage.ok_or(EngineFailure::Failed("the answer has no usage".into()))?;
    Ok(EngineAnswer {
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
