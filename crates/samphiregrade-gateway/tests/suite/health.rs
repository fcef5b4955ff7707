//! Tests of the reachability of keepers: which instances count as cut off, and when helpers are needed.

use std::time::{Duration, Instant};

use samphiregrade_gateway::fact::{KeeperHealth, KeeperPlacement, KeeperSlot};

const AFTER: Duration = Duration::from_secs(1);

/// Ten keepers in four failure domains, three in each of the first two, five copies.
fn placement() -> KeeperPlacement {
    let domains = ["a", "a", "a", "b", "b", "b", "c", "c", "d", "d"];
    let slots = domains
        .iter()
        .enumerate()
        .map(|(index, domain)| KeeperSlot {
            name: format!("keeper-{index}").into(),
            address: ([127, 0, 0, 1], 7000).into(),
            domain: (*domain).into(),
        });
    KeeperPlacement::first(slots.collect(), 2)
}

/// Returns the health after a second in which only the keepers of some domains have replied.
fn health_after(placement: &KeeperPlacement, responding: &[&str], start: Instant) -> KeeperHealth {
    let health = KeeperHealth::default();
    assert!(!health.update_cut_off(placement, start));
    for slot in &placement.slots {
        if responding.contains(&slot.domain.as_str()) {
            health.record_reply(&slot.name, start + AFTER);
        }
    }
    health.update_cut_off(placement, start + AFTER);
    health
}

#[test]
fn instances_that_miss_one_domain_are_not_cut_off() {
    let start = Instant::now();
    let health = health_after(&placement(), &["b", "c", "d"], start);
    assert_eq!(health.cut_off_for(start + AFTER), Duration::ZERO);
    let health = health_after(&placement(), &["a", "b", "c"], start);
    assert_eq!(health.cut_off_for(start + AFTER), Duration::ZERO);
}

#[test]
fn instances_of_a_partitioned_domain_are_cut_off_until_enough_keepers_reply() {
    let start = Instant::now();
    let placement = placement();
    let health = health_after(&placement, &["a"], start);
    assert!(!health.cut_off_for(start + AFTER).is_zero());
    for slot in &placement.slots {
        health.record_reply(&slot.name, start + 2 * AFTER);
    }
    assert!(health.update_cut_off(&placement, start + 2 * AFTER));
    assert_eq!(health.cut_off_for(start + 2 * AFTER), Duration::ZERO);
}

// Guards against a partitioned domain that stays in rotation because one of its instances received the last replies just
// before the partition, and detects it only after a readiness check of the load balancer.
#[test]
fn partition_is_suspected_before_the_instance_counts_as_cut_off() {
    let start = Instant::now();
    let placement = placement();
    let health = health_after(&placement, &["a", "b", "c", "d"], start);
    let last_reply = start + AFTER;
    let reply_from = |domains: &[&str], at: Instant| {
        for slot in &placement.slots {
            if domains.contains(&slot.domain.as_str()) {
                health.record_reply(&slot.name, at);
            }
        }
    };
    let usual_silence = last_reply + Duration::from_millis(300);
    assert!(!health.is_cut_off_suspected(&placement, usual_silence));
    let checked = last_reply + Duration::from_millis(350);
    reply_from(&["d"], checked);
    assert!(health.is_cut_off_suspected(&placement, checked));
    health.update_cut_off(&placement, checked);
    assert_eq!(health.cut_off_for(checked), Duration::ZERO);
    reply_from(&["a", "b", "c"], checked);
    assert!(!health.is_cut_off_suspected(&placement, checked));
}

#[test]
fn instance_that_reaches_one_of_three_copies_is_cut_off() {
    let slots = ["a", "b", "c"].map(|domain| KeeperSlot {
        name: domain.into(),
        address: ([127, 0, 0, 1], 7000).into(),
        domain: domain.into(),
    });
    let placement = KeeperPlacement::first(slots.to_vec(), 1);
    let start = Instant::now();
    let one = health_after(&placement, &["a"], start);
    assert!(!one.cut_off_for(start + AFTER).is_zero());
    let two = health_after(&placement, &["a", "b"], start);
    assert_eq!(two.cut_off_for(start + AFTER), Duration::ZERO);
}

#[test]
fn domain_is_unresponsive_when_none_of_its_keepers_replies() {
    let start = Instant::now();
    let placement = placement();
    let health = health_after(&placement, &["b", "c"], start);
    let responsive = placement.slots[0].name.clone();
    assert_eq!(health.silent_domains(&placement, start + AFTER), ["a", "d"]);
    health.record_reply(&responsive, start + AFTER);
    assert_eq!(health.silent_domains(&placement, start + AFTER), ["d"]);
}

#[test]
fn keepers_that_a_helper_reaches_count_as_reachable() {
    let start = Instant::now();
    let placement = placement();
    let health = health_after(&placement, &["a"], start);
    let now = start + AFTER;
    assert!(health.needs_helpers(&placement, now));
    for slot in &placement.slots {
        health.record_indirect_reply(&slot.name, now);
    }
    health.update_cut_off(&placement, now);
    assert_eq!(health.cut_off_for(now), Duration::ZERO);
    assert!(
        health.needs_helpers(&placement, now),
        "no keeper is directly reachable"
    );
}

#[test]
fn helper_that_has_not_noticed_a_partition_does_not_hide_it() {
    let start = Instant::now();
    let placement = placement();
    let health = health_after(&placement, &["a"], start);
    let now = start + AFTER;
    let last_reply = now.checked_sub(Duration::from_millis(400)).unwrap_or(now);
    for slot in &placement.slots {
        health.record_indirect_reply(&slot.name, last_reply);
    }
    let later = now + Duration::from_millis(100);
    health.update_cut_off(&placement, later);
    assert!(!health.cut_off_for(later).is_zero());
}
