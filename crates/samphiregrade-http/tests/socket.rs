//! Sockets of the wire: what the system still holds, and what becomes of it.

use std::time::Duration;

use samphiregrade_http::wire::{SocketLimits, WireSocket, listen};
use tokio::io::AsyncReadExt;

/// More than both systems hold for a program that does not read.
const LONG: usize = 32 << 20;

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
