//! Failing upstreams: a call is abandoned after a bounded number of attempts, and the program continues.

use samphiregrade::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind};
use samphiregrade_bench::cluster::Cluster;
use samphiregrade_standins::proxy::LinkFaults;
use samphiregrade_standins::service::ServiceFaults;
use serde_json::{Value, json};

use crate::support::deadly::{DeadlyUpstreams, UpstreamEnding, deadly_record};
use crate::support::{
    begin_program, caller_post, eventually, executed_calls, send, small_settings, with_cluster,
};

const ENTRY: &str = "bilbao-a-0";

/// Number of upstreams that end under a call: more than a call may end.
const DEADLY_UPSTREAMS: usize = 8;

/// Largest number of upstreams that may end under one call.
const ALLOWED_ENDS: usize = 3;

#[test]
fn call_that_always_fails_is_refused_and_the_program_continues() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let program =
            begin_program(&cluster, ENTRY, &json!({"key": "k", "class": "dossier"})).await;
        let calls = format!("/v1/programs/{program}/calls");
        for service in cluster.services.values() {
            service.set_faults(ServiceFaults {
                lose_replies: 1.0,
                ..ServiceFaults::default()
            });
        }
        let body = json!({
            "service": "application", "tool": "look", "arguments": {}, "idempotent": true});
        let first = caller_post(&cluster, ENTRY, &format!("{calls}/1"), &body);
        let mut refused = send(&pool, first.clone()).await;
        while refused.json()["transient"] == true {
            refused = send(&pool, first.clone()).await;
        }
        assert_eq!(
            refused.json()["type"],
            "upstream-failed",
            "{}",
            refused.text()
        );
        assert_eq!(refused.json()["ran"], "unknown");
        for service in cluster.services.values() {
            service.set_faults(ServiceFaults::default());
        }
        let second = caller_post(&cluster, ENTRY, &format!("{calls}/2"), &body);
        let mut response = send(&pool, second.clone()).await;
        while response.json()["transient"] == true {
            response = send(&pool, second.clone()).await;
        }
        assert_eq!(response.status, 200, "{}", response.text());
    });
}

#[test]
fn non_idempotent_call_of_a_temporarily_unreachable_service_runs_at_most_once() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let program =
            begin_program(&cluster, ENTRY, &json!({"key": "k", "class": "dossier"})).await;
        let cut = |cut| LinkFaults {
            cut,
            ..LinkFaults::default()
        };
        let tools = |link: &str| link.starts_with("upstream/credit-bureau");
        cluster.proxy.set_faults(&cut(true), tools);
        let body = json!({"service": "credit-bureau", "tool": "enquiry", "arguments": {}});
        let call = caller_post(
            &cluster,
            ENTRY,
            &format!("/v1/programs/{program}/calls/1"),
            &body,
        );
        let (sent, ()) = futures_util::join!(send(&pool, call.clone()), async {
            tokio::time::sleep(std::time::Duration::from_millis(500)).await;
            cluster.proxy.set_faults(&cut(false), tools);
        });
        let mut response = sent;
        while response.json()["transient"] == true {
            response = send(&pool, call.clone()).await;
        }
        let executions = executed_calls(&cluster);
        assert!(executions <= 1, "{executions}");
        // The proxy accepts connections on an interrupted path and closes them, so the outcome may be unknown.
        assert!([200, 424].contains(&response.status), "{}", response.text());
    });
}

// Guards against engines that never answer and are sent calls for ever, because expired calls counted as successes.
#[test]
fn engines_that_never_answer_are_avoided() {
    with_cluster(small_settings(), |cluster| async move {
        let silent = LinkFaults {
            half_open: true,
            ..LinkFaults::default()
        };
        let names = cluster
            .engines
            .keys()
            .map(|name| format!("upstream/{name}"));
        let names: Vec<String> = names.collect();
        let engines = |link: &str| names.iter().any(|name| name == link);
        cluster.proxy.set_faults(&silent, engines);
        let pool = cluster.pool.clone();
        let call = async |number: usize| {
            let begin =
                json!({"key": format!("k{number}"), "class": "dossier", "deadline-ms": 8000});
            let program = begin_program(&cluster, ENTRY, &begin).await;
            let body = json!({"messages": [{"role": "user", "content": "one"}], "max_tokens": 40});
            let path = format!("/v1/programs/{program}/calls/1");
            send(&pool, caller_post(&cluster, ENTRY, &path, &body)).await
        };
        let responses = futures_util::future::join_all((0..24).map(call)).await;
        assert!(responses.iter().all(|response| response.status != 200));
        let mut open = 0;
        for instance in cluster.instances.keys() {
            let dump = cluster.dump(instance).await.expect("a dump");
            open += dump.to_string().matches("\"breaker-open\":true").count();
        }
        assert!(open > 0, "no circuit breaker is open");
    });
}

/// Starts upstreams that end under each call, registers them and waits until every instance knows them.
async fn add_deadly_upstreams(
    cluster: &Cluster,
    kind: &str,
    ending: UpstreamEnding,
) -> DeadlyUpstreams {
    let deadly = DeadlyUpstreams::new(ending);
    let model = RecordEnvelope {
        schema: CURRENT_SCHEMA,
        kind: RecordKind::Model,
        name: "deadly".into(),
        spec: json!({"version": "1"}),
    };
    let mut revision = cluster.put_record(&model).await.expect("a stored record");
    for number in 0..DEADLY_UPSTREAMS {
        let record = deadly_record(&format!("deadly-{number}"), kind, "deadly", &deadly.start());
        revision = cluster.put_record(&record).await.expect("a stored record");
    }
    for name in cluster.instances.keys() {
        eventually("the records are applied", || async {
            let dump = cluster.dump(name).await.unwrap_or_default();
            dump["configuration-revision"].as_u64() >= Some(revision)
        })
        .await;
    }
    deadly
}

/// Returns the body of a call of upstreams that end.
fn deadly_call(kind: &str) -> Value {
    if kind == "engine" {
        return json!({
            "model": "deadly", "messages": [{"role": "user", "content": "one"}], "max_tokens": 40});
    }
    json!({"service": "deadly", "tool": "look", "arguments": {}, "idempotent": true})
}

/// Sends a call until its response is final, and checks the number of upstreams that it ends.
fn expect_allowed_ends(kind: &'static str, ending: UpstreamEnding) {
    with_cluster(small_settings(), move |cluster| async move {
        let deadly = add_deadly_upstreams(&cluster, kind, ending).await;
        let begin = json!({"key": "k", "class": "dossier"});
        let program = begin_program(&cluster, ENTRY, &begin).await;
        let path = format!("/v1/programs/{program}/calls/1");
        let call = caller_post(&cluster, ENTRY, &path, &deadly_call(kind));
        let mut refused = send(&cluster.pool, call.clone()).await;
        while refused.json()["transient"] == true {
            refused = send(&cluster.pool, call.clone()).await;
        }
        match ending {
            // One that is dark may be sent the call twice.
            UpstreamEnding::Silent => assert!(deadly.ended() <= ALLOWED_ENDS),
            _ => assert_eq!(deadly.ended(), ALLOWED_ENDS, "{}", refused.text()),
        }
        assert_eq!(refused.json()["type"], "upstream-failed");
        assert_eq!(refused.json()["ran"], "unknown");
    });
}

// Guards against a call that ended a dozen engines or services one after another.
#[test]
fn call_ends_no_more_than_three_upstreams() {
    for kind in ["engine", "service"] {
        expect_allowed_ends(kind, UpstreamEnding::Closed);
    }
}

// Guards against a call whose upstreams count as living because other processes listen at their addresses.
#[test]
fn call_ends_no_more_than_three_upstreams_that_start_again() {
    for kind in ["engine", "service"] {
        expect_allowed_ends(kind, UpstreamEnding::StartsAgain);
    }
}

// Guards against a call under which machines go dark one after another, because a timeout didn't count as a possible end.
#[test]
fn call_ends_no_more_than_three_upstreams_that_go_dark() {
    for kind in ["engine", "service"] {
        expect_allowed_ends(kind, UpstreamEnding::Silent);
    }
}
