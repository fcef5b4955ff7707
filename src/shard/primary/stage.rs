//! Command processing: decides on each command of a batch, stores the entries of all, then replies.

use std::sync::Arc;
use std::time::{Instant, SystemTime};

use tokio::sync::oneshot;

use super::{CallKey, DeposedError, PrimaryState, RunningCall};
use crate::contract::{BeginReply, CallSpec, HistoryReply, ProgramReply, Refusal, RefusalKind};
use crate::ids::{OrganisationId, ProgramId, SequenceNumber, TokenCount, UpstreamName};
use crate::program::{
    BeginDecision, CallArrival, CallDecision, CallIntent, CallOutcome, CallPhase, CallResult,
    EndDecision, EngineHold, LogEntry, ProgramBegin, ProgramRecord, UpstreamEnd, decide_begin,
    decide_call, decide_end,
};
use crate::shard::actor::reject_command;
use crate::shard::command::{CallCommand, CallReply, DispatchResult, ProgramQuery, ShardCommand};
use crate::shard::context::DispatchJob;
use crate::shard::stream::StreamBuffer;

/// An action that follows once the batch's entries are stored.
enum StagedAction {
    Begin(
        oneshot::Sender<Option<Result<BeginReply, Refusal>>>,
        Result<BeginReply, Refusal>,
    ),
    Call(oneshot::Sender<CallReply>, CallReply),
    End(
        oneshot::Sender<Option<Result<ProgramReply, Refusal>>>,
        Result<ProgramReply, Refusal>,
    ),
    Dispatch(Box<DispatchJob>),
    Finish(Arc<StreamBuffer>, CallOutcome),
    Hold(ProgramId, UpstreamName),
    Release(ProgramId, UpstreamName),
}

/// Entries to store, with the actions that follow.
#[derive(Default)]
struct StagedBatch {
    entries: Vec<LogEntry>,
    actions: Vec<StagedAction>,
}

impl PrimaryState {
    /// Serves a batch of commands.
    ///
    /// # Errors
    ///
    /// Returns [`DeposedError`] if the copy is no longer the primary's; all waiting senders have been
    /// notified.
    pub async fn serve(&mut self, commands: Vec<ShardCommand>) -> Result<(), DeposedError> {
        let mut batch = StagedBatch::default();
        let now = SystemTime::now();
        for command in commands {
            self.stage(command, now, &mut batch);
        }
        self.finish_batch(batch).await
    }

    async fn finish_batch(&mut self, mut batch: StagedBatch) -> Result<(), DeposedError> {
        if !batch.entries.is_empty() {
            let entries = std::mem::take(&mut batch.entries);
            if let Err(error) = self.commit_staged(entries).await {
                batch
                    .actions
                    .into_iter()
                    .for_each(StagedAction::reply_not_primary);
                return Err(error);
            }
        }
        for action in batch.actions {
            self.perform(action);
        }
        Ok(())
    }

    /// Replicates entries that were already applied to this copy during staging.
    async fn commit_staged(&mut self, entries: Vec<LogEntry>) -> Result<(), DeposedError> {
        let previous = self.staged_from;
        let count = entries.len() as u64;
        self.context
            .counters
            .entries
            .fetch_add(count, std::sync::atomic::Ordering::Relaxed);
        let stored = self.replicate(previous, entries).await;
        self.staged_from = self.copy.position();
        stored
    }

    /// Stores entries that no command waits for, and performs the actions that follow.
    pub(super) async fn commit_entries(
        &mut self,
        entries: Vec<LogEntry>,
    ) -> Result<(), DeposedError> {
        let mut batch = StagedBatch::default();
        for entry in entries {
            self.write(entry, &mut batch);
        }
        self.finish_batch(batch).await
    }

    fn write(&mut self, entry: LogEntry, batch: &mut StagedBatch) {
        if let LogEntry::End(end) = &entry
            && let Some(record) = self.copy.table().program(&end.program)
        {
            for upstream in &record.holds {
                let release = StagedAction::Release(end.program.clone(), upstream.clone());
                batch.actions.push(release);
            }
            let calls = record.finished_calls();
            let class = record.begin.class.clone();
            let spent = record.account.spent;
            self.context
                .dispatch
                .program_ended(&end.program, &class, calls, spent);
        }
        self.copy.write(&entry);
        batch.entries.push(entry);
    }

    fn stage(&mut self, command: ShardCommand, now: SystemTime, batch: &mut StagedBatch) {
        match command {
            ShardCommand::Begin(begin, reply) => self.stage_begin(*begin, reply, now, batch),
            ShardCommand::Call(call) => self.stage_call(*call, now, batch),
            ShardCommand::End(program, organisation, reply) => {
                self.stage_end(&program, &organisation, reply, now, batch);
            }
            ShardCommand::Query(program, organisation, query) => {
                self.answer_query(&program, &organisation, query);
            }
            ShardCommand::DispatchFinished(result) => self.stage_result(*result, now, batch),
            ShardCommand::UpstreamEnded(job) => self.stage_upstream_end(job, now, batch),
            ShardCommand::Released(program, upstream) => {
                self.holds.remove(&(program.clone(), upstream.clone()));
                let known = self.copy.table().program(&program);
                if known.is_some_and(|record| record.holds.contains(&upstream)) {
                    self.write(LogEntry::Release(EngineHold { program, upstream }), batch);
                }
            }
            ShardCommand::AuditHold(program, upstream) => {
                let known = self.copy.table().program(&program);
                if !known.is_some_and(|record| record.holds.contains(&upstream)) {
                    batch.actions.push(StagedAction::Release(program, upstream));
                }
            }
            ShardCommand::Drain => self.draining = true,
            ShardCommand::Dump(reply) => drop(reply.send(self.dump())),
            other @ (ShardCommand::Append(..) | ShardCommand::Install(..)) => reject_command(other),
        }
    }

    fn stage_begin(
        &mut self,
        begin: ProgramBegin,
        reply: oneshot::Sender<Option<Result<BeginReply, Refusal>>>,
        now: SystemTime,
        batch: &mut StagedBatch,
    ) {
        let program = begin.program.clone();
        let answer = match decide_begin(self.copy.table(), begin) {
            BeginDecision::Accept(_, _) if self.draining => {
                let detail = "the instance is shutting down";
                Err(Refusal::not_run(RefusalKind::ShuttingDown, detail)
                    .with_retry_after(self.context.settings.tick))
            }
            BeginDecision::Accept(entry, tokens) => {
                if let Some(refusal) = self.refuse_begin(&entry, now) {
                    Err(refusal)
                } else {
                    self.write(entry, batch);
                    Ok(BeginReply { program, tokens })
                }
            }
            BeginDecision::Known(tokens) => Ok(BeginReply { program, tokens }),
            BeginDecision::Refuse(refusal) => Err(refusal),
        };
        batch.actions.push(StagedAction::Begin(reply, answer));
    }

    /// Returns a refusal for a program that could not be served before its deadline.
    ///
    /// Sub-agents are exempt because their parent program has been accepted.
    fn refuse_begin(&self, entry: &LogEntry, now: SystemTime) -> Option<Refusal> {
        match entry {
            LogEntry::Begin(begin) if begin.parent.is_none() => {
                self.context
                    .dispatch
                    .admit(&begin.class, begin.deadline, now)
            }
            _ => None,
        }
    }

    fn stage_end(
        &mut self,
        program: &ProgramId,
        organisation: &OrganisationId,
        reply: oneshot::Sender<Option<Result<ProgramReply, Refusal>>>,
        now: SystemTime,
        batch: &mut StagedBatch,
    ) {
        let answer = match decide_end(self.copy.table(), program, organisation, now) {
            EndDecision::Accept(entries) => {
                for entry in entries {
                    self.write(entry, batch);
                }
                self.program_reply(program, organisation)
            }
            EndDecision::Known => self.program_reply(program, organisation),
            EndDecision::Refuse(refusal) => Err(refusal),
        };
        batch.actions.push(StagedAction::End(reply, answer));
    }

    fn visible_program(
        &self,
        program: &ProgramId,
        organisation: &OrganisationId,
    ) -> Result<&ProgramRecord, Refusal> {
        self.copy
            .table()
            .program(program)
            .filter(|record| record.begin.organisation == *organisation)
            .ok_or_else(|| Refusal::unknown(RefusalKind::UnknownProgram, "no such program"))
    }

    fn program_reply(
        &self,
        program: &ProgramId,
        organisation: &OrganisationId,
    ) -> Result<ProgramReply, Refusal> {
        let record = self.visible_program(program, organisation)?;
        let status = if record.is_running() {
            "running"
        } else {
            "ended"
        };
        Ok(ProgramReply {
            program: program.clone(),
            status: status.into(),
            calls: record.finished_calls(),
            tokens_used: record.account.used(),
            tokens: record.account.limit,
        })
    }

    fn answer_query(
        &self,
        program: &ProgramId,
        organisation: &OrganisationId,
        query: ProgramQuery,
    ) {
        match query {
            ProgramQuery::Program(reply) => {
                let _ = reply.send(self.program_reply(program, organisation));
            }
            ProgramQuery::History(reply) => {
                let history =
                    self.visible_program(program, organisation)
                        .map(|record| HistoryReply {
                            messages: record.history_before(SequenceNumber::MAX),
                        });
                let _ = reply.send(history);
            }
            ProgramQuery::Call(sequence, reply) => {
                let _ = reply.send(self.call_reply(program, organisation, sequence));
            }
        }
    }

    fn call_reply(
        &self,
        program: &ProgramId,
        organisation: &OrganisationId,
        sequence: SequenceNumber,
    ) -> CallReply {
        let record = match self.visible_program(program, organisation) {
            Ok(record) => record,
            Err(refusal) => return CallReply::Refused(refusal),
        };
        let unknown = || {
            let detail = format!("call {sequence} has not come yet");
            CallReply::Refused(Refusal::not_run(RefusalKind::OutOfOrder, detail))
        };
        let Some(call) = record.call(sequence) else {
            return unknown();
        };
        if let CallPhase::Finished(outcome) = &call.phase {
            return CallReply::Outcome(outcome.clone());
        }
        if let Some(running) = self.running.get(&(program.clone(), sequence)) {
            return CallReply::Stream(running.stream.clone());
        }
        let detail = "the call waits to be asked for again after a change of primary";
        CallReply::Refused(Refusal::unknown(RefusalKind::ShardUnavailable, detail))
    }

    /// Returns the tokens that remain for this shard of an allowance that all shards share equally.
    fn share_left(&self, allowance: Option<TokenCount>, used: TokenCount) -> TokenCount {
        let Some(allowance) = allowance else {
            return TokenCount::MAX;
        };
        let shards = self
            .context
            .maps
            .map(&self.shard.domain)
            .map_or(1, |map| map.map.shards.len());
        let share_count = shards.max(1) * self.context.config.load().domain_count();
        (allowance / share_count as u64).saturating_sub(used)
    }

    fn call_arrival(&self, call: &CallCommand, key: &CallKey, now: SystemTime) -> CallArrival {
        let config = self.context.config.load();
        let table = self.copy.table();
        let organisation = config.organisation(&call.organisation);
        let class = table
            .program(&call.program)
            .map(|record| record.begin.class.clone());
        let class = class.unwrap_or_default();
        let class_tokens = config.class(&class).and_then(|spec| spec.class_tokens);
        CallArrival {
            program: call.program.clone(),
            sequence: call.sequence,
            digest: call.digest,
            spec: call.spec.clone(),
            organisation: call.organisation.clone(),
            organisation_left: self.share_left(
                organisation.and_then(|spec| spec.tokens),
                table.organisation_used(&call.organisation),
            ),
            class_left: self.share_left(class_tokens, table.class_used(&class)),
            epoch: self.copy.epoch(),
            running_here: self.running.contains_key(key),
            now,
        }
    }

    fn stage_call(&mut self, call: CallCommand, now: SystemTime, batch: &mut StagedBatch) {
        let key = (call.program.clone(), call.sequence);
        let arrival = self.call_arrival(&call, &key, now);
        let decision = decide_call(self.copy.table(), &arrival);
        let answer = match decision {
            CallDecision::Accept(intent) => {
                if let Some(refusal) = self.refuse_intent(&intent) {
                    CallReply::Refused(refusal)
                } else {
                    self.write(LogEntry::Intent(intent.clone()), batch);
                    self.start_call(key, intent, false, batch)
                }
            }
            CallDecision::Join => {
                let running = self.running.get(&key);
                running.map_or(CallReply::NotPrimary, |call| {
                    CallReply::Stream(call.stream.clone())
                })
            }
            CallDecision::Redispatch(intent) | CallDecision::Resolve(intent) => {
                self.start_call(key, intent, true, batch)
            }
            CallDecision::Replay(outcome) => CallReply::Outcome(outcome),
            CallDecision::EndThenRefuse(end, refusal) => {
                self.write(LogEntry::End(end), batch);
                CallReply::Refused(refusal)
            }
            CallDecision::Refuse(refusal) => CallReply::Refused(refusal),
        };
        batch.actions.push(StagedAction::Call(call.reply, answer));
    }

    /// Returns a refusal for a new call that this primary must not start in its current state.
    fn refuse_intent(&self, intent: &CallIntent) -> Option<Refusal> {
        let wait = self.context.settings.tick;
        if self.draining {
            let detail = "the instance is shutting down";
            let refusal = Refusal::not_run(RefusalKind::ShuttingDown, detail);
            return Some(refusal.with_retry_after(wait));
        }
        if self.detached && !intent.spec.is_idempotent() {
            let detail = "the failure domain is cut off, and the call must not come twice";
            let refusal = Refusal::not_run(RefusalKind::Unprotected, detail);
            return Some(refusal.with_retry_after(wait * 5));
        }
        self.unknown_upstream(intent)
    }

    /// Returns a refusal for a new call to a model or service that no record names.
    ///
    /// Such a call would otherwise wait until its deadline.
    fn unknown_upstream(&self, intent: &CallIntent) -> Option<Refusal> {
        let config = self.context.config.load();
        if config.revision() == 0 {
            // The configuration is not loaded yet, so a missing record proves nothing.
            return None;
        }
        let detail = match &intent.spec {
            CallSpec::Service(call) if config.serves_service(&call.service) => return None,
            CallSpec::Service(call) => format!("no record names the service `{}`", call.service),
            CallSpec::Model(call) => {
                let record = self.copy.table().program(&intent.program)?;
                let model = config.wanted_model(call.model.as_ref(), &record.begin.class)?;
                if config.serves_model(&model) {
                    return None;
                }
                format!("no record of an upstream names the model `{model}`")
            }
        };
        Some(Refusal::not_run(RefusalKind::UnknownUpstream, detail))
    }

    fn start_call(
        &mut self,
        key: CallKey,
        intent: CallIntent,
        redispatch: bool,
        batch: &mut StagedBatch,
    ) -> CallReply {
        let stream = Arc::new(StreamBuffer::default());
        let cancel = self.tenure.child_token();
        let idempotent = intent.spec.is_idempotent();
        let running = RunningCall {
            stream: stream.clone(),
            cancel: cancel.clone(),
            idempotent,
        };
        if let Some(record) = self.copy.table().program(&key.0) {
            let job = DispatchJob {
                shard: self.shard.clone(),
                epoch: self.copy.epoch(),
                history: record.history_before(key.1),
                class: record.begin.class.clone(),
                organisation: record.begin.organisation.clone(),
                began: record.begin.began,
                deadline: record.begin.deadline,
                attained: record.account.spent,
                pause: intent
                    .accepted
                    .duration_since(record.last_finished)
                    .unwrap_or_default(),
                holding_upstream: record.holds.first().cloned(),
                failures: 0,
                avoid: None,
                redispatch,
                resolve_only: redispatch && !idempotent,
                stream: stream.clone(),
                done: self.sender.clone(),
                cancel,
                intent,
            };
            batch.actions.push(StagedAction::Dispatch(Box::new(job)));
        }
        self.running.insert(key, running);
        CallReply::Stream(stream)
    }

    fn stage_result(&mut self, result: DispatchResult, now: SystemTime, batch: &mut StagedBatch) {
        let key = (result.program.clone(), result.sequence);
        let Some(running) = self.running.remove(&key) else {
            return;
        };
        let call_result = CallResult {
            program: result.program.clone(),
            sequence: result.sequence,
            outcome: result.outcome.clone(),
            used: result.used,
            finished: now,
        };
        self.write(LogEntry::Result(call_result), batch);
        self.stage_hold(&result, batch);
        batch
            .actions
            .push(StagedAction::Finish(running.stream, result.outcome));
    }

    /// Records that an upstream ended while it ran a call, then sends the call to another one if it may.
    fn stage_upstream_end(
        &mut self,
        job: Box<DispatchJob>,
        now: SystemTime,
        batch: &mut StagedBatch,
    ) {
        let key = (job.intent.program.clone(), job.intent.sequence);
        if !self.running.contains_key(&key) {
            return;
        }
        let end = UpstreamEnd {
            program: key.0.clone(),
            sequence: key.1,
            ended: now,
        };
        self.write(LogEntry::UpstreamEnded(end), batch);
        let record = self.copy.table().program(&key.0);
        let phase = record.and_then(|record| Some(&record.call(key.1)?.phase));
        if let Some(CallPhase::Finished(outcome)) = phase {
            let outcome = outcome.clone();
            let running = self.running.remove(&key);
            let streams = running.map(|running| StagedAction::Finish(running.stream, outcome));
            batch.actions.extend(streams);
            return;
        }
        batch.actions.push(StagedAction::Dispatch(job));
    }

    /// Decides whether the engine that has just served a program should hold its prefix.
    fn stage_hold(&mut self, result: &DispatchResult, batch: &mut StagedBatch) {
        let Some(record) = self.copy.table().program(&result.program) else {
            return;
        };
        let Some(upstream) = result.hold.clone() else {
            return;
        };
        let class = record.begin.class.clone();
        let tokens = match &result.outcome {
            CallOutcome::Answer { usage, .. } => usage.prompt_tokens + usage.completion_tokens,
            _ => 0,
        };
        let wanted =
            record.is_running() && self.context.dispatch.should_hold(&class, &upstream, tokens);
        let others: Vec<UpstreamName> = record
            .holds
            .iter()
            .filter(|holder| **holder != upstream || !wanted)
            .cloned()
            .collect();
        let known = record.holds.contains(&upstream);
        for other in others {
            batch
                .actions
                .push(StagedAction::Release(result.program.clone(), other));
        }
        if !wanted {
            return;
        }
        if !known {
            let hold = EngineHold {
                program: result.program.clone(),
                upstream: upstream.clone(),
            };
            self.write(LogEntry::Hold(hold), batch);
        }
        self.holds
            .insert((result.program.clone(), upstream.clone()), Instant::now());
        batch
            .actions
            .push(StagedAction::Hold(result.program.clone(), upstream));
    }

    fn perform(&mut self, action: StagedAction) {
        // A dropped receiver no longer needs the reply.
        match action {
            StagedAction::Begin(reply, answer) => drop(reply.send(Some(answer))),
            StagedAction::Call(reply, answer) => drop(reply.send(answer)),
            StagedAction::End(reply, answer) => drop(reply.send(Some(answer))),
            StagedAction::Dispatch(job) => self.dispatch(*job),
            StagedAction::Finish(stream, outcome) => stream.finish(outcome),
            StagedAction::Hold(program, upstream) => self.context.dispatch.hold(program, upstream),
            StagedAction::Release(program, upstream) => self.release(program, upstream),
        }
    }

    pub(super) fn dispatch(&mut self, job: DispatchJob) {
        let may_dispatch = job.intent.spec.is_idempotent() || job.resolve_only || !self.detached;
        if may_dispatch {
            self.context.dispatch.dispatch(job);
        } else {
            self.deferred.push(job);
        }
    }
}

impl StagedAction {
    fn reply_not_primary(self) {
        match self {
            Self::Begin(reply, _) => drop(reply.send(None)),
            Self::Call(reply, _) => drop(reply.send(CallReply::NotPrimary)),
            Self::End(reply, _) => drop(reply.send(None)),
            Self::Finish(stream, _) => stream.close(),
            Self::Dispatch(job) => job.stream.close(),
            Self::Hold(..) | Self::Release(..) => {}
        }
    }
}
