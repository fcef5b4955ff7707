//! Shard maps: the placement of all copies of a failure domain's shards, one value in the key-value
//! service for each domain.

use serde::{Deserialize, Serialize};
use smol_str::{SmolStr, format_smolstr};
use thiserror::Error;

use crate::ids::{DomainId, InstanceRef, RevisionNumber, ShardEpoch};

/// Prefix of the keys of all maps in the key-value service.
pub const MAP_PREFIX: &str = "samphiregrade/maps/";

/// Returns the key of a failure domain's map.
#[must_use]
pub fn map_key(domain: &str) -> SmolStr {
    format_smolstr!("{MAP_PREFIX}{domain}")
}

/// The instances that have the copies of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct ShardPlacement {
    /// Version of the placement, incremented by every change.
    pub epoch: ShardEpoch,
    /// Epoch in which the shard last started empty.
    pub empty_epoch: ShardEpoch,
    /// Instance with the primary's copy, which writes entries.
    pub primary: InstanceRef,
    /// Instances that have to store an entry before its effects are exposed.
    pub backups: Vec<InstanceRef>,
}

impl ShardPlacement {
    /// Returns whether the instance has a copy.
    #[must_use]
    pub fn has_member(&self, instance: &InstanceRef) -> bool {
        self.primary == *instance || self.backups.contains(instance)
    }
}

/// The placements of all shards of a failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DomainMap {
    /// The failure domain.
    pub domain: DomainId,
    /// Unique identifier of the swap that stored this value, by which it is recognised if the reply is lost.
    pub attempt: SmolStr,
    /// The placements in order of the shards' numbers.
    pub shards: Vec<ShardPlacement>,
}

/// A map with the revision at which the key-value service stored it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct VersionedMap {
    /// Revision; 0 if the map is not stored yet.
    pub revision: RevisionNumber,
    /// The map.
    pub map: DomainMap,
}

/// The placements that changed between two revisions of a map.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MapDelta {
    /// The failure domain.
    pub domain: DomainId,
    /// Revision of the older map.
    pub base: RevisionNumber,
    /// Revision of the newer map.
    pub revision: RevisionNumber,
    /// Unique identifier of the swap that stored the newer map.
    pub attempt: SmolStr,
    /// The changed placements with the numbers of their shards.
    pub changes: Vec<(u16, ShardPlacement)>,
}

impl VersionedMap {
    /// Computes the changes from an older map of the same domain, which has the same shard numbers.
    #[must_use]
    pub fn delta_from(&self, older: &Self) -> MapDelta {
        let pairs = self.map.shards.iter().zip(&older.map.shards);
        let changes = pairs
            .zip(0..)
            .filter(|((newer, older), _)| newer != older)
            .map(|((newer, _), number)| (number, newer.clone()))
            .collect();
        MapDelta {
            domain: self.map.domain.clone(),
            base: older.revision,
            revision: self.revision,
            attempt: self.map.attempt.clone(),
            changes,
        }
    }

    /// Returns the newer map, or `None` if the delta does not start from this map.
    #[must_use]
    pub fn with_delta(&self, delta: &MapDelta) -> Option<Self> {
        if delta.base != self.revision || delta.domain != self.map.domain {
            return None;
        }
        let mut newer = self.clone();
        newer.revision = delta.revision;
        newer.map.attempt = delta.attempt.clone();
        for (number, placement) in &delta.changes {
            *newer.map.shards.get_mut(usize::from(*number))? = placement.clone();
        }
        Some(newer)
    }
}

/// A change of one shard's placement.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum MapChange {
    /// A backup becomes primary; the listed instances lose their copies.
    TakeOver {
        /// The backup.
        by: InstanceRef,
        /// Instances that lose their copies, the old primary among them.
        without: Vec<InstanceRef>,
    },
    /// The primary removes some backups.
    DropBackups(Vec<InstanceRef>),
    /// An instance that has installed a snapshot becomes a backup.
    AddBackup(InstanceRef),
    /// The primary and a backup exchange their roles.
    HandOver(InstanceRef),
    /// Every process with a copy has ended; an instance becomes primary with its complete copy on disk.
    Restore(InstanceRef),
    /// No copy is left; the shard starts empty at an instance.
    Reset(InstanceRef),
}

/// The reason why a change does not apply to the current placement.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum MapConflict {
    /// The placement has changed since the decision was made.
    #[error("the shard's placement has changed; read the new placement and decide again")]
    EpochChanged,
    /// The change requires that the instance has a copy, or that it has none.
    #[error("the change does not match the instance's current role; read the placement again")]
    WrongMember,
}

impl ShardPlacement {
    /// Returns the placement after a change that was decided at the expected epoch.
    ///
    /// # Errors
    ///
    /// Returns [`MapConflict`] if the epoch differs or the change does not apply to the members.
    pub fn with_change(
        &self,
        expected: ShardEpoch,
        change: &MapChange,
    ) -> Result<Self, MapConflict> {
        if self.epoch != expected {
            return Err(MapConflict::EpochChanged);
        }
        let mut next = self.clone();
        next.epoch += 1;
        match change {
            MapChange::TakeOver { by, without } => {
                if !self.backups.contains(by) || without.contains(by) {
                    return Err(MapConflict::WrongMember);
                }
                next.primary = by.clone();
                next.backups = self
                    .members()
                    .filter(|member| *member != by)
                    .cloned()
                    .collect();
                next.backups.retain(|backup| !without.contains(backup));
            }
            MapChange::DropBackups(dropped) => {
                next.backups.retain(|backup| !dropped.contains(backup));
            }
            MapChange::AddBackup(added) => {
                if self.has_member(added) {
                    return Err(MapConflict::WrongMember);
                }
                next.backups.push(added.clone());
            }
            MapChange::HandOver(to) => {
                let Some(position) = next.backups.iter().position(|backup| backup == to) else {
                    return Err(MapConflict::WrongMember);
                };
                next.backups[position] = std::mem::replace(&mut next.primary, to.clone());
            }
            MapChange::Restore(to) => {
                if !self.members().any(|member| member.name == to.name) {
                    return Err(MapConflict::WrongMember);
                }
                next.primary = to.clone();
                next.backups.clear();
            }
            MapChange::Reset(to) => {
                next.primary = to.clone();
                next.backups.clear();
                next.empty_epoch = next.epoch;
            }
        }
        Ok(next)
    }

    /// Returns every instance with a copy, the primary first.
    pub fn members(&self) -> impl Iterator<Item = &InstanceRef> {
        std::iter::once(&self.primary).chain(&self.backups)
    }
}

/// Composes the first map of a failure domain, with primaries and backups spread over its instances.
///
/// Every shard gets a backup in the domain if the domain has at least two instances, and one in another
/// domain if `remote` is not empty.
///
/// # Panics
///
/// Panics if `local` is empty.
#[must_use]
pub fn initial_map(
    domain: &DomainId,
    shards: u16,
    local: &[InstanceRef],
    remote: &[InstanceRef],
) -> DomainMap {
    let placements = (0..usize::from(shards)).map(|index| {
        let mut backups = Vec::new();
        if local.len() > 1 {
            // The distance between primary and backup grows by one with each round over the instances.
            let distance = 1 + (index / local.len()) % (local.len() - 1);
            backups.push(local[(index + distance) % local.len()].clone());
        }
        if !remote.is_empty() {
            backups.push(remote[index % remote.len()].clone());
        }
        ShardPlacement {
            epoch: 1,
            empty_epoch: 1,
            primary: local[index % local.len()].clone(),
            backups,
        }
    });
    DomainMap {
        domain: domain.clone(),
        attempt: SmolStr::default(),
        shards: placements.collect(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn instance(name: &str) -> InstanceRef {
        InstanceRef {
            name: name.into(),
            incarnation: 1,
        }
    }

    #[test]
    fn first_map_spreads_the_copies() {
        let local: Vec<_> = ["a", "b", "c"].map(instance).to_vec();
        let map = initial_map(&"d".into(), 12, &local, &[instance("r")]);
        for shard in &map.shards {
            assert_eq!(shard.backups.len(), 2);
            assert!(!shard.backups.contains(&shard.primary));
        }
        let of_a = map.shards.iter().filter(|shard| shard.primary == local[0]);
        let backups: std::collections::BTreeSet<_> = of_a.map(|shard| &shard.backups[0]).collect();
        assert_eq!(backups.len(), 2);
    }

    #[test]
    fn delta_leads_to_the_newer_map() {
        let local: Vec<_> = ["a", "b", "c"].map(instance).to_vec();
        let older = VersionedMap {
            revision: 5,
            map: initial_map(&"d".into(), 6, &local, &[]),
        };
        let mut newer = older.clone();
        newer.revision = 8;
        newer.map.attempt = "x".into();
        let change = MapChange::HandOver(older.map.shards[2].backups[0].clone());
        newer.map.shards[2] = older.map.shards[2]
            .with_change(1, &change)
            .expect("a fitting change");
        let delta = newer.delta_from(&older);
        assert_eq!(delta.changes.len(), 1);
        assert_eq!(older.with_delta(&delta), Some(newer.clone()));
        assert_eq!(newer.with_delta(&delta), None);
    }

    #[test]
    fn change_of_an_old_epoch_is_refused() {
        let local: Vec<_> = ["a", "b"].map(instance).to_vec();
        let map = initial_map(&"d".into(), 1, &local, &[]);
        let change = MapChange::TakeOver {
            by: local[1].clone(),
            without: vec![local[0].clone()],
        };
        let taken = map.shards[0]
            .with_change(1, &change)
            .expect("the first change fits");
        assert_eq!(taken.primary, local[1]);
        assert!(taken.backups.is_empty());
        assert_eq!(
            taken.with_change(1, &change),
            Err(MapConflict::EpochChanged)
        );
    }
}
