//! Tracks which keepers have replied recently, and whether this instance is cut off from them.
//!
//! Handles network partitions of a failure domain. The entries inside the partitioned domain reach too few keepers for
//! nearly every program, so clients are better served elsewhere. The other entries miss some keepers of each program
//! and continue. If all entries left the load balancer's rotation together, clients would be sent to all of them again,
//! including those in the partitioned domain.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::placement::{KeeperPlacement, KeeperSlot, PlacementGeneration};
use crate::hold::lock_ignoring_poison;
use crate::model::DomainId;

/// Time without a reply after which a keeper is probed.
const PROBE_AFTER: Duration = Duration::from_millis(150);

/// Time without a reply after which a keeper counts as unreachable: one probe and its reply fit with a tenth of a
/// second to spare, because keepers reply to probes without disk access.
const UNREACHABLE_AFTER: Duration = Duration::from_millis(450);

/// Time without a reply after which a keeper counts as possibly unreachable: a probe is sent within `PROBE_AFTER` and one
/// check interval, and answered within a few round trips.
const SUSPECTED_AFTER: Duration = Duration::from_millis(320);

/// Time without a reply from any keeper of a failure domain after which the path to the domain is checked: a probe sent
/// after `PROBE_AFTER` should have been answered by then.
const DOMAIN_CHECK_AFTER: Duration = Duration::from_millis(230);

/// Number of sample groups that represent the groups of all programs; the estimated share is exact to a few hundredths.
const SAMPLE_GROUPS: u32 = 64;

/// Minimum share of programs that an instance must be able to serve; below it the instance is cut off. Failed keepers
/// affect all instances equally, so clients benefit from another instance only if this one has lost most programs.
const MIN_SERVED_SHARE: f64 = 0.5;

/// Minimum share of programs that an instance must be able to serve without helpers; below it the instance looks for
/// helpers. A single failed keeper makes no program unavailable and requires no helper.
const MIN_DIRECT_SHARE: f64 = 0.95;

/// Sample groups of a placement, computed like the groups of programs.
#[derive(Debug, Default)]
struct SampleGroups {
    generation: PlacementGeneration,
    groups: Vec<Vec<usize>>,
}

/// Last reply time of each keeper, and the reachability derived from it.
#[derive(Debug, Default)]
pub struct KeeperHealth {
    last_replies: Mutex<HashMap<SmolStr, Instant>>,
    /// Time at which a helper last received a reply of each keeper.
    indirect: Mutex<HashMap<SmolStr, Instant>>,
    samples: Mutex<SampleGroups>,
    cut_off_since: Mutex<Option<Instant>>,
}

impl KeeperHealth {
    /// Records a reply.
    pub fn record_reply(&self, name: &SmolStr, now: Instant) {
        lock_ignoring_poison(&self.last_replies).insert(name.clone(), now);
    }

    /// Records when a helper last received a reply of a keeper.
    pub fn record_indirect_reply(&self, name: &SmolStr, replied: Instant) {
        let mut indirect = lock_ignoring_poison(&self.indirect);
        let last = indirect.entry(name.clone()).or_insert(replied);
        *last = replied.max(*last);
    }

    /// Returns whether a keeper is reachable without a helper.
    #[must_use]
    pub fn is_directly_reachable(&self, name: &SmolStr, now: Instant) -> bool {
        self.silence(name, now) < UNREACHABLE_AFTER
    }

    /// Returns whether so many keepers are unreachable that using helpers justifies the additional messages.
    #[must_use]
    pub fn needs_helpers(&self, placement: &KeeperPlacement, now: Instant) -> bool {
        let direct = |slot: &KeeperSlot| self.is_directly_reachable(&slot.name, now);
        self.served_share(placement, direct) < MIN_DIRECT_SHARE
    }

    /// Returns the keepers that are due for a probe.
    #[must_use]
    pub fn unresponsive(&self, placement: &KeeperPlacement, now: Instant) -> Vec<KeeperSlot> {
        let slots = placement.slots.iter();
        let unresponsive = slots.filter(|slot| self.silence(&slot.name, now) >= PROBE_AFTER);
        unresponsive.cloned().collect()
    }

    /// Returns the failure domains none of whose keepers has replied for so long that the path there may be broken.
    #[must_use]
    pub fn silent_domains(&self, placement: &KeeperPlacement, now: Instant) -> Vec<DomainId> {
        let mut silent: Vec<DomainId> = Vec::new();
        let mut responsive: Vec<&DomainId> = Vec::new();
        for slot in &placement.slots {
            if self.silence(&slot.name, now) < DOMAIN_CHECK_AFTER {
                responsive.push(&slot.domain);
            } else if !silent.contains(&slot.domain) {
                silent.push(slot.domain.clone());
            }
        }
        silent.retain(|domain| !responsive.contains(&domain));
        silent
    }

    /// Returns whether a keeper is reachable, directly or through a helper.
    #[must_use]
    pub fn is_reachable(&self, name: &SmolStr, now: Instant) -> bool {
        self.replied_within(name, UNREACHABLE_AFTER, now)
    }

    /// Returns whether a reply of a keeper was received within a time, by this instance or by a helper.
    fn replied_within(&self, name: &SmolStr, time: Duration, now: Instant) -> bool {
        if self.silence(name, now) < time {
            return true;
        }
        let last = lock_ignoring_poison(&self.indirect).get(name).copied();
        last.is_some_and(|last| now.saturating_duration_since(last) < time)
    }

    /// Returns whether the instance may be cut off: the keepers that have just replied can serve too few programs.
    ///
    /// A suspicion is right more often than not, and costs nothing otherwise: a load balancer takes an instance out of
    /// rotation after two failed readiness checks. In a partitioned domain it sends clients elsewhere only once all
    /// instances are out, so that the last one to detect the partition delays all clients.
    #[must_use]
    pub fn is_cut_off_suspected(&self, placement: &KeeperPlacement, now: Instant) -> bool {
        let replied = |slot: &KeeperSlot| self.replied_within(&slot.name, SUSPECTED_AFTER, now);
        self.served_share(placement, replied) < MIN_SERVED_SHARE
    }

    /// Returns how many of the keepers are reachable.
    #[must_use]
    pub fn reachable_count(&self, slots: &[KeeperSlot], now: Instant) -> usize {
        let reachable = |slot: &&KeeperSlot| self.is_reachable(&slot.name, now);
        slots.iter().filter(reachable).count()
    }

    /// Updates whether the instance is cut off; returns whether that has changed.
    pub fn update_cut_off(&self, placement: &KeeperPlacement, now: Instant) -> bool {
        let reached = |slot: &KeeperSlot| self.is_reachable(&slot.name, now);
        let cut_off = self.served_share(placement, reached) < MIN_SERVED_SHARE;
        let mut since = lock_ignoring_poison(&self.cut_off_since);
        if since.is_some() == cut_off {
            return false;
        }
        // A partition is noticed only after `UNREACHABLE_AFTER`, so it began that long ago.
        *since = cut_off.then(|| now.checked_sub(UNREACHABLE_AFTER).unwrap_or(now));
        true
    }

    /// Returns how long the instance has been cut off, as of the last update; zero if it isn't.
    #[must_use]
    pub fn cut_off_for(&self, now: Instant) -> Duration {
        lock_ignoring_poison(&self.cut_off_since)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the share of programs a majority of whose keepers is reached.
    fn served_share<Reached>(&self, placement: &KeeperPlacement, reached: Reached) -> f64
    where
        Reached: Fn(&KeeperSlot) -> bool,
    {
        if placement.slots.is_empty() {
            return 1.0;
        }
        let is_reached: Vec<bool> = placement.slots.iter().map(reached).collect();
        let mut samples = lock_ignoring_poison(&self.samples);
        samples.refresh(placement);
        let mut served = 0_u32;
        for group in &samples.groups {
            let members = group.iter().filter(|&&index| is_reached[index]).count();
            served += u32::from(members >= placement.majority());
        }
        f64::from(served) / f64::from(SAMPLE_GROUPS)
    }

    /// Returns the time since a keeper's last reply; the first call for a keeper starts its clock.
    pub(super) fn silence(&self, name: &SmolStr, now: Instant) -> Duration {
        let mut last_replies = lock_ignoring_poison(&self.last_replies);
        let last = last_replies.entry(name.clone()).or_insert(now);
        now.saturating_duration_since(*last)
    }
}

impl SampleGroups {
    fn refresh(&mut self, placement: &KeeperPlacement) {
        if self.generation == placement.generation && !self.groups.is_empty() {
            return;
        }
        self.generation = placement.generation;
        self.groups = (0..SAMPLE_GROUPS)
            .map(|number| placement.group(&format!("sample {number}")))
            .collect();
    }
}
