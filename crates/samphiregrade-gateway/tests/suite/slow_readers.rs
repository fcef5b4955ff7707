//! Writes to clients that read slowly.

use std::time::{Duration, Instant};

use samphiregrade_gateway::exchange::{SlowReaders, WaitingWrites};

#[test]
fn longest_waiting_writes_are_given_up_until_the_others_fit() {
    let start = Instant::now();
    let mut writes = WaitingWrites::default();
    let mut tokens = Vec::new();
    for number in 0..10 {
        let since = start + Duration::from_millis(number * 100);
        tokens.push(writes.begin(100, since));
    }
    // A write that has ended does not count.
    writes.end(tokens[0].0);
    writes.give_up_slowest(750, start + Duration::from_secs(3));
    let given_up: Vec<usize> = (0..10)
        .filter(|&index| tokens[index].1.is_cancelled())
        .collect();
    assert_eq!(given_up, [1, 2]);
    assert_eq!(writes.total(), 700);
    writes.give_up_slowest(700, start + Duration::from_secs(3));
    assert_eq!(writes.total(), 700);
}

// Guards against clients that are ended because of a lost packet.
#[test]
fn write_that_has_waited_for_a_moment_is_kept() {
    let start = Instant::now();
    let mut writes = WaitingWrites::default();
    let (_, ended) = writes.begin(100, start);
    writes.give_up_slowest(0, start + Duration::from_millis(900));
    assert!(!ended.is_cancelled());
    writes.give_up_slowest(0, start + Duration::from_secs(1));
    assert!(ended.is_cancelled());
}

#[test]
fn send_queue_follows_the_memory_within_bounds() {
    let queue = |memory| SlowReaders::new(memory).socket_limits().send_queue;
    assert_eq!(queue(1), Some(32 << 10));
    assert_eq!(queue(88), Some(44 << 10));
    assert_eq!(queue(u64::MAX), Some(256 << 10));
}
