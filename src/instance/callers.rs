//! The callers' interface: finding the primary, and answering as primary.

mod operation;
mod respond;

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant, SystemTime};

use samphiregrade_http::{IncomingRequest, OutgoingResponse};
use serde_json::json;
use tokio::sync::oneshot;

pub use operation::{CallerOperation, OperationKind};
pub use respond::MOVED_EVENT;

use super::InstanceState;
use crate::contract::{BeginRequest, Refusal, RefusalKind};
use crate::ids::{
    OrganisationId, ProgramId, ShardId, UpstreamName, natural_shard, program_id, shard_in_domain,
};
use crate::link::ForwardedRequest;
use crate::program::{ProgramBegin, body_digest, grant_limits};
use crate::shard::{CallCommand, CallReply, ProgramQuery, ShardCommand};

/// Pause between two tries to find a shard's primary.
const ROUTE_PAUSE: Duration = Duration::from_millis(50);

/// When a caller should ask again whose shard has no primary.
const ROUTE_RETRY: Duration = Duration::from_millis(500);

/// When a caller should ask again that came to an instance that ends: at once, since others go on.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// What an instance that may be primary answers.
pub enum LocalAnswer {
    /// The answer.
    Response(OutgoingResponse),
    /// The shard's primary is another instance, or nobody yet.
    NotPrimary,
}

impl InstanceState {
    /// Answers a caller's request.
    pub(super) async fn serve_caller(&self, request: IncomingRequest) -> OutgoingResponse {
        let response = match request.path.as_str() {
            "/healthz" => OutgoingResponse::json(200, &json!({"status": "alive"})),
            "/readyz" => self.readiness(),
            _ => self.answer_caller(request).await,
        };
        if self.is_draining() {
            // The caller's next request is to go to another instance.
            return response.with_header("connection", "close");
        }
        response
    }

    async fn answer_caller(&self, request: IncomingRequest) -> OutgoingResponse {
        if self.gate.is_closed() {
            return refuse_stopping().response();
        }
        self.served_requests.fetch_add(1, Ordering::Relaxed);
        let response = self.route_request(request).await;
        response.unwrap_or_else(|refusal| {
            log::debug!("request refused refusal={refusal}");
            refusal.response()
        })
    }

    /// The last word to a caller whose request is under way when the instance ends.
    pub(super) fn refuse_at_end(&self) -> OutgoingResponse {
        log::info!(
            "request refused at the end instance={}",
            self.peers.view().me
        );
        refuse_stopping()
            .response()
            .with_header("connection", "close")
    }

    pub(super) fn readiness(&self) -> OutgoingResponse {
        if self.is_ready() {
            return OutgoingResponse::json(200, &json!({"status": "ready"}));
        }
        OutgoingResponse::json(503, &json!({"status": "not ready"}))
    }

    async fn route_request(&self, request: IncomingRequest) -> Result<OutgoingResponse, Refusal> {
        if self.records.revision() == 0 {
            // Nothing can be said about a token or a class before the configuration is known.
            let detail = "the instance has no configuration yet";
            let refusal = Refusal::unknown(RefusalKind::ShardUnavailable, detail);
            return Err(refusal.with_retry_after(ROUTE_RETRY));
        }
        let organisation = self.authenticate(&request)?;
        let forwarded = ForwardedRequest {
            method: request.method.as_str().into(),
            path: request.path,
            query: request.query,
            organisation: organisation.clone(),
            body: request.body.to_vec(),
        };
        let operation = CallerOperation::parse(&forwarded)?;
        let shard = self.shard_of(&operation, &organisation)?;
        let deadline = Instant::now() + Duration::from_millis(self.settings.limits.route_ms);
        while Instant::now() < deadline {
            let answer = self
                .try_primary(&shard, &operation, &organisation, &forwarded)
                .await;
            if let Some(response) = answer {
                return Ok(response);
            }
            tokio::time::sleep(ROUTE_PAUSE).await;
        }
        let detail = format!("shard {shard} has no primary that can be reached");
        let refusal = Refusal::unknown(RefusalKind::ShardUnavailable, detail);
        Err(refusal.with_retry_after(ROUTE_RETRY))
    }

    async fn try_primary(
        &self,
        shard: &ShardId,
        operation: &CallerOperation,
        organisation: &OrganisationId,
        forwarded: &ForwardedRequest,
    ) -> Option<OutgoingResponse> {
        let placement = self.maps.placement(shard)?;
        if placement.primary == self.peers.view().me {
            return match self.answer_locally(operation, organisation).await {
                LocalAnswer::Response(response) => Some(response),
                LocalAnswer::NotPrimary => None,
            };
        }
        self.forward(shard, &placement.primary, forwarded.clone())
            .await
    }

    fn authenticate(&self, request: &IncomingRequest) -> Result<OrganisationId, Refusal> {
        let refused = |detail: &str| Refusal::not_run(RefusalKind::Unauthorized, detail);
        let header = request
            .header("authorization")
            .ok_or(refused("no access token"))?;
        let token = header
            .strip_prefix("Bearer ")
            .ok_or(refused("not a bearer token"))?;
        let config = self.config.load();
        let organisation = config.organisation_of(token.trim());
        organisation
            .cloned()
            .ok_or(refused("the access token is not known"))
    }

    /// Returns the shard that an operation belongs to.
    fn shard_of(
        &self,
        operation: &CallerOperation,
        organisation: &OrganisationId,
    ) -> Result<ShardId, Refusal> {
        match &operation.kind {
            OperationKind::Begin(begin, _) => self.shard_of_begin(begin, organisation),
            _ => ShardId::of_program(&operation.program)
                .map_err(|error| Refusal::not_run(RefusalKind::UnknownProgram, error.to_string())),
        }
    }

    fn shard_of_begin(
        &self,
        begin: &BeginRequest,
        organisation: &OrganisationId,
    ) -> Result<ShardId, Refusal> {
        if let Some(parent) = &begin.parent {
            return ShardId::of_program(parent)
                .map_err(|error| Refusal::not_run(RefusalKind::UnknownProgram, error.to_string()));
        }
        let config = self.config.load();
        let domains = config.live_domains();
        let unavailable = |detail: &str| {
            let refusal = Refusal::not_run(RefusalKind::ShardUnavailable, detail);
            refusal.with_retry_after(ROUTE_RETRY)
        };
        if domains.is_empty() {
            return Err(unavailable("no failure domain has a record"));
        }
        let domain = match &begin.home {
            Some(home) if domains.contains(home) => home.clone(),
            Some(home) => {
                let detail = format!("field `home`: there is no failure domain `{home}`");
                return Err(Refusal::not_run(RefusalKind::BadRequest, detail));
            }
            None => natural_shard(&domains, 1, organisation, &begin.key).domain,
        };
        let map = self
            .maps
            .map(&domain)
            .ok_or(unavailable("the failure domain has no shards yet"))?;
        let shards = u16::try_from(map.map.shards.len()).unwrap_or(u16::MAX);
        Ok(shard_in_domain(&domain, shards, organisation, &begin.key))
    }

    /// Answers an operation where this instance is the shard's primary.
    pub(super) async fn answer_locally(
        &self,
        operation: &CallerOperation,
        organisation: &OrganisationId,
    ) -> LocalAnswer {
        let shard = match self.shard_of(operation, organisation) {
            Ok(shard) => shard,
            Err(refusal) => return LocalAnswer::Response(refusal.response()),
        };
        let me = self.peers.view().me.clone();
        let placed = self
            .maps
            .placement(&shard)
            .is_some_and(|placement| placement.primary == me);
        if !placed {
            return LocalAnswer::NotPrimary;
        }
        match &operation.kind {
            OperationKind::Begin(begin, body) => {
                self.begin(&shard, begin, body, organisation).await
            }
            OperationKind::Call(call) => {
                let (reply, answer) = oneshot::channel();
                let command = CallCommand {
                    program: operation.program.clone(),
                    sequence: call.sequence,
                    digest: call.digest,
                    spec: call.spec.clone(),
                    organisation: organisation.clone(),
                    reply,
                };
                self.tell(&shard, ShardCommand::Call(Box::new(command)))
                    .await;
                let answer = answer.await.unwrap_or(CallReply::NotPrimary);
                let program = &operation.program;
                self.respond_to_call(program, call.sequence, call.stream, answer)
                    .await
            }
            OperationKind::LateAnswer(sequence, offset) => {
                let (reply, answer) = oneshot::channel();
                let question = ProgramQuery::Call(*sequence, reply);
                self.inspect(&shard, operation, organisation, question)
                    .await;
                let answer = answer.await.unwrap_or(CallReply::NotPrimary);
                self.respond_late(&operation.program, *sequence, *offset, answer)
            }
            OperationKind::Show => {
                let (reply, answer) = oneshot::channel();
                let question = ProgramQuery::Program(reply);
                self.inspect(&shard, operation, organisation, question)
                    .await;
                respond::json_or_moved(answer.await.ok())
            }
            OperationKind::History => {
                let (reply, answer) = oneshot::channel();
                let question = ProgramQuery::History(reply);
                self.inspect(&shard, operation, organisation, question)
                    .await;
                respond::json_or_moved(answer.await.ok())
            }
            OperationKind::End => {
                let (reply, answer) = oneshot::channel();
                let program = operation.program.clone();
                let command = ShardCommand::End(program, organisation.clone(), reply);
                self.tell(&shard, command).await;
                respond::json_or_moved(answer.await.ok().flatten())
            }
        }
    }

    async fn tell(&self, shard: &ShardId, command: ShardCommand) {
        // A task that is gone drops the command, and with it the channel of its answer.
        let _ = self.shards.copy(shard).send(command).await;
    }

    async fn inspect(
        &self,
        shard: &ShardId,
        operation: &CallerOperation,
        organisation: &OrganisationId,
        question: ProgramQuery,
    ) {
        let program = operation.program.clone();
        let command = ShardCommand::Query(program, organisation.clone(), question);
        self.tell(shard, command).await;
    }

    async fn begin(
        &self,
        shard: &ShardId,
        request: &BeginRequest,
        body: &[u8],
        organisation: &OrganisationId,
    ) -> LocalAnswer {
        let begin = match self.compose_begin(shard, request, body, organisation) {
            Ok(begin) => begin,
            Err(refusal) => return LocalAnswer::Response(refusal.response()),
        };
        let (reply, answer) = oneshot::channel();
        self.tell(shard, ShardCommand::Begin(Box::new(begin), reply))
            .await;
        respond::json_or_moved(answer.await.ok().flatten())
    }

    fn compose_begin(
        &self,
        shard: &ShardId,
        request: &BeginRequest,
        body: &[u8],
        organisation: &OrganisationId,
    ) -> Result<ProgramBegin, Refusal> {
        let config = self.config.load();
        let class = config.class(&request.class).ok_or_else(|| {
            let detail = format!(
                "field `class`: there is no program class `{}`",
                request.class
            );
            Refusal::not_run(RefusalKind::UnknownClass, detail)
        })?;
        let mut limits = grant_limits(&class.limits, request.tokens);
        if let Some(deadline) = request.deadline() {
            limits.wall_time = limits.wall_time.min(deadline);
        }
        let began = SystemTime::now();
        // A sub-agent's key counts within its parent.
        let scope = request.parent.as_ref().unwrap_or(organisation);
        Ok(ProgramBegin {
            program: program_id(shard, scope, &request.key),
            organisation: organisation.clone(),
            class: request.class.clone(),
            digest: body_digest(body),
            deadline: began + limits.wall_time,
            limits,
            wishes_tokens: request.tokens.is_some(),
            began,
            parent: request.parent.clone(),
            depth: 0,
        })
    }

    /// Has the hold that an engine lists checked by the copy that is primary here.
    pub(super) fn audit_hold(&self, program: ProgramId, upstream: UpstreamName) {
        let Ok(shard) = ShardId::of_program(&program) else {
            return;
        };
        // A full inbox is tried again at the next reading.
        let _ = self
            .shards
            .copy(&shard)
            .try_send(ShardCommand::AuditHold(program, upstream));
    }
}

/// Refuses a request because the instance ends.
///
/// Whether it ran is left open: the same request may have come before, here or through another instance.
fn refuse_stopping() -> Refusal {
    let refusal = Refusal::unknown(RefusalKind::ShuttingDown, "the instance is shutting down");
    refusal.with_retry_after(STOPPING_RETRY)
}
