//! The role decision: a pure function of a copy's current role and the shard's placement.

use super::map::ShardPlacement;
use crate::ids::{InstanceRef, ShardEpoch};

/// Current role of a copy, with the epoch that the decision depends on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CurrentRole {
    /// No copy.
    Absent,
    /// No copy in this process, but a complete copy of an earlier process on disk.
    Recovered(ShardEpoch),
    /// A backup's copy in an epoch.
    Backup(ShardEpoch),
    /// A primary's copy in an epoch.
    Primary(ShardEpoch),
}

/// The change that a placement requires of a copy.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RoleChange {
    /// Keeps the copy and its role.
    Keep,
    /// Drops the copy.
    Drop,
    /// Starts an empty copy as backup.
    StartEmptyBackup,
    /// Starts an empty copy as primary.
    StartEmptyPrimary,
    /// Promotes the backup to primary.
    Promote,
    /// Promotes the copy on disk to primary.
    Restore,
    /// Keeps the primary and applies the backups of the newer map.
    Adopt,
    /// Demotes the primary to a backup of the next one.
    StepDown,
}

/// Decides how the role of an instance's copy changes under a placement.
///
/// A copy with a newer epoch than the placement is kept: the instance already knows a newer map, or it
/// has received the copy before the map lists it.
#[must_use]
pub fn decide_role(held: CurrentRole, placement: &ShardPlacement, me: &InstanceRef) -> RoleChange {
    let starts_empty = placement.empty_epoch == placement.epoch;
    if placement.primary == *me {
        return match held {
            CurrentRole::Primary(_) => RoleChange::Adopt,
            CurrentRole::Backup(epoch) if epoch >= placement.epoch => RoleChange::Keep,
            CurrentRole::Backup(_) => RoleChange::Promote,
            CurrentRole::Absent | CurrentRole::Recovered(_) if starts_empty => {
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
        CurrentRole::Absent | CurrentRole::Recovered(_) if listed && starts_empty => {
            RoleChange::StartEmptyBackup
        }
        CurrentRole::Recovered(_) if !placement.members().any(|member| member.name == me.name) => {
            RoleChange::Drop
        }
        CurrentRole::Absent | CurrentRole::Recovered(_) => RoleChange::Keep,
        _ if !listed => RoleChange::Drop,
        CurrentRole::Primary(_) => RoleChange::StepDown,
        CurrentRole::Backup(_) => RoleChange::Keep,
    }
}
