//! Sockets: unacknowledged bytes, orderly close and reset, and keepalive limits.

use std::time::Duration;

use samphiregrade_http::wire::{SocketLimits, WireSocket, apply_limits, listen};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// More bytes than both systems buffer for a program that doesn't read.
const LONG: usize = 32 << 20;

/// Bytes of a response that fit into the buffers of both systems together, but not into the peer's alone.
const LAST_RESPONSE: usize = 512 << 10;

/// Time within which a configuration has to be in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Time to wait for an event that may not happen; no result depends on its length.
const MOMENT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn unread_bytes_are_reported_as_unacknowledged() {
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let limits = SocketLimits::for_requests();
    let connecting = WireSocket::connect(address, Duration::from_secs(20), &limits);
    let socket = connecting.await.expect("a connection");
    assert_eq!(socket.unacknowledged().expect("a number"), 0);
    let (mut peer, _) = listener.accept().await.expect("a connection");
    let bytes = vec![b'x'; LONG];
    let writing = tokio::time::timeout(MOMENT, socket.write(&bytes));
    assert!(writing.await.is_err(), "nobody reads");
    assert!(socket.unacknowledged().expect("a number") > 0);
    let mut taken = vec![0; 1 << 20];
    while socket.unacknowledged().expect("a number") > 0 {
        // The last acknowledgement may arrive after the last byte was read.
        let _ = tokio::time::timeout(MOMENT, peer.read(&mut taken)).await;
    }
}

/// Writes a last response to a client that sends a further request before it reads; returns the bytes that it reads.
async fn last_response<Ending, Ended>(end: Ending) -> std::io::Result<usize>
where
    Ending: FnOnce(WireSocket) -> Ended,
    Ended: Future<Output = ()> + Send + 'static,
{
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let limits = SocketLimits::default();
    let connecting = WireSocket::connect(address, Duration::from_secs(20), &limits);
    let mut client = connecting.await.expect("a connection");
    let (stream, _) = listener.accept().await.expect("a connection");
    let server = WireSocket::new(stream, &limits).expect("a socket");
    let bytes = vec![b'x'; LAST_RESPONSE];
    let writing = server.write(&bytes);
    writing.await.expect("room in both systems");
    client.write(b"further request").await.expect("room");
    let ending = tokio::spawn(end(server));
    let mut read = 0;
    loop {
        match client.fill().await? {
            0 => break,
            count => read += count,
        }
        client.buffer.clear();
    }
    drop(client);
    ending.await.expect("an end");
    Ok(read)
}

#[tokio::test]
async fn last_response_arrives_completely_after_further_input() {
    let read = last_response(WireSocket::close_gracefully).await;
    assert_eq!(read.expect("no reset"), LAST_RESPONSE);
}

#[tokio::test]
async fn connection_marked_for_reset_is_not_closed_gracefully() {
    let read = last_response(|mut server| {
        server.reset_on_close();
        server.close_gracefully()
    });
    read.await.expect_err("a reset");
}

// Guards against keepers that all keep an old configuration for longer than it may be in force: a watch without
// changes is held for many seconds, and its path becomes unresponsive meanwhile.
#[test]
fn unresponsive_path_of_a_held_response_is_detected_within_the_configuration_time() {
    let limits = SocketLimits::for_held_responses();
    let liveness = limits.liveness.expect("the system monitors the path");
    assert!(liveness.detection_time() <= CONFIGURATION_TIME);
}

#[tokio::test]
async fn keepalive_limits_are_set_on_the_socket() {
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let limits = SocketLimits::for_held_responses();
    let liveness = limits.liveness.expect("the system monitors the path");
    let stream = TcpStream::connect(address).await.expect("a connection");
    apply_limits(&stream, &limits).expect("accepted options");
    let options = SockRef::from(&stream);
    assert!(options.keepalive().expect("an option"));
    let probe_after = options.tcp_keepalive_time().expect("a time");
    let probe_interval = options.tcp_keepalive_interval().expect("a time");
    let probe_count = options.tcp_keepalive_retries().expect("a count");
    let unacknowledged = options.tcp_user_timeout().expect("a time");
    assert_eq!(probe_after, liveness.probe_after);
    assert_eq!(probe_interval, liveness.probe_interval);
    assert_eq!(probe_count, liveness.probe_count);
    assert_eq!(unacknowledged, Some(liveness.unacknowledged));
}
