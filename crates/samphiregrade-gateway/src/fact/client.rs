//! Asking the keepers: reservations, commits and chains by majorities.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use thiserror::Error;
use tokio::sync::mpsc;

use super::health::KeeperHealth;
use super::helper::{HelperAddress, HelperBook};
use super::message::{
    ChainAnswer, FactRecord, KeeperEnvelope, KeeperReply, KeeperRequest, ProgramLedger,
};
use super::placement::{KeeperPlacement, KeeperSlot, PlacementGeneration};
use crate::link::LinkEndpoint;
use crate::model::{ProgramId, TurnId};
use crate::observe::GatewayMetrics;
use crate::upstream::OutcomeBoard;

/// Longest wait for one keeper: dozens of round trips and syncs, and short against a client's deadline.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for a keeper that nobody waits for.
const BACKGROUND_TIMEOUT: Duration = Duration::from_millis(1500);

/// Times that a fact is sent to a keeper that does not confirm it.
const BACKGROUND_TRIES: usize = 3;

/// Pause before a question is sent again whose connection failed: half of what a link waits before it connects again.
const REPEAT_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait until a fact is durable. The end of an answer that has run waits for it, and is broken off otherwise.
/// It outlasts a stop of a keeper and its start, which take some 0.6 s together, and stays within the two seconds that
/// callers wait at least for the next part of an answer.
const STORE_PATIENCE: Duration = Duration::from_millis(1800);

/// Pause between two looks at whether a newer placement was learnt while a fact is being stored.
const OUTDATED_LOOK: Duration = Duration::from_millis(50);

/// Why a fact is not known to be durable, or a question has no sure answer.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FactFailure {
    /// No placement is known yet.
    #[error("no keeper is known yet; ask again shortly")]
    NoPlacement,
    /// Too few keepers answered.
    #[error("too few keepers answer; ask again when they are back")]
    TooFew,
}

/// What became of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReserveOutcome {
    /// The tokens are set aside; this is what is known of the program.
    Held(ProgramLedger),
    /// The budget does not hold the turn.
    OverBudget(ProgramLedger),
}

/// Whether a chain exists.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChainLookup {
    /// Its turns, joined.
    Found(Bytes),
    /// No such turn exists, for certain.
    Absent,
}

/// What became of a question.
enum AskedKeeper {
    Answered(KeeperReply),
    /// A helper has passed it on.
    Helped(KeeperReply),
    /// The connection failed, or no answer came in time.
    Silent,
}

/// The client of all keepers; cloning it is cheap.
#[derive(Clone)]
pub struct KeeperClient {
    pub(super) links: LinkEndpoint,
    pub(super) placement: Arc<ArcSwap<KeeperPlacement>>,
    metrics: Arc<GatewayMetrics>,
    /// This instance, as others may use it as a helper.
    pub(super) own: HelperAddress,
    pub(super) health: Arc<KeeperHealth>,
    outcomes: Arc<OutcomeBoard>,
    /// Number of its own, by which it orders keepers.
    pub(super) seed: u64,
    /// Entries through which keepers are reached that don't answer straight.
    pub(super) helpers: Arc<HelperBook>,
    /// Newest revision of the key-value service that a keeper has told.
    pub(super) newest: Arc<AtomicU64>,
}

impl KeeperClient {
    /// Makes a client that follows a placement, and exchanges accounts of upstreams with the keepers beside its calls.
    #[must_use]
    pub fn new(
        links: LinkEndpoint,
        placement: Arc<ArcSwap<KeeperPlacement>>,
        metrics: Arc<GatewayMetrics>,
        own: HelperAddress,
        outcomes: Arc<OutcomeBoard>,
    ) -> Self {
        Self {
            links,
            placement,
            metrics,
            own,
            health: Arc::default(),
            outcomes,
            seed: rand::random(),
            newest: Arc::default(),
            helpers: Arc::default(),
        }
    }

    /// Returns the placement that the client follows.
    #[must_use]
    pub fn placement(&self) -> KeeperPlacement {
        KeeperPlacement::clone(&self.placement.load())
    }

    /// Takes a placement if it is newer.
    pub fn adopt(&self, placement: &KeeperPlacement) {
        self.placement.rcu(|known| {
            if placement.generation > known.generation {
                Arc::new(placement.clone())
            } else {
                known.clone()
            }
        });
    }

    /// Sets tokens aside for a turn on a majority of the program's keepers, before it is dispatched.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] where too few keepers answer; the turn must not run then.
    pub async fn reserve(
        &self,
        program: &ProgramId,
        fact: FactRecord,
        budget: u64,
        turn: &TurnId,
        most: u32,
    ) -> Result<ReserveOutcome, FactFailure> {
        let request = &KeeperRequest::Reserve(fact);
        let ledger = self.under_newest(move |placement| async move {
            let group = self.reachable_group(&placement, program)?;
            let replies = self.ask_group(&placement, &group, request);
            gather_ledger(&placement, replies).await
        });
        let ledger = ledger.await?;
        Ok(if ledger.holds(budget, turn, most) {
            ReserveOutcome::Held(ledger)
        } else {
            ReserveOutcome::OverBudget(ledger)
        })
    }

    /// Stores a fact on a majority of the program's keepers.
    ///
    /// Keepers that are away for a moment are waited for, and where the placement changes meanwhile the fact is stored
    /// under the newer one: what has run must not be broken off since a keeper stops or a slot changes hands. Only
    /// confirmations under one placement count together.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] where too few confirm it in time.
    pub async fn store(&self, program: &ProgramId, fact: FactRecord) -> Result<(), FactFailure> {
        let due = Instant::now() + STORE_PATIENCE;
        self.store_until(program, fact, due).await
    }

    /// Stores a fact as [`Self::store`] does, and waits until a given moment.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] where too few confirm it by then.
    pub async fn store_until(
        &self,
        program: &ProgramId,
        fact: FactRecord,
        due: Instant,
    ) -> Result<(), FactFailure> {
        let fact = &fact;
        let storing = self.under_newest(move |placement| async move {
            self.store_under(&placement, program, fact).await
        });
        tokio::time::timeout_at(due.into(), storing)
            .await
            .unwrap_or(Err(FactFailure::TooFew))
    }

    /// Asks under the newest known placement, and again where a newer one is learnt meanwhile: keepers refuse what comes
    /// under an older one, and say which is newer.
    async fn under_newest<Asking, Asked, Output>(
        &self,
        asking: Asking,
    ) -> Result<Output, FactFailure>
    where
        Asked: Future<Output = Result<Output, FactFailure>>,
        Asking: Fn(Arc<KeeperPlacement>) -> Asked,
    {
        loop {
            let placement = self.placement.load_full();
            let asked = asking(placement.clone()).await;
            if asked.is_ok() || !self.is_outdated(&placement) {
                return asked;
            }
        }
    }

    /// Stores a fact on a majority of the keepers that a placement names.
    async fn store_under(
        &self,
        placement: &Arc<KeeperPlacement>,
        program: &ProgramId,
        fact: &FactRecord,
    ) -> Result<(), FactFailure> {
        let group = group_slots(placement, program)?;
        let mut replies = self.ask_group(placement, &group, &KeeperRequest::Store(fact.clone()));
        let mut stored = 0;
        while !self.is_outdated(placement) {
            // A newer placement may be learnt while nobody replies.
            let reply = match tokio::time::timeout(OUTDATED_LOOK, replies.recv()).await {
                Err(_) => continue,
                Ok(None) => break,
                Ok(Some(reply)) => reply,
            };
            stored += usize::from(matches!(reply, Some(KeeperReply::Stored)));
            if stored >= placement.majority() {
                return Ok(());
            }
        }
        Err(FactFailure::TooFew)
    }

    fn is_outdated(&self, placement: &KeeperPlacement) -> bool {
        self.placement.load().generation != placement.generation
    }

    /// Tells the program's keepers a fact that nobody waits for.
    pub fn note(&self, program: &ProgramId, fact: &FactRecord) {
        let placement = self.placement.load_full();
        let Ok(group) = group_slots(&placement, program) else {
            return;
        };
        for slot in group {
            let client = self.clone();
            let request = KeeperRequest::Note(fact.clone());
            tokio::spawn(async move { client.insist(slot, request).await });
        }
    }

    /// Looks a chain up: at the program's keepers, the nearest first, then at all.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] where it can't be told whether the turn exists, or not all of its chain is within reach.
    pub async fn chain(
        &self,
        program: &ProgramId,
        turn: &TurnId,
    ) -> Result<ChainLookup, FactFailure> {
        let mut wanted = turn.clone();
        let mut newer: Vec<Bytes> = Vec::new();
        loop {
            let wanted_turn = &wanted;
            let ended = self.under_newest(move |placement| async move {
                self.chain_end(&placement, program, wanted_turn).await
            });
            match ended.await? {
                ChainAnswer::Found(oldest) if newer.is_empty() => {
                    return Ok(ChainLookup::Found(oldest));
                }
                ChainAnswer::Found(oldest) => {
                    newer.push(oldest);
                    let joined: Vec<u8> = newer.iter().rev().flatten().copied().collect();
                    return Ok(ChainLookup::Found(joined.into()));
                }
                ChainAnswer::Partial {
                    missing,
                    newer: part,
                } => {
                    newer.push(part);
                    wanted = missing;
                }
                ChainAnswer::Absent if newer.is_empty() => return Ok(ChainLookup::Absent),
                ChainAnswer::Absent | ChainAnswer::Unknown => return Err(FactFailure::TooFew),
            }
        }
    }

    /// Asks for a turn with as much of its chain as one keeper has; `Absent` only where that is certain.
    async fn chain_end(
        &self,
        placement: &Arc<KeeperPlacement>,
        program: &ProgramId,
        turn: &TurnId,
    ) -> Result<ChainAnswer, FactFailure> {
        let mut group = self.reachable_group(placement, program)?;
        group.sort_by_key(|slot| slot.domain != self.own.domain);
        let request = KeeperRequest::Chain(turn.clone());
        let mut partial = None;
        if let Some(nearest) = group.first() {
            let asking = self.ask(nearest.clone(), placement, request.clone(), ASK_TIMEOUT);
            match asking.await {
                Some(KeeperReply::Chain(found @ ChainAnswer::Found(_))) => return Ok(found),
                Some(KeeperReply::Chain(part @ ChainAnswer::Partial { .. })) => {
                    partial = Some(part);
                }
                _ => {}
            }
        }
        let mut replies = self.ask_group(placement, &placement.slots, &request);
        let mut absent = 0;
        while let Some(reply) = replies.recv().await {
            match reply {
                Some(KeeperReply::Chain(found @ ChainAnswer::Found(_))) => return Ok(found),
                Some(KeeperReply::Chain(part @ ChainAnswer::Partial { .. })) => {
                    partial.get_or_insert(part);
                }
                Some(KeeperReply::Chain(ChainAnswer::Absent)) => absent += 1,
                _ => {}
            }
        }
        if let Some(part) = partial {
            return Ok(part);
        }
        // All have been heard by then: while a slot changes hands, the one that knows the turn, or the newer placement,
        // may be the last to answer.
        if absent >= placement.meets_majorities_anywhere() && !self.is_outdated(placement) {
            return Ok(ChainAnswer::Absent);
        }
        Err(FactFailure::TooFew)
    }

    /// Returns a program's keepers, if enough of them are known to be within reach.
    fn reachable_group(
        &self,
        placement: &KeeperPlacement,
        program: &ProgramId,
    ) -> Result<Vec<KeeperSlot>, FactFailure> {
        let group = group_slots(placement, program)?;
        if self.health.reachable(&group, Instant::now()) < placement.majority() {
            return Err(FactFailure::TooFew);
        }
        Ok(group)
    }

    /// Asks several keepers at once; each reply comes as it arrives, `None` for one that failed. A fact's confirmation
    /// may still come after that.
    fn ask_group(
        &self,
        placement: &Arc<KeeperPlacement>,
        slots: &[KeeperSlot],
        request: &KeeperRequest,
    ) -> mpsc::Receiver<Option<KeeperReply>> {
        let (sender, replies) = mpsc::channel(slots.len().max(1));
        for slot in slots {
            let client = self.clone();
            let placement = placement.clone();
            let request = request.clone();
            let sender = sender.clone();
            let slot = slot.clone();
            tokio::spawn(async move {
                let asking = client.ask_until(&slot, &placement, &request, ASK_TIMEOUT);
                let reply = asking.await;
                let failed = reply.is_none();
                // The asker may have its majority already.
                let _ = sender.send(reply).await;
                let lasting = matches!(request, KeeperRequest::Store(_));
                if !failed || !lasting {
                    return;
                }
                let confirmed = client.insist(slot, request).await;
                if confirmed == Some(placement.generation) {
                    // The asker may have given up, or have its majority.
                    let _ = sender.send(Some(KeeperReply::Stored)).await;
                }
            });
        }
        replies
    }

    /// Sends a fact until the keeper confirms it, a few times; returns the placement's number under which it did.
    async fn insist(
        &self,
        slot: KeeperSlot,
        request: KeeperRequest,
    ) -> Option<PlacementGeneration> {
        for _ in 0..BACKGROUND_TRIES {
            let placement = self.placement.load_full();
            let asking = self.ask_until(&slot, &placement, &request, BACKGROUND_TIMEOUT);
            if matches!(asking.await, Some(KeeperReply::Stored)) {
                return Some(placement.generation);
            }
            tokio::time::sleep(ASK_TIMEOUT).await;
        }
        None
    }

    /// Puts a request into the envelope for a keeper, with what the keeper has not been told of upstreams.
    pub(super) fn envelope(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
    ) -> KeeperEnvelope {
        KeeperEnvelope {
            generation: placement.generation,
            outcomes: self.outcomes.untold(&slot.name),
            request,
        }
    }

    /// Asks a keeper, through a helper where it doesn't answer straight.
    pub(super) async fn ask(
        &self,
        slot: KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let asked = self.ask_once(&slot, placement, request, timeout).await;
        self.take_asked(asked)
    }

    /// Asks a keeper, and asks it again where the connection fails while the asker still waits: a process that is
    /// stopped takes the questions on its links with it, and the next one may be there already. All of these
    /// questions may come twice: a keeper that knows a fact takes it as it is.
    async fn ask_until(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: &KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let due = Instant::now() + timeout;
        loop {
            let left = due.saturating_duration_since(Instant::now());
            let asked = self.ask_once(slot, placement, request.clone(), left).await;
            let over = Instant::now() + REPEAT_PAUSE >= due;
            if over || !matches!(asked, AskedKeeper::Silent) {
                return self.take_asked(asked);
            }
            tokio::time::sleep(REPEAT_PAUSE).await;
        }
    }

    async fn ask_once(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> AskedKeeper {
        let envelope = self.envelope(slot, placement, request);
        let straight = self.health.is_straight(&slot.name, Instant::now());
        if straight || self.helpers.used().is_empty() {
            return match self.links.ask(slot.address, &envelope, timeout).await {
                Ok(reply) => {
                    self.health.note(&slot.name, Instant::now());
                    AskedKeeper::Answered(reply)
                }
                Err(error) => {
                    log::debug!("keeper={} {error}", slot.name);
                    AskedKeeper::Silent
                }
            };
        }
        match self.ask_indirectly(slot, &envelope, timeout).await {
            Some(reply) => AskedKeeper::Helped(reply),
            None => AskedKeeper::Silent,
        }
    }

    /// Counts a question and takes what its answer tells.
    fn take_asked(&self, asked: AskedKeeper) -> Option<KeeperReply> {
        let (result, reply) = match asked {
            AskedKeeper::Answered(reply) => ("answered", Some(reply)),
            AskedKeeper::Helped(reply) => ("helped", Some(reply)),
            AskedKeeper::Silent => ("failed", None),
        };
        self.metrics.count_keeper_call(result);
        self.learn_from(reply?)
    }

    pub(super) async fn ask_straight(
        &self,
        slot: &KeeperSlot,
        placement: &KeeperPlacement,
        request: KeeperRequest,
        timeout: Duration,
    ) -> Option<KeeperReply> {
        let envelope = self.envelope(slot, placement, request);
        match self.links.ask(slot.address, &envelope, timeout).await {
            Ok(reply) => {
                self.health.note(&slot.name, Instant::now());
                self.metrics.count_keeper_call("answered");
                self.learn_from(reply)
            }
            Err(error) => {
                self.metrics.count_keeper_call("failed");
                log::debug!("keeper={} {error}", slot.name);
                None
            }
        }
    }

    /// Takes what a keeper tells beside its answer; `None` where the answer is only that the placement is old.
    fn learn_from(&self, reply: KeeperReply) -> Option<KeeperReply> {
        match &reply {
            KeeperReply::NewerPlacement(newer) => {
                self.adopt(newer);
                return None;
            }
            KeeperReply::Reserved { suspects, .. } | KeeperReply::Alive { suspects, .. } => {
                self.outcomes.learn(suspects, Instant::now());
            }
            KeeperReply::Accounts {
                suspects,
                revision,
                helper,
                ..
            } => {
                self.outcomes.learn(suspects, Instant::now());
                self.note_revision(*revision);
                if let Some(helper) = helper {
                    self.note_helper(helper.clone());
                }
            }
            KeeperReply::Stream {
                helper: Some(helper),
                ..
            } => self.note_helper(helper.clone()),
            _ => {}
        }
        Some(reply)
    }

    /// Notes an entry that may carry questions to keepers which this instance doesn't reach.
    pub fn note_helper(&self, helper: HelperAddress) {
        if helper.name != self.own.name {
            self.helpers.note(helper);
        }
    }
}

/// Adds up what keepers know of a program until any majority of them is met.
async fn gather_ledger(
    placement: &KeeperPlacement,
    mut replies: mpsc::Receiver<Option<KeeperReply>>,
) -> Result<ProgramLedger, FactFailure> {
    let mut ledger = ProgramLedger::default();
    let (mut stored, mut complete) = (0, 0);
    while let Some(reply) = replies.recv().await {
        let Some(KeeperReply::Reserved {
            ledger: known,
            complete: whole,
            ..
        }) = reply
        else {
            continue;
        };
        ledger.merge(known);
        stored += 1;
        complete += usize::from(whole);
        if stored >= placement.majority() && complete >= placement.meets_majorities() {
            return Ok(ledger);
        }
    }
    Err(FactFailure::TooFew)
}

fn group_slots(
    placement: &KeeperPlacement,
    program: &ProgramId,
) -> Result<Vec<KeeperSlot>, FactFailure> {
    if placement.slots.is_empty() {
        return Err(FactFailure::NoPlacement);
    }
    let group = placement.group(program);
    Ok(group
        .into_iter()
        .map(|index| placement.slots[index].clone())
        .collect())
}
