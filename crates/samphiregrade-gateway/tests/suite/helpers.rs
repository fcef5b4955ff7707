//! Tests of entries that don't reach the keepers, and of the helpers that forward their requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use samphiregrade_gateway::fact::{
    FactFailure, FollowerTable, HelperAddress, HelperReply, HelperRequest, HelperService,
    HelperTable, KeeperClient, KeeperEnvelope, KeeperPlacement, KeeperRequest, ReserveOutcome,
};
use samphiregrade_gateway::observe::GatewayMetrics;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::keepers::{Deployment, TEST_TIMEOUT, endpoint, eventually, free_address, reservation};

fn address(name: &str, address: SocketAddr) -> HelperAddress {
    HelperAddress {
        name: name.into(),
        address,
        domain: "a".into(),
    }
}

/// Creates an entry's client that monitors the keepers of a placement.
fn watching_client(
    deployment: &Deployment,
    placement: KeeperPlacement,
    own: HelperAddress,
) -> KeeperClient {
    let client = KeeperClient::new(
        endpoint(&deployment.authority, &own.name),
        Arc::new(ArcSwap::from_pointee(placement)),
        Arc::new(GatewayMetrics::new().expect("metrics")),
        own,
        Arc::default(),
        Arc::default(),
    );
    tokio::spawn(client.clone().watch_health(CancellationToken::new()));
    client
}

/// Starts an entry that acts as a helper; aborting the task closes its links.
async fn start_helper(
    deployment: &Deployment,
    name: &str,
    placement: KeeperPlacement,
) -> (HelperAddress, JoinHandle<()>) {
    let own = address(name, free_address().await);
    let client = watching_client(deployment, placement, own.clone());
    let task = serve_helper(deployment, &own, HelperService::new(client));
    (own, task)
}

fn serve_helper(
    deployment: &Deployment,
    own: &HelperAddress,
    service: HelperService,
) -> JoinHandle<()> {
    let links = endpoint(&deployment.authority, &own.name);
    let listen_address = own.address;
    tokio::spawn(async move {
        let handler = move |request: HelperRequest| {
            let service = service.clone();
            async move { service.answer(request).await }
        };
        let served = links.serve(listen_address, handler).await;
        served.expect("a served port");
    })
}

/// Returns the placement as a partitioned entry experiences it: nothing listens at any keeper's address.
async fn unreachable(deployment: &Deployment) -> KeeperPlacement {
    let mut placement = deployment.placement.clone();
    for slot in &mut placement.slots {
        slot.address = free_address().await;
    }
    placement
}

/// Creates the client of an entry that reaches no keeper.
async fn partitioned_client(deployment: &Deployment) -> KeeperClient {
    let own = address("cut", free_address().await);
    watching_client(deployment, unreachable(deployment).await, own)
}

async fn reserve(client: &KeeperClient, turn: &str) -> Result<ReserveOutcome, FactFailure> {
    let fact = reservation(turn, 10);
    client
        .reserve(&"p".into(), fact, 100, &turn.into(), 10)
        .await
}

async fn expect_reserved(client: &KeeperClient, turn: &str) {
    eventually("a reservation", async || {
        reserve(client, turn).await.is_ok()
    })
    .await;
}

async fn expect_cut_off(client: &KeeperClient) {
    eventually("the entry is cut off", async || {
        !client.cut_off_for().is_zero()
    })
    .await;
}

#[tokio::test]
async fn entry_that_reaches_no_keeper_is_served_through_a_helper() {
    let deployment = Deployment::start().await;
    let (helper, _task) = start_helper(&deployment, "h1", deployment.placement.clone()).await;
    let client = partitioned_client(&deployment).await;
    client.record_helper(helper);
    expect_reserved(&client, "t1").await;
    assert!(client.uses_helpers());
    // A reservation made through the helper is visible to every other client.
    let other = deployment.client("b");
    let Ok(ReserveOutcome::Reserved(ledger)) = reserve(&other, "t2").await else {
        panic!("the budget holds both turns");
    };
    assert_eq!(ledger.reservations.len(), 2);
}

#[tokio::test]
async fn failed_helper_is_replaced() {
    let deployment = Deployment::start().await;
    let client = partitioned_client(&deployment).await;
    let (first, task) = start_helper(&deployment, "h1", deployment.placement.clone()).await;
    client.record_helper(first);
    expect_reserved(&client, "t1").await;
    task.abort();
    let (second, _task) = start_helper(&deployment, "h2", deployment.placement.clone()).await;
    client.record_helper(second);
    expect_reserved(&client, "t2").await;
}

#[tokio::test]
async fn stopping_helper_is_replaced_before_it_ends() {
    let deployment = Deployment::start().await;
    let client = partitioned_client(&deployment).await;
    let own = address("h1", free_address().await);
    let helping = watching_client(&deployment, deployment.placement.clone(), own.clone());
    let service = HelperService::new(helping);
    let _task = serve_helper(&deployment, &own, service.clone());
    client.record_helper(own);
    expect_reserved(&client, "t1").await;
    service.withdraw();
    // The helper still forwards requests until its users have switched to another one.
    let request = HelperRequest::Pass {
        keeper: deployment.placement.slots[0].name.clone(),
        envelope: Box::new(KeeperEnvelope::between_keepers(
            deployment.placement.generation,
            KeeperRequest::Probe,
        )),
        wait: TEST_TIMEOUT,
    };
    let answer = service.answer(request).await;
    assert!(matches!(answer, HelperReply::Passed(_)), "{answer:?}");
    eventually("the helper is no longer used", async || {
        !client.uses_helpers()
    })
    .await;
    let (other, _other_task) = start_helper(&deployment, "h2", deployment.placement.clone()).await;
    client.record_helper(other);
    expect_reserved(&client, "t2").await;
}

#[tokio::test]
async fn helper_that_is_cut_off_is_not_used_and_the_failure_is_immediate() {
    let deployment = Deployment::start().await;
    let unreachable_placement = unreachable(&deployment).await;
    let (helper, _task) = start_helper(&deployment, "h1", unreachable_placement).await;
    let client = partitioned_client(&deployment).await;
    client.record_helper(helper);
    expect_cut_off(&client).await;
    assert_eq!(reserve(&client, "t1").await, Err(FactFailure::NoMajority));
    assert!(!client.uses_helpers());
}

#[tokio::test]
async fn direct_path_is_used_again_as_soon_as_it_works() {
    let deployment = Deployment::start().await;
    let (helper, _task) = start_helper(&deployment, "h1", deployment.placement.clone()).await;
    let client = partitioned_client(&deployment).await;
    client.record_helper(helper);
    expect_reserved(&client, "t1").await;
    // The same keepers at their real addresses: the partition has ended.
    client.adopt(&KeeperPlacement {
        generation: deployment.placement.generation + 1,
        ..deployment.placement.clone()
    });
    eventually("the direct path", async || !client.uses_helpers()).await;
}

#[tokio::test]
async fn helper_forwards_nothing_to_a_keeper_that_it_does_not_reach() {
    let deployment = Deployment::start().await;
    let client = partitioned_client(&deployment).await;
    expect_cut_off(&client).await;
    let service = HelperService::new(client);
    let HelperReply::Reach(reached) = service.answer(HelperRequest::Reach).await else {
        panic!("a helper reports the keepers that it reaches");
    };
    assert!(reached.is_empty());
    let slot = &deployment.placement.slots[0];
    let request = HelperRequest::Pass {
        keeper: slot.name.clone(),
        envelope: Box::new(KeeperEnvelope::between_keepers(
            deployment.placement.generation,
            KeeperRequest::Probe,
        )),
        wait: TEST_TIMEOUT,
    };
    let answer = service.answer(request).await;
    assert!(matches!(answer, HelperReply::NotPassed), "{answer:?}");
}

#[test]
fn helpers_are_queried_in_rotation_and_two_at_a_time() {
    let table = HelperTable::default();
    let helpers: Vec<HelperAddress> = (0..40)
        .map(|number| address(&format!("h{number}"), ([127, 0, 0, 1], 1).into()))
        .collect();
    for helper in &helpers {
        table.record(helper.clone());
        table.record(helper.clone());
    }
    let mut queried: Vec<HelperAddress> = Vec::new();
    for _ in 0..30 {
        let candidates = table.next_to_query();
        assert_eq!(candidates.len(), 2);
        for helper in candidates {
            if !queried.contains(&helper) {
                queried.push(helper);
            }
        }
    }
    assert_eq!(queried.len(), 16, "the latest ones are kept");
    assert!(table.set_used(&helpers[39], true));
    assert!(!table.set_used(&helpers[39], true), "no change");
    assert_eq!(table.next_to_query()[0], helpers[39]);
    assert!(table.clear_used());
    assert!(table.used().is_empty());
}

#[test]
fn keepers_report_their_current_followers_in_rotation() {
    let now = Instant::now();
    let mut table = FollowerTable::default();
    for name in ["e1", "e2", "e3"] {
        table.record(address(name, ([127, 0, 0, 1], 1).into()), now);
    }
    let mut reported: Vec<String> = (0..4)
        .filter_map(|_| table.next(Some(&"e1".into()), now))
        .map(|helper| helper.name.to_string())
        .collect();
    reported.sort();
    assert_eq!(reported, ["e2", "e2", "e3", "e3"]);
    let later = now + Duration::from_secs(3);
    assert_eq!(table.next(None, later), None);
}
