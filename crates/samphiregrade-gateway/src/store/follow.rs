//! Following a prefix of the key-value service through its outages.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use super::client::{StoreClient, StoreFailure};
use crate::access::BootTime;
use crate::dialect::{StorePage, StoreRevision};
use crate::observe::Logbook;

/// How long the service holds a watch without changes: its own longest wait is 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// How long the service holds a watch right after changes. One that was sent into an outage may never be answered,
/// though its connection stays; it is noticed within this and the client's own limit. Only a watch that was answered
/// in time is followed by a long one.
const SHORT_WATCH_WAIT: Duration = Duration::from_secs(1);

/// First pause after a failure: a cut watch is renewed at once, a refusing service isn't pressed.
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause between two tries, so that a change is in force well within its bound after an outage.
const LONGEST_PAUSE: Duration = Duration::from_millis(1200);

/// How a follower asks.
#[derive(Clone, Copy, Debug)]
pub struct FollowTiming {
    /// How long it waits after changes before it asks again, so that changes that come together cost one call.
    pub batch_delay: Duration,
    /// Longest time for which a watch is held: how often its end proves that nothing has changed.
    pub longest_watch: Duration,
}

impl FollowTiming {
    /// Makes the pace of one whose watches are held as long as the service holds them, unless a proof is needed sooner.
    #[must_use]
    pub fn new(batch_delay: Duration, proof_interval: Option<Duration>) -> Self {
        Self {
            batch_delay,
            longest_watch: proof_interval.unwrap_or(WATCH_WAIT),
        }
    }

    /// Returns the time in which a source has to tell what others tell: it may have begun to gather changes just before,
    /// and half as much again is for the way.
    #[must_use]
    pub fn source_timeout(&self) -> Duration {
        self.batch_delay.mul_f64(1.5)
    }

    /// Returns how long the service holds the next watch, after one that brought changes or none.
    #[must_use]
    pub fn watch_wait(&self, changed: bool) -> Duration {
        if changed {
            SHORT_WATCH_WAIT.min(self.longest_watch)
        } else {
            self.longest_watch
        }
    }
}

/// What a follower learns.
#[derive(Clone, Debug)]
pub enum FollowEvent {
    /// All keys under the prefix, as they are now.
    All(StorePage),
    /// Changes in order.
    Changes(StorePage),
    /// The service has become unreachable for this follower.
    Disconnected,
    /// The service is reachable again; it was lost for the given time.
    Reconnected(Duration),
    /// All changes up to a moment have been told.
    Confirmed(BootTime),
}

#[derive(Serialize)]
struct StoreLine<'line> {
    prefix: &'line str,
    reason: String,
    lost_ms: u128,
    /// Revision up to which everything is known; 0 where everything has to be read.
    position: StoreRevision,
    /// How long ago the service answered last, in milliseconds.
    unanswered_ms: u128,
}

/// Follows a prefix until cancelled; the events go to the sender. Everything is read again when `outdated` is told.
pub async fn follow_prefix(
    client: StoreClient,
    prefix: &'static str,
    pace: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    outdated: Arc<Notify>,
    cancel: CancellationToken,
) {
    let mut follower = PrefixFollower {
        client,
        prefix,
        pace,
        events,
        outdated,
        position: None,
        wait: pace.watch_wait(true),
        pause: FIRST_PAUSE,
        lost_since: None,
        answered: Instant::now(),
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = follower.run() => {}
    }
}

struct PrefixFollower {
    client: StoreClient,
    prefix: &'static str,
    pace: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    /// Told where a watch has stayed silent about a change.
    outdated: Arc<Notify>,
    /// Revision after which to go on; `None` where everything has to be read.
    position: Option<u64>,
    /// How long the next watch is held.
    wait: Duration,
    pause: Duration,
    lost_since: Option<Instant>,
    /// When the service answered last.
    answered: Instant,
}

impl PrefixFollower {
    async fn run(&mut self) {
        loop {
            let result = tokio::select! {
                result = self.ask() => result,
                () = self.outdated.notified() => {
                    self.forget();
                    continue;
                }
            };
            let open = match result {
                Ok(event) => self.take(event).await,
                Err(failure) => self.fail(&failure).await,
            };
            if !open {
                return;
            }
        }
    }

    /// Asks what is new.
    async fn ask(&self) -> Result<FollowEvent, StoreFailure> {
        let Some(after) = self.position else {
            let page = self.client.read_all(self.prefix).await?;
            return Ok(FollowEvent::All(page));
        };
        let page = self.client.watch(self.prefix, after, self.wait).await?;
        Ok(FollowEvent::Changes(page))
    }

    /// Reads everything again: a watch has stayed silent about a change.
    fn forget(&mut self) {
        self.log("store-watch-silent", String::new(), Duration::ZERO);
        self.position = None;
        self.wait = self.pace.watch_wait(true);
    }

    async fn take(&mut self, event: FollowEvent) -> bool {
        self.pause = FIRST_PAUSE;
        self.answered = Instant::now();
        if let Some(since) = self.lost_since.take() {
            let lost = since.elapsed();
            self.log("store-regained", String::new(), lost);
            if self
                .events
                .send(FollowEvent::Reconnected(lost))
                .await
                .is_err()
            {
                return false;
            }
        }
        let (FollowEvent::All(page) | FollowEvent::Changes(page)) = &event else {
            return true;
        };
        self.position = Some(page.revision);
        if page.nameless > 0 {
            let reason = format!("{} items name no key; the others hold", page.nameless);
            self.log("store-items-nameless", reason, Duration::ZERO);
        }
        let changed = !page.items.is_empty();
        self.wait = self.pace.watch_wait(changed);
        let open = self.events.send(event).await.is_ok();
        if changed {
            tokio::time::sleep(self.pace.batch_delay).await;
        }
        open
    }

    async fn fail(&mut self, failure: &StoreFailure) -> bool {
        if matches!(failure, StoreFailure::Compacted) {
            self.log("store-compacted", failure.to_string(), Duration::ZERO);
            self.position = None;
            return true;
        }
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            self.log("store-lost", failure.to_string(), Duration::ZERO);
            if self.events.send(FollowEvent::Disconnected).await.is_err() {
                return false;
            }
        }
        // A watch that goes on from an old position while the service drops its history may stay silent about
        // what it missed, so a cut one is not resumed: everything is read again.
        self.position = None;
        self.wait = self.pace.watch_wait(true);
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(self.pause.mul_f64(jitter)).await;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        true
    }

    fn log(&self, event: &'static str, reason: String, lost: Duration) {
        let line = StoreLine {
            prefix: self.prefix,
            reason,
            lost_ms: lost.as_millis(),
            position: self.position.unwrap_or(0),
            unanswered_ms: self.answered.elapsed().as_millis(),
        };
        Logbook::global().record(event, &line);
    }
}
