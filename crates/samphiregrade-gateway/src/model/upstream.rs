//! Upstreams as they register themselves, and the load that they tell.

use std::net::SocketAddr;
use std::time::Duration;

use super::{DomainId, ServiceName, UpstreamId};

/// Whether an upstream takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// It takes requests.
    Ready,
    /// It is about to leave and gets nothing new.
    Draining,
}

/// When an upstream started, in milliseconds since the Unix epoch by its own clock; it tells its starts apart.
pub type UpstreamStart = u64;

/// An upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Id of the upstream; it may keep it when it starts again.
    pub id: UpstreamId,
    /// When it started; `None` where it doesn't say.
    pub started: Option<UpstreamStart>,
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: UpstreamState,
    /// How much longer it stays slow after its start.
    pub cold: Duration,
}

impl UpstreamRecord {
    /// Returns whether another entry with the same id describes the same start of the same upstream.
    ///
    /// One that started again knows nothing of before, and one with another address or service is another upstream.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_none_or(|(own, others)| own == others)
            && self.address == other.address
            && self.service == other.service
            && self.domain == other.domain
    }

    /// Returns whether another entry with the same id describes an earlier start: one that is over.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_some_and(|(own, others)| own > others)
    }
}

/// Load that an upstream tells with an answer.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait inside it.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}
