//! `samphiregrade demo`: runs a complete small deployment in this process.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::ExitCode;
use std::time::Duration;

use anyhow::{Context, Result};
use pico_args::Arguments;
use samphiregrade::demo::{DemoReport, DemoSettings, run_demo};
use samphiregrade::workload::Deployment;
use samphiregrade_http::run_system;
use tokio::runtime::Runtime;

pub const USAGE: &str = "\
Runs three failure domains with their instances, engines and services in this process on loopback,
runs some programs through them and prints a summary.

Usage: samphiregrade demo [--deployment cantabrica|agrovision] [--programs N] [--seed N] [--stay]

With --stay the deployment keeps serving on 127.0.0.1:7070 after the summary, until SIGINT.
";

/// Callers' address of a demo that keeps serving after its programs (`--stay`).
const STAY_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7070);

/// Arguments of the command.
pub struct DemoArguments {
    settings: DemoSettings,
    stay: bool,
}

/// Parses the arguments.
pub fn arguments(mut arguments: Arguments) -> Result<DemoArguments> {
    let mut settings = DemoSettings::default();
    let deployment: Option<Deployment> = arguments.opt_value_from_str("--deployment")?;
    if let Some(deployment) = deployment {
        settings.deployment = deployment.with_instances(2).with_engines(6);
    }
    settings.programs = arguments
        .opt_value_from_str("--programs")?
        .unwrap_or(settings.programs);
    settings.seed = arguments
        .opt_value_from_str("--seed")?
        .unwrap_or(settings.seed);
    let stay = arguments.contains("--stay");
    if stay {
        settings.listen = Some(STAY_ADDRESS);
    }
    super::finish(arguments)?;
    Ok(DemoArguments { settings, stay })
}

/// Runs the command.
pub fn execute(arguments: DemoArguments) -> Result<ExitCode> {
    super::install_crypto();
    let runtime = Runtime::new().context("starting the runtime")?;
    run_system(async move {
        let token = arguments.settings.deployment.token.clone();
        let demo = run_demo(arguments.settings, &runtime, |program| {
            let id = program.program.as_deref().unwrap_or("-");
            let seconds = program.latency.as_secs_f64();
            println!(
                "{:?} {} {id} {seconds:.2} s",
                program.verdict, program.class
            );
        });
        let demo = demo.await?;
        print_summary(&demo.report);
        if arguments.stay {
            println!("serving on http://{STAY_ADDRESS} with the token {token}; stop with Ctrl-C");
            tokio::signal::ctrl_c()
                .await
                .context("waiting for SIGINT")?;
        }
        let succeeded = demo.report.failures.is_empty() && demo.report.wrong_answers == 0;
        demo.stop().await;
        runtime.shutdown_background();
        Ok(if succeeded {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        })
    })
}

fn print_summary(report: &DemoReport) {
    println!();
    println!(
        "{} instances and upstreams, {:.1} s",
        report.processes,
        report.elapsed.as_secs_f64()
    );
    println!(
        "{:<16} {:>9} {:>9} {:>7} {:>8} {:>8}",
        "class", "programs", "finished", "calls", "p50", "p95"
    );
    for (class, summary) in &report.classes {
        println!(
            "{class:<16} {:>9} {:>9} {:>7} {:>7.2}s {:>7.2}s",
            summary.programs,
            summary.finished,
            summary.calls,
            quantile(&summary.latencies, 50).as_secs_f64(),
            quantile(&summary.latencies, 95).as_secs_f64(),
        );
    }
    println!("wrong responses: {}", report.wrong_answers);
    for failure in &report.failures {
        println!("not finished: {failure}");
    }
}

fn quantile(sorted: &[Duration], percent: usize) -> Duration {
    let index = sorted.len().saturating_sub(1) * percent / 100;
    sorted.get(index).copied().unwrap_or_default()
}
