//! Links: many requests on one connection, and a peer that was away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use samphiregrade_gateway::identity::{make_authority, make_identity};
use samphiregrade_gateway::link::LinkEndpoint;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

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
    let failed = client.request::<u64, u64>(relay, &1, PATIENCE).await;
    assert!(failed.is_err());
    serve(endpoint(&authority, "server"), target);
    let before = connections.load(Ordering::Relaxed);
    loop {
        if client
            .request::<u64, u64>(relay, &1, PATIENCE)
            .await
            .is_ok()
        {
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
                client.request::<u64, u64>(relay, &number, PATIENCE).await,
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
            .request::<u64, u64>(address, &1, PATIENCE)
            .await
            .is_err()
    );
}

/// A peer that holds each question until it may answer.
struct HoldingPeer {
    address: SocketAddr,
    /// A permit for each question that has come.
    came: Arc<Semaphore>,
    /// A permit for each question that may be answered.
    answers: Arc<Semaphore>,
    stop: CancellationToken,
    serving: JoinHandle<()>,
}

async fn holding_peer(endpoint: LinkEndpoint) -> HoldingPeer {
    let address = free_address().await;
    let came = Arc::new(Semaphore::new(0));
    let answers = Arc::new(Semaphore::new(0));
    let stop = CancellationToken::new();
    let (coming, answering, stopping) = (came.clone(), answers.clone(), stop.clone());
    let serving = tokio::spawn(async move {
        let handler = move |number: u64| {
            coming.add_permits(1);
            let answering = answering.clone();
            async move {
                answering.acquire().await.expect("an open gate").forget();
                number * 2
            }
        };
        let served = endpoint.serve_until(address, handler, &stopping).await;
        served.expect("a served port");
    });
    HoldingPeer {
        address,
        came,
        answers,
        stop,
        serving,
    }
}

#[tokio::test]
async fn peer_that_stops_answers_what_has_come_and_takes_nothing_more() {
    const QUESTIONS: u32 = 20;
    let authority = make_authority().expect("an authority");
    let peer = holding_peer(endpoint(&authority, "server")).await;
    let client = endpoint(&authority, "client");
    let mut asking = tokio::task::JoinSet::new();
    for number in 0..u64::from(QUESTIONS) {
        let (client, address) = (client.clone(), peer.address);
        asking.spawn(async move {
            let reply = client.request::<u64, u64>(address, &number, PATIENCE).await;
            (number, reply)
        });
    }
    let all_came = peer.came.acquire_many(QUESTIONS).await;
    all_came.expect("an open gate").forget();
    peer.stop.cancel();
    // A peer that has been told sends nothing more there, and its next question fails at once.
    loop {
        let refused = client.request::<u64, u64>(peer.address, &0, PATIENCE);
        if tokio::time::timeout(Duration::from_millis(20), refused)
            .await
            .is_ok_and(|reply| reply.is_err())
        {
            break;
        }
    }
    peer.answers.add_permits(Semaphore::MAX_PERMITS >> 1);
    while let Some(asked) = asking.join_next().await {
        let (number, reply) = asked.expect("an ended task");
        assert_eq!(reply.expect("a reply"), number * 2);
    }
    let ended = tokio::time::timeout(PATIENCE, peer.serving).await;
    ended.expect("a peer that ends").expect("an ended task");
}

#[tokio::test]
async fn peer_that_stops_ends_though_it_owes_an_answer() {
    let authority = make_authority().expect("an authority");
    let peer = holding_peer(endpoint(&authority, "server")).await;
    let client = endpoint(&authority, "client");
    let address = peer.address;
    let asking =
        tokio::spawn(async move { client.request::<u64, u64>(address, &1, PATIENCE).await });
    peer.came.acquire().await.expect("an open gate").forget();
    peer.stop.cancel();
    let ended = tokio::time::timeout(PATIENCE, peer.serving).await;
    ended.expect("a peer that ends").expect("an ended task");
    assert!(asking.await.expect("an ended task").is_err());
}
