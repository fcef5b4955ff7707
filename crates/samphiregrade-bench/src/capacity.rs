//! Measures the slopes of docs/CAPACITY.md: the cost of control per instance as the system grows.
//!
//! Each series varies one size and keeps the others constant. The instances do nothing except what the
//! series varies, so that the measurement covers the cost of control and not of requests.

use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use futures_util::future::join_all;
use samphiregrade::contract::BeginRequest;
use samphiregrade::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind, token_hash};
use samphiregrade::workload::Deployment;
use serde::Serialize;
use serde_json::json;
use smol_str::{SmolStr, format_smolstr};

use crate::cluster::{Cluster, ClusterSettings};

/// Time that a cluster gets to reach a steady state before the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time that shards get to spread evenly over many instances that started together.
const BALANCE_TIME: Duration = Duration::from_secs(20);

/// Duration of a measurement of the idle cost.
const MEASURE_TIME: Duration = Duration::from_secs(8);

/// Number of concurrent requests that start programs.
const BEGIN_CONCURRENCY: usize = 64;

/// Cost of one instance at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostPoint {
    /// Value of the size that the series varies.
    pub size: f64,
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Bytes sent to other instances per second.
    pub peer_bytes_per_second: f64,
    /// Calls of the key-value service per second, over all instances.
    pub platform_calls_per_second: f64,
}

/// A straight line fitted to points, with its residual.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FittedLine {
    /// Value at size 0.
    pub base: f64,
    /// Change for each unit of size.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
}

/// One series with its fitted lines.
#[derive(Clone, Debug, Serialize)]
pub struct CostSeries {
    /// Name of the size that the series varies.
    pub varied: SmolStr,
    /// The measured points.
    pub points: Vec<CostPoint>,
    /// Share of a core.
    pub cpu_share: FittedLine,
    /// Memory in bytes.
    pub memory_bytes: FittedLine,
    /// Bytes sent to other instances per second.
    pub peer_bytes_per_second: FittedLine,
    /// Calls of the key-value service per second.
    pub platform_calls_per_second: FittedLine,
}

impl FittedLine {
    /// Fits a line by least squares.
    #[must_use]
    #[expect(clippy::cast_precision_loss, reason = "a few points")]
    pub fn through(points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let covariance: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 {
            covariance / spread
        } else {
            0.0
        };
        let base = mean_y - slope * mean_x;
        let squares: f64 = points
            .iter()
            .map(|(x, y)| (y - base - slope * x).powi(2))
            .sum();
        Self {
            base,
            slope,
            residual: (squares / count).sqrt(),
        }
    }
}

impl CostSeries {
    fn new(varied: &str, points: Vec<CostPoint>) -> Self {
        let line = |value: fn(&CostPoint) -> f64| {
            let pairs: Vec<(f64, f64)> = points
                .iter()
                .map(|point| (point.size, value(point)))
                .collect();
            FittedLine::through(&pairs)
        };
        Self {
            varied: varied.into(),
            cpu_share: line(|point| point.cpu_share),
            memory_bytes: line(|point| point.memory_bytes),
            peer_bytes_per_second: line(|point| point.peer_bytes_per_second),
            platform_calls_per_second: line(|point| point.platform_calls_per_second),
            points,
        }
    }
}

/// Returns the settings of the small cluster that every series starts from.
fn base_settings() -> ClusterSettings {
    ClusterSettings {
        deployment: Deployment::cantabrica().with_instances(1).with_engines(3),
        shards: 4,
        ..ClusterSettings::default()
    }
}

/// Measures every series. Must be called inside a running ntex system.
///
/// # Errors
///
/// Returns an error if a cluster can't be started.
pub async fn measure_all() -> Result<Vec<CostSeries>> {
    Ok(vec![
        measure_programs().await?,
        measure_peers().await?,
        measure_shards().await?,
        measure_upstreams().await?,
        measure_records().await?,
    ])
}

/// Measures only the series over the number of instances. Must be called inside a running ntex system.
///
/// # Errors
///
/// As [`measure_all`].
pub async fn measure_peers_only() -> Result<Vec<CostSeries>> {
    Ok(vec![measure_peers().await?])
}

/// Measures the cost of an idle cluster, as the mean over its instances.
#[expect(clippy::cast_precision_loss, reason = "counters are far below 2^52")]
async fn measure_idle(cluster: &Cluster, size: f64) -> CostPoint {
    tokio::time::sleep(SETTLE_TIME).await;
    let instances = cluster.instances.len() as f64;
    let cpu = |cluster: &Cluster| -> f64 {
        cluster
            .instances
            .values()
            .map(|instance| instance.usage().cpu.as_secs_f64())
            .sum()
    };
    let calls = |cluster: &Cluster| {
        let stats = cluster.key_value.stats();
        (stats.reads + stats.writes) as f64
    };
    let bytes = |cluster: &Cluster| cluster.proxy.bytes(|link| link.starts_with("peer/")) as f64;
    let before = (cpu(cluster), calls(cluster), bytes(cluster));
    let started = Instant::now();
    tokio::time::sleep(MEASURE_TIME).await;
    let seconds = started.elapsed().as_secs_f64();
    let memory: f64 = cluster
        .instances
        .values()
        .map(|instance| instance.usage().memory as f64)
        .sum::<f64>()
        / instances;
    let point = CostPoint {
        size,
        cpu_share: (cpu(cluster) - before.0) / seconds / instances,
        memory_bytes: memory,
        peer_bytes_per_second: (bytes(cluster) - before.2) / seconds / instances,
        platform_calls_per_second: (calls(cluster) - before.1) / seconds,
    };
    eprintln!("{point:?}");
    point
}

/// Measures the cost of idle programs by the number of program copies per instance.
async fn measure_programs() -> Result<CostSeries> {
    let cluster = Cluster::start(ClusterSettings {
        shards: 8,
        ..base_settings()
    })
    .await?;
    let mut points = vec![measure_idle(&cluster, 0.0).await];
    let mut started_programs = 0;
    for target in [4_000, 8_000, 16_000, 32_000] {
        begin_programs(&cluster, started_programs, target).await?;
        started_programs = target;
        // Each program has two copies, the primary's and one in another failure domain, spread over three instances.
        let copies = f64::from(target) * 2.0 / 3.0;
        points.push(measure_idle(&cluster, copies).await);
    }
    Ok(CostSeries::new(
        "idle program copies of an instance",
        points,
    ))
}

async fn begin_programs(cluster: &Cluster, from: u32, to: u32) -> Result<()> {
    let domains: Vec<SmolStr> = cluster
        .settings
        .deployment
        .domains
        .iter()
        .map(|domain| domain.name.clone())
        .collect();
    let numbers: Vec<u32> = (from..to).collect();
    for chunk in numbers.chunks(BEGIN_CONCURRENCY) {
        let begins = chunk.iter().map(async |number| {
            let domain = &domains[*number as usize % domains.len()];
            let request = BeginRequest {
                key: format_smolstr!("idle-{number}"),
                class: "dossier".into(),
                home: Some(domain.clone()),
                tokens: None,
                deadline_ms: None,
                parent: None,
            };
            cluster.caller(domain).begin(&request).await
        });
        for response in join_all(begins).await {
            response.context("starting idle programs")?;
        }
    }
    Ok(())
}

async fn measure_peers() -> Result<CostSeries> {
    let mut points = Vec::new();
    for instances in [1_usize, 2, 4, 6, 8] {
        let cluster = Cluster::start(ClusterSettings {
            deployment: Deployment::cantabrica()
                .with_instances(instances)
                .with_engines(3),
            shards: u16::try_from(instances * 2).unwrap_or(u16::MAX),
            ..base_settings()
        })
        .await?;
        tokio::time::sleep(BALANCE_TIME).await;
        let count = u32::try_from(instances * 3).unwrap_or(u32::MAX);
        points.push(measure_idle(&cluster, f64::from(count)).await);
    }
    Ok(CostSeries::new("instances, with two shards each", points))
}

async fn measure_shards() -> Result<CostSeries> {
    let mut points = Vec::new();
    for shards in [4_u16, 16, 32, 64, 128] {
        let cluster = Cluster::start(ClusterSettings {
            shards,
            ..base_settings()
        })
        .await?;
        points.push(measure_idle(&cluster, f64::from(shards) * 2.0).await);
    }
    Ok(CostSeries::new("shard copies of an instance", points))
}

async fn measure_upstreams() -> Result<CostSeries> {
    let mut points = Vec::new();
    for engines in [3_usize, 6, 12, 24, 48] {
        let mut deployment = Deployment::cantabrica().with_instances(1);
        let templates = deployment.engines.clone();
        deployment.engines = (0..engines)
            .map(|number| {
                let mut engine = templates[number % templates.len()].clone();
                engine.name = format_smolstr!("engine-{number}");
                engine
            })
            .collect();
        let cluster = Cluster::start(ClusterSettings {
            deployment,
            ..base_settings()
        })
        .await?;
        // Every failure domain has one instance, which reads the state of all engines of that domain.
        let engine_count = u32::try_from(engines).unwrap_or(u32::MAX);
        points.push(measure_idle(&cluster, f64::from(engine_count) / 3.0).await);
    }
    Ok(CostSeries::new("engines that an instance reads", points))
}

async fn measure_records() -> Result<CostSeries> {
    let cluster = Cluster::start(base_settings()).await?;
    let mut points = vec![measure_idle(&cluster, 0.0).await];
    let mut stored = 0;
    for target in [500, 1_000, 2_000, 4_000] {
        for number in stored..target {
            let record = RecordEnvelope {
                schema: CURRENT_SCHEMA,
                kind: RecordKind::Organisation,
                name: format_smolstr!("organisation-{number}"),
                spec: json!({"token-hashes": [token_hash(&format!("token-{number}"))]}),
            };
            put_with_retries(&cluster, &record).await;
        }
        stored = target;
        points.push(measure_idle(&cluster, f64::from(target)).await);
    }
    Ok(CostSeries::new("records of organisations", points))
}

/// Stores a record; retries until the key-value service, which limits the rate, accepts the write.
async fn put_with_retries(cluster: &Cluster, record: &RecordEnvelope) {
    while cluster.put_record(record).await.is_err() {
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn line_through_exact_points_has_no_residual() {
        let line = FittedLine::through(&[(0.0, 1.0), (1.0, 3.0), (2.0, 5.0)]);
        assert!((line.base - 1.0).abs() < 1e-9 && (line.slope - 2.0).abs() < 1e-9);
        assert!(line.residual < 1e-9);
    }
}
