//! Follows a prefix of the key-value service, including through outages of the service.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use tokio::sync::{Notify, mpsc};
use tokio_util::sync::CancellationToken;

use super::client::{StoreClient, StoreFailure};
use crate::access::BootTime;
use crate::dialect::{StorePage, StoreRevision};
use crate::observe::Logbook;

/// Time for which the service holds a watch without changes; the service's own maximum is 30 s.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Time for which the service holds a watch right after changes. A watch that was sent during an outage may never be
/// answered although its connection stays open; this is noticed within this time plus the client's call timeout. A long
/// watch is used only after a watch that was answered in time.
const SHORT_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Delay before the first retry: an interrupted watch is renewed quickly, but a service that rejects calls isn't
/// overloaded.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(60);

/// Maximum delay between two retries, so that after an outage a change takes effect well within its time limit.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(1200);

/// Timing of a follower's watches.
#[derive(Clone, Copy, Debug)]
pub struct FollowTiming {
    /// Delay between changes and the next watch, so that changes in quick succession cost one call.
    pub batch_delay: Duration,
    /// Maximum time for which a watch is held, and so the maximum interval between proofs that nothing has changed.
    pub longest_watch: Duration,
}

impl FollowTiming {
    /// Creates the timing of a follower whose watches last as long as the service allows, unless proofs are needed more
    /// often.
    #[must_use]
    pub fn new(batch_delay: Duration, proof_interval: Option<Duration>) -> Self {
        Self {
            batch_delay,
            longest_watch: proof_interval.unwrap_or(WATCH_WAIT),
        }
    }

    /// Returns the time within which a source has to deliver what others have reported: its batch delay may have begun
    /// just before, and half as much again is allowed for the transfer.
    #[must_use]
    pub fn source_timeout(&self) -> Duration {
        self.batch_delay.mul_f64(1.5)
    }

    /// Returns the time for which the service holds the next watch; depends on whether the last one returned changes.
    #[must_use]
    pub fn watch_wait(&self, changed: bool) -> Duration {
        if changed {
            SHORT_WATCH_WAIT.min(self.longest_watch)
        } else {
            self.longest_watch
        }
    }
}

/// Event of a followed prefix.
#[derive(Clone, Debug)]
pub enum FollowEvent {
    /// All keys under the prefix in their current state.
    All(StorePage),
    /// Changes in the order of their revisions.
    Changes(StorePage),
    /// The service has become unreachable.
    Disconnected,
    /// The service is reachable again; carries the duration of the outage.
    Reconnected(Duration),
    /// All changes up to a point in time have been delivered.
    Confirmed(BootTime),
}

#[derive(Serialize)]
struct StoreEventLine<'line> {
    prefix: &'line str,
    reason: String,
    lost_ms: u128,
    /// Revision up to which all changes are known; 0 if all keys have to be read.
    position: StoreRevision,
    /// Time since the service's last response, in milliseconds.
    unanswered_ms: u128,
}

/// Follows a prefix until cancelled and sends its events. All keys are read again when `outdated` is notified.
pub async fn follow_prefix(
    client: StoreClient,
    prefix: &'static str,
    timing: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    outdated: Arc<Notify>,
    cancel: CancellationToken,
) {
    let mut follower = PrefixFollower {
        client,
        prefix,
        timing,
        events,
        outdated,
        position: None,
        wait: timing.watch_wait(true),
        retry_delay: FIRST_RETRY_DELAY,
        disconnected_since: None,
        last_response: Instant::now(),
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        () = follower.run() => {}
    }
}

struct PrefixFollower {
    client: StoreClient,
    prefix: &'static str,
    timing: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    /// Notified when the watch has missed a change.
    outdated: Arc<Notify>,
    /// Revision after which the next watch continues; `None` if all keys have to be read.
    position: Option<u64>,
    /// Time for which the next watch is held.
    wait: Duration,
    retry_delay: Duration,
    disconnected_since: Option<Instant>,
    /// Time of the service's last response.
    last_response: Instant,
}

impl PrefixFollower {
    async fn run(&mut self) {
        loop {
            let result = tokio::select! {
                result = self.fetch() => result,
                () = self.outdated.notified() => {
                    self.invalidate();
                    continue;
                }
            };
            let is_open = match result {
                Ok(event) => self.handle_event(event).await,
                Err(failure) => self.handle_failure(&failure).await,
            };
            if !is_open {
                return;
            }
        }
    }

    /// Reads all keys, or watches for changes if the position is known.
    async fn fetch(&self) -> Result<FollowEvent, StoreFailure> {
        let Some(after) = self.position else {
            let page = self.client.read_all(self.prefix).await?;
            return Ok(FollowEvent::All(page));
        };
        let page = self.client.watch(self.prefix, after, self.wait).await?;
        Ok(FollowEvent::Changes(page))
    }

    /// Has all keys read again, because the watch has missed a change.
    fn invalidate(&mut self) {
        self.log("store-watch-silent", String::new(), Duration::ZERO);
        self.position = None;
        self.wait = self.timing.watch_wait(true);
    }

    async fn handle_event(&mut self, event: FollowEvent) -> bool {
        self.retry_delay = FIRST_RETRY_DELAY;
        self.last_response = Instant::now();
        if let Some(since) = self.disconnected_since.take() {
            let outage = since.elapsed();
            self.log("store-regained", String::new(), outage);
            if self
                .events
                .send(FollowEvent::Reconnected(outage))
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
            let reason = format!(
                "{} items have no key; the others are applied",
                page.nameless
            );
            self.log("store-items-nameless", reason, Duration::ZERO);
        }
        let changed = !page.items.is_empty();
        self.wait = self.timing.watch_wait(changed);
        let is_open = self.events.send(event).await.is_ok();
        if changed {
            tokio::time::sleep(self.timing.batch_delay).await;
        }
        is_open
    }

    async fn handle_failure(&mut self, failure: &StoreFailure) -> bool {
        if matches!(failure, StoreFailure::Compacted) {
            self.log("store-compacted", failure.to_string(), Duration::ZERO);
            self.position = None;
            return true;
        }
        if self.disconnected_since.is_none() {
            self.disconnected_since = Some(Instant::now());
            self.log("store-lost", failure.to_string(), Duration::ZERO);
            if self.events.send(FollowEvent::Disconnected).await.is_err() {
                return false;
            }
        }
        // A watch resumed from an old position while the service compacts its history may omit what was missed, so an
        // interrupted watch is never resumed: all keys are read again.
        self.position = None;
        self.wait = self.timing.watch_wait(true);
        let jitter = rand::random_range(0.75..1.25);
        tokio::time::sleep(self.retry_delay.mul_f64(jitter)).await;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        true
    }

    fn log(&self, event: &'static str, reason: String, outage: Duration) {
        let line = StoreEventLine {
            prefix: self.prefix,
            reason,
            lost_ms: outage.as_millis(),
            position: self.position.unwrap_or(0),
            unanswered_ms: self.last_response.elapsed().as_millis(),
        };
        Logbook::global().record(event, &line);
    }
}
