//! Reports late and failed programs by cause and time, from the logs of the instances that served them.
//!
//! A program is late if one of its requests arrived with no time left, and failed if its last request ended in an
//! error. Its cause is the error of its first request that had one; a late program without an error counts as slow.

use std::collections::{BTreeMap, HashMap};

use anyhow::{Context, Result};
use plotters::prelude::*;
use serde::Deserialize;
use smol_str::SmolStr;

/// Size of the plot in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// A log line in which an entry records the end of a request.
#[derive(Clone, Debug, Deserialize)]
struct RequestLine {
    event: SmolStr,
    /// Wall clock of the instance, in milliseconds.
    time_ms: f64,
    #[serde(default)]
    program: SmolStr,
    #[serde(default)]
    status: u16,
    #[serde(default)]
    outcome: SmolStr,
    #[serde(default)]
    detail: String,
    program_left_ms: Option<f64>,
    #[serde(default)]
    total_ms: f64,
}

/// A request of a program.
#[derive(Clone, Debug)]
struct ProgramRequest {
    /// Arrival time in milliseconds.
    arrival_ms: f64,
    /// Cause of the failure, if the request failed.
    cause: Option<SmolStr>,
    has_time: bool,
}

/// Counts of the programs that started within one window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WindowAccount {
    /// Programs that started.
    pub programs: usize,
    /// Programs that were late.
    pub late: usize,
    /// Programs whose last request failed.
    pub failed: usize,
    /// Late and failed programs by cause.
    pub causes: BTreeMap<SmolStr, usize>,
}

/// Late and failed programs of a run, by window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LossAccount {
    /// Length of a window in seconds.
    pub window: f64,
    /// The windows by number, counted from the first request.
    pub windows: BTreeMap<u64, WindowAccount>,
    /// Lines of requests that can't be parsed.
    pub unreadable: usize,
}

impl LossAccount {
    /// Reads logs. Skips the text before the JSON of a line, and lines of other events.
    #[must_use]
    pub fn read<'text, Lines>(lines: Lines, window: f64) -> Self
    where
        Lines: Iterator<Item = &'text str>,
    {
        let mut account = Self {
            window,
            ..Self::default()
        };
        let mut programs: HashMap<SmolStr, Vec<ProgramRequest>> = HashMap::new();
        for line in lines {
            let Some(start) = line.find('{') else {
                continue;
            };
            if !line.contains("\"event\":\"request\"") {
                continue;
            }
            let Ok(request) = serde_json::from_str::<RequestLine>(&line[start..]) else {
                account.unreadable += 1;
                continue;
            };
            if request.event != "request" || request.program.is_empty() {
                continue;
            }
            let program = programs.entry(request.program.clone()).or_default();
            program.push(ProgramRequest {
                arrival_ms: request.time_ms - request.total_ms,
                cause: cause_of(&request),
                has_time: request.program_left_ms.is_none_or(|left| left > 0.0),
            });
        }
        account.add_programs(programs);
        account
    }

    fn add_programs(&mut self, programs: HashMap<SmolStr, Vec<ProgramRequest>>) {
        let requests = programs.values().flatten();
        let first = requests
            .map(|request| request.arrival_ms)
            .fold(f64::INFINITY, f64::min);
        for mut requests in programs.into_values() {
            requests.sort_by(|left, right| left.arrival_ms.total_cmp(&right.arrival_ms));
            let began = requests.first().map_or(first, |request| request.arrival_ms);
            let number = (began - first) / 1000.0 / self.window;
            // The value is small and not negative: it counts the windows of a run.
            #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
            let account = self.windows.entry(number as u64).or_default();
            account.add(&requests);
        }
    }

    /// Returns the number of late and failed programs by cause, the most frequent cause first.
    #[must_use]
    pub fn causes(&self) -> Vec<(SmolStr, usize)> {
        let mut sums: BTreeMap<SmolStr, usize> = BTreeMap::new();
        for (cause, count) in self.windows.values().flat_map(|window| &window.causes) {
            *sums.entry(cause.clone()).or_default() += count;
        }
        let mut sums: Vec<_> = sums.into_iter().collect();
        sums.sort_by(|left, right| right.1.cmp(&left.1).then(left.0.cmp(&right.0)));
        sums
    }

    /// Draws the late and failed programs of each window as an SVG picture.
    ///
    /// # Errors
    ///
    /// Returns the error of the drawing library.
    pub fn plot(&self) -> Result<String> {
        let mut svg = String::new();
        let bars: Vec<(f64, usize)> = self
            .windows
            .iter()
            .map(|(number, window)| (self.second_of(*number), window.late + window.failed))
            .collect();
        let last = bars.last().map_or(0.0, |(second, _)| *second) + self.window;
        let largest = bars.iter().map(|(_, count)| *count).max().unwrap_or(0) + 1;
        {
            let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
            area.fill(&WHITE).context("drawing")?;
            let mut chart = ChartBuilder::on(&area)
                .caption(
                    "Late and failed programs by the second in which they began",
                    ("sans-serif", 16),
                )
                .margin(8)
                .x_label_area_size(24)
                .y_label_area_size(48)
                .build_cartesian_2d(0.0..last, 0..largest)
                .context("drawing")?;
            chart.configure_mesh().draw().context("drawing")?;
            let drawn = bars.iter().map(|(second, count)| {
                let corners = [(*second, 0), (*second + self.window, *count)];
                Rectangle::new(corners, BLUE.mix(0.5).filled())
            });
            chart.draw_series(drawn).context("drawing")?;
            area.present().context("drawing")?;
        }
        Ok(svg)
    }

    /// Formats the counts as a table.
    #[must_use]
    pub fn table(&self) -> String {
        let mut rows = vec!["from second  programs  late  failed  causes".to_owned()];
        for (number, window) in &self.windows {
            let causes: Vec<String> = window
                .causes
                .iter()
                .map(|(cause, count)| format!("{cause} {count}"))
                .collect();
            rows.push(format!(
                "{:>11}  {:>8}  {:>4}  {:>6}  {}",
                self.second_of(*number),
                window.programs,
                window.late,
                window.failed,
                causes.join(", ")
            ));
        }
        for (cause, count) in self.causes() {
            rows.push(format!("{cause}: {count} programs"));
        }
        if self.unreadable > 0 {
            rows.push(format!("{} lines can't be read", self.unreadable));
        }
        rows.join("\n") + "\n"
    }

    /// Returns the second in which a window starts; window numbers are small enough for `f64`.
    #[allow(clippy::cast_precision_loss)]
    fn second_of(&self, number: u64) -> f64 {
        number as f64 * self.window
    }
}

impl WindowAccount {
    fn add(&mut self, requests: &[ProgramRequest]) {
        self.programs += 1;
        let failed = requests.last().is_some_and(|last| last.cause.is_some());
        let late = requests.iter().any(|request| !request.has_time);
        if !failed && !late {
            return;
        }
        self.failed += usize::from(failed);
        self.late += usize::from(late && !failed);
        let cause = requests.iter().find_map(|request| request.cause.clone());
        let cause = cause.unwrap_or_else(|| "slow".into());
        *self.causes.entry(cause).or_default() += 1;
    }
}

/// Returns the cause of a request's failure. Returns `None` if the request succeeded, or if it was refused for its
/// program's budget or for an unknown route or turn.
fn cause_of(request: &RequestLine) -> Option<SmolStr> {
    let path_failures = [
        "has not acknowledged",
        "out of reach",
        "not reached: timed out",
    ];
    let is_path_failure = path_failures
        .iter()
        .any(|text| request.detail.contains(text));
    match request.outcome.as_str() {
        "answered" if request.status < 500 => None,
        "answered" => Some("upstream's own failure".into()),
        "over-budget" | "no-route" | "no-such-turn" => None,
        "upstream-unreachable" => Some("cut path".into()),
        "broken" if is_path_failure => Some("cut path".into()),
        "broken" | "upstream-broke-off" => Some("broken answer".into()),
        other => Some(other.into()),
    }
}
