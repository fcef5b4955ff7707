//! Client of the key-value service, the watch that follows it, and the mirror that keepers serve to followers.

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

/// Prefix of all keys: a single watch covers the configuration, the upstreams and the data shared by instances. Three
/// separate watches would cost three calls at the start, after every interruption and at every retry during an outage.
pub const ALL_KEYS: &str = "";
