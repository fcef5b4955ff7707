//! Requests that a server refuses before it has read their bodies, or for lack of memory.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use samphiregrade_http::{
    BudgetSettings, HttpServer, IncomingRequest, MemoryBudget, OutgoingResponse, ServerSettings,
    run_system,
};

const BODY_LIMIT: usize = 1 << 20;

/// Time after which a server counts as not responding.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends the head of a request that announces a body, and a part of the body; returns the response.
fn exchange(settings: ServerSettings, announced: usize, sent: usize) -> String {
    run_system(async move {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let handler = async |request: IncomingRequest| {
            let text = format!("{} bytes", request.body.len());
            OutgoingResponse::full(200, "text/plain", text).with_header("connection", "close")
        };
        let server = HttpServer::start(listener, settings, handler).expect("a server");
        let client = thread::spawn(move || {
            let mut stream = TcpStream::connect(address).expect("a connection");
            let limit = stream.set_read_timeout(Some(READ_TIMEOUT));
            limit.expect("a timeout");
            let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {announced}\r\n\r\n");
            stream.write_all(head.as_bytes()).expect("a sent head");
            // A server that refuses the request may close the connection before it has read the body.
            let _ = stream.write_all(&vec![b'x'; sent]);
            let mut response = Vec::new();
            let _ = stream.read_to_end(&mut response);
            String::from_utf8_lossy(&response).into_owned()
        });
        let joining = tokio::task::spawn_blocking(move || client.join());
        let response = joining.await.expect("a thread").expect("a response");
        server.stop(false).await;
        response
    })
}

fn settings() -> ServerSettings {
    ServerSettings {
        body_limit: BODY_LIMIT,
        ..ServerSettings::default()
    }
}

// Guards against a length over the limit that is noticed only after as many bytes.
#[test]
fn announced_length_over_the_limit_is_refused_at_once() {
    let response = exchange(settings(), BODY_LIMIT + 1, 0);
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
}

// Guards against bodies of callers that are refused whatever they send.
#[test]
fn head_is_checked_before_a_large_body_arrives() {
    let refusing = ServerSettings {
        head_check: Some(Arc::new(|_| {
            Some(OutgoingResponse::full(401, "text/plain", "no"))
        })),
        ..settings()
    };
    let response = exchange(refusing.clone(), BODY_LIMIT, 0);
    assert!(response.starts_with("HTTP/1.1 401"), "{response}");
    let small = exchange(refusing, 10, 10);
    assert!(small.starts_with("HTTP/1.1 200"), "{small}");
}

// Guards against a refusal that says that a request has not run which an earlier attempt may have run.
#[test]
fn request_without_room_is_told_when_to_return_and_not_that_it_never_ran() {
    let full = ServerSettings {
        budget: MemoryBudget::new(BudgetSettings {
            bytes: BODY_LIMIT,
            ..BudgetSettings::default()
        }),
        ..settings()
    };
    let response = exchange(full, BODY_LIMIT, BODY_LIMIT * 3 / 4);
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("retry-after: 1"), "{response}");
    assert!(response.contains("\"ran\":\"unknown\""), "{response}");
}

#[test]
fn body_of_the_largest_size_is_served_in_calm() {
    let response = exchange(settings(), BODY_LIMIT, BODY_LIMIT);
    assert!(response.ends_with("1048576 bytes"), "{response}");
}
