//! An entry's measured affinity of each service, and the objects that are requested often.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Instant;

use serde::Serialize;

use super::affinity::{AffinityGain, AffinityPlan, AffinitySample, ObjectTag, UnixSeconds};
use super::homes::PrefixShares;
use crate::hold::lock_ignoring_poison;
use crate::model::ServiceName;
use crate::observe::Logbook;

/// Change of the gain, as a share of the slot time, from which it is logged.
const LOGGED_CHANGE: f64 = 0.1;

#[derive(Debug, Default)]
struct ServiceAffinity {
    gain: AffinityGain,
    logged: f64,
    objects: PrefixShares,
}

/// A planned request for an object.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannedAffinity {
    /// How the request is placed.
    pub plan: AffinityPlan,
    /// The object's share of the service's requests for objects.
    pub share: f64,
}

#[derive(Serialize)]
struct GainLine<'line> {
    service: &'line str,
    gain_share: f64,
    evidence: f64,
}

/// Affinity of all services; each entry has one instance.
#[derive(Debug, Default)]
pub struct AffinityTracker {
    services: Mutex<HashMap<ServiceName, ServiceAffinity>>,
}

/// Recent requests for an object below which it has one home: entries would disagree on the number of homes.
const MIN_COUNT: f64 = 4.0;

impl AffinityTracker {
    /// Counts a request for an object, and returns how it is placed; `draw` is from 0 to 1.
    pub fn plan(
        &self,
        service: &ServiceName,
        object: ObjectTag,
        time: UnixSeconds,
        draw: f64,
        now: Instant,
    ) -> PlannedAffinity {
        let mut services = lock_ignoring_poison(&self.services);
        let affinity = services.entry(service.clone()).or_default();
        PlannedAffinity {
            plan: affinity.gain.plan(object, time, draw),
            share: affinity.objects.count_frequent(object, MIN_COUNT, now),
        }
    }

    /// Adds the time of a completed request for an object of a service.
    pub fn note(&self, service: &ServiceName, sample: &AffinitySample, now: Instant) {
        let mut services = lock_ignoring_poison(&self.services);
        let affinity = services.entry(service.clone()).or_default();
        affinity.gain.note(sample, now);
        let share = affinity.gain.share();
        let crosses_zero = (share > 0.0) != (affinity.logged > 0.0);
        let step = (share - affinity.logged).abs();
        if step < LOGGED_CHANGE && !(crosses_zero && share <= 0.0) {
            return;
        }
        affinity.logged = share;
        let line = GainLine {
            service,
            gain_share: (share * 100.0).round() / 100.0,
            evidence: affinity.gain.evidence().round(),
        };
        Logbook::global().record("affinity-gain", &line);
    }

    /// Returns the measured gain of a service as a share of the slot time.
    #[must_use]
    pub fn gain(&self, service: &ServiceName) -> f64 {
        let services = lock_ignoring_poison(&self.services);
        services
            .get(service)
            .map_or(0.0, |affinity| affinity.gain.share())
    }
}
