//! A client's connection: one request after the other, each answered or visibly cut.

mod accepting;
mod reading;

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use samphiregrade_http::wire::{RequestHead, SocketLimits, WireSocket};
use smol_str::SmolStr;
use tokio::net::TcpStream;

use super::admission::{admit_beside, identify};
use super::attempt::LiveAnswer;
use super::context::EntryContext;
use super::dispatch::dispatch;
use super::outcome::{ConnectionAge, OpenRecord, RequestRecord, SurveyRecord};
use super::refusal::{Refusal, RefusalReason};
use super::relay::{RelayClient, RelayEnd, relay_answer};
use super::request::RoutedRequest;
use super::survey::{PlacementView, survey};
use super::turn::{PreparedTurn, ProgramStanding, TurnPlan};
use crate::model::{ClientLimits, RequestKind, RequestMetadata};
use crate::routing::{RouteTable, service_for};

pub use accepting::{ShutdownTokens, serve_clients};
use reading::{BodyEnd, HeadEnd};

async fn serve_stream(context: Arc<EntryContext>, stream: TcpStream, tokens: ShutdownTokens) {
    let socket = match WireSocket::new(stream, &SocketLimits::default()) {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("a client's connection ended at once: {error}");
            return;
        }
    };
    let age = ConnectionAge {
        accepted: Instant::now(),
        earlier_requests: 0,
    };
    let client = ClientConnection {
        context,
        socket,
        age,
        tokens,
    };
    client.serve().await;
}

struct ClientConnection {
    context: Arc<EntryContext>,
    socket: WireSocket,
    age: ConnectionAge,
    tokens: ShutdownTokens,
}

/// What a request needs before it can be sent.
struct PreparedRequest {
    request: RoutedRequest,
    turn: Option<TurnPlan>,
}

impl ClientConnection {
    async fn serve(mut self) {
        loop {
            let limits = self.limits();
            match self.read_head(&limits).await {
                HeadEnd::Closed => return,
                HeadEnd::Refused(reason) => {
                    self.refuse_head(reason).await;
                    break;
                }
                HeadEnd::Head(head) => {
                    if !self.serve_request(head, &limits).await {
                        break;
                    }
                    self.age.earlier_requests += 1;
                }
            }
        }
        // The rest of a refused body, or a further request, may be on its way: it must not cost the last answer.
        self.socket.end_in_order().await;
    }

    fn limits(&self) -> ClientLimits {
        let routes = self.context.routes.load();
        routes
            .as_ref()
            .map(|table| table.limits)
            .unwrap_or_default()
    }

    /// Answers a head that can't be read as a request.
    async fn refuse_head(&mut self, reason: RefusalReason) {
        let mut record = self.open_record(SmolStr::default(), Instant::now());
        self.refuse(&mut record, reason.into(), false).await;
    }

    fn open_record(&self, id: SmolStr, started: Instant) -> OpenRecord {
        let record = RequestRecord::new(id, started, self.age);
        OpenRecord::begin(self.context.clone(), record)
    }

    /// Serves a request; returns whether the connection goes on.
    async fn serve_request(&mut self, head: RequestHead, limits: &ClientLimits) -> bool {
        let started = Instant::now();
        let metadata = self.context.dialect.request_metadata(&head);
        let id = metadata.request.clone().unwrap_or_default();
        let mut record = self.open_record(id, started);
        record.program = metadata.program.clone().unwrap_or_default();
        record.program_left = metadata.program_deadline;
        let keep = head.keeps_connection() && head.minor_version > 0;
        let body = match self.read_body(&head, limits).await {
            BodyEnd::Whole(body) => body,
            BodyEnd::Refused(reason) => {
                self.refuse(&mut record, reason.into(), false).await;
                return false;
            }
            BodyEnd::Gone => {
                record.outcome = "client-gone";
                return false;
            }
        };
        match self.prepare(head, metadata, body, &mut record) {
            Ok(prepared) if !self.may_take(&prepared.request) => {
                let refusal = RefusalReason::Stopping.into();
                self.refuse(&mut record, refusal, false).await
            }
            Ok(prepared) => self.carry_out(prepared, &mut record, keep).await,
            Err(reason) => self.refuse(&mut record, reason.into(), keep).await,
        }
    }

    /// Returns whether a request may be taken: once nothing new is, only one that had come before and surely ends in time.
    fn may_take(&self, request: &RoutedRequest) -> bool {
        !self.tokens.drain.is_cancelled() || self.context.can_complete_by(request.due)
    }

    /// Finds the request's route and service in the configuration as it is now.
    fn prepare(
        &self,
        head: RequestHead,
        metadata: RequestMetadata,
        body: Bytes,
        record: &mut RequestRecord,
    ) -> Result<PreparedRequest, RefusalReason> {
        let routes = self.context.routes.load();
        let table: &RouteTable = routes.as_ref().ok_or(RefusalReason::NoConfiguration)?;
        record.config = table.version;
        if metadata.request.is_none() {
            return Err(RefusalReason::Malformed);
        }
        let host = head.fields.text("host").ok_or(RefusalReason::Malformed)?;
        let path = head.path().ok_or(RefusalReason::Malformed)?;
        let Some(route) = table.route(host, path).cloned() else {
            record.add_detail(&format!("no route for {host}{path}"));
            return Err(RefusalReason::NoRoute);
        };
        record.route = route.name.clone();
        record.kind = Some(route.kind);
        let caller = identify(&self.context, &route, &metadata.credential)?;
        let organisation = caller.organisation();
        record.organisation = organisation.map(|organisation| organisation.name.clone());
        let priority = organisation.and_then(|organisation| organisation.priority);
        let key = metadata
            .program
            .clone()
            .unwrap_or_else(|| record.request.clone());
        let service = service_for(&route, &key)
            .and_then(|name| table.service(name))
            .ok_or(RefusalReason::NoUpstream)?
            .clone();
        let allowed = metadata
            .deadline
            .map_or(route.timeout, |time| time.min(route.timeout));
        let is_turn = route.kind == RequestKind::Streaming;
        let request = RoutedRequest {
            id: record.request.clone(),
            due: record.started + allowed,
            started: record.started,
            head,
            metadata,
            body,
            standing: ProgramStanding::default(),
            view: PlacementView::default(),
            times: self.context.service_times(&service),
            urgency: table.urgency(&service.name, priority.unwrap_or(route.priority)),
            caller,
            token: None,
            version: table.version,
            route,
            service,
        };
        let turn = if is_turn {
            TurnPlan::of(&request)
        } else {
            None
        };
        Ok(PreparedRequest { request, turn })
    }

    /// Sends the request and relays its answer; returns whether the connection goes on.
    async fn carry_out(
        &mut self,
        prepared: PreparedRequest,
        record: &mut RequestRecord,
        keep: bool,
    ) -> bool {
        let PreparedRequest { mut request, turn } = prepared;
        let context = self.context.clone();
        let sent = tokio::select! {
            biased;
            sent = send_request(&context, &mut request, turn.as_ref(), record) => sent.map_err(Some),
            () = self.socket.hung_up() => Err(None),
            () = self.tokens.abort.cancelled() => Err(Some(give_up(record))),
        };
        match sent {
            Err(None) => {
                record.outcome = "client-gone";
                if record.sends > 0 {
                    request.spend_token();
                }
                release(&context, turn.as_ref(), 0);
                false
            }
            Err(Some(refusal)) => {
                if refusal.reason.may_have_run() {
                    request.spend_token();
                }
                release(&context, turn.as_ref(), 0);
                self.refuse(record, refusal, keep).await
            }
            Ok(answer) => {
                request.spend_token();
                self.relay(&request, turn, *answer, record, keep).await
            }
        }
    }

    async fn relay(
        &mut self,
        request: &RoutedRequest,
        turn: Option<TurnPlan>,
        answer: LiveAnswer,
        record: &mut RequestRecord,
        keep: bool,
    ) -> bool {
        record.first_answer = Some(record.started.elapsed());
        let context = self.context.clone();
        let keep = keep && !context.closes_connections();
        let upstream = answer.guard.upstream().clone();
        let client = RelayClient {
            socket: &mut self.socket,
            keep,
            abort: &self.tokens.abort,
        };
        let end = relay_answer(
            &context,
            client,
            request,
            turn.as_ref(),
            answer,
            record.uncached,
        );
        match end.await {
            RelayEnd::Whole { status, spent } => {
                record.status = status;
                record.outcome = "answered";
                if let Some(plan) = turn.filter(|plan| !plan.retained || status != 200) {
                    plan.settle(&context, spent, Some(&upstream.record));
                }
                keep
            }
            RelayEnd::NothingSent { reason, detail } => {
                record.add_detail(&detail);
                release(&context, turn.as_ref(), 0);
                self.refuse(record, reason.into(), keep).await
            }
            RelayEnd::Cut {
                outcome,
                detail,
                spent,
            } => {
                record.outcome = outcome;
                record.add_detail(&detail);
                release(&context, turn.as_ref(), spent);
                self.socket.reset_on_close();
                false
            }
        }
    }

    /// Writes an answer of the instance's own; returns whether the connection goes on.
    async fn refuse(&mut self, record: &mut RequestRecord, refusal: Refusal, keep: bool) -> bool {
        let refusal = refusal.while_cut_off(self.context.cut_off_for());
        record.outcome = refusal.reason.name();
        record.window = refusal.window;
        record.status = refusal.reason.status();
        let mut bytes = BytesMut::with_capacity(256);
        let id = Some(record.request.as_str()).filter(|id| !id.is_empty());
        let keep = keep && !self.context.closes_connections();
        let kept = refusal.encode(&*self.context.dialect, id, keep, &mut bytes);
        if let Err(error) = self.socket.write(&bytes).await {
            record.add_detail(&format!("the refusal was not written: {error}"));
            return false;
        }
        kept
    }
}

/// Prepares a turn where it is one, and dispatches the request.
async fn send_request(
    context: &Arc<EntryContext>,
    request: &mut RoutedRequest,
    turn: Option<&TurnPlan>,
    record: &mut RequestRecord,
) -> Result<Box<LiveAnswer>, Refusal> {
    let preparing = prepare_turn(context, turn, request.body.clone(), request.due);
    if let Some(prepared) = admit_beside(context, request, record, preparing).await?? {
        request.body = prepared.body;
        request.standing = prepared.standing;
    }
    if request.service.engine.is_some() {
        let asked = Instant::now();
        request.view = survey(context, request).await;
        record.survey = Some(SurveyRecord {
            accounts: request.view.accounts.len(),
            time: asked.elapsed(),
        });
    }
    dispatch(context, request, record).await
}

/// Prepares a turn; resolves to nothing where the request is none.
async fn prepare_turn(
    context: &EntryContext,
    turn: Option<&TurnPlan>,
    body: Bytes,
    due: Instant,
) -> Result<Option<PreparedTurn>, RefusalReason> {
    let Some(plan) = turn else {
        return Ok(None);
    };
    let preparing = plan.prepare(context, &body);
    let prepared = tokio::time::timeout_at(due.into(), preparing).await;
    prepared.unwrap_or(Err(RefusalReason::LateUnsent)).map(Some)
}

/// Gives up a request without an answer because the instance ends.
fn give_up(record: &mut RequestRecord) -> Refusal {
    record.add_detail("the instance stops");
    if record.sends > 0 {
        return RefusalReason::Broken.into();
    }
    RefusalReason::Stopping.into()
}

/// Settles a turn that was not answered whole.
fn release(context: &EntryContext, turn: Option<&TurnPlan>, spent: u32) {
    if let Some(plan) = turn {
        plan.settle(context, spent, None);
    }
}
