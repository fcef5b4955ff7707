//! A turn of a program: reserves its budget, prepends its history to the request, and makes the result durable.

use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use samphiregrade_http::{LeaseState, MemoryLease};
use smol_str::SmolStr;

use super::client_memory::RequestSize;
use super::context::EntryContext;
use super::origin::{KnownVersions, OriginSource, SoftwareRule, StreamStep, find_origin};
use super::refusal::RefusalReason;
use super::request::RoutedRequest;
use crate::fact::{
    ChainLookup, FactFailure, FactRecord, MemoryHold, ProgramLedger, Reservation, ReserveOutcome,
    TurnFact, TurnPlace,
};
use crate::model::{ProgramId, SessionId, SoftwareTag, TurnId, UpstreamRecord};
use crate::upstream::{ProgramProgress, Upstream};

/// Retention of budgets on a route that retains no turns, so that a program which was interrupted and resumes is still
/// known.
const BUDGET_RETENTION: Duration = Duration::from_mins(1);

/// Number of times that the origin of a stream is looked up.
const ORIGIN_LOOKUPS: usize = 3;

/// Pause between two look-ups of an origin: a message between instances takes a few milliseconds, and a client that
/// takes up its stream at once is hardly delayed.
const ORIGIN_LOOKUP_PAUSE: Duration = Duration::from_millis(20);

/// Length of the earlier turns, in bytes, for which room is made before it is known: a program of ordinary size has fewer.
const FIRST_HISTORY: usize = 192 << 10;

/// The budget, history and origin of a turn or of another stream that can be taken up again.
#[derive(Clone, Debug)]
pub struct TurnPlan {
    /// Id of the program. Like the ids of turns, it is scoped to the organisation, so that no other organisation can
    /// use it.
    pub program: ProgramId,
    /// Id of the turn.
    pub turn: TurnId,
    /// Id of the turn that this one continues from.
    pub previous: Option<TurnId>,
    /// Tokens that the program may generate in total; `None` if it has no budget.
    pub budget: Option<u64>,
    /// Maximum number of tokens that this turn may generate.
    pub max_tokens: u32,
    /// Tokens per event of the response stream.
    pub tokens_per_event: u32,
    /// Whether the turn is retained for later turns.
    pub retained: bool,
    /// How long the turn and the budget are kept.
    pub retention: Duration,
    /// What the request means for the stream that it asks for.
    pub step: StreamStep,
    /// Request body of the client.
    pub input: Bytes,
    /// Session that the turn belongs to.
    pub session: SessionId,
    /// Tokens of the complete prompt.
    pub prompt_tokens: u32,
    /// Time left until the deadline of the program, if the caller stated one.
    pub program_left: Option<Duration>,
}

/// A turn that is ready for dispatch.
#[derive(Clone, Debug)]
pub struct PreparedTurn {
    /// Request body for the upstream.
    pub body: Bytes,
    /// State of the program, as far as known.
    pub program_state: ProgramState,
    /// The upstreams that may run the turn.
    pub software: SoftwareRule,
    /// How the software version of the stream is known; `None` if it is not recorded.
    pub origin: Option<OriginSource>,
}

/// State of a program when one of its turns arrives, as reported by the keepers.
#[derive(Clone, Debug, Default)]
pub struct ProgramState {
    /// Where the previous turn of the session ran.
    pub last_place: Option<TurnPlace>,
    /// Progress of the program.
    pub progress: ProgramProgress,
}

impl TurnPlan {
    /// Returns the plan of a streaming request; `None` if it has neither a budget nor a history and can't be taken up again.
    #[must_use]
    pub fn of(request: &RoutedRequest) -> Option<Self> {
        let metadata = &request.metadata;
        let retained = request.route.retained;
        if !retained && metadata.token_budget.is_none() && !request.route.resumable {
            return None;
        }
        let scoped = |id: &SmolStr| request.caller.scoped_id(id);
        let step = match &metadata.resumption {
            _ if !request.route.resumable => StreamStep::Unresumable,
            None => StreamStep::Begins,
            Some(stream) => StreamStep::Resumes(stream.first_attempt.as_ref().map(scoped)),
        };
        let retention = if request.route.retention.is_zero() {
            BUDGET_RETENTION
        } else {
            request.route.retention
        };
        Some(Self {
            program: scoped(metadata.origin_program().unwrap_or(&request.id)),
            step,
            turn: scoped(&request.id),
            previous: metadata
                .previous_turn
                .as_ref()
                .filter(|_| retained)
                .map(scoped),
            budget: metadata.token_budget,
            max_tokens: metadata.usage.map_or(0, |usage| usage.most_output),
            tokens_per_event: request
                .service
                .engine
                .map_or(1, |engine| engine.tokens_per_event),
            retained,
            retention,
            input: request.body.clone(),
            session: metadata.session.clone().unwrap_or_default(),
            prompt_tokens: metadata.usage.map_or(0, |usage| usage.prompt),
            program_left: metadata.program_deadline,
        })
    }

    /// Reserves tokens and fetches the history, which is counted in the lease; resolves to the turn to dispatch.
    ///
    /// # Errors
    ///
    /// The reason for a refusal; the turn has not run.
    pub async fn prepare(
        &self,
        context: &EntryContext,
        body: &Bytes,
        versions: KnownVersions,
        lease: &mut MemoryLease,
    ) -> Result<PreparedTurn, RefusalReason> {
        let looking_up = self.chain(context, body.len(), lease);
        let (reserved, chain) = tokio::join!(self.reserve(context, versions), looking_up);
        let chain = chain?;
        let (ledger, software, origin) =
            self.look_up_software(context, reserved?, versions).await?;
        let ledger = ledger.unwrap_or_default();
        let program_state = ProgramState {
            last_place: ledger.last_place(Some(&self.session)).cloned(),
            progress: ledger.progress(),
        };
        let body = match chain {
            None => body.clone(),
            Some(chain) => {
                let mut combined = BytesMut::with_capacity(chain.len() + body.len());
                combined.put_slice(&chain);
                combined.put_slice(body);
                combined.freeze()
            }
        };
        Ok(PreparedTurn {
            body,
            program_state,
            software,
            origin,
        })
    }

    /// Reserves tokens and records the origin of a stream that begins; resolves to the known state of the program, or to
    /// `None` if the plan needs none.
    async fn reserve(
        &self,
        context: &EntryContext,
        versions: KnownVersions,
    ) -> Result<Option<ProgramLedger>, RefusalReason> {
        let records = match &self.step {
            StreamStep::Unresumable => false,
            StreamStep::Begins => versions.serving.is_some(),
            StreamStep::Resumes(_) => true,
        };
        if self.budget.is_none() && !records {
            return Ok(None);
        }
        let reserved = self.reserve_with_keepers(context, versions).await;
        match reserved {
            // Without a record, the stream can't be taken up again.
            Err(RefusalReason::NoKeepers) if self.may_go_unrecorded() => Ok(None),
            other => other.map(Some),
        }
    }

    /// Returns whether the software version of the stream matters: it can be taken up again.
    #[must_use]
    pub fn is_tracked(&self) -> bool {
        self.step != StreamStep::Unresumable
    }

    fn may_go_unrecorded(&self) -> bool {
        self.budget.is_none() && self.step == StreamStep::Begins
    }

    async fn reserve_with_keepers(
        &self,
        context: &EntryContext,
        versions: KnownVersions,
    ) -> Result<ProgramLedger, RefusalReason> {
        let keepers = context
            .keepers
            .load_full()
            .ok_or(RefusalReason::NoKeepers)?;
        if self.budget.is_none() && matches!(self.step, StreamStep::Resumes(_)) {
            let querying = keepers.ledger(&self.program).await;
            return querying.map_err(|_| RefusalReason::NoKeepers);
        }
        let fact = match (&self.step, versions.serving) {
            (StreamStep::Begins, Some(software)) => self.stream_fact(software),
            _ => self.reservation(None, None),
        };
        let budget = self.budget.unwrap_or(u64::MAX);
        let reserving = keepers.reserve(&self.program, fact, budget, &self.turn, self.most());
        match reserving.await {
            Ok(ReserveOutcome::Reserved(ledger)) => Ok(ledger),
            Ok(ReserveOutcome::OverBudget(ledger)) => {
                log::info!(
                    "program {} is over its budget of {budget} tokens; {} turns are known",
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

    /// Returns the tokens to reserve: none without a budget.
    fn most(&self) -> u32 {
        self.budget.map_or(0, |_| self.max_tokens)
    }

    /// Returns the program's records, the upstreams that may run the turn, and how the version of its stream is known. A
    /// record that was written in the background may still be on its way, so it is looked up more than once.
    async fn look_up_software(
        &self,
        context: &EntryContext,
        mut ledger: Option<ProgramLedger>,
        versions: KnownVersions,
    ) -> Result<(Option<ProgramLedger>, SoftwareRule, Option<OriginSource>), RefusalReason> {
        let names_attempt = matches!(self.step, StreamStep::Resumes(Some(_)));
        let mut lookups = 1;
        loop {
            match self.choose_software(ledger.as_ref(), versions) {
                Err(RefusalReason::UnknownOrigin) if names_attempt && lookups < ORIGIN_LOOKUPS => {
                    tokio::time::sleep(ORIGIN_LOOKUP_PAUSE).await;
                    ledger = self.reserve(context, versions).await?;
                    lookups += 1;
                }
                Err(reason) => return Err(reason),
                Ok((software, origin)) => return Ok((ledger, software, origin)),
            }
        }
    }

    /// Returns the upstreams that may run the turn, and how the version of its stream is known; `ledger` is what the
    /// keepers know of the program, if a majority has replied.
    fn choose_software(
        &self,
        ledger: Option<&ProgramLedger>,
        versions: KnownVersions,
    ) -> Result<(SoftwareRule, Option<OriginSource>), RefusalReason> {
        match (&self.step, versions.serving) {
            (StreamStep::Unresumable, _) => Ok((SoftwareRule::Any, None)),
            // Also without confirmation, a keeper may have recorded the version.
            (StreamStep::Begins, Some(software)) => {
                let source = ledger.map(|_| OriginSource::Reserved);
                Ok((SoftwareRule::Only(software), source))
            }
            (StreamStep::Begins, None) => Ok((SoftwareRule::Any, Some(OriginSource::Noted))),
            (StreamStep::Resumes(first), _) => {
                let ledger = ledger.ok_or(RefusalReason::NoKeepers)?;
                let (software, source) = find_origin(first.as_ref(), ledger, versions)?;
                Ok((SoftwareRule::Only(software), Some(source)))
            }
        }
    }

    /// Records in the background which upstream began the stream. A stream whose record is lost can't be taken up again.
    pub fn note_origin(&self, context: &EntryContext, upstream: &Upstream) {
        if let Some(keepers) = context.keepers.load_full() {
            keepers.store_in_background(&self.program, &self.stream_fact(upstream.software));
        }
    }

    /// Returns the earlier turns of the chain, once there is room for them.
    async fn chain(
        &self,
        context: &EntryContext,
        body: usize,
        lease: &mut MemoryLease,
    ) -> Result<Option<Bytes>, RefusalReason> {
        let Some(previous) = &self.previous else {
            return Ok(None);
        };
        let sized = |history: usize| RequestSize {
            body,
            history,
            is_retained: self.retained,
        };
        if let Some(chain) = context.turns.get(previous) {
            admit_history(context, sized(chain.len()), lease).await?;
            return Ok(Some(chain));
        }
        let keepers = context
            .keepers
            .load_full()
            .ok_or(RefusalReason::NoKeepers)?;
        let mut longest = FIRST_HISTORY;
        loop {
            admit_history(context, sized(longest), lease).await?;
            let looking_up = keepers.chain_up_to(&self.program, previous, longest);
            match looking_up.await {
                Ok(ChainLookup::Found(chain)) => {
                    lease.enter(LeaseState::Running, sized(chain.len()).bytes());
                    return Ok(Some(chain));
                }
                Ok(ChainLookup::Absent) => return Err(RefusalReason::NoSuchTurn),
                Ok(ChainLookup::TooLong(bytes)) if bytes > longest => longest = bytes,
                Ok(ChainLookup::TooLong(_)) | Err(_) => return Err(RefusalReason::NoKeepers),
            }
        }
    }

    fn reservation(&self, spent: Option<u32>, place: Option<TurnPlace>) -> FactRecord {
        FactRecord::Reservation {
            program: self.program.clone(),
            reservation: self.reserved_tokens(spent, place),
            keep: self.retention,
        }
    }

    fn reserved_tokens(&self, spent: Option<u32>, place: Option<TurnPlace>) -> Reservation {
        Reservation {
            turn: self.turn.clone(),
            most: self.most(),
            spent,
            place,
            program_left: self.program_left,
        }
    }

    fn stream_fact(&self, software: SoftwareTag) -> FactRecord {
        FactRecord::Stream {
            program: self.program.clone(),
            reservation: self.reserved_tokens(None, None),
            software,
            keep: self.retention,
        }
    }

    /// Returns where the turn ran, with the tokens that the upstream then has cached.
    fn place(&self, upstream: Option<&UpstreamRecord>, spent: u32) -> Option<TurnPlace> {
        let upstream = upstream?;
        Some(TurnPlace {
            session: self.session.clone(),
            upstream: upstream.id.clone(),
            started: upstream.started,
            tokens: self.prompt_tokens.saturating_add(spent),
        })
    }

    /// Reports to the keepers how many tokens the turn used, and where it ran.
    pub fn settle(&self, context: &EntryContext, spent: u32, upstream: Option<&UpstreamRecord>) {
        if self.budget.is_none() {
            return;
        }
        if let Some(keepers) = context.keepers.load_full() {
            let place = self.place(upstream, spent);
            keepers.store_in_background(&self.program, &self.reservation(Some(spent), place));
        }
    }

    /// Makes the complete turn durable; its response must not end before. The hold counts the copies for the keepers.
    ///
    /// # Errors
    ///
    /// [`FactFailure`] if the turn is not known to be durable.
    pub async fn commit(
        &self,
        context: &EntryContext,
        output: Bytes,
        spent: u32,
        upstream: &UpstreamRecord,
        hold: MemoryHold,
    ) -> Result<(), FactFailure> {
        let keepers = context
            .keepers
            .load_full()
            .ok_or(FactFailure::NoPlacement)?;
        let fact = FactRecord::Turn(self.fact(output, spent, upstream));
        keepers.store_held(&self.program, fact, Some(hold)).await
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
            keep: self.retention,
        }
    }
}

/// Makes room for the earlier turns of a turn.
async fn admit_history(
    context: &EntryContext,
    size: RequestSize,
    lease: &mut MemoryLease,
) -> Result<(), RefusalReason> {
    if !context.clients.can_hold(size) {
        return Err(RefusalReason::HistoryTooLarge);
    }
    let admitted = context.clients.admit(lease, size).await;
    admitted.map_err(|_| RefusalReason::NoMemory)
}
