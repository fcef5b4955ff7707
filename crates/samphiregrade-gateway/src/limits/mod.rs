//! Organisations' request limits, kept over all instances: pure decisions, without a clock or a network of their own.
//!
//! Answers the pattern of an organisation that suddenly sends many times its usual through many entries: the sum over
//! all of them has to stay within the limit, while nobody below it may be refused, and nearly no request may wait for a
//! question to somebody else.
//!
//! * [`LimitLedger`] is kept by an organisation's home, one of the keepers: it grants tokens and counts each in the
//!   window from the grant on, so that a lost answer or a lost entry costs some of the limit but never exceeds it;
//! * [`OrganisationAllowance`] is what an entry holds of one organisation: tokens that it was granted in advance, what
//!   it has used of them, and what it may go on with where no home answers;
//! * [`AllowanceRequest`] and [`AllowanceGrant`] carry totals and not differences: they may be lost, repeated or overtaken.

mod allowance;
mod ledger;
mod message;
mod organisation;
mod program_size;
mod recent;

pub use allowance::{EntrySource, OrganisationAllowance};
pub use ledger::{LedgerTime, LimitLedger, LimitUse};
pub use message::{
    AllowanceGrant, AllowanceRequest, EntryIncarnation, InstanceTag, LimitRule, WindowLimit,
    WindowUse,
};
pub use recent::{RECENT_PARTS, RecentUse};
