//! Responses that end early, as the client reports them.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use samphiregrade_http::{HttpPool, OutgoingRequest, run_system};
use socket2::SockRef;

/// Time between the last bytes of a response and the end of its connection.
const END_DELAY: Duration = Duration::from_millis(20);

/// Time after which a test's request counts as unanswered; only a failing test reaches it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a server that sends the text as its response to each request, and then closes or resets the connection.
fn serve(text: &'static str, resets: bool) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            respond(stream, text, resets);
        }
    });
    address
}

fn respond(mut stream: TcpStream, text: &str, resets: bool) {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request).expect("a request");
    stream.write_all(text.as_bytes()).expect("a sent response");
    thread::sleep(END_DELAY);
    if resets {
        let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        linger.expect("a connection that can be reset");
    }
}

/// Starts a server that sends chunks until its caller closes the connection.
fn serve_without_end() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let _ = stream.read(&mut request).expect("a request");
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let chunk = format!("400\r\n{}\r\n", "x".repeat(0x400)).repeat(64);
            stream.write_all(head.as_bytes()).expect("a sent head");
            while stream.write_all(chunk.as_bytes()).is_ok() {}
        }
    });
    address
}

// Guards against a body without end that fills the memory of the process that reads it.
#[test]
fn body_without_end_is_cut_off() {
    let address = serve_without_end();
    let read = run_system(async move {
        let pool = HttpPool::start(1);
        let request = OutgoingRequest::get(&format!("http://{address}/")).with_timeout(TIMEOUT);
        let mut response = pool.send(request).await.expect("a head");
        tokio::time::timeout(TIMEOUT, response.read_all()).await
    });
    assert!(read.expect("an end in time").is_err());
}

/// Returns the body that the client reports; `None` if it reports that the response is incomplete or can't be read.
fn fetch(text: &'static str, resets: bool) -> Option<String> {
    let address = serve(text, resets);
    run_system(async move {
        let pool = HttpPool::start(1);
        let request = OutgoingRequest::get(&format!("http://{address}/")).with_timeout(TIMEOUT);
        let mut response = pool.send(request).await.ok()?;
        let body = response.read_all().await.ok()?;
        Some(String::from_utf8_lossy(&body).into_owned())
    })
}

const FIELDS: &str = "Content-Type: application/json\r\n";

const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];

fn response(version: &str, framing: &str, body: &str) -> &'static str {
    let text = format!("{version} 200 OK\r\n{FIELDS}{framing}\r\n{body}");
    Box::leak(text.into_boxed_str())
}

// Guards against a reply of a service that has neither a length nor chunks, and that counted as an empty body.
#[test]
fn body_without_length_is_never_taken_for_an_empty_one() {
    for version in VERSIONS {
        let body = fetch(response(version, "", "{\"paid\":true}"), false);
        assert_ne!(body.as_deref(), Some(""), "{version}");
    }
}

// Guards against a reply of a service that was reset in the middle of its body and counted as complete.
#[test]
fn body_without_length_is_incomplete_after_a_reset() {
    for version in VERSIONS {
        let body = fetch(response(version, "", "{\"paid\":"), true);
        assert_eq!(body, None, "{version}");
    }
}

#[test]
fn framed_body_is_incomplete_if_its_connection_ends_early() {
    for resets in [false, true] {
        let counted = response("HTTP/1.1", "Content-Length: 20\r\n", "{\"paid\":");
        assert_eq!(fetch(counted, resets), None, "length, resets: {resets}");
        let chunked = "Transfer-Encoding: chunked\r\n";
        let chunked = response("HTTP/1.1", chunked, "8\r\n{\"paid\":\r\n");
        assert_eq!(fetch(chunked, resets), None, "chunks, resets: {resets}");
    }
}

/// Returns whether the client reports that a request was not sent.
fn is_not_sent(address: SocketAddr) -> bool {
    run_system(async move {
        let pool = HttpPool::start(1);
        let request = OutgoingRequest::post_json(&format!("http://{address}/"), &"x")
            .with_fresh_connection(true)
            .with_timeout(TIMEOUT);
        let error = pool.send(request).await.expect_err("a failure");
        error.not_sent()
    })
}

// Guards against a call that its service has read and closed without a response, and that counted as not sent: it was sent again
// although it must not run twice.
#[test]
fn request_that_was_read_and_closed_without_a_response_may_have_run() {
    for resets in [false, true] {
        let address = serve("", resets);
        assert!(!is_not_sent(address), "resets: {resets}");
    }
}

#[test]
fn request_to_a_closed_port_was_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    assert!(is_not_sent(address));
}
