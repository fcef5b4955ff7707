//! How long single entries kept an older configuration than others, read from their logs.
//!
//! A version that is late on one entry breaks a promise only where a request meets it; the log tells how near it came.

use std::collections::HashMap;

use serde::Deserialize;
use smol_str::SmolStr;

/// Rows that the table has at most.
const TOLD_ROWS: usize = 5;

/// A line that tells of a configuration, or of a start.
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

/// A version that came into force on an instance.
#[derive(Clone, Debug)]
struct TakenVersion {
    instance: SmolStr,
    version: u64,
    time_ms: f64,
    /// Whether it is the first one since the instance started.
    first: bool,
}

/// A version that an instance had later than another one.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionLag {
    /// The instance.
    pub instance: SmolStr,
    /// The version that it was without.
    pub version: u64,
    /// Time between the first instance that had it and this one, in milliseconds, by their wall clocks.
    pub milliseconds: f64,
}

/// The lags of a run, the longest first.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LagAccount {
    /// The longest lag of each instance.
    pub lags: Vec<VersionLag>,
    /// Versions that came into force.
    pub versions: usize,
}

impl LagAccount {
    /// Reads logs; an instance is the word before a line's JSON, or what its line of the start names.
    #[must_use]
    pub fn read<'text, Lines>(lines: Lines) -> Self
    where
        Lines: Iterator<Item = &'text str>,
    {
        let taken = read_taken(lines);
        let mut first: HashMap<u64, f64> = HashMap::new();
        for version in &taken {
            let time = first.entry(version.version).or_insert(version.time_ms);
            *time = time.min(version.time_ms);
        }
        let mut longest: HashMap<SmolStr, VersionLag> = HashMap::new();
        for version in taken.iter().filter(|version| !version.first) {
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

    /// Returns the longest lags as lines; nothing where no version came into force.
    #[must_use]
    pub fn table(&self) -> String {
        if self.versions == 0 {
            return String::new();
        }
        let mut rows = vec![format!("{} versions of the configuration", self.versions)];
        for lag in self.lags.iter().take(TOLD_ROWS) {
            rows.push(format!(
                "{:>7.0} ms behind the first with version {}: {}",
                lag.milliseconds, lag.version, lag.instance
            ));
        }
        rows.join("\n") + "\n"
    }
}

fn read_taken<'text, Lines>(lines: Lines) -> Vec<TakenVersion>
where
    Lines: Iterator<Item = &'text str>,
{
    let mut taken = Vec::new();
    let mut started: HashMap<SmolStr, bool> = HashMap::new();
    let mut named = SmolStr::default();
    for line in lines {
        let told = ["\"event\":\"configuration\"", "\"event\":\"start\""];
        if !told.iter().any(|event| line.contains(event)) {
            continue;
        }
        let Some(place) = line.find('{') else {
            continue;
        };
        let Ok(told) = serde_json::from_str::<InstanceLine>(&line[place..]) else {
            continue;
        };
        if told.event == "start" {
            named = told.instance.clone();
        }
        let word = line[..place].split_whitespace().next_back();
        let instance = word.map_or_else(|| named.clone(), SmolStr::from);
        if told.event == "start" {
            started.insert(instance, true);
            continue;
        }
        let Some(version) = told.version.as_u64() else {
            continue;
        };
        taken.push(TakenVersion {
            first: started.remove(&instance).unwrap_or(false),
            instance,
            version,
            time_ms: told.time_ms,
        });
    }
    taken
}
