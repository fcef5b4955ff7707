//! Which instances count as cut off from the keepers.

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

/// Judges after a second in which only the keepers of some domains have answered.
fn judged(placement: &KeeperPlacement, answering: &[&str], start: Instant) -> KeeperHealth {
    let health = KeeperHealth::default();
    assert!(!health.judge(placement, start));
    for slot in &placement.slots {
        if answering.contains(&slot.domain.as_str()) {
            health.note(&slot.name, start + AFTER);
        }
    }
    health.judge(placement, start + AFTER);
    health
}

#[test]
fn instances_that_miss_one_domain_are_not_cut_off() {
    let start = Instant::now();
    let health = judged(&placement(), &["b", "c", "d"], start);
    assert_eq!(health.cut_off_for(start + AFTER), Duration::ZERO);
    let health = judged(&placement(), &["a", "b", "c"], start);
    assert_eq!(health.cut_off_for(start + AFTER), Duration::ZERO);
}

#[test]
fn instances_of_the_cut_domain_are_cut_off_until_enough_answer_again() {
    let start = Instant::now();
    let placement = placement();
    let health = judged(&placement, &["a"], start);
    assert!(!health.cut_off_for(start + AFTER).is_zero());
    for slot in &placement.slots {
        health.note(&slot.name, start + 2 * AFTER);
    }
    assert!(health.judge(&placement, start + 2 * AFTER));
    assert_eq!(health.cut_off_for(start + 2 * AFTER), Duration::ZERO);
}

#[test]
fn half_of_three_copies_within_reach_is_a_cut() {
    let slots = ["a", "b", "c"].map(|domain| KeeperSlot {
        name: domain.into(),
        address: ([127, 0, 0, 1], 7000).into(),
        domain: domain.into(),
    });
    let placement = KeeperPlacement::first(slots.to_vec(), 1);
    let start = Instant::now();
    let one = judged(&placement, &["a"], start);
    assert!(!one.cut_off_for(start + AFTER).is_zero());
    let two = judged(&placement, &["a", "b"], start);
    assert_eq!(two.cut_off_for(start + AFTER), Duration::ZERO);
}

#[test]
fn domain_is_doubtful_when_all_of_its_keepers_are_silent() {
    let start = Instant::now();
    let placement = placement();
    let health = judged(&placement, &["b", "c"], start);
    let spoke = placement.slots[0].name.clone();
    assert_eq!(health.silent_domains(&placement, start + AFTER), ["a", "d"]);
    health.note(&spoke, start + AFTER);
    assert_eq!(health.silent_domains(&placement, start + AFTER), ["d"]);
}

#[test]
fn keepers_that_a_helper_reaches_are_within_reach_as_long_as_the_helper_hears_them() {
    let start = Instant::now();
    let placement = placement();
    let health = judged(&placement, &["a"], start);
    let now = start + AFTER;
    assert!(health.needs_helpers(&placement, now));
    for slot in &placement.slots {
        health.note_indirect(&slot.name, now);
    }
    health.judge(&placement, now);
    assert_eq!(health.cut_off_for(now), Duration::ZERO);
    assert!(health.needs_helpers(&placement, now), "none is straight");
}

#[test]
fn a_helper_that_has_not_noticed_a_cut_does_not_make_it_look_shorter() {
    let start = Instant::now();
    let placement = placement();
    let health = judged(&placement, &["a"], start);
    let now = start + AFTER;
    let heard = now.checked_sub(Duration::from_millis(400)).unwrap_or(now);
    for slot in &placement.slots {
        health.note_indirect(&slot.name, heard);
    }
    let later = now + Duration::from_millis(100);
    health.judge(&placement, later);
    assert!(!health.cut_off_for(later).is_zero());
}
