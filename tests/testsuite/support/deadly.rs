//! Upstreams whose process ends under each call.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use samphiregrade::record::{CURRENT_SCHEMA, RecordEnvelope, RecordKind};
use serde_json::{Value, json};

/// Bytes that are read of a request before the process ends.
const REQUEST_BYTES: usize = 4096;

/// Time after which a call that gets no response counts as failed, in seconds.
const CALL_TIMEOUT: u32 = 1;

/// What the end of an upstream looks like from outside.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum UpstreamEnding {
    /// Its port and its connections are closed.
    #[default]
    Closed,
    /// Another process listens at its address as soon as it has ended.
    StartsAgain,
    /// Its machine goes dark: its connections stay open, and nothing is answered.
    Silent,
}

/// Upstreams that end under calls, and the number of those that have.
#[derive(Clone, Default)]
pub struct DeadlyUpstreams {
    ended: Arc<AtomicUsize>,
    ending: UpstreamEnding,
}

impl DeadlyUpstreams {
    /// Returns upstreams of which none has started.
    pub fn new(ending: UpstreamEnding) -> Self {
        Self {
            ending,
            ..Self::default()
        }
    }

    /// Starts an upstream that ends under its first call, and returns its address. Other requests get 404.
    pub fn start(&self) -> String {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let deadly = self.clone();
        thread::spawn(move || {
            while let Ok((stream, _)) = listener.accept() {
                let Some(call) = read_call(stream) else {
                    continue;
                };
                deadly.ended.fetch_add(1, Ordering::SeqCst);
                match deadly.ending {
                    UpstreamEnding::StartsAgain => {}
                    // The sockets of a process that ends are closed together.
                    UpstreamEnding::Closed => return drop((listener, call)),
                    UpstreamEnding::Silent => loop {
                        thread::park();
                    },
                }
            }
        });
        format!("http://{address}")
    }

    /// Returns the number of upstreams that have ended.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::SeqCst)
    }
}

/// Reads a request; returns the connection of a call, and refuses all others.
fn read_call(mut stream: TcpStream) -> Option<TcpStream> {
    let mut request = vec![0; REQUEST_BYTES];
    let count = stream.read(&mut request).unwrap_or(0);
    let calls: [&[u8]; 2] = [b"POST /v1/chat", b"POST /invoke"];
    if calls.iter().any(|call| request[..count].starts_with(call)) {
        return Some(stream);
    }
    let response = "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
    // A poller that has given up gets nothing.
    let _ = stream.write_all(response.as_bytes());
    None
}

/// Returns the record of an upstream; `kind` is `engine` or `service`, and `serves` its model or service.
pub fn deadly_record(name: &str, kind: &str, serves: &str, address: &str) -> RecordEnvelope {
    let mut spec: Value = json!({
        "kind": kind, "address": address, "failure-domain": "bilbao-a", "timeout-seconds": CALL_TIMEOUT});
    if kind == "engine" {
        spec["models"] = json!([serves]);
    } else {
        spec["service"] = json!(serves);
    }
    RecordEnvelope {
        schema: CURRENT_SCHEMA,
        kind: RecordKind::Upstream,
        name: name.into(),
        spec,
    }
}
