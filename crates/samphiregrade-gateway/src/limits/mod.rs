//! Request limits of organisations, enforced over all instances: pure decisions, without a clock or network of their
//! own.
//!
//! Handles an organisation that suddenly sends many times its usual rate through many entries. The sum over all entries
//! has to stay within the limit, no organisation below its limit may be refused, and nearly no request may wait for a
//! query to another instance.
//!
//! * [`LimitLedger`] is kept by an organisation's home, one of the keepers. It grants tokens and counts each one in the
//!   window from the grant on, so a lost reply or a lost entry wastes part of the limit, which is still never exceeded.
//! * [`OrganisationAllowance`] is what an entry holds of one organisation's limit: the tokens that it was granted in
//!   advance, the number that it has used, and the rate at which it may continue if no home replies.
//! * [`AllowanceRequest`] and [`AllowanceGrant`] carry totals and not differences, so they may be lost, duplicated or
//!   reordered.

mod allowance;
mod contacts;
mod ledger;
mod message;
mod organisation;
mod program_size;
mod recent;
mod saved;

pub use allowance::{EntrySource, OrganisationAllowance};
pub use ledger::{LedgerTime, LimitLedger};
pub use message::{
    AllowanceGrant, AllowanceRequest, EntryIncarnation, InstanceTag, LimitRule, WindowLimit,
    WindowUse,
};
pub use recent::{RECENT_PARTS, RecentUse};
pub use saved::{LimitReservation, LimitUse, TokenUse};
