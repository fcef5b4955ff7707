//! A caller that runs a plan and notes what it was told.

use std::time::{Duration, Instant};

use futures_util::FutureExt;
use futures_util::future::{BoxFuture, join_all};
use samphiregrade_standins::engine::{ChatMessage as EngineMessage, answer_text, prompt_digest};
use serde_json::Value;
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};

use super::plan::{PlanStep, ProgramPlan, filler};
use crate::client::{CallerClient, ClientError};
use crate::contract::{BeginRequest, CallBody, ChatMessage, RanState, text_tokens};
use crate::ids::{ProgramId, SequenceNumber, TokenCount};
use crate::program::idempotency_key;

/// How a program ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramVerdict {
    /// Every step was answered and the program was ended.
    Finished,
    /// It was refused, and what was refused did not run.
    RefusedNotRun,
    /// The outcome of a call that must not be repeated is unknown.
    OutcomeUnknown,
    /// The caller's patience ended without a final answer.
    Unanswered,
}

/// A call as its caller saw it.
#[derive(Clone, Debug)]
pub struct CallNote {
    /// Key of the call.
    pub key: SmolStr,
    /// Whether it may be repeated.
    pub idempotent: bool,
    /// Whether it was answered.
    pub answered: bool,
    /// What a final refusal said.
    pub told: Option<RanState>,
    /// Attempts made; 0 where the answer was final but no success.
    pub attempts: u32,
    /// When the first attempt was made.
    pub began: Instant,
    /// When the final answer came.
    pub ended: Instant,
    /// Digest of the conversation that the engine is to be asked with.
    pub prompt_digest: Option<u64>,
    /// Tokens that the call adds to the prompt.
    pub prompt_tokens: TokenCount,
}

/// A program as its caller saw it.
#[derive(Clone, Debug)]
pub struct ProgramNote {
    /// The program, once begun.
    pub program: Option<ProgramId>,
    /// Class.
    pub class: SmolStr,
    /// How it ended.
    pub verdict: ProgramVerdict,
    /// From the first attempt at the begin to the last answer.
    pub latency: Duration,
    /// When the first attempt was made.
    pub began: Instant,
    /// Its calls.
    pub calls: Vec<CallNote>,
    /// Answers that were not the right ones.
    pub wrong_answers: u32,
    /// Tokens used as the system told at the end, and the budget.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// Longest time between two final answers, pauses left out.
    pub longest_gap: Duration,
    /// Last refusal or failure.
    pub failure: Option<SmolStr>,
}

struct ProgramRun<'run> {
    client: &'run CallerClient,
    plan: &'run ProgramPlan,
    note: ProgramNote,
    history: Vec<EngineMessage>,
    sequence: SequenceNumber,
    below: Vec<ProgramNote>,
}

/// Runs a plan to its end and returns the notes of the program and its sub-agents.
///
/// The expected answers are those of the stand-in engine.
#[must_use]
pub fn run_program<'run>(
    client: &'run CallerClient,
    plan: &'run ProgramPlan,
    key: SmolStr,
    home: Option<SmolStr>,
    parent: Option<ProgramId>,
) -> BoxFuture<'run, Vec<ProgramNote>> {
    async move {
        let began = Instant::now();
        let note = ProgramNote {
            program: None,
            class: plan.class.clone(),
            verdict: ProgramVerdict::Finished,
            latency: Duration::ZERO,
            began,
            calls: Vec::new(),
            wrong_answers: 0,
            tokens: None,
            longest_gap: Duration::ZERO,
            failure: None,
        };
        let mut run = ProgramRun {
            client,
            plan,
            note,
            history: Vec::new(),
            sequence: 0,
            below: Vec::new(),
        };
        if let Err(error) = run.run(key, home, parent).await {
            run.note.verdict = verdict_of(&error);
            run.note.failure = Some(format_smolstr!("{error}"));
        }
        run.note.latency = began.elapsed();
        let mut notes = vec![run.note];
        notes.extend(run.below);
        notes
    }
    .boxed()
}

fn verdict_of(error: &ClientError) -> ProgramVerdict {
    match error.ran() {
        Some(RanState::No) => ProgramVerdict::RefusedNotRun,
        Some(RanState::Unknown) => ProgramVerdict::OutcomeUnknown,
        None => ProgramVerdict::Unanswered,
    }
}

impl ProgramRun<'_> {
    async fn run(
        &mut self,
        key: SmolStr,
        home: Option<SmolStr>,
        parent: Option<ProgramId>,
    ) -> Result<(), ClientError> {
        let request = BeginRequest {
            key: key.clone(),
            class: self.plan.class.clone(),
            home,
            tokens: None,
            deadline_ms: None,
            parent,
        };
        let began = self.client.begin(&request).await?;
        let program = began.body.program;
        self.note.program = Some(program.clone());
        let plan = self.plan;
        for (step, number) in plan.steps.iter().zip(0..) {
            match step {
                PlanStep::Pause(pause) => tokio::time::sleep(*pause).await,
                PlanStep::Model { prompt, answer } => {
                    self.call_model(&program, number, *prompt, *answer).await?;
                }
                PlanStep::Service {
                    service,
                    idempotent,
                } => self.call_service(&program, service, *idempotent).await?,
                PlanStep::SubAgents(plans) => {
                    let runs = plans.iter().zip(0..).map(|(plan, agent): (_, u32)| {
                        let key = format_smolstr!("{key}/{number}/{agent}");
                        run_program(self.client, plan, key, None, Some(program.clone()))
                    });
                    self.below
                        .extend(join_all(runs).await.into_iter().flatten());
                }
            }
        }
        let ended = self.client.end(&program).await?;
        self.note.tokens = Some((ended.body.tokens_used, ended.body.tokens));
        Ok(())
    }

    async fn call(
        &mut self,
        program: &ProgramId,
        body: &CallBody,
        idempotent: bool,
    ) -> Result<Value, ClientError> {
        let new: u64 = body
            .messages
            .iter()
            .flatten()
            .map(|one| text_tokens(&one.content))
            .sum();
        self.sequence += 1;
        let started = Instant::now();
        let answer = self.client.call(program, self.sequence, body).await;
        self.note.longest_gap = self.note.longest_gap.max(started.elapsed());
        let (told, attempts) = match &answer {
            Ok(answer) => (None, answer.attempts),
            Err(error) => (error.ran(), 0),
        };
        self.note.calls.push(CallNote {
            key: idempotency_key(program, self.sequence),
            idempotent,
            answered: answer.is_ok(),
            told,
            attempts,
            began: started,
            ended: Instant::now(),
            prompt_digest: body.messages.as_ref().map(|_| prompt_digest(&self.history)),
            prompt_tokens: new,
        });
        answer.map(|answer| answer.body)
    }

    async fn call_model(
        &mut self,
        program: &ProgramId,
        number: u32,
        prompt: TokenCount,
        answer: TokenCount,
    ) -> Result<(), ClientError> {
        let mut messages = Vec::new();
        if self.history.is_empty() {
            messages.push(ChatMessage {
                role: "system".into(),
                content: self.plan.shared_text(),
            });
        }
        let start = format!("[{program} step {number}] [answer-tokens={answer}] ");
        messages.push(ChatMessage {
            role: "user".into(),
            content: filler(&start, prompt),
        });
        self.history
            .extend(messages.iter().map(|message| EngineMessage {
                role: message.role.clone(),
                content: message.content.clone(),
            }));
        let body = CallBody {
            messages: Some(messages),
            max_tokens: Some(answer),
            ..CallBody::default()
        };
        let value = self.call(program, &body, true).await?;
        let text = value["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default();
        let wanted = answer_text(&self.history, usize::try_from(answer).unwrap_or(usize::MAX));
        // A budget that runs out cuts the answer; anything else has to be whole.
        if text.is_empty() || !wanted.starts_with(text) {
            self.note.wrong_answers += 1;
        }
        self.history.push(EngineMessage {
            role: "assistant".into(),
            content: text.to_owned(),
        });
        Ok(())
    }

    async fn call_service(
        &mut self,
        program: &ProgramId,
        service: &SmolStr,
        idempotent: bool,
    ) -> Result<(), ClientError> {
        let wanted = idempotency_key(program, self.sequence + 1);
        let arguments = format!("{{\"program\":\"{program}\"}}");
        let body = CallBody {
            service: Some(service.clone()),
            tool: Some("run".into()),
            arguments: RawValue::from_string(arguments).ok(),
            idempotent,
            ..CallBody::default()
        };
        let value = self.call(program, &body, idempotent).await?;
        if value["key"] != wanted.as_str() {
            self.note.wrong_answers += 1;
        }
        Ok(())
    }
}
