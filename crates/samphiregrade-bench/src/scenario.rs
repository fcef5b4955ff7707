//! Scenarios: what load runs, and what fails when.

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
/// Returns what is wrong with the text.
pub fn parse_duration(text: &str) -> Result<Duration> {
    let split = text
        .find(|letter: char| letter.is_ascii_alphabetic())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let number: f64 = number
        .trim()
        .parse()
        .with_context(|| format!("`{text}` is no duration"))?;
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
    /// End a process at once; it starts empty after the time.
    Kill,
    /// Stop a process without its knowing.
    Pause,
    /// Ask a process to shut down; it starts again after the time.
    Stop,
    /// A service refuses every call.
    Outage,
    /// Answers are late by `delay`.
    Slow,
    /// Replies are lost after the request took effect, by `fraction`.
    LoseReplies,
    /// A link carries nothing.
    Cut,
    /// An upstream starts to leave.
    Leave,
    /// A tool executes and never answers.
    Hang,
    /// Cache events and load reports stop.
    Silence,
    /// Operators race to change the same record.
    ChangeRecord,
}

/// A fault of a scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct FaultSpec {
    /// When it begins.
    #[serde(deserialize_with = "duration")]
    pub at: Duration,
    /// How long it lasts; for good where it is left out.
    #[serde(default, rename = "for", deserialize_with = "optional_duration")]
    pub lasting: Option<Duration>,
    /// What fails.
    pub kind: FaultKind,
    /// Where.
    #[serde(default)]
    pub target: SmolStr,
    /// Between which two targets a link is cut.
    #[serde(default)]
    pub between: Vec<SmolStr>,
    /// Delay of slow answers.
    #[serde(default, deserialize_with = "optional_duration")]
    pub delay: Option<Duration>,
    /// Share of lost replies.
    #[serde(default)]
    pub fraction: Option<f64>,
    /// Operators that race.
    #[serde(default)]
    pub writers: Option<usize>,
}

/// The load of a scenario: one of the two.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct LoadSpec {
    /// Share of the engines' capacity.
    pub utilisation: Option<f64>,
    /// Programs begun in a second.
    pub programs_per_second: Option<f64>,
}

/// Sizes of the cluster, where they are not the deployment's own.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct ClusterSpec {
    /// Instances of each failure domain.
    pub instances: Option<usize>,
    /// Engines.
    pub engines: Option<usize>,
    /// Shards of each failure domain.
    pub shards: Option<u16>,
    /// Requests that an engine runs at once.
    pub engine_slots: Option<usize>,
    /// Tokens that an engine's cache holds.
    pub engine_cache_tokens: Option<usize>,
    /// How old engines' load reports may get.
    #[serde(deserialize_with = "optional_duration")]
    pub report_interval: Option<Duration>,
}

/// A scenario.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Name.
    pub name: SmolStr,
    /// Seed of the load.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// `cantabrica` or `agrovision`.
    pub deployment: SmolStr,
    /// How work is scheduled.
    #[serde(default)]
    pub policy: PolicyName,
    /// Time over which programs are begun.
    #[serde(deserialize_with = "duration")]
    pub duration: Duration,
    /// Longest time for programs to end after that.
    #[serde(deserialize_with = "duration")]
    pub drain: Duration,
    /// Load.
    #[serde(default)]
    pub load: LoadSpec,
    /// Sizes.
    #[serde(default)]
    pub cluster: ClusterSpec,
    /// Faults.
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
    /// Returns the line and what would be right.
    pub fn read(path: &Path) -> Result<Self> {
        let text =
            fs::read_to_string(path).with_context(|| format!("reading {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("in {}", path.display()))
    }

    /// Parses and checks the text of a scenario.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read).
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
                let fits = (0.0..=1.0).contains(&fraction);
                ensure!(
                    fits,
                    "a `lose-replies` fault needs a `fraction` from 0 to 1"
                );
            }
            FaultKind::Cut => {
                let pair = self.between.len() == 2;
                ensure!(
                    pair || !self.target.is_empty(),
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
