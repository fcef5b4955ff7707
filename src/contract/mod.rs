//! The contract with callers: requests, responses and refusals.

mod refusal;
mod request;

pub use refusal::{ProblemBody, RanState, Refusal, RefusalKind};
pub use request::{
    AnswerBody, AnswerChoice, AnswerMessage, BeginReply, BeginRequest, CallBody, CallSpec,
    ChatMessage, ContractError, HistoryReply, ModelCall, ProgramReply, ServiceCall, TokenUsage,
    text_tokens,
};
