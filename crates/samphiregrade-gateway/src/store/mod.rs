//! The platform's key-value service: one client, and the watches that follow it.

mod client;
mod follow;

pub use client::{StoreClient, StoreFailure};
pub use follow::{FollowEvent, follow_prefix};
