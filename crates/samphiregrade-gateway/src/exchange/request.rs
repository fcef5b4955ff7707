//! One request as it goes through the decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use samphiregrade_http::wire::RequestHead;
use smol_str::SmolStr;

use crate::model::{RequestMetadata, RouteRecord, ServiceRecord};

/// A request whose route and service are known, with its whole body.
pub struct RoutedRequest {
    /// Head as the client sent it.
    pub head: RequestHead,
    /// What the head says.
    pub metadata: RequestMetadata,
    /// Id of the attempt.
    pub id: SmolStr,
    /// Body for the upstream.
    pub body: Bytes,
    /// The route.
    pub route: Arc<RouteRecord>,
    /// The service.
    pub service: Arc<ServiceRecord>,
    /// When the head was whole.
    pub started: Instant,
    /// When it has to be answered.
    pub due: Instant,
}

impl RoutedRequest {
    /// Returns the time that is left.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }
}
