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

/// An upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamEntry {
    /// Id of this start of the upstream.
    pub id: UpstreamId,
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
