//! Links: many requests on one connection, and a peer that was away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use samphiregrade_gateway::identity::{make_authority, make_identity};
use samphiregrade_gateway::link::LinkEndpoint;
use tokio::net::{TcpListener, TcpStream};

const PATIENCE: Duration = Duration::from_secs(20);

fn endpoint(authority: &(String, String), name: &str) -> LinkEndpoint {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let identity = make_identity(&authority.0, &authority.1, name).expect("an identity");
    LinkEndpoint::new(&identity).expect("an endpoint")
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// Passes connections on to an address and counts them.
async fn counting_relay(target: SocketAddr) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let count = Arc::new(AtomicUsize::new(0));
    let counter = count.clone();
    tokio::spawn(async move {
        while let Ok((mut inner, _)) = listener.accept().await {
            counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let Ok(mut outer) = TcpStream::connect(target).await else {
                    return;
                };
                let _ = tokio::io::copy_bidirectional(&mut inner, &mut outer).await;
            });
        }
    });
    (address, count)
}

fn serve(endpoint: LinkEndpoint, address: SocketAddr) {
    tokio::spawn(async move {
        let double = |number: u64| async move { number * 2 };
        endpoint
            .serve(address, double)
            .await
            .expect("a served port");
    });
}

#[tokio::test]
async fn waiting_requests_share_one_connection_when_the_peer_comes_back() {
    let authority = make_authority().expect("an authority");
    let target = free_address().await;
    let (relay, connections) = counting_relay(target).await;
    let client = endpoint(&authority, "client");
    // The peer is away: the relay accepts and closes at once.
    let failed = client.ask::<u64, u64>(relay, &1, PATIENCE).await;
    assert!(failed.is_err());
    serve(endpoint(&authority, "server"), target);
    let before = connections.load(Ordering::Relaxed);
    loop {
        if client.ask::<u64, u64>(relay, &1, PATIENCE).await.is_ok() {
            break;
        }
        tokio::task::yield_now().await;
    }
    let opened = connections.load(Ordering::Relaxed);
    let mut asking = tokio::task::JoinSet::new();
    for number in 0..200_u64 {
        let client = client.clone();
        asking.spawn(async move {
            (
                number,
                client.ask::<u64, u64>(relay, &number, PATIENCE).await,
            )
        });
    }
    while let Some(asked) = asking.join_next().await {
        let (number, reply) = asked.expect("an ended task");
        assert_eq!(reply.expect("a reply"), number * 2);
    }
    assert!(opened > before);
    assert_eq!(
        connections.load(Ordering::Relaxed),
        opened,
        "no further handshake"
    );
}

#[tokio::test]
async fn peer_of_another_deployment_is_refused() {
    let address = free_address().await;
    serve(
        endpoint(&make_authority().expect("an authority"), "server"),
        address,
    );
    let stranger = endpoint(&make_authority().expect("another authority"), "stranger");
    assert!(
        stranger
            .ask::<u64, u64>(address, &1, PATIENCE)
            .await
            .is_err()
    );
}
