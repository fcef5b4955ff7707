//! Programs as a shard's log builds them up: entries, state, budgets and decisions.
//!
//! Everything here is pure. A [`ProgramTable`] is changed by [`LogEntry`] values alone, so every copy
//! of a shard that has applied the same entries holds the same table. The decisions look at the table
//! and at a time that comes in as an argument, and return the entries to append.

mod book;
mod budget;
mod decide;
mod entry;
mod outcome;

pub use book::{CallPhase, CallRecord, ProgramRecord, ProgramStatus, ProgramTable, TableSummary};
pub use budget::{BudgetAccount, BudgetExceeded, ProgramLimits};
pub use decide::{
    BeginDecision, CallArrival, CallDecision, EndDecision, decide_begin, decide_call, decide_end,
    grant_limits, sweep_expired,
};
pub use entry::{
    BodyDigest, CallIntent, CallResult, EndReason, EngineHold, LogEntry, ProgramBegin, ProgramEnd,
    body_digest, idempotency_key,
};
pub use outcome::CallOutcome;
