//! Data model of the core: the operators' configuration, upstreams, and request metadata.

mod configuration;
mod metadata;
mod organisation;
mod upstream;

use smol_str::SmolStr;

pub use configuration::{
    ClientLimits, EngineRecord, RequestKind, RouteAccess, RouteRecord, RoutingConfig,
    ServiceRecord, ServiceShare,
};
pub use metadata::{
    DispatchHeaders, PromptPart, RequestMetadata, ResponseMetadata, StreamResumption, TokenUsage,
};
pub use organisation::{
    CallerCredential, CallerKey, OrganisationName, OrganisationRecord, OrganisationTag,
    RequestLimit,
};
pub use upstream::{ReportedLoad, UpstreamRecord, UpstreamStart, UpstreamState};

/// Returns the hash of a name, the same on every instance.
#[must_use]
pub fn name_tag(name: &str) -> u64 {
    let mut tag = [0; 8];
    tag.copy_from_slice(&blake3::hash(name.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(tag)
}

/// Name of a failure domain.
pub type DomainId = SmolStr;

/// Name of a service.
pub type ServiceName = SmolStr;

/// Version of the software that an upstream runs; versions have no order.
pub type SoftwareVersion = SmolStr;

/// Hash of a service and a version of its software, the same on every instance.
pub type SoftwareTag = u64;

/// Id of an upstream, which may be the same after a restart.
pub type UpstreamId = SmolStr;

/// Hash of one start of an upstream, the same on every instance.
pub type UpstreamTag = u64;

/// Id of one attempt of a client.
pub type RequestId = SmolStr;

/// Hash of what a client repeats with each attempt of a request, the same on every instance.
pub type RequestTag = u64;

/// Id of a program.
pub type ProgramId = SmolStr;

/// Id of a session: a sequence of turns.
pub type SessionId = SmolStr;

/// Id of a turn, which is the id of the request that generated it.
pub type TurnId = SmolStr;

/// Version of the operators' configuration.
pub type ConfigVersion = u64;
