//! The current configuration, as the request path reads it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::Serialize;
use smol_str::SmolStr;

use super::schema::RecordSpec;
use super::spec::{
    DomainSpec, DomainState, ModelSpec, OrganisationSpec, PolicySpec, ProgramClassSpec,
    UpstreamKind, UpstreamSpec, token_hash,
};
use crate::ids::{ClassName, DomainId, ModelName, OrganisationId, RevisionNumber, UpstreamName};

/// Report of a record that this release can't use.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RecordProblem {
    /// Key of the record.
    pub key: SmolStr,
    /// What is wrong and how to correct it.
    pub problem: SmolStr,
    /// Whether the last readable version of the record stays in use.
    pub kept_last_good: bool,
}

/// The configuration at one revision; immutable once it is built.
#[derive(Clone, Debug, Default)]
pub struct ConfigView {
    revision: RevisionNumber,
    classes: BTreeMap<ClassName, ProgramClassSpec>,
    models: BTreeMap<ModelName, ModelSpec>,
    upstreams: BTreeMap<UpstreamName, Arc<UpstreamSpec>>,
    organisations: BTreeMap<OrganisationId, OrganisationSpec>,
    organisation_of: BTreeMap<SmolStr, OrganisationId>,
    domains: BTreeMap<DomainId, DomainSpec>,
    policy: PolicySpec,
    problems: Vec<RecordProblem>,
}

impl ConfigView {
    /// Creates an empty view.
    #[must_use]
    pub fn new(revision: RevisionNumber) -> Self {
        Self {
            revision,
            ..Self::default()
        }
    }

    /// Adds a record.
    pub fn add(&mut self, name: &str, spec: &RecordSpec) {
        let name = SmolStr::from(name);
        match spec {
            RecordSpec::ProgramClass(class) => {
                self.classes.insert(name, class.clone());
            }
            RecordSpec::Model(model) => {
                self.models.insert(name, model.clone());
            }
            RecordSpec::Upstream(upstream) => {
                self.upstreams.insert(name, Arc::new(upstream.clone()));
            }
            RecordSpec::Organisation(organisation) => {
                for hash in &organisation.token_hashes {
                    self.organisation_of.insert(hash.clone(), name.clone());
                }
                self.organisations.insert(name, organisation.clone());
            }
            RecordSpec::Policy(policy) => self.policy = policy.clone(),
            RecordSpec::FailureDomain(domain) => {
                self.domains.insert(name, domain.clone());
            }
        }
    }

    /// Adds the report of a record that can't be used.
    pub fn add_problem(&mut self, problem: RecordProblem) {
        self.problems.push(problem);
    }

    /// Returns the revision.
    #[must_use]
    pub fn revision(&self) -> RevisionNumber {
        self.revision
    }

    /// Returns a program class.
    #[must_use]
    pub fn class(&self, name: &str) -> Option<&ProgramClassSpec> {
        self.classes.get(name)
    }

    /// Returns a model.
    #[must_use]
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.get(name)
    }

    /// Returns every model.
    pub fn models(&self) -> impl Iterator<Item = (&ModelName, &ModelSpec)> {
        self.models.iter()
    }

    /// Returns an upstream.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Arc<UpstreamSpec>> {
        self.upstreams.get(name)
    }

    /// Returns every upstream.
    pub fn upstreams(&self) -> impl Iterator<Item = (&UpstreamName, &Arc<UpstreamSpec>)> {
        self.upstreams.iter()
    }

    /// Returns the model of a call: the one that it requests, else the one that its class names.
    #[must_use]
    pub fn wanted_model(&self, requested: Option<&ModelName>, class: &str) -> Option<ModelName> {
        let by_class = || self.class(class).map(|class| class.model.clone());
        requested.cloned().or_else(by_class)
    }

    /// Returns whether any upstream serves the model.
    #[must_use]
    pub fn serves_model(&self, model: &str) -> bool {
        self.upstreams.values().any(|upstream| {
            upstream.kind == UpstreamKind::Engine && upstream.models.iter().any(|one| one == model)
        })
    }

    /// Returns whether any upstream belongs to the service.
    #[must_use]
    pub fn serves_service(&self, service: &str) -> bool {
        self.upstreams
            .values()
            .any(|upstream| upstream.kind == UpstreamKind::Service && upstream.service == service)
    }

    /// Returns an organisation.
    #[must_use]
    pub fn organisation(&self, name: &str) -> Option<&OrganisationSpec> {
        self.organisations.get(name)
    }

    /// Returns the organisation that an access token belongs to.
    #[must_use]
    pub fn organisation_of(&self, token: &str) -> Option<&OrganisationId> {
        self.organisation_of.get(&token_hash(token))
    }

    /// Returns whether there is an organisation of operators.
    #[must_use]
    pub fn has_operators(&self) -> bool {
        self.organisations.values().any(|spec| spec.operator)
    }

    /// Returns the failure domains in which programs may be started, sorted by name.
    #[must_use]
    pub fn live_domains(&self) -> Vec<DomainId> {
        let live = self
            .domains
            .iter()
            .filter(|(_, spec)| spec.state == DomainState::Live);
        live.map(|(name, _)| name.clone()).collect()
    }

    /// Returns the number of failure domains, at least 1.
    #[must_use]
    pub fn domain_count(&self) -> usize {
        self.domains.len().max(1)
    }

    /// Returns whether the operators have declared a failure domain lost.
    #[must_use]
    pub fn is_lost(&self, domain: &str) -> bool {
        self.domains
            .get(domain)
            .is_some_and(|spec| spec.state == DomainState::Lost)
    }

    /// Returns the scheduling policy.
    #[must_use]
    pub fn policy(&self) -> &PolicySpec {
        &self.policy
    }

    /// Returns the records that can't be used.
    #[must_use]
    pub fn problems(&self) -> &[RecordProblem] {
        &self.problems
    }
}
