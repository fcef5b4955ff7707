//! Client of the keepers: reservations, durable writes and chain look-ups by majorities.

mod asking;
mod sends;
mod tries;

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use bytes::Bytes;
use samphiregrade_http::MemoryLease;
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
use crate::upstream::{OutcomeTracker, SpeedBoard};

use sends::SendReports;

pub use sends::SendRegistration;
pub use tries::ReportedTries;

/// Timeout of a request to one keeper: dozens of round trips and syncs, and short compared with a client's deadline.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of a durable write. The end of a completed response is withheld until its fact is durable; on timeout the
/// response is aborted. The timeout exceeds a keeper's restart (stop and start take about 0.6 s together) and is below
/// the two seconds that callers wait at least for the next part of a response.
const STORE_TIMEOUT: Duration = Duration::from_millis(1800);

/// Interval at which a write that waits for replies checks whether a newer placement is known.
const PLACEMENT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Why a fact is not known to be durable, or a query has no certain result.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum FactFailure {
    /// No placement is known yet.
    #[error("no keeper is known yet; retry shortly")]
    NoPlacement,
    /// Too few keepers replied.
    #[error("too few keepers reply; retry when more of them are reachable")]
    NoMajority,
}

/// Result of a reservation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReserveOutcome {
    /// The tokens are reserved; carries the program's known reservations.
    Reserved(ProgramLedger),
    /// The turn doesn't fit into the program's budget; carries the known reservations.
    OverBudget(ProgramLedger),
}

/// Result of a chain look-up.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ChainLookup {
    /// The concatenated content of the chain's turns.
    Found(Bytes),
    /// It is certain that the turn doesn't exist.
    Absent,
    /// The chain is longer than the query allows: about this many bytes.
    TooLong(usize),
}

/// Counts the memory of a fact's copies until the last one is dropped.
pub type MemoryHold = Arc<MemoryLease>;

/// Client of all keepers; cheap to clone.
#[derive(Clone)]
pub struct KeeperClient {
    pub(super) links: LinkEndpoint,
    pub(super) placement: Arc<ArcSwap<KeeperPlacement>>,
    metrics: Arc<GatewayMetrics>,
    /// This instance's address, under which others may use it as a helper.
    pub(super) own: HelperAddress,
    pub(super) health: Arc<KeeperHealth>,
    outcomes: Arc<OutcomeTracker>,
    speeds: Arc<SpeedBoard>,
    /// Random seed of this client, by which it orders keepers.
    pub(super) seed: u64,
    /// Entries that forward requests to keepers which don't reply directly.
    pub(super) helpers: Arc<HelperTable>,
    /// Hash of this instance's name.
    pub(super) tag: InstanceTag,
    /// Revisions of the key-value service that keepers have reported.
    pub(super) lag: Arc<LagMonitor>,
    /// Registered sends that are over.
    sends: Arc<SendReports>,
}

impl KeeperClient {
    /// Creates a client that follows a placement; its requests also exchange request outcomes and speeds of upstreams
    /// with the keepers.
    #[must_use]
    pub fn new(
        links: LinkEndpoint,
        placement: Arc<ArcSwap<KeeperPlacement>>,
        metrics: Arc<GatewayMetrics>,
        own: HelperAddress,
        outcomes: Arc<OutcomeTracker>,
        speeds: Arc<SpeedBoard>,
    ) -> Self {
        Self {
            links,
            placement,
            metrics,
            tag: name_tag(&own.name),
            own,
            health: Arc::default(),
            outcomes,
            speeds,
            seed: rand::random(),
            lag: Arc::default(),
            sends: Arc::default(),
            helpers: Arc::default(),
        }
    }

    /// Returns the newest known placement.
    #[must_use]
    pub fn placement(&self) -> KeeperPlacement {
        KeeperPlacement::clone(&self.placement.load())
    }

    /// Returns whether the deployment is known to have keepers.
    #[must_use]
    pub fn has_keepers(&self) -> bool {
        !self.placement.load().slots.is_empty()
    }

    /// Adopts a placement if it is newer than the known one.
    pub fn adopt(&self, placement: &KeeperPlacement) {
        self.placement.rcu(|known| {
            if placement.generation > known.generation {
                Arc::new(placement.clone())
            } else {
                known.clone()
            }
        });
    }

    /// Reserves tokens for a turn on a majority of the program's keepers, before the turn is dispatched.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if too few keepers reply; the turn must not run then.
    pub async fn reserve(
        &self,
        program: &ProgramId,
        fact: FactRecord,
        budget: u64,
        turn: &TurnId,
        most: u32,
    ) -> Result<ReserveOutcome, FactFailure> {
        let request = &KeeperRequest::Reserve(fact);
        let ledger = self.with_newest_placement(move |placement| async move {
            let group = self.reachable_group(&placement, program)?;
            let replies = self.call_group(&placement, &group, request);
            collect_ledger(&placement, replies).await
        });
        let ledger = ledger.await?;
        Ok(if ledger.fits_budget(budget, turn, most) {
            ReserveOutcome::Reserved(ledger)
        } else {
            ReserveOutcome::OverBudget(ledger)
        })
    }

    /// Queries what a majority of the program's keepers know of it. Unlike a reservation, the query waits for no disk.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if too few keepers reply.
    pub async fn ledger(&self, program: &ProgramId) -> Result<ProgramLedger, FactFailure> {
        let request = &KeeperRequest::Ledger(program.clone());
        let querying = self.with_newest_placement(move |placement| async move {
            let group = self.reachable_group(&placement, program)?;
            let replies = self.call_group(&placement, &group, request);
            collect_ledger(&placement, replies).await
        });
        querying.await
    }

    /// Stores a fact on a majority of the program's keepers.
    ///
    /// The write waits for keepers that are briefly unavailable. If the placement changes meanwhile, the fact is stored
    /// under the newer one: a response that has run must not be aborted because a keeper stops or a slot is reassigned.
    /// Only acknowledgements under the same placement count together.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if too few keepers acknowledge the fact in time.
    pub async fn store(&self, program: &ProgramId, fact: FactRecord) -> Result<(), FactFailure> {
        self.store_held(program, fact, None).await
    }

    /// Stores a fact like [`store`](Self::store); the hold is kept until no copy of the fact is left.
    ///
    /// # Errors
    ///
    /// As [`store`](Self::store).
    pub async fn store_held(
        &self,
        program: &ProgramId,
        fact: FactRecord,
        hold: Option<MemoryHold>,
    ) -> Result<(), FactFailure> {
        let (fact, hold) = (&fact, hold.as_ref());
        let storing = self.with_newest_placement(move |placement| async move {
            self.store_with_placement(&placement, program, fact, hold)
                .await
        });
        tokio::time::timeout(STORE_TIMEOUT, storing)
            .await
            .unwrap_or(Err(FactFailure::NoMajority))
    }

    /// Runs an operation under the newest known placement and repeats a failed one if a newer placement became known
    /// meanwhile: keepers reject requests under an older placement and return the newer one.
    async fn with_newest_placement<Operation, Execution, Output>(
        &self,
        operation: Operation,
    ) -> Result<Output, FactFailure>
    where
        Execution: Future<Output = Result<Output, FactFailure>>,
        Operation: Fn(Arc<KeeperPlacement>) -> Execution,
    {
        loop {
            let placement = self.placement.load_full();
            let result = operation(placement.clone()).await;
            if result.is_ok() || !self.is_outdated(&placement) {
                return result;
            }
        }
    }

    /// Stores a fact on a majority of the keepers that a placement names.
    async fn store_with_placement(
        &self,
        placement: &Arc<KeeperPlacement>,
        program: &ProgramId,
        fact: &FactRecord,
        hold: Option<&MemoryHold>,
    ) -> Result<(), FactFailure> {
        let group = group_slots(placement, program)?;
        let request = KeeperRequest::Store(fact.clone());
        let mut replies = self.call_group_held(placement, &group, &request, hold);
        let mut stored = 0;
        while !self.is_outdated(placement) {
            // A newer placement may become known while no keeper replies.
            let reply = match tokio::time::timeout(PLACEMENT_CHECK_INTERVAL, replies.recv()).await {
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

    /// Stores a fact on the program's keepers in the background.
    pub fn store_in_background(&self, program: &ProgramId, fact: &FactRecord) {
        let placement = self.placement.load_full();
        let Ok(group) = group_slots(&placement, program) else {
            return;
        };
        for slot in group {
            let client = self.clone();
            let request = KeeperRequest::Note(fact.clone());
            tokio::spawn(async move { client.store_with_retries(slot, request).await });
        }
    }

    /// Looks up a chain: first on the nearest of the program's keepers, then on all keepers.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if it is unknown whether the turn exists, or part of its chain is unreachable.
    pub async fn chain(
        &self,
        program: &ProgramId,
        turn: &TurnId,
    ) -> Result<ChainLookup, FactFailure> {
        self.chain_up_to(program, turn, usize::MAX).await
    }

    /// Looks up a chain like [`chain`](Self::chain), if it is not longer than `longest` bytes.
    ///
    /// # Errors
    ///
    /// As [`chain`](Self::chain).
    pub async fn chain_up_to(
        &self,
        program: &ProgramId,
        turn: &TurnId,
        longest: usize,
    ) -> Result<ChainLookup, FactFailure> {
        let mut current = turn.clone();
        let mut newer: Vec<Bytes> = Vec::new();
        loop {
            let known: usize = newer.iter().map(Bytes::len).sum();
            let request = &KeeperRequest::ChainUpTo(current, longest.saturating_sub(known));
            let querying = self.with_newest_placement(move |placement| async move {
                self.query_chain(&placement, program, request).await
            });
            match querying.await? {
                ChainAnswer::TooLong(bytes) => return Ok(ChainLookup::TooLong(known + bytes)),
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
                    current = missing;
                }
                ChainAnswer::Absent if newer.is_empty() => return Ok(ChainLookup::Absent),
                ChainAnswer::Absent | ChainAnswer::Unknown => return Err(FactFailure::NoMajority),
            }
        }
    }

    /// Requests a turn with as much of its chain as one keeper has; returns `Absent` only if that is certain.
    async fn query_chain(
        &self,
        placement: &Arc<KeeperPlacement>,
        program: &ProgramId,
        request: &KeeperRequest,
    ) -> Result<ChainAnswer, FactFailure> {
        let mut group = self.reachable_group(placement, program)?;
        group.sort_by_key(|slot| slot.domain != self.own.domain);
        let mut partial = None;
        if let Some(nearest) = group.first() {
            let calling = self.call(nearest.clone(), placement, request.clone(), REQUEST_TIMEOUT);
            match calling.await {
                Some(KeeperReply::Chain(
                    found @ (ChainAnswer::Found(_) | ChainAnswer::TooLong(_)),
                )) => return Ok(found),
                Some(KeeperReply::Chain(part @ ChainAnswer::Partial { .. })) => {
                    partial = Some(part);
                }
                _ => {}
            }
        }
        let mut replies = self.call_group(placement, &placement.slots, request);
        let mut absent = 0;
        while let Some(reply) = replies.recv().await {
            match reply {
                Some(KeeperReply::Chain(
                    found @ (ChainAnswer::Found(_) | ChainAnswer::TooLong(_)),
                )) => return Ok(found),
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
        // The decision is made only after all keepers have replied or failed: while a slot is being reassigned, the
        // keeper that knows the turn, or the newer placement, may be the last to reply.
        if absent >= placement.global_read_quorum() && !self.is_outdated(placement) {
            return Ok(ChainAnswer::Absent);
        }
        Err(FactFailure::NoMajority)
    }

    /// Returns a program's keepers if a majority of them is reachable.
    fn reachable_group(
        &self,
        placement: &KeeperPlacement,
        program: &ProgramId,
    ) -> Result<Vec<KeeperSlot>, FactFailure> {
        let group = group_slots(placement, program)?;
        if self.health.reachable_count(&group, Instant::now()) < placement.majority() {
            return Err(FactFailure::NoMajority);
        }
        Ok(group)
    }

    /// Records an entry that may forward requests to keepers which this instance doesn't reach.
    pub fn record_helper(&self, helper: HelperAddress) {
        if helper.name != self.own.name {
            self.helpers.record(helper);
        }
    }
}

/// Merges the ledgers of a program that keepers return, until a majority has replied and the complete keepers among them
/// include a member of every majority.
async fn collect_ledger(
    placement: &KeeperPlacement,
    mut replies: mpsc::Receiver<Option<KeeperReply>>,
) -> Result<ProgramLedger, FactFailure> {
    let mut ledger = ProgramLedger::default();
    let (mut known_by, mut complete) = (0, 0);
    while let Some(reply) = replies.recv().await {
        let Some(
            KeeperReply::Reserved {
                ledger: known,
                complete: is_complete,
                ..
            }
            | KeeperReply::Ledger {
                ledger: known,
                complete: is_complete,
            },
        ) = reply
        else {
            continue;
        };
        ledger.merge(known);
        known_by += 1;
        complete += usize::from(is_complete);
        if known_by >= placement.majority() && complete >= placement.read_quorum() {
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
