//! The kinds of record and their schema versions 1 and 2.
//!
//! Every version is converted to the current type; fields that version 1 lacks get their defaults.

use std::fmt;
use std::str::FromStr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;

use super::spec::{
    DomainSpec, ModelSpec, OrganisationSpec, OrganisationV1, PolicySpec, ProgramClassSpec,
    ProgramClassV1, UpstreamKind, UpstreamSpec, UpstreamV1,
};

/// Newest schema version that this release reads and writes.
pub const CURRENT_SCHEMA: u32 = 2;

/// Kind of a record.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RecordKind {
    /// A class of programs that may run.
    ProgramClass,
    /// A model and its version.
    Model,
    /// An engine, plain service or tool service.
    Upstream,
    /// An organisation and its tokens.
    Organisation,
    /// The scheduling policy.
    Policy,
    /// A failure domain.
    FailureDomain,
}

impl RecordKind {
    /// Every kind.
    pub const ALL: [Self; 6] = [
        Self::ProgramClass,
        Self::Model,
        Self::Upstream,
        Self::Organisation,
        Self::Policy,
        Self::FailureDomain,
    ];

    /// Returns the name of the kind in keys and on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ProgramClass => "program-class",
            Self::Model => "model",
            Self::Upstream => "upstream",
            Self::Organisation => "organisation",
            Self::Policy => "policy",
            Self::FailureDomain => "failure-domain",
        }
    }
}

impl fmt::Display for RecordKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for RecordKind {
    type Err = RecordError;

    fn from_str(text: &str) -> Result<Self, RecordError> {
        Self::ALL
            .into_iter()
            .find(|kind| kind.name() == text)
            .ok_or_else(|| RecordError::UnknownKind(text.into()))
    }
}

/// Reason why a record can't be used.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum RecordError {
    /// The kind is unknown.
    #[error(
        "there is no record kind `{0}`; use program-class, model, upstream, organisation, policy \
         or failure-domain"
    )]
    UnknownKind(SmolStr),
    /// The schema version is newer than this release supports.
    #[error(
        "schema version {0} is not known here (1 to {CURRENT_SCHEMA} are); upgrade the instances \
         first, or write the record in schema {CURRENT_SCHEMA}"
    )]
    UnknownSchema(u32),
    /// The record is not JSON of the expected shape.
    #[error("the record is not valid: {0}; correct the named field")]
    Invalid(SmolStr),
    /// A value is out of its range.
    #[error("field `{field}`: {problem}")]
    BadField {
        /// Name of the field.
        field: &'static str,
        /// What is wrong and which values are accepted.
        problem: SmolStr,
    },
}

/// A record as it is stored.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RecordEnvelope {
    /// Schema version of `spec`.
    pub schema: u32,
    /// Kind of the record.
    pub kind: RecordKind,
    /// Name, unique within the kind.
    pub name: SmolStr,
    /// The content, in the format of the schema version.
    pub spec: Value,
}

/// The content of a record in its current form.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordSpec {
    /// A class of programs that may run.
    ProgramClass(ProgramClassSpec),
    /// A model and its version.
    Model(ModelSpec),
    /// An engine, plain service or tool service.
    Upstream(UpstreamSpec),
    /// An organisation and its tokens.
    Organisation(OrganisationSpec),
    /// The scheduling policy.
    Policy(PolicySpec),
    /// A failure domain.
    FailureDomain(DomainSpec),
}

impl RecordEnvelope {
    /// Parses a stored record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError::Invalid`] for text that is not an envelope.
    pub fn parse(text: &str) -> Result<Self, RecordError> {
        serde_json::from_str(text).map_err(|error| RecordError::Invalid(error.to_smolstr()))
    }

    /// Reads the content according to its schema version and validates it.
    ///
    /// # Errors
    ///
    /// Returns the problem of the first invalid field, or [`RecordError::UnknownSchema`].
    pub fn read(&self) -> Result<RecordSpec, RecordError> {
        if self.name.is_empty() || self.name.contains('/') {
            let problem = "has to be non-empty and without `/`".into();
            return Err(RecordError::BadField {
                field: "name",
                problem,
            });
        }
        let is_first_version = match self.schema {
            1 => true,
            2 => false,
            newer => return Err(RecordError::UnknownSchema(newer)),
        };
        let spec = match self.kind {
            RecordKind::ProgramClass => RecordSpec::ProgramClass(if is_first_version {
                self.content::<ProgramClassV1>()?.into()
            } else {
                self.content()?
            }),
            RecordKind::Model => RecordSpec::Model(self.content()?),
            RecordKind::Upstream => RecordSpec::Upstream(if is_first_version {
                self.content::<UpstreamV1>()?.into()
            } else {
                self.content()?
            }),
            RecordKind::Organisation => RecordSpec::Organisation(if is_first_version {
                self.content::<OrganisationV1>()?.into()
            } else {
                self.content()?
            }),
            RecordKind::Policy => RecordSpec::Policy(self.content()?),
            RecordKind::FailureDomain => RecordSpec::FailureDomain(self.content()?),
        };
        spec.check()?;
        Ok(spec)
    }

    fn content<Spec>(&self) -> Result<Spec, RecordError>
    where
        Spec: DeserializeOwned,
    {
        serde_json::from_value(self.spec.clone())
            .map_err(|error| RecordError::Invalid(error.to_smolstr()))
    }
}

impl RecordSpec {
    fn check(&self) -> Result<(), RecordError> {
        let bad_field = |field, problem: &str| {
            let problem = problem.into();
            Err(RecordError::BadField { field, problem })
        };
        match self {
            Self::ProgramClass(class) if class.priority > 9 => {
                bad_field("priority", "has to be from 0 (first) to 9")
            }
            Self::ProgramClass(class) if class.limits.tokens == 0 => {
                bad_field("limits.tokens", "has to be at least 1")
            }
            Self::Upstream(upstream) if !upstream.address.starts_with("http://") => {
                bad_field("address", "has to be a URL such as http://10.0.0.7:8000")
            }
            Self::Upstream(upstream)
                if upstream.kind == UpstreamKind::Service && upstream.service.is_empty() =>
            {
                bad_field(
                    "service",
                    "has to name the service for an upstream of kind `service`",
                )
            }
            Self::Upstream(upstream)
                if upstream.kind == UpstreamKind::Engine && upstream.models.is_empty() =>
            {
                bad_field(
                    "models",
                    "has to name at least one model for an upstream of kind `engine`",
                )
            }
            Self::Organisation(organisation)
                if organisation
                    .token_hashes
                    .iter()
                    .any(|hash| hash.len() != 64) =>
            {
                bad_field(
                    "token-hashes",
                    "has to hold BLAKE3 hashes of 64 hexadecimal digits",
                )
            }
            _ => Ok(()),
        }
    }
}
