//! Records: every instance applies them, none reverts to an older revision, and old and new schema versions coexist.

use std::fs;
use std::process::Command;

use samphiregrade::record::{RecordEnvelope, RecordKind};
use samphiregrade_standins::keyvalue::KeyValueFaults;
use samphiregrade_standins::proxy::LinkFaults;
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::support::{
    binary, caller_post, eventually, run_command, send, small_settings, with_cluster,
};

fn class(schema: u32, name: &str, spec: Value) -> RecordEnvelope {
    RecordEnvelope {
        schema,
        kind: RecordKind::ProgramClass,
        name: name.into(),
        spec,
    }
}

#[test]
fn both_schema_versions_apply_and_an_unsupported_one_keeps_the_last_valid_record() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let old = class(
            1,
            "old-class",
            json!({"model": "policy", "priority": 3, "tokens": 77}),
        );
        cluster.put_record(&old).await.expect("a stored record");
        let future = class(3, "dossier", json!({"unheard": "of"}));
        let revision = cluster.put_record(&future).await.expect("a stored record");
        for instance in cluster.instances.keys() {
            eventually("the revision is applied", || async {
                let dump = cluster.dump(instance).await.unwrap_or_default();
                dump["configuration-revision"].as_u64() >= Some(revision)
            })
            .await;
            let dump = cluster.dump(instance).await.expect("a dump");
            let problem = &dump["record-problems"][0];
            assert_eq!(problem["kept-last-good"], true, "{problem}");
            for (key, name, tokens) in [("a", "old-class", 77), ("b", "dossier", 60_000)] {
                let begin = json!({"key": format!("{instance}{key}"), "class": name});
                let request = caller_post(&cluster, instance, "/v1/programs", &begin);
                assert_eq!(send(&pool, request).await.json()["tokens"], tokens);
            }
        }
    });
}

#[test]
fn configuration_survives_a_restart_during_a_key_value_outage() {
    with_cluster(small_settings(), |mut cluster| async move {
        let changed = class(2, "late", json!({"model": "policy"}));
        let revision = cluster.put_record(&changed).await.expect("a stored record");
        let names: Vec<_> = cluster.instances.keys().cloned().collect();
        for name in &names {
            eventually("the revision is applied", || async {
                let dump = cluster.dump(name).await.unwrap_or_default();
                dump["configuration-revision"].as_u64() >= Some(revision)
            })
            .await;
        }
        let outage = KeyValueFaults {
            outage: true,
            ..KeyValueFaults::default()
        };
        cluster.key_value.set_faults(outage);
        let process = cluster.instances.get_mut(&names[0]).expect("an instance");
        process.kill();
        process.spawn().expect("a started process");
        eventually("the peers send the configuration", || async {
            let dump = cluster.dump(&names[0]).await.unwrap_or_default();
            dump["configuration-revision"].as_u64() >= Some(revision)
        })
        .await;
    });
}

#[test]
fn instance_without_configuration_refuses_only_transiently() {
    with_cluster(small_settings(), |mut cluster| async move {
        let name = "bilbao-a-0";
        cluster.key_value.set_faults(KeyValueFaults {
            outage: true,
            ..KeyValueFaults::default()
        });
        let cut = LinkFaults {
            cut: true,
            ..LinkFaults::default()
        };
        cluster
            .proxy
            .set_faults(&cut, |link| link.starts_with("peer/"));
        let process = cluster.instances.get_mut(name).expect("an instance");
        process.kill();
        process.spawn().expect("a started process");
        eventually("the process responds", || async {
            cluster.dump(name).await.is_ok()
        })
        .await;
        let body = json!({"key": "k", "class": "dossier"});
        let request = caller_post(&cluster, name, "/v1/programs", &body);
        let problem = send(&cluster.pool, request).await.json();
        assert_eq!(problem["type"], "shard-unavailable", "{problem}");
        assert_eq!(problem["transient"], true);
    });
}

#[test]
fn concurrent_record_changes_lose_no_update() {
    with_cluster(small_settings(), |cluster| async move {
        let folder = TempDir::new().expect("a folder");
        let url = cluster.key_value_url();
        let put = async |version: &str, base: Option<&str>| {
            let path = folder.path().join("record.json");
            let spec = json!({"version": version});
            let record = json!({"schema": 2, "kind": "model", "name": "raced", "spec": spec});
            fs::write(&path, record.to_string()).expect("a written file");
            let mut command = Command::new(binary());
            command
                .args(["record", "put"])
                .arg(&path)
                .args(["--key-value", &url]);
            if let Some(base) = base {
                command.args(["--base", base]);
            }
            run_command(command).await
        };
        let first = put("1", None).await;
        assert!(first.status.success(), "{first:?}");
        let accepted = String::from_utf8_lossy(&first.stdout).into_owned();
        let base = accepted
            .rsplit("revision=")
            .next()
            .expect("a revision")
            .trim()
            .to_owned();
        assert!(put("2", Some(&base)).await.status.success());
        let stale_put = put("3", Some(&base)).await;
        assert_eq!(stale_put.status.code(), Some(1));
        let told = String::from_utf8_lossy(&stale_put.stderr).into_owned();
        assert!(told.contains("\"version\":\"2\""), "{told}");
        assert!(told.contains("+     \"version\": \"3\""), "{told}");

        let bad = folder.path().join("bad.json");
        fs::write(
            &bad,
            json!({"schema": 9, "kind": "model", "name": "x", "spec": {}}).to_string(),
        )
        .expect("a written file");
        let mut command = Command::new(binary());
        command
            .args(["record", "put"])
            .arg(&bad)
            .args(["--key-value", &url]);
        let refused = run_command(command).await;
        assert_eq!(refused.status.code(), Some(2));
        assert!(String::from_utf8_lossy(&refused.stderr).contains("schema version 9"));

        let mut command = Command::new(binary());
        command.args(["record", "history", "model", "raced", "--key-value", &url]);
        let history = run_command(command).await;
        let history = String::from_utf8_lossy(&history.stdout).into_owned();
        assert_eq!(history.matches("revision=").count(), 2, "{history}");
    });
}
