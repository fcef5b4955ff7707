//! Sockets of the wire: what the system still holds, and what becomes of it.

use std::time::Duration;

use samphiregrade_http::wire::{SocketLimits, WireSocket, listen};
use tokio::io::AsyncReadExt;

/// More than both systems hold for a program that does not read.
const LONG: usize = 32 << 20;

/// Bytes of an answer that both systems hold together, and the peer's alone does not.
const LAST_ANSWER: usize = 512 << 10;

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
