//! Scenario files: the load of a cluster, and the faults to inject.

use std::fs;
use std::path::Path;
use std::time::Duration;

use anyhow::{Context, Result, bail, ensure};
use samphiregrade::record::PolicyName;
use serde::{Deserialize, Deserializer};
use smol_str::SmolStr;

/// Reads a duration such as `500ms`, `10s` or `2m`.
fn duration<'de, Source>(source: Source) -> Result<Duration, Source::Error>
where
    Source: Deserializer<'de>,
{
    let text = String::deserialize(source)?;
    parse_duration(&text).map_err(serde::de::Error::custom)
}

fn optional_duration<'de, Source>(source: Source) -> Result<Option<Duration>, Source::Error>
where
    Source: Deserializer<'de>,
{
    duration(source).map(Some)
}

/// Parses a duration such as `500ms`, `10s` or `2m`.
///
/// # Errors
///
/// Returns an error if the number, the unit or the sign is invalid.
pub fn parse_duration(text: &str) -> Result<Duration> {
    let split = text
        .find(|letter: char| letter.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let number: f64 = number
        .trim()
        .parse()
        .with_context(|| format!("`{text}` is not a duration"))?;
    let scale = match unit {
        "ms" => 0.001,
        "s" => 1.0,
        "m" => 60.0,
        _ => bail!("`{text}` has no unit; use ms, s or m"),
    };
    Duration::try_from_secs_f64(number * scale).context("a duration can't be negative")
}

/// A kind of fault.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Kill a process; it restarts without its memory after the time.
    Kill,
    /// Suspend a process, which the process can't detect.
    Pause,
    /// Shut a process down gracefully; it restarts after the time.
    Stop,
    /// The key-value service refuses every call, or the links of any other target carry nothing.
    Outage,
    /// Responses are delayed by `delay`.
    Slow,
    /// The share `fraction` of the responses is lost after the request took effect.
    LoseReplies,
    /// The selected links carry nothing.
    Cut,
    /// An upstream starts to leave.
    Leave,
    /// A tool executes its calls and never responds.
    Hang,
    /// Engines send no cache events and no load reports.
    Silence,
    /// Operators race to change the same record.
    ChangeRecord,
}

/// A fault of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// Start time, from the start of the load.
    #[serde(deserialize_with = "duration")]
    pub at: Duration,
    /// Duration; without it the fault never ends.
    #[serde(default, rename = "for", deserialize_with = "optional_duration")]
    pub lasting: Option<Duration>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Affected instances, upstream or service, such as `primary`, `upstream:NAME` or `key-value`.
    #[serde(default)]
    pub target: SmolStr,
    /// Two targets between which a `cut` interrupts the links.
    #[serde(default)]
    pub between: Vec<SmolStr>,
    /// Delay of slow responses.
    #[serde(default, deserialize_with = "optional_duration")]
    pub delay: Option<Duration>,
    /// Share of lost responses.
    #[serde(default)]
    pub fraction: Option<f64>,
    /// Number of racing operators.
    #[serde(default)]
    pub writers: Option<usize>,
}

/// The load of a scenario; at most one of the fields may be set.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoadSpec {
    /// Share of the engines' capacity.
    pub utilisation: Option<f64>,
    /// Programs started per second.
    pub programs_per_second: Option<f64>,
}

/// Sizes of the cluster that override the deployment's.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClusterSpec {
    /// Number of instances of each failure domain.
    pub instances: Option<usize>,
    /// Number of engines.
    pub engines: Option<usize>,
    /// Number of shards of each failure domain.
    pub shards: Option<u16>,
    /// Number of requests that an engine runs concurrently.
    pub engine_slots: Option<usize>,
    /// Capacity of an engine's cache in tokens.
    pub engine_cache_tokens: Option<usize>,
    /// Interval of the engines' load reports, which bounds the age of a report.
    #[serde(deserialize_with = "optional_duration")]
    pub report_interval: Option<Duration>,
}

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Name of the scenario.
    pub name: SmolStr,
    /// Seed of the load.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Name of the deployment, `cantabrica` or `agrovision`.
    pub deployment: SmolStr,
    /// Scheduling policy.
    #[serde(default)]
    pub policy: PolicyName,
    /// Time over which programs are started.
    #[serde(deserialize_with = "duration")]
    pub duration: Duration,
    /// Maximum time for programs to end after that.
    #[serde(deserialize_with = "duration")]
    pub drain: Duration,
    /// Load of the cluster.
    #[serde(default)]
    pub load: LoadSpec,
    /// Sizes of the cluster.
    #[serde(default)]
    pub cluster: ClusterSpec,
    /// Faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultSpec>,
}

fn default_seed() -> u64 {
    1
}

impl Scenario {
    /// Reads and checks a scenario file.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and the position or the invalid setting.
    pub fn read(path: &Path) -> Result<Self> {
        let text =
            fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("in {}", path.display()))
    }

    /// Parses and checks the text of a scenario.
    ///
    /// # Errors
    ///
    /// Returns an error that names the position or the invalid setting.
    pub fn parse(text: &str) -> Result<Self> {
        let scenario: Self = toml::from_str(text)?;
        for fault in &scenario.faults {
            fault.check()?;
        }
        let load = &scenario.load;
        ensure!(
            load.utilisation.is_none() || load.programs_per_second.is_none(),
            "[load] takes `utilisation` or `programs-per-second`, not both"
        );
        Ok(scenario)
    }
}

impl FaultSpec {
    fn check(&self) -> Result<()> {
        match self.kind {
            FaultKind::Slow => ensure!(self.delay.is_some(), "a `slow` fault needs a `delay`"),
            FaultKind::LoseReplies => {
                let fraction = self.fraction.unwrap_or(-1.0);
                let is_in_range = (0.0..=1.0).contains(&fraction);
                ensure!(
                    is_in_range,
                    "a `lose-replies` fault needs a `fraction` from 0 to 1"
                );
            }
            FaultKind::Cut => {
                let is_pair = self.between.len() == 2;
                ensure!(
                    is_pair || !self.target.is_empty(),
                    "a `cut` needs a `target` or `between`"
                );
            }
            FaultKind::ChangeRecord => {}
            _ => ensure!(
                !self.target.is_empty(),
                "a {:?} fault needs a `target`",
                self.kind
            ),
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn unknown_key_is_an_error() {
        let text = "name = \"x\"\ndeployment = \"cantabrica\"\nduration = \"1s\"\ndrain = \"1s\"\nspeed = 1\n";
        let error = format!("{:#}", Scenario::parse(text).expect_err("an unknown key"));
        assert!(error.contains("speed"), "{error}");
    }

    #[test]
    fn fault_without_its_parameter_is_an_error() {
        let text = "name = \"x\"\ndeployment = \"cantabrica\"\nduration = \"1s\"\ndrain = \"1s\"\n\
                    [[faults]]\nat = \"1s\"\nkind = \"slow\"\ntarget = \"key-value\"\n";
        assert!(Scenario::parse(text).is_err());
    }
}
