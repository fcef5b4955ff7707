//! Settings of an instance: one TOML file, checked as a whole before anything starts.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use thiserror::Error;

use crate::ids::{DomainId, InstanceName};
use crate::keyvalue::{KeyValueLimits, ListedInstance};
use crate::membership::MembershipSettings;
use crate::shard::ShardSettings;
use crate::upstream::PollerSettings;

/// Settings that can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{path}: {error}; name a readable settings file with --settings")]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Why.
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
        /// What is wrong and what would be right.
        problem: SmolStr,
    },
}

/// Settings of an instance.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Settings {
    /// Who the instance is.
    pub instance: InstanceSection,
    /// Where it listens.
    pub listen: ListenSection,
    /// Where the platform is.
    pub platform: PlatformSection,
    /// Certificates of its links.
    pub links: LinkSection,
    /// How shards are kept.
    #[serde(default)]
    pub shards: ShardSection,
    /// How other instances are watched.
    #[serde(default)]
    pub membership: MembershipSection,
    /// How upstreams are read.
    #[serde(default)]
    pub upstreams: UpstreamSection,
    /// Limits towards callers.
    #[serde(default)]
    pub limits: LimitSection,
}

/// Who the instance is.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct InstanceSection {
    /// Name, unique in the deployment and kept over restarts.
    pub name: InstanceName,
    /// Failure domain it stands in.
    pub failure_domain: DomainId,
    /// Folder for bulk data, where the instance has a disk.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
}

/// Where the instance listens.
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
    /// Threads for everything that is not an event loop.
    #[serde(default = "default_runtime_threads")]
    pub runtime_threads: usize,
}

fn default_runtime_threads() -> usize {
    2
}

fn default_workers() -> usize {
    1
}

/// Where the platform is.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct PlatformSection {
    /// Base URL of the key-value service's JSON gateway.
    pub key_value: SmolStr,
    /// URL of the instance list.
    #[serde(default)]
    pub instance_list: Option<SmolStr>,
    /// Fixed list of instances, where there is no URL.
    #[serde(default)]
    pub instances: Vec<ListedInstance>,
    /// Base URL of the weight store, where models are loaded by order.
    #[serde(default)]
    pub weight_store: Option<SmolStr>,
    /// Calls a second that this instance allows itself.
    #[serde(default = "default_calls")]
    pub calls_per_second: f64,
    /// Calls at once after a quiet time.
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

/// How shards are kept.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ShardSection {
    /// Shards of each failure domain; it counts at the first start of a failure domain only.
    pub count: u16,
    /// Backups in the shard's own failure domain.
    pub local_backups: usize,
    /// Backups in other failure domains.
    pub remote_backups: usize,
    /// Longest wait for a backup's answer, in milliseconds.
    pub append_timeout_ms: u64,
    /// Seconds for which an ended program is remembered.
    pub remember_seconds: u64,
    /// Longest time an engine keeps a prefix over a pause, in seconds.
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
    /// Returns how the copies are kept.
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

/// How other instances are watched.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct MembershipSection {
    /// Time between two probes of the same instance, in milliseconds.
    pub probe_interval_ms: u64,
    /// Silence after which an instance is suspected, in milliseconds.
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

/// How upstreams are read.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct UpstreamSection {
    /// Time between two readings of an upstream's load, in milliseconds.
    pub poll_interval_ms: u64,
    /// Time between two readings of an engine's holds, in milliseconds.
    pub holds_interval_ms: u64,
    /// Instances of a failure domain that read the same upstream.
    pub readers: usize,
    /// Event-loop threads for requests to upstreams and the platform.
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

/// Limits towards callers.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LimitSection {
    /// Largest accepted body in bytes.
    pub body_bytes: usize,
    /// Longest time for reading a body, in seconds.
    pub body_seconds: u64,
    /// Longest time a request waits for its answer before the caller has to ask again, in seconds.
    pub wait_seconds: u64,
    /// Longest time a request looks for a primary, in milliseconds.
    pub route_ms: u64,
    /// Time for balancers to notice that the instance is not ready any more, in milliseconds.
    pub linger_ms: u64,
    /// Longest time of a graceful shutdown, in seconds.
    pub drain_seconds: u64,
}

impl Default for LimitSection {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            body_seconds: 10,
            wait_seconds: 25,
            route_ms: 4000,
            linger_ms: 2000,
            drain_seconds: 60,
        }
    }
}

impl Settings {
    /// Reads and checks a settings file.
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

    /// Parses and checks the text of a settings file.
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
        let wrong = |key, problem: &str| {
            let problem = problem.into();
            Err(SettingsError::BadValue { key, problem })
        };
        let plain = |text: &str| {
            let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_".contains(&byte);
            !text.is_empty() && text.bytes().all(allowed)
        };
        if !plain(&self.instance.name) {
            return wrong(
                "instance.name",
                "has to have letters, digits, `-` or `_` only",
            );
        }
        if !plain(&self.instance.failure_domain) {
            return wrong(
                "instance.failure-domain",
                "has to have letters, digits, `-` or `_` only",
            );
        }
        if self.listen.workers == 0 || self.listen.runtime_threads == 0 {
            return wrong(
                "listen.workers",
                "has to be at least 1, as has listen.runtime-threads",
            );
        }
        if !self.platform.key_value.starts_with("http://") {
            return wrong(
                "platform.key-value",
                "has to be a URL such as http://10.0.0.2:2379",
            );
        }
        if self.shards.count == 0 {
            return wrong("shards.count", "has to be at least 1");
        }
        if self.platform.calls_per_second <= 0.0 || self.platform.call_burst < 1.0 {
            return wrong(
                "platform.calls-per-second",
                "has to be above 0, and call-burst at least 1",
            );
        }
        let membership = &self.membership;
        if membership.probe_interval_ms == 0
            || membership.suspect_after_ms < membership.probe_interval_ms * 2
        {
            return wrong(
                "membership.suspect-after-ms",
                "has to be at least twice membership.probe-interval-ms, which has to be above 0",
            );
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"
[instance]
name = "bilbao-a-0"
failure-domain = "bilbao-a"
[listen]
callers = "127.0.0.1:7000"
operators = "127.0.0.1:7001"
peers = "127.0.0.1:7002"
[platform]
key-value = "http://127.0.0.1:2379"
[links]
authority = "authority.pem"
certificate = "instance.pem"
key = "instance.key"
"#;

    #[test]
    fn smallest_file_is_enough() {
        let settings = Settings::parse(GOOD).expect("valid settings");
        assert_eq!(settings.shards.count, 8);
    }

    #[test]
    fn unknown_key_is_named_with_its_line() {
        let text = format!("{GOOD}[limits]\nbody-byte = 5\n");
        let error = Settings::parse(&text)
            .expect_err("an unknown key")
            .to_string();
        assert!(
            error.contains("body-byte") && error.contains("line"),
            "{error}"
        );
    }

    #[test]
    fn value_out_of_range_is_named_with_a_remedy() {
        let text = format!("{GOOD}[shards]\ncount = 0\n");
        let error = Settings::parse(&text).expect_err("a bad value").to_string();
        assert!(
            error.contains("shards.count") && error.contains("at least 1"),
            "{error}"
        );
    }
}
