//! State of one upstream: connections, load, circuit breaker and cache estimate.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use samphiregrade_http::wire::{SocketLimits, WireSocket};

use super::balance::{Candidate, ContentionView, LoadView};
use super::break_cause::Examination;
use super::breaker::{BreakerState, UpstreamBreaker};
use super::cache::PrefixCache;
use super::contention::UsualContention;
use super::outcome_board::OutcomeTracker;
use super::outcomes::Outcome;
use super::silence::{ResponseMonitor, WaitNumber};
use super::survival::LifeEvidence;
use crate::hold::lock_ignoring_poison;
use crate::model::{
    DomainId, PromptPart, ReportedLoad, SoftwareTag, UpstreamRecord, UpstreamTag, name_tag,
};

/// Half-life of a reported load: requests last some hundreds of milliseconds.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(250);

/// Half-life of a reported contention: contention of shared machines changes about every 600 ms.
const CONTENTION_HALF_LIFE: Duration = Duration::from_millis(300);

/// Longest time for which an idle connection is kept, even if the upstream allows more.
const MAX_IDLE: Duration = Duration::from_secs(8);

/// Longest time for which an idle connection is reused if the upstream states no idle timeout.
const DEFAULT_IDLE: Duration = Duration::from_millis(400);

/// Share of the stated idle timeout after which a connection is not reused: the upstream may close the connection while
/// a request is on its way.
const IDLE_MARGIN: f64 = 0.7;

/// Penalty of an upstream that is still warming up.
const COLD_PENALTY: Duration = Duration::from_millis(30);

/// Penalty of an upstream whose record was removed: it is used only if no other upstream is available.
const DEPARTED_PENALTY: Duration = Duration::from_secs(10);

/// Timeout for connecting to an upstream: dozens of round trips within a region. A lost packet is retransmitted only
/// after seconds, so another upstream is tried first.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Result of a connection attempt that probes the network path to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathProbe {
    /// The upstream's host responded.
    Answered,
    /// No response arrived.
    Silent,
}

struct IdleSocket {
    socket: WireSocket,
    expires: Instant,
}

#[derive(Clone, Copy)]
struct LoadReport {
    load: ReportedLoad,
    own: u32,
    at: Instant,
    usual: Option<UsualContention>,
}

/// An upstream, shared by all requests of this instance.
pub struct Upstream {
    /// The upstream's record, as first received.
    pub record: UpstreamRecord,
    /// Hash of the upstream's address, the same on every instance and over restarts.
    pub tag: u64,
    /// Hash of this start of the upstream.
    pub start_tag: UpstreamTag,
    /// Hash of the upstream's service and software version.
    pub software: SoftwareTag,
    draining: AtomicBool,
    departed: AtomicBool,
    /// When the upstream may end as it has announced.
    announced_end: Mutex<Option<Instant>>,
    in_flight: AtomicU32,
    cold_until: Instant,
    report: Mutex<Option<LoadReport>>,
    idle: Mutex<Vec<IdleSocket>>,
    breaker: Mutex<UpstreamBreaker>,
    cache: Mutex<PrefixCache>,
    monitor: Mutex<ResponseMonitor>,
    domain_monitor: Arc<DomainMonitor>,
    /// Newest examination after a request was broken off; locked while one is under way.
    examination: tokio::sync::Mutex<Option<Examination>>,
    /// What responses have shown of the process.
    evidence: Mutex<LifeEvidence>,
}

/// Response monitor that all upstreams of a failure domain share: if none of them responds, the network path to the
/// domain may be interrupted.
pub type DomainMonitor = Mutex<ResponseMonitor>;

impl Upstream {
    /// Returns the initial state of an upstream.
    #[must_use]
    pub fn new(record: UpstreamRecord, domain_monitor: Arc<DomainMonitor>, now: Instant) -> Self {
        Self {
            cold_until: now + record.cold,
            tag: name_tag(&record.address.to_string()),
            start_tag: name_tag(&format!(
                "{}/{:?}/{}",
                record.id, record.started, record.address
            )),
            software: record.software_tag(),
            record,
            draining: AtomicBool::new(false),
            departed: AtomicBool::new(false),
            announced_end: Mutex::default(),
            in_flight: AtomicU32::new(0),
            report: Mutex::default(),
            idle: Mutex::default(),
            breaker: Mutex::default(),
            cache: Mutex::default(),
            monitor: Mutex::default(),
            domain_monitor,
            examination: tokio::sync::Mutex::default(),
            evidence: Mutex::default(),
        }
    }

    pub(super) fn examination(&self) -> &tokio::sync::Mutex<Option<Examination>> {
        &self.examination
    }

    pub(super) fn evidence(&self) -> MutexGuard<'_, LifeEvidence> {
        lock_ignoring_poison(&self.evidence)
    }

    /// Sets whether the upstream is draining.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Sets whether the upstream's record was removed.
    pub fn set_departed(&self, departed: bool) {
        self.departed.store(departed, Ordering::Relaxed);
    }

    /// Returns whether the upstream may receive requests.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
    }

    /// Sets when the upstream may end as it has announced; `None` if it has not announced its end.
    pub fn set_announced_end(&self, end: Option<Instant>) {
        *lock_ignoring_poison(&self.announced_end) = end;
    }

    /// Returns whether an end at a time is one that the upstream has announced. A record that is gone announces nothing: it
    /// also lapses when the process has ended, and in outages of the key-value service.
    #[must_use]
    pub fn has_announced_end(&self, at: Instant) -> bool {
        lock_ignoring_poison(&self.announced_end).is_some_and(|end| at >= end)
    }

    /// Returns whether the upstream's breaker is closed.
    #[must_use]
    pub fn is_breaker_closed(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.breaker).state(now) == BreakerState::Closed
    }

    /// Returns the upstream as a candidate for a request. `load` is the upstream's estimated load; `home` is set if the
    /// upstream is a home of the prompt's shared prefix.
    #[must_use]
    pub fn candidate(
        &self,
        load: f64,
        prompt: &[PromptPart],
        home: bool,
        domain: &DomainId,
        now: Instant,
    ) -> Candidate {
        let uncached_tokens = if prompt.is_empty() {
            0
        } else {
            lock_ignoring_poison(&self.cache).uncached(prompt, home, now)
        };
        let departed = self.departed.load(Ordering::Relaxed);
        let penalty = match () {
            () if departed => DEPARTED_PENALTY,
            () if now < self.cold_until => COLD_PENALTY,
            () => Duration::ZERO,
        };
        let extra_delay = lock_ignoring_poison(&self.monitor).penalty(now);
        let extra_delay = extra_delay.max(lock_ignoring_poison(&self.domain_monitor).penalty(now));
        let penalty = penalty + extra_delay;
        Candidate {
            load,
            slots: f64::from(self.record.slots),
            uncached_tokens,
            in_other_domain: self.record.domain != *domain,
            connected: self.has_idle(now),
            penalty,
            ..Candidate::default()
        }
    }

    /// Returns the number of this instance's requests at the upstream.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the estimated number of requests at the upstream: this instance's, and others' according to the
    /// upstream's last response.
    #[must_use]
    pub fn load(&self, now: Instant) -> f64 {
        let view = self.load_view(now);
        view.own + view.others * view.freshness
    }

    /// Returns what is known of the upstream's load: this instance's requests, and others' according to the upstream's
    /// last response.
    #[must_use]
    pub fn load_view(&self, now: Instant) -> LoadView {
        let own = f64::from(self.own_requests());
        let Some(report) = *lock_ignoring_poison(&self.report) else {
            return LoadView {
                own,
                ..LoadView::default()
            };
        };
        let present = f64::from(report.load.running.saturating_add(report.load.waiting));
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        LoadView {
            own,
            others: (present - f64::from(report.own)).max(0.0),
            freshness: 0.5_f64.powf(age / LOAD_HALF_LIFE.as_secs_f64()),
        }
    }

    /// Returns what is known of the contention on the upstream's machine at a time, according to the upstream's last
    /// response.
    #[must_use]
    pub fn contention_view(&self, at: Instant) -> ContentionView {
        let Some(report) = *lock_ignoring_poison(&self.report) else {
            return ContentionView::default();
        };
        let percent = report.load.work_time_percent;
        let factor = report
            .usual
            .zip(percent)
            .map_or(1.0, |(usual, percent)| usual.factor(percent));
        let age = at.saturating_duration_since(report.at).as_secs_f64();
        ContentionView {
            excess: factor - 1.0,
            freshness: 0.5_f64.powf(age / CONTENTION_HALF_LIFE.as_secs_f64()),
        }
    }

    /// Counts a request as in flight at the upstream until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            upstream: self.clone(),
        }
    }

    /// Records that a request was sent whose response head should arrive at once; dropping the guard ends the wait.
    #[must_use]
    pub fn await_head(self: &Arc<Self>, outcomes: Arc<OutcomeTracker>, now: Instant) -> HeadWait {
        HeadWait {
            outcomes,
            number: lock_ignoring_poison(&self.monitor).begin_wait(now),
            domain_number: lock_ignoring_poison(&self.domain_monitor).begin_wait(now),
            upstream: self.clone(),
        }
    }

    /// Records that the upstream has sent something.
    pub fn record_response(&self, now: Instant) {
        lock_ignoring_poison(&self.monitor).record_response(now);
        self.record_domain_response(now);
    }

    /// Records that the upstream's failure domain is reachable.
    pub fn record_domain_response(&self, now: Instant) {
        lock_ignoring_poison(&self.domain_monitor).record_response(now);
    }

    /// Records that the upstream's failure domain is unreachable from this instance, as far as can be determined.
    pub fn mark_domain_unreachable(&self, now: Instant) {
        lock_ignoring_poison(&self.domain_monitor).mark_unreachable(now);
    }

    /// Returns when a response that has sent nothing for `silent` can't continue because the upstream's failure domain
    /// was found to be unreachable. The lack of data alone is no reason to abandon the response: an engine may preempt
    /// a request for that long.
    pub async fn wait_until_unreachable(&self, silent: Duration) {
        loop {
            tokio::time::sleep(silent).await;
            if self.is_domain_unreachable(Instant::now()) {
                return;
            }
        }
    }

    /// Returns whether anything arrived from the upstream's failure domain within a time.
    #[must_use]
    pub fn domain_responded_within(&self, time: Duration, now: Instant) -> bool {
        lock_ignoring_poison(&self.domain_monitor).responded_within(time, now)
    }

    /// Returns whether the upstream's failure domain was found to be unreachable.
    #[must_use]
    pub fn is_domain_unreachable(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.domain_monitor).is_unreachable(now)
    }

    /// Returns whether the failure domain has sent nothing for so long that a response that has been awaited since
    /// `waited_since` can't be expected any more.
    #[must_use]
    pub fn is_overdue(&self, waited_since: Instant, now: Instant) -> bool {
        lock_ignoring_poison(&self.domain_monitor).is_overdue(waited_since, now)
    }

    /// Records the load that a response reported.
    pub fn note_load(&self, load: ReportedLoad, now: Instant) {
        let own = self.in_flight.load(Ordering::Relaxed);
        let mut report = lock_ignoring_poison(&self.report);
        let before = report.and_then(|report| report.usual);
        let usual = load
            .work_time_percent
            .map(|percent| UsualContention::after(before, percent));
        *report = Some(LoadReport {
            load,
            own,
            at: now,
            usual: usual.or(before),
        });
    }

    /// Records that the engine has processed a prompt.
    pub fn note_prompt(&self, prompt: &[PromptPart], capacity: u64, now: Instant) {
        if !prompt.is_empty() {
            lock_ignoring_poison(&self.cache).record(prompt, capacity, now);
        }
    }

    /// Records a success; returns whether this closed the upstream's breaker.
    pub fn record_success(&self) -> bool {
        lock_ignoring_poison(&self.breaker).record_success()
    }

    /// Records a failure; returns whether this opened the upstream's breaker.
    pub fn record_failure(&self, now: Instant, certain: bool) -> bool {
        let opened = lock_ignoring_poison(&self.breaker).record_failure(now, certain);
        if opened {
            lock_ignoring_poison(&self.idle).clear();
        }
        opened
    }

    /// Probes the network path by opening a connection, which is kept for a request if that succeeds.
    pub async fn probe_path(&self) -> PathProbe {
        match self.connect().await {
            Ok(socket) => {
                self.keep_idle(socket, None, Instant::now());
                PathProbe::Answered
            }
            Err(error) if error.kind() == io::ErrorKind::TimedOut => PathProbe::Silent,
            Err(error) => {
                // A host that refuses a connection is reachable.
                log::debug!("upstream {}: {error}", self.record.id);
                self.record_domain_response(Instant::now());
                PathProbe::Answered
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error, or a timeout.
    pub async fn connect(&self) -> io::Result<WireSocket> {
        let limits = SocketLimits::for_requests();
        let socket = WireSocket::connect(self.record.address, CONNECT_TIMEOUT, &limits).await?;
        self.record_domain_response(Instant::now());
        Ok(socket)
    }

    /// Returns whether an idle connection is available for a request.
    fn has_idle(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.idle)
            .iter()
            .any(|connection| now < connection.expires)
    }

    /// Returns whether the upstream keeps an idle connection of this instance open.
    #[must_use]
    pub fn has_open_idle(&self) -> bool {
        lock_ignoring_poison(&self.idle)
            .iter_mut()
            .any(|connection| connection.socket.is_reusable())
    }

    /// Takes an idle connection that a request can use.
    pub fn take_idle(&self, now: Instant) -> Option<WireSocket> {
        let mut idle = lock_ignoring_poison(&self.idle);
        while let Some(mut connection) = idle.pop() {
            if now < connection.expires && connection.socket.is_reusable() {
                return Some(connection.socket);
            }
        }
        None
    }

    /// Keeps a connection for a later request; `stated` is the idle timeout that the upstream stated.
    pub fn keep_idle(&self, socket: WireSocket, stated: Option<Duration>, now: Instant) {
        let allowed = stated.map_or(DEFAULT_IDLE, |stated| stated.mul_f64(IDLE_MARGIN));
        let mut idle = lock_ignoring_poison(&self.idle);
        idle.retain(|connection| now < connection.expires);
        idle.push(IdleSocket {
            socket,
            expires: now + allowed.min(MAX_IDLE),
        });
    }

    /// Drops connections that have been idle for too long.
    pub fn sweep_idle(&self, now: Instant) {
        lock_ignoring_poison(&self.idle)
            .retain_mut(|connection| now < connection.expires && connection.socket.is_reusable());
    }
}

/// Counts a request as in flight at an upstream until it is dropped.
pub struct InFlightGuard {
    upstream: Arc<Upstream>,
}

impl InFlightGuard {
    /// Returns the upstream.
    #[must_use]
    pub fn upstream(&self) -> &Arc<Upstream> {
        &self.upstream
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A request that waits for its response head. If it is dropped after a long time without a response, the breaker
/// counts a failure, and so do the outcomes unless the upstream's failure domain is unreachable.
pub struct HeadWait {
    outcomes: Arc<OutcomeTracker>,
    upstream: Arc<Upstream>,
    number: WaitNumber,
    domain_number: WaitNumber,
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        let now = Instant::now();
        lock_ignoring_poison(&self.upstream.domain_monitor).end_wait(self.domain_number, now);
        let failing = lock_ignoring_poison(&self.upstream.monitor).end_wait(self.number, now);
        if failing && !self.upstream.is_domain_unreachable(now) {
            let upstream = self.upstream.start_tag;
            self.outcomes.note(upstream, Outcome::Failure, now);
        }
        if failing && self.upstream.record_failure(now, true) {
            log::info!(
                "upstream {} is left alone for a while: it has not responded for too long",
                self.upstream.record.id
            );
        }
    }
}
