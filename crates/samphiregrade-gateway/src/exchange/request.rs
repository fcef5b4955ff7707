//! One request as it goes through the decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use samphiregrade_http::wire::RequestHead;
use smol_str::SmolStr;

use crate::fact::TurnPlace;
use crate::model::{RequestMetadata, RouteRecord, ServiceRecord, UpstreamId};
use crate::upstream::turn_rank;

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
    /// Where the turn before it ran, as far as is known.
    pub last_place: Option<TurnPlace>,
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
    /// Returns the tokens that an upstream would have to read where the turn before ran there.
    #[must_use]
    pub fn uncached_at_last_place(&self, upstream: &UpstreamId) -> Option<u32> {
        let place = self
            .last_place
            .as_ref()
            .filter(|place| place.upstream == *upstream)?;
        let prompt = self.metadata.usage?.prompt;
        Some(prompt.saturating_sub(place.tokens))
    }

    /// Returns the rank for the upstream.
    #[must_use]
    pub fn rank(&self) -> u8 {
        let begins = self.last_place.is_none() && self.metadata.previous_turn.is_none();
        turn_rank(self.route.priority, begins)
    }

    /// Returns the time that is left.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }
}
