//! What entries and an organisation's home say to each other.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::recent::RECENT_PARTS;
use crate::model::{ConfigVersion, OrganisationTag, RequestLimit};

/// Hash of an instance's name.
pub type InstanceTag = u64;

/// Number of one start of an entry.
pub type EntryIncarnation = u64;

/// How limits are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitRule {
    /// Window in which requests are counted.
    pub window: Duration,
    /// How long an entry that no home answers goes on with what it used before.
    pub standalone_period: Duration,
}

impl Default for LimitRule {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(5),
            standalone_period: Duration::from_mins(1),
        }
    }
}

/// Requests that an organisation may make in one window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowLimit {
    /// Configuration that says so; the newest one counts.
    pub version: ConfigVersion,
    /// The requests.
    pub requests: u32,
}

impl WindowLimit {
    /// Returns what a limit comes to in a window.
    #[must_use]
    pub fn of(limit: &RequestLimit, window: Duration, version: ConfigVersion) -> Self {
        let requests = limit.rate_per_second * window.as_secs_f64() + limit.burst;
        // A float beyond the range becomes the nearest whole number.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let requests = requests as u32;
        Self { version, requests }
    }
}

/// An entry's question for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRequest {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The instance that asks.
    pub instance: InstanceTag,
    /// Its start.
    pub life: EntryIncarnation,
    /// Number of the question among those of this start; a lower one has been overtaken.
    pub sequence: u64,
    /// What the organisation may make, by the configuration that the entry knows.
    pub limit: WindowLimit,
    /// Tokens used since the entry's start.
    pub used: u64,
    /// Requests that it let through without a token; they count as tokens granted and used.
    pub alone: u64,
    /// Tokens with which a program began.
    pub begun: u64,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Tokens that it would like to hold beside them.
    pub spare: u32,
    /// Whether the waiting request begins a program.
    pub begins: bool,
    /// Tokens used in the parts of the window that ends now, the newest first.
    pub recent: [u32; RECENT_PARTS],
}

/// What a home counts of an organisation in the window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowUse {
    /// Requests that it may make.
    pub limit: u32,
    /// Requests that count, with what is kept for silent entries.
    pub taken: u32,
    /// Programs that have begun.
    pub begun: u32,
    /// Programs that fit into the limit; 0 where that is not known.
    pub fitting: u32,
}

/// A home's answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceGrant {
    /// Tokens that the entry may use in all, since its start.
    pub granted: u64,
    /// How long after the question those may be used that are left over.
    pub lasts: Duration,
    /// Whether the organisation is near its limit.
    pub near: bool,
    /// What the home keeps for the entry where it falls silent: as many requests a window it may let through then.
    pub steady: u32,
    /// When a refused request may come back.
    pub retry_after: Duration,
    /// What the home counts.
    pub use_now: WindowUse,
}
