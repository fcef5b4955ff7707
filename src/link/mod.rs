//! Links between instances: typed messages over QUIC with mutual TLS.

mod message;
mod network;

pub use message::{
    ForwardHead, ForwardedRequest, GossipPayload, LoadReport, PeerReply, PeerRequest, ProbeMessage,
    ReportNews, UpstreamShare, UpstreamTag, upstream_tag,
};
pub use network::{HandlerReply, LinkCounters, LinkError, LinkNetwork, PeerHandler, ReplyStream};
pub use samphiregrade_gateway::identity::{
    IdentityError, LinkIdentity, make_authority, make_identity,
};
