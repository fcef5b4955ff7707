//! Upstreams: reading their load, dispatching calls to them, and their caches.

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
