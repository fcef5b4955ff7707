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

/// An upstream's own report of its load.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests running.
    pub running: u32,
    /// Requests waiting inside the upstream.
    pub queued: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// Tokens the cache can hold.
    pub cache_tokens: u64,
    /// Tokens of the cache that are in use.
    pub used_tokens: u64,
    /// Tokens held for programs.
    pub held_tokens: u64,
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// Models loaded.
    pub models: Vec<SmolStr>,
}

/// Short name of an upstream in probes: the begin of a hash of its name.
pub type UpstreamTag = u32;

/// What the sender of a probe has under way at an upstream.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamShare {
    /// The upstream.
    pub upstream: UpstreamTag,
    /// Calls under way.
    pub in_flight: u32,
    /// Tokens of the running programs that the sender serves there.
    pub resident_tokens: u64,
}

/// An upstream's report that is news.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReportNews {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Its report.
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

/// The larger part of the news, which goes to few instances in each round.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GossipNews {
    /// Revisions of the shard maps that the sender knows.
    pub map_revisions: Vec<(DomainId, RevisionNumber)>,
    /// Reports of upstreams of the sender's failure domain.
    pub reports: Vec<ReportNews>,
}

/// What instances tell each other all the time.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProbeMessage {
    /// The sender.
    pub from: InstanceRef,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Revision of its configuration.
    pub config_revision: RevisionNumber,
    /// Shard copies it holds.
    pub copies: u32,
    /// Shards it is primary of.
    pub primaries: u32,
    /// Whether it keeps its copies on a disk.
    pub has_disk: bool,
    /// The sender's calls at upstreams; it has none at the others.
    pub shares: Vec<UpstreamShare>,
    /// The larger part, where the receiver is one of the few.
    pub gossip: Option<GossipNews>,
}

/// A caller's request on its one hop to the primary.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardedRequest {
    /// HTTP method.
    pub method: SmolStr,
    /// Path.
    pub path: SmolStr,
    /// Query.
    pub query: SmolStr,
    /// Organisation that the first instance has made out.
    pub organisation: OrganisationId,
    /// Body.
    pub body: Vec<u8>,
}

/// Head of the answer to a forwarded request; the body follows in chunks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ForwardHead {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderList,
    /// Whether the body comes in chunks over time.
    pub streamed: bool,
}

/// A request to another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerRequest {
    /// Exchange of news; the answer is [`PeerReply::Probe`].
    Probe(ProbeMessage),
    /// Entries for a copy of a shard.
    Append(AppendRequest),
    /// A whole copy of a shard.
    Install(InstallRequest),
    /// A newer shard map.
    MapUpdate(VersionedMap),
    /// Asks for a failure domain's shard map, or for its changes since a revision.
    MapRead(DomainId, RevisionNumber),
    /// Asks how far a shard's copy reaches that was found on the disk.
    RecoveredRead(ShardId),
    /// Asks for the records changed after a revision.
    RecordsRead(RevisionNumber),
    /// Records that the sender has just learned of.
    RecordsUpdate(RecordDelta),
    /// An engine lists a hold for a program whose primary the receiver is.
    AuditHold(ProgramId, UpstreamName),
    /// A caller's request.
    Forward(ForwardedRequest),
}

/// The answer of another instance.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerReply {
    /// News.
    Probe(ProbeMessage),
    /// What became of the entries.
    Append(AppendReply),
    /// What became of the copy.
    Install(AppendReply),
    /// How far a shard's copy on the disk reaches, where there is one.
    Recovered(Option<LogPosition>),
    /// A shard map, where one is known.
    Map(Option<VersionedMap>),
    /// The changes of a shard map.
    MapDelta(MapDelta),
    /// Records.
    Records(RecordDelta),
    /// Head of the answer to a forwarded request.
    Forward(ForwardHead),
    /// Nothing to tell.
    Done,
}
