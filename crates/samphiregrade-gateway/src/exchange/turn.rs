//! A turn of a program: its budget before it runs, its history in front of it, and its durability after it.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use smol_str::SmolStr;

use super::context::EntryContext;
use super::refusal::RefusalReason;
use super::request::RoutedRequest;
use crate::fact::{
    ChainLookup, FactFailure, FactRecord, Reservation, ReserveOutcome, TurnFact, TurnPlace,
};
use crate::model::{ProgramId, SessionId, TurnId, UpstreamRecord};
use crate::upstream::ProgramProgress;

/// How long budgets last where a route keeps no turns: a stopped program that comes back is still known.
const BUDGET_RETENTION: Duration = Duration::from_mins(1);

/// What has to be done for a turn beside sending it.
#[derive(Clone, Debug)]
pub struct TurnPlan {
    /// The program, within its organisation as are the turns: nobody else finds them.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnId,
    /// The turn that it continues from.
    pub previous: Option<TurnId>,
    /// Tokens that the program may make in all; `None` where it has no budget.
    pub budget: Option<u64>,
    /// Most tokens that this turn may make.
    pub most: u32,
    /// Tokens that one event stands for.
    pub tokens_per_event: u32,
    /// Whether the system keeps the turn for later ones.
    pub retained: bool,
    /// How long.
    pub keep: Duration,
    /// What the client sent.
    pub input: Bytes,
    /// The line of turns.
    pub session: SessionId,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u32,
    /// Time that the program has left, where its caller says so.
    pub program_left: Option<Duration>,
}

/// A turn that may be dispatched.
#[derive(Clone, Debug)]
pub struct PreparedTurn {
    /// Body for the upstream.
    pub body: Bytes,
    /// Where the turn before it ran, and how far its program has come, as far as is known.
    pub standing: ProgramStanding,
}

/// What the keepers know of a program when one of its turns comes.
#[derive(Clone, Debug, Default)]
pub struct ProgramStanding {
    /// Where the line's turn before this one ran.
    pub last_place: Option<TurnPlace>,
    /// How far the program has come.
    pub progress: ProgramProgress,
}

impl TurnPlan {
    /// Returns the plan of a streaming request; `None` where it has neither budget nor history.
    #[must_use]
    pub fn of(request: &RoutedRequest) -> Option<Self> {
        let metadata = &request.metadata;
        let retained = request.route.retained;
        if !retained && metadata.token_budget.is_none() {
            return None;
        }
        let program = metadata.program.as_ref().unwrap_or(&request.id);
        let scoped = |id: &SmolStr| request.caller.scoped_id(id);
        let keep = if request.route.retention.is_zero() {
            BUDGET_RETENTION
        } else {
            request.route.retention
        };
        Some(Self {
            program: scoped(program),
            turn: scoped(&request.id),
            previous: metadata
                .previous_turn
                .as_ref()
                .filter(|_| retained)
                .map(scoped),
            budget: metadata.token_budget,
            most: metadata.usage.map_or(0, |usage| usage.most_output),
            tokens_per_event: request
                .service
                .engine
                .map_or(1, |engine| engine.tokens_per_event),
            retained,
            keep,
            input: request.body.clone(),
            session: metadata.session.clone().unwrap_or_default(),
            prompt_tokens: metadata.usage.map_or(0, |usage| usage.prompt),
            program_left: metadata.program_deadline,
        })
    }

    /// Sets tokens aside and fetches the history; resolves to what is dispatched.
    ///
    /// # Errors
    ///
    /// The reason for a refusal; the turn has not run then.
    pub async fn prepare(
        &self,
        context: &EntryContext,
        body: &Bytes,
    ) -> Result<PreparedTurn, RefusalReason> {
        let (reserved, chain) = tokio::join!(self.reserve(context), self.chain(context));
        let chain = chain?;
        let standing = reserved?;
        let body = match chain {
            None => body.clone(),
            Some(chain) => {
                let mut whole = BytesMut::with_capacity(chain.len() + body.len());
                whole.put_slice(&chain);
                whole.put_slice(body);
                whole.freeze()
            }
        };
        Ok(PreparedTurn { body, standing })
    }

    /// Sets tokens aside; resolves to what is known of the program.
    async fn reserve(&self, context: &EntryContext) -> Result<ProgramStanding, RefusalReason> {
        let Some(budget) = self.budget else {
            return Ok(ProgramStanding::default());
        };
        let keepers = context
            .keepers
            .load_full()
            .ok_or(RefusalReason::NoKeepers)?;
        let fact = self.reservation(None, None);
        let reserving = keepers.reserve(&self.program, fact, budget, &self.turn, self.most);
        match reserving.await {
            Ok(ReserveOutcome::Reserved(ledger)) => Ok(ProgramStanding {
                last_place: ledger.last_place(Some(&self.session)).cloned(),
                progress: ledger.progress(),
            }),
            Ok(ReserveOutcome::OverBudget(ledger)) => {
                log::info!(
                    "program {} is over its budget of {budget} with {} turns known",
                    self.program,
                    ledger.reservations.len()
                );
                Err(RefusalReason::OverBudget)
            }
            Err(FactFailure::NoPlacement | FactFailure::NoMajority) => {
                Err(RefusalReason::NoKeepers)
            }
        }
    }

    async fn chain(&self, context: &EntryContext) -> Result<Option<Bytes>, RefusalReason> {
        let Some(previous) = &self.previous else {
            return Ok(None);
        };
        if let Some(chain) = context.turns.find(previous) {
            return Ok(Some(chain));
        }
        let keepers = context
            .keepers
            .load_full()
            .ok_or(RefusalReason::NoKeepers)?;
        match keepers.chain(&self.program, previous).await {
            Ok(ChainLookup::Found(chain)) => Ok(Some(chain)),
            Ok(ChainLookup::Absent) => Err(RefusalReason::NoSuchTurn),
            Err(_) => Err(RefusalReason::NoKeepers),
        }
    }

    fn reservation(&self, spent: Option<u32>, place: Option<TurnPlace>) -> FactRecord {
        FactRecord::Reservation {
            program: self.program.clone(),
            reservation: Reservation {
                turn: self.turn.clone(),
                most: self.most,
                spent,
                place,
                program_left: self.program_left,
            },
            keep: self.keep,
        }
    }

    /// Describes where the turn ran.
    fn place(&self, upstream: Option<&UpstreamRecord>, spent: u32) -> Option<TurnPlace> {
        let upstream = upstream?;
        Some(TurnPlace {
            session: self.session.clone(),
            upstream: upstream.id.clone(),
            started: upstream.started,
            tokens: self.prompt_tokens.saturating_add(spent),
        })
    }

    /// Tells the keepers what the turn took, and where it ran.
    pub fn settle(&self, context: &EntryContext, spent: u32, upstream: Option<&UpstreamRecord>) {
        if self.budget.is_none() {
            return;
        }
        if let Some(keepers) = context.keepers.load_full() {
            let place = self.place(upstream, spent);
            keepers.store_in_background(&self.program, &self.reservation(Some(spent), place));
        }
    }

    /// Makes the whole turn durable; only then its answer may end.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] where it is not known to be durable.
    pub async fn commit(
        &self,
        context: &EntryContext,
        output: Bytes,
        spent: u32,
        upstream: &UpstreamRecord,
    ) -> Result<(), FactFailure> {
        let keepers = context
            .keepers
            .load_full()
            .ok_or(FactFailure::NoPlacement)?;
        let fact = FactRecord::Turn(self.fact(output, spent, upstream));
        keepers.store(&self.program, fact).await
    }

    fn fact(&self, output: Bytes, spent: u32, upstream: &UpstreamRecord) -> TurnFact {
        TurnFact {
            program: self.program.clone(),
            turn: self.turn.clone(),
            previous: self.previous.clone(),
            input: self.input.clone(),
            output,
            spent,
            place: self.place(Some(upstream), spent),
            keep: self.keep,
        }
    }
}
