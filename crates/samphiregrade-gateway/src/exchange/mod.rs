//! The request path: from a client connection through admission and dispatch to an upstream, and back.

mod admission;
mod affinity;
mod attempt;
mod broken;
mod client_memory;
mod connection;
mod context;
mod dispatch;
mod events;
mod examination;
mod limit_desk;
mod origin;
mod outcome;
mod refusal;
mod relay;
mod repetition;
mod request;
mod slow_readers;
mod survey;
mod suspects;
mod tries;
mod try_record;
mod turn;
mod turn_cache;
mod waiting;

pub use client_memory::{ClientMemory, DescriptorCount, MachineLimits, RECEIVE_QUEUE, RequestSize};
pub use connection::{ShutdownTokens, serve_clients};
pub use context::EntryContext;
pub use events::EventParser;
pub use limit_desk::{EntryLimiter, TokenSource};
pub use origin::{KnownVersions, OriginSource, SoftwareRule, StreamStep, find_origin};
pub use refusal::{Refusal, RefusalReason, proof_retry_after};
pub use slow_readers::{MemoryMegabytes, SlowReaders, WaitingWrites};
pub use suspects::{ExaminationSlot, SuspectTable};
pub use turn_cache::TurnCache;
pub use waiting::drain_backlog;
