//! Asking the keepers: reservations, commits and chains by majorities.

mod asking;

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use thiserror::Error;
use tokio::sync::mpsc;

use super::health::KeeperHealth;
use super::helper::{HelperAddress, HelperTable};
use super::message::{ChainAnswer, FactRecord, KeeperReply, KeeperRequest, ProgramLedger};
use super::news::LagMonitor;
use super::placement::{KeeperPlacement, KeeperSlot};
use crate::limits::InstanceTag;
use crate::link::LinkEndpoint;
use crate::model::{ProgramId, TurnId, name_tag};
use crate::observe::GatewayMetrics;
use crate::upstream::OutcomeTracker;

/// Longest wait for one keeper: dozens of round trips and syncs, and short against a client's deadline.
pub(super) const ASK_TIMEOUT: Duration = Duration::from_millis(400);

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
    NoMajority,
}

/// What became of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReserveOutcome {
    /// The tokens are set aside; this is what is known of the program.
    Reserved(ProgramLedger),
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

/// The client of all keepers; cloning it is cheap.
#[derive(Clone)]
pub struct KeeperClient {
    pub(super) links: LinkEndpoint,
    pub(super) placement: Arc<ArcSwap<KeeperPlacement>>,
    metrics: Arc<GatewayMetrics>,
    /// This instance, as others may use it as a helper.
    pub(super) own: HelperAddress,
    pub(super) health: Arc<KeeperHealth>,
    outcomes: Arc<OutcomeTracker>,
    /// Number of its own, by which it orders keepers.
    pub(super) seed: u64,
    /// Entries through which keepers are reached that don't answer straight.
    pub(super) helpers: Arc<HelperTable>,
    /// Hash of this instance's name.
    pub(super) tag: InstanceTag,
    /// What keepers have told of the key-value service's revisions.
    pub(super) news: Arc<LagMonitor>,
}

impl KeeperClient {
    /// Makes a client that follows a placement, and exchanges accounts of upstreams with the keepers beside its calls.
    #[must_use]
    pub fn new(
        links: LinkEndpoint,
        placement: Arc<ArcSwap<KeeperPlacement>>,
        metrics: Arc<GatewayMetrics>,
        own: HelperAddress,
        outcomes: Arc<OutcomeTracker>,
    ) -> Self {
        Self {
            links,
            placement,
            metrics,
            tag: name_tag(&own.name),
            own,
            health: Arc::default(),
            outcomes,
            seed: rand::random(),
            news: Arc::default(),
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
            ReserveOutcome::Reserved(ledger)
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
        let fact = &fact;
        let storing = self.under_newest(move |placement| async move {
            self.store_under(&placement, program, fact).await
        });
        tokio::time::timeout(STORE_PATIENCE, storing)
            .await
            .unwrap_or(Err(FactFailure::NoMajority))
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
        Err(FactFailure::NoMajority)
    }

    fn is_outdated(&self, placement: &KeeperPlacement) -> bool {
        self.placement.load().generation != placement.generation
    }

    /// Tells the program's keepers a fact that nobody waits for.
    pub fn store_in_background(&self, program: &ProgramId, fact: &FactRecord) {
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
                ChainAnswer::Absent | ChainAnswer::Unknown => return Err(FactFailure::NoMajority),
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
        Err(FactFailure::NoMajority)
    }

    /// Returns a program's keepers, if enough of them are known to be within reach.
    fn reachable_group(
        &self,
        placement: &KeeperPlacement,
        program: &ProgramId,
    ) -> Result<Vec<KeeperSlot>, FactFailure> {
        let group = group_slots(placement, program)?;
        if self.health.reachable(&group, Instant::now()) < placement.majority() {
            return Err(FactFailure::NoMajority);
        }
        Ok(group)
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
    Err(FactFailure::NoMajority)
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
