//! The callers' interface: routes each request to its shard's primary, and serves it as the primary.

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

/// Pause between two attempts to find a shard's primary.
const ROUTE_PAUSE: Duration = Duration::from_millis(50);

/// Value of `Retry-After` for a request whose shard has no primary.
const ROUTE_RETRY: Duration = Duration::from_millis(500);

/// Value of `Retry-After` from an instance that shuts down: short, since other instances continue to serve.
const STOPPING_RETRY: Duration = Duration::from_millis(100);

/// Result of a request to an instance that may be its shard's primary.
pub enum LocalAnswer {
    /// The response to the caller.
    Response(OutgoingResponse),
    /// The shard's primary is another instance, or the shard has none yet.
    NotPrimary,
}

impl InstanceState {
    /// Serves a caller's request.
    pub(super) async fn serve_caller(&self, request: IncomingRequest) -> OutgoingResponse {
        let response = match request.path.as_str() {
            "/healthz" => OutgoingResponse::json(200, &json!({"status": "alive"})),
            "/readyz" => self.readiness(),
            _ => self.handle_caller_request(request).await,
        };
        if self.is_draining() {
            // Closing the connection makes the caller send its next request to another instance.
            return response.with_header("connection", "close");
        }
        response
    }

    async fn handle_caller_request(&self, request: IncomingRequest) -> OutgoingResponse {
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

    /// Returns the refusal of a request whose head shows that it won't be served; `None` if its body is to be read.
    pub(super) fn refuse_head(&self, head: &IncomingRequest) -> Option<OutgoingResponse> {
        if self.gate.is_closed() {
            return Some(refuse_stopping().response());
        }
        if self.records.revision() == 0 {
            return None;
        }
        let refusal = self.authenticate(head).err()?;
        log::debug!("request refused before its body refusal={refusal}");
        Some(refusal.response())
    }

    /// Composes the response to a caller whose request is still running at the shutdown deadline.
    pub(super) fn refuse_at_deadline(&self) -> OutgoingResponse {
        log::info!(
            "request refused at the shutdown deadline instance={}",
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
            // Tokens and classes can't be checked before the configuration is known.
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
            let received = self
                .try_primary(&shard, &operation, &organisation, &forwarded)
                .await;
            if let Some(response) = received {
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
            return match self.handle_locally(operation, organisation).await {
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

    /// Executes an operation if this instance is the primary of its shard.
    pub(super) async fn handle_locally(
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
                let (reply, received) = oneshot::channel();
                let command = CallCommand {
                    program: operation.program.clone(),
                    sequence: call.sequence,
                    digest: call.digest,
                    spec: call.spec.clone(),
                    organisation: organisation.clone(),
                    reply,
                };
                self.send_command(&shard, ShardCommand::Call(Box::new(command)))
                    .await;
                let received = received.await.unwrap_or(CallReply::NotPrimary);
                let program = &operation.program;
                self.respond_to_call(program, call.sequence, call.stream, received)
                    .await
            }
            OperationKind::LateResponse(sequence, offset) => {
                let (reply, received) = oneshot::channel();
                let query = ProgramQuery::Call(*sequence, reply);
                self.send_query(&shard, operation, organisation, query)
                    .await;
                let received = received.await.unwrap_or(CallReply::NotPrimary);
                self.respond_late(&operation.program, *sequence, *offset, received)
            }
            OperationKind::Show => {
                let (reply, received) = oneshot::channel();
                let query = ProgramQuery::Program(reply);
                self.send_query(&shard, operation, organisation, query)
                    .await;
                respond::json_or_not_primary(received.await.ok())
            }
            OperationKind::History => {
                let (reply, received) = oneshot::channel();
                let query = ProgramQuery::History(reply);
                self.send_query(&shard, operation, organisation, query)
                    .await;
                respond::json_or_not_primary(received.await.ok())
            }
            OperationKind::End => {
                let (reply, received) = oneshot::channel();
                let program = operation.program.clone();
                let command = ShardCommand::End(program, organisation.clone(), reply);
                self.send_command(&shard, command).await;
                respond::json_or_not_primary(received.await.ok().flatten())
            }
        }
    }

    async fn send_command(&self, shard: &ShardId, command: ShardCommand) {
        // If the copy's task has ended, the command is dropped, which closes its reply channel.
        let _ = self.shards.copy(shard).send(command).await;
    }

    async fn send_query(
        &self,
        shard: &ShardId,
        operation: &CallerOperation,
        organisation: &OrganisationId,
        query: ProgramQuery,
    ) {
        let program = operation.program.clone();
        let command = ShardCommand::Query(program, organisation.clone(), query);
        self.send_command(shard, command).await;
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
        let (reply, received) = oneshot::channel();
        self.send_command(shard, ShardCommand::Begin(Box::new(begin), reply))
            .await;
        respond::json_or_not_primary(received.await.ok().flatten())
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
        // The key of a sub-agent is scoped to its parent program.
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

    /// Sends a hold from an engine's list to the local primary copy, which checks it.
    pub(super) fn audit_hold(&self, program: ProgramId, upstream: UpstreamName) {
        let Ok(shard) = ShardId::of_program(&program) else {
            return;
        };
        // If the inbox is full, the next reading of the engine's holds sends the hold again.
        let _ = self
            .shards
            .copy(&shard)
            .try_send(ShardCommand::AuditHold(program, upstream));
    }
}

/// Refuses a request because the instance shuts down.
///
/// The refusal does not say whether the request ran: the same request may have arrived earlier, here or through
/// another instance.
fn refuse_stopping() -> Refusal {
    let refusal = Refusal::unknown(RefusalKind::ShuttingDown, "the instance is shutting down");
    refusal.with_retry_after(STOPPING_RETRY)
}
