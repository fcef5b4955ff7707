//! The platform's key-value service: one client, and the watches that follow it.

mod client;
mod follow;
mod router;

pub use client::{StoreClient, StoreFailure};
pub use follow::{FollowEvent, follow_prefix};
pub use router::EventRouter;
