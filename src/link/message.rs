//! Messages between instances.

use std::time::Duration;

use samphiregrade_http::HeaderList;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::ids::{
    DomainId, InstanceRef, OrganisationId, ProgramId, RevisionNumber, ShardId, UpstreamName,
};
use crate::record::RecordDelta;
use crate::shard::{
    AppendReply, AppendRequest, InstallRequest, LogPosition, MapDelta, VersionedMap,
};

/// Load of an upstream as the upstream reports it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the upstream.
    pub queued: u32,
    /// Requests that can run concurrently.
    pub slots: u32,
    /// Tokens the cache can hold.
    pub cache_tokens: u64,
    /// Tokens of the cache that are in use.
    pub used_tokens: u64,
    /// Tokens that the upstream holds for programs.
    pub held_tokens: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Models loaded.
    pub models: Vec<SmolStr>,
}

/// Short name of an upstream in probes: the first four bytes of a hash of its name.
pub type UpstreamTag = u32;

/// Load at an upstream caused by the sender of a probe.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamShare {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Calls under way.
    pub in_flight: u32,
    /// Cached tokens of the sender's running programs at the upstream.
    pub resident_tokens: u64,
}

/// An upstream's load report that one instance passes on to others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportNews {
    /// The upstream.
    pub upstream: UpstreamName,
    /// The upstream's report.
    pub report: LoadReport,
    /// Age of the report.
    pub age: Duration,
}

/// Computes the short name of an upstream.
#[must_use]
pub fn upstream_tag(name: &str) -> UpstreamTag {
    let hash = blake3::hash(name.as_bytes());
    let [first, second, third, fourth, ..] = *hash.as_bytes();
    UpstreamTag::from_be_bytes([first, second, third, fourth])
}

/// The large part of a probe, which goes to few instances in each round.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GossipPayload {
    /// Revisions of the shard maps that the sender knows.
    pub map_revisions: Vec<(DomainId, RevisionNumber)>,
    /// Reports of upstreams of the sender's failure domain.
    pub reports: Vec<ReportNews>,
}

/// State that an instance periodically exchanges with others.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProbeMessage {
    /// The sender.
    pub from: InstanceRef,
    /// Failure domain of the sender.
    pub domain: DomainId,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Revision of the sender's configuration.
    pub config_revision: RevisionNumber,
    /// Number of shard copies that the sender holds.
    pub copies: u32,
    /// Number of shards whose primary the sender is.
    pub primaries: u32,
    /// Whether the sender stores its copies on a disk.
    pub has_disk: bool,
    /// The sender's load at upstreams; it has no calls at upstreams that are not listed.
    pub shares: Vec<UpstreamShare>,
    /// The large part; `None` for most receivers.
    pub gossip: Option<GossipPayload>,
}

/// A caller's request that is forwarded, over one hop, to the primary.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: SmolStr,
    /// Path.
    pub path: SmolStr,
    /// Query.
    pub query: SmolStr,
    /// Organisation that the forwarding instance has authenticated.
    pub organisation: OrganisationId,
    /// Body.
    pub body: Vec<u8>,
}

/// Head of the response to a forwarded request; the body follows in chunks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderList,
    /// Whether the body is a stream whose chunks arrive over time.
    pub streamed: bool,
}

/// A request to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Exchange of probes; the reply is [`PeerReply::Probe`].
    Probe(ProbeMessage),
    /// Entries for a copy of a shard.
    Append(AppendRequest),
    /// A snapshot for a copy of a shard.
    Install(InstallRequest),
    /// A newer shard map.
    MapUpdate(VersionedMap),
    /// Reads a failure domain's shard map, or its changes since a revision.
    MapRead(DomainId, RevisionNumber),
    /// Reads the last position of a shard's copy that the receiver found on its disk.
    RecoveredRead(ShardId),
    /// Reads the records changed after a revision.
    RecordsRead(RevisionNumber),
    /// Records that the sender has just received.
    RecordsUpdate(RecordDelta),
    /// Notification that an engine lists a hold for a program whose primary the receiver is.
    AuditHold(ProgramId, UpstreamName),
    /// A caller's request.
    Forward(ForwardedRequest),
}

/// The reply of another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// The probe of the replying instance.
    Probe(ProbeMessage),
    /// Result of appending the entries.
    Append(AppendReply),
    /// Result of installing the snapshot.
    Install(AppendReply),
    /// Last position of a shard's copy on disk; `None` if there is no copy.
    Recovered(Option<LogPosition>),
    /// A shard map; `None` if none is known.
    Map(Option<VersionedMap>),
    /// The changes of a shard map.
    MapDelta(MapDelta),
    /// Records.
    Records(RecordDelta),
    /// Head of the response to a forwarded request.
    Forward(ForwardHead),
    /// Acknowledgement without data.
    Done,
}
