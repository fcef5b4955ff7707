//! Which keepers have answered lately: whether this instance is cut off from them.
//!
//! Answers the pattern of a cut failure domain. Its own entries reach too few keepers for nearly every program, and
//! clients are better off elsewhere; the others miss some keepers of each program and go on. Where all entries
//! took themselves out of rotation together, clients would be sent to all of them, those in the cut domain too.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use smol_str::SmolStr;

use super::placement::{KeeperPlacement, KeeperSlot, PlacementGeneration};
use crate::hold::lock_ignoring_poison;
use crate::model::DomainId;

/// Silence after which a keeper is asked whether it is there.
const ASK_AFTER: Duration = Duration::from_millis(150);

/// Silence after which a keeper counts as out of reach: a question and its answer fit once with a tenth of a second
/// to spare, since keepers answer probes without their disks.
const OUT_OF_REACH: Duration = Duration::from_millis(450);

/// Silence of all keepers of a failure domain after which the way there is tried: a question that went out after a
/// pause should have been answered.
const DOUBTFUL_AFTER: Duration = Duration::from_millis(230);

/// Groups that stand for all programs' groups; their share tells within some hundredths.
const SAMPLE_GROUPS: u32 = 64;

/// Share of the programs that an instance has to be able to serve; with less it is cut off. Keepers that are lost
/// for all instances cost all of them the same, so that going elsewhere helps only where most is lost here.
const LEAST_SHARE: f64 = 0.5;

/// Share of the programs that an instance has to be able to serve without helpers; with less it looks for some. One lost
/// keeper costs no program, and needs none.
const HELPED_SHARE: f64 = 0.95;

/// Groups of a placement, drawn as those of programs are.
#[derive(Debug, Default)]
struct SampleGroups {
    generation: PlacementGeneration,
    groups: Vec<Vec<usize>>,
}

/// When each keeper answered last, and what that comes to.
#[derive(Debug, Default)]
pub struct KeeperHealth {
    heard: Mutex<HashMap<SmolStr, Instant>>,
    /// Keepers that helpers reach.
    indirect: Mutex<HashMap<SmolStr, Instant>>,
    samples: Mutex<SampleGroups>,
    cut_since: Mutex<Option<Instant>>,
}

impl KeeperHealth {
    /// Notes an answer.
    pub fn note(&self, name: &SmolStr, now: Instant) {
        lock_ignoring_poison(&self.heard).insert(name.clone(), now);
    }

    /// Notes when a helper heard a keeper.
    pub fn note_indirect(&self, name: &SmolStr, heard: Instant) {
        let mut indirect = lock_ignoring_poison(&self.indirect);
        let last = indirect.entry(name.clone()).or_insert(heard);
        *last = heard.max(*last);
    }

    /// Returns whether a keeper answers without a helper.
    #[must_use]
    pub fn is_straight(&self, name: &SmolStr, now: Instant) -> bool {
        self.silence(name, now) < OUT_OF_REACH
    }

    /// Returns whether so many keepers are silent that helpers are worth their messages.
    #[must_use]
    pub fn needs_helpers(&self, placement: &KeeperPlacement, now: Instant) -> bool {
        let straight = |slot: &KeeperSlot| self.is_straight(&slot.name, now);
        self.served_share(placement, straight) < HELPED_SHARE
    }

    /// Returns the keepers that have been silent for a while.
    #[must_use]
    pub fn silent(&self, placement: &KeeperPlacement, now: Instant) -> Vec<KeeperSlot> {
        let slots = placement.slots.iter();
        let silent = slots.filter(|slot| self.silence(&slot.name, now) >= ASK_AFTER);
        silent.cloned().collect()
    }

    /// Returns the failure domains whose keepers have all been silent for so long that the way there may be cut.
    #[must_use]
    pub fn silent_domains(&self, placement: &KeeperPlacement, now: Instant) -> Vec<DomainId> {
        let mut silent: Vec<DomainId> = Vec::new();
        let mut heard: Vec<&DomainId> = Vec::new();
        for slot in &placement.slots {
            if self.silence(&slot.name, now) < DOUBTFUL_AFTER {
                heard.push(&slot.domain);
            } else if !silent.contains(&slot.domain) {
                silent.push(slot.domain.clone());
            }
        }
        silent.retain(|domain| !heard.contains(&domain));
        silent
    }

    /// Returns whether a keeper is within reach, by itself or through a helper.
    #[must_use]
    pub fn is_within_reach(&self, name: &SmolStr, now: Instant) -> bool {
        if self.is_straight(name, now) {
            return true;
        }
        let told = lock_ignoring_poison(&self.indirect).get(name).copied();
        told.is_some_and(|told| now.saturating_duration_since(told) < OUT_OF_REACH)
    }

    /// Returns how many of the keepers are within reach.
    #[must_use]
    pub fn reachable(&self, slots: &[KeeperSlot], now: Instant) -> usize {
        let within_reach = |slot: &&KeeperSlot| self.is_within_reach(&slot.name, now);
        slots.iter().filter(within_reach).count()
    }

    /// Judges anew whether the instance is cut off; returns whether that has changed.
    pub fn judge(&self, placement: &KeeperPlacement, now: Instant) -> bool {
        let reached = |slot: &KeeperSlot| self.is_within_reach(&slot.name, now);
        let cut_off = self.served_share(placement, reached) < LEAST_SHARE;
        let mut since = lock_ignoring_poison(&self.cut_since);
        if since.is_some() == cut_off {
            return false;
        }
        // The silence that tells of a cut is as old as the cut.
        *since = cut_off.then(|| now.checked_sub(OUT_OF_REACH).unwrap_or(now));
        true
    }

    /// Returns how long the instance has been cut off, as it was judged last; zero while it isn't.
    #[must_use]
    pub fn cut_off_for(&self, now: Instant) -> Duration {
        lock_ignoring_poison(&self.cut_since)
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since))
    }

    /// Returns the share of programs of which enough keepers are reached.
    fn served_share<Reached>(&self, placement: &KeeperPlacement, reached: Reached) -> f64
    where
        Reached: Fn(&KeeperSlot) -> bool,
    {
        if placement.slots.is_empty() {
            return 1.0;
        }
        let within_reach: Vec<bool> = placement.slots.iter().map(reached).collect();
        let mut samples = lock_ignoring_poison(&self.samples);
        samples.follow(placement);
        let mut served = 0_u32;
        for group in &samples.groups {
            let members = group.iter().filter(|&&index| within_reach[index]).count();
            served += u32::from(members >= placement.majority());
        }
        f64::from(served) / f64::from(SAMPLE_GROUPS)
    }

    /// Returns how long a keeper has been silent; the first look at it starts the clock.
    pub(super) fn silence(&self, name: &SmolStr, now: Instant) -> Duration {
        let mut heard = lock_ignoring_poison(&self.heard);
        let last = heard.entry(name.clone()).or_insert(now);
        now.saturating_duration_since(*last)
    }
}

impl SampleGroups {
    fn follow(&mut self, placement: &KeeperPlacement) {
        if self.generation == placement.generation && !self.groups.is_empty() {
            return;
        }
        self.generation = placement.generation;
        self.groups = (0..SAMPLE_GROUPS)
            .map(|number| placement.group(&format!("sample {number}")))
            .collect();
    }
}
