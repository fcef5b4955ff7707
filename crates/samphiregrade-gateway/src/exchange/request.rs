//! A request with the state that admission and dispatch decide on.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use samphiregrade_http::wire::RequestHead;
use smol_str::SmolStr;

use crate::access::CallerIdentity;
use crate::model::{ConfigVersion, RequestMetadata, RouteRecord, ServiceRecord, UpstreamRecord};
use crate::upstream::{ProgramProgress, ServiceTimes, TurnPace, UrgencyClass, turn_rank};

use super::limit_desk::LimitToken;
use super::origin::SoftwareRule;
use super::survey::PlacementView;
use super::tries::RequestTries;
use super::turn::ProgramState;

/// A request whose route and service are known, with its complete body.
pub struct RoutedRequest {
    /// Identity of the caller.
    pub caller: CallerIdentity,
    /// Token of the organisation's limit; `None` before admission and without a limit.
    pub token: Option<LimitToken>,
    /// Version of the configuration in use.
    pub version: ConfigVersion,
    /// Request head as sent by the client.
    pub head: RequestHead,
    /// Metadata of the head.
    pub metadata: RequestMetadata,
    /// Id of this attempt of the client.
    pub id: SmolStr,
    /// Body for the upstream.
    pub body: Bytes,
    /// State of the program, as reported by the keepers.
    pub program_state: ProgramState,
    /// The upstreams that may run the request, by the version of their software.
    pub software: SoftwareRule,
    /// Homes and accounts of the upstreams that are relevant for placement.
    pub view: PlacementView,
    /// Position of the request's priority among all priorities of the service.
    pub urgency: UrgencyClass,
    /// Tries of the request over all attempts of its client.
    pub tries: Arc<RequestTries>,
    /// Route of the request.
    pub route: Arc<RouteRecord>,
    /// Service of the request.
    pub service: Arc<ServiceRecord>,
    /// Measured request times of the service.
    pub times: ServiceTimes,
    /// When the request head was complete.
    pub started: Instant,
    /// Deadline of the response.
    pub due: Instant,
}

impl RoutedRequest {
    /// Returns the prompt tokens that an upstream would have to process, if the previous turn ran there.
    #[must_use]
    pub fn uncached_since_last_turn(&self, upstream: &UpstreamRecord) -> Option<u32> {
        let place =
            self.program_state.last_place.as_ref().filter(|place| {
                place.upstream == upstream.id && place.started == upstream.started
            })?;
        let prompt = self.metadata.usage?.prompt;
        Some(prompt.saturating_sub(place.tokens))
    }

    /// Returns whether the request takes up a stream, which only upstreams of its software version may continue.
    #[must_use]
    pub fn resumes_stream(&self) -> bool {
        self.route.resumable && self.metadata.resumption.is_some()
    }

    /// Returns whether this is the first request of a program, according to its head.
    #[must_use]
    pub fn starts_program(&self) -> bool {
        let is_turn = self.service.engine.is_some() && self.metadata.program.is_some();
        is_turn && self.metadata.previous_turn.is_none()
    }

    /// Returns the rank of the request at the engine.
    #[must_use]
    pub fn rank(&self) -> u8 {
        turn_rank(self.urgency, &self.progress(), &TurnPace::from(&self.times))
    }

    /// Returns whether the head of the response is expected without delay: the request is not a turn that may have to
    /// wait behind others.
    #[must_use]
    pub fn expects_early_head(&self) -> bool {
        if self.service.engine.is_none() {
            return true;
        }
        let progress = self.progress();
        progress.has_begun() && !progress.is_late(&TurnPace::from(&self.times))
    }

    /// Returns whether the request may be sent again when it is unknown whether it ran: its route allows repeats, or it
    /// is a turn, which has no effect other than its response.
    #[must_use]
    pub fn may_resend(&self) -> bool {
        let is_turn = self.service.engine.is_some() && self.metadata.program.is_some();
        self.route.may_repeat() || is_turn
    }

    /// Returns whether the request may be sent to a suspected upstream, to find out whether the upstream has recovered.
    #[must_use]
    pub fn may_probe(&self) -> bool {
        self.route.may_repeat() || (self.may_resend() && !self.progress().has_begun())
    }

    /// Returns whether the request goes behind others because its organisation is above its fair share.
    #[must_use]
    pub fn yields_to_others(&self) -> bool {
        let progress = self.progress();
        progress.over_share && !progress.has_begun()
    }

    fn progress(&self) -> ProgramProgress {
        let mut progress = self.program_state.progress;
        progress.time_left = self.metadata.program_deadline;
        progress.over_share = self.view.share.is_some_and(|share| share.is_over());
        if let Some(program) = &self.metadata.program {
            progress.tag = blake3::hash(program.as_bytes()).as_bytes()[0];
        }
        if self.metadata.previous_turn.is_some() {
            progress.completed_turns = progress.completed_turns.max(1);
        }
        progress
    }

    /// Records that the request may have run, so that its token is not returned.
    pub fn spend_token(&mut self) {
        if let Some(token) = &mut self.token {
            token.spend();
        }
    }

    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }
}
