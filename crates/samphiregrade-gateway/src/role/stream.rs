//! Follows the key-value service through the keepers, and directly while no keeper reports anything.
//!
//! At the start, an entry reads the two shared keys from the service; from then on, one keeper reports the changes. An
//! entry switches to the next keeper if its keeper is lost, can't reach the service, or is behind the other keepers. An
//! entry that receives nothing from any keeper for a while follows the service directly, and returns to the keepers as
//! soon as one of them reports again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use smol_str::SmolStr;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::authority::SHARED_PREFIX;
use crate::access::{BootTime, proof_of_watch};
use crate::dialect::{StorePage, StoreRevision};
use crate::exchange::EntryContext;
use crate::fact::{KeeperClient, KeeperSlot};
use crate::observe::Logbook;
use crate::store::{
    ALL_KEYS, FollowEvent, FollowTiming, StoreClient, StoreFailure, StreamPart, StreamReply,
    StreamRequest,
};
use crate::upstream::REREGISTRATION_TIME;

/// Longest wait of a long poll to a keeper without changes: links are closed after about twice as long without data.
const POLL_WAIT: Duration = Duration::from_millis(400);

/// Delay before the next keeper is queried after one that reports nothing.
const SWITCH_DELAY: Duration = Duration::from_millis(150);

/// Time without a report of any keeper after which a starting entry follows the key-value service directly.
const START_FALLBACK_DELAY: Duration = Duration::from_secs(1);

/// Shortest time without a report of any keeper after which the key-value service is followed directly. The time is
/// drawn at random up to twice as long, so that not all instances query the service at once. It is short because a
/// configuration must be in force within seconds.
const MIN_FALLBACK_DELAY: Duration = Duration::from_millis(1500);

/// Longest such time, after failed queries of the service: keepers keep querying it more often.
const MAX_FALLBACK_DELAY: Duration = Duration::from_secs(6);

/// Delay between two reads of the shared keys while a new deployment has not written them yet.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time for which a starting entry waits for the shared keys before it follows the key-value service directly.
const SHARED_KEYS_TIMEOUT: Duration = Duration::from_secs(6);

/// Time in which the shared keys that were read are applied.
const APPLY_DELAY: Duration = Duration::from_millis(10);

/// Interval between two checks whether a keeper reports again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct SourceLine<'line> {
    /// Keeper that is followed; empty for the key-value service itself.
    keeper: &'line str,
    reason: &'line str,
    position: StoreRevision,
    /// Time without any report, in milliseconds.
    silent_ms: u128,
    /// Newest revision that any keeper has reported.
    newest: StoreRevision,
    /// Time since the first report of a revision that this instance has not received, in milliseconds.
    behind_ms: u128,
}

/// Follows the keys that instances need until cancelled; the events go to the sender.
///
/// `timing` applies while the key-value service is followed directly.
pub(super) async fn follow_keepers(
    context: Arc<EntryContext>,
    store: StoreClient,
    timing: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    cancel: CancellationToken,
) {
    let mut follower = StreamFollower {
        context,
        store,
        timing,
        events,
        position: None,
        keeper: SmolStr::default(),
        reconnections: 0,
        source_index: 0,
        selected: Instant::now(),
        last_report: Instant::now(),
        fallback_delay: START_FALLBACK_DELAY,
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        Err(ReceiverDropped) = follower.run() => {}
    }
}

/// The receiver of the events has been dropped.
struct ReceiverDropped;

/// A keeper that may be followed.
struct StreamSource {
    keepers: Arc<KeeperClient>,
    slot: KeeperSlot,
}

struct StreamFollower {
    context: Arc<EntryContext>,
    store: StoreClient,
    timing: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    position: Option<StoreRevision>,
    /// Keeper that reported last.
    keeper: SmolStr,
    /// Number of reconnections to the service that this keeper has reported.
    reconnections: u64,
    /// Index of the current keeper in the order of preference.
    source_index: usize,
    /// When this keeper was selected.
    selected: Instant,
    /// When a keeper or the service reported last.
    last_report: Instant,
    /// Time without a report after which the service is followed directly.
    fallback_delay: Duration,
}

impl StreamFollower {
    async fn run(&mut self) -> Result<(), ReceiverDropped> {
        self.read_shared_keys().await?;
        loop {
            self.poll_keepers().await?;
            self.follow_store().await?;
        }
    }

    /// Reads the keys that are needed to reach keepers. They hardly ever change, so a stale read is sufficient.
    async fn read_shared_keys(&mut self) -> Result<(), ReceiverDropped> {
        let due = Instant::now() + SHARED_KEYS_TIMEOUT;
        while Instant::now() < due {
            match self.store.read_stale(SHARED_PREFIX).await {
                Ok(page) => self.send(FollowEvent::Changes(page)).await?,
                Err(failure) => log::info!("the keepers are not known yet: {failure}"),
            }
            tokio::time::sleep(APPLY_DELAY).await;
            if self.nth_source(self.source_index).is_some() {
                break;
            }
            let jitter = rand::random_range(0.75..1.25);
            tokio::time::sleep(RETRY_DELAY.mul_f64(jitter)).await;
        }
        self.last_report = Instant::now();
        Ok(())
    }

    /// Follows keepers for as long as any of them reports.
    async fn poll_keepers(&mut self) -> Result<(), ReceiverDropped> {
        while self.last_report.elapsed() < self.fallback_delay {
            let Some(source) = self.nth_source(self.source_index) else {
                tokio::time::sleep(SWITCH_DELAY).await;
                continue;
            };
            let reply = tokio::select! {
                reply = self.poll(&source, POLL_WAIT) => reply,
                () = source.keepers.lag().wait_until_stale(self.selected, self.timing.source_timeout()) => {
                    self.select_newest(&source.keepers);
                    continue;
                }
            };
            let usable = match reply {
                Some(reply) => self.apply_reply(&source, reply).await?,
                None => false,
            };
            if !usable {
                self.select_source(self.source_index + 1);
                tokio::time::sleep(SWITCH_DELAY).await;
            }
        }
        Ok(())
    }

    /// Selects the keeper that reported the newest revision first.
    fn select_newest(&mut self, keepers: &KeeperClient) {
        let (_, reporter) = keepers.lag().newest();
        let sources = keepers.stream_sources();
        let index = sources.iter().position(|slot| slot.name == reporter);
        self.select_source(index.unwrap_or(self.source_index + 1));
    }

    fn select_source(&mut self, index: usize) {
        self.source_index = index;
        self.selected = Instant::now();
    }

    /// Returns the keeper at an index in the order of preference of the reachable keepers; it wraps around.
    fn nth_source(&self, index: usize) -> Option<StreamSource> {
        let keepers = self.context.keepers.load_full()?;
        let slots = keepers.stream_sources();
        let slot = slots.get(index % slots.len().max(1))?.clone();
        Some(StreamSource { keepers, slot })
    }

    async fn poll(&self, source: &StreamSource, hold: Duration) -> Option<StreamReply> {
        let request = StreamRequest {
            position: self.position,
            hold,
        };
        source.keepers.follow(&source.slot, request).await
    }

    /// Applies a keeper's reply; returns whether the keeper should be followed further.
    async fn apply_reply(
        &mut self,
        source: &StreamSource,
        reply: StreamReply,
    ) -> Result<bool, ReceiverDropped> {
        let lost = reply.lost;
        if !reply.reaches(self.position) {
            return Ok(false);
        }
        if !lost {
            self.log_source(&source.slot.name, "a keeper reports");
            self.last_report = Instant::now();
            self.fallback_delay = MIN_FALLBACK_DELAY.mul_f64(rand::random_range(1.0..2.0));
        }
        self.report_reconnection(&source.slot, &reply).await?;
        match reply.part {
            StreamPart::All(page) => self.send_page(page, FollowEvent::All).await?,
            StreamPart::Changes(page) => self.send_page(page, FollowEvent::Changes).await?,
            StreamPart::Nothing(_) | StreamPart::Unread => {}
        }
        Ok(!lost)
    }

    async fn send_proof(&self, proof: Option<BootTime>) -> Result<(), ReceiverDropped> {
        match proof {
            Some(moment) => self.send(FollowEvent::Confirmed(moment)).await,
            None => Ok(()),
        }
    }

    /// Reports that the service was unreachable, once for each reconnection of a keeper.
    async fn report_reconnection(
        &mut self,
        source: &KeeperSlot,
        reply: &StreamReply,
    ) -> Result<(), ReceiverDropped> {
        let reconnected = if self.keeper == source.name {
            reply.returns > self.reconnections
        } else {
            reply
                .returned
                .is_some_and(|since| since < REREGISTRATION_TIME)
        };
        self.keeper = source.name.clone();
        self.reconnections = reply.returns;
        if reconnected && !reply.lost {
            self.send(FollowEvent::Reconnected(reply.returned.unwrap_or_default()))
                .await?;
        }
        Ok(())
    }

    /// Follows the key-value service directly until a keeper reports again or the service fails.
    async fn follow_store(&mut self) -> Result<(), ReceiverDropped> {
        let silence = self.last_report.elapsed();
        let sent = BootTime::now();
        let page = match self.store.read_all(ALL_KEYS).await {
            Ok(page) => page,
            Err(failure) => {
                self.resume_keepers(&failure);
                return Ok(());
            }
        };
        self.log_source("", "no keeper reports");
        self.keeper = SmolStr::default();
        self.send(FollowEvent::Reconnected(silence)).await?;
        self.send_page(page, FollowEvent::All).await?;
        self.send_proof(Some(sent)).await?;
        let mut wait = self.timing.watch_wait(true);
        loop {
            let position = self.position.unwrap_or(0);
            let sent = BootTime::now();
            let watched = tokio::select! {
                watched = self.store.watch(ALL_KEYS, position, wait) => watched,
                () = self.keeper_reports() => {
                    self.last_report = Instant::now();
                    return Ok(());
                }
            };
            let page = match watched {
                Ok(page) => page,
                Err(failure) => {
                    self.resume_keepers(&failure);
                    return Ok(());
                }
            };
            let count = page.items.len();
            let changed = count > 0;
            let proof = proof_of_watch(sent, BootTime::now(), wait, count);
            wait = self.timing.watch_wait(changed);
            self.send_page(page, FollowEvent::Changes).await?;
            self.send_proof(proof).await?;
            if changed {
                tokio::time::sleep(self.timing.batch_delay).await;
            }
        }
    }

    /// Returns to the keepers after the service has failed.
    fn resume_keepers(&mut self, failure: &StoreFailure) {
        log::info!(
            "neither the keepers nor the key-value service respond: {failure}; retrying the keepers"
        );
        self.last_report = Instant::now();
        self.fallback_delay = (self.fallback_delay * 2).min(MAX_FALLBACK_DELAY);
    }

    /// Resolves when a keeper replies that is at least as current as this instance.
    async fn keeper_reports(&self) {
        let mut index = self.source_index;
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let Some(source) = self.nth_source(index) else {
                continue;
            };
            index += 1;
            let reply = self.poll(&source, Duration::ZERO).await;
            let Some(reply) = reply.filter(|reply| !reply.lost) else {
                continue;
            };
            if reply.reaches(self.position) {
                return;
            }
        }
    }

    /// Sends a page, and continues from its revision.
    async fn send_page<Event>(
        &mut self,
        page: StorePage,
        event: Event,
    ) -> Result<(), ReceiverDropped>
    where
        Event: FnOnce(StorePage) -> FollowEvent,
    {
        self.position = Some(page.revision);
        if let Some(keepers) = self.context.keepers.load().as_ref() {
            keepers.lag().advance(page.revision);
        }
        self.send(event(page)).await
    }

    async fn send(&self, event: FollowEvent) -> Result<(), ReceiverDropped> {
        self.events.send(event).await.map_err(|_| ReceiverDropped)
    }

    fn log_source(&self, keeper: &str, reason: &'static str) {
        if self.keeper == keeper && !keeper.is_empty() {
            return;
        }
        let keepers = self.context.keepers.load();
        let keepers = keepers.as_ref();
        let behind = keepers.map_or(Duration::ZERO, |keepers| keepers.lag().duration());
        let line = SourceLine {
            keeper,
            reason,
            position: self.position.unwrap_or(0),
            silent_ms: self.last_report.elapsed().as_millis(),
            newest: keepers.map_or(0, |keepers| keepers.lag().newest().0),
            behind_ms: behind.as_millis(),
        };
        Logbook::global().record("store-source", &line);
    }
}
