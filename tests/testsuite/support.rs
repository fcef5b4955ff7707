//! Starting clusters and sending single requests.

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

/// One cluster at a time: several would take each other's processor time.
static TURN: Mutex<()> = Mutex::new(());

/// Longest wait for something that is bound to come.
const PATIENCE: Duration = Duration::from_secs(30);

/// The program under test.
pub fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_samphiregrade"))
}

/// A cluster of three failure domains with one instance each and few upstreams.
pub fn small_settings() -> ClusterSettings {
    ClusterSettings {
        binary: binary(),
        deployment: Deployment::cantabrica().with_instances(1).with_engines(3),
        shards: 2,
        ..ClusterSettings::default()
    }
}

/// Runs a test on a cluster of its own.
pub fn with_cluster<Test, Run>(settings: ClusterSettings, test: Test)
where
    Test: FnOnce(Cluster) -> Run + 'static,
    Run: Future<Output = ()> + 'static,
{
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    run_system(async move {
        let cluster = Cluster::start(settings)
            .await
            .expect("a cluster that starts");
        test(cluster).await;
    });
}

/// Runs a scenario and checks that no promise was broken and every caller has an answer.
pub fn check_scenario(text: &str) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
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

/// An answer with its status and body.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request once.
pub async fn send(pool: &HttpPool, request: OutgoingRequest) -> Answer {
    let mut response = pool.send(request).await.expect("a response");
    let body = response.read_all().await.expect("a whole body").to_vec();
    Answer {
        status: response.status,
        body,
    }
}

/// Starts a request of the deployment's callers.
pub fn caller_post(cluster: &Cluster, instance: &str, path: &str, body: &Value) -> OutgoingRequest {
    let base = &cluster.instances[instance].entry;
    OutgoingRequest::post_json(&format!("{base}{path}"), body).with_header(
        "authorization",
        &format!("Bearer {}", cluster.settings.deployment.token),
    )
}

/// Starts a question of the deployment's callers.
pub fn caller_get(cluster: &Cluster, instance: &str, path: &str) -> OutgoingRequest {
    let base = &cluster.instances[instance].entry;
    OutgoingRequest::get(&format!("{base}{path}")).with_header(
        "authorization",
        &format!("Bearer {}", cluster.settings.deployment.token),
    )
}

/// Begins a program at an instance and returns its id.
pub async fn begin_program(cluster: &Cluster, instance: &str, body: &Value) -> String {
    let request = caller_post(cluster, instance, "/v1/programs", body);
    let answer = send(&cluster.pool, request).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let program = answer.json()["program"].as_str().map(str::to_owned);
    program.expect("a program id")
}

/// Counts the calls that services have executed.
pub fn executed_calls(cluster: &Cluster) -> usize {
    let services = cluster.services.values();
    services.map(|service| service.executions().len()).sum()
}

/// Waits for something that is bound to come.
pub async fn eventually<Check, Run>(what: &str, check: Check)
where
    Check: Fn() -> Run,
    Run: Future<Output = bool>,
{
    let deadline = Instant::now() + PATIENCE;
    while !check().await {
        assert!(Instant::now() < deadline, "did not come: {what}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Runs a command without holding up the stand-ins, which share this thread.
pub async fn run_command(mut command: Command) -> Output {
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await
        .expect("a finished thread")
        .expect("a run command")
}
