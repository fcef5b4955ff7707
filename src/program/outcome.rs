//! Final outcomes of calls and how callers see them.

use samphiregrade_http::OutgoingResponse;
use serde::{Deserialize, Serialize};

use super::entry::idempotency_key;
use crate::contract::{AnswerBody, AnswerChoice, AnswerMessage, Refusal, TokenUsage};
use crate::ids::{ProgramId, SequenceNumber};

/// The final outcome of a call; it never changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallOutcome {
    /// The answer of a model.
    Answer {
        /// The text.
        text: String,
        /// Tokens taken.
        usage: TokenUsage,
    },
    /// The result of a service.
    Reply {
        /// HTTP status of the service.
        status: u16,
        /// Body of the service's answer.
        body: String,
    },
    /// The call was given up.
    Refused(Refusal),
}

impl CallOutcome {
    /// Composes the response; the same outcome always gives the same bytes.
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
