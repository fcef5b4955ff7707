//! Decisions on callers' requests, based on the program table and the current time.

use std::time::{Duration, SystemTime};

use super::book::{CallPhase, ProgramRecord, ProgramStatus, ProgramTable};
use super::budget::ProgramLimits;
use super::entry::{BodyDigest, CallIntent, EndReason, LogEntry, ProgramBegin, ProgramEnd};
use super::outcome::CallOutcome;
use crate::contract::{CallSpec, Refusal, RefusalKind};
use crate::ids::{ProgramId, SequenceNumber, ShardEpoch, TokenCount};

/// Retry delay for a caller whose request arrives before an earlier call has finished.
const EARLY_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Divisor of the parent's remaining tokens that gives the budget of a sub-agent whose request sets no number of tokens.
const SUB_AGENT_DIVISOR: TokenCount = 4;

/// The decision on the begin of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum BeginDecision {
    /// Append the entry, then return the number of granted tokens to the caller.
    Accept(LogEntry, TokenCount),
    /// The program exists already; return the number of granted tokens to the caller.
    Known(TokenCount),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Decides on the begin of a program, or of a sub-agent below a parent of the same shard.
#[must_use]
pub fn decide_begin(table: &ProgramTable, mut begin: ProgramBegin) -> BeginDecision {
    if let Some(known) = table.program(&begin.program) {
        // The id of a sub-agent follows from its parent's id, which another organisation may know.
        if known.begin.organisation != begin.organisation {
            return BeginDecision::Refuse(no_such_parent());
        }
        if known.begin.digest != begin.digest {
            let refusal = Refusal::not_run(RefusalKind::KeyReused, "the key began another program");
            return BeginDecision::Refuse(refusal);
        }
        return BeginDecision::Known(known.begin.limits.tokens);
    }
    if let Some(parent) = begin.parent.clone() {
        match begin_sub_agent(table, &parent, &mut begin) {
            Ok(()) => {}
            Err(refusal) => return BeginDecision::Refuse(refusal),
        }
    }
    let granted = begin.limits.tokens;
    BeginDecision::Accept(LogEntry::Begin(begin), granted)
}

/// Fits the begin of a sub-agent to the limits of its parent.
fn begin_sub_agent(
    table: &ProgramTable,
    parent: &ProgramId,
    begin: &mut ProgramBegin,
) -> Result<(), Refusal> {
    let refuse = |kind, detail: &str| Err(Refusal::not_run(kind, detail));
    let Some(parent) = visible_program(table, parent, &begin.organisation) else {
        return Err(no_such_parent());
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
    // A sub-agent that requests no number of tokens leaves some to the parent and other sub-agents.
    let left = parent.account.left();
    let share = if begin.wishes_tokens {
        left
    } else {
        left.div_ceil(SUB_AGENT_DIVISOR)
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

fn no_such_parent() -> Refusal {
    Refusal::not_run(RefusalKind::UnknownProgram, "no such parent program")
}

/// Returns a program if it belongs to the organisation.
fn visible_program<'table>(
    table: &'table ProgramTable,
    program: &str,
    organisation: &str,
) -> Option<&'table ProgramRecord> {
    let record = table.program(program)?;
    (record.begin.organisation == organisation).then_some(record)
}

/// A call that has arrived at the shard's primary, with the state that the decision depends on.
#[derive(Clone, Debug)]
pub struct CallArrival {
    /// The program.
    pub program: ProgramId,
    /// Number of the call.
    pub sequence: SequenceNumber,
    /// Digest of the request's body.
    pub digest: BodyDigest,
    /// The requested model or service call.
    pub spec: CallSpec,
    /// Organisation of the caller's access token.
    pub organisation: crate::ids::OrganisationId,
    /// Tokens that remain for the organisation in this shard.
    pub organisation_left: TokenCount,
    /// Tokens that remain for the class in this shard.
    pub class_left: TokenCount,
    /// Current epoch of the shard.
    pub epoch: ShardEpoch,
    /// Whether a dispatch of the call is running in this process.
    pub running_here: bool,
    /// Current time.
    pub now: SystemTime,
}

/// The decision on a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Append the intent, then dispatch the call.
    Accept(CallIntent),
    /// Wait for the dispatch that is running in this process.
    Join,
    /// Dispatch the call again: its outcome is unknown, and the call is idempotent.
    Redispatch(CallIntent),
    /// Never dispatch the call again; query the upstream for the outcome, which otherwise stays unknown.
    Resolve(CallIntent),
    /// Return the stored outcome.
    Replay(CallOutcome),
    /// End the program, then refuse the call.
    EndThenRefuse(ProgramEnd, Refusal),
    /// Refuse the call.
    Refuse(Refusal),
}

/// Decides on a call.
#[must_use]
pub fn decide_call(table: &ProgramTable, arrival: &CallArrival) -> CallDecision {
    let Some(program) = visible_program(table, &arrival.program, &arrival.organisation) else {
        // The program may have been removed after the call ran, so the outcome is unknown.
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
            _ if arrival.running_here => CallDecision::Join,
            CallPhase::Intended {
                reserved,
                epoch,
                accepted,
            }
            | CallPhase::Suspected {
                reserved,
                epoch,
                accepted,
                ..
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

/// Decides on a call whose intent is stored without an outcome and which is not running here.
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
        return CallDecision::Refuse(refusal.with_retry_after(EARLY_RETRY_DELAY));
    }
    if let Some((reason, refusal)) = exceeded_limit(program, arrival) {
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

/// Finds an exceeded limit that ends the program.
fn exceeded_limit(program: &ProgramRecord, arrival: &CallArrival) -> Option<(EndReason, Refusal)> {
    if arrival.now >= program.begin.deadline {
        let detail = "the program's deadline has passed";
        let refusal = Refusal::not_run(RefusalKind::DeadlinePassed, detail);
        return Some((EndReason::Deadline, refusal));
    }
    let is_repeat = program
        .calls
        .last()
        .is_some_and(|call| call.digest == arrival.digest);
    if is_repeat && program.repeats >= program.begin.limits.repeats {
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

/// The decision on the end of a program.
#[derive(Clone, Debug, PartialEq)]
pub enum EndDecision {
    /// Append the entries that end the program and its sub-agents.
    Accept(Vec<LogEntry>),
    /// The program has already ended.
    Known,
    /// Refuse the request.
    Refuse(Refusal),
}

/// Decides on the end of a program that its caller requests.
#[must_use]
pub fn decide_end(
    table: &ProgramTable,
    program: &ProgramId,
    organisation: &str,
    now: SystemTime,
) -> EndDecision {
    let Some(record) = visible_program(table, program, organisation) else {
        let refusal = Refusal::not_run(RefusalKind::UnknownProgram, "no such program");
        return EndDecision::Refuse(refusal);
    };
    if !record.is_running() {
        return EndDecision::Known;
    }
    if record.is_busy() {
        let refusal = Refusal::not_run(RefusalKind::OutOfOrder, "a call has not finished yet");
        return EndDecision::Refuse(refusal.with_retry_after(EARLY_RETRY_DELAY));
    }
    EndDecision::Accept(end_entries(table, program, EndReason::Caller, now))
}

/// Composes the entries that end a program's sub-agents and then the program.
fn end_entries(
    table: &ProgramTable,
    program: &ProgramId,
    reason: EndReason,
    now: SystemTime,
) -> Vec<LogEntry> {
    let mut entries = Vec::new();
    let mut unvisited = vec![(program.clone(), reason)];
    while let Some((program, reason)) = unvisited.pop() {
        let Some(record) = table.program(&program) else {
            continue;
        };
        if !record.is_running() {
            continue;
        }
        unvisited.extend(
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
    // Sub-agents end first, so that their accounts are settled before the parent's account.
    entries.reverse();
    entries
}

/// Composes the entries that end programs past their deadline and remove those past their retention.
///
/// Skips a busy program until its call has an outcome.
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

/// Limits the tokens that a caller requests to the maximum of its class.
#[must_use]
pub fn grant_limits(allowed: &ProgramLimits, tokens: Option<TokenCount>) -> ProgramLimits {
    ProgramLimits {
        tokens: tokens.map_or(allowed.tokens, |requested| requested.min(allowed.tokens)),
        ..allowed.clone()
    }
}
