//! Model of the two users' deployments, limited to what the system sees of them.
//!
//! The users supplied no engine figures; those here are assumptions of this project.

use std::str::FromStr;

use serde_json::json;
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::ids::DomainId;
use crate::program::ProgramLimits;
use crate::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind, UpstreamKind, token_hash};

use super::plan::ClassShape;

/// Unknown deployment name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("there is no deployment `{0}`; use cantabrica or agrovision")]
pub struct DeploymentError(SmolStr);

/// Failure domain and its number of instances.
#[derive(Clone, Debug)]
pub struct DomainLayout {
    /// Unique name.
    pub name: DomainId,
    /// Number of entry instances.
    pub instances: usize,
}

/// Model engine.
#[derive(Clone, Debug)]
pub struct EngineLayout {
    /// Unique name.
    pub name: SmolStr,
    /// Failure domain of the upstream.
    pub domain: DomainId,
    /// Whether it refuses stale fencing numbers.
    pub checks_fencing: bool,
}

/// Upstream of a tool service or plain service.
#[derive(Clone, Debug)]
pub struct ServiceLayout {
    /// Unique name.
    pub name: SmolStr,
    /// Failure domain of the upstream.
    pub domain: DomainId,
    /// Service that this upstream provides.
    pub service: SmolStr,
    /// Whether it refuses stale fencing numbers.
    pub checks_fencing: bool,
    /// Whether it reports the outcome of an earlier call.
    pub tells_outcome: bool,
}

/// Deployment: failure domains, upstreams and program classes of one organisation.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// Unique name.
    pub name: SmolStr,
    /// Organisation whose callers use it.
    pub organisation: SmolStr,
    /// Access token of the callers.
    pub token: SmolStr,
    /// Model that serves every class.
    pub model: SmolStr,
    /// Failure domains.
    pub domains: Vec<DomainLayout>,
    /// Engines.
    pub engines: Vec<EngineLayout>,
    /// Services.
    pub services: Vec<ServiceLayout>,
    /// Classes with the shapes of their programs.
    pub classes: Vec<ClassShape>,
}

impl FromStr for Deployment {
    type Err = DeploymentError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "cantabrica" => Ok(Self::cantabrica()),
            "agrovision" => Ok(Self::agrovision()),
            other => Err(DeploymentError(other.into())),
        }
    }
}

impl Deployment {
    /// Returns the car finance deployment: customers wait at a showroom desk, so program latency weighs more.
    #[must_use]
    pub fn cantabrica() -> Self {
        Self::compose(
            "cantabrica",
            "policy",
            ["bilbao-a", "bilbao-b", "bilbao-c"],
            ["policy-reasoning", "application", "credit-bureau"],
            vec![
                ClassShape::question("eligibility", 2, 0.9),
                ClassShape::dossier("dossier", 4, 0.8),
            ],
        )
    }

    /// Returns the farm report deployment: mostly same-day drafting, so wasted cache weighs more; alerts have the
    /// highest priority.
    #[must_use]
    pub fn agrovision() -> Self {
        Self::compose(
            "agrovision",
            "drafting",
            ["montevideo-a", "montevideo-b", "canelones"],
            ["report-drafting", "field-app", "dealer"],
            vec![
                ClassShape::alert("urgent-alert", 0, 1.0),
                ClassShape::draft("visit-report", 6, 0.2),
                ClassShape::dossier("spray-advice", 4, 0.4),
            ],
        )
    }

    fn compose(
        name: &str,
        model: &str,
        domains: [&str; 3],
        [worker, service, tool]: [&str; 3],
        classes: Vec<ClassShape>,
    ) -> Self {
        let domain = |index: usize| SmolStr::from(domains[index % domains.len()]);
        let engines = (0..10).map(|index| EngineLayout {
            name: format_smolstr!("{worker}-{index}"),
            domain: domain(index),
            checks_fencing: index % 2 == 0,
        });
        let services = (0..3).map(|index| ServiceLayout {
            name: format_smolstr!("{service}-{index}"),
            domain: domain(index),
            service: service.into(),
            checks_fencing: false,
            tells_outcome: index == 0,
        });
        let tools = (0..2).map(|index| ServiceLayout {
            name: format_smolstr!("{tool}-{index}"),
            domain: domain(index),
            service: tool.into(),
            checks_fencing: index == 0,
            tells_outcome: index == 0,
        });
        Self {
            name: name.into(),
            organisation: name.into(),
            token: format_smolstr!("{name}-token"),
            model: model.into(),
            domains: domains
                .iter()
                .map(|name| DomainLayout {
                    name: (*name).into(),
                    instances: 3,
                })
                .collect(),
            engines: engines.collect(),
            services: services.chain(tools).collect(),
            classes: classes
                .into_iter()
                .map(|class| class.with_services(service, tool))
                .collect(),
        }
    }

    /// Sets the number of instances of each failure domain.
    #[must_use]
    pub fn with_instances(mut self, instances: usize) -> Self {
        for domain in &mut self.domains {
            domain.instances = instances;
        }
        self
    }

    /// Keeps only the first `engines` engines.
    #[must_use]
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines.truncate(engines);
        self
    }
}

/// Returns the records of a deployment; `address` returns an upstream's base URL by its name.
pub fn deployment_records<Address>(deployment: &Deployment, address: Address) -> Vec<RecordEnvelope>
where
    Address: Fn(&str) -> SmolStr,
{
    let record = |kind, name: &SmolStr, spec| RecordEnvelope {
        schema: CURRENT_SCHEMA,
        kind,
        name: name.clone(),
        spec,
    };
    let mut records = Vec::new();
    for domain in &deployment.domains {
        records.push(record(
            RecordKind::FailureDomain,
            &domain.name,
            json!({"state": "live"}),
        ));
    }
    let hashes = [token_hash(&deployment.token)];
    let organisation = json!({"token-hashes": hashes});
    records.push(record(
        RecordKind::Organisation,
        &deployment.organisation,
        organisation,
    ));
    let model = json!({"version": "1", "replicas": 4});
    records.push(record(RecordKind::Model, &deployment.model, model));
    for class in &deployment.classes {
        let limits = ProgramLimits {
            tokens: class.tokens,
            ..ProgramLimits::default()
        };
        let spec = json!({
            "model": deployment.model, "priority": class.priority,
            "latency-weight": class.latency_weight, "limits": limits,
        });
        records.push(record(RecordKind::ProgramClass, &class.name, spec));
    }
    for engine in &deployment.engines {
        let spec = json!({
            "kind": UpstreamKind::Engine, "address": address(&engine.name),
            "failure-domain": engine.domain, "models": [deployment.model],
            "checks-fencing": engine.checks_fencing,
        });
        records.push(record(RecordKind::Upstream, &engine.name, spec));
    }
    for service in &deployment.services {
        let spec = json!({
            "kind": UpstreamKind::Service, "address": address(&service.name),
            "failure-domain": service.domain, "service": service.service,
            "checks-fencing": service.checks_fencing, "tells-outcome": service.tells_outcome,
            "timeout-seconds": 5,
        });
        records.push(record(RecordKind::Upstream, &service.name, spec));
    }
    records
}
