//! The callers' interface, from the start of a program to its end.

use samphiregrade_standins::engine::{ChatMessage, answer_text};
use serde_json::{Value, json};

use crate::support::{
    begin_program, caller_get, caller_post, executed_calls, send, small_settings, with_cluster,
};

const ENTRY: &str = "bilbao-a-0";
const OTHER: &str = "bilbao-c-0";

fn prompt(text: &str) -> Value {
    json!({"messages": [{"role": "user", "content": text}], "max_tokens": 40})
}

fn expected(texts: &[(&str, &str)], max_tokens: usize) -> String {
    let messages: Vec<ChatMessage> = texts
        .iter()
        .map(|(role, content)| ChatMessage {
            role: (*role).into(),
            content: (*content).into(),
        })
        .collect();
    answer_text(&messages, max_tokens)
}

/// Returns the concatenated text of a stream's events.
fn stream_text(events: &str) -> String {
    let mut text = String::new();
    for data in events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "))
    {
        let event: Value = serde_json::from_str(data).unwrap_or(Value::Null);
        text.push_str(
            event["choices"][0]["delta"]["content"]
                .as_str()
                .unwrap_or(""),
        );
    }
    text
}

#[test]
fn program_runs_from_start_to_end() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let begin = json!({"key": "k1", "class": "dossier", "home": "bilbao-b"});
        let accepted = send(&pool, caller_post(&cluster, ENTRY, "/v1/programs", &begin)).await;
        assert_eq!(accepted.status, 200, "{}", accepted.text());
        let again = send(&pool, caller_post(&cluster, OTHER, "/v1/programs", &begin)).await;
        assert_eq!(accepted.body, again.body);
        let program = accepted.json()["program"]
            .as_str()
            .expect("a program id")
            .to_owned();
        let calls = format!("/v1/programs/{program}/calls");

        let first = caller_post(&cluster, ENTRY, &format!("{calls}/1"), &prompt("one"));
        let response = send(&pool, first.clone()).await;
        let text = response.json()["choices"][0]["message"]["content"].clone();
        let first_text = expected(&[("user", "one")], 40);
        assert_eq!(text, first_text.as_str());
        assert_eq!(send(&pool, first).await.body, response.body);
        let elsewhere = caller_post(&cluster, OTHER, &format!("{calls}/1"), &prompt("one"));
        assert_eq!(send(&pool, elsewhere).await.body, response.body);
        let late = send(&pool, caller_get(&cluster, OTHER, &format!("{calls}/1"))).await;
        assert_eq!(late.body, response.body);

        let other_body = caller_post(&cluster, ENTRY, &format!("{calls}/1"), &prompt("other"));
        let refused = send(&pool, other_body).await;
        assert_eq!(
            (refused.status, refused.json()["type"].as_str()),
            (409, Some("key-reused"))
        );
        let early = caller_post(&cluster, ENTRY, &format!("{calls}/3"), &prompt("three"));
        let refused = send(&pool, early).await;
        assert_eq!(
            (refused.status, refused.json()["ran"].as_str()),
            (409, Some("no"))
        );

        let mut streamed = prompt("two");
        streamed["stream"] = Value::Bool(true);
        let second = caller_post(&cluster, OTHER, &format!("{calls}/2"), &streamed);
        let stream = send(&pool, second).await.text();
        let history = [
            ("user", "one"),
            ("assistant", first_text.as_str()),
            ("user", "two"),
        ];
        let second_text = expected(&history, 40);
        assert_eq!(stream_text(&stream), second_text);
        assert!(stream.ends_with("data: [DONE]\n\n"), "{stream}");
        let resume = caller_get(&cluster, ENTRY, &format!("{calls}/2?offset=20"));
        assert_eq!(
            stream_text(&send(&pool, resume).await.text()),
            second_text[20..]
        );

        let history = caller_get(&cluster, ENTRY, &format!("/v1/programs/{program}/history"));
        let messages = send(&pool, history).await.json()["messages"].clone();
        assert_eq!(messages.as_array().map(Vec::len), Some(4));
        let end = caller_post(
            &cluster,
            ENTRY,
            &format!("/v1/programs/{program}/end"),
            &json!({}),
        );
        let ended = send(&pool, end).await.json();
        assert_eq!(
            (ended["status"].as_str(), ended["calls"].as_u64()),
            (Some("ended"), Some(2))
        );
        let after = caller_post(&cluster, ENTRY, &format!("{calls}/3"), &prompt("three"));
        assert_eq!(send(&pool, after).await.status, 410);
    });
}

#[test]
fn non_idempotent_call_runs_once() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let program =
            begin_program(&cluster, ENTRY, &json!({"key": "k2", "class": "dossier"})).await;
        let path = format!("/v1/programs/{program}/calls/1");
        let body = json!({"service": "credit-bureau", "tool": "enquiry", "arguments": {"who": 7}});
        let first = send(&pool, caller_post(&cluster, ENTRY, &path, &body)).await;
        assert_eq!(first.status, 200, "{}", first.text());
        assert_eq!(first.json()["arguments"]["who"], 7);
        for instance in [ENTRY, OTHER, "bilbao-b-0"] {
            let again = send(&pool, caller_post(&cluster, instance, &path, &body)).await;
            assert_eq!(again.body, first.body);
        }
        let executions = executed_calls(&cluster);
        assert_eq!(executions, 1);
    });
}

#[test]
fn token_budget_truncates_a_response_and_refuses_the_next_call() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let program = begin_program(
            &cluster,
            ENTRY,
            &json!({"key": "k3", "class": "dossier", "tokens": 30}),
        )
        .await;
        let calls = format!("/v1/programs/{program}/calls");
        let long = json!({
            "messages": [{"role": "user", "content": "[answer-tokens=100]"}], "max_tokens": 100});
        let response = send(
            &pool,
            caller_post(&cluster, ENTRY, &format!("{calls}/1"), &long),
        )
        .await;
        assert_eq!(response.json()["usage"]["completion_tokens"], 25);
        let refused = send(
            &pool,
            caller_post(&cluster, ENTRY, &format!("{calls}/2"), &long),
        )
        .await;
        let problem = refused.json();
        assert_eq!(problem["type"], "budget-exhausted");
        assert_eq!(problem["ran"], "no");
    });
}

#[test]
fn program_that_repeats_a_call_is_ended() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let program =
            begin_program(&cluster, ENTRY, &json!({"key": "k4", "class": "dossier"})).await;
        let body = json!({
            "service": "application", "tool": "look", "arguments": {}, "idempotent": true});
        let mut last = Value::Null;
        for sequence in 1..=6 {
            let path = format!("/v1/programs/{program}/calls/{sequence}");
            last = send(&pool, caller_post(&cluster, ENTRY, &path, &body))
                .await
                .json();
        }
        assert_eq!(last["type"], "loop-detected");
        assert_eq!(last["ran"], "no");
    });
}

// Guards against a resumed stream that ends as if it were complete although text is missing.
#[test]
fn resumed_stream_starts_over_if_its_offset_does_not_fit_the_text() {
    with_cluster(small_settings(), |cluster| async move {
        let pool = cluster.pool.clone();
        let program =
            begin_program(&cluster, ENTRY, &json!({"key": "k", "class": "dossier"})).await;
        let call = format!("/v1/programs/{program}/calls/1");
        let response = send(&pool, caller_post(&cluster, ENTRY, &call, &prompt("one"))).await;
        assert_eq!(response.status, 200, "{}", response.text());
        let text = expected(&[("user", "one")], 40);
        let end = format!("{call}?offset={}", text.len());
        let resumed = send(&pool, caller_get(&cluster, ENTRY, &end)).await;
        assert!(!resumed.text().contains("event: restart"));
        assert_eq!(stream_text(&resumed.text()), "");
        let beyond = format!("{call}?offset={}", text.len() + 1);
        let resumed = send(&pool, caller_get(&cluster, ENTRY, &beyond)).await;
        assert!(
            resumed.text().contains("event: restart"),
            "{}",
            resumed.text()
        );
        assert_eq!(stream_text(&resumed.text()), text);
        assert!(resumed.text().contains("[DONE]"));
    });
}
