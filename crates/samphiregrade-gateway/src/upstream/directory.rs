//! Directory of the upstreams of each service, built from the records in the platform's key-value service.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use serde::Serialize;

use super::peer::{DomainMonitor, Upstream};
use crate::model::{
    DomainId, ServiceName, UpstreamId, UpstreamRecord, UpstreamStart, UpstreamState,
};
use crate::observe::Logbook;

/// Time after an outage of the key-value service within which upstreams whose records have expired register again: all
/// are back within about two seconds.
pub const REREGISTRATION_TIME: Duration = Duration::from_millis(2200);

/// Share of the drain time for which an upstream without a record may still be used as a last resort.
const DEPARTURE_SHARE: f64 = 0.5;

/// How long an upstream serves after it has announced its end, and is kept after its record was removed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DepartureRule {
    /// Time after the announcement of its end for which an upstream serves at least.
    pub announced_time: Duration,
    /// Delay while the key-value service is available.
    pub normal_delay: Duration,
    /// Delay after an outage of the key-value service.
    pub outage_delay: Duration,
}

impl DepartureRule {
    /// Returns the rule for a drain time, after which an upstream that leaves must not receive requests any more.
    #[must_use]
    pub fn for_drain(drain: Duration) -> Self {
        Self {
            announced_time: drain,
            normal_delay: drain.mul_f64(DEPARTURE_SHARE),
            outage_delay: REREGISTRATION_TIME,
        }
    }
}

/// Snapshot of the upstreams of each service.
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

    /// Returns the upstreams of all services.
    pub fn all(&self) -> impl Iterator<Item = &Arc<Upstream>> {
        self.services.values().flatten()
    }
}

#[derive(Serialize)]
struct UpstreamLine<'line> {
    upstream: &'line str,
    started: Option<UpstreamStart>,
    service: &'line str,
    software: &'line str,
    domain: &'line str,
    address: String,
}

struct Departure {
    id: UpstreamId,
    drop_at: Instant,
}

/// Keeps the directory up to date. A single task owns the registry; requests read the directory.
pub struct UpstreamRegistry {
    directory: Arc<ArcSwap<UpstreamDirectory>>,
    known: HashMap<UpstreamId, Arc<Upstream>>,
    domains: HashMap<DomainId, Arc<DomainMonitor>>,
    departures: Vec<Departure>,
    rule: DepartureRule,
    recovering_until: Option<Instant>,
}

impl UpstreamRegistry {
    /// Returns an empty registry.
    #[must_use]
    pub fn new(rule: DepartureRule) -> Self {
        Self {
            directory: Arc::default(),
            known: HashMap::new(),
            domains: HashMap::new(),
            departures: Vec::new(),
            rule,
            recovering_until: None,
        }
    }

    /// Returns the directory that requests read.
    #[must_use]
    pub fn directory(&self) -> Arc<ArcSwap<UpstreamDirectory>> {
        self.directory.clone()
    }

    /// Records that the key-value service has been unavailable until now, and postpones pending removals.
    pub fn record_store_outage(&mut self, now: Instant) {
        self.recovering_until = Some(now + REREGISTRATION_TIME);
        for departure in &mut self.departures {
            departure.drop_at = departure.drop_at.max(now + self.rule.outage_delay);
        }
    }

    /// Applies an upstream's record.
    ///
    /// A record of another start of a known upstream replaces the upstream with a new one, of which nothing is known
    /// yet. A record of an earlier start is outdated and ignored.
    pub fn put(&mut self, record: UpstreamRecord, now: Instant) {
        if self.apply(record, now) {
            self.publish();
        }
    }

    /// Applies an upstream's record without publishing the directory; returns whether it has to be published.
    ///
    /// Publishing after each of many records would take time that grows with the square of their number.
    pub(crate) fn apply(&mut self, record: UpstreamRecord, now: Instant) -> bool {
        let Some(known) = self.known.get(&record.id) else {
            log_upstream("upstream-added", &record);
            self.add(record, now);
            return true;
        };
        if known.record.is_after(&record) {
            log_upstream("upstream-entry-outdated", &record);
            return false;
        }
        self.departures
            .retain(|departure| departure.id != record.id);
        if !known.record.is_same_start(&record) {
            log_upstream("upstream-started-again", &record);
            known.set_draining(true);
            known.record_replacement();
            self.add(record, now);
            return true;
        }
        let draining = record.state == UpstreamState::Draining;
        known.set_departed(false);
        if known.takes_requests() == draining {
            known.set_draining(draining);
            known.set_announced_end(draining.then_some(now + self.rule.announced_time));
            let event = if draining {
                "upstream-draining"
            } else {
                "upstream-ready"
            };
            log_upstream(event, &record);
        }
        false
    }

    /// Adds an upstream, replacing a known one with the same id.
    fn add(&mut self, record: UpstreamRecord, now: Instant) {
        let domain = self.domains.entry(record.domain.clone()).or_default();
        let draining = record.state == UpstreamState::Draining;
        let upstream = Upstream::new(record, domain.clone(), now);
        upstream.set_draining(draining);
        upstream.set_announced_end(draining.then_some(now + self.rule.announced_time));
        self.known
            .insert(upstream.record.id.clone(), Arc::new(upstream));
    }

    /// Takes an upstream out of use whose record can't be decoded any more, whoever wrote the record. A valid record
    /// brings the upstream back.
    pub fn reject(&mut self, id: &UpstreamId, now: Instant) {
        let Some(upstream) = self.known.get(id) else {
            return;
        };
        upstream.set_draining(true);
        self.remove(id, now);
    }

    /// Marks an upstream as departed whose record was removed, and schedules dropping it.
    pub fn remove(&mut self, id: &UpstreamId, now: Instant) {
        let Some(upstream) = self.known.get(id) else {
            return;
        };
        if self.departures.iter().any(|departure| departure.id == *id) {
            return;
        }
        upstream.set_departed(true);
        let recovering = self.recovering_until.is_some_and(|until| now < until);
        let delay = if recovering {
            self.rule.outage_delay
        } else {
            self.rule.normal_delay
        };
        log_upstream("upstream-entry-gone", &upstream.record);
        self.departures.push(Departure {
            id: id.clone(),
            drop_at: now + delay,
        });
    }

    /// Applies the complete set of records: upstreams without a record are removed. Records that can't be decoded are
    /// passed to `reject` before.
    pub fn replace(&mut self, records: Vec<UpstreamRecord>, now: Instant) {
        let present: HashSet<&UpstreamId> = records.iter().map(|record| &record.id).collect();
        let missing: Vec<UpstreamId> = self
            .known
            .keys()
            .filter(|id| !present.contains(id))
            .cloned()
            .collect();
        for id in missing {
            self.remove(&id, now);
        }
        let mut changed = false;
        for record in records {
            changed |= self.apply(record, now);
        }
        if changed {
            self.publish();
        }
    }

    /// Drops departed upstreams whose delay has passed; returns when to call this method again.
    pub fn drop_departed(&mut self, now: Instant) -> Option<Instant> {
        let due: Vec<UpstreamId> = self
            .departures
            .iter()
            .filter(|departure| departure.drop_at <= now)
            .map(|departure| departure.id.clone())
            .collect();
        self.departures.retain(|departure| departure.drop_at > now);
        for id in &due {
            if let Some(upstream) = self.known.remove(id) {
                upstream.set_draining(true);
                log_upstream("upstream-dropped", &upstream.record);
            }
        }
        if !due.is_empty() {
            self.publish();
        }
        self.departures
            .iter()
            .map(|departure| departure.drop_at)
            .min()
    }

    /// Publishes the directory that requests read.
    pub(crate) fn publish(&self) {
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
        software: &record.software,
        domain: &record.domain,
        address: record.address.to_string(),
    };
    Logbook::global().record(event, &line);
}
