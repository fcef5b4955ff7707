//! Records the tries of a suspected request, at this instance and with the keepers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;

use super::context::EntryContext;
use super::outcome::format_tag;
use crate::fact::{ReportedTries, TimedTries, TryKey, try_key};
use crate::model::{RequestId, RequestTag};
use crate::observe::Logbook;
use crate::upstream::Upstream;

/// Records the tries of one request.
#[derive(Clone)]
pub(super) struct TryRecorder {
    pub context: Arc<EntryContext>,
    /// Id of this attempt.
    pub request: RequestId,
    /// Hash of what the client repeats with each attempt.
    pub tag: RequestTag,
    pub key: TryKey,
    /// Deadline of this attempt: an upstream that has received the request may work on it until then.
    pub due: Instant,
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
    work_left_ms: u128,
    kept_ms: u128,
}

impl TryRecorder {
    pub fn new(
        context: Arc<EntryContext>,
        request: RequestId,
        tag: RequestTag,
        due: Instant,
    ) -> Self {
        Self {
            context,
            request,
            tag,
            key: try_key(tag),
            due,
        }
    }

    /// Returns the time for which an upstream may still work on this attempt.
    pub fn work_left(&self) -> Duration {
        self.due.saturating_duration_since(Instant::now())
    }

    /// Records tries here and with the keepers; resolves to all tries that these know if a majority of them has the record.
    pub async fn record(&self, timed: TimedTries) -> Option<ReportedTries> {
        self.note(&timed);
        let keepers = self.context.keepers.load_full()?;
        keepers.record_tries(&self.key, timed).await.ok()
    }

    /// Records tries here, and with the keepers in the background.
    pub fn record_in_background(&self, timed: TimedTries) {
        self.note(&timed);
        if let Some(keepers) = self.context.keepers.load_full() {
            keepers.note_tries(&self.key, timed);
        }
    }

    fn note(&self, timed: &TimedTries) {
        let suspects = &self.context.suspects;
        suspects.add(&self.key, timed, Instant::now());
    }

    /// Logs and counts a decision.
    pub fn log(&self, decision: &'static str, upstream: Option<&Upstream>, known: &ReportedTries) {
        self.context.metrics.count_try(decision);
        let line = TryLine {
            request: &self.request,
            request_tag: format_tag(self.tag),
            upstream: upstream.map(|upstream| upstream.record.id.as_str()),
            decision,
            ended: known.tries.ended(),
            open: known.tries.open(),
            work_left_ms: self.work_left().as_millis(),
            kept_ms: known.kept_for.as_millis(),
        };
        Logbook::global().record("request-try", &line);
    }
}
