//! `samphiregrade-bench compare`: runs one scenario under several policies and seeds.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::{Context, Result, ensure};
use pico_args::Arguments;
use samphiregrade::record::PolicyName;
use samphiregrade_bench::compare::{html_page, oracle_summary, summarise, text_table};
use samphiregrade_bench::run::{cluster_settings, run_scenario};
use samphiregrade_bench::scenario::Scenario;
use samphiregrade_http::run_system;

/// Arguments of the command.
pub struct CompareArguments {
    scenario: PathBuf,
    policies: Vec<PolicyName>,
    seeds: u64,
    without: Vec<String>,
    json: Option<PathBuf>,
    html: Option<PathBuf>,
}

/// Reads the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<CompareArguments> {
    let policies = arguments.values_from_str("--policy")?;
    let seeds = arguments.opt_value_from_str("--seeds")?.unwrap_or(1);
    let without = arguments.values_from_str("--without")?;
    let json = arguments.opt_value_from_str("--json")?;
    let html = arguments.opt_value_from_str("--html")?;
    let scenario = arguments
        .free_from_str()
        .context("a scenario file is missing")?;
    ensure!(!policies.is_empty(), "name at least one --policy");
    Ok(CompareArguments {
        scenario,
        policies,
        seeds,
        without,
        json,
        html,
    })
}

/// Runs the command.
pub fn execute(arguments: &CompareArguments) -> Result<ExitCode> {
    let scenario = Scenario::read(&arguments.scenario)?;
    let mut runs = Vec::new();
    let seeds: Vec<u64> = (0..arguments.seeds)
        .map(|step| scenario.seed + step)
        .collect();
    for seed in &seeds {
        for policy in &arguments.policies {
            let mut scenario = scenario.clone();
            scenario.seed = *seed;
            scenario.policy = *policy;
            let mut settings = cluster_settings(&scenario)?;
            for mechanism in &arguments.without {
                settings.policy.switch_off(mechanism)?;
            }
            let run = run_system(async move { run_scenario(&scenario, settings, false).await })?;
            let all = run.latency_seconds.get("all").copied().unwrap_or_default();
            eprintln!(
                "seed={seed} policy={policy:?} p95={:.2} recomputed={} finished={}/{} kept={}",
                all.p95,
                run.cache.recomputed_tokens,
                run.programs.finished,
                run.programs.begun,
                run.kept_promises()
            );
            runs.push(run);
        }
    }
    let all_kept_promises = runs
        .iter()
        .all(samphiregrade_bench::report::ScenarioReport::kept_promises);
    let report = summarise(&scenario, oracle_summary(&scenario, &seeds)?, runs);
    print!("{}", text_table(&report));
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&report)?;
        fs::write(path, text).with_context(|| format!("writing {}", path.display()))?;
    }
    if let Some(path) = &arguments.html {
        let page = html_page(&report)?;
        fs::write(path, page).with_context(|| format!("writing {}", path.display()))?;
    }
    Ok(if all_kept_promises {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
