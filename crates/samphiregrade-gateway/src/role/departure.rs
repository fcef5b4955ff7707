//! How an entry ends: out of rotation, then no more work, then an answer to what is left, then the process.
//!
//! Each phase is a type that only the phase before leads to. What is taken after the signal must end before the process
//! does, so there has to be a moment from which on nothing is taken: an entry that goes on until it happens to be without
//! connections never is while clients keep coming, and breaks off at the kill what it took last.
//!
//! What tells the phases to others: [`EntryContext::is_stopping`] from the signal on; of [`ShutdownTokens`], `drain` while
//! finishing and `abort` at the last moment; the token that `run_entry` calls `ended` after the last phase.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::task::JoinHandle;

use crate::exchange::{EntryContext, ShutdownTokens};
use crate::observe::Logbook;

/// Time after the signal to stop within which the platform has stopped sending new connections, where others are
/// ready: it asks once a second and stops after two misses.
const LEAVE_ROTATION: Duration = Duration::from_secs(3);

/// Time before the kill at which what is left is given up: answers have to leave, and the process has to end by itself.
const LAST_MOMENT: Duration = Duration::from_millis(700);

/// Time for the answers to what is given up, and for upstreams and keepers to hear of it: some round trips.
const LAST_ANSWERS: Duration = Duration::from_millis(300);

/// Time without a new connection after which the platform is thought to have others: a busy entry gets some each second.
const QUIET_TIME: Duration = Duration::from_millis(500);

/// Pause between two looks at the connections that are left.
const STOP_PAUSE: Duration = Duration::from_millis(50);

#[derive(Serialize)]
struct StopLine {
    open_connections: u32,
    /// Requests that have come and have not ended.
    open_requests: u32,
    seconds: f64,
}

/// New connections still come, and are served as before.
pub struct InRotation {
    accepting: JoinHandle<()>,
}

/// Nothing is taken any more; what was taken goes on.
pub struct Finishing;

/// What is left is given up.
pub struct GivingUp;

/// An entry that was told to stop.
pub struct EntryDeparture<Phase> {
    context: Arc<EntryContext>,
    tokens: ShutdownTokens,
    since: Instant,
    grace: Duration,
    phase: Phase,
}

impl EntryDeparture<InRotation> {
    /// Begins the departure; `accepting` is the task that accepts clients' connections.
    #[must_use]
    pub fn begin(
        context: Arc<EntryContext>,
        tokens: ShutdownTokens,
        grace: Duration,
        accepting: JoinHandle<()>,
    ) -> Self {
        context.begin_stopping(grace.saturating_sub(LAST_MOMENT));
        let departure = Self {
            context,
            tokens,
            since: Instant::now(),
            grace,
            phase: InRotation { accepting },
        };
        departure.log("stopping");
        departure
    }

    /// Serves until the platform sends new connections elsewhere, then closes the listener and idle connections.
    pub async fn leave_rotation(self) -> EntryDeparture<Finishing> {
        let rotation = LEAVE_ROTATION.min(self.last_moment() / 2);
        tokio::time::sleep(rotation.saturating_sub(QUIET_TIME)).await;
        self.stay_while_needed(rotation).await;
        self.tokens.drain.cancel();
        let Self {
            context,
            tokens,
            since,
            grace,
            phase,
        } = self;
        if let Err(error) = phase.accepting.await {
            log::error!("accepting connections failed: {error}; report it");
        }
        let departure = EntryDeparture {
            context,
            tokens,
            since,
            grace,
            phase: Finishing,
        };
        departure.log("stop-accepting");
        departure
    }

    /// Waits until the rotation is left, and then for a time drawn by lot while new connections still come, as long as
    /// what they bring surely ends.
    ///
    /// They come where too few other entries are ready. Entries that were told to stop together must not all close
    /// together then: on a day that stops all of them within 1.5 s, the lot lowers the connections that are refused from
    /// 331 to 240 a day (means of six seeds; worth 0.932 and 0.942).
    async fn stay_while_needed(&self, rotation: Duration) {
        let latest = self
            .last_moment()
            .saturating_sub(self.context.longest_timeout());
        let spread = latest.saturating_sub(rotation);
        let end = rotation + spread.mul_f64(rand::random());
        let mut seen = self.context.accepted_connections();
        self.sleep_until(rotation).await;
        while self.since.elapsed() < end {
            let accepted = self.context.accepted_connections();
            if accepted == std::mem::replace(&mut seen, accepted) {
                return;
            }
            self.sleep_until(end.min(self.since.elapsed() + QUIET_TIME))
                .await;
        }
    }

    /// Sleeps until a time after the signal.
    async fn sleep_until(&self, end: Duration) {
        tokio::time::sleep(end.saturating_sub(self.since.elapsed())).await;
    }
}

impl EntryDeparture<Finishing> {
    /// Waits until what was taken has ended, at the longest until the last moment.
    pub async fn finish(self) -> EntryDeparture<GivingUp> {
        self.wait_until(self.last_moment()).await;
        EntryDeparture {
            context: self.context,
            tokens: self.tokens,
            since: self.since,
            grace: self.grace,
            phase: GivingUp,
        }
    }
}

impl EntryDeparture<GivingUp> {
    /// Gives up what is left, and waits until its clients have been told.
    pub async fn end(self) {
        self.tokens.abort.cancel();
        self.wait_until(self.last_moment() + LAST_ANSWERS).await;
        // What the last requests told keepers is on its way.
        tokio::time::sleep(STOP_PAUSE).await;
        self.log("stop");
    }
}

impl<Phase> EntryDeparture<Phase> {
    /// Returns the time after the signal at which what is left is given up.
    fn last_moment(&self) -> Duration {
        self.grace.saturating_sub(LAST_MOMENT)
    }

    /// Waits until no connection is left, or until a time after the signal.
    async fn wait_until(&self, end: Duration) {
        while self.context.open_connections() > 0 && self.since.elapsed() < end {
            tokio::time::sleep(STOP_PAUSE).await;
        }
    }

    fn log(&self, event: &'static str) {
        let line = StopLine {
            open_connections: self.context.open_connections(),
            open_requests: self.context.open_requests(),
            seconds: self.since.elapsed().as_secs_f64(),
        };
        Logbook::global().record(event, &line);
    }
}
