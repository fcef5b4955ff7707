//! Upstreams: polls their load, dispatches calls to them and manages the prefixes that engines hold.

mod breaker;
mod engine;
mod orders;
mod poller;
mod runner;
mod service;

pub use breaker::CircuitBreaker;
pub use orders::{OrderContext, run_orders};
pub use poller::{PollerSettings, run_poller};
pub use runner::{RunnerCounters, UpstreamRunner};
