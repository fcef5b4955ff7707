//! Assignment of programs to the keepers that hold their facts.
//!
//! The placement is one small value in the key-value service, changed by compare-and-swap when an instance takes over
//! another instance's slot. Slots are never removed, so a change affects only the groups that include the slot, and
//! only one member of each: any two majorities before and after the change share a member.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::mix::hash_pair;
use crate::model::{DomainId, UpstreamTag};

/// Version number of a placement; a higher one is newer.
pub type PlacementGeneration = u64;

/// A slot and the instance that holds it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperSlot {
    /// Name of the instance.
    pub name: SmolStr,
    /// The instance's address for links.
    pub address: SocketAddr,
    /// Failure domain for which the slot was created; unchanged when another instance takes over the slot.
    pub domain: DomainId,
}

/// A keeper that has left its slot as planned, with all facts that it ever acknowledged: a complete source until its successor has
/// read it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DepartedKeeper {
    /// Index of the slot.
    pub index: usize,
    /// The slot as the keeper held it.
    pub slot: KeeperSlot,
}

/// All slots and the number of copies.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeeperPlacement {
    /// Version number.
    pub generation: PlacementGeneration,
    /// Number of copies of each program's facts.
    pub copies: usize,
    /// The slots.
    pub slots: Vec<KeeperSlot>,
    /// For each slot at most one keeper that has left it as planned.
    #[serde(default)]
    pub departed: Vec<DepartedKeeper>,
}

impl KeeperPlacement {
    /// Creates the first placement.
    #[must_use]
    pub fn first(mut slots: Vec<KeeperSlot>, tolerated_losses: usize) -> Self {
        slots.sort_by(|left, right| left.name.cmp(&right.name));
        Self {
            generation: 1,
            copies: Self::wanted_copies(tolerated_losses).min(slots.len()),
            slots,
            departed: Vec::new(),
        }
    }

    /// Returns the number of copies of which a majority survives the given number of simultaneous losses.
    #[must_use]
    pub fn wanted_copies(tolerated_losses: usize) -> usize {
        2 * tolerated_losses + 1
    }

    /// Returns the number of copies that make a write durable.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.copies / 2 + 1
    }

    /// Returns how many complete keepers of a group have to reply so that they include a member of every majority.
    #[must_use]
    pub fn read_quorum(&self) -> usize {
        self.copies - self.majority() + 1
    }

    /// Returns how many complete keepers of all slots have to reply so that they include a member of every majority of
    /// any group.
    #[must_use]
    pub fn global_read_quorum(&self) -> usize {
        (self.slots.len() + 1).saturating_sub(self.majority())
    }

    /// Returns how many other keepers a keeper that lost its disk has to read.
    #[must_use]
    pub fn rebuild_sources(&self) -> usize {
        let others = self.slots.len().saturating_sub(1);
        let skippable = self.majority().saturating_sub(2);
        others.saturating_sub(skippable)
    }

    /// Returns the slots of a program's group, spread across failure domains.
    #[must_use]
    pub fn group(&self, program: &str) -> Vec<usize> {
        let mut ranked: Vec<usize> = (0..self.slots.len()).collect();
        if self.copies >= ranked.len() {
            return ranked;
        }
        ranked.sort_by_cached_key(|&index| slot_rank(program, index));
        let max_per_domain = self.copies.div_ceil(self.domain_count().max(1));
        let mut chosen: Vec<usize> = Vec::with_capacity(self.copies);
        for &index in &ranked {
            let domain = &self.slots[index].domain;
            let same = chosen
                .iter()
                .filter(|&&other| self.slots[other].domain == *domain);
            if chosen.len() < self.copies && same.count() < max_per_domain {
                chosen.push(index);
            }
        }
        for index in ranked {
            if chosen.len() < self.copies && !chosen.contains(&index) {
                chosen.push(index);
            }
        }
        chosen
    }

    /// Returns the two slots whose keepers hold an upstream's account, in two failure domains if there are as many.
    #[must_use]
    pub fn account_slots(&self, upstream: UpstreamTag) -> Vec<usize> {
        let rank = |&index: &usize| hash_pair(upstream, index as u64);
        let Some(first) = (0..self.slots.len()).min_by_key(rank) else {
            return Vec::new();
        };
        let others = (0..self.slots.len()).filter(|&index| index != first);
        let elsewhere = |&index: &usize| self.slots[index].domain != self.slots[first].domain;
        let second = others.clone().filter(elsewhere).min_by_key(rank);
        let second = second.or_else(|| others.min_by_key(rank));
        std::iter::once(first).chain(second).collect()
    }

    /// Returns the index of an instance's slot.
    #[must_use]
    pub fn slot_of(&self, name: &str) -> Option<usize> {
        self.slots.iter().position(|slot| slot.name == name)
    }

    /// Returns the next placement, in which another instance, or the same one at another address, holds the slot.
    #[must_use]
    pub fn with_slot_holder(&self, index: usize, name: &str, address: SocketAddr) -> Self {
        let mut next = self.clone();
        next.generation += 1;
        if let Some(slot) = next.slots.get_mut(index) {
            slot.name = name.into();
            slot.address = address;
        }
        next
    }

    /// Returns the next placement, in which another instance takes over the slot of a complete keeper that leaves as planned.
    #[must_use]
    pub fn with_successor(&self, index: usize, name: &str, address: SocketAddr) -> Self {
        let mut next = self.with_slot_holder(index, name, address);
        next.departed.retain(|departed| departed.index != index);
        if let Some(slot) = self.slots.get(index) {
            let slot = slot.clone();
            next.departed.push(DepartedKeeper { index, slot });
        }
        next
    }

    /// Returns the next placement, in which the keeper that has left a slot is no longer a source.
    #[must_use]
    pub fn without_departed(&self, index: usize) -> Self {
        let mut next = self.clone();
        next.generation += 1;
        next.departed.retain(|departed| departed.index != index);
        next
    }

    /// Returns the keeper that has left a slot as planned.
    #[must_use]
    pub fn departed_from(&self, index: usize) -> Option<&KeeperSlot> {
        let departed = self.departed.iter().find(|keeper| keeper.index == index);
        departed.map(|keeper| &keeper.slot)
    }

    /// Returns the slot that a keeper has left as planned.
    #[must_use]
    pub fn slot_left_by(&self, name: &str) -> Option<usize> {
        let departed = self.departed.iter().find(|keeper| keeper.slot.name == name);
        departed.map(|keeper| keeper.index)
    }

    fn domain_count(&self) -> usize {
        let mut domains: Vec<&DomainId> = self.slots.iter().map(|slot| &slot.domain).collect();
        domains.sort_unstable();
        domains.dedup();
        domains.len()
    }
}

fn slot_rank(program: &str, index: usize) -> [u8; 8] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(program.as_bytes());
    hasher.update(&index.to_le_bytes());
    let mut rank = [0; 8];
    rank.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    rank
}
