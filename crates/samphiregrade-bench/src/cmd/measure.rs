//! `samphiregrade-bench capacity`, `detectors` and `overhead`: measurements that need no scenario file.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use pico_args::Arguments;
use samphiregrade_bench::capacity::{measure_all, measure_peers_only};
use samphiregrade_bench::detectors::compare_detectors;
use samphiregrade_bench::overhead::measure_overhead;
use samphiregrade_http::run_system;
use serde::Serialize;

/// Arguments of the commands.
pub struct MeasureArguments {
    json: Option<PathBuf>,
    peers_only: bool,
}

/// Reads the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<MeasureArguments> {
    let json = arguments.opt_value_from_str("--json")?;
    let peers_only = arguments.contains("--peers-only");
    Ok(MeasureArguments { json, peers_only })
}

/// Runs `capacity`.
pub fn execute_capacity(arguments: &MeasureArguments) -> Result<ExitCode> {
    let peers_only = arguments.peers_only;
    let measure = async move {
        if peers_only {
            measure_peers_only().await
        } else {
            measure_all().await
        }
    };
    let series = run_system(measure)?;
    write_report(arguments, &series)
}

/// Runs `detectors`.
pub fn execute_detectors(arguments: &MeasureArguments) -> Result<ExitCode> {
    let results = run_system(async { compare_detectors().await })?;
    write_report(arguments, &results)
}

/// Runs `overhead`.
pub fn execute_overhead(arguments: &MeasureArguments) -> Result<ExitCode> {
    let report = run_system(async { measure_overhead().await })?;
    write_report(arguments, &report)
}

fn write_report<Report>(arguments: &MeasureArguments, report: &Report) -> Result<ExitCode>
where
    Report: Serialize,
{
    let text = serde_json::to_string_pretty(report)?;
    match &arguments.json {
        Some(path) => {
            fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
        }
        None => println!("{text}"),
    }
    Ok(ExitCode::SUCCESS)
}
