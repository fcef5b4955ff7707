//! Following the key-value service through the keepers, and the service itself where no keeper tells.
//!
//! A start reads two shared keys from the service, and from then on one keeper tells what changes. An entry whose keeper
//! is lost, cut off from the service, or behind the others turns to the next one. Only an entry that no keeper tells
//! anything for a while asks the service itself, and goes back to the keepers as soon as one tells again.

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

/// How long a keeper may hold a question that it has nothing to tell to: links give up after twice that silence.
const STREAM_HOLD: Duration = Duration::from_millis(400);

/// Pause before the next keeper is asked after one that tells nothing.
const NEXT_PAUSE: Duration = Duration::from_millis(150);

/// Time without a word of any keeper after which a start asks the service itself.
const START_PATIENCE: Duration = Duration::from_secs(1);

/// Least time without a word of any keeper after which the service itself is asked, drawn up to twice as long, so that
/// not all instances ask at once: a configuration has to be in force within seconds.
const LEAST_PATIENCE: Duration = Duration::from_millis(1500);

/// Longest such time, after tries that brought nothing: keepers go on asking the service more often.
const LONGEST_PATIENCE: Duration = Duration::from_secs(6);

/// Pause between two reads of the shared keys while these are not written yet: a deployment starts.
const START_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a start waits for the shared keys before it follows the service itself.
const SHARED_PATIENCE: Duration = Duration::from_secs(6);

/// Time in which what was read is taken in.
const TAKE_PAUSE: Duration = Duration::from_millis(10);

/// Time between two looks at whether a keeper tells again.
const RETURN_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct SourceLine<'line> {
    /// Keeper that is followed; empty for the service itself.
    keeper: &'line str,
    reason: &'line str,
    position: StoreRevision,
    /// How long nobody had told anything, in milliseconds.
    silent_ms: u128,
    /// Newest revision of which any keeper has told.
    newest: StoreRevision,
    /// How long it has been known that others know more than the keeper before, in milliseconds.
    behind_ms: u128,
}

/// Follows what instances have to know until cancelled; the events go to the sender.
///
/// The pace is that at which the service is followed itself.
pub(super) async fn follow_keepers(
    context: Arc<EntryContext>,
    store: StoreClient,
    pace: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    cancel: CancellationToken,
) {
    let mut follower = StreamFollower {
        context,
        store,
        pace,
        events,
        position: None,
        keeper: SmolStr::default(),
        returns: 0,
        turn: 0,
        turned: Instant::now(),
        told: Instant::now(),
        patience: START_PATIENCE,
    };
    tokio::select! {
        () = cancel.cancelled() => {}
        Err(Ended) = follower.run() => {}
    }
}

/// Nobody takes the events any more.
struct Ended;

/// A keeper that may be followed.
struct StreamSource {
    keepers: Arc<KeeperClient>,
    slot: KeeperSlot,
}

struct StreamFollower {
    context: Arc<EntryContext>,
    store: StoreClient,
    pace: FollowTiming,
    events: mpsc::Sender<FollowEvent>,
    position: Option<StoreRevision>,
    /// Keeper that told last.
    keeper: SmolStr,
    /// Returns of the service that this keeper has told.
    returns: u64,
    /// Place of the next keeper in the order of preference.
    turn: usize,
    /// When this keeper was turned to.
    turned: Instant,
    /// When somebody told something last.
    told: Instant,
    patience: Duration,
}

impl StreamFollower {
    async fn run(&mut self) -> Result<(), Ended> {
        self.read_shared().await?;
        loop {
            self.follow_streams().await?;
            self.follow_service().await?;
        }
    }

    /// Reads the keys that are needed to reach keepers. They hardly ever change, so that old ones do.
    async fn read_shared(&mut self) -> Result<(), Ended> {
        let due = Instant::now() + SHARED_PATIENCE;
        while Instant::now() < due {
            match self.store.read_stale(SHARED_PREFIX).await {
                Ok(page) => self.send(FollowEvent::Changes(page)).await?,
                Err(failure) => log::info!("keepers are not known yet: {failure}"),
            }
            tokio::time::sleep(TAKE_PAUSE).await;
            if self.source(self.turn).is_some() {
                break;
            }
            let jitter = rand::random_range(0.75..1.25);
            tokio::time::sleep(START_PAUSE.mul_f64(jitter)).await;
        }
        self.told = Instant::now();
        Ok(())
    }

    /// Follows keepers for as long as one tells something.
    async fn follow_streams(&mut self) -> Result<(), Ended> {
        while self.told.elapsed() < self.patience {
            let Some(source) = self.source(self.turn) else {
                tokio::time::sleep(NEXT_PAUSE).await;
                continue;
            };
            let reply = tokio::select! {
                reply = self.ask(&source, STREAM_HOLD) => reply,
                () = source.keepers.lag().wait_until_stale(self.turned, self.pace.source_timeout()) => {
                    self.turn_to_teller(&source.keepers);
                    continue;
                }
            };
            let useful = match reply {
                Some(reply) => self.take(&source, reply).await?,
                None => false,
            };
            if !useful {
                self.turn_to(self.turn + 1);
                tokio::time::sleep(NEXT_PAUSE).await;
            }
        }
        Ok(())
    }

    /// Turns to the keeper that knows most.
    fn turn_to_teller(&mut self, keepers: &KeeperClient) {
        let (_, teller) = keepers.lag().newest();
        let sources = keepers.stream_sources();
        let place = sources.iter().position(|slot| slot.name == teller);
        self.turn_to(place.unwrap_or(self.turn + 1));
    }

    fn turn_to(&mut self, turn: usize) {
        self.turn = turn;
        self.turned = Instant::now();
    }

    /// Returns the keeper whose turn it is, of those within reach in the order of preference.
    fn source(&self, turn: usize) -> Option<StreamSource> {
        let keepers = self.context.keepers.load_full()?;
        let slots = keepers.stream_sources();
        let slot = slots.get(turn % slots.len().max(1))?.clone();
        Some(StreamSource { keepers, slot })
    }

    async fn ask(&self, source: &StreamSource, hold: Duration) -> Option<StreamReply> {
        let request = StreamRequest {
            position: self.position,
            hold,
        };
        source.keepers.follow(&source.slot, request).await
    }

    /// Takes a keeper's answer; returns whether the keeper is worth following.
    async fn take(&mut self, source: &StreamSource, reply: StreamReply) -> Result<bool, Ended> {
        let lost = reply.lost;
        if !reply.reaches(self.position) {
            return Ok(false);
        }
        if !lost {
            self.note_source(&source.slot.name, "a keeper tells");
            self.told = Instant::now();
            self.patience = LEAST_PATIENCE.mul_f64(rand::random_range(1.0..2.0));
        }
        self.take_return(&source.slot, &reply).await?;
        match reply.part {
            StreamPart::All(page) => self.send_page(page, FollowEvent::All).await?,
            StreamPart::Changes(page) => self.send_page(page, FollowEvent::Changes).await?,
            StreamPart::Nothing(_) | StreamPart::Unread => {}
        }
        Ok(!lost)
    }

    async fn send_proof(&self, proof: Option<BootTime>) -> Result<(), Ended> {
        match proof {
            Some(moment) => self.send(FollowEvent::Confirmed(moment)).await,
            None => Ok(()),
        }
    }

    /// Tells that the service was away, once for each time that a keeper found it back.
    async fn take_return(&mut self, source: &KeeperSlot, reply: &StreamReply) -> Result<(), Ended> {
        let fresh = if self.keeper == source.name {
            reply.returns > self.returns
        } else {
            reply
                .returned
                .is_some_and(|since| since < REREGISTRATION_TIME)
        };
        self.keeper = source.name.clone();
        self.returns = reply.returns;
        if fresh && !reply.lost {
            self.send(FollowEvent::Reconnected(reply.returned.unwrap_or_default()))
                .await?;
        }
        Ok(())
    }

    /// Follows the service itself until a keeper tells again, or the service doesn't.
    async fn follow_service(&mut self) -> Result<(), Ended> {
        let silent = self.told.elapsed();
        let sent = BootTime::now();
        let page = match self.store.read_all(ALL_KEYS).await {
            Ok(page) => page,
            Err(failure) => {
                self.give_up_service(&failure);
                return Ok(());
            }
        };
        self.note_source("", "no keeper tells");
        self.keeper = SmolStr::default();
        self.send(FollowEvent::Reconnected(silent)).await?;
        self.send_page(page, FollowEvent::All).await?;
        self.send_proof(Some(sent)).await?;
        let mut wait = self.pace.watch_wait(true);
        loop {
            let position = self.position.unwrap_or(0);
            let sent = BootTime::now();
            let watched = tokio::select! {
                watched = self.store.watch(ALL_KEYS, position, wait) => watched,
                () = self.keeper_tells() => {
                    self.told = Instant::now();
                    return Ok(());
                }
            };
            let page = match watched {
                Ok(page) => page,
                Err(failure) => {
                    self.give_up_service(&failure);
                    return Ok(());
                }
            };
            let count = page.items.len();
            let changed = count > 0;
            let proof = proof_of_watch(sent, BootTime::now(), wait, count);
            wait = self.pace.watch_wait(changed);
            self.send_page(page, FollowEvent::Changes).await?;
            self.send_proof(proof).await?;
            if changed {
                tokio::time::sleep(self.pace.batch_delay).await;
            }
        }
    }

    /// Turns to the keepers again after the service told nothing.
    fn give_up_service(&mut self, failure: &StoreFailure) {
        log::info!("neither keepers nor the key-value service tell anything: {failure}");
        self.told = Instant::now();
        self.patience = (self.patience * 2).min(LONGEST_PATIENCE);
    }

    /// Resolves when a keeper tells that knows as much as this instance.
    async fn keeper_tells(&self) {
        let mut turn = self.turn;
        loop {
            tokio::time::sleep(RETURN_INTERVAL).await;
            let Some(source) = self.source(turn) else {
                continue;
            };
            turn += 1;
            let reply = self.ask(&source, Duration::ZERO).await;
            let Some(reply) = reply.filter(|reply| !reply.lost) else {
                continue;
            };
            if reply.reaches(self.position) {
                return;
            }
        }
    }

    /// Sends a page, and goes on from it.
    async fn send_page<Event>(&mut self, page: StorePage, event: Event) -> Result<(), Ended>
    where
        Event: FnOnce(StorePage) -> FollowEvent,
    {
        self.position = Some(page.revision);
        if let Some(keepers) = self.context.keepers.load().as_ref() {
            keepers.lag().advance(page.revision);
        }
        self.send(event(page)).await
    }

    async fn send(&self, event: FollowEvent) -> Result<(), Ended> {
        self.events.send(event).await.map_err(|_| Ended)
    }

    fn note_source(&self, keeper: &str, reason: &'static str) {
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
            silent_ms: self.told.elapsed().as_millis(),
            newest: keepers.map_or(0, |keepers| keepers.lag().newest().0),
            behind_ms: behind.as_millis(),
        };
        Logbook::global().record("store-source", &line);
    }
}
