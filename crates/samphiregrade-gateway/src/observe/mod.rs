//! Observability of an instance: structured log lines and metrics.

mod logbook;
mod metrics;

pub use logbook::{Logbook, install_logger};
pub use metrics::{GatewayMetrics, RequestSample};
