//! Watching a cluster from outside while a scenario runs.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use samphiregrade_http::{HttpPool, OutgoingRequest};
use samphiregrade_standins::engine::EngineStandin;
use smol_str::SmolStr;
use tokio::task::JoinHandle;

use crate::cluster::Cluster;
use crate::faults::FaultLog;

/// Time between two looks.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// Longest wait for an instance's metrics.
const METRICS_TIMEOUT: Duration = Duration::from_millis(500);

/// Metric that tells the revision in force.
const REVISION_METRIC: &str = "samphiregrade_configuration_revision ";

/// Metric that tells since when an instance runs: it starts at 0 again with every process.
const SERVED_METRIC: &str = "samphiregrade_log_entries_total ";

#[derive(Clone, Copy, Debug)]
struct RevisionSight {
    at: Instant,
    revision: u64,
}

#[derive(Debug, Default)]
struct WatchState {
    sights: BTreeMap<SmolStr, Vec<RevisionSight>>,
    reverted: u64,
    queue: Vec<(f64, f64)>,
    spread: Vec<f64>,
}

/// Watches a cluster until it is finished.
pub struct ClusterWatch {
    state: Arc<Mutex<WatchState>>,
    task: JoinHandle<()>,
}

/// What was seen.
#[derive(Debug, Default)]
pub struct WatchResult {
    /// Times that a revision in force went back.
    pub reverted: u64,
    /// Times from accepted changes to their being in force at an instance.
    pub configuration: Vec<Duration>,
    /// Requests waiting at the engines over time.
    pub queue: Vec<(f64, f64)>,
    /// Mean over time of the busiest engine's requests less the idlest one's.
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
    line.rsplit(' ').next()?.parse::<f64>().ok().map(whole)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counters are whole and not negative"
)]
fn whole(value: f64) -> u64 {
    value as u64
}

impl ClusterWatch {
    /// Begins to watch.
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

    /// Ends the watch and sums up.
    pub fn finish(self, faults: &FaultLog) -> WatchResult {
        self.task.abort();
        let state = lock(&self.state);
        let mut configuration = Vec::new();
        for (revision, accepted) in &faults.changes {
            for sights in state.sights.values() {
                let seen = sights
                    .iter()
                    .find(|sight| sight.at >= *accepted && sight.revision >= *revision);
                configuration.extend(seen.map(|sight| sight.at - *accepted));
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
    let mut served: BTreeMap<SmolStr, u64> = BTreeMap::new();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        note_queue(&engines, started, &state);
        for (name, base) in &operators {
            let request = OutgoingRequest::get(&format!("{base}/metrics"));
            let Ok(mut response) = pool.send(request.with_timeout(METRICS_TIMEOUT)).await else {
                continue;
            };
            let Ok(body) = response.read_all().await else {
                continue;
            };
            let text = String::from_utf8_lossy(&body);
            let entries = metric(&text, SERVED_METRIC).unwrap_or(0);
            let restarted = served.insert(name.clone(), entries).unwrap_or(0) > entries;
            let Some(revision) = metric(&text, REVISION_METRIC) else {
                continue;
            };
            note_revision(name, revision, restarted, &state);
        }
    }
}

fn note_revision(name: &SmolStr, revision: u64, restarted: bool, state: &Mutex<WatchState>) {
    let mut state = lock(state);
    let sights = state.sights.entry(name.clone()).or_default();
    let last = sights.last().map_or(0, |sight| sight.revision);
    sights.push(RevisionSight {
        at: Instant::now(),
        revision,
    });
    // A process that has just begun may not know the configuration yet, and says so by 0.
    if revision < last && !restarted && revision > 0 {
        state.reverted += 1;
    }
}

#[expect(clippy::cast_precision_loss, reason = "numbers of requests are small")]
fn note_queue(engines: &[EngineStandin], started: Instant, state: &Mutex<WatchState>) {
    let queued: usize = engines.iter().map(EngineStandin::queued).sum();
    let mean = queued as f64 / engines.len().max(1) as f64;
    let requests = || engines.iter().map(EngineStandin::in_flight);
    let spread = requests().max().unwrap_or(0) - requests().min().unwrap_or(0);
    let mut state = lock(state);
    state.queue.push((started.elapsed().as_secs_f64(), mean));
    state.spread.push(spread as f64);
}
