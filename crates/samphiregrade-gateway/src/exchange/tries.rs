//! Bounds the number of upstreams that end under one request, over all attempts of its client.
//!
//! Before a request is sent, the entry looks up whether upstreams have ended under it. If so, each further try is recorded
//! with the keepers before the request is sent, and its result after. The response of a client waits for the record of an end,
//! so that its next attempt, at any entry, is decided with the record.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::context::EntryContext;
use super::examination::TryExamination;
use super::refusal::{Refusal, RefusalReason};
use super::try_record::TryRecorder;
use crate::fact::{
    KnownTries, ReportedTries, RequestTry, TRY_RETENTION, TryDecision, TryNumber, TryState,
};
use crate::hold::lock_ignoring_poison;
use crate::model::{RequestId, RequestTag, ServiceRecord};
use crate::upstream::{BreakCause, Upstream};

/// Retry-After time of a request whose earlier tries are unresolved.
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

/// The tries of one request at this and other entries.
pub struct RequestTries {
    recorder: TryRecorder,
    /// Service of the request.
    service: Arc<ServiceRecord>,
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
    pub fn new(
        context: Arc<EntryContext>,
        request: RequestId,
        tag: RequestTag,
        service: Arc<ServiceRecord>,
    ) -> Self {
        Self {
            recorder: TryRecorder::new(context, request, tag),
            service,
            known: Mutex::default(),
            heard: AtomicUsize::new(0),
            open: Mutex::default(),
        }
    }

    /// Looks up which upstreams have ended under the request. Without a reply of a keeper, what this instance has seen itself
    /// counts.
    pub async fn look_up(&self) {
        let TryRecorder { context, key, .. } = &self.recorder;
        let keepers = context.keepers.load_full();
        if let Some(keepers) = keepers
            && let Some(reported) = keepers.query_tries(key).await
        {
            self.heard.store(reported.heard, Ordering::Relaxed);
            self.accept(&reported);
        } else {
            context.metrics.count_try("unanswered");
        }
        self.accept(&context.suspects.known(key, Instant::now()));
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

    /// Begins a try before the request is sent; that of a suspected request is recorded.
    ///
    /// # Errors
    ///
    /// The refusal if the request must not be sent.
    pub async fn begin(&self, upstream: &Arc<Upstream>) -> Result<(), Refusal> {
        let is_recorded = self.is_suspected();
        let open = OpenTry {
            upstream: upstream.clone(),
            number: rand::random(),
            is_recorded,
        };
        let recorded = open.in_state(TryState::Open);
        *lock_ignoring_poison(&self.open) = Some(open);
        if !is_recorded {
            return Ok(());
        }
        let confirmed = self.record(recorded.into()).await;
        let checked = self.check();
        if checked.is_err() {
            self.settle();
        } else {
            let decision = if confirmed {
                "permitted"
            } else {
                "unconfirmed"
            };
            self.log(decision, Some(upstream));
        }
        checked
    }

    /// Records what is known of the upstream that broke off the try in flight at `broke_at`, and examines it later.
    pub async fn end(&self, cause: BreakCause, broke_at: Instant) {
        let (state, name) = match cause {
            BreakCause::Ended => (TryState::Ended, "ended"),
            BreakCause::Serving => (TryState::Doubted, "doubted"),
            BreakCause::Unreachable => (TryState::Unresolved, "unresolved"),
            BreakCause::Leaving => return self.settle(),
        };
        let open = lock_ignoring_poison(&self.open).take();
        let Some(open) = open else {
            return;
        };
        let recorded = open.in_state(state);
        self.record(recorded.into()).await;
        self.log(name, Some(&open.upstream));
        self.examine(open.upstream, recorded, broke_at);
    }

    /// Records that the result of the try in flight, if there is one, is not seen: its client has left, its deadline has passed,
    /// or its upstream has failed.
    pub fn abandon(&self) {
        let open = lock_ignoring_poison(&self.open).take();
        let Some(open) = open else {
            return;
        };
        let recorded = open.in_state(TryState::Doubted);
        self.record_in_background(&recorded.into());
        self.log("abandoned", Some(&open.upstream));
        self.examine(open.upstream, recorded, Instant::now());
    }

    /// Records that the try in flight, if there is one, has not ended its upstream.
    pub fn settle(&self) {
        let open = lock_ignoring_poison(&self.open).take();
        if let Some(open) = open.filter(|open| open.is_recorded) {
            self.record_in_background(&open.in_state(TryState::Harmless).into());
        }
    }

    /// Records that the request has run to its end, so that it does not end upstreams.
    pub fn complete(&self) {
        self.settle();
        let acquitted = lock_ignoring_poison(&self.known).tries.acquitted();
        if !acquitted.is_empty() {
            self.record_in_background(&acquitted);
            self.log("acquitted", None);
        }
    }

    fn decide(&self) -> TryDecision {
        let open = lock_ignoring_poison(&self.open);
        let own = open.as_ref().map(|open| open.number);
        lock_ignoring_poison(&self.known).tries.decide(own)
    }

    fn accept(&self, reported: &ReportedTries) {
        lock_ignoring_poison(&self.known).merge(reported);
    }

    fn accept_own(&self, tries: &KnownTries) {
        self.accept(&ReportedTries {
            tries: tries.clone(),
            kept_for: TRY_RETENTION,
            heard: 0,
            certain: false,
        });
    }

    /// Records tries here and with the keepers; resolves to whether a majority of the keepers has them.
    async fn record(&self, tries: KnownTries) -> bool {
        self.accept_own(&tries);
        let reported = self.recorder.record(tries).await;
        if let Some(reported) = &reported {
            self.accept(reported);
        }
        reported.is_some()
    }

    fn record_in_background(&self, tries: &KnownTries) {
        self.accept_own(tries);
        self.recorder.record_in_background(tries);
    }

    fn examine(&self, upstream: Arc<Upstream>, recorded: RequestTry, broke_at: Instant) {
        let examination = TryExamination {
            recorder: self.recorder.clone(),
            service: self.service.clone(),
            upstream,
            recorded,
            broke_at,
        };
        examination.start();
    }

    fn refuse_occupied(&self) -> Refusal {
        let refusal = self.refuse("occupied", RefusalReason::TriesInFlight);
        if lock_ignoring_poison(&self.known).tries.open() > 0 {
            return refusal;
        }
        Refusal {
            retry_after: Some(UNRESOLVED_RETRY_AFTER),
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
