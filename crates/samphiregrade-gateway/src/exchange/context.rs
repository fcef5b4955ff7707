//! What all requests of an entry instance share.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};

use super::limit_desk::EntryLimiter;
use super::turn_cache::TurnCache;
use crate::access::{BootTime, KeyFreshness};
use crate::dialect::Dialect;
use crate::fact::KeeperClient;
use crate::hold::lock_ignoring_poison;
use crate::model::{DomainId, ServiceName, ServiceRecord};
use crate::observe::GatewayMetrics;
use crate::routing::RouteTable;
use crate::settings::OrganisationSection;
use crate::upstream::{
    AnsweredRequest, OutcomeTracker, PrefixShares, ServiceTimes, UpstreamDirectory,
};

/// The times of an instance that was told to stop.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    told: Instant,
    /// When what is under way is given up.
    gives_up: Instant,
}

/// Shared state of an entry instance.
pub struct EntryContext {
    /// Names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The newest configuration; `None` until one is known.
    pub routes: ArcSwapOption<RouteTable>,
    /// The upstreams.
    pub directory: Arc<ArcSwap<UpstreamDirectory>>,
    /// The keepers; `None` until the deployment's authority is known.
    pub keepers: ArcSwapOption<KeeperClient>,
    /// How often first parts of prompts are seen here.
    pub first_parts: PrefixShares,
    /// Chains of turns that ended here.
    pub turns: TurnCache,
    /// What became of requests at upstreams.
    pub outcomes: Arc<OutcomeTracker>,
    /// What requests of each service take.
    times: Mutex<HashMap<ServiceName, ServiceTimes>>,
    /// What is held of organisations' limits.
    pub limits: EntryLimiter,
    /// How fresh what is known of keys is.
    pub freshness: KeyFreshness,
    /// Counters.
    pub metrics: Arc<GatewayMetrics>,
    /// Failure domain of the instance.
    pub domain: DomainId,
    stopping: OnceLock<StopTimes>,
    connections: AtomicU32,
    /// Clients' connections since the start.
    accepted: AtomicU64,
    requests: AtomicU32,
}

impl EntryContext {
    /// Makes the state of an instance that knows nothing yet.
    #[must_use]
    pub fn new(
        dialect: Arc<dyn Dialect>,
        directory: Arc<ArcSwap<UpstreamDirectory>>,
        metrics: Arc<GatewayMetrics>,
        domain: DomainId,
        turns: TurnCache,
        instance: &str,
        organisations: &OrganisationSection,
    ) -> Self {
        Self {
            dialect,
            routes: ArcSwapOption::empty(),
            directory,
            keepers: ArcSwapOption::empty(),
            first_parts: PrefixShares::default(),
            turns,
            outcomes: Arc::default(),
            times: Mutex::default(),
            limits: EntryLimiter::new(instance, organisations),
            freshness: KeyFreshness::new(organisations.freshness_rule()),
            metrics,
            domain,
            stopping: OnceLock::new(),
            connections: AtomicU32::new(0),
            accepted: AtomicU64::new(0),
            requests: AtomicU32::new(0),
        }
    }

    /// Returns what requests of a service take, as far as is known.
    #[must_use]
    pub fn service_times(&self, service: &ServiceRecord) -> ServiceTimes {
        let times = lock_ignoring_poison(&self.times);
        let known = times.get(&service.name).copied();
        known.unwrap_or_else(|| first_times(service))
    }

    /// Notes how a request of a service went.
    pub fn record_times(&self, service: &ServiceRecord, answered: &AnsweredRequest) {
        let mut times = lock_ignoring_poison(&self.times);
        times
            .entry(service.name.clone())
            .or_insert_with(|| first_times(service))
            .note(answered);
    }

    /// Returns whether the instance takes new connections.
    ///
    /// One that is cut off from the keepers can't serve turns; clients are better off elsewhere.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let serves = self.routes.load().is_some() && self.cut_off_for().is_zero();
        serves && self.has_fresh_keys() && !self.is_stopping()
    }

    /// Returns whether requests with keys can be served: no key that may have been withdrawn for too long is.
    #[must_use]
    pub fn has_fresh_keys(&self) -> bool {
        !self.asks_for_keys() || self.freshness.permits_known_keys(BootTime::now())
    }

    /// Returns whether callers need keys.
    #[must_use]
    pub fn asks_for_keys(&self) -> bool {
        let routes = self.routes.load();
        routes.as_ref().is_some_and(|table| table.keys().is_some())
    }

    /// Returns how long the instance has been cut off from the keepers; zero while it isn't.
    #[must_use]
    pub fn cut_off_for(&self) -> Duration {
        let keepers = self.keepers.load();
        keepers
            .as_ref()
            .map_or(Duration::ZERO, |keepers| keepers.cut_off_for())
    }

    /// Returns whether clients should open their next connection anew: it then goes to an instance that is
    /// ready.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.is_stopping() || !self.cut_off_for().is_zero() || !self.has_fresh_keys()
    }

    /// Notes that the instance was told to stop, and how long after it what is under way is given up.
    pub fn begin_stopping(&self, time_left: Duration) {
        let told = Instant::now();
        let gives_up = told + time_left;
        // Told a second time, it is stopping already.
        let _ = self.stopping.set(StopTimes { told, gives_up });
    }

    /// Returns whether the instance is about to stop.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns how long ago the instance was told to stop; `None` where it wasn't.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        self.stopping.get().map(|times| times.told.elapsed())
    }

    /// Returns whether a request that must be answered by a time will have been before the instance ends.
    #[must_use]
    pub fn can_complete_by(&self, due: Instant) -> bool {
        self.stopping
            .get()
            .is_none_or(|times| due <= times.gives_up)
    }

    /// Returns the open connections of clients.
    #[must_use]
    pub fn open_connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns how many connections of clients were accepted since the start.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the longest time that any route gives a request; zero without a configuration.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or(Duration::ZERO, |table| table.longest_timeout())
    }

    /// Returns the requests that have come and have not ended.
    #[must_use]
    pub fn open_requests(&self) -> u32 {
        self.requests.load(Ordering::Relaxed)
    }

    pub(super) fn begin_request(&self) {
        self.requests.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_request(&self) {
        self.requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// Counts a client's connection until the guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        self.accepted.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }
}

fn first_times(service: &ServiceRecord) -> ServiceTimes {
    match service.engine {
        Some(_) => ServiceTimes::of_engine(),
        None => ServiceTimes::of_plain(),
    }
}

/// A client's connection that counts as open.
pub(crate) struct ConnectionGuard(Arc<EntryContext>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
