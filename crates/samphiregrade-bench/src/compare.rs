//! Compares policies on the same arrivals, and renders the comparison as a table and an HTML page.

use std::collections::BTreeMap;
use std::fmt::Write;

use anyhow::{Context, Result};
use plotters::prelude::*;
use samphiregrade::record::PolicyName;
use samphiregrade::workload::Deployment;
use serde::Serialize;
use smol_str::SmolStr;

use crate::load::draw_arrivals;
use crate::oracle::oracle_latencies;
use crate::report::{ScenarioReport, TimeQuantiles};
use crate::run::{arrival_rate, cluster_settings};
use crate::scenario::Scenario;

/// Size of a plot in pixels.
const PLOT_SIZE: (u32, u32) = (720, 300);

/// Line colours, assigned to the policies in order.
const COLOURS: [RGBColor; 4] = [
    RGBColor(0, 90, 160),
    RGBColor(200, 80, 0),
    RGBColor(0, 130, 70),
    RGBColor(130, 50, 140),
];

/// Spread of one measure over several seeds.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct MeasureSpread {
    /// Smallest value.
    pub least: f64,
    /// Median; the upper middle value of an even number of values.
    pub median: f64,
    /// Largest value.
    pub most: f64,
}

impl MeasureSpread {
    fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let value_at = |index: usize| values.get(index).copied().unwrap_or(0.0);
        Self {
            least: value_at(0),
            median: value_at(values.len() / 2),
            most: value_at(values.len().saturating_sub(1)),
        }
    }
}

/// Results of one policy over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct PolicySummary {
    /// The policy.
    pub policy: SmolStr,
    /// 95th percentile of program latency by class, over the seeds.
    pub p95_seconds: BTreeMap<SmolStr, MeasureSpread>,
    /// 99th percentile of program latency by class, over the seeds.
    pub p99_seconds: BTreeMap<SmolStr, MeasureSpread>,
    /// Recomputed tokens.
    pub recomputed_tokens: MeasureSpread,
    /// Share of the prefilled tokens that were recomputed.
    pub wasted_fraction: MeasureSpread,
    /// Share of the started programs that finished.
    pub finished_share: MeasureSpread,
}

/// Comparison of policies on one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ComparisonReport {
    /// The scenario.
    pub scenario: SmolStr,
    /// Programs started per second.
    pub programs_per_second: f64,
    /// Summaries of the policies, after the summary of the oracle.
    pub summaries: Vec<PolicySummary>,
    /// Reports of all runs.
    pub runs: Vec<ScenarioReport>,
}

/// Summarises runs by policy.
#[must_use]
pub fn summarise(
    scenario: &Scenario,
    oracle: PolicySummary,
    runs: Vec<ScenarioReport>,
) -> ComparisonReport {
    let mut policies: Vec<PolicyName> = Vec::new();
    for run in &runs {
        if !policies.contains(&run.policy) {
            policies.push(run.policy);
        }
    }
    let mut summaries = vec![oracle];
    for policy in policies {
        let of_policy: Vec<&ScenarioReport> =
            runs.iter().filter(|run| run.policy == policy).collect();
        summaries.push(summarise_policy(policy_label(policy), &of_policy));
    }
    ComparisonReport {
        scenario: scenario.name.clone(),
        programs_per_second: runs.first().map_or(0.0, |run| run.programs_per_second),
        summaries,
        runs,
    }
}

/// Returns the name of a policy as it is written in records.
#[must_use]
pub fn policy_label(policy: PolicyName) -> SmolStr {
    let value = serde_json::to_value(policy).unwrap_or_default();
    value.as_str().unwrap_or_default().into()
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
fn summarise_policy(policy: SmolStr, runs: &[&ScenarioReport]) -> PolicySummary {
    let spread = |value: &dyn Fn(&ScenarioReport) -> f64| {
        MeasureSpread::of(runs.iter().map(|run| value(run)).collect())
    };
    let classes: Vec<SmolStr> = runs
        .first()
        .map(|run| run.latency_seconds.keys().cloned().collect())
        .unwrap_or_default();
    let by_class = |value: &dyn Fn(&TimeQuantiles) -> f64| {
        classes
            .iter()
            .map(|class| {
                let of_class =
                    |run: &ScenarioReport| run.latency_seconds.get(class).map_or(0.0, value);
                (class.clone(), spread(&of_class))
            })
            .collect()
    };
    PolicySummary {
        policy,
        p95_seconds: by_class(&|times| times.p95),
        p99_seconds: by_class(&|times| times.p99),
        recomputed_tokens: spread(&|run| run.cache.recomputed_tokens as f64),
        wasted_fraction: spread(&|run| run.cache.wasted_fraction),
        finished_share: spread(&|run| {
            run.programs.finished as f64 / run.programs.begun.max(1) as f64
        }),
    }
}

/// Computes the latencies of the oracle on the arrivals of the given seeds.
///
/// # Errors
///
/// Returns an error for an unknown deployment.
pub fn oracle_summary(scenario: &Scenario, seeds: &[u64]) -> Result<PolicySummary> {
    let settings = cluster_settings(scenario)?;
    let deployment: &Deployment = &settings.deployment;
    let rate = arrival_rate(scenario, &settings);
    let domains = deployment.domains.len();
    let mut p95: BTreeMap<SmolStr, Vec<f64>> = BTreeMap::new();
    let mut p99: BTreeMap<SmolStr, Vec<f64>> = BTreeMap::new();
    for seed in seeds {
        let arrivals = draw_arrivals(&deployment.classes, rate, scenario.duration, domains, *seed);
        let latencies = oracle_latencies(&arrivals, &settings.engine, deployment.engines.len());
        let mut classes: BTreeMap<SmolStr, Vec<_>> = BTreeMap::new();
        for (arrival, latency) in arrivals.iter().zip(latencies) {
            classes
                .entry(arrival.plan.class.clone())
                .or_default()
                .push(latency);
            classes.entry("all".into()).or_default().push(latency);
        }
        for (class, times) in classes {
            let times = TimeQuantiles::of(times);
            p95.entry(class.clone()).or_default().push(times.p95);
            p99.entry(class).or_default().push(times.p99);
        }
    }
    let spreads = |values: BTreeMap<SmolStr, Vec<f64>>| {
        values
            .into_iter()
            .map(|(class, values)| (class, MeasureSpread::of(values)))
            .collect()
    };
    Ok(PolicySummary {
        policy: "oracle".into(),
        p95_seconds: spreads(p95),
        p99_seconds: spreads(p99),
        recomputed_tokens: MeasureSpread::default(),
        wasted_fraction: MeasureSpread::default(),
        finished_share: MeasureSpread::of(vec![1.0; seeds.len()]),
    })
}

/// Formats the summaries as a text table.
#[must_use]
pub fn text_table(report: &ComparisonReport) -> String {
    let mut text = String::new();
    // Writing to a `String` can't fail.
    let _ = writeln!(
        text,
        "{:<14} {:>24} {:>24} {:>26} {:>9}",
        "policy", "p95 s (least-most)", "p99 s", "recomputed tokens", "finished"
    );
    for summary in &report.summaries {
        let format_spread = |values: &BTreeMap<SmolStr, MeasureSpread>| {
            let all = values.get("all").copied().unwrap_or_default();
            format!("{:.2} ({:.2}-{:.2})", all.median, all.least, all.most)
        };
        let tokens = summary.recomputed_tokens;
        let _ = writeln!(
            text,
            "{:<14} {:>24} {:>24} {:>26} {:>9.3}",
            summary.policy,
            format_spread(&summary.p95_seconds),
            format_spread(&summary.p99_seconds),
            format!(
                "{:.0} ({:.0}-{:.0})",
                tokens.median, tokens.least, tokens.most
            ),
            summary.finished_share.median
        );
    }
    text
}

/// Renders a self-contained HTML page with the table and the plots.
///
/// # Errors
///
/// Returns the plotting library's error.
pub fn html_page(report: &ComparisonReport) -> Result<String> {
    let latency = bars(
        report,
        "95th percentile of program latency (s)",
        |summary| summary.p95_seconds.get("all").copied().unwrap_or_default(),
    )?;
    let waste = bars(report, "Tokens computed again", |summary| {
        summary.recomputed_tokens
    })?;
    let queue = queue_plot(report)?;
    let mut page = String::from("<!doctype html><meta charset=\"utf-8\"><title>");
    // Writing to a `String` can't fail.
    let _ = write!(page, "{0}</title><h1>{0}</h1>", report.scenario);
    let _ = write!(
        page,
        "<p>{:.2} programs a second</p>",
        report.programs_per_second
    );
    let _ = write!(page, "<pre>{}</pre>", text_table(report));
    for class in classes(report) {
        let plot = bars(
            report,
            &format!("95th percentile, {class} (s)"),
            |summary| summary.p95_seconds.get(&class).copied().unwrap_or_default(),
        )?;
        page.push_str(&plot);
    }
    for plot in [latency, waste, queue] {
        page.push_str(&plot);
    }
    Ok(page)
}

fn classes(report: &ComparisonReport) -> Vec<SmolStr> {
    let first = report.summaries.first();
    let names = first.map(|summary| summary.p95_seconds.keys().cloned().collect::<Vec<_>>());
    names
        .unwrap_or_default()
        .into_iter()
        .filter(|name| name != "all")
        .collect()
}

/// Draws a bar for the median of each policy, with a line for the spread over the seeds.
fn bars<Value>(report: &ComparisonReport, title: &str, value: Value) -> Result<String>
where
    Value: Fn(&PolicySummary) -> MeasureSpread,
{
    let mut svg = String::new();
    let values: Vec<(SmolStr, MeasureSpread)> = report
        .summaries
        .iter()
        .map(|summary| (summary.policy.clone(), value(summary)))
        .collect();
    let axis_end = values
        .iter()
        .map(|(_, spread)| spread.most)
        .fold(1e-9, f64::max)
        * 1.1;
    let count = i32::try_from(values.len()).unwrap_or(i32::MAX);
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).context("drawing")?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(64)
            .build_cartesian_2d((0..count).into_segmented(), 0.0..axis_end)
            .context("drawing")?;
        let label = |position: &SegmentValue<i32>| {
            let index = match position {
                SegmentValue::Exact(index) | SegmentValue::CenterOf(index) => *index,
                SegmentValue::Last => count,
            };
            let name = usize::try_from(index)
                .ok()
                .and_then(|index| values.get(index));
            name.map(|(name, _)| name.to_string()).unwrap_or_default()
        };
        chart
            .configure_mesh()
            .disable_x_mesh()
            .x_label_formatter(&label)
            .draw()
            .context("drawing")?;
        for (index, (_, spread)) in (0..).zip(&values) {
            let position = SegmentValue::CenterOf(index);
            let left = SegmentValue::Exact(index);
            let right = SegmentValue::Exact(index + 1);
            let mut bar = Rectangle::new(
                [(left, 0.0), (right, spread.median)],
                BLUE.mix(0.4).filled(),
            );
            bar.set_margin(0, 0, 24, 24);
            chart.draw_series([bar]).context("drawing")?;
            let line = [(position.clone(), spread.least), (position, spread.most)];
            chart
                .draw_series([PathElement::new(line, BLACK)])
                .context("drawing")?;
        }
        area.present().context("drawing")?;
    }
    Ok(svg)
}

/// Plots the number of requests waiting at the engines over time, for the first run of every policy.
fn queue_plot(report: &ComparisonReport) -> Result<String> {
    let mut svg = String::new();
    let points = report.runs.iter().flat_map(|run| &run.queue);
    let (mut longest, mut most) = (1.0_f64, 1.0_f64);
    for (at, queued) in points {
        longest = longest.max(*at);
        most = most.max(*queued);
    }
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE).context("drawing")?;
        let mut chart = ChartBuilder::on(&area)
            .caption(
                "Requests waiting inside an engine (mean)",
                ("sans-serif", 16),
            )
            .margin(8)
            .x_label_area_size(24)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..longest, 0.0..most * 1.1)
            .context("drawing")?;
        chart.configure_mesh().draw().context("drawing")?;
        let mut drawn_policies = Vec::new();
        for run in &report.runs {
            if drawn_policies.contains(&run.policy) {
                continue;
            }
            let colour = COLOURS[drawn_policies.len() % COLOURS.len()];
            drawn_policies.push(run.policy);
            let line = LineSeries::new(run.queue.iter().copied(), colour);
            let series = chart.draw_series(line).context("drawing")?;
            series
                .label(policy_label(run.policy))
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
        }
        chart
            .configure_series_labels()
            .border_style(BLACK)
            .draw()
            .context("drawing")?;
        area.present().context("drawing")?;
    }
    Ok(svg)
}
