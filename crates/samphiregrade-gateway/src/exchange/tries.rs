//! Bounds the number of upstreams that end under one request, over all attempts of its client.
//!
//! Before a request is sent, the entry looks up whether upstreams have ended under it. If so, each further try is recorded
//! with the keepers before the request is sent, and its result after. The response of a client waits for the record of an end,
//! so that its next attempt, at any entry, is decided with the record.
//!
//! A try counts until its upstream's process has shown that it has outlived it: by its own result, or by a response of the
//! process to a request that was sent after the last moment at which it could still work on the try.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::examination::TryExamination;
use super::refusal::{Refusal, RefusalReason};
use super::try_record::TryRecorder;
use crate::fact::{
    KeeperClient, LATE_END, ReportedTries, RequestTry, SendRegistration, TimedTries, TryDecision,
    TryEntry, TryNumber, TryState, provable_from,
};
use crate::hold::lock_ignoring_poison;
use crate::model::ServiceRecord;
use crate::upstream::{BreakCause, Upstream};

/// Shortest Retry-After time of a request whose earlier tries are unresolved: they are examined again by then.
const UNRESOLVED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A try that is in flight.
struct OpenTry {
    upstream: Arc<Upstream>,
    number: TryNumber,
    /// Whether the try has been recorded.
    is_recorded: bool,
}

impl OpenTry {
    /// Returns the try with what became of its upstream.
    fn in_state(&self, state: TryState) -> RequestTry {
        RequestTry {
            number: self.number,
            upstream: self.upstream.start_tag,
            state,
        }
    }
}

/// Longest time for which a request is held until its earlier tries can be settled; others are refused at once.
const LONGEST_HOLD: Duration = LATE_END;

/// Number of times that a request which waits for others that are alike is looked up again, and the pause before each: entries
/// report within 0.2 s that a send is over.
const REPORT_LOOK_UPS: usize = 4;
const REPORT_PAUSE: Duration = Duration::from_millis(70);

/// Age above which a look-up is repeated before a send: meanwhile, the instance may have been suspended.
const LOOK_UP_AGE: Duration = Duration::from_millis(100);

/// The tries of one request at this and other entries.
pub struct RequestTries {
    recorder: TryRecorder,
    /// Service of the request.
    service: Arc<ServiceRecord>,
    /// Whether attempts of the request follow each other, since it belongs to a program. Others that are alike may be different
    /// requests.
    sent_once_at_a_time: bool,
    /// Number of the next try.
    number: Mutex<TryNumber>,
    /// The send as keepers know it; `None` before the look-up.
    send: Mutex<Option<Arc<SendRegistration>>>,
    /// When the last look-up began.
    looked_up: Mutex<Option<Instant>>,
    /// What keepers have reported and this instance has seen.
    known: Mutex<ReportedTries>,
    /// Number of keepers that have replied to the look-up.
    heard: AtomicUsize,
    /// The try of this attempt.
    open: Mutex<Option<OpenTry>>,
}

impl RequestTries {
    /// Returns the tries of a request of which nothing has been looked up yet.
    #[must_use]
    pub(super) fn new(
        recorder: TryRecorder,
        service: Arc<ServiceRecord>,
        sent_once_at_a_time: bool,
    ) -> Self {
        Self {
            recorder,
            service,
            sent_once_at_a_time,
            number: Mutex::new(rand::random()),
            send: Mutex::default(),
            looked_up: Mutex::default(),
            known: Mutex::default(),
            heard: AtomicUsize::new(0),
            open: Mutex::default(),
        }
    }

    /// Registers the send, and looks up which upstreams have ended under the request. Without a reply of a keeper, what this
    /// instance has seen itself counts.
    pub async fn look_up(&self) {
        let TryRecorder { context, key, .. } = &self.recorder;
        *lock_ignoring_poison(&self.looked_up) = Some(Instant::now());
        let keepers = context.keepers.load_full();
        if let Some(keepers) = keepers {
            let send = self.registration(&keepers);
            let reported = keepers.query_tries(key, &send).await;
            let reported = reported.unwrap_or_default();
            self.heard.store(reported.heard, Ordering::Relaxed);
            lock_ignoring_poison(&self.known).tries.forget_registered();
            self.accept(&reported);
        }
        if self.heard() == 0 {
            context.metrics.count_try("unanswered");
        }
        self.accept(&context.suspects.known(key, Instant::now()));
    }

    /// Waits a moment for the reports of sends that are over: until then, they count as in flight, and a request that is like
    /// them would be refused though nothing has ended under it.
    async fn await_reports(&self) {
        for _ in 0..REPORT_LOOK_UPS {
            let is_contested = self.decide() == TryDecision::Occupied
                && lock_ignoring_poison(&self.known).tries.open() > 0;
            if !is_contested || Instant::now() + REPORT_PAUSE >= self.recorder.due {
                return;
            }
            tokio::time::sleep(REPORT_PAUSE).await;
            self.look_up().await;
        }
    }

    /// Examines the upstreams that have not shown yet that they have outlived the request, if it waits for that. The entry that
    /// examines them may have ended. `upstreams` are those of the request's service. The request is held for a moment at most,
    /// and not beyond its deadline.
    pub async fn settle_doubts(&self, upstreams: &[Arc<Upstream>]) {
        self.await_reports().await;
        if self.decide() != TryDecision::Occupied {
            return;
        }
        let Some(provable) = self.provable_from() else {
            return;
        };
        let wait = provable.saturating_duration_since(Instant::now());
        if wait > LONGEST_HOLD || provable >= self.recorder.due {
            return;
        }
        tokio::time::sleep(wait).await;
        let unsettled: Vec<RequestTry> = lock_ignoring_poison(&self.known)
            .tries
            .unsettled()
            .copied()
            .collect();
        let examine = |recorded: RequestTry| async move {
            let mut known = upstreams.iter();
            let upstream = known.find(|upstream| upstream.start_tag == recorded.upstream)?;
            let examination = self.examination(upstream.clone(), recorded, provable);
            let harmless = RequestTry {
                state: TryState::Harmless,
                ..recorded
            };
            examination.has_survived().await.then_some(harmless)
        };
        let examining = futures_util::future::join_all(unsettled.into_iter().map(examine));
        for harmless in examining.await.into_iter().flatten() {
            self.accept_own(&harmless.into());
        }
    }

    /// Returns the time from which on a response can show that an upstream has outlived all known tries; `None` if no try is
    /// known.
    fn provable_from(&self) -> Option<Instant> {
        let work_ends = lock_ignoring_poison(&self.known).work_ends?;
        Some(provable_from(work_ends))
    }

    /// Returns the number of keepers that have replied to the look-up.
    #[must_use]
    pub fn heard(&self) -> usize {
        self.heard.load(Ordering::Relaxed)
    }

    /// Returns whether an upstream has ended under the request, or may have.
    #[must_use]
    pub fn is_suspected(&self) -> bool {
        lock_ignoring_poison(&self.known).tries.is_suspected()
    }

    /// Returns the number of upstreams that have ended under the request.
    #[must_use]
    pub fn ended(&self) -> usize {
        lock_ignoring_poison(&self.known).tries.ended()
    }

    /// Checks whether the request may be sent once more, as far as is known.
    ///
    /// # Errors
    ///
    /// The refusal if not.
    pub fn check(&self) -> Result<(), Refusal> {
        match self.decide() {
            TryDecision::Unsuspected | TryDecision::Permitted => Ok(()),
            TryDecision::Occupied => Err(self.refuse_occupied()),
            TryDecision::Exhausted => {
                let kept_for = lock_ignoring_poison(&self.known).kept_for;
                Err(Refusal {
                    retry_after: Some(kept_for),
                    ..self.refuse("exhausted", RefusalReason::UpstreamsEnded)
                })
            }
        }
    }

    /// Begins a try before the request is sent. It is recorded if upstreams may have ended under the request, or if others are in
    /// flight.
    ///
    /// # Errors
    ///
    /// The refusal if the request must not be sent.
    pub async fn begin(&self, upstream: &Arc<Upstream>) -> Result<(), Refusal> {
        let age = lock_ignoring_poison(&self.looked_up).map(|at| at.elapsed());
        if age.is_some_and(|age| age > LOOK_UP_AGE) {
            self.look_up().await;
        }
        self.await_reports().await;
        let is_recorded = self.decide() != TryDecision::Unsuspected;
        let open = OpenTry {
            upstream: upstream.clone(),
            number: *lock_ignoring_poison(&self.number),
            is_recorded,
        };
        let recorded = open.in_state(TryState::Open);
        *lock_ignoring_poison(&self.open) = Some(open);
        if !is_recorded {
            return Ok(());
        }
        let confirmed = self.record(self.timed(recorded)).await;
        self.await_reports().await;
        let checked = self.check().and_then(|()| self.check_confirmed(confirmed));
        match &checked {
            Err(_) => self.settle(),
            Ok(()) if confirmed => self.log("permitted", Some(upstream)),
            Ok(()) => self.log("unconfirmed", Some(upstream)),
        }
        checked
    }

    /// Checks whether the request may be sent although its record is not confirmed: other entries may send it meanwhile.
    fn check_confirmed(&self, confirmed: bool) -> Result<(), Refusal> {
        let keepers = self.recorder.context.keepers.load();
        let has_keepers = keepers
            .as_ref()
            .is_some_and(|keepers| keepers.has_keepers());
        let known = lock_ignoring_poison(&self.known).tries.clone();
        if confirmed || !has_keepers || known.permits_unconfirmed() {
            return Ok(());
        }
        Err(self.refuse("unrecorded", RefusalReason::NoKeepers))
    }

    /// Records what is known of the upstream that broke off the try in flight at `broke_at`, and examines it later.
    pub async fn end(&self, cause: BreakCause, broke_at: Instant) {
        let (state, name) = match cause {
            BreakCause::Ended => (TryState::Ended, "ended"),
            BreakCause::Serving => (TryState::Doubted, "doubted"),
            BreakCause::Unreachable => (TryState::Unresolved, "unresolved"),
            BreakCause::Leaving => return self.settle(),
        };
        let Some(open) = self.take_counting() else {
            return;
        };
        let recorded = open.in_state(state);
        self.record(self.timed(recorded)).await;
        self.log(name, Some(&open.upstream));
        self.examine(open.upstream, recorded, broke_at, self.recorder.due);
    }

    /// Records that the result of the try in flight, if there is one, is not seen: its client has left, or its deadline has
    /// passed. Its upstream may work on it until the deadline.
    pub fn abandon(&self) {
        self.doubt("abandoned", self.recorder.due);
    }

    /// Records that the upstream of the try in flight, if there is one, has responded with a failure in full: it no longer works
    /// on the request, but may be about to end because of it.
    pub fn record_failure(&self) {
        self.doubt("failed", Instant::now());
    }

    /// Records that the try in flight, if there is one, may end its upstream, which may work on it until `work_ends`.
    fn doubt(&self, name: &'static str, work_ends: Instant) {
        let Some(open) = self.take_counting() else {
            return;
        };
        let now = Instant::now();
        let recorded = open.in_state(TryState::Doubted);
        self.record_in_background(TimedTries {
            tries: recorded.into(),
            work_left: work_ends.saturating_duration_since(now),
        });
        self.log(name, Some(&open.upstream));
        self.examine(open.upstream, recorded, now, work_ends);
    }

    /// Records that the try in flight, if there is one, has not ended its upstream.
    pub fn settle(&self) {
        let open = lock_ignoring_poison(&self.open).take();
        if let Some(open) = open.filter(|open| open.is_recorded) {
            self.renew_number();
            self.record_in_background(open.in_state(TryState::Harmless).into());
        }
    }

    /// Returns the registration of the next send.
    fn registration(&self, keepers: &KeeperClient) -> Arc<SendRegistration> {
        let number = *lock_ignoring_poison(&self.number);
        let mut send = lock_ignoring_poison(&self.send);
        match &*send {
            Some(registered) if registered.number() == number => registered.clone(),
            _ => {
                let begun = keepers.begin_send(number, self.recorder.due);
                send.insert(Arc::new(begun)).clone()
            }
        }
    }

    /// Takes the try in flight, whose record goes on counting.
    fn take_counting(&self) -> Option<OpenTry> {
        let open = lock_ignoring_poison(&self.open).take()?;
        self.renew_number();
        if let Some(send) = lock_ignoring_poison(&self.send).take() {
            send.leave();
        }
        Some(open)
    }

    /// Draws the number of the next try: the one before has a result.
    fn renew_number(&self) {
        *lock_ignoring_poison(&self.number) = rand::random();
    }

    /// Records that the request has run to its end. Of a request without a program this acquits the tries of others that are
    /// alike, which upstreams can't tell from it; attempts of a program end with the first one that is answered.
    pub fn complete(&self) {
        self.settle();
        if self.sent_once_at_a_time {
            return;
        }
        // Other attempts at this instance may have been broken off meanwhile.
        let TryRecorder { context, key, .. } = &self.recorder;
        self.accept(&context.suspects.known(key, Instant::now()));
        let acquitted = lock_ignoring_poison(&self.known).tries.acquitted();
        if !acquitted.is_empty() {
            self.record_in_background(acquitted.into());
            self.log("acquitted", None);
        }
    }

    fn decide(&self) -> TryDecision {
        let open = lock_ignoring_poison(&self.open);
        let number = open.as_ref().map(|open| open.number);
        let own = number.unwrap_or_else(|| *lock_ignoring_poison(&self.number));
        let known = lock_ignoring_poison(&self.known);
        known.tries.decide(own, self.sent_once_at_a_time)
    }

    fn accept(&self, reported: &ReportedTries) {
        lock_ignoring_poison(&self.known).merge(reported);
    }

    /// Returns a try on which its upstream may work until the deadline.
    fn timed(&self, recorded: RequestTry) -> TimedTries {
        TimedTries {
            tries: recorded.into(),
            work_left: self.recorder.work_left(),
        }
    }

    fn accept_own(&self, timed: &TimedTries) {
        let now = Instant::now();
        let mut entry = TryEntry::new(now);
        entry.add(timed, now);
        // What was known before the change no longer tells how long the tries are kept.
        lock_ignoring_poison(&self.known).kept_for = Duration::ZERO;
        self.accept(&ReportedTries::of_entry(&entry, now));
    }

    /// Records tries here and with the keepers; resolves to whether a majority of the keepers has them.
    async fn record(&self, timed: TimedTries) -> bool {
        self.accept_own(&timed);
        let reported = self.recorder.record(timed).await;
        if let Some(reported) = &reported {
            lock_ignoring_poison(&self.known).tries.forget_registered();
            self.accept(reported);
        }
        reported.is_some()
    }

    fn record_in_background(&self, timed: TimedTries) {
        self.accept_own(&timed);
        self.recorder.record_in_background(timed);
    }

    /// Examines later whether the upstream of a try that was doubted at a time has outlived it. The upstream may work on it
    /// until `work_ends`.
    fn examine(
        &self,
        upstream: Arc<Upstream>,
        recorded: RequestTry,
        doubted_at: Instant,
        work_ends: Instant,
    ) {
        let provable = provable_from(work_ends.max(doubted_at));
        self.examination(upstream, recorded, provable).start();
    }

    fn examination(
        &self,
        upstream: Arc<Upstream>,
        recorded: RequestTry,
        provable: Instant,
    ) -> TryExamination {
        TryExamination {
            recorder: self.recorder.clone(),
            service: self.service.clone(),
            upstream,
            recorded,
            provable,
        }
    }

    fn refuse_occupied(&self) -> Refusal {
        let refusal = self.refuse("occupied", RefusalReason::TriesInFlight);
        if lock_ignoring_poison(&self.known).tries.open() > 0 {
            return refusal;
        }
        let now = Instant::now();
        let provable = self.provable_from().unwrap_or(now);
        let wait = provable.saturating_duration_since(now);
        Refusal {
            retry_after: Some(wait.max(UNRESOLVED_RETRY_AFTER)),
            ..refusal
        }
    }

    fn refuse(&self, decision: &'static str, reason: RefusalReason) -> Refusal {
        self.log(decision, None);
        reason.into()
    }

    fn log(&self, decision: &'static str, upstream: Option<&Upstream>) {
        let known = lock_ignoring_poison(&self.known);
        self.recorder.log(decision, upstream, &known);
    }
}

impl Drop for RequestTries {
    /// A request that ends with a try in flight leaves its result unseen.
    fn drop(&mut self) {
        self.abandon();
    }
}
