//! What an instance tells about itself: structured log lines and counters.

mod logbook;
mod metrics;

pub use logbook::{Logbook, install_logger};
pub use metrics::{GatewayMetrics, RequestSample};
