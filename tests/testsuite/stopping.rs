//! Instances that stop while callers stay: nothing that was taken is left without a last word.
//!
//! Seen on another kind of process of this project: one that was told to stop went on taking work until it ended,
//! and broke off what it had taken last. These tests ask the same of `serve`. Their callers keep using open
//! connections and opening new ones until the process is gone, and speak to it without the fault proxy, which
//! would hide how a connection ended.

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

/// The instance that is told to stop.
const STOPPING: &str = "bilbao-a-0";

/// Failure domain whose instance goes on, so that its programs' requests have an answer all the while.
const STAYING_HOME: &str = "bilbao-b";

/// Callers that stay.
const CALLERS: usize = 12;

/// Pause of a caller that nobody answers.
const CALLER_PAUSE: Duration = Duration::from_millis(2);

/// Programs begun before the instance is told to stop.
const WARM_UP: Duration = Duration::from_secs(1);

/// Settings with answers that take long: one token in each step of the engines.
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

/// Address of an instance's listener for callers, beside the fault proxy.
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
    kill(id, signal).expect("a process that can be told");
}

/// Waits for the end of a process and returns its exit status.
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

/// What a staying caller saw that must not be.
type Complaint = String;

/// Begins programs and makes calls at one instance until told that its process is gone.
fn staying_caller(
    address: SocketAddr,
    token: &str,
    number: usize,
    gone: Arc<AtomicBool>,
) -> JoinHandle<Vec<Complaint>> {
    let mut caller = RawCaller::new(address, token, number.is_multiple_of(2));
    thread::spawn(move || {
        let mut complaints = Vec::new();
        for round in 0.. {
            if gone.load(Ordering::Relaxed) {
                break;
            }
            let begin = json!({
                "key": format!("{number}-{round}"), "class": "dossier", "home": STAYING_HOME});
            let first = caller.post("/v1/programs", &begin);
            complaints.extend(complaint(&first));
            let Some(program) = first.json()["program"].as_str().map(str::to_owned) else {
                thread::sleep(CALLER_PAUSE);
                continue;
            };
            let path = format!("/v1/programs/{program}/calls/1");
            let second = caller.post(&path, &prompt(30, number.is_multiple_of(3)));
            complaints.extend(complaint(&second));
        }
        complaints
    })
}

/// A connection that nobody took is no complaint; a request without a whole answer is one.
fn complaint(exchange: &Exchange) -> Option<Complaint> {
    match exchange {
        Exchange::NotConnected => None,
        Exchange::Broken(how) => Some(how.clone()),
        Exchange::Answer(answer) => {
            let allowed = [200, 429, 503].contains(&answer.status);
            let streamed = answer.header("content-type") == Some("text/event-stream");
            let last = answer.text().contains("[DONE]") || answer.text().contains("event: moved");
            if !allowed || streamed && !last {
                return Some(format!("{} {}", answer.status, answer.text()));
            }
            None
        }
    }
}

#[test]
fn instance_that_stops_leaves_no_request_without_an_answer_while_callers_keep_coming() {
    let limits = LimitSection {
        drain_seconds: 12,
        ..LimitSection::default()
    };
    let settings = slow_settings(Duration::from_millis(20), limits);
    with_cluster(settings, |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let gone = Arc::new(AtomicBool::new(false));
        let token = cluster.settings.deployment.token.clone();
        let callers: Vec<_> = (0..CALLERS)
            .map(|number| staying_caller(address, &token, number, gone.clone()))
            .collect();
        tokio::time::sleep(WARM_UP).await;
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let status = exit_status(&mut cluster, STOPPING).await;
        gone.store(true, Ordering::Relaxed);
        let complaints: Vec<Complaint> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("a caller that ends"))
            .collect();
        assert!(complaints.is_empty(), "{complaints:#?}");
        assert_eq!(status, 0, "{}", cluster.log_tail(STOPPING));
    });
}

#[test]
fn answers_that_outlast_the_time_of_the_shutdown_get_a_last_word() {
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
            (STAYING_HOME, true),
            (STAYING_HOME, false),
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
        assert_ne!(status, 0, "not everything was done in time");
        for caller in callers {
            let (stream, exchange) = caller.join().expect("a caller that ends");
            let Exchange::Answer(answer) = exchange else {
                panic!("stream: {stream}; {exchange:?}");
            };
            if stream {
                assert!(answer.text().contains("event: moved"), "{}", answer.text());
                continue;
            }
            let problem = answer.json();
            assert_eq!(problem["type"], "shutting-down", "{}", answer.text());
            // The call is under way at an engine, so nothing else would be true.
            assert_eq!(problem["ran"], "unknown");
            assert_eq!(problem["transient"], true);
            assert!(answer.header("retry-after").is_some());
            assert_eq!(answer.header("connection"), Some("close"));
        }
    });
}

#[test]
fn caller_that_an_ending_instance_refuses_goes_to_another_one() {
    let limits = LimitSection {
        linger_ms: 0,
        ..LimitSection::default()
    };
    let settings = slow_settings(Duration::from_millis(500), limits);
    with_cluster(settings, |cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let token = cluster.settings.deployment.token.clone();
        let begin = |key: &str| json!({"key": key, "class": "dossier", "home": STAYING_HOME});
        let program = begin_program(&cluster, STOPPING, &begin("long")).await;
        let path = format!("/v1/programs/{program}/calls/1");
        let mut long_caller = RawCaller::new(address, &token, true);
        let long_call = thread::spawn(move || long_caller.post(&path, &prompt(40, true)));
        tokio::time::sleep(WARM_UP).await;
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let url = format!("{}/v1/programs/x", cluster.instances[STOPPING].entry);
        eventually("a refusal", || async {
            let answer = send(&cluster.pool, OutgoingRequest::get(&url)).await;
            answer.json()["type"] == "shutting-down"
        })
        .await;
        let entries = [STOPPING, "bilbao-c-0"].map(|name| cluster.instances[name].entry.clone());
        let client = CallerClient::new(cluster.pool.clone(), entries.into(), token)
            .with_preferred(1)
            .with_retry_timeout(Duration::from_secs(5));
        let request = serde_json::from_value(begin("other")).expect("a request");
        client.begin(&request).await.expect("another instance");
        assert!(!long_call.is_finished(), "the instance had ended before");
    });
}

#[test]
fn forwarded_stream_whose_primary_is_killed_does_not_look_complete() {
    let settings = slow_settings(Duration::from_millis(100), LimitSection::default());
    with_cluster(settings, |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let token = cluster.settings.deployment.token.clone();
        let begin = json!({"key": "k", "class": "dossier", "home": STAYING_HOME});
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
        let Exchange::Answer(answer) = exchange else {
            panic!("{exchange:?}");
        };
        assert!(answer.text().contains("event: moved"), "{}", answer.text());
    });
}

#[test]
fn instance_that_is_told_to_stop_while_it_starts_shuts_down_gracefully() {
    with_cluster(small_settings(), |mut cluster| async move {
        let address = callers_address(&cluster, STOPPING);
        let process = cluster.instances.get_mut(STOPPING).expect("an instance");
        process.kill();
        process.spawn().expect("a process");
        let connected = tokio::task::spawn_blocking(move || RawCaller::wait_for(address));
        connected.await.expect("a listener");
        signal(&cluster, STOPPING, Signal::SIGTERM);
        let status = exit_status(&mut cluster, STOPPING).await;
        assert_eq!(status, 0, "{}", cluster.log_tail(STOPPING));
    });
}

#[test]
fn instance_survives_the_end_of_its_terminal() {
    with_cluster(small_settings(), |mut cluster| async move {
        signal(&cluster, STOPPING, Signal::SIGHUP);
        let begin = json!({"key": "k", "class": "dossier"});
        let request = caller_post(&cluster, STOPPING, "/v1/programs", &begin);
        let url = format!("{}/healthz", cluster.instances[STOPPING].operators);
        let pool = cluster.pool.clone();
        eventually("an answer after the signal", || async {
            let response = pool.send(OutgoingRequest::get(&url)).await;
            response.is_ok_and(|response| response.status == 200)
        })
        .await;
        assert_eq!(send(&pool, request).await.status, 200);
        let process = cluster.instances.get_mut(STOPPING).expect("an instance");
        assert_eq!(process.exited(), None);
    });
}
