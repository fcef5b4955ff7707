//! Organisations, their keys and their request limits.

use std::fmt::{self, Debug, Formatter};

use smol_str::SmolStr;

/// Name of an organisation.
pub type OrganisationName = SmolStr;

/// Hash of an organisation's name, the same on every instance.
pub type OrganisationTag = u64;

/// A caller's key. Only its digest is kept, so that no log, dump or memory copy reveals the key.
#[derive(Clone, Copy, Eq, Hash, PartialEq)]
pub struct CallerKey([u8; 32]);

impl CallerKey {
    /// Returns the digest of a key.
    #[must_use]
    pub fn digest(key: &[u8]) -> Self {
        Self(*blake3::hash(key).as_bytes())
    }
}

impl Debug for CallerKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("CallerKey(..)")
    }
}

/// The credential of a request's caller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum CallerCredential {
    /// No credential.
    #[default]
    Absent,
    /// A credential that is not a single key: one of another scheme, or several credentials at once.
    Unusable,
    /// A key.
    Key(CallerKey),
}

/// Number of requests that an organisation may make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestLimit {
    /// Requests per second.
    pub rate_per_second: f64,
    /// Additional requests in a burst.
    pub burst: f64,
}

/// An organisation.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationRecord {
    /// Name of the organisation.
    pub name: OrganisationName,
    /// Keys of the organisation.
    pub keys: Vec<CallerKey>,
    /// Priority of the organisation's requests, from 0 (most urgent); `None` if the route's priority applies.
    pub priority: Option<u8>,
    /// Request limit; `None` if the organisation has none.
    pub limit: Option<RequestLimit>,
}
