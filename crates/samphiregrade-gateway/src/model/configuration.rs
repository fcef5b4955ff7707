//! The operators' configuration: routes, services and limits.

use std::time::Duration;

use smol_str::SmolStr;

use super::{ConfigVersion, OrganisationRecord, ServiceName};

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// May run at most once for each attempt of a client.
    NonIdempotent,
    /// A stream of events; runs at most once unless the route is resumable.
    Streaming,
}

/// A service, with its share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceShare {
    /// The service.
    pub service: ServiceName,
    /// Share of the requests, relative to the weights of the other services.
    pub weight: u32,
}

/// Who may send requests to a route, if the configuration has organisations.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RouteAccess {
    /// Callers with a key.
    #[default]
    Keyed,
    /// All callers.
    Open,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRecord {
    /// Name for logs.
    pub name: SmolStr,
    /// Host that requests of the route name.
    pub host: SmolStr,
    /// Path prefix, with a slash at both ends.
    pub path_prefix: SmolStr,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Longest time for which a client is kept waiting.
    pub timeout: Duration,
    /// Time within which a response has its full value.
    pub target_latency: Duration,
    /// Priority, from 0 (most urgent).
    pub priority: u8,
    /// Services that receive the requests.
    pub shares: Vec<ServiceShare>,
    /// Maximum number of upstreams that one attempt may be sent to.
    pub max_attempts: u32,
    /// Whether turns contain only their new part, and the system stores the rest.
    pub retained: bool,
    /// Time for which turns are stored.
    pub retention: Duration,
    /// Whether requests are sent to the upstream that has their state cached.
    pub affinity: bool,
    /// Whether a stream may be continued on another upstream.
    pub resumable: bool,
    /// Who may send requests, if there are organisations.
    pub access: RouteAccess,
}

impl RouteRecord {
    /// Returns whether a request that may have run already may run again.
    #[must_use]
    pub fn may_repeat(&self) -> bool {
        match self.kind {
            RequestKind::Idempotent => true,
            RequestKind::NonIdempotent => false,
            RequestKind::Streaming => self.resumable,
        }
    }
}

/// Properties of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineRecord {
    /// Requests that run concurrently.
    pub slots: u32,
    /// Tokens that fit into the engine's memory.
    pub cache_tokens: u64,
    /// Tokens for which one event stands.
    pub tokens_per_event: u32,
    /// Longest time for which an engine keeps a finished request's tokens, if it supports this.
    pub longest_pin: Option<Duration>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRecord {
    /// Name of the service.
    pub name: ServiceName,
    /// Maximum number of connections that one upstream accepts, from all callers together.
    pub connection_limit: u32,
    /// Path at which an upstream responds with its id; `None` if it has none.
    pub health_path: Option<SmolStr>,
    /// Set if the upstreams are engines.
    pub engine: Option<EngineRecord>,
}

/// Limits of sizes and times for clients.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for sending a request head.
    pub head_timeout: Duration,
    /// Longest time for which a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    /// Returns the limits that apply until a configuration is known: the defaults of its schema.
    fn default() -> Self {
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RoutingConfig {
    /// Version number; a higher one is newer.
    pub version: ConfigVersion,
    /// Routes.
    pub routes: Vec<RouteRecord>,
    /// Services.
    pub services: Vec<ServiceRecord>,
    /// Limits for clients.
    pub limits: ClientLimits,
    /// Organisations; `None` if callers need no keys.
    pub organisations: Option<Vec<OrganisationRecord>>,
}
