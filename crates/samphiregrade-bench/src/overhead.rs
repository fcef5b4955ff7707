//! Measures the latency that an instance adds to a call, and the throughput of calls.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use futures_util::future::join_all;
use samphiregrade::contract::{BeginRequest, CallBody, ChatMessage};
use samphiregrade::ids::ProgramId;
use samphiregrade::workload::Deployment;
use samphiregrade_http::OutgoingRequest;
use samphiregrade_standins::engine::EngineSettings;
use samphiregrade_standins::service::ServiceSettings;
use serde::Serialize;
use serde_json::value::RawValue;
use smol_str::{SmolStr, format_smolstr};

use crate::cluster::{Cluster, ClusterSettings};
use crate::report::TimeQuantiles;

/// Number of sequential calls in the latency measurements.
const SEQUENTIAL_CALLS: u32 = 3000;

/// Number of concurrent programs in the throughput measurements.
const PROGRAMS: u32 = 96;

/// Duration of a throughput measurement.
const THROUGHPUT_TIME: Duration = Duration::from_secs(6);

/// Measured cost of calls.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct OverheadReport {
    /// Latency of a call that is sent directly to the service.
    pub direct: TimeQuantiles,
    /// Latency of the same call as a call of a program, with two backups.
    pub through_instance: TimeQuantiles,
    /// Calls per second, over all programs.
    pub calls_per_second: f64,
    /// Processor time of the primary's failure domain per call, in seconds.
    pub primary_seconds_per_call: f64,
    /// Processor time of all instances per call, in seconds.
    pub total_seconds_per_call: f64,
    /// Streamed calls per second, over all programs.
    pub streams_per_second: f64,
    /// Processor time of all instances per streamed call, in seconds.
    pub total_seconds_per_stream: f64,
}

fn settings() -> ClusterSettings {
    ClusterSettings {
        deployment: Deployment::cantabrica().with_instances(2).with_engines(6),
        shards: 8,
        service: ServiceSettings {
            delay: Duration::ZERO,
            ..ServiceSettings::default()
        },
        engine: EngineSettings {
            slots: 64,
            step_base: Duration::from_micros(500),
            step_per_request: Duration::ZERO,
            step_per_thousand_context: Duration::ZERO,
            ..EngineSettings::default()
        },
        ..ClusterSettings::default()
    }
}

/// Measures latency and throughput. Must be called inside a running ntex system.
///
/// # Errors
///
/// Returns an error if the cluster can't be started, or if a call of the latency measurements fails.
pub async fn measure_overhead() -> Result<OverheadReport> {
    let cluster = Cluster::start(settings()).await?;
    let direct = measure_direct(&cluster).await?;
    let through_instance = measure_through(&cluster).await?;
    let (calls_per_second, primary_seconds_per_call, total_seconds_per_call) =
        measure_throughput(&cluster, "calls", false).await?;
    let (streams_per_second, _, total_seconds_per_stream) =
        measure_throughput(&cluster, "streams", true).await?;
    Ok(OverheadReport {
        direct,
        through_instance,
        calls_per_second,
        primary_seconds_per_call,
        total_seconds_per_call,
        streams_per_second,
        total_seconds_per_stream,
    })
}

async fn measure_direct(cluster: &Cluster) -> Result<TimeQuantiles> {
    let dump = cluster
        .direct_address("application-0")
        .context("the deployment has no service `application-0`")?;
    let mut times = Vec::new();
    for number in 0..SEQUENTIAL_CALLS {
        let request = OutgoingRequest::post_json(&format!("{dump}/invoke/run"), &number)
            .with_header("idempotency-key", &format!("direct/{number}"));
        let started = Instant::now();
        let mut response = cluster.pool.send(request).await?;
        response.read_all().await?;
        times.push(started.elapsed());
    }
    Ok(TimeQuantiles::of(times))
}

async fn begin(cluster: &Cluster, domain: &SmolStr, key: SmolStr) -> Result<ProgramId> {
    let request = BeginRequest {
        key,
        class: "dossier".into(),
        home: Some(domain.clone()),
        tokens: None,
        deadline_ms: None,
        parent: None,
    };
    Ok(cluster.caller(domain).begin(&request).await?.body.program)
}

fn service_call(number: u32) -> CallBody {
    CallBody {
        service: Some("application".into()),
        tool: Some("run".into()),
        arguments: RawValue::from_string(number.to_string()).ok(),
        idempotent: true,
        ..CallBody::default()
    }
}

fn streamed_call(number: u32) -> CallBody {
    let message = ChatMessage {
        role: "user".into(),
        content: format!("[answer-tokens=16] {number}"),
    };
    CallBody {
        messages: Some(vec![message]),
        max_tokens: Some(16),
        stream: true,
        ..CallBody::default()
    }
}

/// Sends one call to an instance and reads the complete response.
async fn call(
    cluster: &Cluster,
    entry: &str,
    program: &ProgramId,
    sequence: u32,
    body: &CallBody,
) -> Result<()> {
    let url = format!("{entry}/v1/programs/{program}/calls/{sequence}");
    let token = &cluster.settings.deployment.token;
    let request = OutgoingRequest::post_json(&url, body)
        .with_header("authorization", &format!("Bearer {token}"));
    let mut response = cluster.pool.send(request).await?;
    let body = response.read_all().await?;
    let text = String::from_utf8_lossy(&body);
    anyhow::ensure!(response.status == 200, "status {}: {text}", response.status);
    Ok(())
}

/// Measures calls that are sent directly to the primary; each call waits for both backups twice, once for its intent
/// and once for its outcome.
async fn measure_through(cluster: &Cluster) -> Result<TimeQuantiles> {
    let domain = cluster.settings.deployment.domains[0].name.clone();
    let mut times = Vec::new();
    let mut completed_calls = 0;
    let mut programs = 0;
    while completed_calls < SEQUENTIAL_CALLS {
        let program = begin(cluster, &domain, format_smolstr!("through-{programs}")).await?;
        programs += 1;
        let Some(entry) = cluster.primary_entry(&program).await else {
            continue;
        };
        for sequence in 1..=100 {
            let started = Instant::now();
            call(cluster, &entry, &program, sequence, &service_call(sequence)).await?;
            times.push(started.elapsed());
            completed_calls += 1;
        }
    }
    Ok(TimeQuantiles::of(times))
}

/// Measures the calls per second, and the processor time per call in the primary's failure domain and over all
/// instances.
async fn measure_throughput(
    cluster: &Cluster,
    key: &str,
    streamed: bool,
) -> Result<(f64, f64, f64)> {
    let domain = cluster.settings.deployment.domains[0].name.clone();
    let mut programs = Vec::new();
    for number in 0..PROGRAMS {
        let program = begin(cluster, &domain, format_smolstr!("{key}-{number}")).await?;
        let entry = cluster
            .primary_entry(&program)
            .await
            .context("no instance reports the primary of a new program")?;
        programs.push((program, entry));
    }
    let cpu_seconds = |cluster: &Cluster, only: Option<&SmolStr>| -> f64 {
        let instances = cluster.instances.values();
        let chosen =
            instances.filter(|instance| only.is_none_or(|domain| instance.domain == *domain));
        chosen
            .map(|instance| instance.usage().cpu.as_secs_f64())
            .sum()
    };
    let before = (
        cpu_seconds(cluster, Some(&domain)),
        cpu_seconds(cluster, None),
    );
    let started = Instant::now();
    let runs = programs.iter().map(async |(program, entry)| {
        let mut call_count = 0_u32;
        while started.elapsed() < THROUGHPUT_TIME && call_count < 390 {
            call_count += 1;
            let body = if streamed {
                streamed_call(call_count)
            } else {
                service_call(call_count)
            };
            if call(cluster, entry, program, call_count, &body)
                .await
                .is_err()
            {
                return call_count - 1;
            }
        }
        call_count
    });
    let total: u32 = join_all(runs).await.into_iter().sum();
    let seconds = started.elapsed().as_secs_f64();
    let total = f64::from(total.max(1));
    let primary = cpu_seconds(cluster, Some(&domain)) - before.0;
    let all = cpu_seconds(cluster, None) - before.1;
    Ok((total / seconds, primary / total, all / total))
}
