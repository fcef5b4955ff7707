//! State shared by all requests of an entry instance.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};

use super::client_memory::{ClientMemory, MachineLimits};
use super::limit_desk::EntryLimiter;
use super::slow_readers::SlowReaders;
use super::suspects::SuspectTable;
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
    AffinityTracker, AnsweredRequest, OutcomeTracker, PrefixShares, ServiceTimes, ShareBoard,
    SpeedBoard, UpstreamDirectory,
};

/// Times of a shutdown.
#[derive(Clone, Copy, Debug)]
struct StopTimes {
    signalled_at: Instant,
    /// When the requests in progress are aborted.
    aborts_at: Instant,
}

/// Shared state of an entry instance.
pub struct EntryContext {
    /// Header names and formats of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// The newest configuration; `None` until one has been received.
    pub routes: ArcSwapOption<RouteTable>,
    /// The known upstreams.
    pub directory: Arc<ArcSwap<UpstreamDirectory>>,
    /// Client of the keepers; `None` until the deployment's certificate authority is known.
    pub keepers: ArcSwapOption<KeeperClient>,
    /// Frequencies of the shared prefixes of prompts at this instance.
    pub prefix_shares: PrefixShares,
    /// Chains of turns that this instance completed.
    pub turns: TurnCache,
    /// Outcomes of requests, by upstream.
    pub outcomes: Arc<OutcomeTracker>,
    /// Requests under which upstreams have ended.
    pub suspects: SuspectTable,
    /// Speeds of upstreams.
    pub speeds: Arc<SpeedBoard>,
    /// Whether speeds are learned from response times of upstreams that don't report how long work takes.
    pub learns_speeds: bool,
    /// Organisations above their fair share of an engine service.
    pub shares: ShareBoard,
    /// Measured affinity of requests to upstreams, by service.
    pub affinity: AffinityTracker,
    /// Measured request times, by service.
    times: Mutex<HashMap<ServiceName, ServiceTimes>>,
    /// Bounds of what connections and requests of clients hold.
    pub clients: ClientMemory,
    /// Bounds of what is buffered for clients that read slowly.
    pub slow_readers: SlowReaders,
    /// Local allowances of the organisations' limits.
    pub limits: EntryLimiter,
    /// Freshness of the known keys.
    pub freshness: KeyFreshness,
    /// Counters of the gateway.
    pub metrics: Arc<GatewayMetrics>,
    /// Failure domain of the instance.
    pub domain: DomainId,
    stopping: OnceLock<StopTimes>,
    connections: AtomicU32,
    /// Client connections accepted since the start.
    accepted: AtomicU64,
    requests: AtomicU32,
}

impl EntryContext {
    /// Creates the state of an instance that has not received a configuration yet.
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
            prefix_shares: PrefixShares::default(),
            turns,
            outcomes: Arc::default(),
            suspects: SuspectTable::default(),
            speeds: Arc::default(),
            learns_speeds: false,
            shares: ShareBoard::default(),
            affinity: AffinityTracker::default(),
            times: Mutex::default(),
            clients: ClientMemory::new(MachineLimits::default()),
            slow_readers: SlowReaders::new(MachineLimits::default().memory),
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

    /// Sets what the machine offers.
    #[must_use]
    pub fn on_machine(self, machine: MachineLimits) -> Self {
        Self {
            clients: ClientMemory::new(machine),
            slow_readers: SlowReaders::new(machine.memory),
            ..self
        }
    }

    /// Sets whether speeds are learned from response times.
    #[must_use]
    pub fn with_learned_speeds(self, learns_speeds: bool) -> Self {
        Self {
            learns_speeds,
            ..self
        }
    }

    /// Returns the measured request times of a service, or the defaults if none were measured.
    #[must_use]
    pub fn service_times(&self, service: &ServiceRecord) -> ServiceTimes {
        let times = lock_ignoring_poison(&self.times);
        let known = times.get(&service.name).copied();
        known.unwrap_or_else(|| default_times(service))
    }

    /// Records the times of a completed request of a service.
    pub fn record_times(&self, service: &ServiceRecord, answered: &AnsweredRequest) {
        let mut times = lock_ignoring_poison(&self.times);
        times
            .entry(service.name.clone())
            .or_insert_with(|| default_times(service))
            .note(answered);
    }

    /// Returns whether the instance is ready for new connections.
    ///
    /// An instance that is cut off from the keepers can't serve turns, so clients should use another one.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let reaches_keepers = self.cut_off_for().is_zero() && !self.is_cut_off_suspected();
        let serves = self.routes.load().is_some() && reaches_keepers;
        serves && self.has_fresh_keys() && !self.is_stopping()
    }

    /// Returns whether requests with keys can be served: the known keys are recent enough to exclude a key that was
    /// withdrawn longer ago than allowed.
    #[must_use]
    pub fn has_fresh_keys(&self) -> bool {
        !self.asks_for_keys() || self.freshness.permits_known_keys(BootTime::now())
    }

    /// Returns whether the configuration requires callers to have keys.
    #[must_use]
    pub fn asks_for_keys(&self) -> bool {
        let routes = self.routes.load();
        routes.as_ref().is_some_and(|table| table.keys().is_some())
    }

    /// Returns for how long the instance has been cut off from the keepers; zero if it is connected.
    #[must_use]
    pub fn cut_off_for(&self) -> Duration {
        let keepers = self.keepers.load();
        keepers
            .as_ref()
            .map_or(Duration::ZERO, |keepers| keepers.cut_off_for())
    }

    /// Returns whether the instance may be cut off from the keepers.
    #[must_use]
    pub fn is_cut_off_suspected(&self) -> bool {
        let keepers = self.keepers.load();
        keepers
            .as_ref()
            .is_some_and(|keepers| keepers.is_cut_off_suspected())
    }

    /// Returns whether clients should reconnect for their next request, so that it goes to an instance that is ready.
    #[must_use]
    pub fn closes_connections(&self) -> bool {
        self.is_stopping() || !self.cut_off_for().is_zero() || !self.has_fresh_keys()
    }

    /// Records the signal to stop, and the time after it at which the requests in progress are aborted.
    pub fn begin_stopping(&self, time_left: Duration) {
        let signalled_at = Instant::now();
        let aborts_at = signalled_at + time_left;
        // A second signal has no effect: the instance is already stopping.
        let _ = self.stopping.set(StopTimes {
            signalled_at,
            aborts_at,
        });
    }

    /// Returns whether the instance is stopping.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping.get().is_some()
    }

    /// Returns the time since the signal to stop; `None` if there was none.
    #[must_use]
    pub fn stopping_for(&self) -> Option<Duration> {
        self.stopping
            .get()
            .map(|times| times.signalled_at.elapsed())
    }

    /// Returns whether a request that is due at a time is finished before the remaining requests are aborted.
    #[must_use]
    pub fn can_complete_by(&self, due: Instant) -> bool {
        self.stopping
            .get()
            .is_none_or(|times| due <= times.aborts_at)
    }

    /// Returns the number of open client connections.
    #[must_use]
    pub fn open_connections(&self) -> u32 {
        self.connections.load(Ordering::Relaxed)
    }

    /// Returns the number of client connections accepted since the start.
    #[must_use]
    pub fn accepted_connections(&self) -> u64 {
        self.accepted.load(Ordering::Relaxed)
    }

    /// Returns the longest request timeout of all routes; zero without a configuration.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let routes = self.routes.load();
        routes
            .as_ref()
            .map_or(Duration::ZERO, |table| table.longest_timeout())
    }

    /// Returns the number of requests in progress.
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

    /// Counts a client connection as open until the guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> ConnectionGuard {
        self.connections.fetch_add(1, Ordering::Relaxed);
        self.accepted.fetch_add(1, Ordering::Relaxed);
        ConnectionGuard(self.clone())
    }
}

fn default_times(service: &ServiceRecord) -> ServiceTimes {
    match service.engine {
        Some(_) => ServiceTimes::of_engine(),
        None => ServiceTimes::of_plain(),
    }
}

/// Guard of a client connection that counts as open.
pub(crate) struct ConnectionGuard(Arc<EntryContext>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}
