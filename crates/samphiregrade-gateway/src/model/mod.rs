//! What the core works with: the operators' configuration, upstreams, and what requests say.

mod configuration;
mod metadata;
mod upstream;

use smol_str::SmolStr;

pub use configuration::{
    ClientLimits, EngineRecord, RequestKind, RouteRecord, RoutingConfig, ServiceRecord,
    ServiceShare,
};
pub use metadata::{AnswerMetadata, DispatchOrders, PromptPart, RequestMetadata, TokenUsage};
pub use upstream::{ReportedLoad, UpstreamEntry, UpstreamStart, UpstreamState};

/// Name of a failure domain.
pub type DomainId = SmolStr;

/// Name of a service that upstreams belong to.
pub type ServiceName = SmolStr;

/// Id of an upstream; it may keep it when it starts again.
pub type UpstreamId = SmolStr;

/// Hash of one start of an upstream, the same on every instance.
pub type UpstreamTag = u64;

/// Id of one attempt of a client.
pub type RequestId = SmolStr;

/// Id of a program.
pub type ProgramId = SmolStr;

/// Id of a line of turns.
pub type SessionId = SmolStr;

/// Id of a turn: that of the request that made it.
pub type TurnId = SmolStr;

/// Version of the operators' configuration.
pub type ConfigVersion = u64;
