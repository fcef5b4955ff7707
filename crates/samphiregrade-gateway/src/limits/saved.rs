//! What a home writes to disk of its ledger, and continues from after a restart.

use serde::{Deserialize, Serialize};

use super::ledger::LedgerTime;
use super::message::InstanceTag;
use crate::model::OrganisationTag;

/// Tokens that an instance has used of an organisation's limit, with the time at which they leave the window.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenUse {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The instance that used the tokens.
    pub instance: InstanceTag,
    /// Time at which the tokens leave the window.
    pub leaves: LedgerTime,
    /// Number of tokens.
    pub count: u32,
}

/// Part of an organisation's limit that is reserved for an unresponsive instance. It replaces the earlier reservation for
/// the same organisation and instance.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LimitReservation {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The instance.
    pub instance: InstanceTag,
    /// Time of the instance's last request to the home.
    pub last_request: LedgerTime,
    /// Requests in a window; 0 if nothing is reserved any more.
    pub requests: u32,
}

/// Use of an organisation's limit that a restarted home has to know.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitUse {
    /// Used tokens; those of all records add up.
    Tokens(TokenUse),
    /// A reservation; the last record applies.
    Reservation(LimitReservation),
}
