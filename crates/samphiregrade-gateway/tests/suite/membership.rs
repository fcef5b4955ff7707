//! Which step a keeper takes: first placement, taken-over slots, moved addresses.

use std::time::Duration;

use samphiregrade_gateway::fact::{KeeperPlacement, KeeperSlot};
use samphiregrade_gateway::role::{MembershipStep, MembershipView, next_step};
use smol_str::SmolStr;

const CALM: Duration = Duration::ZERO;
const DEAD: Duration = Duration::from_secs(4);

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

struct Scene {
    own: KeeperSlot,
    placement: Option<KeeperPlacement>,
    registered: Vec<KeeperSlot>,
    unchanged: Duration,
    silence: Vec<Duration>,
    retiring: Vec<SmolStr>,
}

impl Scene {
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
            silence: vec![CALM; 3],
            retiring: Vec::new(),
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
    let mut scene = Scene::of(slot("k1", "a", 1));
    scene.placement = None;
    scene.unchanged = Duration::from_millis(200);
    assert_eq!(scene.step(), MembershipStep::Stay);
    scene.unchanged = Duration::from_millis(1100);
    let first = scene.proposed();
    assert_eq!(
        (first.generation, first.copies, first.slots.len()),
        (1, 3, 3)
    );
}

#[test]
fn too_few_keepers_start_after_a_while() {
    let mut scene = Scene::of(slot("k1", "a", 1));
    scene.placement = None;
    scene.registered.truncate(2);
    scene.unchanged = Duration::from_secs(2);
    assert_eq!(scene.step(), MembershipStep::Stay);
    scene.unchanged = Duration::from_secs(5);
    let first = scene.proposed();
    assert_eq!((first.copies, first.majority()), (2, 2));
}

#[test]
fn unregistered_keeper_registers_first() {
    let mut scene = Scene::of(slot("k4", "a", 4));
    scene.registered = three();
    assert_eq!(scene.step(), MembershipStep::Register);
}

#[test]
fn keeper_with_a_slot_stays_and_moves_its_address() {
    assert_eq!(Scene::of(slot("k2", "b", 2)).step(), MembershipStep::Stay);
    let moved = Scene::of(slot("k2", "b", 22)).proposed();
    assert_eq!(moved.generation, 2);
    assert_eq!(moved.slots[1].address.port(), 22);
}

#[test]
fn spare_takes_a_dead_slot_only_while_the_others_answer() {
    let mut scene = Scene::of(slot("k4", "b", 4));
    assert_eq!(scene.step(), MembershipStep::Stay);
    scene.silence[1] = DEAD;
    assert_eq!(scene.proposed().slots[1].name, "k4");
    scene.silence[2] = DEAD;
    assert_eq!(
        scene.step(),
        MembershipStep::Stay,
        "a cut-off spare must not take over"
    );
}

#[test]
fn spare_takes_the_slot_of_one_that_retires_and_not_its_own_again() {
    let mut scene = Scene::of(slot("k4", "c", 4));
    scene.retiring = vec!["k1".into()];
    assert_eq!(scene.proposed().slots[0].name, "k4");
    scene.own = slot("k1", "a", 1);
    scene.placement = Some(KeeperPlacement::first(three(), 1).with_slot_holder(
        0,
        "k4",
        ([127, 0, 0, 1], 4).into(),
    ));
    scene.silence[1] = DEAD;
    assert_eq!(scene.step(), MembershipStep::Stay);
}

#[test]
fn groups_spread_over_failure_domains_and_keep_to_their_slots() {
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
            let there = group
                .iter()
                .filter(|&&index| placement.slots[index].domain == domain);
            assert!(there.count() <= 2, "one lost domain must leave a majority");
        }
    }
}
