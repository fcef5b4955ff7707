//! Bounds the number of upstreams that end under one request, over all attempts of its client.
//!
//! Before a request is sent, the entry looks up whether upstreams have ended under it. If so, each further try is recorded
//! with the keepers before the request is sent, and its result after. The response of a client waits for the record of an end,
//! so that its next attempt, at any entry, is decided with the record.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::context::EntryContext;
use super::outcome::format_tag;
use super::refusal::{Refusal, RefusalReason};
use crate::fact::{
    KnownTries, ReportedTries, RequestTry, TRY_RETENTION, TryDecision, TryKey, TryState, try_key,
};
use crate::hold::lock_ignoring_poison;
use crate::model::{RequestId, RequestTag};
use crate::observe::Logbook;
use crate::upstream::{BreakCause, Upstream};

/// Time after which the upstream of a try is examined whose result was not seen: an upstream that the request ends has ended
/// by then, or has dropped the request because its connection was closed. The pause doubles while its host does not reply.
const EXAMINATION_DELAY: Duration = Duration::from_millis(500);

/// Number of examinations of one try: together they take longer than most interruptions of a path.
const EXAMINATIONS: u32 = 5;

/// Age up to which the result of an examination is used for other tries at the same upstream.
const EXAMINATION_AGE: Duration = Duration::from_millis(250);

/// Retry-After time of a request whose earlier tries are unresolved.
const UNRESOLVED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A recorded try that is in flight.
struct OpenTry {
    upstream: Arc<Upstream>,
    recorded: RequestTry,
}

/// The tries of one request at this and other entries.
pub struct RequestTries {
    context: Arc<EntryContext>,
    /// Id of this attempt.
    request: RequestId,
    tag: RequestTag,
    key: TryKey,
    /// What keepers have reported and this instance has seen.
    known: Mutex<ReportedTries>,
    /// Number of keepers that have replied to the look-up.
    heard: AtomicUsize,
    /// The try of this attempt.
    open: Mutex<Option<OpenTry>>,
}

#[derive(Serialize)]
struct TryLine<'line> {
    request: &'line str,
    request_tag: SmolStr,
    #[serde(skip_serializing_if = "Option::is_none")]
    upstream: Option<&'line str>,
    decision: &'static str,
    ended: usize,
    open: usize,
    kept_ms: u128,
}

impl RequestTries {
    /// Returns the tries of a request of which nothing has been looked up yet.
    #[must_use]
    pub fn new(context: Arc<EntryContext>, request: RequestId, tag: RequestTag) -> Self {
        Self {
            context,
            request,
            tag,
            key: try_key(tag),
            known: Mutex::default(),
            heard: AtomicUsize::new(0),
            open: Mutex::default(),
        }
    }

    /// Looks up which upstreams have ended under the request. Without a reply of a keeper, what this instance has seen itself
    /// counts.
    pub async fn look_up(&self) {
        let keepers = self.context.keepers.load_full();
        if let Some(keepers) = keepers
            && let Some(reported) = keepers.query_tries(&self.key).await
        {
            self.heard.store(reported.heard, Ordering::Relaxed);
            self.accept(&reported);
        } else {
            self.context.metrics.count_try("unanswered");
        }
        self.accept(&self.context.suspects.known(&self.key, Instant::now()));
    }

    /// Returns the state of the instance.
    #[must_use]
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Returns the hash of what the client repeats with each attempt.
    #[must_use]
    pub fn tag(&self) -> RequestTag {
        self.tag
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

    /// Records a try of a suspected request before the request is sent.
    ///
    /// # Errors
    ///
    /// The refusal if the request must not be sent.
    pub async fn begin(&self, upstream: &Arc<Upstream>) -> Result<(), Refusal> {
        let recorded = RequestTry {
            number: rand::random(),
            upstream: upstream.start_tag,
            state: TryState::Open,
        };
        *lock_ignoring_poison(&self.open) = Some(OpenTry {
            upstream: upstream.clone(),
            recorded,
        });
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

    /// Records what became of an upstream that broke off the request.
    pub async fn end(&self, upstream: &Arc<Upstream>, cause: BreakCause) {
        match cause {
            BreakCause::Ended => {}
            BreakCause::Leaving | BreakCause::Serving => return self.settle(),
            BreakCause::Unreachable => return self.leave_unresolved(upstream),
        }
        let ended = self.take_open(upstream, TryState::Ended);
        self.record(ended.into()).await;
        self.log("ended", Some(upstream));
    }

    /// Records that the host of an upstream stopped replying while the upstream ran the request, and examines it until it
    /// replies.
    pub fn leave_unresolved(&self, upstream: &Arc<Upstream>) {
        let unresolved = self.take_open(upstream, TryState::Unresolved);
        self.record_in_background(&unresolved.into());
        self.log("unresolved", Some(upstream));
        self.examine_later(OpenTry {
            upstream: upstream.clone(),
            recorded: unresolved,
        });
    }

    /// Records that the try in flight, if there is one, has not ended its upstream.
    pub fn settle(&self) {
        if let Some(open) = lock_ignoring_poison(&self.open).take() {
            let harmless = RequestTry {
                state: TryState::Harmless,
                ..open.recorded
            };
            self.record_in_background(&harmless.into());
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
        let own = open.as_ref().map(|open| open.recorded.number);
        lock_ignoring_poison(&self.known).tries.decide(own)
    }

    fn accept(&self, reported: &ReportedTries) {
        lock_ignoring_poison(&self.known).merge(reported);
    }

    /// Adds tries to what this instance knows.
    fn note(&self, tries: &KnownTries) {
        let noted = ReportedTries {
            tries: tries.clone(),
            kept_for: TRY_RETENTION,
            heard: 0,
        };
        self.accept(&noted);
        self.context.suspects.add(&self.key, tries, Instant::now());
    }

    /// Records tries here and with the keepers; resolves to whether a majority of the keepers has them.
    async fn record(&self, tries: KnownTries) -> bool {
        self.note(&tries);
        let Some(keepers) = self.context.keepers.load_full() else {
            return false;
        };
        let recorded = keepers.record_tries(&self.key, tries).await;
        if let Ok(reported) = &recorded {
            self.accept(reported);
        }
        recorded.is_ok()
    }

    fn record_in_background(&self, tries: &KnownTries) {
        self.note(tries);
        if let Some(keepers) = self.context.keepers.load_full() {
            keepers.note_tries(&self.key, tries);
        }
    }

    /// Ends the try in flight, or makes one up for a request that was not suspected when it was sent.
    fn take_open(&self, upstream: &Arc<Upstream>, state: TryState) -> RequestTry {
        let open = lock_ignoring_poison(&self.open).take();
        RequestTry {
            number: open.map_or_else(rand::random, |open| open.recorded.number),
            upstream: upstream.start_tag,
            state,
        }
    }

    /// Examines the upstream of a try later, and records the result. While its host does not reply, the try is left as it is.
    fn examine_later(&self, open: OpenTry) {
        let Some(slot) = self.context.suspects.take_examination_slot() else {
            return;
        };
        let later = Self::new(self.context.clone(), self.request.clone(), self.tag);
        later.accept(&lock_ignoring_poison(&self.known));
        tokio::spawn(async move {
            let _slot = slot;
            let upstream = open.upstream.clone();
            *lock_ignoring_poison(&later.open) = Some(open);
            for round in 0..EXAMINATIONS {
                tokio::time::sleep(EXAMINATION_DELAY * 2_u32.pow(round)).await;
                let now = Instant::now();
                let since = now.checked_sub(EXAMINATION_AGE).unwrap_or(now);
                let cause = upstream.examine_break(since).await;
                if cause != BreakCause::Unreachable {
                    later.context.metrics.count_break(cause);
                    return later.end(&upstream, cause).await;
                }
            }
            // Otherwise, dropping the tries would examine the upstream again.
            lock_ignoring_poison(&later.open).take();
        });
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

    fn log(&self, decision: &'static str, upstream: Option<&Arc<Upstream>>) {
        self.context.metrics.count_try(decision);
        let known = lock_ignoring_poison(&self.known);
        let line = TryLine {
            request: &self.request,
            request_tag: format_tag(self.tag),
            upstream: upstream.map(|upstream| upstream.record.id.as_str()),
            decision,
            ended: known.tries.ended(),
            open: known.tries.open(),
            kept_ms: known.kept_for.as_millis(),
        };
        Logbook::global().record("request-try", &line);
    }
}

impl Drop for RequestTries {
    /// Examines the upstream of a try whose result was not seen, because the client has left or the deadline has passed.
    fn drop(&mut self) {
        let open = lock_ignoring_poison(&self.open).take();
        if let Some(open) = open {
            self.examine_later(open);
        }
    }
}
