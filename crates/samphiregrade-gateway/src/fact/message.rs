//! Facts, and the requests and replies that instances and keepers exchange.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::helper::HelperAddress;
use super::placement::{KeeperPlacement, PlacementGeneration};
use super::tries::{TimedTries, TryFact, TryKey, TryNumber};
use crate::dialect::StoreRevision;
use crate::limits::{
    AllowanceGrant, AllowanceRequest, InstanceTag, LedgerTime, LimitReservation, TokenUse,
};
use crate::model::{ProgramId, SessionId, SoftwareTag, TurnId, UpstreamId, UpstreamStart};
use crate::store::{ConfigurationProof, StreamReply, StreamRequest};
use crate::upstream::{
    AccountQuery, OrganisationShare, OutcomeDelta, ProgramProgress, RunEnd, RunStart, SpeedReport,
    UpstreamAccount, UpstreamSpeed, UpstreamSuspect,
};

/// A completed turn; never changes once it is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnFact {
    /// The program.
    pub program: ProgramId,
    /// The turn.
    pub turn: TurnId,
    /// The turn that this one continues.
    pub previous: Option<TurnId>,
    /// Data that the client sent.
    pub input: Bytes,
    /// The data of each event of the response, each followed by a line feed.
    pub output: Bytes,
    /// Number of generated tokens.
    pub spent: u32,
    /// Where the turn ran.
    pub place: Option<TurnPlace>,
    /// Retention time after the turn's last use.
    pub keep: Duration,
}

/// Where a turn ran: the upstream has its tokens in the cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TurnPlace {
    /// The session to which the turn belongs.
    pub session: SessionId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Start of the upstream's process; an upstream that has restarted since has an empty cache.
    pub started: Option<UpstreamStart>,
    /// Number of tokens of the turn's prompt and response.
    pub tokens: u32,
}

/// Tokens reserved for a turn before it is dispatched, and the tokens that it used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Reservation {
    /// The turn.
    pub turn: TurnId,
    /// Maximum number of tokens that the turn may generate.
    pub most: u32,
    /// Number of tokens delivered to the client; `None` until the turn has ended.
    pub spent: Option<u32>,
    /// Where the turn ran, once it has ended.
    pub place: Option<TurnPlace>,
    /// Time left to the program when the turn arrived, if the caller specified it.
    pub program_left: Option<Duration>,
}

/// The software version that began a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// The attempt that brought the stream's first event.
    pub attempt: TurnId,
    /// The version.
    pub software: SoftwareTag,
}

/// The known reservations of a program.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ProgramLedger {
    /// The reservations, in no particular order.
    pub reservations: Vec<Reservation>,
    /// Origins of the streams that can be taken up again.
    pub origins: Vec<StreamOrigin>,
}

impl ProgramLedger {
    /// Merges the reservations and origins that another keeper knows.
    pub fn merge(&mut self, other: Self) {
        for reservation in other.reservations {
            self.add(reservation);
        }
        for origin in other.origins {
            self.add_origin(origin);
        }
    }

    /// Adds the origin of a stream; returns whether it was unknown.
    pub fn add_origin(&mut self, origin: StreamOrigin) -> bool {
        let is_new = !self.origins.contains(&origin);
        if is_new {
            self.origins.push(origin);
        }
        is_new
    }

    /// Returns the version that began a stream; `None` if none is recorded, or several are because a client has used the
    /// id of its attempt twice.
    #[must_use]
    pub fn origin(&self, attempt: &TurnId) -> Option<SoftwareTag> {
        let mut recorded = self
            .origins
            .iter()
            .filter(|origin| origin.attempt == *attempt);
        let origin = recorded.next()?;
        recorded.next().is_none().then_some(origin.software)
    }

    /// Adds a reservation or merges it into the known one of the same turn; returns whether anything changed.
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

    /// Returns where the last known turn of a session ran; for a new session, where the program's last turn ran.
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

    /// Returns the program's progress, without the program's hash and the time that is left now, which the caller sets.
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

    /// Returns whether one more turn fits into a budget; turns that have not ended count with their token maximum.
    #[must_use]
    pub fn fits_budget(&self, budget: u64, turn: &TurnId, most: u32) -> bool {
        let mut required = u64::from(most);
        for reservation in &self.reservations {
            if reservation.turn == *turn {
                continue;
            }
            required += u64::from(reservation.spent.unwrap_or(reservation.most));
        }
        required <= budget
    }
}

/// A fact as it is stored on disk and exported to a rebuilding keeper.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum FactRecord {
    /// Tokens that a turn has reserved or used.
    Reservation {
        /// The program.
        program: ProgramId,
        /// The reservation.
        reservation: Reservation,
        /// Retention time after the program's last use.
        keep: Duration,
    },
    /// A completed turn.
    Turn(TurnFact),
    /// Uses of organisations' limits, as counted by their home.
    LimitUses {
        /// Time on the home's clock.
        at: LedgerTime,
        /// The uses.
        uses: Vec<TokenUse>,
    },
    /// Reservations for unresponsive instances, as made by their home.
    LimitReservations {
        /// Time on the home's clock.
        at: LedgerTime,
        /// The reservations.
        reservations: Vec<LimitReservation>,
    },
    /// All uses and reservations of a home; they replace those of all earlier records.
    LimitSnapshot {
        /// Time on the home's clock.
        at: LedgerTime,
        /// The uses.
        uses: Vec<TokenUse>,
        /// The reservations.
        reservations: Vec<LimitReservation>,
    },
    /// Tokens that a turn has reserved, and the software version that begins its stream.
    Stream {
        /// The program.
        program: ProgramId,
        /// The reservation.
        reservation: Reservation,
        /// The version.
        software: SoftwareTag,
        /// Retention time after the program's last use.
        keep: Duration,
    },
    /// Tries to run a request under which an upstream has ended.
    Tries(TryFact),
}

impl FactRecord {
    /// Returns the fact without a turn's content.
    #[must_use]
    pub fn without_content(&self) -> Self {
        let mut fact = self.clone();
        if let Self::Turn(turn) = &mut fact {
            turn.input = Bytes::new();
            turn.output = Bytes::new();
        }
        fact
    }

    /// Returns the approximate size of the fact on disk, in bytes.
    #[must_use]
    pub fn estimated_bytes(&self) -> usize {
        match self {
            Self::Reservation { .. } | Self::Stream { .. } => 120,
            Self::LimitUses { uses, .. } => 20 + 20 * uses.len(),
            Self::LimitReservations { reservations, .. } => 20 + 20 * reservations.len(),
            Self::LimitSnapshot {
                uses, reservations, ..
            } => 20 + 20 * (uses.len() + reservations.len()),
            Self::Turn(turn) => turn.input.len() + turn.output.len() + 160,
            Self::Tries(fact) => 40 + 20 * fact.timed.tries.iter().count(),
        }
    }
}

/// Request of a rebuilding keeper for facts of another one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExportRequest {
    /// The requester's placement.
    pub placement: KeeperPlacement,
    /// Number of the requested part, from 0.
    pub part: u8,
    /// The requester's slot; `None` requests all facts of the part.
    pub slot: Option<usize>,
    /// Digests of the turns that the requester has already.
    pub known: Vec<u64>,
}

/// A request to a keeper.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum KeeperRequest {
    /// Stores a fact durably and returns the program's known reservations.
    Reserve(FactRecord),
    /// Stores a fact durably.
    Store(FactRecord),
    /// Stores a fact; the reply doesn't wait until it is durable.
    Note(FactRecord),
    /// Queries the chain that ends with a turn.
    Chain(TurnId),
    /// Requests the facts of one part that the keeper of a slot must have.
    Export(ExportRequest),
    /// Checks whether the keeper responds.
    Probe,
    /// Reports that a request is about to be sent to an upstream whose account the keeper holds.
    RunBegan(RunStart),
    /// Reports that a request at such an upstream has ended.
    RunEnded(RunEnd),
    /// Queries the accounts of upstreams that the keeper holds.
    Accounts(AccountQuery),
    /// Queries which configuration was the newest one, and when.
    Confirm,
    /// Requests tokens of an organisation's limit.
    Allowance(AllowanceRequest),
    /// Requests changes of the key-value service.
    Follow {
        /// The follower's position and the longest wait.
        request: StreamRequest,
        /// The entry that sends the request.
        follower: HelperAddress,
    },
    /// Queries a program's known reservations and origins.
    Ledger(ProgramId),
    /// Registers a send of a request, and queries the request's tries.
    Tries {
        /// The request.
        key: TryKey,
        /// Number of the send.
        number: TryNumber,
        /// Time until the deadline of the send.
        work_left: Duration,
    },
    /// Records tries of a suspected request; the reply doesn't wait until they are durable.
    RecordTries(TryFact),
    /// Queries the chain that ends with a turn, if it is not longer than this many bytes.
    ChainUpTo(TurnId, usize),
}

/// A request with the generation of the placement that its sender knows.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeeperEnvelope {
    /// Generation of the sender's placement.
    pub generation: PlacementGeneration,
    /// Tag of the sending entry; 0 if the sender is not an entry.
    pub sender: InstanceTag,
    /// Outcomes of requests at upstreams since the sender's last report to the keeper.
    pub outcomes: Vec<OutcomeDelta>,
    /// Times of responses since the sender's last report to the keeper.
    pub speeds: SpeedReport,
    /// Registered sends that are over since the sender's last report to the keeper.
    pub sends_over: Vec<TryNumber>,
    /// The request.
    pub request: KeeperRequest,
}

impl KeeperEnvelope {
    /// Returns the envelope of a request between keepers, which reports no outcomes and no speeds.
    #[must_use]
    pub fn between_keepers(generation: PlacementGeneration, request: KeeperRequest) -> Self {
        Self {
            generation,
            sender: 0,
            outcomes: Vec::new(),
            speeds: SpeedReport::default(),
            sends_over: Vec::new(),
            request,
        }
    }
}

/// A keeper's result of a chain query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ChainAnswer {
    /// The complete chain: concatenated inputs and outputs, oldest first.
    Found(Bytes),
    /// The chain's newer turns, concatenated; other keepers have the rest, because each fact is on a majority only.
    Partial {
        /// The newest turn of the chain that the keeper doesn't have.
        missing: TurnId,
        /// The turns after it.
        newer: Bytes,
    },
    /// The keeper is complete and doesn't have the turn.
    Absent,
    /// The keeper is still rebuilding and doesn't know whether the turn exists.
    Unknown,
    /// The part of the chain that the keeper has is longer than the query allows: about this many bytes.
    TooLong(usize),
}

/// A keeper's reply, with the data that accompanies every reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KeeperAnswer {
    /// Revision of the key-value service up to which the keeper knows all changes.
    pub revision: StoreRevision,
    /// The reply.
    pub reply: KeeperReply,
}

/// A keeper's reply.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub enum KeeperReply {
    /// The reservation is durable.
    Reserved {
        /// The program's known reservations, including the new one.
        ledger: ProgramLedger,
        /// Whether the keeper has every fact that it has ever acknowledged.
        complete: bool,
        /// Upstreams that fail according to the outcomes reported by all entries.
        suspects: Vec<UpstreamSuspect>,
        /// Upstreams whose speed differs from that of their service's median, if the request asks for them.
        speeds: Vec<UpstreamSpeed>,
    },
    /// The fact is stored.
    Stored,
    /// Result of a chain query.
    Chain(ChainAnswer),
    /// One of the parts into which facts are divided.
    Part {
        /// The facts.
        facts: Vec<FactRecord>,
        /// Whether the keeper has every fact that it has ever acknowledged.
        complete: bool,
    },
    /// Reply to a probe.
    Alive {
        /// Whether the keeper has every fact that it has ever acknowledged.
        complete: bool,
        /// Upstreams that fail according to the outcomes reported by all entries.
        suspects: Vec<UpstreamSuspect>,
        /// Upstreams whose speed differs from that of their service's median, if the request asks for them.
        speeds: Vec<UpstreamSpeed>,
    },
    /// Accounts of upstreams.
    Accounts {
        /// Accounts of the queried upstreams, and of the least loaded others of the service.
        accounts: Vec<UpstreamAccount>,
        /// Share of the querying organisation; `None` if the keeper doesn't know it.
        share: Option<OrganisationShare>,
        /// Upstreams that fail according to the outcomes reported by all entries.
        suspects: Vec<UpstreamSuspect>,
        /// Upstreams whose speed differs from that of their service's median, if the request asks for them.
        speeds: Vec<UpstreamSpeed>,
        /// An entry that may forward requests.
        helper: Option<HelperAddress>,
    },
    /// Changes of the key-value service.
    Stream {
        /// The changes.
        reply: StreamReply,
        /// An entry that may forward requests.
        helper: Option<HelperAddress>,
    },
    /// The newest configuration at a point in time; `None` if the keeper knows none.
    Confirmed(Option<ConfigurationProof>),
    /// Tokens of an organisation's limit.
    Allowance(AllowanceGrant),
    /// The report is recorded.
    Noted,
    /// The sender's placement is outdated; carries the newer one.
    NewerPlacement(KeeperPlacement),
    /// The fact could not be written to disk, or facts could not be read from it.
    NotStored,
    /// A program's known reservations and origins.
    Ledger {
        /// The reservations and origins.
        ledger: ProgramLedger,
        /// Whether the keeper has every fact that it has ever acknowledged.
        complete: bool,
    },
    /// The known tries of a request.
    Tries {
        /// The tries.
        timed: TimedTries,
        /// Time after which they are forgotten.
        kept_for: Duration,
        /// Whether the keeper has every fact that it has ever acknowledged.
        complete: bool,
    },
}
