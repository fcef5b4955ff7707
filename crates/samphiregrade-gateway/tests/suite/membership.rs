//! Membership steps of a keeper: first placement, takeover of slots, and changed addresses.

use std::time::{Duration, Instant};

use samphiregrade_gateway::fact::{KeeperPlacement, KeeperSlot};
use samphiregrade_gateway::role::{MembershipStep, MembershipView, SlotReplies, next_step};
use smol_str::SmolStr;

const RESPONSIVE: Duration = Duration::ZERO;
const FAILED: Duration = Duration::from_secs(4);

fn slot(name: &str, domain: &str, port: u16) -> KeeperSlot {
    KeeperSlot {
        name: name.into(),
        address: ([127, 0, 0, 1], port).into(),
        domain: domain.into(),
    }
}

fn three() -> Vec<KeeperSlot> {
    vec![slot("k1", "a", 1), slot("k2", "b", 2), slot("k3", "c", 3)]
}

struct Scenario {
    own: KeeperSlot,
    placement: Option<KeeperPlacement>,
    registered: Vec<KeeperSlot>,
    unchanged: Duration,
    silence: Vec<Duration>,
    retiring: Vec<SmolStr>,
    complete: Vec<SmolStr>,
}

impl Scenario {
    fn of(own: KeeperSlot) -> Self {
        let mut registered = three();
        if !registered.contains(&own) {
            registered.push(own.clone());
        }
        Self {
            own,
            placement: Some(KeeperPlacement::first(three(), 1)),
            registered,
            unchanged: Duration::from_secs(9),
            silence: vec![RESPONSIVE; 3],
            retiring: Vec::new(),
            complete: ["k1", "k2", "k3"].map(SmolStr::from).into(),
        }
    }

    fn step(&self) -> MembershipStep {
        next_step(&MembershipView {
            own: &self.own,
            placement: self.placement.as_ref(),
            registered: &self.registered,
            unchanged: self.unchanged,
            tolerated_losses: 1,
            silence: &self.silence,
            retiring: &self.retiring,
            complete: &self.complete,
        })
    }

    fn proposed(&self) -> KeeperPlacement {
        match self.step() {
            MembershipStep::Propose(placement) => placement,
            other => panic!("{other:?}"),
        }
    }
}

#[test]
fn first_placement_waits_until_registrations_settle() {
    let mut scenario = Scenario::of(slot("k1", "a", 1));
    scenario.placement = None;
    scenario.unchanged = Duration::from_millis(200);
    assert_eq!(scenario.step(), MembershipStep::Stay);
    scenario.unchanged = Duration::from_millis(1100);
    let first = scenario.proposed();
    assert_eq!(
        (first.generation, first.copies, first.slots.len()),
        (1, 3, 3)
    );
}

#[test]
fn too_few_keepers_start_after_the_placement_timeout() {
    let mut scenario = Scenario::of(slot("k1", "a", 1));
    scenario.placement = None;
    scenario.registered.truncate(2);
    scenario.unchanged = Duration::from_secs(2);
    assert_eq!(scenario.step(), MembershipStep::Stay);
    scenario.unchanged = Duration::from_secs(5);
    let first = scenario.proposed();
    assert_eq!((first.copies, first.majority()), (2, 2));
}

#[test]
fn unregistered_keeper_registers_first() {
    let mut scenario = Scenario::of(slot("k4", "a", 4));
    scenario.registered = three();
    assert_eq!(scenario.step(), MembershipStep::Register);
}

#[test]
fn keeper_with_a_slot_stays_and_updates_its_address() {
    assert_eq!(
        Scenario::of(slot("k2", "b", 2)).step(),
        MembershipStep::Stay
    );
    let moved = Scenario::of(slot("k2", "b", 22)).proposed();
    assert_eq!(moved.generation, 2);
    assert_eq!(moved.slots[1].address.port(), 22);
}

#[test]
fn spare_keeper_takes_a_failed_slot_only_while_the_others_respond() {
    let mut scenario = Scenario::of(slot("k4", "b", 4));
    assert_eq!(scenario.step(), MembershipStep::Stay);
    scenario.silence[1] = FAILED;
    assert_eq!(scenario.proposed().slots[1].name, "k4");
    scenario.silence[2] = FAILED;
    assert_eq!(
        scenario.step(),
        MembershipStep::Stay,
        "a partitioned spare keeper must not take over"
    );
}

#[test]
fn spare_keeper_takes_a_retiring_slot_and_retired_keeper_does_not_return() {
    let mut scenario = Scenario::of(slot("k4", "c", 4));
    scenario.retiring = vec!["k1".into()];
    assert_eq!(scenario.proposed().slots[0].name, "k4");
    scenario.own = slot("k1", "a", 1);
    scenario.placement = Some(KeeperPlacement::first(three(), 1).with_slot_holder(
        0,
        "k4",
        ([127, 0, 0, 1], 4).into(),
    ));
    scenario.silence[1] = FAILED;
    assert_eq!(scenario.step(), MembershipStep::Stay);
}

// Guards against a successor of a keeper that is rebuilding itself, and has not everything that the successor needs.
#[test]
fn slot_of_a_retiring_keeper_is_taken_once_that_keeper_is_complete() {
    let mut scenario = Scenario::of(slot("k4", "c", 4));
    scenario.retiring = vec!["k1".into()];
    scenario.complete = vec!["k2".into(), "k3".into()];
    assert_eq!(scenario.step(), MembershipStep::Stay);
    scenario.complete.push("k1".into());
    let proposed = scenario.proposed();
    assert_eq!(proposed.departed_from(0), Some(&three()[0]));
    assert_eq!(proposed.without_departed(0).departed_from(0), None);
}

// Guards against a keeper that takes another slot, and so loses what the successor in its former slot still has to read.
#[test]
fn keeper_that_has_left_a_slot_remains_a_source_until_its_successor_is_complete() {
    let mut scenario = Scenario::of(slot("k1", "a", 1));
    let address = ([127, 0, 0, 1], 4).into();
    scenario.placement = Some(KeeperPlacement::first(three(), 1).with_successor(0, "k4", address));
    scenario.silence[1] = FAILED;
    scenario.complete = vec!["k3".into()];
    assert_eq!(scenario.step(), MembershipStep::Stay);
    scenario.complete.push("k4".into());
    assert_eq!(scenario.proposed().slots[1].name, "k1");
}

#[test]
fn groups_are_spread_over_failure_domains_and_keep_their_slots() {
    let slots: Vec<KeeperSlot> = (0..8_u16)
        .map(|index| {
            slot(
                &format!("k{index}"),
                ["a", "b", "c"][usize::from(index) % 3],
                index,
            )
        })
        .collect();
    let placement = KeeperPlacement::first(slots, 2);
    assert_eq!((placement.copies, placement.majority()), (5, 3));
    let moved = placement.with_slot_holder(3, "new", ([127, 0, 0, 1], 99).into());
    for program in 0..200 {
        let program = format!("program-{program}");
        let group = placement.group(&program);
        assert_eq!(group.len(), 5);
        assert_eq!(moved.group(&program), group);
        for domain in ["a", "b", "c"] {
            let members = group
                .iter()
                .filter(|&&index| placement.slots[index].domain == domain);
            assert!(
                members.count() <= 2,
                "a majority must remain after the loss of one domain"
            );
        }
    }
}

// Guards against a keeper that takes the time in which it had a slot, and did not probe the others, for their silence.
#[test]
fn keeper_that_has_lost_its_slot_waits_before_it_takes_over_another_one() {
    let start = Instant::now();
    let mut replies = SlotReplies::default();
    let before = KeeperPlacement::first(three(), 1);
    let mut scenario = Scenario::of(slot("k3", "c", 3));
    // A keeper with a slot doesn't probe, so no replies are recorded.
    scenario.silence = replies.silence(&before, "k3", start);
    assert_eq!(scenario.step(), MembershipStep::Stay);
    let replaced = slot("k4", "c", 4);
    let after = before.with_slot_holder(2, "k4", replaced.address);
    scenario.placement = Some(after.clone());
    let lost = start + Duration::from_mins(1);
    // The others reply, but the keeper of the first slot needs a moment.
    for reply_time in [0, 500, 1000, 2000] {
        let now = lost + Duration::from_millis(reply_time);
        scenario.silence = replies.silence(&after, "k3", now);
        replies.record("k2".into(), now);
        replies.record("k4".into(), now);
        scenario.silence = replies.silence(&after, "k3", now);
        assert_eq!(scenario.step(), MembershipStep::Stay, "{reply_time} ms");
    }
    let now = lost + Duration::from_millis(2600);
    replies.record("k2".into(), now);
    replies.record("k4".into(), now);
    scenario.silence = replies.silence(&after, "k3", now);
    assert_eq!(scenario.proposed().slots[0].name, "k3");
}
