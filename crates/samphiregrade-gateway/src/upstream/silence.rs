//! How long an upstream has owed an answer's head: pure.
//!
//! Answers the pattern of an upstream that takes connections and requests and says nothing, while its health
//! check may be good. Nothing fails there: clients leave after seconds, and every program that meets it is late.

use std::time::{Duration, Instant};

/// Silence that says nothing yet: some ten times the usual time to an answer's head, on engines and on plain
/// services alike; an engine that reads several long prompts takes half of it.
const ALLOWED: Duration = Duration::from_millis(250);

/// Silence after which an upstream counts as failing when its client has left: no prompt takes as long for a
/// request that engines serve first.
const FAILING_AFTER: Duration = Duration::from_millis(600);

/// Silence of a whole failure domain after which a request that has waited as long is given up: the way there is cut,
/// and its caller is better off beginning anew than waiting for its deadline.
const OUT_OF_REACH: Duration = Duration::from_millis(700);

/// What a millisecond of silence beyond the allowed costs in the choice of an upstream, in milliseconds: enough to
/// outweigh a whole cached prompt (some 300 ms) soon.
const COST: u32 = 4;

/// Time for which a cut that was found counts, unless something is heard before: cuts last seconds, and finding out
/// whether one has healed costs a request.
const LOST_MEMORY: Duration = Duration::from_millis(1500);

/// What a cut costs in the choice of an upstream: more than any queue elsewhere.
const LOST_PENALTY: Duration = Duration::from_secs(5);

/// Number of a request that waits for its answer's head.
pub type WaitNumber = u64;

#[derive(Clone, Copy, Debug)]
struct OpenWait {
    number: WaitNumber,
    since: Instant,
}

/// The requests that wait for an upstream to answer.
#[derive(Clone, Debug, Default)]
pub struct SilenceWatch {
    next: WaitNumber,
    /// In the order of sending.
    open: Vec<OpenWait>,
    heard: Option<Instant>,
    /// When the way there was found to be cut.
    lost: Option<Instant>,
}

impl SilenceWatch {
    /// Notes that a request was sent whose answer should begin at once.
    pub fn begin(&mut self, now: Instant) -> WaitNumber {
        self.next += 1;
        self.open.push(OpenWait {
            number: self.next,
            since: now,
        });
        self.next
    }

    /// Notes that the upstream has said something.
    pub fn record_response(&mut self, now: Instant) {
        self.heard = Some(now);
        self.lost = None;
    }

    /// Returns whether anything was heard within a time.
    #[must_use]
    pub fn was_heard_within(&self, time: Duration, now: Instant) -> bool {
        self.heard
            .is_some_and(|heard| now.saturating_duration_since(heard) < time)
    }

    /// Notes that the way there was found to be cut.
    pub fn lose(&mut self, now: Instant) {
        self.lost = Some(now);
    }

    /// Notes that a request does not wait any more; returns whether the upstream counts as failing with it.
    pub fn end(&mut self, number: WaitNumber, now: Instant) -> bool {
        let failing = self.silence(now) >= FAILING_AFTER;
        self.open.retain(|wait| wait.number != number);
        failing
    }

    /// Returns how long the upstream has said nothing although it should.
    #[must_use]
    pub fn silence(&self, now: Instant) -> Duration {
        let Some(oldest) = self.open.first() else {
            return Duration::ZERO;
        };
        let since = self
            .heard
            .map_or(oldest.since, |heard| heard.max(oldest.since));
        now.saturating_duration_since(since)
    }

    /// Returns whether an answer that has been waited for since then can't be expected any more.
    #[must_use]
    pub fn is_overdue(&self, waited_since: Instant, now: Instant) -> bool {
        let waited = now.saturating_duration_since(waited_since);
        waited.min(self.silence(now)) >= OUT_OF_REACH
    }

    /// Returns whether the way there was found to be cut not long ago.
    #[must_use]
    pub fn is_lost(&self, now: Instant) -> bool {
        self.lost
            .is_some_and(|lost| now.saturating_duration_since(lost) < LOST_MEMORY)
    }

    /// Returns the time that the silence adds to a request that would be sent there.
    #[must_use]
    pub fn penalty(&self, now: Instant) -> Duration {
        let known = if self.is_lost(now) {
            LOST_PENALTY
        } else {
            Duration::ZERO
        };
        known.max(self.silence(now).saturating_sub(ALLOWED) * COST)
    }
}
