//! Which step a keeper takes so that all slots have a keeper: pure.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

use crate::fact::{KeeperPlacement, KeeperSlot};

/// Time for which registrations have to be unchanged before the first placement: all machines start within
/// a third of a second of each other.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// Time after which the first placement is made with fewer keepers than wanted.
const FIRST_PLACEMENT_PATIENCE: Duration = Duration::from_secs(4);

/// Silence after which a keeper's slot is taken over: longer than a restart and shorter than the time
/// within which copies have to be whole again.
const DEAD_AFTER: Duration = Duration::from_millis(2500);

/// What a keeper knows when it decides.
#[derive(Clone, Debug)]
pub struct MembershipView<'view> {
    /// Its own slot as it would be.
    pub own: &'view KeeperSlot,
    /// The placement; `None` where there is none in the key-value service.
    pub placement: Option<&'view KeeperPlacement>,
    /// Registered keepers.
    pub registered: &'view [KeeperSlot],
    /// How long the registrations have been unchanged.
    pub unchanged: Duration,
    /// Losses that have to be borne at once.
    pub tolerated_losses: usize,
    /// Silence of each slot's keeper, in the slots' order; zero for the own one.
    pub silence: &'view [Duration],
    /// Keepers that operators want to be emptied.
    pub retiring: &'view [SmolStr],
}

/// What the keeper does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipStep {
    /// Nothing.
    Stay,
    /// Registers itself.
    Register,
    /// Writes a placement in place of the one it knows.
    Propose(KeeperPlacement),
}

/// Decides the next step.
#[must_use]
pub fn next_step(view: &MembershipView<'_>) -> MembershipStep {
    if !view.registered.contains(view.own) {
        return MembershipStep::Register;
    }
    let Some(placement) = view.placement else {
        return first_placement(view);
    };
    if let Some(index) = placement.slot_of(&view.own.name) {
        if placement.slots[index].address != view.own.address {
            return propose(placement, index, &view.own.name, view.own.address);
        }
        return MembershipStep::Stay;
    }
    if view.retiring.contains(&view.own.name) {
        return MembershipStep::Stay;
    }
    match vacant_slot(view, placement) {
        Some(index) => propose(placement, index, &view.own.name, view.own.address),
        None => MembershipStep::Stay,
    }
}

fn propose(
    placement: &KeeperPlacement,
    index: usize,
    name: &str,
    address: SocketAddr,
) -> MembershipStep {
    MembershipStep::Propose(placement.with_slot_holder(index, name, address))
}

fn first_placement(view: &MembershipView<'_>) -> MembershipStep {
    let enough = view.registered.len() >= KeeperPlacement::wanted_copies(view.tolerated_losses);
    let wait = if enough {
        SETTLE_TIME
    } else {
        FIRST_PLACEMENT_PATIENCE
    };
    if view.unchanged < wait {
        return MembershipStep::Stay;
    }
    let placement = KeeperPlacement::first(view.registered.to_vec(), view.tolerated_losses);
    MembershipStep::Propose(placement)
}

/// Returns the slot that a keeper without one should take: of one that retires or is dead, the own failure
/// domain's first.
fn vacant_slot(view: &MembershipView<'_>, placement: &KeeperPlacement) -> Option<usize> {
    let alive = view
        .silence
        .iter()
        .filter(|&&silence| silence < DEAD_AFTER)
        .count();
    if alive < placement.rebuild_sources() {
        return None;
    }
    let mut vacant: Vec<usize> = (0..placement.slots.len())
        .filter(|&index| {
            let silent = view
                .silence
                .get(index)
                .is_some_and(|&silence| silence >= DEAD_AFTER);
            silent || view.retiring.contains(&placement.slots[index].name)
        })
        .collect();
    vacant.sort_by_key(|&index| placement.slots[index].domain != view.own.domain);
    vacant.first().copied()
}
