//! Tests of keepers and their client over real links and disks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use samphiregrade_gateway::dialect::StorePage;
use samphiregrade_gateway::fact::{
    ChainAnswer, ChainLookup, FactDisk, FactFailure, FactRecord, HelperAddress, KeeperClient,
    KeeperEnvelope, KeeperPlacement, KeeperReply, KeeperRequest, KeeperService, KeeperSlot,
    KnownTries, ReportedTries, RequestTry, Reservation, ReserveOutcome, TryKey, TryState,
    rebuild_from_others, try_key,
};
use samphiregrade_gateway::identity::{make_authority, make_identity};
use samphiregrade_gateway::limits::LimitRule;
use samphiregrade_gateway::link::LinkEndpoint;
use samphiregrade_gateway::observe::GatewayMetrics;
use samphiregrade_gateway::store::FollowEvent;
use samphiregrade_gateway::upstream::{
    AccountQuery, OrganisationShare, RunEnd, RunStart, SpeedReport, WorkClaim,
};
use tempfile::TempDir;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::facts::turn;

pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

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
            Arc::default(),
        )
    }

    /// Stores a fact on some keepers only, like a write that did not reach the others.
    async fn store_on(&self, indices: &[usize], fact: &FactRecord) {
        for &index in indices {
            let answer = self.keepers[index]
                .service
                .answer(KeeperEnvelope {
                    outcomes: Vec::new(),
                    speeds: SpeedReport::default(),
                    sends_over: Vec::new(),
                    sender: 0,
                    generation: self.placement.generation,
                    request: KeeperRequest::Store(fact.clone()),
                })
                .await;
            assert!(matches!(answer.reply, KeeperReply::Stored));
        }
    }
}

/// Returns the address of a client that is never used as a helper.
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
async fn chain_is_found_although_no_keeper_has_all_of_it() {
    let deployment = Deployment::start().await;
    let first = turn("t1", None, b"in1 ", b"out1\n");
    let second = turn("t2", Some("t1"), b"in2 ", b"out2\n");
    let third = turn("t3", Some("t2"), b"in3 ", b"out3\n");
    deployment.store_on(&[0, 2], &first).await;
    deployment.store_on(&[0, 1], &second).await;
    deployment.store_on(&[1, 2], &third).await;
    let complete_chain = Bytes::from_static(b"in1 out1\nin2 out2\nin3 out3\n");
    for domain in ["a", "b", "c"] {
        let client = deployment.client(domain);
        let found = client.chain(&"p".into(), &"t3".into()).await;
        assert_eq!(
            found,
            Ok(ChainLookup::Found(complete_chain.clone())),
            "asked from {domain}"
        );
    }
}

#[tokio::test]
async fn absence_requires_a_quorum_of_complete_keepers() {
    let deployment = Deployment::start().await;
    let client = deployment.client("a");
    let missing = client.chain(&"p".into(), &"none".into()).await;
    assert_eq!(missing, Ok(ChainLookup::Absent));
    deployment.keepers[0].service.set_complete(false).await;
    deployment.keepers[1].service.set_complete(false).await;
    let uncertain = client.chain(&"p".into(), &"none".into()).await;
    assert_eq!(uncertain, Err(FactFailure::NoMajority));
}

#[tokio::test]
async fn budget_decision_includes_reservations_of_every_majority() {
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

// Guards against an origin of a stream that a majority of the keepers has and a query of another majority misses, and against a
// query that counts as a reservation.
#[tokio::test]
async fn ledger_query_returns_the_origins_of_every_majority_and_reserves_nothing() {
    let deployment = Deployment::start().await;
    let FactRecord::Reservation {
        program,
        reservation,
        keep,
    } = reservation("t1", 60)
    else {
        unreachable!("a reservation");
    };
    let begun = FactRecord::Stream {
        program: program.clone(),
        reservation,
        software: 7,
        keep,
    };
    deployment.store_on(&[0, 1], &begun).await;
    for domain in ["a", "b", "c"] {
        let client = deployment.client(domain);
        let ledger = client.ledger(&program).await.expect("a majority");
        assert_eq!(ledger.origin(&"t1".into()), Some(7));
        assert_eq!(ledger.reservations.len(), 1);
    }
}

#[tokio::test]
async fn keeper_that_lost_its_disk_is_complete_only_after_a_rebuild() {
    let mut deployment = Deployment::start().await;
    let fact = turn("t1", None, b"in1 ", b"out1\n");
    deployment.store_on(&[0, 1], &fact).await;
    let replacement = start_keeper(&deployment.authority, "a", false).await;
    deployment.placement = deployment
        .placement
        .with_slot_holder(0, "a", replacement.slot.address);
    deployment.keepers[0] = replacement;
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
    tokio::time::timeout(TEST_TIMEOUT, rebuilding)
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

// Guards against two keepers that take over slots at the same moment, and take each other's empty stores for complete ones.
#[tokio::test]
async fn successors_of_two_retiring_keepers_have_what_these_had() {
    let mut deployment = Deployment::start().await;
    // The third keeper was away.
    let fact = turn("t1", None, b"in1 ", b"out1\n");
    deployment.store_on(&[0, 1], &fact).await;
    let mut placement = deployment.placement.clone();
    for (index, name) in ["d", "e"].into_iter().enumerate() {
        let successor = start_keeper(&deployment.authority, name, false).await;
        placement = placement.with_successor(index, name, successor.slot.address);
        deployment.keepers.push(successor);
    }
    for keeper in &deployment.keepers {
        keeper.service.adopt_placement(placement.clone()).await;
    }
    let links = deployment.links();
    for successor in &deployment.keepers[3..] {
        let (service, links) = (successor.service.clone(), links.clone());
        let name = successor.slot.name.clone();
        tokio::spawn(async move { rebuild_from_others(&service, &links, &name).await });
    }
    let is_ready = |keeper: &Keeper| keeper.service.awaits_release();
    eventually("both successors have everything", async || {
        deployment.keepers[3..].iter().all(is_ready)
    })
    .await;
    deployment.placement = placement.without_departed(0).without_departed(1);
    for keeper in &deployment.keepers[2..] {
        keeper
            .service
            .adopt_placement(deployment.placement.clone())
            .await;
        keeper.service.set_complete(true).await;
    }
    let found = deployment
        .client("d")
        .chain(&"p".into(), &"t1".into())
        .await;
    assert_eq!(
        found,
        Ok(ChainLookup::Found(Bytes::from_static(b"in1 out1\n")))
    );
}

// Guards against an entry that receives newer revisions only with some kinds of replies, and keeps an old configuration
// while its requests are of other kinds.
#[tokio::test]
async fn every_reply_carries_the_keepers_revision() {
    let deployment = Deployment::start().await;
    let client = deployment.client("a");
    let set_revision = |revision: u64| {
        let page = StorePage {
            revision,
            ..StorePage::default()
        };
        let mirror = deployment.keepers[0].service.mirror();
        mirror.take(&FollowEvent::All(page), Instant::now());
    };
    set_revision(3);
    let program = "p".into();
    let stored = client.store(&program, turn("t1", None, b"in", b"out"));
    stored.await.expect("a stored turn");
    eventually("a revision with a stored fact", async || {
        client.lag().newest().0 == 3
    })
    .await;
    set_revision(5);
    let chain = client.chain(&program, &"t1".into()).await;
    assert!(matches!(chain, Ok(ChainLookup::Found(_))), "{chain:?}");
    eventually("a revision with a chain", async || {
        client.lag().newest().0 == 5
    })
    .await;
    assert_eq!(client.lag().newest().1, "a");
}

#[tokio::test]
async fn old_placement_is_rejected_and_the_newer_one_adopted() {
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
            speeds: SpeedReport::default(),
            sends_over: Vec::new(),
            sender: 0,
            generation: deployment.placement.generation,
            request: KeeperRequest::Store(fact.clone()),
        };
        let reply = keeper.service.answer(envelope).await.reply;
        assert!(matches!(reply, KeeperReply::NewerPlacement(reported) if reported == newer));
        let chain =
            KeeperEnvelope::between_keepers(newer.generation, KeeperRequest::Chain("t1".into()));
        let reply = keeper.service.answer(chain).await.reply;
        assert!(matches!(reply, KeeperReply::Chain(ChainAnswer::Absent)));
    }
    // The turn has run already, so the response must not be aborted because a slot was reassigned.
    let client = deployment.client("a");
    assert_eq!(client.store(&"p".into(), fact).await, Ok(()));
    assert_eq!(client.placement().generation, newer.generation);
}

#[tokio::test]
async fn request_under_an_old_placement_is_repeated_under_the_newer_one() {
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
    let reading = deployment.client("a");
    let found = reading.chain(&"p".into(), &"t1".into()).await;
    assert_eq!(
        found,
        Ok(ChainLookup::Found(Bytes::from_static(b"in1 out1\n")))
    );
}

/// A turn acknowledged under a newer placement may be known to only one keeper of the older one: a reader under the
/// older placement must not conclude from the two other replies that the turn is absent.
#[tokio::test]
async fn turn_known_to_one_keeper_is_found_while_a_slot_is_reassigned() {
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

/// Starts a relay that closes the first connections and forwards the others, like a process that restarts.
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
                // Either side may close the connection.
                let _ = tokio::io::copy_bidirectional(&mut inner, &mut outer).await;
            });
        }
    });
    address
}

#[tokio::test]
async fn request_is_retried_after_a_connection_failure() {
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
async fn store_waits_for_keepers_that_are_briefly_unavailable() {
    let mut deployment = Deployment::start().await;
    for slot in &mut deployment.placement.slots {
        // A link tries to connect about ten times per second.
        slot.address = restarting_relay(slot.address, 7).await;
    }
    let client = deployment.client("a");
    let fact = turn("t1", None, b"in", b"out");
    assert_eq!(client.store(&"p".into(), fact).await, Ok(()));
}

/// Guards against turns aborted as not durable while a slot is reassigned: an entry that had just started knew the
/// newer placement before the keepers did, and the keepers then rejected all requests under the older placement without
/// being able to return the newer one.
#[tokio::test]
async fn entry_that_knows_a_newer_placement_first_does_not_block_others() {
    let deployment = Deployment::start().await;
    let ahead = deployment.client("a");
    ahead.adopt(
        &deployment
            .placement
            .with_slot_holder(0, "a", deployment.keepers[0].slot.address),
    );
    let others = deployment.client("b");
    let ahead_fact = turn("t1", None, b"in", b"out");
    assert_eq!(ahead.store(&"p".into(), ahead_fact).await, Ok(()));
    let fact = turn("t2", None, b"in", b"out");
    assert_eq!(others.store(&"p".into(), fact).await, Ok(()));
}

/// An instance that takes over a slot must have read every fact that was acknowledged under the previous placement.
#[tokio::test]
async fn keeper_that_was_read_under_a_newer_placement_rejects_the_older_one() {
    let mut deployment = Deployment::start().await;
    let successor = start_keeper(&deployment.authority, "d", false).await;
    let newer = deployment
        .placement
        .with_slot_holder(0, "d", successor.slot.address);
    successor.service.adopt_placement(newer.clone()).await;
    let links = deployment.links();
    let rebuilding = rebuild_from_others(&successor.service, &links, "d");
    tokio::time::timeout(TEST_TIMEOUT, rebuilding)
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
            matches!(&reply, KeeperReply::NewerPlacement(reported) if *reported == newer),
            "{reply:?}"
        );
    }
    deployment.keepers.push(successor);
}

#[tokio::test]
async fn failed_write_is_reported_before_its_background_retries() {
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
    // Each of the three keepers is tried four times in total; the failure is returned before that.
    assert!(failed < 12.0, "{failed} calls had failed");
}

/// Upstreams whose accounts the tests query; two of three keepers hold each account.
const UPSTREAMS: [u64; 6] = [11, 22, 33, 44, 55, 66];

fn run_start(upstream: u64) -> RunStart {
    RunStart {
        upstream,
        run: upstream,
        service: "engines".into(),
        prompt: Vec::new(),
        capacity: 100_000,
        lasts: TEST_TIMEOUT,
        claim: None,
    }
}

/// Waits until a condition holds.
pub async fn eventually<Condition>(what: &str, mut condition: Condition)
where
    Condition: AsyncFnMut() -> bool,
{
    let waiting = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, waiting)
        .await
        .expect(what);
}

/// Waits until the accounts of all upstreams report the given number of runs each.
async fn expect_running(client: &KeeperClient, running: u32) {
    let query = AccountQuery {
        service: "engines".into(),
        upstreams: UPSTREAMS.to_vec(),
        prompt: Vec::new(),
        organisation: None,
    };
    eventually("accounts of all upstreams", async || {
        let accounts = client.query_accounts(&query, TEST_TIMEOUT).await.accounts;
        let reported = |tag: u64| accounts.iter().find(|account| account.upstream == tag);
        let matches_count =
            |tag: &u64| reported(*tag).is_some_and(|account| account.running == running);
        UPSTREAMS.iter().all(matches_count)
    })
    .await;
}

#[tokio::test]
async fn runs_of_one_entry_are_visible_to_another() {
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
            work: Duration::ZERO,
        });
    }
    expect_running(&placing, 0).await;
}

#[tokio::test]
async fn work_of_an_organisation_is_visible_to_another_entry() {
    let deployment = Deployment::start().await;
    let (sending, placing) = (deployment.client("a"), deployment.client("b"));
    let work = Duration::from_millis(300);
    for upstream in UPSTREAMS {
        let claim = WorkClaim {
            organisation: 5,
            work,
            slots: 16,
        };
        sending.report_run_start(RunStart {
            claim: Some(claim),
            ..run_start(upstream)
        });
        sending.report_run_end(RunEnd {
            upstream,
            run: upstream,
            work,
        });
    }
    let query = AccountQuery {
        service: "engines".into(),
        upstreams: UPSTREAMS.to_vec(),
        prompt: Vec::new(),
        organisation: Some(5),
    };
    // A keeper reports no shares in its first seconds.
    eventually("a share of all work", async || {
        let shares = placing.query_accounts(&query, TEST_TIMEOUT).await.shares;
        OrganisationShare::average(&shares).is_some_and(|share| share.used > 0.99)
    })
    .await;
}

#[tokio::test]
async fn accounts_survive_a_lost_keeper() {
    let mut deployment = Deployment::start().await;
    // Nothing listens at the address of the first keeper.
    deployment.placement.slots[0].address = free_address().await;
    // Both clients would query this keeper first, because it is in their failure domain.
    let (sending, placing) = (deployment.client("a"), deployment.client("a"));
    for client in [&sending, &placing] {
        tokio::spawn(client.clone().watch_health(CancellationToken::new()));
    }
    // A keeper counts as reachable until it hasn't replied for a while; the starts are reported repeatedly until then.
    let reporting = async {
        loop {
            for upstream in UPSTREAMS {
                sending.report_run_start(run_start(upstream));
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = reporting => {}
        () = expect_running(&placing, 1) => {}
    }
}

#[tokio::test]
async fn tries_are_queried_from_another_keeper_if_the_nearest_does_not_reply() {
    let mut deployment = Deployment::start().await;
    let key = try_key(7);
    let ended = KnownTries::from(RequestTry {
        number: 1,
        upstream: 1,
        state: TryState::Ended,
    });
    let recorded = eventually_recorded(&deployment.client("b"), &key, &ended).await;
    assert_eq!(recorded.tries.ended(), 1);
    let silent = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    deployment.placement.slots[0].address = silent.local_addr().expect("an address");
    let client = deployment.client("a");
    let reported = tokio::time::timeout(TEST_TIMEOUT, async {
        // A first connection to a keeper takes longer than a query may.
        loop {
            let send = client.begin_send(1, Instant::now());
            if let Some(reported) = client.query_tries(&key, &send).await {
                return reported;
            }
        }
    });
    assert_eq!(reported.await.expect("a reply").tries.ended(), 1);
}

/// Records tries, again while keepers confirm too late.
async fn eventually_recorded(
    client: &KeeperClient,
    key: &TryKey,
    tries: &KnownTries,
) -> ReportedTries {
    let recording = async {
        loop {
            if let Ok(recorded) = client.record_tries(key, tries.clone().into()).await {
                return recorded;
            }
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, recording)
        .await
        .expect("a confirmed record")
}
