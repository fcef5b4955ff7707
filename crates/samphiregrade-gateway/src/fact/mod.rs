//! What lasts: write-once facts about turns and budgets, kept by several keeper instances.
//!
//! A fact needs no order among writers, so there is no log that all agree on, no primary and no epoch on a
//! request's way: it is written to a majority of a program's copies, and whoever needs it asks so many of
//! them that every majority is met.

mod book;
mod client;
mod disk;
mod health;
mod message;
mod placement;
mod rebuild;
mod service;

pub use book::{FactBook, KnownChain};
pub use client::{ChainLookup, FactFailure, KeeperClient, ReserveOutcome};
pub use disk::{DiskState, FactDisk, FactDiskError, RecoveredFacts};
pub use health::KeeperHealth;
pub use message::{
    ChainAnswer, FactExport, FactRecord, KeeperEnvelope, KeeperReply, KeeperRequest, ProgramLedger,
    Reservation, TurnFact, TurnPlace,
};
pub use placement::{KeeperPlacement, KeeperSlot, PlacementGeneration};
pub use rebuild::rebuild_from_others;
pub use service::KeeperService;
