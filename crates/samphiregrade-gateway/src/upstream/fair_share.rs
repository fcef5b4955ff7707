//! Fair shares of organisations in the work of an engine service: pure.
//!
//! Handles an organisation that sends many times its usual requests while engines have less room than demand. Each
//! keeper adds up the work of its own engines by organisation, and compares an organisation's part of the work done with
//! its max-min share: no organisation gets more than it asked for, and those that asked for more than the share get
//! equal parts. Keepers see different engines, so both are parts of the keeper's total, which entries average.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::service_times::ServiceTimes;
use crate::model::OrganisationTag;

/// Half-life of work: short enough for a burst of six seconds to show while it lasts.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// Maximum number of organisations in a table; the one with the least work is dropped.
const ORGANISATION_LIMIT: usize = 1024;

/// Multiple of its fair share that an organisation may use. A bound of 1.0 serves the others better in a burst of three
/// organisations, but ranks an organisation last for the noise of its estimate.
const SHARE_BOUND: f64 = 1.5;

/// Largest part of the slots that may be free while a service counts as contended. A keeper holds about nine engines in
/// the largest known deployments, and the slots of one that has just left count as free until it is forgotten.
const MAX_FREE_PART: f64 = 0.125;

/// Time for which a keeper must have received run starts before it reports shares: it doesn't know of the runs that
/// began before its own start, so its engines look idle.
pub(super) const SHARE_OBSERVATION_TIME: Duration = Duration::from_secs(3);

/// The work that a run is expected to cause for an organisation.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkClaim {
    /// The organisation.
    pub organisation: OrganisationTag,
    /// Estimated work, in slot time.
    pub work: Duration,
    /// Requests that the upstream runs concurrently.
    pub slots: u32,
}

/// An organisation's part of a service's work.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct OrganisationShare {
    /// Part of the work that was done for the organisation, from 0 to 1.
    pub used: f64,
    /// Largest part that any organisation gets under max-min fairness, from 0 to 1.
    pub fair: f64,
    /// Whether nearly all slots of the service are in use.
    pub contended: bool,
}

impl OrganisationShare {
    /// Returns whether the organisation's new programs go behind those of others.
    #[must_use]
    pub fn is_over(&self) -> bool {
        self.contended && self.used > SHARE_BOUND * self.fair
    }

    /// Returns the mean of several keepers' shares, which is contended if most of them are; `None` without shares.
    #[must_use]
    pub fn average(shares: &[Self]) -> Option<Self> {
        let count = u32::try_from(shares.len())
            .ok()
            .filter(|&count| count > 0)?;
        let contended = shares.iter().filter(|share| share.contended).count();
        Some(Self {
            used: shares.iter().map(|share| share.used).sum::<f64>() / f64::from(count),
            fair: shares.iter().map(|share| share.fair).sum::<f64>() / f64::from(count),
            contended: 2 * contended > shares.len(),
        })
    }
}

/// Returns the work of a run, in slot time, from the prompt tokens that it processes and the tokens that it generates.
#[must_use]
pub fn run_work(times: &ServiceTimes, uncached: u32, generated: u32) -> Duration {
    let prefill_seconds = f64::from(uncached) / times.prefill_rate() / 1000.0;
    Duration::from_secs_f64(prefill_seconds) + times.token() * generated
}

/// Use of the slots of several engines, as reported by run starts and ends.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlotUse {
    runs: f64,
    slots: f64,
    free: f64,
}

impl SlotUse {
    /// Adds an engine. Requests that wait at it do not take the free slots of another.
    pub fn add(&mut self, runs: u32, slots: u32) {
        self.runs += f64::from(runs);
        self.slots += f64::from(slots);
        self.free += f64::from(slots.saturating_sub(runs));
    }

    /// Returns whether nearly no slot is free.
    #[must_use]
    pub fn is_contended(&self) -> bool {
        self.slots > 0.0 && self.free <= MAX_FREE_PART * self.slots
    }

    /// Returns the part of the runs that have a slot; the others wait.
    fn served_part(&self) -> f64 {
        if self.runs <= 0.0 {
            return 1.0;
        }
        ((self.slots - self.free) / self.runs).min(1.0)
    }
}

/// Work of an organisation, in seconds of slot time.
#[derive(Clone, Copy, Debug)]
struct WorkSums {
    /// Work of runs that have ended with a result.
    done: f64,
    /// Estimated work of runs that have not ended.
    running: f64,
    /// Estimated work of runs that ended without a result. It counts as asked for: a full engine refuses requests.
    refused: f64,
    updated: Instant,
}

impl WorkSums {
    fn new(now: Instant) -> Self {
        Self {
            done: 0.0,
            running: 0.0,
            refused: 0.0,
            updated: now,
        }
    }

    fn decayed(&self, now: Instant) -> Self {
        let factor = decay(self.updated, now);
        Self {
            done: self.done * factor,
            running: self.running * factor,
            refused: self.refused * factor,
            updated: now,
        }
    }

    fn asked(&self) -> f64 {
        self.done + self.running + self.refused
    }
}

/// The max-min share of a service at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareLevel {
    /// Largest part of the work that any organisation gets, from 0 to 1.
    fair: f64,
    /// Work done for all organisations, in seconds of slot time.
    done: f64,
    contended: bool,
}

/// Work of a service's engines, by organisation.
#[derive(Debug, Default)]
pub struct WorkTable {
    sums: HashMap<OrganisationTag, WorkSums>,
}

impl WorkTable {
    /// Adds the estimated work of a run that begins.
    pub fn begin(&mut self, claim: &WorkClaim, now: Instant) {
        if self.sums.len() >= ORGANISATION_LIMIT && !self.sums.contains_key(&claim.organisation) {
            self.drop_least(now);
        }
        let sums = self.current(claim.organisation, now);
        sums.running += claim.work.as_secs_f64();
    }

    /// Replaces the estimated work of a run by the work that was done; zero if it ended without a result.
    pub fn end(&mut self, claim: &WorkClaim, begun: Instant, work: Duration, now: Instant) {
        if !self.sums.contains_key(&claim.organisation) {
            return;
        }
        let sums = self.current(claim.organisation, now);
        let estimated = claim.work.as_secs_f64() * decay(begun, now);
        sums.running = (sums.running - estimated).max(0.0);
        if work.is_zero() {
            sums.refused += estimated;
        } else {
            sums.done += work.as_secs_f64();
        }
    }

    /// Returns the number of organisations.
    #[must_use]
    pub fn organisation_count(&self) -> usize {
        self.sums.len()
    }

    /// Returns the max-min share of the work that the engines have room for.
    #[must_use]
    pub fn level(&self, slots: &SlotUse, now: Instant) -> ShareLevel {
        let (mut done, mut accepted) = (0.0, 0.0);
        let mut asked = Vec::with_capacity(self.sums.len());
        for sums in self.sums.values() {
            let sums = sums.decayed(now);
            done += sums.done;
            accepted += sums.done + sums.running;
            asked.push(sums.asked());
        }
        // Refused attempts are demand, but show no capacity.
        let room = accepted * slots.served_part();
        let fair = if room > 0.0 {
            max_min_share(asked, room) / room
        } else {
            1.0
        };
        ShareLevel {
            fair,
            done,
            contended: slots.is_contended(),
        }
    }

    /// Returns an organisation's share; `None` if no work has been done.
    #[must_use]
    pub fn share(
        &self,
        organisation: OrganisationTag,
        level: &ShareLevel,
        now: Instant,
    ) -> Option<OrganisationShare> {
        if level.done <= 0.0 {
            return None;
        }
        let sums = self.sums.get(&organisation);
        let done = sums.map_or(0.0, |sums| sums.decayed(now).done);
        Some(OrganisationShare {
            used: done / level.done,
            fair: level.fair,
            contended: level.contended,
        })
    }

    fn current(&mut self, organisation: OrganisationTag, now: Instant) -> &mut WorkSums {
        let sums = self.sums.entry(organisation);
        let sums = sums.or_insert_with(|| WorkSums::new(now));
        *sums = sums.decayed(now);
        sums
    }

    fn drop_least(&mut self, now: Instant) {
        let asked = |sums: &WorkSums| sums.decayed(now).asked();
        let least = self
            .sums
            .iter()
            .min_by(|(_, one), (_, other)| asked(one).total_cmp(&asked(other)));
        if let Some(organisation) = least.map(|(&organisation, _)| organisation) {
            self.sums.remove(&organisation);
        }
    }
}

/// Returns the largest amount that anyone gets if `room` is divided by max-min fairness; the largest amount asked for
/// if there is room for all.
#[must_use]
pub fn max_min_share(mut asked: Vec<f64>, room: f64) -> f64 {
    asked.sort_unstable_by(f64::total_cmp);
    let mut rest = room;
    let mut unserved = u32::try_from(asked.len()).unwrap_or(u32::MAX);
    for &amount in &asked {
        let equal_part = rest / f64::from(unserved);
        if amount > equal_part {
            return equal_part;
        }
        rest -= amount;
        unserved -= 1;
    }
    asked.last().copied().unwrap_or(room)
}

fn decay(since: Instant, now: Instant) -> f64 {
    let passed = now.saturating_duration_since(since).as_secs_f64();
    (-passed / HALF_LIFE.as_secs_f64()).exp2()
}
