//! Durable storage: write-once facts about turns and budgets, replicated on several keeper instances.
//!
//! Facts need no order among writers, so the request path involves no replicated log, no primary and no epoch. A fact
//! is written to a majority of a program's copies; a reader queries so many copies that they include a member of every
//! majority.

mod accounts;
mod allowances;
mod book;
mod client;
mod disk;
mod health;
mod helper;
mod indirect;
mod message;
mod news;
mod placement;
mod proofs;
mod reach;
mod reader;
mod rebuild;
mod sends;
mod service;
mod stream;
mod tries;

pub use accounts::AccountReplies;
pub use book::{FactIndex, FactPart, FrameLocation, KnownChain, TurnContent};
pub use client::{
    ChainLookup, FactFailure, KeeperClient, MemoryHold, ReportedTries, ReserveOutcome,
    SendRegistration,
};
pub use disk::{DiskState, FactDisk, FactDiskError, RecoveredFacts};
pub use health::KeeperHealth;
pub use helper::{
    FollowerTable, HelperAddress, HelperReply, HelperRequest, HelperService, HelperTable,
    ReachedKeeper,
};
pub use message::{
    ChainAnswer, ExportRequest, FactRecord, KeeperAnswer, KeeperEnvelope, KeeperReply,
    KeeperRequest, ProgramLedger, Reservation, StreamOrigin, TurnFact, TurnPlace,
};
pub use news::LagMonitor;
pub use placement::{DepartedKeeper, KeeperPlacement, KeeperSlot, PlacementGeneration};
pub use proofs::{PROOF_TIMEOUT, ProofRoute};
pub use reader::FactReader;
pub use rebuild::rebuild_from_others;
pub use sends::SendTable;
pub use service::KeeperService;
pub use tries::{
    KnownTries, LATE_END, MAX_ENDED_UPSTREAMS, RequestTry, TRY_RETENTION, TimedTries, TryDecision,
    TryEntry, TryFact, TryKey, TryNumber, TryState, provable_from, try_key,
};
