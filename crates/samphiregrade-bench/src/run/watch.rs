//! Samples the metrics and queues of a cluster while a scenario runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use samphiregrade_http::{HttpPool, OutgoingRequest};
use samphiregrade_standins::engine::EngineStandin;
use smol_str::SmolStr;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::faults::FaultLog;

/// Interval between two samples.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout for a request for an instance's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_millis(500);

/// Metric with the active revision of the configuration.
const REVISION_METRIC: &str = "samphiregrade_configuration_revision ";

/// Counter that restarts at 0 with every process, and so reveals a restart of the instance.
const LOG_ENTRIES_METRIC: &str = "samphiregrade_log_entries_total ";

#[derive(Clone, Copy, Debug)]
struct RevisionSample {
    at: Instant,
    revision: u64,
}

#[derive(Debug, Default)]
struct WatchState {
    samples: BTreeMap<SmolStr, Vec<RevisionSample>>,
    reverted: u64,
    queue: Vec<(f64, f64)>,
    spread: Vec<f64>,
}

/// A background task that samples a cluster until [`finish`](Self::finish) is called.
pub struct ClusterWatch {
    state: Arc<Mutex<WatchState>>,
    task: JoinHandle<()>,
}

/// Summary of the samples.
#[derive(Debug, Default)]
pub struct WatchResult {
    /// Number of times that the active revision of an instance went back.
    pub reverted: u64,
    /// Times from accepted changes to their activation at an instance.
    pub configuration: Vec<Duration>,
    /// Requests waiting at the engines over time, as pairs of seconds and the mean over the engines.
    pub queue: Vec<(f64, f64)>,
    /// Mean over time of the difference in requests between the busiest and the least busy engine.
    pub spread: f64,
}

fn lock<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

#[expect(clippy::cast_precision_loss, reason = "a few thousand values")]
fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len().max(1) as f64
}

fn metric(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse::<f64>().ok().map(to_integer)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are integers and not negative"
)]
fn to_integer(value: f64) -> u64 {
    value as u64
}

impl ClusterWatch {
    /// Starts sampling.
    pub fn start(cluster: &Cluster, started: Instant) -> Self {
        let state: Arc<Mutex<WatchState>> = Arc::default();
        let operators: Vec<(SmolStr, SmolStr)> = cluster
            .instances
            .values()
            .map(|instance| (instance.name.clone(), instance.operators.clone()))
            .collect();
        let engines: Vec<EngineStandin> = cluster.engines.values().cloned().collect();
        let task = tokio::spawn(watch(
            cluster.pool.clone(),
            operators,
            engines,
            started,
            state.clone(),
        ));
        Self { state, task }
    }

    /// Stops sampling and summarises the samples.
    pub fn finish(self, faults: &FaultLog) -> WatchResult {
        self.task.abort();
        let state = lock(&self.state);
        let mut configuration = Vec::new();
        for (revision, accepted) in &faults.changes {
            for samples in state.samples.values() {
                let seen = samples
                    .iter()
                    .find(|sample| sample.at >= *accepted && sample.revision >= *revision);
                configuration.extend(seen.map(|sample| sample.at - *accepted));
            }
        }
        WatchResult {
            reverted: state.reverted,
            configuration,
            queue: state.queue.clone(),
            spread: mean(&state.spread),
        }
    }
}

async fn watch(
    pool: HttpPool,
    operators: Vec<(SmolStr, SmolStr)>,
    engines: Vec<EngineStandin>,
    started: Instant,
    state: Arc<Mutex<WatchState>>,
) {
    let mut entry_counts: BTreeMap<SmolStr, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        record_queue(&engines, started, &state);
        for (name, base) in &operators {
            let request = OutgoingRequest::get(&format!("{base}/metrics"));
            let Ok(mut response) = pool.send(request.with_timeout(METRICS_TIMEOUT)).await else {
                continue;
            };
            let Ok(body) = response.read_all().await else {
                continue;
            };
            let text = String::from_utf8_lossy(&body);
            let entries = metric(&text, LOG_ENTRIES_METRIC).unwrap_or(0);
            let restarted = entry_counts.insert(name.clone(), entries).unwrap_or(0) > entries;
            let Some(revision) = metric(&text, REVISION_METRIC) else {
                continue;
            };
            record_revision(name, revision, restarted, &state);
        }
    }
}

fn record_revision(name: &SmolStr, revision: u64, restarted: bool, state: &Mutex<WatchState>) {
    let mut state = lock(state);
    let samples = state.samples.entry(name.clone()).or_default();
    let last = samples.last().map_or(0, |sample| sample.revision);
    samples.push(RevisionSample {
        at: Instant::now(),
        revision,
    });
    // A process that has just started may not know the configuration yet, and reports revision 0.
    if revision < last && !restarted && revision > 0 {
        state.reverted += 1;
    }
}

#[expect(clippy::cast_precision_loss, reason = "numbers of requests are small")]
fn record_queue(engines: &[EngineStandin], started: Instant, state: &Mutex<WatchState>) {
    let queued: usize = engines.iter().map(EngineStandin::queued).sum();
    let mean = queued as f64 / engines.len().max(1) as f64;
    let requests = || engines.iter().map(EngineStandin::in_flight);
    let spread = requests().max().unwrap_or(0) - requests().min().unwrap_or(0);
    let mut state = lock(state);
    state.queue.push((started.elapsed().as_secs_f64(), mean));
    state.spread.push(spread as f64);
}
