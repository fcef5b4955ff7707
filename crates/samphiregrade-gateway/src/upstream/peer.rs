//! One upstream: its connections, its load, its breaker and its cache.

use std::io;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use samphiregrade_http::wire::{SocketLimits, WireSocket};

use super::balance::{Candidate, LoadView};
use super::breaker::{BreakerState, UpstreamBreaker};
use super::cache::PrefixCache;
use super::outcome_board::OutcomeTracker;
use super::outcomes::Outcome;
use super::silence::{SilenceWatch, WaitNumber};
use crate::hold::lock_ignoring_poison;
use crate::model::{DomainId, PromptPart, ReportedLoad, UpstreamRecord, UpstreamTag, name_tag};

/// Age at which a reported load counts half: requests last some hundreds of milliseconds.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(250);

/// Longest time an idle connection is kept where the upstream allows more.
const LONGEST_IDLE: Duration = Duration::from_secs(8);

/// Longest time an idle connection is used again where the upstream says nothing about it.
const UNSTATED_IDLE: Duration = Duration::from_millis(400);

/// Part of the stated idle time after which a connection is not used again: its end may cross a request.
const IDLE_MARGIN: f64 = 0.7;

/// Penalty of an upstream that still warms up.
const COLD_PENALTY: Duration = Duration::from_millis(30);

/// Penalty of an upstream whose record has just gone: used only where no other is there.
const DEPARTED_PENALTY: Duration = Duration::from_secs(10);

/// Longest wait for a connection to an upstream: dozens of round trips within a region. A packet that is lost
/// comes again after seconds only, so that another upstream is tried before.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// What a try says about the way to an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathProbe {
    /// Its system has answered.
    Answered,
    /// Nothing came back.
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
}

/// An upstream.
pub struct Upstream {
    /// Its record, as it was first seen.
    pub record: UpstreamRecord,
    /// Hash of its address, the same on every instance and over restarts.
    pub tag: u64,
    /// Hash of this start of it.
    pub start_tag: UpstreamTag,
    draining: AtomicBool,
    departed: AtomicBool,
    in_flight: AtomicU32,
    cold_until: Instant,
    report: Mutex<Option<LoadReport>>,
    idle: Mutex<Vec<IdleSocket>>,
    breaker: Mutex<UpstreamBreaker>,
    cache: Mutex<PrefixCache>,
    silence: Mutex<SilenceWatch>,
    domain_silence: Arc<DomainSilence>,
}

/// Silence of all upstreams of a failure domain together: the way there may be cut.
pub type DomainSilence = Mutex<SilenceWatch>;

impl Upstream {
    /// Starts to keep track of an upstream.
    #[must_use]
    pub fn new(record: UpstreamRecord, domain_silence: Arc<DomainSilence>, now: Instant) -> Self {
        Self {
            cold_until: now + record.cold,
            tag: name_tag(&record.address.to_string()),
            start_tag: name_tag(&format!(
                "{}/{:?}/{}",
                record.id, record.started, record.address
            )),
            record,
            draining: AtomicBool::new(false),
            departed: AtomicBool::new(false),
            in_flight: AtomicU32::new(0),
            report: Mutex::default(),
            idle: Mutex::default(),
            breaker: Mutex::default(),
            cache: Mutex::default(),
            silence: Mutex::default(),
            domain_silence,
        }
    }

    /// Notes whether it is about to leave.
    pub fn set_draining(&self, draining: bool) {
        self.draining.store(draining, Ordering::Relaxed);
    }

    /// Notes whether its record is gone.
    pub fn set_departed(&self, departed: bool) {
        self.departed.store(departed, Ordering::Relaxed);
    }

    /// Returns whether it may get requests.
    #[must_use]
    pub fn takes_requests(&self) -> bool {
        !self.draining.load(Ordering::Relaxed)
    }

    /// Returns whether its breaker lets requests through.
    #[must_use]
    pub fn is_breaker_closed(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.breaker).state(now) == BreakerState::Closed
    }

    /// Describes it as a choice for a request; `load` is what it is believed to have, and `home` tells whether it is a
    /// home of the prompt's first part.
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
        let silence = lock_ignoring_poison(&self.silence).penalty(now);
        let silence = silence.max(lock_ignoring_poison(&self.domain_silence).penalty(now));
        let penalty = penalty + silence;
        Candidate {
            load,
            slots: f64::from(self.record.slots),
            uncached_tokens,
            elsewhere: self.record.domain != *domain,
            connected: self.has_idle(now),
            penalty,
        }
    }

    /// Returns the requests that this instance has there.
    #[must_use]
    pub fn own_requests(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the requests that are thought to be there: the own ones, and others' by its last answer.
    #[must_use]
    pub fn load(&self, now: Instant) -> f64 {
        let view = self.load_view(now);
        view.own + view.others * view.freshness
    }

    /// Returns what is known of its load: the own requests, and others' by its last answer.
    #[must_use]
    pub fn load_view(&self, now: Instant) -> LoadView {
        let own = f64::from(self.own_requests());
        let Some(report) = *lock_ignoring_poison(&self.report) else {
            return LoadView {
                own,
                ..LoadView::default()
            };
        };
        let present = f64::from(report.load.running + report.load.waiting);
        let age = now.saturating_duration_since(report.at).as_secs_f64();
        LoadView {
            own,
            others: (present - f64::from(report.own)).max(0.0),
            freshness: 0.5_f64.powf(age / LOAD_HALF_LIFE.as_secs_f64()),
        }
    }

    /// Counts a request as being there until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard {
            upstream: self.clone(),
        }
    }

    /// Notes that a request was sent whose answer should begin at once; the guard ends the wait.
    #[must_use]
    pub fn await_head(self: &Arc<Self>, outcomes: Arc<OutcomeTracker>, now: Instant) -> HeadWait {
        HeadWait {
            outcomes,
            number: lock_ignoring_poison(&self.silence).begin(now),
            domain_number: lock_ignoring_poison(&self.domain_silence).begin(now),
            upstream: self.clone(),
        }
    }

    /// Notes that the upstream has said something.
    pub fn record_response(&self, now: Instant) {
        lock_ignoring_poison(&self.silence).record_response(now);
        self.record_domain_response(now);
    }

    /// Notes that there is a way to the upstream's failure domain.
    pub fn record_domain_response(&self, now: Instant) {
        lock_ignoring_poison(&self.domain_silence).record_response(now);
    }

    /// Notes that the way to the upstream's failure domain is cut, as far as can be told from here.
    pub fn mark_domain_unreachable(&self, now: Instant) {
        lock_ignoring_poison(&self.domain_silence).lose(now);
    }

    /// Ends when an answer that has been silent for a time can't go on, because the way to its upstream was found to be
    /// cut. Silence alone is no reason: an engine may put a run aside for as long.
    pub async fn wait_until_unreachable(&self, silent: Duration) {
        loop {
            tokio::time::sleep(silent).await;
            if self.is_domain_unreachable(Instant::now()) {
                return;
            }
        }
    }

    /// Returns whether anything was heard from its failure domain within a time.
    #[must_use]
    pub fn domain_responded_within(&self, time: Duration, now: Instant) -> bool {
        lock_ignoring_poison(&self.domain_silence).was_heard_within(time, now)
    }

    /// Returns whether the way to its failure domain was found to be cut.
    #[must_use]
    pub fn is_domain_unreachable(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.domain_silence).is_lost(now)
    }

    /// Returns whether its failure domain has been silent for so long that an answer that has been waited for since
    /// then can't be expected any more.
    #[must_use]
    pub fn is_overdue(&self, waited_since: Instant, now: Instant) -> bool {
        lock_ignoring_poison(&self.domain_silence).is_overdue(waited_since, now)
    }

    /// Notes the load that an answer told.
    pub fn note_load(&self, load: ReportedLoad, now: Instant) {
        let own = self.in_flight.load(Ordering::Relaxed);
        *lock_ignoring_poison(&self.report) = Some(LoadReport { load, own, at: now });
    }

    /// Notes that the engine has read a prompt.
    pub fn note_prompt(&self, prompt: &[PromptPart], capacity: u64, now: Instant) {
        if !prompt.is_empty() {
            lock_ignoring_poison(&self.cache).note(prompt, capacity, now);
        }
    }

    /// Notes an answer; returns whether its breaker closed.
    pub fn record_success(&self) -> bool {
        lock_ignoring_poison(&self.breaker).record_success()
    }

    /// Notes a failure; returns whether its breaker opened.
    pub fn record_failure(&self, now: Instant, certain: bool) -> bool {
        let opened = lock_ignoring_poison(&self.breaker).record_failure(now, certain);
        if opened {
            lock_ignoring_poison(&self.idle).clear();
        }
        opened
    }

    /// Opens a connection, and keeps it for a request where that succeeds; tells what it says about the way there.
    pub async fn probe_path(&self) -> PathProbe {
        match self.connect().await {
            Ok(socket) => {
                self.keep_idle(socket, None, Instant::now());
                PathProbe::Answered
            }
            Err(error) if error.kind() == io::ErrorKind::TimedOut => PathProbe::Silent,
            Err(error) => {
                // Who refuses a connection has been reached.
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
    /// The system's error, or a timeout.
    pub async fn connect(&self) -> io::Result<WireSocket> {
        let limits = SocketLimits::for_requests();
        let socket = WireSocket::connect(self.record.address, CONNECT_TIMEOUT, &limits).await?;
        self.record_domain_response(Instant::now());
        Ok(socket)
    }

    /// Returns whether a connection is idle that a request may take.
    fn has_idle(&self, now: Instant) -> bool {
        lock_ignoring_poison(&self.idle)
            .iter()
            .any(|kept| now < kept.expires)
    }

    /// Takes an idle connection that is fit for a request.
    pub fn take_idle(&self, now: Instant) -> Option<WireSocket> {
        let mut idle = lock_ignoring_poison(&self.idle);
        while let Some(mut kept) = idle.pop() {
            if now < kept.expires && kept.socket.is_quiet() {
                return Some(kept.socket);
            }
        }
        None
    }

    /// Keeps a connection for a later request.
    pub fn keep_idle(&self, socket: WireSocket, stated: Option<Duration>, now: Instant) {
        let allowed = stated.map_or(UNSTATED_IDLE, |stated| stated.mul_f64(IDLE_MARGIN));
        let mut idle = lock_ignoring_poison(&self.idle);
        idle.retain(|kept| now < kept.expires);
        idle.push(IdleSocket {
            socket,
            expires: now + allowed.min(LONGEST_IDLE),
        });
    }

    /// Drops connections that have been idle for too long.
    pub fn sweep_idle(&self, now: Instant) {
        lock_ignoring_poison(&self.idle)
            .retain_mut(|kept| now < kept.expires && kept.socket.is_quiet());
    }
}

/// A request that counts as being at an upstream.
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

/// A request that waits for its answer's head. Dropped after a long silence, it counts as a failure.
pub struct HeadWait {
    outcomes: Arc<OutcomeTracker>,
    upstream: Arc<Upstream>,
    number: WaitNumber,
    domain_number: WaitNumber,
}

impl Drop for HeadWait {
    fn drop(&mut self) {
        let now = Instant::now();
        lock_ignoring_poison(&self.upstream.domain_silence).end(self.domain_number, now);
        let failing = lock_ignoring_poison(&self.upstream.silence).end(self.number, now);
        if failing && !self.upstream.is_domain_unreachable(now) {
            let upstream = self.upstream.start_tag;
            self.outcomes.note(upstream, Outcome::Failure, now);
        }
        if failing && self.upstream.record_failure(now, true) {
            log::info!(
                "upstream {} is left alone for a while: it has said nothing for too long",
                self.upstream.record.id
            );
        }
    }
}
