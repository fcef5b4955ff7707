//! What the role of a copy becomes when a map is learned: a pure decision.

use super::map::ShardPlacement;
use crate::ids::{InstanceRef, ShardEpoch};

/// Role of a copy with the epochs that the decision looks at.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CurrentRole {
    /// No copy.
    Absent,
    /// No copy of this process, but a complete one of an earlier process on the disk.
    Recovered(ShardEpoch),
    /// A backup's copy in an epoch.
    Backup(ShardEpoch),
    /// A primary's copy in an epoch.
    Primary(ShardEpoch),
}

/// What becomes of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleChange {
    /// It stays as it is.
    Keep,
    /// It is dropped.
    Drop,
    /// It starts empty and follows the primary.
    StartEmptyBackup,
    /// It starts empty and writes.
    StartEmptyPrimary,
    /// It becomes the primary's.
    Promote,
    /// The copy from the disk becomes the primary's.
    Restore,
    /// It stays the primary's, with the backups of the newer map.
    Adopt,
    /// It ceases to be the primary's and follows the next one.
    StepDown,
}

/// Decides what becomes of an instance's copy under a placement.
///
/// A copy of a newer epoch than the placement's is kept: its instance knows of a newer map already,
/// or was sent the copy before the map could list it.
#[must_use]
pub fn decide_role(held: CurrentRole, placement: &ShardPlacement, me: &InstanceRef) -> RoleChange {
    let begins_empty = placement.empty_epoch == placement.epoch;
    if placement.primary == *me {
        return match held {
            CurrentRole::Primary(_) => RoleChange::Adopt,
            CurrentRole::Backup(epoch) if epoch >= placement.epoch => RoleChange::Keep,
            CurrentRole::Backup(_) => RoleChange::Promote,
            CurrentRole::Absent | CurrentRole::Recovered(_) if begins_empty => {
                RoleChange::StartEmptyPrimary
            }
            CurrentRole::Recovered(epoch) if epoch < placement.epoch => RoleChange::Restore,
            CurrentRole::Absent | CurrentRole::Recovered(_) => RoleChange::Keep,
        };
    }
    let listed = placement.backups.contains(me);
    match held {
        CurrentRole::Primary(epoch) | CurrentRole::Backup(epoch) if epoch > placement.epoch => {
            RoleChange::Keep
        }
        CurrentRole::Absent | CurrentRole::Recovered(_) if listed && begins_empty => {
            RoleChange::StartEmptyBackup
        }
        CurrentRole::Recovered(_) if !placement.members().any(|one| one.name == me.name) => {
            RoleChange::Drop
        }
        CurrentRole::Absent | CurrentRole::Recovered(_) => RoleChange::Keep,
        _ if !listed => RoleChange::Drop,
        CurrentRole::Primary(_) => RoleChange::StepDown,
        CurrentRole::Backup(_) => RoleChange::Keep,
    }
}
