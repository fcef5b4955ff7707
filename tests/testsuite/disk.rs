//! Shard copies on disk: a deployment that loses every process continues from them.

use std::fs;

use samphiregrade_bench::cluster::{Cluster, ClusterSettings};
use serde_json::{Value, json};

use crate::support::{
    begin_program, caller_get, caller_post, eventually, executed_calls, send, small_settings,
    with_cluster,
};

const ENTRY: &str = "bilbao-a-0";

fn disk_settings() -> ClusterSettings {
    let names = ["bilbao-a-0", "bilbao-b-0", "bilbao-c-0"];
    ClusterSettings {
        with_disk: names.map(Into::into).to_vec(),
        ..small_settings()
    }
}

/// Waits until every shard has a backup on another instance.
async fn wait_for_backups(cluster: &Cluster) {
    for name in cluster.instances.keys() {
        eventually("every shard has a backup", || async {
            let dump = cluster.dump(name).await.unwrap_or_default();
            let shards = dump["shards"].as_array().cloned().unwrap_or_default();
            let mut primaries = shards.iter().filter(|shard| shard["role"] == "primary");
            primaries.all(|shard| {
                shard["backups"]
                    .as_array()
                    .is_some_and(|backups| !backups.is_empty())
            })
        })
        .await;
    }
}

/// Starts a program with one call that must not be repeated. Returns the program and the response.
async fn run_one_call(cluster: &Cluster) -> (String, Vec<u8>) {
    wait_for_backups(cluster).await;
    let program = begin_program(
        cluster,
        ENTRY,
        &json!({"key": "kept", "class": "dossier", "home": "bilbao-a"}),
    )
    .await;
    let call = send(&cluster.pool, enquiry(cluster, &program)).await;
    assert_eq!(call.status, 200, "{}", call.text());
    (program, call.body)
}

fn enquiry(cluster: &Cluster, program: &str) -> samphiregrade_http::OutgoingRequest {
    let body = json!({"service": "credit-bureau", "tool": "enquiry", "arguments": {}});
    caller_post(
        cluster,
        ENTRY,
        &format!("/v1/programs/{program}/calls/1"),
        &body,
    )
}

fn kill_all(cluster: &mut Cluster) {
    for instance in cluster.instances.values_mut() {
        instance.kill();
    }
}

fn start_all(cluster: &mut Cluster) {
    for instance in cluster.instances.values_mut() {
        instance.spawn().expect("a started process");
    }
}

async fn has_recorded_call(cluster: &Cluster, program: &str) -> bool {
    let path = format!("/v1/programs/{program}");
    let Ok(mut response) = cluster.pool.send(caller_get(cluster, ENTRY, &path)).await else {
        return false;
    };
    let body = response.read_all().await.unwrap_or_default();
    let response: Value = serde_json::from_slice(&body).unwrap_or_default();
    response["calls"] == 1
}

#[test]
fn programs_survive_a_kill_of_every_process() {
    with_cluster(disk_settings(), |mut cluster| async move {
        let (program, response) = run_one_call(&cluster).await;
        kill_all(&mut cluster);
        start_all(&mut cluster);
        eventually("the program is recovered", || {
            has_recorded_call(&cluster, &program)
        })
        .await;
        assert_eq!(
            send(&cluster.pool, enquiry(&cluster, &program)).await.body,
            response
        );
        let executions = executed_calls(&cluster);
        assert_eq!(executions, 1);
    });
}

#[test]
fn damaged_disk_is_replaced_from_another_copy() {
    with_cluster(disk_settings(), |mut cluster| async move {
        let (program, response) = run_one_call(&cluster).await;
        kill_all(&mut cluster);
        let path = cluster.folder().join("bilbao-a-0-data/copies.redb");
        let mut bytes = fs::read(&path).expect("a database");
        let middle = bytes.len() / 2;
        bytes.truncate(middle);
        fs::write(&path, bytes).expect("a damaged database");
        start_all(&mut cluster);
        eventually("the program is recovered", || {
            has_recorded_call(&cluster, &program)
        })
        .await;
        assert_eq!(
            send(&cluster.pool, enquiry(&cluster, &program)).await.body,
            response
        );
        eventually("the damaged copy is replaced", || async {
            let dump = cluster.dump(ENTRY).await.unwrap_or_default();
            let shards = dump["shards"].as_array().cloned().unwrap_or_default();
            let of_domain = shards.iter().filter(|shard| {
                shard["shard"]
                    .as_str()
                    .is_some_and(|name| name.starts_with("bilbao-a."))
            });
            of_domain.filter(|shard| shard["role"] != "absent").count() == 2
        })
        .await;
    });
}
