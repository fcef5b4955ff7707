//! Servers that shut down while clients keep sending requests.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use ntex::util::Bytes;
use samphiregrade_http::{
    HttpServer, IncomingRequest, ListenerCloser, OutgoingResponse, RequestGate, ServerSettings,
    run_system,
};
use tokio::sync::mpsc;

/// Clients that open a connection for each request.
const CLIENTS: usize = 8;

/// Repetitions of the listener test; a single close would seldom coincide with a non-empty accept queue.
const CLOSINGS: usize = 10;

/// Time for clients to connect after the listener is closed; no check depends on its length.
const MOMENT: Duration = Duration::from_millis(100);

fn bind() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Sends a request on a connection and returns all bytes until the server closes it.
fn fetch(mut stream: &TcpStream) -> std::io::Result<String> {
    stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    Ok(text)
}

async fn closing_response(_: IncomingRequest) -> OutgoingResponse {
    OutgoingResponse::full(200, "text/plain", "whole").with_header("connection", "close")
}

async fn join_thread<Output>(thread: thread::JoinHandle<Output>) -> Output
where
    Output: Send + 'static,
{
    let waiting = tokio::task::spawn_blocking(move || thread.join());
    waiting
        .await
        .expect("a thread")
        .expect("a client that ends")
}

#[test]
fn closing_response_announces_and_closes_the_connection() {
    run_system(async {
        let (listener, address) = bind();
        let server = HttpServer::start(listener, ServerSettings::default(), closing_response);
        let server = server.expect("a server");
        let client = thread::spawn(move || fetch(&TcpStream::connect(address)?));
        let text = join_thread(client)
            .await
            .expect("a connection that the server closes");
        let close = text.matches("connection: close").count();
        assert!(close == 1 && text.ends_with("whole"), "{text}");
        server.stop(false).await;
    });
}

#[test]
fn closing_the_listener_loses_no_accepted_connection() {
    for _ in 0..CLOSINGS {
        run_system(async {
            let (listener, address) = bind();
            let closer = ListenerCloser::of(&listener).expect("a closer");
            let server = HttpServer::start(listener, ServerSettings::default(), closing_response);
            let server = server.expect("a server");
            let ended = Arc::new(AtomicBool::new(false));
            let (first_response, mut answered) = mpsc::unbounded_channel();
            let clients: Vec<_> = (0..CLIENTS)
                .map(|_| connect_until(address, ended.clone(), first_response.clone()))
                .collect();
            for _ in &clients {
                answered.recv().await.expect("a client that is served");
            }
            closer.close().await.expect("a closed listener");
            tokio::time::sleep(MOMENT).await;
            ended.store(true, Ordering::Relaxed);
            for client in clients {
                let broken = join_thread(client).await;
                assert!(broken.is_empty(), "{broken:?}");
            }
            server.stop(false).await;
        });
    }
}

/// Sends requests, each on its own connection; reports the first response and returns the failed attempts.
fn connect_until(
    address: SocketAddr,
    ended: Arc<AtomicBool>,
    first_response: mpsc::UnboundedSender<()>,
) -> thread::JoinHandle<Vec<String>> {
    thread::spawn(move || {
        let (mut reported, mut broken) = (false, Vec::new());
        while !ended.load(Ordering::Relaxed) {
            let Ok(stream) = TcpStream::connect(address) else {
                thread::sleep(Duration::from_millis(1));
                continue;
            };
            match fetch(&stream) {
                Ok(text) if text.ends_with("whole") => {
                    if !reported {
                        first_response.send(()).expect("a test that waits");
                    }
                    reported = true;
                }
                other => broken.push(format!("{other:?}")),
            }
        }
        broken
    })
}

#[test]
fn streamed_response_counts_until_its_end_and_late_requests_count_separately() {
    run_system(async {
        let (listener, address) = bind();
        let gate = RequestGate::default();
        let settings = ServerSettings {
            gate: gate.clone(),
            ..ServerSettings::default()
        };
        let (streams, mut opened) = mpsc::unbounded_channel();
        let server = HttpServer::start(listener, settings, move |_| {
            let streams = streams.clone();
            async move {
                let (sender, chunks) = mpsc::channel(1);
                streams.send(sender).expect("a test that waits");
                OutgoingResponse::stream(200, "text/plain", chunks)
                    .with_header("connection", "close")
            }
        });
        let server = server.expect("a server");
        let fetching = move || thread::spawn(move || fetch(&TcpStream::connect(address)?));
        let first = fetching();
        let early = opened.recv().await.expect("a request");
        early
            .send(Bytes::from_static(b"begun"))
            .await
            .expect("a reader");
        assert_eq!((gate.admitted(), gate.under_way()), (1, 1));
        gate.close();
        let second = fetching();
        let late = opened.recv().await.expect("a request");
        assert_eq!((gate.admitted(), gate.under_way()), (1, 2));
        drop(early);
        join_thread(first).await.expect("a complete response");
        drop(late);
        join_thread(second).await.expect("a complete response");
        while gate.under_way() > 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        server.stop(false).await;
    });
}
