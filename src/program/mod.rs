//! Programs of a shard: log entries, replicated state, budgets and decisions.
//!
//! This module does no I/O and reads no clock. Only [`LogEntry`] values change a [`ProgramTable`], so all
//! copies of a shard that have applied the same entries have the same state. The decisions depend on
//! the program table and on a time that the caller passes in, and return the entries to append.

mod book;
mod budget;
mod decide;
mod entry;
mod outcome;

pub use book::{
    CallPhase, CallRecord, MAX_ENDED_UPSTREAMS, ProgramRecord, ProgramStatus, ProgramTable,
    TableSummary,
};
pub use budget::{BudgetAccount, BudgetExceeded, ProgramLimits};
pub use decide::{
    BeginDecision, CallArrival, CallDecision, EndDecision, decide_begin, decide_call, decide_end,
    grant_limits, sweep_expired,
};
pub use entry::{
    BodyDigest, CallIntent, CallResult, EndReason, EngineHold, LogEntry, ProgramBegin, ProgramEnd,
    UpstreamEnd, body_digest, idempotency_key,
};
pub use outcome::CallOutcome;
