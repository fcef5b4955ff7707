//! Requests of callers and the bodies that answer them.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::ids::{ClassName, ModelName, ProgramId, SequenceNumber, TokenCount};

/// Longest accepted key of a caller, in bytes.
const KEY_LIMIT: usize = 256;

/// Bytes of text that are counted as one token before an engine has counted them.
const BYTES_PER_TOKEN: usize = 4;

/// A wrong field of a request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("field `{field}`: {problem}")]
pub struct ContractError {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong and what would be right.
    pub problem: SmolStr,
}

/// The begin of a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BeginRequest {
    /// The caller's key; the same key always means the same program.
    pub key: SmolStr,
    /// Program class, as a record names it.
    pub class: ClassName,
    /// Failure domain the program is to live in; chosen from the key where it is left out.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<SmolStr>,
    /// Tokens the program may use, within what its class allows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<TokenCount>,
    /// Milliseconds from now within which the program has to end.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Program on whose budget this one draws as a sub-agent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
}

impl BeginRequest {
    /// Checks the fields.
    ///
    /// # Errors
    ///
    /// Returns the first wrong field with what would be right.
    pub fn check(&self) -> Result<(), ContractError> {
        let wrong = |field, problem| Err(ContractError { field, problem });
        if self.key.is_empty() || self.key.len() > KEY_LIMIT {
            return wrong("key", format_smolstr!("has to have 1 to {KEY_LIMIT} bytes"));
        }
        if self.tokens == Some(0) {
            return wrong("tokens", "has to be at least 1".into());
        }
        if self.deadline_ms == Some(0) {
            return wrong("deadline-ms", "has to be at least 1".into());
        }
        Ok(())
    }

    /// Returns the time within which the program has to end.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline_ms.map(Duration::from_millis)
    }
}

/// The answer to the begin of a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BeginReply {
    /// Id for the program's calls.
    pub program: ProgramId,
    /// Tokens the program may use.
    pub tokens: TokenCount,
}

/// One message of a conversation.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChatMessage {
    /// `system`, `user`, `assistant` or `tool`.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// A call of a model: the messages since the last one; the system keeps those before.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelCall {
    /// Model, or left out for the one that the program class names.
    pub model: Option<ModelName>,
    /// New messages.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    pub max_tokens: TokenCount,
    /// Whether the answer comes as server-sent events.
    pub stream: bool,
}

/// A call of a tool or plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Service, as a record names it.
    pub service: SmolStr,
    /// Name of the tool or path within the service.
    pub tool: SmolStr,
    /// Arguments as JSON text.
    pub arguments: String,
    /// Whether running the call twice does no harm.
    pub idempotent: bool,
}

/// What a call asks for.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallSpec {
    /// An answer of a model.
    Model(ModelCall),
    /// A result of a tool or plain service.
    Service(ServiceCall),
}

impl CallSpec {
    /// Returns whether running the call twice does no harm.
    #[must_use]
    pub fn is_idempotent(&self) -> bool {
        match self {
            Self::Model(_) => true,
            Self::Service(call) => call.idempotent,
        }
    }

    /// Estimates the tokens that the call adds to the prompt.
    #[must_use]
    pub fn prompt_tokens(&self) -> TokenCount {
        match self {
            Self::Model(call) => {
                let tokens = call.messages.iter().map(|one| text_tokens(&one.content));
                tokens.sum()
            }
            Self::Service(_) => 0,
        }
    }
}

/// Estimates the tokens of a text.
#[must_use]
pub fn text_tokens(text: &str) -> TokenCount {
    TokenCount::try_from(text.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(TokenCount::MAX)
}

/// The body of a call as callers send it.
#[derive(Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallBody {
    /// Model of a model call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// New messages of a model call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Vec<ChatMessage>>,
    /// Most tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<TokenCount>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// Service of a service call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<SmolStr>,
    /// Tool of a service call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tool: Option<SmolStr>,
    /// Arguments of a service call.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub arguments: Option<Box<RawValue>>,
    /// Whether a service call may be repeated; it may not where this is left out.
    #[serde(default)]
    pub idempotent: bool,
}

/// Tokens generated at most where a call names no limit.
const DEFAULT_MAX_TOKENS: TokenCount = 1024;

impl CallBody {
    /// Checks the fields and returns what the call asks for.
    ///
    /// # Errors
    ///
    /// Returns the first wrong field with what would be right.
    pub fn into_spec(self) -> Result<CallSpec, ContractError> {
        let wrong = |field, problem: &str| {
            let problem = problem.into();
            Err(ContractError { field, problem })
        };
        match (self.messages, self.service) {
            (Some(_), Some(_)) => wrong(
                "service",
                "a call has either `messages` or `service`, not both",
            ),
            (None, None) => wrong("messages", "a call has to have `messages` or `service`"),
            (Some(messages), None) => {
                if messages.is_empty() {
                    return wrong("messages", "has to hold at least one message");
                }
                if self.max_tokens == Some(0) {
                    return wrong("max_tokens", "has to be at least 1");
                }
                Ok(CallSpec::Model(ModelCall {
                    model: self.model,
                    messages,
                    max_tokens: self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
                    stream: self.stream,
                }))
            }
            (None, Some(service)) => {
                let Some(tool) = self.tool.filter(|tool| is_path_part(tool)) else {
                    return wrong("tool", "has to have letters, digits, `-`, `_` or `.` only");
                };
                let arguments = self
                    .arguments
                    .map_or("null".into(), |raw| raw.get().to_owned());
                Ok(CallSpec::Service(ServiceCall {
                    service,
                    tool,
                    arguments,
                    idempotent: self.idempotent,
                }))
            }
        }
    }
}

fn is_path_part(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !text.is_empty() && text.bytes().all(allowed) && text != ".."
}

/// Tokens that an answer took.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUsage {
    /// Tokens of the whole prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens generated.
    pub completion_tokens: TokenCount,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: TokenCount,
}

/// A message of a model, as the answer carries it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnswerMessage {
    /// Always `assistant`.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// The one choice of an answer.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnswerChoice {
    /// Always 0.
    pub index: u32,
    /// The message.
    pub message: AnswerMessage,
    /// Why the answer ends.
    pub finish_reason: SmolStr,
}

/// The answer to a model call, in the form of a chat completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnswerBody {
    /// Program and sequence number of the call.
    pub id: SmolStr,
    /// Always `chat.completion`.
    pub object: SmolStr,
    /// The one choice.
    pub choices: Vec<AnswerChoice>,
    /// Tokens taken.
    pub usage: TokenUsage,
}

/// State of a program as its caller sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ProgramReply {
    /// The program.
    pub program: ProgramId,
    /// `running` or `ended`.
    pub status: SmolStr,
    /// Calls finished.
    pub calls: SequenceNumber,
    /// Tokens used, running reservations included.
    pub tokens_used: TokenCount,
    /// Tokens the program may use.
    pub tokens: TokenCount,
}

/// History of a program: its conversation so far.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryReply {
    /// Messages in order.
    pub messages: Vec<ChatMessage>,
}
