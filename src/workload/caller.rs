//! Caller that runs a program plan and records the responses.

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

/// Outcome of a program for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgramVerdict {
    /// Every step has a response and the program was ended.
    Finished,
    /// A request was refused and did not run.
    RefusedNotRun,
    /// A request was refused, and whether it ran is unknown: for example, a call that must not be repeated lost its
    /// response.
    OutcomeUnknown,
    /// The client's retry timeout passed without a final response.
    Unanswered,
}

/// Call as its caller observed it.
#[derive(Clone, Debug)]
pub struct ObservedCall {
    /// Idempotency key of the call.
    pub key: SmolStr,
    /// Whether the call may be repeated.
    pub idempotent: bool,
    /// Whether the call has a successful response.
    pub answered: bool,
    /// Whether the call ran, as a permanent refusal reported it.
    pub reported_ran: Option<RanState>,
    /// Number of attempts; 0 if the call has no successful response.
    pub attempts: u32,
    /// When the first attempt was made.
    pub began: Instant,
    /// When the final response arrived or the client gave up.
    pub ended: Instant,
    /// Digest of the conversation that the engine has to receive; `None` for calls of a service.
    pub prompt_digest: Option<u64>,
    /// Tokens that the call adds to the prompt.
    pub prompt_tokens: TokenCount,
}

/// Program as its caller observed it.
#[derive(Clone, Debug)]
pub struct ObservedProgram {
    /// Id of the program, once it has started.
    pub program: Option<ProgramId>,
    /// Class of the program.
    pub class: SmolStr,
    /// Outcome of the program.
    pub verdict: ProgramVerdict,
    /// Time from the first attempt to start the program to the last response.
    pub latency: Duration,
    /// When the first attempt was made.
    pub began: Instant,
    /// Calls of the program.
    pub calls: Vec<ObservedCall>,
    /// Responses that differ from the expected ones.
    pub wrong_answers: u32,
    /// Tokens used, as the system reports them at the end, and the budget.
    pub tokens: Option<(TokenCount, TokenCount)>,
    /// Longest time between two final responses without pauses: the duration of the longest call.
    pub longest_gap: Duration,
    /// Refusal or failure that ended the program early.
    pub failure: Option<SmolStr>,
}

struct ProgramRun<'run> {
    client: &'run CallerClient,
    plan: &'run ProgramPlan,
    program: ObservedProgram,
    history: Vec<EngineMessage>,
    sequence: SequenceNumber,
    sub_agents: Vec<ObservedProgram>,
}

/// Runs a plan and returns the observed program, followed by its sub-agents.
///
/// The expected responses are those of the stand-in engine and services.
#[must_use]
pub fn run_program<'run>(
    client: &'run CallerClient,
    plan: &'run ProgramPlan,
    key: SmolStr,
    home: Option<SmolStr>,
    parent: Option<ProgramId>,
) -> BoxFuture<'run, Vec<ObservedProgram>> {
    async move {
        let began = Instant::now();
        let program = ObservedProgram {
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
            program,
            history: Vec::new(),
            sequence: 0,
            sub_agents: Vec::new(),
        };
        if let Err(error) = run.run(key, home, parent).await {
            run.program.verdict = verdict_for(&error);
            run.program.failure = Some(format_smolstr!("{error}"));
        }
        run.program.latency = began.elapsed();
        let mut programs = vec![run.program];
        programs.extend(run.sub_agents);
        programs
    }
    .boxed()
}

fn verdict_for(error: &ClientError) -> ProgramVerdict {
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
        self.program.program = Some(program.clone());
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
                    self.sub_agents
                        .extend(join_all(runs).await.into_iter().flatten());
                }
            }
        }
        let ended = self.client.end(&program).await?;
        self.program.tokens = Some((ended.body.tokens_used, ended.body.tokens));
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
            .map(|message| text_tokens(&message.content))
            .sum();
        self.sequence += 1;
        let started = Instant::now();
        let answer = self.client.call(program, self.sequence, body).await;
        self.program.longest_gap = self.program.longest_gap.max(started.elapsed());
        let (reported_ran, attempts) = match &answer {
            Ok(answer) => (None, answer.attempts),
            Err(error) => (error.ran(), 0),
        };
        self.program.calls.push(ObservedCall {
            key: idempotency_key(program, self.sequence),
            idempotent,
            answered: answer.is_ok(),
            reported_ran,
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
        let expected = answer_text(&self.history, usize::try_from(answer).unwrap_or(usize::MAX));
        // An exhausted budget truncates the response, so that any non-empty prefix of the expected text is correct.
        if text.is_empty() || !expected.starts_with(text) {
            self.program.wrong_answers += 1;
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
        let expected = idempotency_key(program, self.sequence + 1);
        let arguments = format!("{{\"program\":\"{program}\"}}");
        let body = CallBody {
            service: Some(service.clone()),
            tool: Some("run".into()),
            arguments: RawValue::from_string(arguments).ok(),
            idempotent,
            ..CallBody::default()
        };
        let value = self.call(program, &body, idempotent).await?;
        if value["key"] != expected.as_str() {
            self.program.wrong_answers += 1;
        }
        Ok(())
    }
}
