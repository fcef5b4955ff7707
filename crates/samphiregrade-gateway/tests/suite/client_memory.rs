//! What requests count in the memory of an entry's clients.

use samphiregrade_gateway::exchange::{ClientMemory, MachineLimits, RequestSize};

fn memory(megabytes: u64) -> ClientMemory {
    ClientMemory::new(MachineLimits {
        memory: megabytes,
        descriptors: 4096,
    })
}

fn turn(body: usize, history: usize) -> RequestSize {
    RequestSize {
        body,
        history,
        is_retained: true,
    }
}

// Guards against a limit that the largest legal request meets although nothing else is in progress.
#[tokio::test]
async fn largest_legal_turn_is_admitted_on_a_machine_of_any_size() {
    const LARGEST_BODY: usize = 4 << 20;
    for megabytes in [16, 32, 88, 110, 256, 4096] {
        let clients = memory(megabytes);
        let mut lease = clients.open_connection().await.expect("a connection");
        let admitted = clients.admit(&mut lease, turn(LARGEST_BODY, 0)).await;
        assert!(admitted.is_ok(), "{megabytes} MB");
    }
}

// Guards against copies that are not counted: a retained turn is sent to an upstream and to three keepers.
#[test]
fn retained_turns_count_their_copies() {
    const BODY: usize = 1 << 20;
    let plain = RequestSize {
        is_retained: false,
        ..turn(BODY, 0)
    };
    assert!(plain.bytes() >= 2 * BODY);
    assert!(turn(BODY, 0).bytes() >= 5 * BODY);
    assert!(turn(BODY, BODY).bytes() >= 8 * BODY);
}

// Guards against a history that fills the memory although each turn was small enough.
#[test]
fn histories_beyond_the_memory_are_not_held() {
    let clients = memory(88);
    assert!(clients.can_hold(turn(100, 5 << 20)));
    assert!(!clients.can_hold(turn(100, 20 << 20)));
}

// Guards against requests side by side that together hold more than their part of the machine.
#[tokio::test]
async fn turns_side_by_side_stay_within_a_third_of_the_memory() {
    let clients = memory(88);
    let mut leases = Vec::new();
    for _ in 0..150 {
        let Ok(mut lease) = clients.open_connection().await else {
            break;
        };
        if clients.admit(&mut lease, turn(1_000_000, 0)).await.is_ok() {
            let bytes = lease.bytes();
            lease.enter(samphiregrade_http::LeaseState::Running, bytes);
        }
        leases.push(lease);
    }
    let occupied = clients.occupied();
    assert!(occupied.bytes <= (88 << 20) / 3, "{occupied:?}");
    assert_eq!(occupied.connections, 150);
}
