//! Runs a scenario, from the start of the cluster to the audit.

mod watch;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant};

use anyhow::Result;
use futures_util::future::join_all;
use samphiregrade::client::CallerClient;
use samphiregrade::record::PolicySpec;
use samphiregrade::workload::{Deployment, ObservedProgram, ProgramVerdict, run_program};
use samphiregrade_standins::engine::EngineSettings;
use smol_str::{SmolStr, format_smolstr};

use crate::audit::{audit, recovery_times};
use crate::cluster::{Cluster, ClusterSettings};
use crate::faults::{ActiveFault, FaultLog, begin_fault, end_fault, record_exit};
use crate::load::{Arrival, draw_arrivals, engine_capacity};
use crate::report::{ControlCost, ProgramCounts, ScenarioReport, TimeQuantiles};
use crate::scenario::{FaultSpec, Scenario};
use watch::ClusterWatch;

/// Utilisation for a scenario that does not set its load.
const DEFAULT_UTILISATION: f64 = 0.5;

/// Pause after the last response, in which instances release holds.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time that a load balancer takes to notice that an instance is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(700);

/// Interval between two checks of the faults.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Returns the cluster settings of a scenario.
///
/// # Errors
///
/// Returns an error for an unknown deployment.
pub fn cluster_settings(scenario: &Scenario) -> Result<ClusterSettings> {
    let mut deployment = Deployment::from_str(&scenario.deployment)?;
    let sizes = &scenario.cluster;
    if let Some(instances) = sizes.instances {
        deployment = deployment.with_instances(instances);
    }
    if let Some(engines) = sizes.engines {
        deployment = deployment.with_engines(engines);
    }
    let engine = EngineSettings::default();
    let engine = EngineSettings {
        slots: sizes.engine_slots.unwrap_or(engine.slots),
        cache_tokens: sizes.engine_cache_tokens.unwrap_or(engine.cache_tokens),
        report_interval: sizes.report_interval.unwrap_or(engine.report_interval),
        ..engine
    };
    let defaults = ClusterSettings::default();
    Ok(ClusterSettings {
        deployment,
        engine,
        policy: PolicySpec {
            policy: scenario.policy,
            ..PolicySpec::default()
        },
        shards: sizes.shards.unwrap_or(defaults.shards),
        ..defaults
    })
}

/// Returns the number of programs per second that a scenario starts.
#[must_use]
pub fn arrival_rate(scenario: &Scenario, settings: &ClusterSettings) -> f64 {
    if let Some(rate) = scenario.load.programs_per_second {
        return rate;
    }
    let utilisation = scenario.load.utilisation.unwrap_or(DEFAULT_UTILISATION);
    let deployment = &settings.deployment;
    let engines = deployment.engines.len();
    utilisation * engine_capacity(&deployment.classes, &settings.engine, engines)
}

/// Runs a scenario on a new cluster. Must be called inside a running ntex system.
///
/// # Errors
///
/// Returns an error if the cluster can't be started or a fault has an invalid target.
pub async fn run_scenario(
    scenario: &Scenario,
    settings: ClusterSettings,
    progress: bool,
) -> Result<ScenarioReport> {
    let rate = arrival_rate(scenario, &settings);
    let cluster = Cluster::start(settings).await?;
    run_on_cluster(scenario, cluster, rate, progress).await
}

async fn run_on_cluster(
    scenario: &Scenario,
    mut cluster: Cluster,
    rate: f64,
    progress: bool,
) -> Result<ScenarioReport> {
    let deployment = cluster.settings.deployment.clone();
    let domains: Vec<SmolStr> = deployment
        .domains
        .iter()
        .map(|domain| domain.name.clone())
        .collect();
    let arrivals = draw_arrivals(
        &deployment.classes,
        rate,
        scenario.duration,
        domains.len(),
        scenario.seed,
    );
    let retry_timeout = scenario.duration + scenario.drain;
    let callers: Vec<CallerClient> = domains
        .iter()
        .map(|domain| cluster.caller(domain).with_retry_timeout(retry_timeout))
        .map(|caller| caller.with_attempt_timeout(Duration::from_secs(10)))
        .collect();
    let before = cluster.key_value.stats();
    let bytes_before = cluster.proxy.bytes(|link| link.starts_with("peer/"));
    let cpu_before = total_cpu(&cluster);
    let started = Instant::now();
    let watch = ClusterWatch::start(&cluster, started);
    let mut log = FaultLog::default();
    let observed_programs = {
        let load = run_load(&arrivals, &callers, &domains, scenario, progress);
        let faults = run_faults(&mut cluster, &scenario.faults, &callers, started, &mut log);
        let load_or_error = async {
            tokio::select! {
                observed_programs = load => Ok(observed_programs),
                error = faults => Err(error),
            }
        };
        load_or_error.await?
    };
    let elapsed = started.elapsed().as_secs_f64();
    let after = cluster.key_value.stats();
    let bytes = cluster.proxy.bytes(|link| link.starts_with("peer/")) - bytes_before;
    tokio::time::sleep(SETTLE_TIME).await;
    let cpu = total_cpu(&cluster).checked_sub(cpu_before).unwrap();
    let watched = watch.finish(&log);
    let (mut violations, cache) = audit(&cluster, &observed_programs, &log);
    violations.configuration_reverted += watched.reverted;
    violations.interrupted_by_shutdown = count_interrupted(&mut cluster, &callers, &mut log);
    #[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
    let control = ControlCost {
        platform_calls_per_second: (after.reads + after.writes - before.reads - before.writes)
            as f64
            / elapsed,
        peer_bytes_per_second: bytes as f64 / elapsed,
        cpu_seconds: cpu.as_secs_f64(),
        rss_bytes_max: largest_memory(&cluster),
    };
    Ok(ScenarioReport {
        scenario: scenario.name.clone(),
        policy: scenario.policy,
        seed: scenario.seed,
        programs_per_second: rate,
        programs: count_programs(&observed_programs),
        latency_seconds: latencies(&observed_programs),
        cache,
        violations,
        recovery_seconds: TimeQuantiles::of(recovery_times(&observed_programs, &log)),
        configuration_seconds: TimeQuantiles::of(watched.configuration),
        control,
        queue: watched.queue,
        engine_spread: watched.spread,
        failures: failures(&observed_programs),
    })
}

/// Runs the programs. Each starts at its arrival time, regardless of the progress of the others.
async fn run_load(
    arrivals: &[Arrival],
    callers: &[CallerClient],
    domains: &[SmolStr],
    scenario: &Scenario,
    progress: bool,
) -> Vec<ObservedProgram> {
    let finished_count = Rc::new(RefCell::new(0_usize));
    let runs = arrivals.iter().enumerate().map(|(number, arrival)| {
        let finished_count = finished_count.clone();
        async move {
            tokio::time::sleep(arrival.at).await;
            let key = format_smolstr!("{}-{}-{number}", scenario.name, scenario.seed);
            let home = Some(domains[arrival.domain].clone());
            let caller = &callers[arrival.domain];
            let observed_programs = run_program(caller, &arrival.plan, key, home, None).await;
            *finished_count.borrow_mut() += 1;
            if progress {
                eprintln!(
                    "{}/{} {:?}",
                    finished_count.borrow(),
                    arrivals.len(),
                    observed_programs[0].verdict
                );
            }
            observed_programs
        }
    });
    join_all(runs).await.into_iter().flatten().collect()
}

/// Starts and ends the faults at their times. Returns only if a fault can't be started or ended.
async fn run_faults(
    cluster: &mut Cluster,
    faults: &[FaultSpec],
    callers: &[CallerClient],
    started: Instant,
    log: &mut FaultLog,
) -> anyhow::Error {
    let mut waiting: Vec<&FaultSpec> = faults.iter().collect();
    waiting.sort_by_key(|fault| fault.at);
    let mut active: Vec<(Instant, ActiveFault)> = Vec::new();
    loop {
        tokio::time::sleep(FAULT_CHECK_INTERVAL).await;
        let now = Instant::now();
        let stopped: Vec<SmolStr> = log.stops.iter().map(|stop| stop.instance.clone()).collect();
        for name in stopped {
            record_exit(cluster, &name, log);
        }
        close_stopped(cluster, callers, log);
        if waiting
            .first()
            .is_some_and(|fault| started + fault.at <= now)
        {
            let fault = waiting.remove(0);
            match begin_fault(cluster, fault, log).await {
                Ok(active_fault) => {
                    let end = fault.lasting.map(|lasting| Instant::now() + lasting);
                    active.extend(end.map(|end| (end, active_fault)));
                }
                Err(error) => return error,
            }
        }
        let (ended, remaining): (Vec<_>, Vec<_>) =
            active.into_iter().partition(|(end, _)| *end <= now);
        active = remaining;
        for (_, fault) in ended {
            if let Err(error) = end_fault(cluster, &fault, log) {
                return error;
            }
        }
    }
}

/// Makes callers avoid instances that received the stop signal, after the delay of a load balancer.
fn close_stopped(cluster: &Cluster, callers: &[CallerClient], log: &FaultLog) {
    for stop in &log.stops {
        let noticed = stop.began.elapsed() >= BALANCER_DELAY;
        let instance = cluster.instances.get(&stop.instance);
        let restarted =
            stop.ended.is_some() && instance.is_some_and(|instance| instance.id().is_some());
        for caller in callers {
            caller.set_closed(&stop.entry, noticed && !restarted);
        }
    }
}

fn total_cpu(cluster: &Cluster) -> Duration {
    cluster
        .instances
        .values()
        .map(|instance| instance.usage().cpu)
        .sum()
}

fn largest_memory(cluster: &Cluster) -> u64 {
    let memories = cluster
        .instances
        .values()
        .map(|instance| instance.usage().memory);
    memories.max().unwrap_or(0)
}

/// Counts attempts that failed between the start and the end of a graceful stop, and stops with an error status.
fn count_interrupted(cluster: &mut Cluster, callers: &[CallerClient], log: &mut FaultLog) -> u64 {
    let stops: Vec<SmolStr> = log.stops.iter().map(|stop| stop.instance.clone()).collect();
    for name in stops {
        record_exit(cluster, &name, log);
    }
    let failures: Vec<_> = callers.iter().flat_map(CallerClient::failures).collect();
    let mut count = 0;
    for stop in &log.stops {
        // The end of a stop is recorded at most two fault checks late.
        let end = stop.ended.map_or_else(Instant::now, |(at, _)| {
            at.checked_sub(FAULT_CHECK_INTERVAL * 3).unwrap()
        });
        let interrupted = failures
            .iter()
            .filter(|failure| failure.entry == stop.entry)
            .filter(|failure| failure.at > stop.began && failure.at < end);
        count += interrupted.count() as u64;
        count += u64::from(stop.ended.is_some_and(|(_, status)| status != 0));
    }
    count
}

fn count_programs(observed_programs: &[ObservedProgram]) -> ProgramCounts {
    let mut counts = ProgramCounts::default();
    for observed in observed_programs {
        counts.begun += 1;
        match observed.verdict {
            ProgramVerdict::Finished => counts.finished += 1,
            ProgramVerdict::RefusedNotRun => counts.refused_not_run += 1,
            ProgramVerdict::OutcomeUnknown => counts.outcome_unknown += 1,
            ProgramVerdict::Unanswered => counts.unanswered += 1,
        }
    }
    counts
}

fn latencies(observed_programs: &[ObservedProgram]) -> BTreeMap<SmolStr, TimeQuantiles> {
    let mut classes: BTreeMap<SmolStr, Vec<Duration>> = BTreeMap::new();
    for observed in observed_programs {
        classes
            .entry(observed.class.clone())
            .or_default()
            .push(observed.latency);
        classes
            .entry("all".into())
            .or_default()
            .push(observed.latency);
    }
    classes
        .into_iter()
        .map(|(class, times)| (class, TimeQuantiles::of(times)))
        .collect()
}

fn failures(observed_programs: &[ObservedProgram]) -> BTreeMap<SmolStr, u64> {
    let mut failures = BTreeMap::new();
    for failure in observed_programs
        .iter()
        .filter_map(|observed| observed.failure.clone())
    {
        *failures.entry(failure).or_default() += 1;
    }
    failures
}
