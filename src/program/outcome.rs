//! Final outcomes of calls and the responses that callers receive.

use samphiregrade_http::OutgoingResponse;
use serde::{Deserialize, Serialize};

use super::entry::idempotency_key;
use crate::contract::{AnswerBody, AnswerChoice, AnswerMessage, Refusal, TokenUsage};
use crate::ids::{ProgramId, SequenceNumber};

/// The final, immutable outcome of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallOutcome {
    /// A model's response.
    Answer {
        /// Generated text.
        text: String,
        /// Tokens used.
        usage: TokenUsage,
    },
    /// A service's response.
    Reply {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: String,
    },
    /// The call was abandoned without a response.
    Refused(Refusal),
}

impl CallOutcome {
    /// Composes the response; equal outcomes always give identical bytes.
    #[must_use]
    pub fn response(&self, program: &ProgramId, sequence: SequenceNumber) -> OutgoingResponse {
        match self {
            Self::Answer { text, usage } => {
                OutgoingResponse::json(200, &answer_body(program, sequence, text, *usage))
            }
            Self::Reply { status, body } => {
                OutgoingResponse::full(*status, "application/json", body.clone())
            }
            Self::Refused(refusal) => refusal.response(),
        }
    }
}

fn answer_body(
    program: &ProgramId,
    sequence: SequenceNumber,
    text: &str,
    usage: TokenUsage,
) -> AnswerBody {
    let message = AnswerMessage {
        role: "assistant".into(),
        content: text.to_owned(),
    };
    let choice = AnswerChoice {
        index: 0,
        message,
        finish_reason: "stop".into(),
    };
    AnswerBody {
        id: idempotency_key(program, sequence),
        object: "chat.completion".into(),
        choices: vec![choice],
        usage,
    }
}
