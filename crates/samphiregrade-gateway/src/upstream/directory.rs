//! Who serves what, as the platform's key-value service tells it.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use serde::Serialize;

use super::peer::{DomainSilence, Upstream};
use crate::model::{
    DomainId, ServiceName, UpstreamId, UpstreamRecord, UpstreamStart, UpstreamState,
};
use crate::observe::Logbook;

/// Time after the key-value service's return within which lapsed entries come back: they are back within
/// about two seconds.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// Part of the time for draining for which an upstream without an entry may still be used as a last resort.
const DEPARTURE_SHARE: f64 = 0.5;

/// How long an upstream is kept after its entry has gone.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DepartureRule {
    /// While the key-value service is steady.
    pub steady: Duration,
    /// After an outage of it.
    pub unsettled: Duration,
}

impl DepartureRule {
    /// Makes the rule for the time within which an upstream that leaves must get nothing more.
    #[must_use]
    pub fn for_drain(drain: Duration) -> Self {
        Self {
            steady: drain.mul_f64(DEPARTURE_SHARE),
            unsettled: REREGISTRATION_TIME,
        }
    }
}

/// The upstreams of each service, as they are at one moment.
#[derive(Default)]
pub struct UpstreamDirectory {
    services: HashMap<ServiceName, Vec<Arc<Upstream>>>,
}

impl UpstreamDirectory {
    /// Returns the upstreams of a service.
    #[must_use]
    pub fn of(&self, service: &str) -> &[Arc<Upstream>] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all upstreams.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.services.values().flatten()
    }
}

#[derive(Serialize)]
struct UpstreamLine<'line> {
    upstream: &'line str,
    started: Option<UpstreamStart>,
    service: &'line str,
    domain: &'line str,
    address: String,
}

struct Departure {
    id: UpstreamId,
    at: Instant,
}

/// Keeps the directory up to date. One task owns it; requests read the directory.
pub struct UpstreamRegistry {
    directory: Arc<ArcSwap<UpstreamDirectory>>,
    known: HashMap<UpstreamId, Arc<Upstream>>,
    domains: HashMap<DomainId, Arc<DomainSilence>>,
    departures: Vec<Departure>,
    rule: DepartureRule,
    unsettled_until: Option<Instant>,
}

impl UpstreamRegistry {
    /// Makes an empty registry.
    #[must_use]
    pub fn new(rule: DepartureRule) -> Self {
        Self {
            directory: Arc::default(),
            known: HashMap::new(),
            domains: HashMap::new(),
            departures: Vec::new(),
            rule,
            unsettled_until: None,
        }
    }

    /// Returns the directory that requests read.
    #[must_use]
    pub fn directory(&self) -> Arc<ArcSwap<UpstreamDirectory>> {
        self.directory.clone()
    }

    /// Notes that the key-value service has been unreachable until now.
    pub fn record_store_outage(&mut self, now: Instant) {
        self.unsettled_until = Some(now + REREGISTRATION_TIME);
        for departure in &mut self.departures {
            departure.at = departure.at.max(now + self.rule.unsettled);
        }
    }

    /// Takes an entry.
    ///
    /// One that describes another start of a known upstream makes it a new one, of which nothing is known; one that
    /// describes a start that is over comes too late and says nothing.
    pub fn put(&mut self, record: UpstreamRecord, now: Instant) {
        let Some(known) = self.known.get(&record.id) else {
            log_upstream("upstream-added", &record);
            self.add(record, now);
            return;
        };
        if known.record.is_after(&record) {
            log_upstream("upstream-entry-outdated", &record);
            return;
        }
        self.departures
            .retain(|departure| departure.id != record.id);
        if !known.record.is_same_start(&record) {
            log_upstream("upstream-started-again", &record);
            known.set_draining(true);
            self.add(record, now);
            return;
        }
        let draining = record.state == UpstreamState::Draining;
        known.set_departed(false);
        if known.takes_requests() == draining {
            known.set_draining(draining);
            let event = if draining {
                "upstream-draining"
            } else {
                "upstream-ready"
            };
            log_upstream(event, &record);
        }
    }

    /// Starts to keep track of an upstream, in place of a known one with its id.
    fn add(&mut self, record: UpstreamRecord, now: Instant) {
        let domain = self.domains.entry(record.domain.clone()).or_default();
        let draining = record.state == UpstreamState::Draining;
        let upstream = Upstream::new(record, domain.clone(), now);
        upstream.set_draining(draining);
        self.known
            .insert(upstream.record.id.clone(), Arc::new(upstream));
        self.publish();
    }

    /// Notes that an entry can't be read any more: it names no upstream to use, whoever wrote it. A readable one brings
    /// the upstream back.
    pub fn reject(&mut self, id: &UpstreamId, now: Instant) {
        let Some(upstream) = self.known.get(id) else {
            return;
        };
        upstream.set_draining(true);
        self.remove(id, now);
    }

    /// Notes that an entry is gone.
    pub fn remove(&mut self, id: &UpstreamId, now: Instant) {
        let Some(upstream) = self.known.get(id) else {
            return;
        };
        if self.departures.iter().any(|departure| departure.id == *id) {
            return;
        }
        upstream.set_departed(true);
        let unsettled = self.unsettled_until.is_some_and(|until| now < until);
        let wait = if unsettled {
            self.rule.unsettled
        } else {
            self.rule.steady
        };
        log_upstream("upstream-entry-gone", &upstream.record);
        self.departures.push(Departure {
            id: id.clone(),
            at: now + wait,
        });
    }

    /// Takes all entries as they are: those that are missing are gone. Those that can't be read are rejected before.
    pub fn replace(&mut self, entries: Vec<UpstreamRecord>, now: Instant) {
        let missing: Vec<UpstreamId> = self
            .known
            .keys()
            .filter(|id| !entries.iter().any(|record| record.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        for record in entries {
            self.put(record, now);
        }
    }

    /// Drops upstreams whose time has come; returns when to look again.
    pub fn drop_departed(&mut self, now: Instant) -> Option<Instant> {
        let due: Vec<UpstreamId> = self
            .departures
            .iter()
            .filter(|departure| departure.at <= now)
            .map(|departure| departure.id.clone())
            .collect();
        self.departures.retain(|departure| departure.at > now);
        for id in &due {
            if let Some(upstream) = self.known.remove(id) {
                upstream.set_draining(true);
                log_upstream("upstream-dropped", &upstream.record);
            }
        }
        if !due.is_empty() {
            self.publish();
        }
        self.departures.iter().map(|departure| departure.at).min()
    }

    fn publish(&self) {
        let mut directory = UpstreamDirectory::default();
        for upstream in self.known.values() {
            let service = upstream.record.service.clone();
            directory
                .services
                .entry(service)
                .or_default()
                .push(upstream.clone());
        }
        for upstreams in directory.services.values_mut() {
            upstreams.sort_by(|left, right| left.record.id.cmp(&right.record.id));
        }
        self.directory.store(Arc::new(directory));
    }
}

fn log_upstream(event: &'static str, record: &UpstreamRecord) {
    let line = UpstreamLine {
        upstream: &record.id,
        started: record.started,
        service: &record.service,
        domain: &record.domain,
        address: record.address.to_string(),
    };
    Logbook::global().record(event, &line);
}
