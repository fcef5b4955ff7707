//! Invalid input gets a clear typed error, and the instance continues serving.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use samphiregrade::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind, token_hash};
use samphiregrade::settings::LimitSection;
use samphiregrade_bench::cluster::{Cluster, ClusterSettings};
use samphiregrade_http::OutgoingRequest;
use serde_json::json;

use crate::support::{
    begin_program, caller_get, caller_post, eventually, send, small_settings, with_cluster,
};

const ENTRY: &str = "bilbao-a-0";

#[test]
fn every_invalid_request_gets_a_typed_error_and_programs_are_kept() {
    let settings = ClusterSettings {
        limits: LimitSection {
            body_bytes: 10_000,
            body_seconds: 1,
            ..LimitSection::default()
        },
        ..small_settings()
    };
    with_cluster(settings, |cluster| async move {
        let pool = cluster.pool.clone();
        let begin = json!({"key": "k", "class": "dossier"});
        let program = begin_program(&cluster, ENTRY, &begin).await;
        let calls = format!("/v1/programs/{program}/calls");
        let base = cluster.instances[ENTRY].entry.clone();

        let large = json!({"key": "x".repeat(20_000), "class": "dossier"});
        let response = send(&pool, caller_post(&cluster, ENTRY, "/v1/programs", &large)).await;
        assert_eq!(
            (response.status, response.json()["ran"].as_str()),
            (413, Some("no"))
        );

        invalid_fields_are_named(&cluster, &calls).await;

        let broken = caller_post(&cluster, ENTRY, "/v1/programs", &begin).with_body("{\"key\": ");
        let response = send(&pool, broken).await;
        assert_eq!(response.status, 400);
        assert!(
            response.json()["title"]
                .as_str()
                .unwrap_or("")
                .contains("line 1")
        );

        let url = format!("{base}/v1/programs");
        let no_token = send(&pool, OutgoingRequest::post_json(&url, &begin)).await;
        assert_eq!(no_token.status, 401);
        let wrong = OutgoingRequest::post_json(&url, &begin)
            .with_header("authorization", "Bearer nonsense");
        assert_eq!(send(&pool, wrong).await.status, 401);

        incomplete_body_times_out(&base);

        let again = send(&pool, caller_post(&cluster, ENTRY, "/v1/programs", &begin)).await;
        assert_eq!(again.json()["program"], program);
    });
}

/// Sends requests with one invalid field each and checks that the problem names it.
async fn invalid_fields_are_named(cluster: &Cluster, calls: &str) {
    let cases = [
        (
            "/v1/programs",
            json!({"key": "k", "class": "dossier", "colour": 1}),
            400,
            "colour",
        ),
        (
            "/v1/programs",
            json!({"key": "", "class": "dossier"}),
            400,
            "key",
        ),
        (
            "/v1/programs",
            json!({"key": "z", "class": "nothing"}),
            422,
            "nothing",
        ),
        (
            "/v1/programs",
            json!({"key": "z", "class": "dossier", "home": "mars"}),
            400,
            "mars",
        ),
        (
            &format!("{calls}/0"),
            json!({"messages": []}),
            400,
            "number of a call",
        ),
        (
            &format!("{calls}/1"),
            json!({"messages": []}),
            400,
            "messages",
        ),
        (
            &format!("{calls}/1"),
            json!({"service": "application", "tool": "a/b"}),
            400,
            "tool",
        ),
        (&format!("{calls}/1"), json!({}), 400, "messages"),
        (
            &format!("{calls}/1"),
            json!({"model": "nobody", "messages": [{"role": "user", "content": "a"}], "max_tokens": 5}),
            422,
            "nobody",
        ),
        (
            &format!("{calls}/1"),
            json!({"service": "nowhere", "tool": "a", "arguments": {}, "idempotent": true}),
            422,
            "nowhere",
        ),
        ("/v1/nothing", json!({}), 404, "/v1/nothing"),
        ("/v1/programs/nonsense/end", json!({}), 404, "nonsense"),
    ];
    for (path, body, status, fragment) in cases {
        let response = send(&cluster.pool, caller_post(cluster, ENTRY, path, &body)).await;
        let problem = response.json();
        assert_eq!(response.status, status, "{path} {body} {}", response.text());
        assert!(
            problem["title"].as_str().unwrap_or("").contains(fragment),
            "{problem}"
        );
        assert_eq!(problem["ran"], "no", "{problem}");
        assert!(
            problem["remedy"]
                .as_str()
                .is_some_and(|remedy| !remedy.is_empty())
        );
    }
}

/// Sends part of a body, then nothing, and checks for status 408.
fn incomplete_body_times_out(base: &str) {
    let address = base.trim_start_matches("http://");
    let mut stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(Duration::from_secs(20)))
        .expect("a timeout");
    let head = "POST /v1/programs HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\n{\"key\":";
    stream.write_all(head.as_bytes()).expect("a sent head");
    let mut answer = String::new();
    // The server may reset the connection after its response.
    let _ = stream.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
}

#[test]
fn program_is_visible_only_to_its_organisation() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let other = RecordEnvelope {
            schema: CURRENT_SCHEMA,
            kind: RecordKind::Organisation,
            name: "other".into(),
            spec: json!({"token-hashes": [token_hash("other-token")]}),
        };
        cluster.put_record(&other).await.expect("a stored record");
        let program =
            begin_program(&cluster, ENTRY, &json!({"key": "k", "class": "dossier"})).await;
        let path = format!("/v1/programs/{program}");
        let base = cluster.instances[ENTRY].entry.clone();
        let other_caller = OutgoingRequest::get(&format!("{base}{path}"))
            .with_header("authorization", "Bearer other-token");
        eventually("the other organisation is known", || {
            let request = other_caller.clone();
            let pool = pool.clone();
            async move { send(&pool, request).await.status != 401 }
        })
        .await;
        assert_eq!(send(&pool, other_caller).await.status, 404);
        assert_eq!(
            send(&pool, caller_get(&cluster, ENTRY, &path)).await.status,
            200
        );
    });
}
