//! Reports how long single entries kept an older configuration than others, from the entries' logs.
//!
//! A version that one entry applies late breaks a guarantee only if that entry serves a request in the meantime. The
//! lags in the logs show how close a run came to this.

use std::collections::HashMap;

use serde::Deserialize;
use smol_str::SmolStr;

/// Maximum number of lags in the table.
const MAX_ROWS: usize = 5;

/// A log line of the event `configuration` or `start`.
#[derive(Clone, Debug, Deserialize)]
struct InstanceLine {
    event: SmolStr,
    /// Wall clock of the instance, in milliseconds.
    time_ms: f64,
    #[serde(default)]
    instance: SmolStr,
    #[serde(default)]
    version: serde_json::Value,
}

/// A configuration version that an instance applied.
#[derive(Clone, Debug)]
struct AppliedVersion {
    instance: SmolStr,
    version: u64,
    time_ms: f64,
    /// Whether this is the first version since the instance started.
    first: bool,
}

/// Lag of an instance behind the first instance that applied a version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionLag {
    /// The instance.
    pub instance: SmolStr,
    /// The version that the instance applied late.
    pub version: u64,
    /// Time from the first instance's change to this instance's, in milliseconds, by the instances' wall clocks.
    pub milliseconds: f64,
}

/// The configuration lags of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LagAccount {
    /// The longest lag of each instance, in descending order.
    pub lags: Vec<VersionLag>,
    /// Number of versions that were applied.
    pub versions: usize,
}

impl LagAccount {
    /// Reads logs. The instance of a line is the word before the JSON, or else the instance of the last `start` line.
    #[must_use]
    pub fn read<'text, Lines>(lines: Lines) -> Self
    where
        Lines: Iterator<Item = &'text str>,
    {
        let applied = read_applied_versions(lines);
        let mut first: HashMap<u64, f64> = HashMap::new();
        for version in &applied {
            let earliest = first.entry(version.version).or_insert(version.time_ms);
            *earliest = earliest.min(version.time_ms);
        }
        let mut longest: HashMap<SmolStr, VersionLag> = HashMap::new();
        for version in applied.iter().filter(|version| !version.first) {
            let lag = VersionLag {
                instance: version.instance.clone(),
                version: version.version,
                milliseconds: version.time_ms - first[&version.version],
            };
            let known = longest
                .entry(lag.instance.clone())
                .or_insert_with(|| lag.clone());
            if lag.milliseconds > known.milliseconds {
                *known = lag;
            }
        }
        let mut lags: Vec<VersionLag> = longest.into_values().collect();
        lags.sort_by(|left, right| right.milliseconds.total_cmp(&left.milliseconds));
        Self {
            lags,
            versions: first.len(),
        }
    }

    /// Formats the longest lags as lines; returns an empty text if no version was applied.
    #[must_use]
    pub fn table(&self) -> String {
        if self.versions == 0 {
            return String::new();
        }
        let mut rows = vec![format!("{} versions of the configuration", self.versions)];
        for lag in self.lags.iter().take(MAX_ROWS) {
            rows.push(format!(
                "{:>7.0} ms behind the first with version {}: {}",
                lag.milliseconds, lag.version, lag.instance
            ));
        }
        rows.join("\n") + "\n"
    }
}

fn read_applied_versions<'text, Lines>(lines: Lines) -> Vec<AppliedVersion>
where
    Lines: Iterator<Item = &'text str>,
{
    let mut applied = Vec::new();
    let mut started: HashMap<SmolStr, bool> = HashMap::new();
    let mut last_started = SmolStr::default();
    for line in lines {
        let events = ["\"event\":\"configuration\"", "\"event\":\"start\""];
        if !events.iter().any(|event| line.contains(event)) {
            continue;
        }
        let Some(json_start) = line.find('{') else {
            continue;
        };
        let Ok(instance_line) = serde_json::from_str::<InstanceLine>(&line[json_start..]) else {
            continue;
        };
        if instance_line.event == "start" {
            last_started = instance_line.instance.clone();
        }
        let word = line[..json_start].split_whitespace().next_back();
        let instance = word.map_or_else(|| last_started.clone(), SmolStr::from);
        if instance_line.event == "start" {
            started.insert(instance, true);
            continue;
        }
        let Some(version) = instance_line.version.as_u64() else {
            continue;
        };
        applied.push(AppliedVersion {
            first: started.remove(&instance).unwrap_or(false),
            instance,
            version,
            time_ms: instance_line.time_ms,
        });
    }
    applied
}
