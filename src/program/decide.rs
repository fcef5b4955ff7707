//! Decisions about a caller's request, from a table and a time.

use std::time::{Duration, SystemTime};

use super::book::{CallPhase, ProgramRecord, ProgramStatus, ProgramTable};
use super::budget::ProgramLimits;
use super::entry::{BodyDigest, CallIntent, EndReason, LogEntry, ProgramBegin, ProgramEnd};
use super::outcome::CallOutcome;
use crate::contract::{CallSpec, Refusal, RefusalKind};
use crate::ids::{ProgramId, SequenceNumber, ShardEpoch, TokenCount};

/// When a caller that came too early should ask again.
const EARLY_RETRY: Duration = Duration::from_millis(200);

/// Part of its parent's tokens that a sub-agent gets which does not say how many it wants.
const SUB_AGENT_SHARE: TokenCount = 4;

/// What to do about the begin of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginDecision {
    /// Append the entry, then tell the caller the tokens granted.
    Accept(LogEntry, TokenCount),
    /// The program is known; tell the caller the tokens granted.
    Known(TokenCount),
    /// Refuse.
    Refuse(Refusal),
}

/// Decides about the begin of a program, or of a sub-agent below a parent of the same shard.
#[must_use]
pub fn decide_begin(table: &ProgramTable, mut begin: ProgramBegin) -> BeginDecision {
    if let Some(known) = table.program(&begin.program) {
        if known.begin.digest != begin.digest {
            let refusal = Refusal::not_run(RefusalKind::KeyReused, "the key began another program");
            return BeginDecision::Refuse(refusal);
        }
        return BeginDecision::Known(known.begin.limits.tokens);
    }
    if let Some(parent) = begin.parent.clone() {
        match begin_below(table, &parent, &mut begin) {
            Ok(()) => {}
            Err(refusal) => return BeginDecision::Refuse(refusal),
        }
    }
    let granted = begin.limits.tokens;
    BeginDecision::Accept(LogEntry::Begin(begin), granted)
}

fn begin_below(
    table: &ProgramTable,
    parent: &ProgramId,
    begin: &mut ProgramBegin,
) -> Result<(), Refusal> {
    let refuse = |kind, detail: &str| Err(Refusal::not_run(kind, detail));
    let Some(parent) = visible(table, parent, &begin.organisation) else {
        return refuse(RefusalKind::UnknownProgram, "no such parent program");
    };
    if !parent.is_running() {
        return refuse(RefusalKind::ProgramEnded, "the parent program has ended");
    }
    if parent.begin.depth >= parent.begin.limits.depth {
        return refuse(
            RefusalKind::BudgetExhausted,
            "sub-agents are nested too deeply",
        );
    }
    // Without a wish of its own a sub-agent leaves room for the parent and for others.
    let left = parent.account.left();
    let share = if begin.wishes_tokens {
        left
    } else {
        left.div_ceil(SUB_AGENT_SHARE)
    };
    begin.limits.tokens = begin.limits.tokens.min(share);
    if begin.limits.tokens == 0 {
        return refuse(
            RefusalKind::BudgetExhausted,
            "the parent program has no tokens left",
        );
    }
    begin.limits.depth = parent.begin.limits.depth;
    begin.depth = parent.begin.depth + 1;
    begin.deadline = begin.deadline.min(parent.begin.deadline);
    Ok(())
}

/// Returns a program where the organisation may see it.
fn visible<'table>(
    table: &'table ProgramTable,
    program: &str,
    organisation: &str,
) -> Option<&'table ProgramRecord> {
    let record = table.program(program)?;
    (record.begin.organisation == organisation).then_some(record)
}

/// A call as it reaches the shard's primary.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the body.
    pub digest: BodyDigest,
    /// What is asked for.
    pub spec: CallSpec,
    /// Organisation of the caller's token.
    pub organisation: crate::ids::OrganisationId,
    /// Tokens that the organisation may still use in this shard.
    pub organisation_left: TokenCount,
    /// Tokens that the class may still use in this shard.
    pub class_left: TokenCount,
    /// Current epoch of the shard.
    pub epoch: ShardEpoch,
    /// Whether this process runs the call's dispatch already.
    pub running_here: bool,
    /// Current time.
    pub now: SystemTime,
}

/// What to do about a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Append the intent, then dispatch.
    Accept(CallIntent),
    /// Wait for the dispatch that is under way here.
    Join,
    /// Dispatch again: the outcome is not known, and repeating does no harm.
    Redispatch(CallIntent),
    /// Never dispatch again: ask the upstream for the outcome, else it stays unknown.
    Resolve(CallIntent),
    /// Return the stored outcome.
    Replay(CallOutcome),
    /// End the program, then refuse.
    EndThenRefuse(ProgramEnd, Refusal),
    /// Refuse.
    Refuse(Refusal),
}

/// Decides about a call.
#[must_use]
pub fn decide_call(table: &ProgramTable, arrival: &CallArrival) -> CallDecision {
    let Some(program) = visible(table, &arrival.program, &arrival.organisation) else {
        // It may have been forgotten, and the call may have run before that.
        let refusal = Refusal::unknown(RefusalKind::UnknownProgram, "no such program");
        return CallDecision::Refuse(refusal);
    };
    if let Some(known) = program.call(arrival.sequence) {
        if known.digest != arrival.digest {
            let detail = "the sequence number came with another body";
            return CallDecision::Refuse(Refusal::not_run(RefusalKind::KeyReused, detail));
        }
        return match &known.phase {
            CallPhase::Finished(outcome) => CallDecision::Replay(outcome.clone()),
            CallPhase::Intended { .. } if arrival.running_here => CallDecision::Join,
            CallPhase::Intended {
                reserved,
                epoch,
                accepted,
            } => {
                let intent = CallIntent {
                    spec: known.spec.clone(),
                    reserved: *reserved,
                    epoch: *epoch,
                    accepted: *accepted,
                    ..intent_for(arrival, 0)
                };
                take_over_call(intent)
            }
        };
    }
    accept_call(program, arrival)
}

/// Decides about a call whose intent an earlier process has left without an outcome.
fn take_over_call(intent: CallIntent) -> CallDecision {
    if intent.spec.is_idempotent() {
        return CallDecision::Redispatch(intent);
    }
    CallDecision::Resolve(intent)
}

fn accept_call(program: &ProgramRecord, arrival: &CallArrival) -> CallDecision {
    let refuse = |kind, detail: &str| CallDecision::Refuse(Refusal::not_run(kind, detail));
    if let ProgramStatus::Ended { reason, .. } = program.status {
        return match reason {
            EndReason::Caller | EndReason::Parent => {
                refuse(RefusalKind::ProgramEnded, "the program has ended")
            }
            EndReason::Deadline => refuse(
                RefusalKind::DeadlinePassed,
                "the program's deadline has passed",
            ),
            EndReason::Loop => refuse(
                RefusalKind::LoopDetected,
                "the program was ended for repeating itself",
            ),
        };
    }
    let next = program.next_sequence();
    if arrival.sequence != next || program.is_busy() {
        let detail = format!("call {next} is the next new one, after the answer of the one before");
        let refusal = Refusal::not_run(RefusalKind::OutOfOrder, detail);
        return CallDecision::Refuse(refusal.with_retry_after(EARLY_RETRY));
    }
    if let Some((reason, refusal)) = broken_limit(program, arrival) {
        let end = ProgramEnd {
            program: arrival.program.clone(),
            reason,
            ended: arrival.now,
        };
        return CallDecision::EndThenRefuse(end, refusal);
    }
    if program.calls.len() >= program.begin.limits.calls as usize {
        return refuse(
            RefusalKind::BudgetExhausted,
            "the program has used up its calls",
        );
    }
    reserve_call(program, arrival)
}

/// Finds a limit whose breach ends the program.
fn broken_limit(program: &ProgramRecord, arrival: &CallArrival) -> Option<(EndReason, Refusal)> {
    if arrival.now >= program.begin.deadline {
        let detail = "the program's deadline has passed";
        let refusal = Refusal::not_run(RefusalKind::DeadlinePassed, detail);
        return Some((EndReason::Deadline, refusal));
    }
    let same = program
        .calls
        .last()
        .is_some_and(|call| call.digest == arrival.digest);
    if same && program.repeats >= program.begin.limits.repeats {
        let detail = format!("the same call came {} times in a row", program.repeats);
        let refusal = Refusal::not_run(RefusalKind::LoopDetected, detail);
        return Some((EndReason::Loop, refusal));
    }
    None
}

fn reserve_call(program: &ProgramRecord, arrival: &CallArrival) -> CallDecision {
    let left = program
        .account
        .left()
        .min(arrival.organisation_left)
        .min(arrival.class_left);
    let prompt = arrival.spec.prompt_tokens();
    let CallSpec::Model(model) = &arrival.spec else {
        return CallDecision::Accept(intent_for(arrival, 0));
    };
    if prompt >= left {
        let detail = format!("the call needs {} tokens, {left} are left", prompt + 1);
        return CallDecision::Refuse(Refusal::not_run(RefusalKind::BudgetExhausted, detail));
    }
    let mut capped = model.clone();
    capped.max_tokens = model.max_tokens.min(left - prompt);
    let reserved = prompt + capped.max_tokens;
    CallDecision::Accept(CallIntent {
        spec: CallSpec::Model(capped),
        ..intent_for(arrival, reserved)
    })
}

fn intent_for(arrival: &CallArrival, reserved: TokenCount) -> CallIntent {
    CallIntent {
        program: arrival.program.clone(),
        sequence: arrival.sequence,
        digest: arrival.digest,
        spec: arrival.spec.clone(),
        reserved,
        epoch: arrival.epoch,
        accepted: arrival.now,
    }
}

/// What to do about the end of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum EndDecision {
    /// Append the entries, which end the program and its sub-agents.
    Accept(Vec<LogEntry>),
    /// It has ended already.
    Known,
    /// Refuse.
    Refuse(Refusal),
}

/// Decides about the end of a program by its caller.
#[must_use]
pub fn decide_end(
    table: &ProgramTable,
    program: &ProgramId,
    organisation: &str,
    now: SystemTime,
) -> EndDecision {
    let Some(record) = visible(table, program, organisation) else {
        let refusal = Refusal::not_run(RefusalKind::UnknownProgram, "no such program");
        return EndDecision::Refuse(refusal);
    };
    if !record.is_running() {
        return EndDecision::Known;
    }
    if record.is_busy() {
        let refusal = Refusal::not_run(RefusalKind::OutOfOrder, "a call has not finished yet");
        return EndDecision::Refuse(refusal.with_retry_after(EARLY_RETRY));
    }
    EndDecision::Accept(end_entries(table, program, EndReason::Caller, now))
}

/// Composes the entries that end a program after its sub-agents.
fn end_entries(
    table: &ProgramTable,
    program: &ProgramId,
    reason: EndReason,
    now: SystemTime,
) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    let mut open = vec![(program.clone(), reason)];
    while let Some((program, reason)) = open.pop() {
        let Some(record) = table.program(&program) else {
            continue;
        };
        if !record.is_running() {
            continue;
        }
        open.extend(
            record
                .children
                .iter()
                .map(|child| (child.clone(), EndReason::Parent)),
        );
        entries.push(LogEntry::End(ProgramEnd {
            program,
            reason,
            ended: now,
        }));
    }
    // Sub-agents first, so that their accounts settle before their parent's closes.
    entries.reverse();
    entries
}

/// Composes the entries that end programs past their deadline and forget old ones.
///
/// A busy program is left until its call has an outcome.
#[must_use]
pub fn sweep_expired(table: &ProgramTable, now: SystemTime, retention: Duration) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    for (program, record) in table.programs() {
        match record.status {
            ProgramStatus::Running if now >= record.begin.deadline && !record.is_busy() => {
                entries.extend(end_entries(table, program, EndReason::Deadline, now));
            }
            ProgramStatus::Ended { at, .. } => {
                let age = now.duration_since(at).unwrap_or_default();
                if age >= retention && record.holds.is_empty() && !record.is_busy() {
                    entries.push(LogEntry::Forget(program.clone()));
                }
            }
            ProgramStatus::Running => {}
        }
    }
    entries
}

/// Cuts a caller's wish to what its class allows.
#[must_use]
pub fn grant_limits(allowed: &ProgramLimits, tokens: Option<TokenCount>) -> ProgramLimits {
    ProgramLimits {
        tokens: tokens.map_or(allowed.tokens, |wish| wish.min(allowed.tokens)),
        ..allowed.clone()
    }
}
