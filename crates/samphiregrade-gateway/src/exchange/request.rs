//! One request as it goes through the decisions.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use samphiregrade_http::wire::RequestHead;
use smol_str::SmolStr;

use crate::access::CallerIdentity;
use crate::model::{ConfigVersion, RequestMetadata, RouteRecord, ServiceRecord, UpstreamRecord};
use crate::upstream::{ProgramProgress, ServiceTimes, TurnPace, UrgencyClass, turn_rank};

use super::limit_desk::LimitToken;
use super::survey::PlacementView;
use super::turn::ProgramStanding;

/// A request whose route and service are known, with its whole body.
pub struct RoutedRequest {
    /// Who calls.
    pub caller: CallerIdentity,
    /// Token of its organisation's limit, once it has one.
    pub token: Option<LimitToken>,
    /// Version of the configuration that decided.
    pub version: ConfigVersion,
    /// Head as the client sent it.
    pub head: RequestHead,
    /// What the head says.
    pub metadata: RequestMetadata,
    /// Id of the attempt.
    pub id: SmolStr,
    /// Body for the upstream.
    pub body: Bytes,
    /// What the keepers know of its program.
    pub standing: ProgramStanding,
    /// How the upstreams stand that matter to it.
    pub view: PlacementView,
    /// Place of its route's priority among those of its service.
    pub urgency: UrgencyClass,
    /// The route.
    pub route: Arc<RouteRecord>,
    /// The service.
    pub service: Arc<ServiceRecord>,
    /// What requests of the service take.
    pub times: ServiceTimes,
    /// When the head was whole.
    pub started: Instant,
    /// When it has to be answered.
    pub due: Instant,
}

impl RoutedRequest {
    /// Returns the tokens that an upstream would have to read where the turn before ran there.
    #[must_use]
    pub fn uncached_at_last_place(&self, upstream: &UpstreamRecord) -> Option<u32> {
        let place =
            self.standing.last_place.as_ref().filter(|place| {
                place.upstream == upstream.id && place.started == upstream.started
            })?;
        let prompt = self.metadata.usage?.prompt;
        Some(prompt.saturating_sub(place.tokens))
    }

    /// Returns whether it is the first request of a program, as far as its head tells.
    #[must_use]
    pub fn begins_program(&self) -> bool {
        let is_turn = self.service.engine.is_some() && self.metadata.program.is_some();
        is_turn && self.metadata.previous_turn.is_none()
    }

    /// Returns the rank for the engine.
    #[must_use]
    pub fn rank(&self) -> u8 {
        turn_rank(self.urgency, &self.progress(), &TurnPace::from(&self.times))
    }

    /// Returns whether its answer should begin at once: it is no turn that may have to wait behind others.
    #[must_use]
    pub fn expects_early_head(&self) -> bool {
        if self.service.engine.is_none() {
            return true;
        }
        let progress = self.progress();
        progress.has_begun() && !progress.is_late(&TurnPace::from(&self.times))
    }

    /// Returns whether its caller may send it again where it is not known whether it ran: it may run more than once,
    /// or it is a turn, which leaves nothing behind but its answer.
    #[must_use]
    pub fn may_resend(&self) -> bool {
        let is_turn = self.service.engine.is_some() && self.metadata.program.is_some();
        self.route.may_repeat() || is_turn
    }

    /// Returns whether it may be sent to an upstream that is doubted, to see whether that has recovered.
    #[must_use]
    pub fn may_probe(&self) -> bool {
        self.route.may_repeat() || (self.may_resend() && !self.progress().has_begun())
    }

    fn progress(&self) -> ProgramProgress {
        let mut progress = self.standing.progress;
        progress.time_left = self.metadata.program_deadline;
        if let Some(program) = &self.metadata.program {
            progress.tag = blake3::hash(program.as_bytes()).as_bytes()[0];
        }
        if self.metadata.previous_turn.is_some() {
            progress.completed_turns = progress.completed_turns.max(1);
        }
        progress
    }

    /// Notes that it may have run: its token is not given back.
    pub fn spend_token(&mut self) {
        if let Some(token) = &mut self.token {
            token.spend();
        }
    }

    /// Returns the time that is left.
    #[must_use]
    pub fn time_left(&self, now: Instant) -> Duration {
        self.due.saturating_duration_since(now)
    }
}
