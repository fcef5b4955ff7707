//! The contents of records in their current form, and how version 1 is read into it.

use std::str::FromStr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;

use super::schema::RecordError;
use crate::ids::{DomainId, ModelName, TokenCount};
use crate::program::ProgramLimits;

/// Calls that an upstream without a limit of its own gets at once.
const DEFAULT_CONCURRENCY: u32 = 64;

/// A class of programs that may run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ProgramClassSpec {
    /// Model that serves the class.
    pub model: ModelName,
    /// From 0, which runs first, to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// What one program may use.
    #[serde(default)]
    pub limits: ProgramLimits,
    /// Tokens that all programs of the class may use together, over all failure domains.
    #[serde(default)]
    pub class_tokens: Option<TokenCount>,
    /// Weight of program latency against wasted cache, from 0 to 1.
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
pub(super) struct ProgramClassOld {
    model: ModelName,
    priority: u8,
    tokens: TokenCount,
}

impl From<ProgramClassOld> for ProgramClassSpec {
    fn from(old: ProgramClassOld) -> Self {
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
    /// Version that engines are to serve.
    pub version: SmolStr,
    /// Engines of each failure domain that are to have it loaded.
    pub replicas: u32,
}

/// What an upstream is.
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
    /// What it is.
    #[serde(default)]
    pub kind: UpstreamKind,
    /// Base URL.
    pub address: SmolStr,
    /// Failure domain it stands in.
    pub failure_domain: DomainId,
    /// Models that an engine serves.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Service that it belongs to.
    #[serde(default)]
    pub service: SmolStr,
    /// Whether it refuses old fencing numbers.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Whether it tells the outcome of an earlier call.
    #[serde(default)]
    pub tells_outcome: bool,
    /// Whether it is leaving and gets no new work.
    #[serde(default)]
    pub leaving: bool,
    /// Calls that it takes at once.
    #[serde(default = "default_concurrency")]
    pub concurrency: u32,
    /// Longest time one of its calls may take, in seconds.
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
    /// Returns the longest time one of its calls may take.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_secs(self.timeout_seconds.into())
    }
}

/// Schema version 1 of [`UpstreamSpec`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct UpstreamOld {
    address: SmolStr,
    failure_domain: DomainId,
    models: Vec<ModelName>,
}

impl From<UpstreamOld> for UpstreamSpec {
    fn from(old: UpstreamOld) -> Self {
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
    /// Hashes of the access tokens of its callers.
    pub token_hashes: Vec<SmolStr>,
    /// Whether its tokens open the operators' addresses too.
    pub operator: bool,
    /// Tokens that its programs may use together, over all failure domains.
    pub tokens: Option<TokenCount>,
}

/// Schema version 1 of [`OrganisationSpec`].
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub(super) struct OrganisationOld {
    token_hash: SmolStr,
}

impl From<OrganisationOld> for OrganisationSpec {
    fn from(old: OrganisationOld) -> Self {
        Self {
            token_hashes: vec![old.token_hash],
            ..Self::default()
        }
    }
}

/// Hash under which an access token is kept in records.
#[must_use]
pub fn token_hash(token: &str) -> SmolStr {
    blake3::hash(token.as_bytes()).to_hex().as_str().into()
}

/// The ways of scheduling to choose from.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyName {
    /// By program, cached prefix and load.
    #[default]
    Default,
    /// The next engine in turn, first come first served.
    RoundRobin,
    /// The engine with the least load, first come first served.
    LeastLoaded,
    /// Always the same engine for a program, first come first served.
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

/// How work is scheduled; each mechanism can be switched off for a comparison.
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent switches of a record"
)]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct PolicySpec {
    /// The way of scheduling.
    pub policy: PolicyName,
    /// Order waiting calls by priority and program instead of arrival.
    pub program_order: bool,
    /// Prefer engines that have a program's prefix cached.
    pub cache_placement: bool,
    /// Keep prefixes over tool pauses.
    pub retention: bool,
    /// Keep calls waiting here while every engine is full.
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
    /// Returns the mechanisms that are in force: a baseline has none of them.
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
    /// Returns an error for a name that is no mechanism.
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
    /// It does; when it can't be reached it may still be serving.
    #[default]
    Live,
    /// Every instance in it is known to have stopped for good.
    Lost,
}

/// A failure domain.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct DomainSpec {
    /// Whether it still exists.
    pub state: DomainState,
}
