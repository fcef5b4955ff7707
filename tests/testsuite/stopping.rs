//! Instances that stop while callers keep sending: every accepted request gets a final response.
//!
//! These tests guard `serve` against a fault seen in another process of this project: after the stop signal it kept
//! accepting work until it exited, and aborted the work that it had accepted last. The callers keep using open
//! connections and opening new ones until the process has exited. They bypass the fault proxy, which would hide how
//! a connection ended.

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use samphiregrade::Settings;
use samphiregrade::client::CallerClient;
use samphiregrade::settings::LimitSection;
use samphiregrade_bench::cluster::{Cluster, ClusterSettings};
use samphiregrade_http::OutgoingRequest;
use samphiregrade_standins::engine::EngineSettings;
use serde_json::{Value, json};

use crate::support::raw::{Exchange, RawCaller};
use crate::support::{begin_program, caller_post, eventually, send, small_settings, with_cluster};

/// Instance that receives the stop signal.
const STOPPING: &str = "bilbao-a-0";

/// Failure domain whose instance keeps running, so that requests of its programs can always get a response.
const RUNNING_HOME: &str = "bilbao-b";

/// Number of callers that keep sending while the instance stops.
const CALLERS: usize = 12;

/// Delay of a caller whose program was not started.
const CALLER_DELAY: Duration = Duration::from_millis(2);

/// Time for callers to start programs and calls before the instance receives the stop signal.
const WARM_UP: Duration = Duration::from_secs(1);

/// Returns settings for slow responses: engines generate one token in each step.
fn slow_settings(step: Duration, limits: LimitSection) -> ClusterSettings {
    ClusterSettings {
        engine: EngineSettings {
            step_base: step,
            ..EngineSettings::default()
        },
        limits,
        ..small_settings()
    }
}

/// Returns the address of an instance's listener for callers, which bypasses the fault proxy.
fn callers_address(cluster: &Cluster, instance: &str) -> SocketAddr {
    let path = cluster.folder().join(format!("{instance}.toml"));
    let text = fs::read_to_string(path).expect("the settings file");
    Settings::parse(&text)
        .expect("good settings")
        .listen
        .callers
}

fn signal(cluster: &Cluster, instance: &str, signal: Signal) {
    let id = cluster.instances[instance].id().expect("a running process");
    let id = Pid::from_raw(i32::try_from(id).expect("a process number"));
    kill(id, signal).expect("a process that accepts signals");
}

/// Waits until a process exits and returns its exit status.
async fn exit_status(cluster: &mut Cluster, instance: &str) -> i32 {
    loop {
        let process = cluster.instances.get_mut(instance).expect("an instance");
        if let Some(status) = process.exited() {
            return status;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn prompt(max_tokens: usize, stream: bool) -> Value {
    let content = format!("[answer-tokens={max_tokens}]");
    json!({
        "messages": [{"role": "user", "content": content}], "max_tokens": max_tokens,
        "stream": stream})
}

/// Description of an exchange that a stopping instance must not cause.
type Complaint = String;

/// Starts programs and makes calls at one instance until `exited` is set.
fn persistent_caller(
    address: SocketAddr,
    token: &str,
    number: usize,
    exited: Arc<AtomicBool>,
) -> JoinHandle<Vec<Complaint>> {
    let mut caller = RawCaller::new(address, token, number.is_multiple_of(2));
    thread::spawn(move || {
        let mut complaints = Vec::new();
        for round in 0.. {
            if exited.load(Ordering::Relaxed) {
                break;
            }
            let begin = json!({
                "key": format!("{number}-{round}"), "class": "dossier", "home": RUNNING_HOME});
            let first = caller.post("/v1/programs", &begin);
            complaints.extend(complaint(&first));
            let Some(program) = first.json()["program"].as_str().map(str::to_owned) else {
                thread::sleep(CALLER_DELAY);
                continue;
            };
            let path = format!("/v1/programs/{program}/calls/1");
            let second = caller.post(&path, &prompt(30, number.is_multiple_of(3)));
            complaints.extend(complaint(&second));
        }
        complaints
    })
}

/// Returns a complaint if a request has no complete response, an incomplete stream or an unexpected status. A
/// connection that was not accepted is none.
fn complaint(exchange: &Exchange) -> Option<Complaint> {
    match exchange {
        Exchange::NotConnected => None,
        Exchange::Broken(reason) => Some(reason.clone()),
        Exchange::Response(response) => {
            let allowed = [200, 429, 503].contains(&response.status);
            let streamed = response.header("content-type") == Some("text/event-stream");
            let last =
                response.text().contains("[DONE]") || response.text().contains("event: moved");
            if !allowed || streamed && !last {
                return Some(format!("{} {}", response.status, response.text()));
            }
            None
        }
    }
}

#[test]
fn stopping_instance_answers_every_request_while_callers_keep_sending() {
    let limits = LimitSection {
        drain_seconds: 12,
        ..LimitSection::default()
    };
    let settings = slow_settings(Duration::from_millis(20), limits);
    with_cluster(settings, |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let exited = Arc::new(AtomicBool::new(false));
        let token = cluster.settings.deployment.token.clone();
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| persistent_caller(address, &token, number, exited.clone()))
            .collect();
        tokio::time::sleep(WARM_UP).await;
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let status = exit_status(&mut cluster, STOPPING).await;
        exited.store(true, Ordering::Relaxed);
        let complaints: Vec<Complaint> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller that ends"))
            .collect();
        assert!(complaints.is_empty(), "{complaints:#?}");
        assert_eq!(status, 0, "{}", cluster.log_tail(STOPPING));
    });
}

#[test]
fn calls_that_outlast_the_drain_period_get_a_final_response() {
    let limits = LimitSection {
        drain_seconds: 3,
        linger_ms: 500,
        ..LimitSection::default()
    };
    let settings = slow_settings(Duration::from_millis(1500), limits);
    with_cluster(settings, |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let token = cluster.settings.deployment.token.clone();
        let mut callers = Vec::new();
        for (home, stream) in [
            ("bilbao-a", true),
            ("bilbao-a", false),
            (RUNNING_HOME, true),
            (RUNNING_HOME, false),
        ] {
            let begin = json!({
                "key": format!("{home}-{stream}"), "class": "dossier", "home": home});
            let program = begin_program(&cluster, STOPPING, &begin).await;
            let path = format!("/v1/programs/{program}/calls/1");
            let mut caller = RawCaller::new(address, &token, true);
            callers.push(thread::spawn(move || {
                (stream, caller.post(&path, &prompt(40, stream)))
            }));
        }
        tokio::time::sleep(WARM_UP).await;
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let status = exit_status(&mut cluster, STOPPING).await;
        assert_ne!(status, 0, "exit status 0 although calls were unfinished");
        for caller in callers {
            let (stream, exchange) = caller.join().expect("a caller that ends");
            let Exchange::Response(response) = exchange else {
                panic!("stream: {stream}; {exchange:?}");
            };
            if stream {
                assert!(
                    response.text().contains("event: moved"),
                    "{}",
                    response.text()
                );
                continue;
            }
            let problem = response.json();
            assert_eq!(problem["type"], "shutting-down", "{}", response.text());
            // The call is under way at an engine, so the instance can't know whether it will complete.
            assert_eq!(problem["ran"], "unknown");
            assert_eq!(problem["transient"], true);
            assert!(response.header("retry-after").is_some());
            assert_eq!(response.header("connection"), Some("close"));
        }
    });
}

#[test]
fn caller_refused_by_a_stopping_instance_switches_to_another_one() {
    let limits = LimitSection {
        linger_ms: 0,
        ..LimitSection::default()
    };
    let settings = slow_settings(Duration::from_millis(500), limits);
    with_cluster(settings, |cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let token = cluster.settings.deployment.token.clone();
        let begin = |key: &str| json!({"key": key, "class": "dossier", "home": RUNNING_HOME});
        let program = begin_program(&cluster, STOPPING, &begin("long")).await;
        let path = format!("/v1/programs/{program}/calls/1");
        let mut long_caller = RawCaller::new(address, &token, true);
        let long_call = thread::spawn(move || long_caller.post(&path, &prompt(40, true)));
        tokio::time::sleep(WARM_UP).await;
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let url = format!("{}/v1/programs/x", cluster.instances[STOPPING].entry);
        eventually("a refusal", || async {
            let response = send(&cluster.pool, OutgoingRequest::get(&url)).await;
            response.json()["type"] == "shutting-down"
        })
        .await;
        let entries = [STOPPING, "bilbao-c-0"].map(|name| cluster.instances[name].entry.clone());
        let client = CallerClient::new(cluster.pool.clone(), entries.into(), token)
            .with_preferred(1)
            .with_retry_timeout(Duration::from_secs(5));
        let request = serde_json::from_value(begin("other")).expect("a request");
        client.begin(&request).await.expect("another instance");
        assert!(!long_call.is_finished(), "the instance has already exited");
    });
}

#[test]
fn forwarded_stream_whose_primary_is_killed_does_not_look_complete() {
    let settings = slow_settings(Duration::from_millis(100), LimitSection::default());
    with_cluster(settings, |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let token = cluster.settings.deployment.token.clone();
        let begin = json!({"key": "k", "class": "dossier", "home": RUNNING_HOME});
        let program = begin_program(&cluster, STOPPING, &begin).await;
        let path = format!("/v1/programs/{program}/calls/1");
        let mut caller = RawCaller::new(address, &token, true);
        let reading = thread::spawn(move || caller.post(&path, &prompt(60, true)));
        tokio::time::sleep(WARM_UP).await;
        let primary = cluster.instances.get_mut("bilbao-b-0");
        primary.expect("an instance").kill();
        let waiting = tokio::task::spawn_blocking(move || reading.join());
        let exchange = waiting
            .await
            .expect("a thread")
            .expect("a caller that ends");
        let Exchange::Response(response) = exchange else {
            panic!("{exchange:?}");
        };
        assert!(
            response.text().contains("event: moved"),
            "{}",
            response.text()
        );
    });
}

#[test]
fn instance_stopped_during_startup_shuts_down_gracefully() {
    with_cluster(small_settings(), |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let process = cluster.instances.get_mut(STOPPING).expect("an instance");
        process.kill();
        process.spawn().expect("a process");
        let connected =
            tokio::task::spawn_blocking(move || RawCaller::wait_until_connectable(address));
        connected.await.expect("a listener");
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let status = exit_status(&mut cluster, STOPPING).await;
        assert_eq!(status, 0, "{}", cluster.log_tail(STOPPING));
    });
}

#[test]
fn sighup_does_not_stop_an_instance() {
    with_cluster(small_settings(), |mut cluster| async move {
        signal(&cluster, STOPPING, Signal::SIGHUP);
        let begin = json!({"key": "k", "class": "dossier"});
        let request = caller_post(&cluster, STOPPING, "/v1/programs", &begin);
        let url = format!("{}/healthz", cluster.instances[STOPPING].operators);
        let pool = cluster.pool.clone();
        eventually("a response after the signal", || async {
            let response = pool.send(OutgoingRequest::get(&url)).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
        assert_eq!(send(&pool, request).await.status, 200);
        let process = cluster.instances.get_mut(STOPPING).expect("an instance");
        assert_eq!(process.exited(), None);
    });
}
