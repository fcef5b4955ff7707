//! The program table of a shard: the state of all its programs, built from log entries.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::SystemTime;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::budget::BudgetAccount;
use super::entry::{
    BodyDigest, CallIntent, CallResult, EndReason, LogEntry, ProgramBegin, ProgramEnd, UpstreamEnd,
};
use super::outcome::CallOutcome;
use crate::contract::{CallSpec, ChatMessage, Refusal, RefusalKind};
use crate::ids::{
    ClassName, OrganisationId, ProgramId, SequenceNumber, ShardEpoch, TokenCount, UpstreamName,
};

/// Number of upstreams that may end while they run one call. An upstream may also end because of another call that it runs.
pub const MAX_ENDED_UPSTREAMS: usize = 3;

/// The progress of a call.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CallPhase {
    /// The call was accepted and may have been dispatched; its outcome is not known.
    Intended {
        /// Tokens reserved.
        reserved: TokenCount,
        /// Epoch of the shard in which the call was accepted.
        epoch: ShardEpoch,
        /// Time at which the call was accepted.
        accepted: SystemTime,
    },
    /// The call has its final outcome.
    Finished(CallOutcome),
    /// As `Intended`, and upstreams have ended while they ran the call.
    Suspected {
        /// Tokens reserved.
        reserved: TokenCount,
        /// Epoch of the shard in which the call was accepted.
        epoch: ShardEpoch,
        /// Time at which the call was accepted.
        accepted: SystemTime,
        /// Number of the upstreams.
        ended: usize,
    },
}

impl CallPhase {
    /// Returns the tokens reserved; `None` if the call has its outcome.
    #[must_use]
    pub fn reserved(&self) -> Option<TokenCount> {
        match self {
            Self::Intended { reserved, .. } | Self::Suspected { reserved, .. } => Some(*reserved),
            Self::Finished(_) => None,
        }
    }

    /// Returns the phase after one more upstream has ended while it ran the call: a call that has ended as many as it may
    /// gets its final outcome.
    fn after_upstream_end(&self) -> Self {
        let (reserved, epoch, accepted, ended) = match self {
            Self::Finished(_) => return self.clone(),
            Self::Intended {
                reserved,
                epoch,
                accepted,
            } => (*reserved, *epoch, *accepted, 0),
            Self::Suspected {
                reserved,
                epoch,
                accepted,
                ended,
            } => (*reserved, *epoch, *accepted, *ended),
        };
        let ended = ended + 1;
        if ended >= MAX_ENDED_UPSTREAMS {
            let detail = format!("{ended} upstreams broke off the call and may have ended");
            let refusal = Refusal::unknown(RefusalKind::UpstreamFailed, detail);
            return Self::Finished(CallOutcome::Refused(refusal));
        }
        Self::Suspected {
            reserved,
            epoch,
            accepted,
            ended,
        }
    }
}

/// One call of a program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct CallRecord {
    /// Digest of the request's body.
    pub digest: BodyDigest,
    /// The requested model or service call.
    pub spec: CallSpec,
    /// Progress of the call.
    pub phase: CallPhase,
}

/// Whether a program accepts further calls.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub enum ProgramStatus {
    /// The program accepts calls.
    Running,
    /// The program has ended.
    Ended {
        /// Why the program ended.
        reason: EndReason,
        /// Time at which the program ended.
        at: SystemTime,
    },
}

/// The state of one program.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProgramRecord {
    /// The entry that began the program.
    pub begin: ProgramBegin,
    /// Token account.
    pub account: BudgetAccount,
    /// Calls in order of their sequence numbers.
    pub calls: Vec<CallRecord>,
    /// Engines that may hold the program's prefix in their caches.
    pub holds: BTreeSet<UpstreamName>,
    /// Whether the program accepts further calls.
    pub status: ProgramStatus,
    /// Sub-agents that draw on this program's budget.
    pub children: Vec<ProgramId>,
    /// Time at which the last call finished; the begin of the program before that.
    pub last_finished: SystemTime,
    /// Number of consecutive calls with the last call's body.
    pub repeats: u16,
}

impl ProgramRecord {
    /// Returns a call by its sequence number.
    #[must_use]
    pub fn call(&self, sequence: SequenceNumber) -> Option<&CallRecord> {
        let index = usize::try_from(sequence).ok()?.checked_sub(1)?;
        self.calls.get(index)
    }

    /// Returns the sequence number that the next new call must have.
    #[must_use]
    pub fn next_sequence(&self) -> SequenceNumber {
        SequenceNumber::try_from(self.calls.len())
            .unwrap_or(SequenceNumber::MAX)
            .saturating_add(1)
    }

    /// Returns whether the last call has no outcome yet.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.calls
            .last()
            .is_some_and(|call| call.phase.reserved().is_some())
    }

    /// Returns whether the program accepts calls.
    #[must_use]
    pub fn is_running(&self) -> bool {
        self.status == ProgramStatus::Running
    }

    /// Returns the conversation of the calls before `sequence`.
    #[must_use]
    pub fn history_before(&self, sequence: SequenceNumber) -> Vec<ChatMessage> {
        let earlier_calls = usize::try_from(sequence)
            .unwrap_or(usize::MAX)
            .saturating_sub(1);
        let mut messages = Vec::new();
        for call in self.calls.iter().take(earlier_calls) {
            let CallSpec::Model(spec) = &call.spec else {
                continue;
            };
            let CallPhase::Finished(CallOutcome::Answer { text, .. }) = &call.phase else {
                continue;
            };
            messages.extend(spec.messages.iter().cloned());
            messages.push(ChatMessage {
                role: "assistant".into(),
                content: text.clone(),
            });
        }
        messages
    }

    /// Returns the number of calls that have their outcome.
    #[must_use]
    pub fn finished_calls(&self) -> SequenceNumber {
        let finished = self
            .calls
            .iter()
            .filter(|call| matches!(call.phase, CallPhase::Finished(_)));
        SequenceNumber::try_from(finished.count()).unwrap_or(SequenceNumber::MAX)
    }
}

/// All programs of a shard.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ProgramTable {
    programs: HashMap<ProgramId, ProgramRecord>,
    organisations: BTreeMap<OrganisationId, TokenCount>,
    classes: BTreeMap<ClassName, TokenCount>,
}

impl ProgramTable {
    /// Returns the record of a program.
    #[must_use]
    pub fn program(&self, program: &str) -> Option<&ProgramRecord> {
        self.programs.get(program)
    }

    /// Returns all programs in arbitrary order.
    pub fn programs(&self) -> impl Iterator<Item = (&ProgramId, &ProgramRecord)> {
        self.programs.iter()
    }

    /// Returns the number of programs.
    #[must_use]
    pub fn len(&self) -> usize {
        self.programs.len()
    }

    /// Returns whether the shard has no program.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.programs.is_empty()
    }

    /// Returns the tokens that an organisation has spent or reserved in this shard.
    #[must_use]
    pub fn organisation_used(&self, organisation: &str) -> TokenCount {
        self.organisations.get(organisation).copied().unwrap_or(0)
    }

    /// Returns the tokens that a class has spent or reserved in this shard.
    #[must_use]
    pub fn class_used(&self, class: &str) -> TokenCount {
        self.classes.get(class).copied().unwrap_or(0)
    }

    /// Applies an entry; an entry that does not match the current state has no effect.
    pub fn apply(&mut self, entry: &LogEntry) {
        match entry {
            LogEntry::Begin(begin) => self.apply_begin(begin),
            LogEntry::Intent(intent) => self.apply_intent(intent),
            LogEntry::Result(result) => self.apply_result(result),
            LogEntry::Hold(hold) => {
                if let Some(program) = self.programs.get_mut(&hold.program) {
                    program.holds.insert(hold.upstream.clone());
                }
            }
            LogEntry::Release(hold) => {
                if let Some(program) = self.programs.get_mut(&hold.program) {
                    program.holds.remove(&hold.upstream);
                }
            }
            LogEntry::End(end) => self.apply_end(end),
            LogEntry::Forget(program) => {
                self.programs.remove(program);
            }
            LogEntry::UpstreamEnded(end) => self.apply_upstream_end(end),
        }
    }

    fn apply_begin(&mut self, begin: &ProgramBegin) {
        if self.programs.contains_key(&begin.program) {
            return;
        }
        if let Some(parent) = &begin.parent
            && let Some(parent) = self.programs.get_mut(parent)
        {
            // The decision has checked that the reservation fits the budget.
            let _ = parent.account.reserve(begin.limits.tokens);
            parent.children.push(begin.program.clone());
        }
        let record = ProgramRecord {
            begin: begin.clone(),
            account: BudgetAccount::new(begin.limits.tokens),
            calls: Vec::new(),
            holds: BTreeSet::new(),
            status: ProgramStatus::Running,
            children: Vec::new(),
            last_finished: begin.began,
            repeats: 0,
        };
        self.programs.insert(begin.program.clone(), record);
    }

    fn apply_intent(&mut self, intent: &CallIntent) {
        let Some(program) = self.programs.get_mut(&intent.program) else {
            return;
        };
        if intent.sequence != program.next_sequence() {
            return;
        }
        let is_repeat = program
            .calls
            .last()
            .is_some_and(|call| call.digest == intent.digest);
        program.repeats = if is_repeat {
            program.repeats.saturating_add(1)
        } else {
            1
        };
        // The decision has checked that the reservation fits the budget.
        let _ = program.account.reserve(intent.reserved);
        let phase = CallPhase::Intended {
            reserved: intent.reserved,
            epoch: intent.epoch,
            accepted: intent.accepted,
        };
        program.calls.push(CallRecord {
            digest: intent.digest,
            spec: intent.spec.clone(),
            phase,
        });
        let organisation = program.begin.organisation.clone();
        let class = program.begin.class.clone();
        *self.organisations.entry(organisation).or_default() += intent.reserved;
        *self.classes.entry(class).or_default() += intent.reserved;
    }

    fn apply_result(&mut self, result: &CallResult) {
        let Some(program) = self.programs.get_mut(&result.program) else {
            return;
        };
        let Some(call) = program.calls.get_mut(call_index(result.sequence)) else {
            return;
        };
        let Some(reserved) = call.phase.reserved() else {
            return;
        };
        call.phase = CallPhase::Finished(result.outcome.clone());
        program.account.settle(reserved, result.used);
        program.last_finished = result.finished;
        let unused = reserved - result.used.min(reserved);
        let organisation = program.begin.organisation.clone();
        let class = program.begin.class.clone();
        subtract_tokens(self.organisations.get_mut(&organisation), unused);
        subtract_tokens(self.classes.get_mut(&class), unused);
    }

    fn apply_upstream_end(&mut self, end: &UpstreamEnd) {
        let call = self
            .programs
            .get(&end.program)
            .and_then(|program| program.call(end.sequence));
        let Some((call, reserved)) = call.and_then(|call| Some((call, call.phase.reserved()?)))
        else {
            return;
        };
        let phase = call.phase.after_upstream_end();
        if let CallPhase::Finished(outcome) = phase {
            let result = CallResult {
                program: end.program.clone(),
                sequence: end.sequence,
                outcome,
                used: reserved,
                finished: end.ended,
            };
            return self.apply_result(&result);
        }
        let index = call_index(end.sequence);
        if let Some(program) = self.programs.get_mut(&end.program)
            && let Some(call) = program.calls.get_mut(index)
        {
            call.phase = phase;
        }
    }

    fn apply_end(&mut self, end: &ProgramEnd) {
        let Some(program) = self.programs.get_mut(&end.program) else {
            return;
        };
        if !program.is_running() {
            return;
        }
        program.status = ProgramStatus::Ended {
            reason: end.reason,
            at: end.ended,
        };
        let (limit, used) = (program.account.limit, program.account.used());
        let Some(parent) = program.begin.parent.clone() else {
            return;
        };
        if let Some(parent) = self.programs.get_mut(&parent) {
            parent.account.settle(limit, used);
        }
    }

    /// Returns counts of the table's contents for dumps.
    #[must_use]
    pub fn summary(&self) -> TableSummary {
        let running = self
            .programs
            .values()
            .filter(|program| program.is_running())
            .count();
        let holds = self
            .programs
            .values()
            .map(|program| program.holds.len())
            .sum();
        TableSummary {
            programs: self.programs.len(),
            running,
            holds,
            organisations: self.organisations.clone(),
        }
    }
}

/// Returns the index of a call among its program's calls.
fn call_index(sequence: SequenceNumber) -> usize {
    usize::try_from(sequence).unwrap_or(0).wrapping_sub(1)
}

fn subtract_tokens(total: Option<&mut TokenCount>, tokens: TokenCount) {
    if let Some(used) = total {
        *used = used.saturating_sub(tokens);
    }
}

/// Counts of a program table's contents.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct TableSummary {
    /// Number of programs, running or ended.
    pub programs: usize,
    /// Number of running programs.
    pub running: usize,
    /// Number of engine holds that are not released.
    pub holds: usize,
    /// Tokens spent or reserved by each organisation.
    pub organisations: BTreeMap<SmolStr, TokenCount>,
}
