//! Sockets of the wire: what the system still holds, and what becomes of it.

use std::time::Duration;

use samphiregrade_http::wire::{SocketLimits, WireSocket, apply_limits, listen};
use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// More than both systems hold for a program that does not read.
const LONG: usize = 32 << 20;

/// Bytes of an answer that both systems hold together, and the peer's alone does not.
const LAST_ANSWER: usize = 512 << 10;

/// Time within which a configuration has to be in force.
const CONFIGURATION_TIME: Duration = Duration::from_secs(2);

/// Time given to something that may not come; nothing depends on it.
const MOMENT: Duration = Duration::from_millis(200);

#[tokio::test]
async fn bytes_that_the_peer_does_not_take_are_told() {
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
        // The last acknowledgement may come after the last byte was read.
        let _ = tokio::time::timeout(MOMENT, peer.read(&mut taken)).await;
    }
}

/// Sends a last answer to a peer that reads nothing yet, sends a further request, and reads then; returns what it got.
async fn last_answer<Ending, Ended>(end: Ending) -> std::io::Result<usize>
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
    let bytes = vec![b'x'; LAST_ANSWER];
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
async fn last_answer_arrives_whole_where_the_peer_has_sent_more() {
    let read = last_answer(WireSocket::end_in_order).await;
    assert_eq!(read.expect("no reset"), LAST_ANSWER);
}

#[tokio::test]
async fn connection_that_is_to_be_reset_does_not_end_in_order() {
    let read = last_answer(|mut server| {
        server.reset_on_close();
        server.end_in_order()
    });
    read.await.expect_err("a reset");
}

// Guards against keepers that all hold an old configuration for longer than it may be in force: a watch without changes
// is held for many seconds, and its path fell silent meanwhile.
#[test]
fn silent_path_of_a_held_answer_is_noticed_within_the_time_of_a_configuration() {
    let limits = SocketLimits::for_held_answers();
    let silence = limits.silence.expect("the system watches the path");
    assert!(silence.noticed_after() <= CONFIGURATION_TIME);
}

#[tokio::test]
async fn limits_of_silence_reach_the_system() {
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a port");
    let address = listener.local_addr().expect("an address");
    let limits = SocketLimits::for_held_answers();
    let silence = limits.silence.expect("the system watches the path");
    let stream = TcpStream::connect(address).await.expect("a connection");
    apply_limits(&stream, &limits).expect("accepted options");
    let options = SockRef::from(&stream);
    assert!(options.keepalive().expect("an option"));
    let probe_after = options.tcp_keepalive_time().expect("a time");
    let probe_interval = options.tcp_keepalive_interval().expect("a time");
    let probe_count = options.tcp_keepalive_retries().expect("a count");
    let unacknowledged = options.tcp_user_timeout().expect("a time");
    assert_eq!(probe_after, silence.probe_after);
    assert_eq!(probe_interval, silence.probe_interval);
    assert_eq!(probe_count, silence.probe_count);
    assert_eq!(unacknowledged, Some(silence.unacknowledged));
}
