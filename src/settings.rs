//! Settings of an instance: one TOML file, fully validated before the instance starts.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use samphiregrade_http::{BudgetSettings, descriptor_limit};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::{DomainId, InstanceName};
use crate::keyvalue::{KeyValueLimits, ListedInstance};
use crate::membership::MembershipSettings;
use crate::shard::ShardSettings;
use crate::upstream::PollerSettings;

/// Part of the machine's memory that callers' connections and bodies may hold, as a divisor.
const CALLER_SHARE_DIVISOR: usize = 3;

/// Part of the descriptors that callers' connections may take, as a divisor; upstreams, links and files need the others.
const CONNECTION_DIVISOR: usize = 2;

/// Reason why settings can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {error}; name a readable settings file with --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        error: io::Error,
    },
    /// A key is unknown or a value has the wrong type.
    #[error("the settings are not valid:\n{0}correct the marked line; the guide lists every key")]
    Invalid(Box<toml::de::Error>),
    /// A value is out of its range.
    #[error("setting `{key}`: {problem}")]
    BadValue {
        /// The key with its section.
        key: &'static str,
        /// What is wrong and which values are accepted.
        problem: SmolStr,
    },
}

/// Settings of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Identity of the instance.
    pub instance: InstanceSection,
    /// Addresses of the listeners.
    pub listen: ListenSection,
    /// The key-value service, the instance list and the weight store.
    pub platform: PlatformSection,
    /// Certificates of the links.
    pub links: LinkSection,
    /// Replication and retention of shards.
    #[serde(default)]
    pub shards: ShardSection,
    /// Probing of other instances.
    #[serde(default)]
    pub membership: MembershipSection,
    /// Polling of upstreams.
    #[serde(default)]
    pub upstreams: UpstreamSection,
    /// Limits for callers' requests.
    #[serde(default)]
    pub limits: LimitSection,
}

/// Identity of the instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct InstanceSection {
    /// Name, unique in the deployment and kept across restarts.
    pub name: InstanceName,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Folder for the stored shard copies, if the instance has a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
}

/// Addresses and threads of the listeners.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct ListenSection {
    /// Address for callers (TCP).
    pub callers: SocketAddr,
    /// Address for operators (TCP).
    pub operators: SocketAddr,
    /// Address for other instances (UDP).
    pub peers: SocketAddr,
    /// Event-loop threads for callers.
    #[serde(default = "default_workers")]
    pub workers: usize,
    /// Threads of the runtime for all other tasks.
    #[serde(default = "default_runtime_threads")]
    pub runtime_threads: usize,
}

fn default_runtime_threads() -> usize {
    2
}

fn default_workers() -> usize {
    1
}

/// The key-value service, the instance list and the weight store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformSection {
    /// Base URL of the key-value service's JSON gateway.
    pub key_value: SmolStr,
    /// URL of the instance list.
    #[serde(default)]
    pub instance_list: Option<SmolStr>,
    /// Fixed list of instances, if there is no URL.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// Base URL of the weight store, if instances order engines to load models.
    #[serde(default)]
    pub weight_store: Option<SmolStr>,
    /// Rate limit of this instance's calls of the key-value service, in calls per second.
    #[serde(default = "default_calls")]
    pub calls_per_second: f64,
    /// Calls that can be made at once after a period without calls.
    #[serde(default = "default_burst")]
    pub call_burst: f64,
}

fn default_calls() -> f64 {
    KeyValueLimits::default().calls_per_second
}

fn default_burst() -> f64 {
    KeyValueLimits::default().burst
}

/// Certificates of the links, as PEM files.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct LinkSection {
    /// Certificate of the authority.
    pub authority: PathBuf,
    /// Certificate of the instance.
    pub certificate: PathBuf,
    /// Private key of the instance.
    pub key: PathBuf,
}

/// Replication and retention of shards.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ShardSection {
    /// Number of shards of each failure domain; applied only at the first start of a failure domain.
    pub count: u16,
    /// Backups in the shard's own failure domain.
    pub local_backups: usize,
    /// Backups in other failure domains.
    pub remote_backups: usize,
    /// Timeout of a backup's reply, in milliseconds.
    pub append_timeout_ms: u64,
    /// Time for which an ended program is retained, in seconds.
    pub remember_seconds: u64,
    /// Longest time for which an engine keeps a prefix during a pause of its program, in seconds.
    pub longest_hold_seconds: u64,
}

impl Default for ShardSection {
    fn default() -> Self {
        let shards = ShardSettings::default();
        Self {
            count: 8,
            local_backups: shards.local_backups,
            remote_backups: shards.remote_backups,
            append_timeout_ms: 500,
            remember_seconds: shards.retention.as_secs(),
            longest_hold_seconds: shards.max_hold.as_secs(),
        }
    }
}

impl ShardSection {
    /// Returns the settings of the shard copies.
    #[must_use]
    pub fn copy_settings(&self) -> ShardSettings {
        ShardSettings {
            local_backups: self.local_backups,
            remote_backups: self.remote_backups,
            append_timeout: Duration::from_millis(self.append_timeout_ms),
            retention: Duration::from_secs(self.remember_seconds),
            max_hold: Duration::from_secs(self.longest_hold_seconds),
            ..ShardSettings::default()
        }
    }
}

/// Probing of other instances.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct MembershipSection {
    /// Time between two probes of the same instance, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time without a response after which an instance is suspected, in milliseconds.
    pub suspect_after_ms: u64,
    /// Time between two readings of the instance list, in milliseconds.
    pub list_interval_ms: u64,
}

impl Default for MembershipSection {
    fn default() -> Self {
        Self {
            probe_interval_ms: 250,
            suspect_after_ms: 1200,
            list_interval_ms: 2000,
        }
    }
}

impl MembershipSection {
    /// Returns the settings of the membership task.
    #[must_use]
    pub fn task_settings(&self) -> MembershipSettings {
        MembershipSettings {
            probe_interval: Duration::from_millis(self.probe_interval_ms),
            suspect_after: Duration::from_millis(self.suspect_after_ms),
            list_interval: Duration::from_millis(self.list_interval_ms),
            ..MembershipSettings::default()
        }
    }
}

/// Polling of upstreams.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct UpstreamSection {
    /// Time between two readings of an upstream's load, in milliseconds.
    pub poll_interval_ms: u64,
    /// Time between two readings of an engine's holds, in milliseconds.
    pub holds_interval_ms: u64,
    /// Number of instances of a failure domain that poll the same upstream.
    pub readers: usize,
    /// Event-loop threads for requests to upstreams and to the key-value service.
    pub client_threads: usize,
}

impl Default for UpstreamSection {
    fn default() -> Self {
        Self {
            poll_interval_ms: 250,
            holds_interval_ms: 5000,
            readers: 2,
            client_threads: 1,
        }
    }
}

impl UpstreamSection {
    /// Returns the settings of the polling task.
    #[must_use]
    pub fn poller_settings(&self) -> PollerSettings {
        PollerSettings {
            interval: Duration::from_millis(self.poll_interval_ms),
            holds_interval: Duration::from_millis(self.holds_interval_ms),
            readers: self.readers,
        }
    }
}

/// Limits for callers' requests.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSection {
    /// Largest accepted body in bytes.
    pub body_bytes: usize,
    /// Longest time for reading a body, in seconds.
    pub body_seconds: u64,
    /// Memory of the machine in megabytes; bounds what callers' connections and bodies may hold together.
    pub memory_megabytes: u64,
    /// Largest number of open connections of callers; at most half of the descriptors that the system permits.
    pub connections: usize,
    /// Longest time a request waits for its response before the caller has to send it again, in seconds.
    pub wait_seconds: u64,
    /// Longest time for finding the primary of a request, in milliseconds.
    pub route_ms: u64,
    /// Time for load balancers to notice that the instance is no longer ready, in milliseconds.
    pub linger_ms: u64,
    /// Time limit of a graceful shutdown, in seconds.
    pub drain_seconds: u64,
}

impl Default for LimitSection {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            body_seconds: 10,
            memory_megabytes: 256,
            connections: 4096,
            wait_seconds: 25,
            route_ms: 4000,
            linger_ms: 2000,
            drain_seconds: 60,
        }
    }
}

impl LimitSection {
    /// Returns the memory and the connections that callers may hold together.
    #[must_use]
    pub fn caller_budget(&self) -> BudgetSettings {
        let megabytes = usize::try_from(self.memory_megabytes).unwrap_or(usize::MAX);
        let descriptors = descriptor_limit().and_then(|limit| usize::try_from(limit).ok());
        let half = descriptors.map_or(usize::MAX, |limit| limit / CONNECTION_DIVISOR);
        BudgetSettings {
            bytes: megabytes.saturating_mul(1 << 20) / CALLER_SHARE_DIVISOR,
            connections: self.connections.min(half).max(1),
            ..BudgetSettings::default()
        }
    }
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the line or key and the remedy.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            path: path.to_owned(),
            error,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns [`SettingsError`] with the line or key and the remedy.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::Invalid(Box::new(error)))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsError> {
        let bad_value = |key, problem: &str| {
            let problem = problem.into();
            Err(SettingsError::BadValue { key, problem })
        };
        let is_plain_name = |text: &str| {
            let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
            !text.is_empty() && text.bytes().all(allowed)
        };
        if !is_plain_name(&self.instance.name) {
            return bad_value(
                "instance.name",
                "has to have letters, digits, `-` or `_` only",
            );
        }
        if !is_plain_name(&self.instance.failure_domain) {
            return bad_value(
                "instance.failure-domain",
                "has to have letters, digits, `-` or `_` only",
            );
        }
        if self.listen.workers == 0 || self.listen.runtime_threads == 0 {
            return bad_value(
                "listen.workers",
                "has to be at least 1, as has listen.runtime-threads",
            );
        }
        if !self.platform.key_value.starts_with("http://") {
            return bad_value(
                "platform.key-value",
                "has to be a URL such as http://10.0.0.2:2379",
            );
        }
        let limits = &self.limits;
        if limits.memory_megabytes < 32 || limits.connections == 0 {
            return bad_value(
                "limits.memory-megabytes",
                "has to be at least 32, and limits.connections at least 1",
            );
        }
        if self.shards.count == 0 {
            return bad_value("shards.count", "has to be at least 1");
        }
        if self.platform.calls_per_second <= 0.0 || self.platform.call_burst < 1.0 {
            return bad_value(
                "platform.calls-per-second",
                "has to be above 0, and call-burst at least 1",
            );
        }
        if self.upstreams.poll_interval_ms == 0 {
            return bad_value("upstreams.poll-interval-ms", "has to be at least 1");
        }
        let membership = &self.membership;
        if membership.probe_interval_ms == 0
            || membership.suspect_after_ms < membership.probe_interval_ms * 2
        {
            return bad_value(
                "membership.suspect-after-ms",
                "has to be at least twice membership.probe-interval-ms, which has to be above 0",
            );
        }
        Ok(())
    }
}
