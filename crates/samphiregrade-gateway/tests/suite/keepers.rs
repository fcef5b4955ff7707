//! Keepers and their client over real links and disks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use samphiregrade_gateway::dialect::StorePage;
use samphiregrade_gateway::fact::{
    ChainAnswer, ChainLookup, FactDisk, FactFailure, FactRecord, HelperAddress, KeeperClient,
    KeeperEnvelope, KeeperPlacement, KeeperReply, KeeperRequest, KeeperService, KeeperSlot,
    Reservation, ReserveOutcome, rebuild_from_others,
};
use samphiregrade_gateway::identity::{make_authority, make_identity};
use samphiregrade_gateway::limits::LimitRule;
use samphiregrade_gateway::link::LinkEndpoint;
use samphiregrade_gateway::observe::GatewayMetrics;
use samphiregrade_gateway::store::FollowEvent;
use samphiregrade_gateway::upstream::{AccountQuery, RunEnd, RunStart};
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::facts::turn;

pub const PATIENCE: Duration = Duration::from_secs(20);

struct Keeper {
    service: KeeperService,
    slot: KeeperSlot,
    _folder: TempDir,
}

pub struct Deployment {
    pub authority: (String, String),
    keepers: Vec<Keeper>,
    pub placement: KeeperPlacement,
}

impl Deployment {
    pub async fn start() -> Self {
        let _ = rustls::crypto::ring::default_provider().install_default();
        let authority = make_authority().expect("an authority");
        let mut keepers = Vec::new();
        for name in ["a", "b", "c"] {
            keepers.push(start_keeper(&authority, name, true).await);
        }
        let slots = keepers.iter().map(|keeper| keeper.slot.clone()).collect();
        let placement = KeeperPlacement::first(slots, 1);
        for keeper in &keepers {
            keeper.service.adopt_placement(placement.clone()).await;
        }
        Self {
            authority,
            keepers,
            placement,
        }
    }

    fn links(&self) -> LinkEndpoint {
        endpoint(&self.authority, "client")
    }

    pub fn client(&self, domain: &str) -> KeeperClient {
        KeeperClient::new(
            self.links(),
            Arc::new(ArcSwap::from_pointee(self.placement.clone())),
            Arc::new(GatewayMetrics::new().expect("metrics")),
            own_address(domain),
            Arc::default(),
        )
    }

    /// Stores a fact on some keepers only, as a write that did not reach the others.
    async fn store_on(&self, indices: &[usize], fact: &FactRecord) {
        for &index in indices {
            let answer = self.keepers[index]
                .service
                .answer(KeeperEnvelope {
                    outcomes: Vec::new(),
                    sender: 0,
                    generation: self.placement.generation,
                    request: KeeperRequest::Store(fact.clone()),
                })
                .await;
            assert!(matches!(answer.reply, KeeperReply::Stored));
        }
    }
}

/// Describes a client that helps nobody.
fn own_address(domain: &str) -> HelperAddress {
    HelperAddress {
        name: "client".into(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: domain.into(),
    }
}

pub fn endpoint(authority: &(String, String), name: &str) -> LinkEndpoint {
    let identity = make_identity(&authority.0, &authority.1, name).expect("an identity");
    LinkEndpoint::new(&identity).expect("an endpoint")
}

pub async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    listener.local_addr().expect("an address")
}

async fn start_keeper(authority: &(String, String), name: &str, first_start: bool) -> Keeper {
    let folder = TempDir::new().expect("a folder");
    let (disk, recovered) = FactDisk::open(folder.path()).expect("a disk");
    let service = KeeperService::new(disk, recovered, first_start, LimitRule::default());
    let address = free_address().await;
    let (serving, answering) = (endpoint(authority, name), service.clone());
    tokio::spawn(async move {
        let handler = move |envelope: KeeperEnvelope| {
            let service = answering.clone();
            async move { service.answer(envelope).await }
        };
        serving
            .serve(address, handler)
            .await
            .expect("a served port");
    });
    Keeper {
        service,
        slot: KeeperSlot {
            name: name.into(),
            address,
            domain: name.into(),
        },
        _folder: folder,
    }
}

pub fn reservation(turn: &str, most: u32) -> FactRecord {
    FactRecord::Reservation {
        program: "p".into(),
        reservation: Reservation {
            turn: turn.into(),
            most,
            spent: None,
            place: None,
            program_left: None,
        },
        keep: Duration::from_mins(1),
    }
}

#[tokio::test]
async fn chain_is_found_though_no_keeper_has_all_of_it() {
    let deployment = Deployment::start().await;
    let first = turn("t1", None, b"in1 ", b"out1\n");
    let second = turn("t2", Some("t1"), b"in2 ", b"out2\n");
    let third = turn("t3", Some("t2"), b"in3 ", b"out3\n");
    deployment.store_on(&[0, 2], &first).await;
    deployment.store_on(&[0, 1], &second).await;
    deployment.store_on(&[1, 2], &third).await;
    let whole = Bytes::from_static(b"in1 out1\nin2 out2\nin3 out3\n");
    for domain in ["a", "b", "c"] {
        let client = deployment.client(domain);
        let found = client.chain(&"p".into(), &"t3".into()).await;
        assert_eq!(
            found,
            Ok(ChainLookup::Found(whole.clone())),
            "asked from {domain}"
        );
    }
}

#[tokio::test]
async fn absence_is_certain_only_while_complete_keepers_say_so() {
    let deployment = Deployment::start().await;
    let client = deployment.client("a");
    let missing = client.chain(&"p".into(), &"none".into()).await;
    assert_eq!(missing, Ok(ChainLookup::Absent));
    deployment.keepers[0].service.set_complete(false).await;
    deployment.keepers[1].service.set_complete(false).await;
    let unsure = client.chain(&"p".into(), &"none".into()).await;
    assert_eq!(unsure, Err(FactFailure::NoMajority));
}

#[tokio::test]
async fn budget_is_decided_with_what_any_majority_knows() {
    let deployment = Deployment::start().await;
    deployment.store_on(&[0, 1], &reservation("t1", 60)).await;
    let client = deployment.client("c");
    let reserve = async |turn: &str, most: u32| {
        client
            .reserve(
                &"p".into(),
                reservation(turn, most),
                100,
                &turn.into(),
                most,
            )
            .await
    };
    assert!(matches!(
        reserve("t2", 40).await,
        Ok(ReserveOutcome::Reserved(_))
    ));
    assert!(matches!(
        reserve("t3", 1).await,
        Ok(ReserveOutcome::OverBudget(_))
    ));
}

#[tokio::test]
async fn keeper_that_lost_its_disk_reads_the_others_before_it_says_no() {
    let mut deployment = Deployment::start().await;
    let fact = turn("t1", None, b"in1 ", b"out1\n");
    deployment.store_on(&[0, 1], &fact).await;
    let wiped = start_keeper(&deployment.authority, "a", false).await;
    deployment.placement = deployment
        .placement
        .with_slot_holder(0, "a", wiped.slot.address);
    deployment.keepers[0] = wiped;
    for keeper in &deployment.keepers {
        keeper
            .service
            .adopt_placement(deployment.placement.clone())
            .await;
    }
    let service = &deployment.keepers[0].service;
    assert!(!service.is_complete());
    let links = deployment.links();
    let rebuilding = rebuild_from_others(service, &links, "a");
    tokio::time::timeout(PATIENCE, rebuilding)
        .await
        .expect("a rebuilt keeper");
    assert!(service.is_complete());
    let client = deployment.client("a");
    let found = client.chain(&"p".into(), &"t1".into()).await;
    assert_eq!(
        found,
        Ok(ChainLookup::Found(Bytes::from_static(b"in1 out1\n")))
    );
}

// Guards against an entry that hears of newer configurations only with some kinds of answers, and keeps an old one while
// its requests ask for others.
#[tokio::test]
async fn each_answer_tells_how_far_its_keeper_knows_the_service() {
    let deployment = Deployment::start().await;
    let client = deployment.client("a");
    let learn = |revision: u64| {
        let page = StorePage {
            revision,
            ..StorePage::default()
        };
        let mirror = deployment.keepers[0].service.mirror();
        mirror.take(&FollowEvent::All(page), Instant::now());
    };
    learn(3);
    let program = "p".into();
    let stored = client.store(&program, turn("t1", None, b"in", b"out"));
    stored.await.expect("a stored turn");
    eventually("a stored fact tells", async || client.lag().newest().0 == 3).await;
    learn(5);
    let chain = client.chain(&program, &"t1".into()).await;
    assert!(matches!(chain, Ok(ChainLookup::Found(_))), "{chain:?}");
    eventually("a chain tells", async || client.lag().newest().0 == 5).await;
    assert_eq!(client.lag().newest().1, "a");
}

#[tokio::test]
async fn old_placement_is_refused_and_the_newer_one_learnt() {
    let deployment = Deployment::start().await;
    let newer = deployment
        .placement
        .with_slot_holder(0, "a", deployment.keepers[0].slot.address);
    for keeper in &deployment.keepers {
        keeper.service.adopt_placement(newer.clone()).await;
    }
    let fact = turn("t1", None, b"in", b"out");
    for keeper in &deployment.keepers {
        let envelope = KeeperEnvelope {
            outcomes: Vec::new(),
            sender: 0,
            generation: deployment.placement.generation,
            request: KeeperRequest::Store(fact.clone()),
        };
        let reply = keeper.service.answer(envelope).await.reply;
        assert!(matches!(reply, KeeperReply::NewerPlacement(told) if told == newer));
        let chain =
            KeeperEnvelope::between_keepers(newer.generation, KeeperRequest::Chain("t1".into()));
        let reply = keeper.service.answer(chain).await.reply;
        assert!(matches!(reply, KeeperReply::Chain(ChainAnswer::Absent)));
    }
    // The turn has run by then: its answer isn't broken off since a slot has changed hands.
    let client = deployment.client("a");
    assert_eq!(client.store(&"p".into(), fact).await, Ok(()));
    assert_eq!(client.placement().generation, newer.generation);
}

#[tokio::test]
async fn turn_that_comes_with_an_old_placement_goes_on_under_the_newer_one() {
    let deployment = Deployment::start().await;
    let first = turn("t1", None, b"in1 ", b"out1\n");
    deployment.store_on(&[0, 1, 2], &first).await;
    let newer = deployment
        .placement
        .with_slot_holder(0, "a", deployment.keepers[0].slot.address);
    for keeper in &deployment.keepers {
        keeper.service.adopt_placement(newer.clone()).await;
    }
    let reserving = deployment.client("a");
    let held = reserving
        .reserve(&"p".into(), reservation("t2", 10), 100, &"t2".into(), 10)
        .await;
    assert!(matches!(held, Ok(ReserveOutcome::Reserved(_))));
    let asking = deployment.client("a");
    let found = asking.chain(&"p".into(), &"t1".into()).await;
    assert_eq!(
        found,
        Ok(ChainLookup::Found(Bytes::from_static(b"in1 out1\n")))
    );
}

/// A turn that was confirmed under a newer placement is known to one keeper of the older one only: whoever still asks
/// under that must not take the word of the two others for all.
#[tokio::test]
async fn turn_that_only_the_last_keeper_knows_is_not_denied_while_a_slot_changes_hands() {
    let deployment = Deployment::start().await;
    deployment
        .store_on(&[1], &turn("t1", None, b"in1 ", b"out1\n"))
        .await;
    let newer = deployment
        .placement
        .with_slot_holder(0, "a", deployment.keepers[0].slot.address);
    deployment.keepers[1].service.adopt_placement(newer).await;
    let client = deployment.client("a");
    let found = client.chain(&"p".into(), &"t1".into()).await;
    assert_eq!(
        found,
        Ok(ChainLookup::Found(Bytes::from_static(b"in1 out1\n")))
    );
}

/// A relay that closes the first connections and passes the others on: a process that has ended and is there again.
async fn restarting_relay(target: SocketAddr, closed: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for number in 0.. {
            let Ok((mut inner, _)) = listener.accept().await else {
                return;
            };
            if number < closed {
                continue;
            }
            tokio::spawn(async move {
                let Ok(mut outer) = TcpStream::connect(target).await else {
                    return;
                };
                // Either side may end it.
                let _ = tokio::io::copy_bidirectional(&mut inner, &mut outer).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn question_whose_connection_fails_is_asked_again_while_its_asker_waits() {
    let mut deployment = Deployment::start().await;
    for slot in &mut deployment.placement.slots {
        slot.address = restarting_relay(slot.address, 1).await;
    }
    let client = deployment.client("a");
    let reserved = client
        .reserve(&"p".into(), reservation("t1", 10), 100, &"t1".into(), 10)
        .await;
    assert!(
        matches!(reserved, Ok(ReserveOutcome::Reserved(_))),
        "{reserved:?}"
    );
}

#[tokio::test]
async fn turn_that_has_run_waits_for_keepers_that_are_away_for_a_moment() {
    let mut deployment = Deployment::start().await;
    for slot in &mut deployment.placement.slots {
        // Connections are tried about ten times in a second.
        slot.address = restarting_relay(slot.address, 7).await;
    }
    let client = deployment.client("a");
    let fact = turn("t1", None, b"in", b"out");
    assert_eq!(client.store(&"p".into(), fact).await, Ok(()));
}

/// Turns that had run were broken off as not durable while a slot changed hands: an entry that had just started knew the
/// newer placement before the keepers did, and they refused everything under the older one without being able to tell
/// the newer.
#[tokio::test]
async fn entry_that_knows_a_newer_placement_first_stops_nobody_else() {
    let deployment = Deployment::start().await;
    let early = deployment.client("a");
    early.adopt(
        &deployment
            .placement
            .with_slot_holder(0, "a", deployment.keepers[0].slot.address),
    );
    let others = deployment.client("b");
    let early_fact = turn("t1", None, b"in", b"out");
    assert_eq!(early.store(&"p".into(), early_fact).await, Ok(()));
    let fact = turn("t2", None, b"in", b"out");
    assert_eq!(others.store(&"p".into(), fact).await, Ok(()));
}

/// What the instance that takes over a slot has read must be all that was confirmed under the placement before.
#[tokio::test]
async fn keeper_that_was_read_under_a_newer_placement_takes_nothing_under_the_older_one_and_tells_it()
 {
    let mut deployment = Deployment::start().await;
    let successor = start_keeper(&deployment.authority, "d", false).await;
    let newer = deployment
        .placement
        .with_slot_holder(0, "d", successor.slot.address);
    successor.service.adopt_placement(newer.clone()).await;
    let links = deployment.links();
    let rebuilding = rebuild_from_others(&successor.service, &links, "d");
    tokio::time::timeout(PATIENCE, rebuilding)
        .await
        .expect("a rebuilt keeper");
    for keeper in &deployment.keepers[1..] {
        let reply = keeper
            .service
            .answer(KeeperEnvelope::between_keepers(
                deployment.placement.generation,
                KeeperRequest::Store(turn("t1", None, b"in", b"out")),
            ))
            .await
            .reply;
        assert!(
            matches!(&reply, KeeperReply::NewerPlacement(told) if *told == newer),
            "{reply:?}"
        );
    }
    deployment.keepers.push(successor);
}

#[tokio::test]
async fn failed_write_is_told_before_its_further_tries() {
    let authority = make_authority().expect("an authority");
    let mut slots = Vec::new();
    for name in ["a", "b", "c"] {
        slots.push(KeeperSlot {
            name: name.into(),
            address: free_address().await,
            domain: name.into(),
        });
    }
    let metrics = Arc::new(GatewayMetrics::new().expect("metrics"));
    let client = KeeperClient::new(
        endpoint(&authority, "client"),
        Arc::new(ArcSwap::from_pointee(KeeperPlacement::first(slots, 1))),
        metrics.clone(),
        own_address("a"),
        Arc::default(),
    );
    let fact = turn("t1", None, b"in", b"out");
    let stored = client.store(&"p".into(), fact).await;
    assert_eq!(stored, Err(FactFailure::NoMajority));
    let text = String::from_utf8(metrics.render().expect("metrics")).expect("text");
    let failed = text
        .lines()
        .find(|line| {
            line.starts_with("samphiregrade_keeper_calls_total") && line.contains("failed")
        })
        .and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
        .expect("a count");
    // Each of three keepers is tried four times in all; the caller is not kept waiting for that.
    assert!(failed < 12.0, "{failed} calls had failed");
}

/// Upstreams that a test asks about; each is accounted for by two of three keepers.
const UPSTREAMS: [u64; 6] = [11, 22, 33, 44, 55, 66];

fn run_start(upstream: u64) -> RunStart {
    RunStart {
        upstream,
        run: upstream,
        service: "engines".into(),
        prompt: Vec::new(),
        capacity: 100_000,
        lasts: PATIENCE,
    }
}

/// Looks again and again until something holds.
pub async fn eventually<Look>(what: &str, mut look: Look)
where
    Look: AsyncFnMut() -> bool,
{
    let waiting = async {
        while !look().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(PATIENCE, waiting).await.expect(what);
}

/// Asks until all upstreams have been told of with as many runs each, and fails where that takes too long.
async fn expect_running(client: &KeeperClient, running: u32) {
    let question = AccountQuery {
        service: "engines".into(),
        upstreams: UPSTREAMS.to_vec(),
        prompt: Vec::new(),
    };
    eventually("accounts of all upstreams", async || {
        let accounts = client.query_accounts(&question, PATIENCE).await;
        let told = |tag: u64| accounts.iter().find(|account| account.upstream == tag);
        let met = |tag: &u64| told(*tag).is_some_and(|account| account.running == running);
        UPSTREAMS.iter().all(met)
    })
    .await;
}

#[tokio::test]
async fn what_one_entry_sends_is_known_to_another() {
    let deployment = Deployment::start().await;
    let (sending, placing) = (deployment.client("a"), deployment.client("b"));
    for upstream in UPSTREAMS {
        sending.report_run_start(run_start(upstream));
    }
    expect_running(&placing, 1).await;
    for upstream in UPSTREAMS {
        sending.report_run_end(RunEnd {
            upstream,
            run: upstream,
        });
    }
    expect_running(&placing, 0).await;
}

#[tokio::test]
async fn accounts_survive_a_lost_keeper() {
    let mut deployment = Deployment::start().await;
    // Nobody listens at the address of the first keeper.
    deployment.placement.slots[0].address = free_address().await;
    // Both would ask it first, since it stands in their failure domain.
    let (sending, placing) = (deployment.client("a"), deployment.client("a"));
    for client in [&sending, &placing] {
        tokio::spawn(client.clone().watch_health(CancellationToken::new()));
    }
    // Keepers count as within reach until they have been silent for a while; starts are told again until then.
    let telling = async {
        loop {
            for upstream in UPSTREAMS {
                sending.report_run_start(run_start(upstream));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = telling => {}
        () = expect_running(&placing, 1) => {}
    }
}
