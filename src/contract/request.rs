//! Request and response bodies of the callers' interface.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::ids::{ClassName, ModelName, ProgramId, SequenceNumber, TokenCount};

/// Maximum length of a caller's key in bytes.
const KEY_LIMIT: usize = 256;

/// Bytes of text per token, for estimates until an engine has counted the tokens.
const BYTES_PER_TOKEN: usize = 4;

/// An invalid field of a request.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("field `{field}`: {problem}")]
pub struct ContractError {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong, and which values are valid.
    pub problem: SmolStr,
}

/// Request to begin a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct BeginRequest {
    /// The caller's key; the same key always means the same program.
    pub key: SmolStr,
    /// Program class, by the name in its record.
    pub class: ClassName,
    /// Failure domain of the program's shard; derived from the key if omitted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub home: Option<SmolStr>,
    /// Tokens the program may use, within what its class allows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tokens: Option<TokenCount>,
    /// Time within which the program must end, in milliseconds from now.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Parent program, if this one is a sub-agent that uses the parent's budget.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub parent: Option<ProgramId>,
}

impl BeginRequest {
    /// Checks the fields.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and which values are valid.
    pub fn check(&self) -> Result<(), ContractError> {
        let invalid = |field, problem| Err(ContractError { field, problem });
        if self.key.is_empty() || self.key.len() > KEY_LIMIT {
            return invalid("key", format_smolstr!("has to have 1 to {KEY_LIMIT} bytes"));
        }
        if self.tokens == Some(0) {
            return invalid("tokens", "has to be at least 1".into());
        }
        if self.deadline_ms == Some(0) {
            return invalid("deadline-ms", "has to be at least 1".into());
        }
        Ok(())
    }

    /// Returns the time within which the program must end.
    #[must_use]
    pub fn deadline(&self) -> Option<Duration> {
        self.deadline_ms.map(Duration::from_millis)
    }
}

/// Response to the begin of a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct BeginReply {
    /// Program id, which the program's calls use.
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

/// A call to a model. It has only the messages since the program's previous call; earlier ones are stored in the
/// program's history.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ModelCall {
    /// Model; if omitted, the one that the program class names.
    pub model: Option<ModelName>,
    /// New messages.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    pub max_tokens: TokenCount,
    /// Whether the response is sent as server-sent events.
    pub stream: bool,
}

/// A call to a tool or plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceCall {
    /// Service, by the name in its record.
    pub service: SmolStr,
    /// Name of the tool, or path within the service.
    pub tool: SmolStr,
    /// Arguments as JSON text.
    pub arguments: String,
    /// Whether the call can safely run more than once.
    pub idempotent: bool,
}

/// What a call requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallSpec {
    /// A response of a model.
    Model(ModelCall),
    /// A result of a tool or plain service.
    Service(ServiceCall),
}

impl CallSpec {
    /// Returns whether the call can safely run more than once.
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
                let tokens = call
                    .messages
                    .iter()
                    .map(|message| text_tokens(&message.content));
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
    /// Maximum number of tokens to generate.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<TokenCount>,
    /// Whether the response is streamed.
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
    /// Whether a service call may be repeated; defaults to false.
    #[serde(default)]
    pub idempotent: bool,
}

/// Maximum number of tokens to generate if a call sets no limit.
const DEFAULT_MAX_TOKENS: TokenCount = 1024;

impl CallBody {
    /// Checks the fields and returns the call that they describe.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field and which values are valid.
    pub fn into_spec(self) -> Result<CallSpec, ContractError> {
        let invalid = |field, problem: &str| {
            let problem = problem.into();
            Err(ContractError { field, problem })
        };
        match (self.messages, self.service) {
            (Some(_), Some(_)) => invalid(
                "service",
                "a call has either `messages` or `service`, not both",
            ),
            (None, None) => invalid("messages", "a call has to have `messages` or `service`"),
            (Some(messages), None) => {
                if messages.is_empty() {
                    return invalid("messages", "has to hold at least one message");
                }
                if self.max_tokens == Some(0) {
                    return invalid("max_tokens", "has to be at least 1");
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
                    return invalid("tool", "has to have letters, digits, `-`, `_` or `.` only");
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

/// Tokens used by a model call.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUsage {
    /// Tokens of the entire prompt.
    pub prompt_tokens: TokenCount,
    /// Generated tokens.
    pub completion_tokens: TokenCount,
    /// Tokens of the prompt that the engine had cached.
    pub cached_tokens: TokenCount,
}

/// The model's message in a response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnswerMessage {
    /// Always `assistant`.
    pub role: SmolStr,
    /// The text.
    pub content: String,
}

/// The only choice of a response.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnswerChoice {
    /// Always 0.
    pub index: u32,
    /// The message.
    pub message: AnswerMessage,
    /// Reason why generation ended.
    pub finish_reason: SmolStr,
}

/// Response to a model call, in the format of a chat completion.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct AnswerBody {
    /// Program and sequence number of the call.
    pub id: SmolStr,
    /// Always `chat.completion`.
    pub object: SmolStr,
    /// The only choice.
    pub choices: Vec<AnswerChoice>,
    /// Tokens used.
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
    /// Number of finished calls.
    pub calls: SequenceNumber,
    /// Tokens used, including the reservations of running calls.
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
