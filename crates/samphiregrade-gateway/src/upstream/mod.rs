//! Upstreams as this instance sees them: who is there, how loaded, what they have cached.

mod balance;
mod breaker;
mod cache;
mod directory;
mod homes;
mod peer;

pub use balance::{Candidate, WorkEstimate, choose_upstream, turn_rank};
pub use breaker::{BreakerState, UpstreamBreaker};
pub use cache::PrefixCache;
pub use directory::{DepartureRule, UpstreamDirectory, UpstreamRegistry};
pub use homes::{FirstParts, homes};
pub use peer::{InFlightGuard, Upstream};
