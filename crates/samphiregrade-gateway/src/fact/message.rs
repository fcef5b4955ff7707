//! Facts, and what instances say to keepers.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::helper::HelperAddress;
use super::placement::{KeeperPlacement, PlacementGeneration};
use crate::dialect::StoreRevision;
use crate::limits::{AllowanceGrant, AllowanceRequest, InstanceTag, LedgerTime, LimitUse};
use crate::model::{ProgramId, SessionId, TurnId, UpstreamId, UpstreamStart};
use crate::store::{ConfigurationProof, StreamReply, StreamRequest};
use crate::upstream::{
    AccountQuery, OutcomeDelta, ProgramProgress, RunEnd, RunStart, UpstreamAccount, UpstreamSuspect,
};

/// A turn whose answer is whole: never changed once written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnFact {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnId,
    /// The turn that it continues from.
    pub previous: Option<TurnId>,
    /// What the client sent.
    pub input: Bytes,
    /// The data of each event, each with a line feed.
    pub output: Bytes,
    /// Tokens that it made.
    pub spent: u32,
    /// Where it ran.
    pub place: Option<TurnPlace>,
    /// How long it is kept after its last use.
    pub keep: Duration,
}

/// Where a turn ran: its tokens are cached there.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnPlace {
    /// The line of turns.
    pub session: SessionId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// When it had started: one that has started again since has nothing cached.
    pub started: Option<UpstreamStart>,
    /// Tokens of its prompt and its answer.
    pub tokens: u32,
}

/// Tokens set aside for a turn before it is dispatched, and what it took.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reservation {
    /// The turn.
    pub turn: TurnId,
    /// Most tokens that it may make.
    pub most: u32,
    /// Tokens handed out; `None` until the turn has ended.
    pub spent: Option<u32>,
    /// Where it ran, once it has ended.
    pub place: Option<TurnPlace>,
    /// Time that its program had left when it came, where its caller said so.
    pub program_left: Option<Duration>,
}

/// Reservations of a program that a keeper knows.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramLedger {
    /// The reservations, in no order.
    pub reservations: Vec<Reservation>,
}

impl ProgramLedger {
    /// Adds what another keeper knows.
    pub fn merge(&mut self, other: Self) {
        for reservation in other.reservations {
            self.add(reservation);
        }
    }

    /// Adds a reservation or what is newly known of it; returns whether that told anything new.
    pub fn add(&mut self, reservation: Reservation) -> bool {
        let known = self
            .reservations
            .iter_mut()
            .find(|known| known.turn == reservation.turn);
        let Some(known) = known else {
            self.reservations.push(reservation);
            return true;
        };
        let before = known.clone();
        known.most = known.most.max(reservation.most);
        known.spent = known.spent.max(reservation.spent);
        if known.place.is_none() {
            known.place = reservation.place;
        }
        known.program_left = known.program_left.max(reservation.program_left);
        *known != before
    }

    /// Returns where the line's last known turn ran, or the program's where the line is new.
    #[must_use]
    pub fn last_place(&self, session: Option<&SessionId>) -> Option<&TurnPlace> {
        let places = || {
            self.reservations
                .iter()
                .rev()
                .filter_map(|turn| turn.place.as_ref())
        };
        let own = session.and_then(|session| places().find(|place| place.session == *session));
        own.or_else(|| places().next())
    }

    /// Returns how far the program has come; its own hash and the time that it has left now are the caller's.
    #[must_use]
    pub fn progress(&self) -> ProgramProgress {
        let mut progress = ProgramProgress::default();
        for reservation in &self.reservations {
            progress.initial_time_left = progress.initial_time_left.max(reservation.program_left);
            if reservation.place.is_none() {
                continue;
            }
            progress.completed_turns += 1;
            progress.generated_tokens += u64::from(reservation.spent.unwrap_or(0));
        }
        progress
    }

    /// Returns whether the budget holds one more turn, counting at their most all that have not ended.
    #[must_use]
    pub fn holds(&self, budget: u64, turn: &TurnId, most: u32) -> bool {
        let mut taken = u64::from(most);
        for reservation in &self.reservations {
            if reservation.turn == *turn {
                continue;
            }
            taken += u64::from(reservation.spent.unwrap_or(reservation.most));
        }
        taken <= budget
    }
}

/// A fact as it is stored on disk and handed to a keeper that rebuilds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FactRecord {
    /// Tokens set aside, or what a turn took.
    Reservation {
        /// The program.
        program: ProgramId,
        /// The reservation.
        reservation: Reservation,
        /// How long it is kept after its program's last use.
        keep: Duration,
    },
    /// A whole turn.
    Turn(TurnFact),
    /// What organisations used of their limits, by a home's account.
    LimitUses {
        /// Time on the home's clock.
        at: LedgerTime,
        /// The uses.
        uses: Vec<LimitUse>,
    },
}

impl FactRecord {
    /// Returns the fact as the index knows it: a turn without what it said.
    #[must_use]
    pub fn without_content(&self) -> Self {
        let mut fact = self.clone();
        if let Self::Turn(turn) = &mut fact {
            turn.input = Bytes::new();
            turn.output = Bytes::new();
        }
        fact
    }

    /// Returns about how many bytes the fact takes on disk.
    #[must_use]
    pub fn bytes(&self) -> usize {
        match self {
            Self::Reservation { .. } => 120,
            Self::LimitUses { uses, .. } => 20 + 20 * uses.len(),
            Self::Turn(turn) => turn.input.len() + turn.output.len() + 160,
        }
    }
}

/// What a keeper that rebuilds asks another one for.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportRequest {
    /// The placement under which it asks.
    pub placement: KeeperPlacement,
    /// The part, from 0.
    pub part: u8,
    /// The slot of the keeper that asks; `None` for all facts of the part.
    pub slot: Option<usize>,
    /// Marks of the turns that it has already.
    pub known: Vec<u64>,
}

/// A request to a keeper.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum KeeperRequest {
    /// Stores a fact durably and returns what is known of its program's budget.
    Reserve(FactRecord),
    /// Stores a fact durably.
    Store(FactRecord),
    /// Stores a fact; it is durable a little later.
    Note(FactRecord),
    /// Asks for the chain that ends with a turn.
    Chain(TurnId),
    /// Asks for one of the parts into which all facts are divided, as far as a slot's keeper has to have them.
    Export(ExportRequest),
    /// Asks whether the keeper is there.
    Probe,
    /// Tells of a request that is about to be sent to an upstream for which the keeper accounts.
    RunBegan(RunStart),
    /// Tells of a request that is over there.
    RunEnded(RunEnd),
    /// Asks how upstreams stand for which the keeper accounts.
    Accounts(AccountQuery),
    /// Asks which configuration was the newest one, and when.
    Confirm,
    /// Asks for tokens of an organisation's limit.
    Allowance(AllowanceRequest),
    /// Asks what is new in the key-value service.
    Follow {
        /// What it knows.
        request: StreamRequest,
        /// The one who asks.
        follower: HelperAddress,
    },
}

/// A request with the placement that its sender knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeeperEnvelope {
    /// Generation of the sender's placement.
    pub generation: PlacementGeneration,
    /// The entry that sends it; 0 where it is none.
    pub sender: InstanceTag,
    /// What has become of requests at upstreams since the sender told the keeper last.
    pub outcomes: Vec<OutcomeDelta>,
    /// The request.
    pub request: KeeperRequest,
}

impl KeeperEnvelope {
    /// Returns the envelope of a keeper's own request, which tells nothing of upstreams.
    #[must_use]
    pub fn between_keepers(generation: PlacementGeneration, request: KeeperRequest) -> Self {
        Self {
            generation,
            sender: 0,
            outcomes: Vec::new(),
            request,
        }
    }
}

/// What a keeper knows of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChainAnswer {
    /// All its turns, joined: inputs and outputs from the oldest on.
    Found(Bytes),
    /// Its newer turns, joined; other keepers have the rest, since each fact is on a majority only.
    Partial {
        /// The oldest turn that the keeper doesn't have.
        missing: TurnId,
        /// The turns after it.
        newer: Bytes,
    },
    /// The keeper has lost nothing and does not have the turn itself.
    Absent,
    /// The keeper is still rebuilding and can't tell.
    Unknown,
}

/// A keeper's reply, with what it tells each time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeeperAnswer {
    /// Revision of the key-value service up to which the keeper knows everything.
    pub revision: StoreRevision,
    /// The reply.
    pub reply: KeeperReply,
}

/// A keeper's reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum KeeperReply {
    /// The reservation is durable.
    Reserved {
        /// What is known of the program, the new reservation included.
        ledger: ProgramLedger,
        /// Whether the keeper has everything that it ever stored.
        complete: bool,
        /// Upstreams that fail, by all entries' account.
        suspects: Vec<UpstreamSuspect>,
    },
    /// The fact is stored.
    Stored,
    /// The chain.
    Chain(ChainAnswer),
    /// One part of all facts.
    Part {
        /// The facts.
        facts: Vec<FactRecord>,
        /// Whether the keeper has everything that it ever stored.
        complete: bool,
    },
    /// The keeper is there.
    Alive {
        /// Whether it has everything that it ever stored.
        complete: bool,
        /// Upstreams that fail, by all entries' account.
        suspects: Vec<UpstreamSuspect>,
    },
    /// How upstreams stand.
    Accounts {
        /// Those that were asked for, and some that have room.
        accounts: Vec<UpstreamAccount>,
        /// Upstreams that fail, by all entries' account.
        suspects: Vec<UpstreamSuspect>,
        /// An entry that may carry questions.
        helper: Option<HelperAddress>,
    },
    /// What is new in the key-value service.
    Stream {
        /// What is new.
        reply: StreamReply,
        /// An entry that may carry questions.
        helper: Option<HelperAddress>,
    },
    /// The newest configuration at a moment; `None` where the keeper knows of none.
    Confirmed(Option<ConfigurationProof>),
    /// Tokens of an organisation's limit.
    Allowance(AllowanceGrant),
    /// What was told is noted.
    Noted,
    /// The sender's placement is old; this is the newer one.
    NewerPlacement(KeeperPlacement),
    /// The disk did not take the fact.
    NotStored,
}
