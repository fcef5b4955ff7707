//! Pure decision of a keeper's next membership step, so that every slot has a keeper.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use crate::fact::{KeeperPlacement, KeeperSlot};

/// Time for which the registrations must be unchanged before the first placement: all machines start within a third of
/// a second of each other.
const SETTLE_DELAY: Duration = Duration::from_secs(1);

/// Time after which the first placement is made with fewer keepers than configured.
const PLACEMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time without a reply after which a keeper's slot is taken over: longer than a restart and shorter than the time
/// within which the full number of copies must be restored.
const FAILURE_TIMEOUT: Duration = Duration::from_millis(2500);

/// When the keepers of the slots replied last to a keeper without a slot.
#[derive(Debug, Default)]
pub struct SlotReplies {
    last: HashMap<SmolStr, Instant>,
}

impl SlotReplies {
    /// Records a keeper's reply to a probe.
    pub fn record(&mut self, keeper: SmolStr, now: Instant) {
        self.last.insert(keeper, now);
    }

    /// Returns the time since each slot's keeper replied last, in slot order; a keeper that has not replied yet counts
    /// from the first call. A keeper that has a slot itself doesn't probe the others, so earlier replies are dropped.
    pub fn silence(
        &mut self,
        placement: &KeeperPlacement,
        own: &str,
        now: Instant,
    ) -> Vec<Duration> {
        if placement.slot_of(own).is_some() {
            self.last.clear();
            return vec![Duration::ZERO; placement.slots.len()];
        }
        self.last
            .retain(|keeper, _| placement.slot_of(keeper).is_some());
        let slots = placement.slots.iter();
        slots
            .map(|slot| {
                let last_reply = self.last.entry(slot.name.clone()).or_insert(now);
                now.saturating_duration_since(*last_reply)
            })
            .collect()
    }
}

/// The state on which a keeper bases its decision.
#[derive(Clone, Debug)]
pub struct MembershipView<'view> {
    /// The slot that the keeper would occupy, with its own name and address.
    pub own: &'view KeeperSlot,
    /// The current placement; `None` if the key-value service has none.
    pub placement: Option<&'view KeeperPlacement>,
    /// All registered keepers.
    pub registered: &'view [KeeperSlot],
    /// Time since the registrations changed last.
    pub unchanged: Duration,
    /// Number of simultaneous instance losses that must be tolerated.
    pub tolerated_losses: usize,
    /// Time since each slot's keeper replied last, in slot order. Not used if the keeper has a slot itself.
    pub silence: &'view [Duration],
    /// Keepers that operators are retiring.
    pub retiring: &'view [SmolStr],
    /// Keepers that have reported that they have every fact that they ever acknowledged.
    pub complete: &'view [SmolStr],
}

/// The keeper's next action.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MembershipStep {
    /// Does nothing.
    Stay,
    /// Registers the keeper.
    Register,
    /// Proposes a placement that replaces the current one.
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
    if is_source(view, placement) {
        return MembershipStep::Stay;
    }
    let KeeperSlot { name, address, .. } = view.own;
    match vacant_slot(view, placement) {
        Some(VacantSlot::Retiring(index)) => {
            MembershipStep::Propose(placement.with_successor(index, name, *address))
        }
        Some(VacantSlot::Failed(index)) => propose(placement, index, name, *address),
        None => MembershipStep::Stay,
    }
}

/// Returns whether the keeper has left a slot whose new keeper still needs its facts.
fn is_source(view: &MembershipView<'_>, placement: &KeeperPlacement) -> bool {
    let left = placement.slot_left_by(&view.own.name);
    left.is_some_and(|index| !view.complete.contains(&placement.slots[index].name))
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
    let enough_keepers =
        view.registered.len() >= KeeperPlacement::wanted_copies(view.tolerated_losses);
    let wait = if enough_keepers {
        SETTLE_DELAY
    } else {
        PLACEMENT_TIMEOUT
    };
    if view.unchanged < wait {
        return MembershipStep::Stay;
    }
    let placement = KeeperPlacement::first(view.registered.to_vec(), view.tolerated_losses);
    MembershipStep::Propose(placement)
}

/// A slot that a keeper without one may take.
enum VacantSlot {
    /// Its keeper is retiring and has everything that its successor needs.
    Retiring(usize),
    /// Its keeper has failed.
    Failed(usize),
}

impl VacantSlot {
    fn index(&self) -> usize {
        match self {
            Self::Retiring(index) | Self::Failed(index) => *index,
        }
    }
}

/// Returns the slot that a keeper without a slot should take: that of a retiring or failed keeper, preferably in its
/// own failure domain. A retiring keeper that is not complete itself stays until it is.
fn vacant_slot(view: &MembershipView<'_>, placement: &KeeperPlacement) -> Option<VacantSlot> {
    let failed = |index: usize| {
        let silence = view.silence.get(index);
        silence.is_some_and(|&silence| silence >= FAILURE_TIMEOUT)
    };
    let alive = (0..placement.slots.len()).filter(|&index| !failed(index));
    let can_rebuild = alive.count() >= placement.rebuild_sources();
    let mut vacant = Vec::new();
    for (index, slot) in placement.slots.iter().enumerate() {
        if failed(index) {
            vacant.extend(can_rebuild.then_some(VacantSlot::Failed(index)));
            continue;
        }
        if view.retiring.contains(&slot.name) && view.complete.contains(&slot.name) {
            vacant.push(VacantSlot::Retiring(index));
        }
    }
    vacant.sort_by_key(|slot| placement.slots[slot.index()].domain != view.own.domain);
    vacant.into_iter().next()
}
