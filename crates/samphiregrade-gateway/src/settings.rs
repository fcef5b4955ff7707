//! Settings of an entry or keeper instance on a platform's machine: one TOML file that is validated completely.

use std::fs;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::Duration;

use samphiregrade_http::descriptor_limit;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::access::FreshnessRule;
use crate::exchange::{DescriptorCount, MachineLimits, MemoryMegabytes};
use crate::limits::LimitRule;
use crate::model::DomainId;
use crate::store::FollowTiming;

/// Share of the propagation limit for which changes are collected before they are read: upstreams start and leave in
/// groups, and each read costs calls of every follower.
const BATCH_SHARE: f64 = 0.25;

/// Error of reading or validating the settings.
#[derive(Debug, Error)]
pub enum GatewaySettingsError {
    /// The file can't be read.
    #[error("{path}: {error}; name a readable settings file with --settings")]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Cause of the failure.
        error: std::io::Error,
    },
    /// A key is missing or unknown, or a value has the wrong type.
    #[error("the settings are not valid:\n{0}correct the marked line; the guide lists every key")]
    Invalid(Box<toml::de::Error>),
    /// A value is out of range.
    #[error("setting `{key}`: {problem}")]
    BadValue {
        /// The key, qualified by its section.
        key: &'static str,
        /// The problem and its remedy.
        problem: &'static str,
    },
}

/// Settings of an entry or keeper instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct GatewaySettings {
    /// Identity of the instance.
    pub instance: InstanceSection,
    /// Addresses on which the instance listens.
    pub listen: ListenSection,
    /// The platform's key-value service.
    pub store: StoreSection,
    /// Simultaneous losses that are tolerated.
    #[serde(default)]
    pub tolerance: ToleranceSection,
    /// Times that the platform guarantees or requires.
    #[serde(default)]
    pub times: TimeSection,
    /// Guarantees for organisations.
    #[serde(default)]
    pub organisations: OrganisationSection,
    /// Placement of requests at upstreams.
    #[serde(default)]
    pub upstreams: UpstreamSection,
}

/// Identity of the instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct InstanceSection {
    /// Name, unique in the deployment and unchanged across restarts.
    pub name: SmolStr,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Folder in which facts are stored; set on instances with a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Whether this is the first start of the deployment, with all disks empty.
    #[serde(default)]
    pub first_start: bool,
    /// Memory of the machine in megabytes.
    #[serde(default = "default_memory")]
    pub memory_megabytes: MemoryMegabytes,
    /// Number of descriptors that the process may open; defaults to the limit that the system states.
    #[serde(default)]
    pub file_descriptors: Option<DescriptorCount>,
}

fn default_memory() -> MemoryMegabytes {
    MachineLimits::default().memory
}

impl InstanceSection {
    /// Returns what the machine offers: the smaller number of descriptors, if both the settings and the system state one.
    #[must_use]
    pub fn machine_limits(&self) -> MachineLimits {
        let known = [self.file_descriptors, descriptor_limit()];
        let default = MachineLimits::default().descriptors;
        MachineLimits {
            memory: self.memory_megabytes,
            descriptors: known.into_iter().flatten().min().unwrap_or(default),
        }
    }
}

/// Addresses on which the instance listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListenSection {
    /// Address of the machine.
    pub address: IpAddr,
    /// Address for clients (TCP); set on entry instances.
    #[serde(default)]
    pub clients: Option<SocketAddr>,
    /// Address for readiness probes (TCP); set on entry instances.
    #[serde(default)]
    pub readiness: Option<SocketAddr>,
    /// First and last port of the range for traffic between instances (TCP). Links use the first port; metrics and the
    /// dump use the port after it.
    pub link_ports: [u16; 2],
    /// Address at which other instances reach the links (TCP), if it differs from the listening address, for example
    /// behind a proxy.
    #[serde(default)]
    pub advertised_links: Option<SocketAddr>,
}

impl ListenSection {
    /// Returns the address at which other instances reach the links.
    #[must_use]
    pub fn advertised_links(&self) -> SocketAddr {
        self.advertised_links.unwrap_or_else(|| self.links())
    }

    /// Returns the address for links.
    #[must_use]
    pub fn links(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.link_ports[0])
    }

    /// Returns the address for metrics and the dump.
    #[must_use]
    pub fn metrics(&self) -> SocketAddr {
        SocketAddr::new(self.address, self.link_ports[0].saturating_add(1))
    }
}

/// The platform's key-value service.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct StoreSection {
    /// Address of the service.
    pub address: SocketAddr,
}

/// Simultaneous losses that are tolerated without losing a fact.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ToleranceSection {
    /// Number of instances with a disk.
    pub instances: usize,
    /// Number of failure domains.
    pub failure_domains: usize,
}

impl Default for ToleranceSection {
    fn default() -> Self {
        Self {
            instances: 1,
            failure_domains: 1,
        }
    }
}

/// Times that the platform guarantees or requires.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct TimeSection {
    /// Seconds between the stop signal and the kill.
    pub grace_seconds: f64,
    /// Milliseconds within which requests to a departing upstream must cease.
    pub drain_milliseconds: f64,
    /// Milliseconds within which a changed configuration must be in force; defaults to `drain_milliseconds`.
    pub configuration_milliseconds: Option<f64>,
}

impl Default for TimeSection {
    fn default() -> Self {
        Self {
            grace_seconds: 8.0,
            drain_milliseconds: 2000.0,
            configuration_milliseconds: None,
        }
    }
}

/// Placement of requests at upstreams.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct UpstreamSection {
    /// Whether the speeds of upstreams that don't report how long work takes are learned from their response times.
    pub learn_speeds: bool,
}

/// Guarantees for organisations, their keys and their limits.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct OrganisationSection {
    /// Milliseconds after the withdrawal of a key until no instance serves requests with this key any more. If unset,
    /// instances that are cut off continue to accept the keys that they know.
    pub withdrawal_milliseconds: Option<f64>,
    /// Length in seconds of the window in which an organisation's requests are counted.
    pub limit_window_seconds: f64,
}

impl Default for OrganisationSection {
    fn default() -> Self {
        Self {
            withdrawal_milliseconds: None,
            limit_window_seconds: 5.0,
        }
    }
}

impl OrganisationSection {
    /// Returns the rule for how long a withdrawn key may be accepted.
    #[must_use]
    pub fn freshness_rule(&self) -> FreshnessRule {
        let bound = self.withdrawal_milliseconds;
        FreshnessRule {
            strict: bound.map(|bound| Duration::from_secs_f64(bound / 1000.0)),
        }
    }

    /// Returns the rule for counting requests against limits. If keys are accepted for a bounded time only without the
    /// key-value service, limits need not be enforced for much longer without their home keepers.
    #[must_use]
    pub fn limit_rule(&self) -> LimitRule {
        let period = self.freshness_rule().strict.map(|bound| bound * 2);
        LimitRule {
            window: Duration::from_secs_f64(self.limit_window_seconds),
            standalone_period: period.unwrap_or(LimitRule::default().standalone_period),
        }
    }
}

impl TimeSection {
    /// Returns the time between the stop signal and the kill.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_seconds)
    }

    /// Returns the time within which requests to a departing upstream must cease.
    #[must_use]
    pub fn drain(&self) -> Duration {
        Duration::from_secs_f64(self.drain_milliseconds / 1000.0)
    }

    /// Returns the time within which every change in the key-value service must be in force: the departure of an
    /// upstream, and a changed configuration.
    #[must_use]
    pub fn propagation_limit(&self) -> Duration {
        let configuration = self.configuration_milliseconds;
        let configuration = configuration.unwrap_or(self.drain_milliseconds);
        let shorter = configuration.min(self.drain_milliseconds);
        Duration::from_secs_f64(shorter / 1000.0)
    }

    /// Returns the time for which changes in the key-value service are collected before they are read.
    #[must_use]
    pub fn batch_delay(&self) -> Duration {
        self.propagation_limit().mul_f64(BATCH_SHARE)
    }
}

impl GatewaySettings {
    /// Returns the timing with which an entry follows the key-value service directly while no keeper reports anything.
    #[must_use]
    pub fn follow_timing(&self) -> FollowTiming {
        let freshness = self.organisations.freshness_rule();
        let proofs = freshness.strict.map(|_| freshness.read_interval());
        FollowTiming::new(self.times.batch_delay(), proofs)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`GatewaySettingsError`] with the key and the remedy.
    pub fn read(path: &Path) -> Result<Self, GatewaySettingsError> {
        let text = fs::read_to_string(path).map_err(|error| GatewaySettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`GatewaySettingsError`] with the key and the remedy.
    pub fn parse(text: &str) -> Result<Self, GatewaySettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| GatewaySettingsError::Invalid(Box::new(error)))?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), GatewaySettingsError> {
        let bad = |key, problem| Err(GatewaySettingsError::BadValue { key, problem });
        if self.instance.name.is_empty() {
            return bad("instance.name", "is empty; give each instance its own name");
        }
        if self.instance.memory_megabytes < 16 {
            return bad("instance.memory-megabytes", "is too small; use 16 or more");
        }
        if self
            .instance
            .file_descriptors
            .is_some_and(|count| count < 64)
        {
            return bad(
                "instance.file-descriptors",
                "is too small; use 64 or more, or leave it out",
            );
        }
        if self.listen.link_ports[0] >= self.listen.link_ports[1] {
            return bad(
                "listen.link-ports",
                "has fewer than two ports; name a first and a last one",
            );
        }
        if !(1.0..=3600.0).contains(&self.times.grace_seconds) {
            return bad("times.grace-seconds", "is out of range; use 1 to 3600");
        }
        if !(0.0..=600_000.0).contains(&self.times.drain_milliseconds) {
            return bad(
                "times.drain-milliseconds",
                "is out of range; use 0 to 600000",
            );
        }
        let configuration = self.times.configuration_milliseconds;
        if configuration.is_some_and(|bound| !(0.0..=600_000.0).contains(&bound)) {
            return bad(
                "times.configuration-milliseconds",
                "is out of range; use 0 to 600000, or leave it out",
            );
        }
        let bound = self.organisations.withdrawal_milliseconds;
        if bound.is_some_and(|bound| !(500.0..=600_000.0).contains(&bound)) {
            return bad(
                "organisations.withdrawal-milliseconds",
                "is out of range; use 500 to 600000, or leave it out",
            );
        }
        if !(0.1..=3600.0).contains(&self.organisations.limit_window_seconds) {
            return bad(
                "organisations.limit-window-seconds",
                "is out of range; use 0.1 to 3600",
            );
        }
        Ok(())
    }
}
