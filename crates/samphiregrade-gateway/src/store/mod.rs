//! The platform's key-value service: one client, and the watches that follow it.

mod client;
mod follow;
mod mirror;
mod news;
mod proof;
mod router;

pub use client::{StoreClient, StoreFailure};
pub use follow::{FollowEvent, FollowTiming, follow_prefix};
pub use mirror::{StoreMirror, StreamPart, StreamReply, StreamRequest};
pub use news::LagTracker;
pub use proof::{ConfigurationProof, ConfigurationProver, ProofCache};
pub use router::{EVENT_QUEUE, EventRouter};

/// Prefix of all keys: one watch brings the configuration, the upstreams and what instances share. Three watches cost
/// three calls at the start, after every cut and at every try during an outage.
pub const ALL_KEYS: &str = "";
