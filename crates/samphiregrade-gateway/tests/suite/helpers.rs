//! Entries that don't reach the keepers, and those that carry their questions.

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

use crate::keepers::{Deployment, PATIENCE, endpoint, eventually, free_address, reservation};

fn address(name: &str, address: SocketAddr) -> HelperAddress {
    HelperAddress {
        name: name.into(),
        address,
        domain: "a".into(),
    }
}

/// Makes an entry's client that follows a placement and watches its keepers.
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
    );
    tokio::spawn(client.clone().watch_health(CancellationToken::new()));
    client
}

/// Starts an entry that carries questions; the task ends its links when it is aborted.
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
    let listening = own.address;
    tokio::spawn(async move {
        let handler = move |request: HelperRequest| {
            let service = service.clone();
            async move { service.answer(request).await }
        };
        let served = links.serve(listening, handler).await;
        served.expect("a served port");
    })
}

/// Returns the placement as it looks to one who is cut off: nobody listens at any address.
async fn unreachable(deployment: &Deployment) -> KeeperPlacement {
    let mut placement = deployment.placement.clone();
    for slot in &mut placement.slots {
        slot.address = free_address().await;
    }
    placement
}

/// Makes the client of an entry that reaches no keeper.
async fn cut_client(deployment: &Deployment) -> KeeperClient {
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
    eventually("a noticed cut", async || !client.cut_off_for().is_zero()).await;
}

#[tokio::test]
async fn an_entry_that_reaches_no_keeper_is_served_through_another_one() {
    let deployment = Deployment::start().await;
    let (helper, _task) = start_helper(&deployment, "h1", deployment.placement.clone()).await;
    let client = cut_client(&deployment).await;
    client.note_helper(helper);
    expect_reserved(&client, "t1").await;
    assert!(client.uses_helpers());
    // What was reserved through the helper is what every other client knows.
    let other = deployment.client("b");
    let Ok(ReserveOutcome::Reserved(ledger)) = reserve(&other, "t2").await else {
        panic!("the budget holds both turns");
    };
    assert_eq!(ledger.reservations.len(), 2);
}

#[tokio::test]
async fn a_helper_that_dies_is_replaced() {
    let deployment = Deployment::start().await;
    let client = cut_client(&deployment).await;
    let (first, task) = start_helper(&deployment, "h1", deployment.placement.clone()).await;
    client.note_helper(first);
    expect_reserved(&client, "t1").await;
    task.abort();
    let (second, _task) = start_helper(&deployment, "h2", deployment.placement.clone()).await;
    client.note_helper(second);
    expect_reserved(&client, "t2").await;
}

#[tokio::test]
async fn a_helper_that_is_about_to_stop_is_left_before_it_ends() {
    let deployment = Deployment::start().await;
    let client = cut_client(&deployment).await;
    let own = address("h1", free_address().await);
    let helping = watching_client(&deployment, deployment.placement.clone(), own.clone());
    let service = HelperService::new(helping);
    let _task = serve_helper(&deployment, &own, service.clone());
    client.note_helper(own);
    expect_reserved(&client, "t1").await;
    service.withdraw();
    // It carries on what comes until it is left.
    let question = HelperRequest::Pass {
        keeper: deployment.placement.slots[0].name.clone(),
        envelope: Box::new(KeeperEnvelope::between_keepers(
            deployment.placement.generation,
            KeeperRequest::Probe,
        )),
        wait: PATIENCE,
    };
    let answer = service.answer(question).await;
    assert!(matches!(answer, HelperReply::Passed(_)), "{answer:?}");
    eventually("the helper is left", async || !client.uses_helpers()).await;
    let (other, _other_task) = start_helper(&deployment, "h2", deployment.placement.clone()).await;
    client.note_helper(other);
    expect_reserved(&client, "t2").await;
}

#[tokio::test]
async fn a_helper_that_is_cut_off_itself_is_of_no_use_and_the_refusal_comes_at_once() {
    let deployment = Deployment::start().await;
    let lost = unreachable(&deployment).await;
    let (helper, _task) = start_helper(&deployment, "h1", lost).await;
    let client = cut_client(&deployment).await;
    client.note_helper(helper);
    expect_cut_off(&client).await;
    assert_eq!(reserve(&client, "t1").await, Err(FactFailure::NoMajority));
    assert!(!client.uses_helpers());
}

#[tokio::test]
async fn the_straight_path_is_taken_again_as_soon_as_it_is_there() {
    let deployment = Deployment::start().await;
    let (helper, _task) = start_helper(&deployment, "h1", deployment.placement.clone()).await;
    let client = cut_client(&deployment).await;
    client.note_helper(helper);
    expect_reserved(&client, "t1").await;
    // The same keepers at their addresses: the cut is over.
    client.adopt(&KeeperPlacement {
        generation: deployment.placement.generation + 1,
        ..deployment.placement.clone()
    });
    eventually("the straight path", async || !client.uses_helpers()).await;
}

#[tokio::test]
async fn nothing_is_passed_on_to_a_keeper_that_the_helper_does_not_reach() {
    let deployment = Deployment::start().await;
    let client = cut_client(&deployment).await;
    expect_cut_off(&client).await;
    let service = HelperService::new(client);
    let HelperReply::Reach(reached) = service.answer(HelperRequest::Reach).await else {
        panic!("a helper tells whom it reaches");
    };
    assert!(reached.is_empty());
    let slot = &deployment.placement.slots[0];
    let question = HelperRequest::Pass {
        keeper: slot.name.clone(),
        envelope: Box::new(KeeperEnvelope::between_keepers(
            deployment.placement.generation,
            KeeperRequest::Probe,
        )),
        wait: PATIENCE,
    };
    let answer = service.answer(question).await;
    assert!(matches!(answer, HelperReply::NotPassed), "{answer:?}");
}

#[test]
fn helpers_are_asked_in_turn_and_few_at_a_time() {
    let book = HelperTable::default();
    let helpers: Vec<HelperAddress> = (0..40)
        .map(|number| address(&format!("h{number}"), ([127, 0, 0, 1], 1).into()))
        .collect();
    for helper in &helpers {
        book.note(helper.clone());
        book.note(helper.clone());
    }
    let mut seen: Vec<HelperAddress> = Vec::new();
    for _ in 0..30 {
        let asked = book.next_to_ask();
        assert_eq!(asked.len(), 2);
        for helper in asked {
            if !seen.contains(&helper) {
                seen.push(helper);
            }
        }
    }
    assert_eq!(seen.len(), 16, "the newest are remembered");
    assert!(book.set_used(&helpers[39], true));
    assert!(!book.set_used(&helpers[39], true), "no news");
    assert_eq!(book.next_to_ask()[0], helpers[39]);
    assert!(book.clear_used());
    assert!(book.used().is_empty());
}

#[test]
fn keepers_tell_of_entries_that_still_follow_them_one_after_the_other() {
    let now = Instant::now();
    let mut table = FollowerTable::default();
    for name in ["e1", "e2", "e3"] {
        table.note(address(name, ([127, 0, 0, 1], 1).into()), now);
    }
    let mut told: Vec<String> = (0..4)
        .filter_map(|_| table.next(Some(&"e1".into()), now))
        .map(|helper| helper.name.to_string())
        .collect();
    told.sort();
    assert_eq!(told, ["e2", "e2", "e3", "e3"]);
    let later = now + Duration::from_secs(3);
    assert_eq!(table.next(None, later), None);
}
