//! Slopes for docs/CAPACITY.md: what one instance's control costs as the system grows.
//!
//! Each series varies one size and keeps the others. The instances are idle but for what the series
//! is about, so that what is measured is control and not work.

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

/// Time for a cluster to settle before it is measured.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time for shards to be spread evenly over many instances that started together.
const BALANCE_TIME: Duration = Duration::from_secs(20);

/// Time over which idle cost is measured.
const MEASURE_TIME: Duration = Duration::from_secs(8);

/// Programs begun at the same time.
const BEGIN_WIDTH: usize = 64;

/// What one instance costs at one size.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct CostPoint {
    /// The size that the series varies.
    pub size: f64,
    /// Share of a core.
    pub cpu_share: f64,
    /// Memory in bytes.
    pub memory_bytes: f64,
    /// Bytes a second sent to other instances.
    pub peer_bytes_per_second: f64,
    /// Calls of the key-value service a second, over all instances.
    pub platform_calls_per_second: f64,
}

/// A straight line through points, with how far they lie from it.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct FittedLine {
    /// Value at size 0.
    pub base: f64,
    /// Change for each unit of size.
    pub slope: f64,
    /// Root of the mean squared distance of the points from the line.
    pub residual: f64,
}

/// One series with its lines.
#[derive(Clone, Debug, Serialize)]
pub struct CostSeries {
    /// What is varied.
    pub varied: SmolStr,
    /// The points.
    pub points: Vec<CostPoint>,
    /// Share of a core.
    pub cpu_share: FittedLine,
    /// Memory in bytes.
    pub memory_bytes: FittedLine,
    /// Bytes a second.
    pub peer_bytes_per_second: FittedLine,
    /// Calls a second.
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
        let joint: f64 = points
            .iter()
            .map(|(x, y)| (x - mean_x) * (y - mean_y))
            .sum();
        let slope = if spread > 0.0 { joint / spread } else { 0.0 };
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

/// A small cluster that the series grow from.
fn base_settings() -> ClusterSettings {
    ClusterSettings {
        deployment: Deployment::cantabrica().with_instances(1).with_engines(3),
        shards: 4,
        ..ClusterSettings::default()
    }
}

/// Measures every series; to be called inside a running system.
///
/// # Errors
///
/// Returns what could not be started.
pub async fn measure_all() -> Result<Vec<CostSeries>> {
    Ok(vec![
        measure_programs().await?,
        measure_peers().await?,
        measure_shards().await?,
        measure_upstreams().await?,
        measure_records().await?,
    ])
}

/// Measures the series over the number of instances alone; to be called inside a running system.
///
/// # Errors
///
/// As [`measure_all`].
pub async fn measure_peers_only() -> Result<Vec<CostSeries>> {
    Ok(vec![measure_peers().await?])
}

/// Measures what an idle cluster costs, as the mean over its instances.
#[expect(clippy::cast_precision_loss, reason = "counters are far below 2^52")]
async fn measure_idle(cluster: &Cluster, size: f64) -> CostPoint {
    tokio::time::sleep(SETTLE_TIME).await;
    let instances = cluster.instances.len() as f64;
    let cpu = |cluster: &Cluster| -> f64 {
        cluster
            .instances
            .values()
            .map(|one| one.usage().cpu.as_secs_f64())
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
        .map(|one| one.usage().memory as f64)
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

/// Idle programs that an instance holds a copy of: every instance of this cluster holds all.
async fn measure_programs() -> Result<CostSeries> {
    let cluster = Cluster::start(ClusterSettings {
        shards: 8,
        ..base_settings()
    })
    .await?;
    let mut points = vec![measure_idle(&cluster, 0.0).await];
    let mut begun = 0;
    for target in [4_000, 8_000, 16_000, 32_000] {
        begin_programs(&cluster, begun, target).await?;
        begun = target;
        // Each program has a primary's copy and one in another failure domain, on three instances.
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
        .map(|one| one.name.clone())
        .collect();
    let numbers: Vec<u32> = (from..to).collect();
    for chunk in numbers.chunks(BEGIN_WIDTH) {
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
        for begun in join_all(begins).await {
            begun.context("beginning idle programs")?;
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
        let first = deployment.engines.clone();
        deployment.engines = (0..engines)
            .map(|number| {
                let mut engine = first[number % first.len()].clone();
                engine.name = format_smolstr!("engine-{number}");
                engine
            })
            .collect();
        let cluster = Cluster::start(ClusterSettings {
            deployment,
            ..base_settings()
        })
        .await?;
        // Every failure domain has one instance, which reads all of the domain's engines.
        let read = u32::try_from(engines).unwrap_or(u32::MAX);
        points.push(measure_idle(&cluster, f64::from(read) / 3.0).await);
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
            put_at_the_rate(&cluster, &record).await;
        }
        stored = target;
        points.push(measure_idle(&cluster, f64::from(target)).await);
    }
    Ok(CostSeries::new("records of organisations", points))
}

/// Stores a record, as fast as the key-value service allows.
async fn put_at_the_rate(cluster: &Cluster, record: &RecordEnvelope) {
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
