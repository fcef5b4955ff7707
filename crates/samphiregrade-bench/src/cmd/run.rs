//! `samphiregrade-bench run`: runs one scenario.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result};
use pico_args::Arguments;
use samphiregrade::record::PolicyName;
use samphiregrade_bench::run::{cluster_settings, run_scenario};
use samphiregrade_bench::scenario::Scenario;
use samphiregrade_http::run_system;

/// Arguments of the command.
pub struct RunArguments {
    scenario: PathBuf,
    policy: Option<PolicyName>,
    seed: Option<u64>,
    json: Option<PathBuf>,
    progress: bool,
}

/// Reads the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<RunArguments> {
    let policy = arguments.opt_value_from_str("--policy")?;
    let seed = arguments.opt_value_from_str("--seed")?;
    let json = arguments.opt_value_from_str("--json")?;
    let progress = arguments.contains("--progress");
    let scenario = arguments
        .free_from_str()
        .context("a scenario file is missing")?;
    Ok(RunArguments {
        scenario,
        policy,
        seed,
        json,
        progress,
    })
}

/// Runs the command.
pub fn execute(arguments: &RunArguments) -> Result<ExitCode> {
    let mut scenario = Scenario::read(&arguments.scenario)?;
    scenario.policy = arguments.policy.unwrap_or(scenario.policy);
    scenario.seed = arguments.seed.unwrap_or(scenario.seed);
    let settings = cluster_settings(&scenario)?;
    let progress = arguments.progress;
    let report = run_system(async move { run_scenario(&scenario, settings, progress).await })?;
    let text = serde_json::to_string_pretty(&report)?;
    match &arguments.json {
        Some(path) => {
            fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
        }
        None => println!("{text}"),
    }
    Ok(if report.kept_promises() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
