//! Functions that start clusters and send single requests.

pub mod deadly;
pub mod raw;

use std::future::Future;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use samphiregrade::workload::Deployment;
use samphiregrade_bench::cluster::{Cluster, ClusterSettings};
use samphiregrade_bench::run::{cluster_settings, run_scenario};
use samphiregrade_bench::scenario::Scenario;
use samphiregrade_http::{HttpPool, OutgoingRequest, run_system};
use serde_json::Value;

/// Lets one cluster run at a time: concurrent clusters would compete for processor time.
static CLUSTER_LOCK: Mutex<()> = Mutex::new(());

/// Timeout for a condition that has to become true.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the path of the program under test.
pub fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_samphiregrade"))
}

/// Returns settings for three failure domains with one instance each and few upstreams.
pub fn small_settings() -> ClusterSettings {
    ClusterSettings {
        binary: binary(),
        deployment: Deployment::cantabrica().with_instances(1).with_engines(3),
        shards: 2,
        ..ClusterSettings::default()
    }
}

/// Starts a cluster and runs a test on it.
pub fn with_cluster<Test, Run>(settings: ClusterSettings, test: Test)
where
    Test: FnOnce(Cluster) -> Run + 'static,
    Run: Future<Output = ()> + 'static,
{
    let _guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    run_system(async move {
        let cluster = Cluster::start(settings)
            .await
            .expect("a cluster that starts");
        test(cluster).await;
    });
}

/// Runs a scenario and checks that all promises were kept, that every caller has a response and that at least one
/// program finished.
pub fn check_scenario(text: &str) {
    let _guard = CLUSTER_LOCK.lock().unwrap_or_else(PoisonError::into_inner);
    let scenario = Scenario::parse(text).expect("a valid scenario");
    let settings = ClusterSettings {
        binary: binary(),
        ..cluster_settings(&scenario).expect("a known deployment")
    };
    let report = run_system(async move { run_scenario(&scenario, settings, false).await })
        .expect("a scenario that runs");
    assert!(report.kept_promises(), "{report:#?}");
    assert!(report.programs.finished > 0, "{report:#?}");
}

/// Response with its status and body.
#[derive(Debug)]
pub struct ReceivedResponse {
    pub status: u16,
    pub body: Vec<u8>,
}

impl ReceivedResponse {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request once.
pub async fn send(pool: &HttpPool, request: OutgoingRequest) -> ReceivedResponse {
    let mut response = pool.send(request).await.expect("a response");
    let body = response.read_all().await.expect("a complete body").to_vec();
    ReceivedResponse {
        status: response.status,
        body,
    }
}

/// Returns a POST request with the token of the deployment's callers.
pub fn caller_post(cluster: &Cluster, instance: &str, path: &str, body: &Value) -> OutgoingRequest {
    let base = &cluster.instances[instance].entry;
    OutgoingRequest::post_json(&format!("{base}{path}"), body).with_header(
        "authorization",
        &format!("Bearer {}", cluster.settings.deployment.token),
    )
}

/// Returns a GET request with the token of the deployment's callers.
pub fn caller_get(cluster: &Cluster, instance: &str, path: &str) -> OutgoingRequest {
    let base = &cluster.instances[instance].entry;
    OutgoingRequest::get(&format!("{base}{path}")).with_header(
        "authorization",
        &format!("Bearer {}", cluster.settings.deployment.token),
    )
}

/// Starts a program at an instance and returns its id.
pub async fn begin_program(cluster: &Cluster, instance: &str, body: &Value) -> String {
    let request = caller_post(cluster, instance, "/v1/programs", body);
    let response = send(&cluster.pool, request).await;
    assert_eq!(response.status, 200, "{}", response.text());
    let program = response.json()["program"].as_str().map(str::to_owned);
    program.expect("a program id")
}

/// Returns the number of calls that services have executed.
pub fn executed_calls(cluster: &Cluster) -> usize {
    let services = cluster.services.values();
    services.map(|service| service.executions().len()).sum()
}

/// Waits until a condition is true; fails after [`CONDITION_TIMEOUT`].
pub async fn eventually<Check, Run>(what: &str, check: Check)
where
    Check: Fn() -> Run,
    Run: Future<Output = bool>,
{
    let deadline = Instant::now() + CONDITION_TIMEOUT;
    while !check().await {
        assert!(
            Instant::now() < deadline,
            "condition not met in time: {what}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Runs a command without blocking the stand-ins, which share this thread.
pub async fn run_command(mut command: Command) -> Output {
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await
        .expect("a finished thread")
        .expect("a run command")
}
