//! Links: multiplexed requests, reconnection, refused peers, and peers that are stopping.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use samphiregrade_gateway::identity::{make_authority, make_identity};
use samphiregrade_gateway::link::LinkEndpoint;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

const TIMEOUT: Duration = Duration::from_secs(20);

fn endpoint(authority: &(String, String), name: &str) -> LinkEndpoint {
    let _ = rustls::crypto::ring::default_provider().install_default();
    let identity = make_identity(&authority.0, &authority.1, name).expect("an identity");
    LinkEndpoint::new(&identity).expect("an endpoint")
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

/// Forwards connections to an address and counts them.
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
async fn waiting_requests_share_one_connection_after_the_peer_restarts() {
    let authority = make_authority().expect("an authority");
    let target = free_address().await;
    let (relay, connections) = counting_relay(target).await;
    let client = endpoint(&authority, "client");
    // The peer is down: the relay accepts and closes at once.
    let reply = client.request::<u64, u64>(relay, &1, TIMEOUT).await;
    assert!(reply.is_err());
    serve(endpoint(&authority, "server"), target);
    let before = connections.load(Ordering::Relaxed);
    loop {
        if client.request::<u64, u64>(relay, &1, TIMEOUT).await.is_ok() {
            break;
        }
        tokio::task::yield_now().await;
    }
    let opened = connections.load(Ordering::Relaxed);
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..200_u64 {
        let client = client.clone();
        requests.spawn(async move {
            (
                number,
                client.request::<u64, u64>(relay, &number, TIMEOUT).await,
            )
        });
    }
    while let Some(finished) = requests.join_next().await {
        let (number, reply) = finished.expect("an ended task");
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
async fn peer_of_another_deployment_is_rejected() {
    let address = free_address().await;
    serve(
        endpoint(&make_authority().expect("an authority"), "server"),
        address,
    );
    let foreign_client = endpoint(&make_authority().expect("another authority"), "stranger");
    assert!(
        foreign_client
            .request::<u64, u64>(address, &1, TIMEOUT)
            .await
            .is_err()
    );
}

/// A peer that delays each reply until it is permitted.
struct DelayingPeer {
    address: SocketAddr,
    /// One permit for each request that has arrived.
    arrived: Arc<Semaphore>,
    /// One permit for each reply that may be sent.
    replies: Arc<Semaphore>,
    stop: CancellationToken,
    serving: JoinHandle<()>,
}

async fn delaying_peer(endpoint: LinkEndpoint) -> DelayingPeer {
    let address = free_address().await;
    let arrived = Arc::new(Semaphore::new(0));
    let replies = Arc::new(Semaphore::new(0));
    let stop = CancellationToken::new();
    let (arrivals, permits, stopping) = (arrived.clone(), replies.clone(), stop.clone());
    let serving = tokio::spawn(async move {
        let handler = move |number: u64| {
            arrivals.add_permits(1);
            let permits = permits.clone();
            async move {
                permits.acquire().await.expect("an open semaphore").forget();
                number * 2
            }
        };
        let served = endpoint.serve_until(address, handler, &stopping).await;
        served.expect("a served port");
    });
    DelayingPeer {
        address,
        arrived,
        replies,
        stop,
        serving,
    }
}

#[tokio::test]
async fn stopping_peer_replies_to_received_requests_and_accepts_no_more() {
    const REQUESTS: u32 = 20;
    let authority = make_authority().expect("an authority");
    let peer = delaying_peer(endpoint(&authority, "server")).await;
    let client = endpoint(&authority, "client");
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..u64::from(REQUESTS) {
        let (client, address) = (client.clone(), peer.address);
        requests.spawn(async move {
            let reply = client.request::<u64, u64>(address, &number, TIMEOUT).await;
            (number, reply)
        });
    }
    let all_arrived = peer.arrived.acquire_many(REQUESTS).await;
    all_arrived.expect("an open semaphore").forget();
    peer.stop.cancel();
    // Once the client knows that the peer is stopping, its further requests to the peer fail at once.
    loop {
        let refused = client.request::<u64, u64>(peer.address, &0, TIMEOUT);
        if tokio::time::timeout(Duration::from_millis(20), refused)
            .await
            .is_ok_and(|reply| reply.is_err())
        {
            break;
        }
    }
    peer.replies.add_permits(Semaphore::MAX_PERMITS >> 1);
    while let Some(finished) = requests.join_next().await {
        let (number, reply) = finished.expect("an ended task");
        assert_eq!(reply.expect("a reply"), number * 2);
    }
    let ended = tokio::time::timeout(TIMEOUT, peer.serving).await;
    ended.expect("a peer that ends").expect("an ended task");
}

#[tokio::test]
async fn stopping_peer_exits_although_a_reply_is_outstanding() {
    let authority = make_authority().expect("an authority");
    let peer = delaying_peer(endpoint(&authority, "server")).await;
    let client = endpoint(&authority, "client");
    let address = peer.address;
    let request =
        tokio::spawn(async move { client.request::<u64, u64>(address, &1, TIMEOUT).await });
    peer.arrived
        .acquire()
        .await
        .expect("an open semaphore")
        .forget();
    peer.stop.cancel();
    let ended = tokio::time::timeout(TIMEOUT, peer.serving).await;
    ended.expect("a peer that ends").expect("an ended task");
    assert!(request.await.expect("an ended task").is_err());
}

// Guards against a reply above the size limit that closes the link and fails all other requests on it.
#[tokio::test]
async fn oversized_messages_fail_alone() {
    const OVERSIZED: usize = (64 << 20) + 1;
    let authority = make_authority().expect("an authority");
    let address = free_address().await;
    let release = Arc::new(Semaphore::new(0));
    let (server, waiting) = (endpoint(&authority, "server"), release.clone());
    tokio::spawn(async move {
        let handler = move |request: Bytes| {
            let release = waiting.clone();
            async move {
                if request.is_empty() {
                    return Bytes::from(vec![0; OVERSIZED]);
                }
                release.acquire().await.expect("a permit").forget();
                request
            }
        };
        server.serve(address, handler).await.expect("a served port");
    });
    let client = endpoint(&authority, "client");
    let request =
        async |message: Bytes| client.request::<_, Bytes>(address, &message, TIMEOUT).await;
    release.add_permits(1);
    while request(Bytes::from_static(b"x")).await.is_err() {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let (small, ()) = tokio::join!(request(Bytes::from_static(b"x")), async {
        assert!(request(Bytes::new()).await.is_err());
        assert!(request(vec![1; OVERSIZED].into()).await.is_err());
        release.add_permits(1);
    });
    assert_eq!(small.expect("a reply"), "x");
}
