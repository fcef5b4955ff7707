//! Records by which upstreams register, and the load that they report.

use std::net::SocketAddr;
use std::time::Duration;

use super::{DomainId, ServiceName, SoftwareTag, SoftwareVersion, UpstreamId, name_tag};

/// Whether an upstream accepts requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpstreamState {
    /// The upstream accepts requests.
    Ready,
    /// The upstream is about to stop and gets no new requests.
    Draining,
}

/// Time at which an upstream started, in milliseconds since the Unix epoch by the upstream's own clock; distinguishes
/// the upstream's starts.
pub type UpstreamStart = u64;

/// An upstream's record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamRecord {
    /// Id of the upstream, which may be the same after a restart.
    pub id: UpstreamId,
    /// Time of the upstream's start; `None` if not stated.
    pub started: Option<UpstreamStart>,
    /// Service that the upstream belongs to.
    pub service: ServiceName,
    /// Version of the upstream's software; empty if not stated.
    pub software: SoftwareVersion,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Failure domain of the upstream.
    pub domain: DomainId,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Whether the upstream accepts requests.
    pub state: UpstreamState,
    /// Remaining time for which the upstream is slow after its start.
    pub cold: Duration,
}

impl UpstreamRecord {
    /// Returns the hash of the upstream's service and software version.
    #[must_use]
    pub fn software_tag(&self) -> SoftwareTag {
        name_tag(&format!("{}/{}", self.service, self.software))
    }

    /// Returns whether another record with the same id describes the same start of the same upstream.
    ///
    /// A restarted upstream has lost its earlier state, and one with another address, service or software version is a
    /// different upstream.
    #[must_use]
    pub fn is_same_start(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_none_or(|(own, others)| own == others)
            && self.address == other.address
            && self.service == other.service
            && self.software == other.software
            && self.domain == other.domain
    }

    /// Returns whether another record with the same id describes an earlier start, which is over.
    #[must_use]
    pub fn is_after(&self, other: &Self) -> bool {
        let starts = self.started.zip(other.started);
        starts.is_some_and(|(own, others)| own > others)
    }
}

/// Load that an upstream reports with a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Requests that wait in the upstream's queue.
    pub waiting: u32,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
    /// Time that work currently takes on the upstream's machine, in per cent, if the upstream reports it. 100 is usual; the
    /// machine's own speed may be part of the figure.
    pub work_time_percent: Option<u32>,
}
