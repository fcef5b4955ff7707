//! The contents of records in their current form, and the conversion from version 1.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use super::schema::RecordError;
use crate::ids::{DomainId, ModelName, TokenCount};
use crate::program::ProgramLimits;

/// Concurrent calls to an upstream whose record sets no limit.
const DEFAULT_CONCURRENCY: u32 = 64;

/// A class of programs that may run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ProgramClassSpec {
    /// Model that serves the class.
    pub model: ModelName,
    /// Priority from 0, which runs first, to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Limits of one program.
    #[serde(default)]
    pub limits: ProgramLimits,
    /// Tokens that all programs of the class may use together, over all failure domains.
    #[serde(default)]
    pub class_tokens: Option<TokenCount>,
    /// Weight of program latency relative to wasted cache, from 0 to 1.
    #[serde(default = "default_weight")]
    pub latency_weight: f64,
}

fn default_priority() -> u8 {
    5
}

fn default_weight() -> f64 {
    0.5
}

/// Schema version 1 of [`ProgramClassSpec`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct ProgramClassV1 {
    model: ModelName,
    priority: u8,
    tokens: TokenCount,
}

impl From<ProgramClassV1> for ProgramClassSpec {
    fn from(old: ProgramClassV1) -> Self {
        Self {
            model: old.model,
            priority: old.priority,
            limits: ProgramLimits {
                tokens: old.tokens,
                ..ProgramLimits::default()
            },
            class_tokens: None,
            latency_weight: default_weight(),
        }
    }
}

/// A model and its version.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ModelSpec {
    /// Version that engines have to serve.
    pub version: SmolStr,
    /// Number of engines in each failure domain that have to have the model loaded.
    pub replicas: u32,
}

/// Kind of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    #[default]
    Engine,
    /// A tool service or plain service.
    Service,
}

/// An engine, plain service or tool service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct UpstreamSpec {
    /// Kind of the upstream.
    #[serde(default)]
    pub kind: UpstreamKind,
    /// Base URL.
    pub address: SmolStr,
    /// Failure domain of the upstream.
    pub failure_domain: DomainId,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Service that the upstream belongs to.
    #[serde(default)]
    pub service: SmolStr,
    /// Whether the upstream refuses outdated fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether the upstream reports the outcome of an earlier call on request.
    #[serde(default)]
    pub tells_outcome: bool,
    /// Whether the upstream is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Maximum number of concurrent calls.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Timeout of a call, in seconds.
    #[serde(default = "default_timeout")]
    pub timeout_seconds: u32,
}

fn default_concurrency() -> u32 {
    DEFAULT_CONCURRENCY
}

fn default_timeout() -> u32 {
    60
}

impl UpstreamSpec {
    /// Returns the timeout of a call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_secs(self.timeout_seconds.into())
    }
}

/// Schema version 1 of [`UpstreamSpec`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct UpstreamV1 {
    address: SmolStr,
    failure_domain: DomainId,
    models: Vec<ModelName>,
}

impl From<UpstreamV1> for UpstreamSpec {
    fn from(old: UpstreamV1) -> Self {
        Self {
            kind: UpstreamKind::Engine,
            address: old.address,
            failure_domain: old.failure_domain,
            models: old.models,
            service: SmolStr::default(),
            checks_fencing: false,
            tells_outcome: false,
            leaving: false,
            concurrency: DEFAULT_CONCURRENCY,
            timeout_seconds: default_timeout(),
        }
    }
}

/// An organisation and its tokens.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OrganisationSpec {
    /// Hashes of the access tokens of the organisation's callers.
    pub token_hashes: Vec<SmolStr>,
    /// Whether the organisation's tokens are accepted at the operators' addresses, too.
    pub operator: bool,
    /// Tokens that the organisation's programs may use together, over all failure domains.
    pub tokens: Option<TokenCount>,
}

/// Schema version 1 of [`OrganisationSpec`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct OrganisationV1 {
    token_hash: SmolStr,
}

impl From<OrganisationV1> for OrganisationSpec {
    fn from(old: OrganisationV1) -> Self {
        Self {
            token_hashes: vec![old.token_hash],
            ..Self::default()
        }
    }
}

/// Computes the hash under which records store an access token.
#[must_use]
pub fn token_hash(token: &str) -> SmolStr {
    blake3::hash(token.as_bytes()).to_hex().as_str().into()
}

/// The available scheduling policies.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// Scheduling by program, cached prefix and load.
    #[default]
    Default,
    /// Engines in rotation, calls in order of arrival.
    RoundRobin,
    /// The engine with the least load, calls in order of arrival.
    LeastLoaded,
    /// Always the same engine for a program, calls in order of arrival.
    Sticky,
}

impl FromStr for PolicyName {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        serde_json::from_value(Value::from(text)).map_err(|_| RecordError::BadField {
            field: "policy",
            problem: "has to be default, round-robin, least-loaded or sticky".into(),
        })
    }
}

/// The scheduling policy; each mechanism can be switched off for comparisons.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of a record"
)]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PolicySpec {
    /// Name of the policy.
    pub policy: PolicyName,
    /// Order waiting calls by priority and program instead of arrival.
    pub program_order: bool,
    /// Prefer engines that have a program's prefix cached.
    pub cache_placement: bool,
    /// Keep prefixes cached while a program pauses for a tool call.
    pub retention: bool,
    /// Queue calls in the scheduler while every engine is full.
    pub admission: bool,
}

impl Default for PolicySpec {
    fn default() -> Self {
        Self {
            policy: PolicyName::Default,
            program_order: true,
            cache_placement: true,
            retention: true,
            admission: true,
        }
    }
}

impl PolicySpec {
    /// Returns the policy with its active mechanisms; every policy but the default is a baseline without any.
    #[must_use]
    pub fn in_force(&self) -> Self {
        if self.policy == PolicyName::Default {
            return self.clone();
        }
        Self {
            policy: self.policy,
            program_order: false,
            cache_placement: false,
            retention: false,
            admission: false,
        }
    }

    /// Switches a mechanism off, by the name of its field.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::BadField`] if there is no mechanism of that name.
    pub fn switch_off(&mut self, mechanism: &str) -> Result<(), RecordError> {
        let switch = match mechanism {
            "program-order" => &mut self.program_order,
            "cache-placement" => &mut self.cache_placement,
            "retention" => &mut self.retention,
            "admission" => &mut self.admission,
            _ => {
                let problem =
                    "has to be program-order, cache-placement, retention or admission".into();
                let field = "mechanism";
                return Err(RecordError::BadField { field, problem });
            }
        };
        *switch = false;
        Ok(())
    }
}

/// Whether a failure domain still exists.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// The failure domain exists; it may be serving even while it is unreachable.
    #[default]
    Live,
    /// Every instance in the failure domain is known to have stopped permanently.
    Lost,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DomainSpec {
    /// Whether the failure domain still exists.
    pub state: DomainState,
}
