//! Messages between entries and an organisation's home.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::recent::RECENT_PARTS;
use crate::model::{ConfigVersion, OrganisationTag, RequestLimit};

/// Hash of an instance's name.
pub type InstanceTag = u64;

/// Random number of one start of an entry.
pub type EntryIncarnation = u64;

/// Rule by which requests are counted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LimitRule {
    /// Window in which requests are counted.
    pub window: Duration,
    /// Longest time for which an entry without a reply from a home continues at its previous rate.
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
    /// Version of the configuration that sets the limit; the newest one applies.
    pub version: ConfigVersion,
    /// Number of requests.
    pub requests: u32,
}

impl WindowLimit {
    /// Returns the number of requests that a limit allows in a window.
    #[must_use]
    pub fn of(limit: &RequestLimit, window: Duration, version: ConfigVersion) -> Self {
        let requests = limit.rate_per_second * window.as_secs_f64() + limit.burst;
        // The conversion saturates at the bounds of the integer type.
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let requests = requests as u32;
        Self { version, requests }
    }
}

/// An entry's request for tokens.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceRequest {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// The requesting instance.
    pub instance: InstanceTag,
    /// The start of the instance.
    pub life: EntryIncarnation,
    /// Sequence number of the request since the start of the instance; a lower number than the last one is outdated.
    pub sequence: u64,
    /// The organisation's limit, by the configuration that the entry knows.
    pub limit: WindowLimit,
    /// Tokens used since the entry's start.
    pub used: u64,
    /// Standalone requests since the entry's start; they count as tokens granted and used.
    pub alone: u64,
    /// Tokens since the entry's start that were used for starting a program.
    pub begun: u64,
    /// Tokens used since the last ones that a home has reported as recorded; no home keeps these over a restart.
    pub unrecorded: u32,
    /// Requests that wait for a token.
    pub waiting: u32,
    /// Tokens to hold in advance, in addition to those for waiting requests.
    pub spare: u32,
    /// Whether the waiting request starts a program.
    pub begins: bool,
    /// Tokens used in the parts of the window that ends now, the newest first.
    pub recent: [u32; RECENT_PARTS],
}

/// A home's counts of an organisation in the window.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WindowUse {
    /// Requests that the organisation may make.
    pub limit: u32,
    /// Requests that count, including the reservations for unresponsive entries.
    pub taken: u32,
    /// Programs that have started.
    pub begun: u32,
    /// Programs that fit into the limit; 0 if unknown.
    pub fitting: u32,
}

/// A home's reply to a request for tokens.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AllowanceGrant {
    /// Total number of tokens that the entry may use since its start.
    pub granted: u64,
    /// Tokens used since the entry's start that the home has recorded, or does not have to record because another home
    /// has.
    pub recorded: u64,
    /// Time after the request until which the remaining tokens are valid.
    pub lasts: Duration,
    /// Whether the organisation is near its limit.
    pub near: bool,
    /// Requests in a window that the home reserves for the entry; without a reply from the home, the entry may admit as
    /// many.
    pub steady: u32,
    /// Time after which a refused request may be repeated.
    pub retry_after: Duration,
    /// The home's counts.
    pub use_now: WindowUse,
}
