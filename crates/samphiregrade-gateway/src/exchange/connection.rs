//! A client's connection: one request after the other, each answered or visibly cut.

use std::sync::Arc;
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use samphiregrade_http::wire::{
    BodyDecoder, BodyPiece, HeadError, RequestHead, SocketLimits, WireSocket,
};
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use super::attempt::LiveAnswer;
use super::context::EntryContext;
use super::dispatch::dispatch;
use super::outcome::{ConnectionAge, OpenRecord, RequestRecord, SurveyRecord};
use super::refusal::{Refusal, RefusalReason};
use super::relay::{RelayEnd, relay_answer};
use super::request::RoutedRequest;
use super::survey::{PlacementView, survey};
use super::turn::{ProgramStanding, TurnPlan};
use crate::model::{ClientLimits, RequestKind, RequestMetadata};
use crate::routing::{RouteTable, service_for};

/// Accepts clients' connections until cancelled.
///
/// `close_idle` ends connections on which no request has begun.
pub async fn serve_clients(
    context: Arc<EntryContext>,
    listener: TcpListener,
    stop_accepting: CancellationToken,
    close_idle: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = stop_accepting.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve_stream(context.clone(), stream, close_idle.clone()));
            }
            Err(error) => {
                // Out of descriptors, or a connection that is gone again: a pause lets others end.
                log::warn!("a client's connection was not accepted: {error}");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            }
        }
    }
}

async fn serve_stream(
    context: Arc<EntryContext>,
    stream: TcpStream,
    close_idle: CancellationToken,
) {
    let socket = match WireSocket::new(stream, &SocketLimits::default()) {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("a client's connection ended at once: {error}");
            return;
        }
    };
    let guard = context.open_connection();
    let mut client = ClientConnection {
        context,
        socket,
        age: ConnectionAge {
            accepted: Instant::now(),
            earlier_requests: 0,
        },
    };
    client.serve(&close_idle).await;
    drop(guard);
}

struct ClientConnection {
    context: Arc<EntryContext>,
    socket: WireSocket,
    age: ConnectionAge,
}

enum HeadEnd {
    Head(RequestHead),
    Refused(RefusalReason),
    Closed,
}

enum BodyEnd {
    Whole(Bytes),
    Refused(RefusalReason),
    Gone,
}

/// What a request needs before it can be sent.
struct PreparedRequest {
    request: RoutedRequest,
    turn: Option<TurnPlan>,
}

impl ClientConnection {
    async fn serve(&mut self, close_idle: &CancellationToken) {
        loop {
            let limits = self.limits();
            match self.read_head(&limits, close_idle).await {
                HeadEnd::Closed => return,
                HeadEnd::Refused(reason) => {
                    self.refuse_head(reason).await;
                    return;
                }
                HeadEnd::Head(head) => {
                    if !self.serve_request(head, &limits).await {
                        return;
                    }
                    self.age.earlier_requests += 1;
                }
            }
        }
    }

    fn limits(&self) -> ClientLimits {
        let routes = self.context.routes.load();
        routes
            .as_ref()
            .map(|table| table.limits)
            .unwrap_or_default()
    }

    /// Waits for the next request's head.
    async fn read_head(
        &mut self,
        limits: &ClientLimits,
        close_idle: &CancellationToken,
    ) -> HeadEnd {
        if self.socket.buffer.is_empty() {
            let read = tokio::select! {
                biased;
                read = tokio::time::timeout(limits.idle_timeout, self.socket.fill()) => read,
                () = close_idle.cancelled() => return HeadEnd::Closed,
            };
            if !matches!(read, Ok(Ok(count)) if count > 0) {
                return HeadEnd::Closed;
            }
        }
        let due = Instant::now() + limits.head_timeout;
        loop {
            match RequestHead::take(&mut self.socket.buffer, limits.head_bytes) {
                Ok(Some(head)) => return HeadEnd::Head(head),
                Ok(None) => {}
                Err(HeadError::TooLarge(_)) => {
                    return HeadEnd::Refused(RefusalReason::HeadTooLarge);
                }
                Err(HeadError::Malformed(error)) => {
                    log::info!("a client's head is malformed: {error}");
                    return HeadEnd::Refused(RefusalReason::Malformed);
                }
            }
            match tokio::time::timeout_at(due.into(), self.socket.fill()).await {
                Err(_) => return HeadEnd::Refused(RefusalReason::TooSlow),
                Ok(Ok(count)) if count > 0 => {}
                Ok(_) => return HeadEnd::Closed,
            }
        }
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
            Ok(prepared) => self.carry_out(prepared, &mut record, keep).await,
            Err(reason) => self.refuse(&mut record, reason.into(), keep).await,
        }
    }

    async fn read_body(&mut self, head: &RequestHead, limits: &ClientLimits) -> BodyEnd {
        let Ok(framing) = head.framing() else {
            return BodyEnd::Refused(RefusalReason::Malformed);
        };
        if head.fields.lists("expect", "100-continue")
            && self
                .socket
                .write(b"HTTP/1.1 100 Continue\r\n\r\n")
                .await
                .is_err()
        {
            return BodyEnd::Gone;
        }
        let due = Instant::now() + limits.idle_timeout;
        let mut decoder = BodyDecoder::new(framing);
        let mut first: Option<Bytes> = None;
        let mut rest = BytesMut::new();
        loop {
            match decoder.take(&mut self.socket.buffer) {
                Ok(BodyPiece::End) if rest.is_empty() => {
                    return BodyEnd::Whole(first.unwrap_or_default());
                }
                Ok(BodyPiece::End) => return BodyEnd::Whole(rest.freeze()),
                Ok(BodyPiece::Data(data)) => {
                    let length = first.as_ref().map_or(0, Bytes::len).max(rest.len()) + data.len();
                    if length > limits.body_bytes {
                        return BodyEnd::Refused(RefusalReason::BodyTooLarge);
                    }
                    match first.take() {
                        None if rest.is_empty() => first = Some(data),
                        None => rest.extend_from_slice(&data),
                        Some(earlier) => {
                            rest.extend_from_slice(&earlier);
                            rest.extend_from_slice(&data);
                        }
                    }
                }
                Ok(BodyPiece::More) => {
                    match tokio::time::timeout_at(due.into(), self.socket.fill()).await {
                        Err(_) => return BodyEnd::Refused(RefusalReason::TooSlow),
                        Ok(Ok(count)) if count > 0 => {}
                        Ok(_) => return BodyEnd::Gone,
                    }
                }
                Err(_) => return BodyEnd::Refused(RefusalReason::Malformed),
            }
        }
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
            times: self.context.times_of(&service),
            urgency: table.urgency(&service.name, route.priority),
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
            sent = send_request(&context, &mut request, turn.as_ref(), record) => Some(sent),
            () = self.socket.hung_up() => None,
        };
        match sent {
            None => {
                record.outcome = "client-gone";
                release(&context, turn.as_ref(), 0);
                false
            }
            Some(Err(refusal)) => {
                release(&context, turn.as_ref(), 0);
                self.refuse(record, refusal, keep).await
            }
            Some(Ok(answer)) => self.relay(&request, turn, *answer, record, keep).await,
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
        let keep = keep && !context.sends_away();
        let upstream = answer.guard.upstream().clone();
        let end = relay_answer(
            &context,
            &mut self.socket,
            request,
            turn.as_ref(),
            answer,
            record.uncached,
            keep,
        );
        match end.await {
            RelayEnd::Whole { status, spent } => {
                record.status = status;
                record.outcome = "answered";
                if let Some(plan) = turn.filter(|plan| !plan.retained || status != 200) {
                    plan.settle(&context, spent, Some(&upstream.entry));
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
        record.status = refusal.reason.status();
        let mut bytes = BytesMut::with_capacity(256);
        let id = Some(record.request.as_str()).filter(|id| !id.is_empty());
        let keep = keep && !self.context.sends_away();
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
    context: &EntryContext,
    request: &mut RoutedRequest,
    turn: Option<&TurnPlan>,
    record: &mut RequestRecord,
) -> Result<Box<LiveAnswer>, Refusal> {
    if let Some(plan) = turn {
        let preparing = plan.prepare(context, &request.body);
        let prepared = tokio::time::timeout_at(request.due.into(), preparing).await;
        let prepared = prepared.unwrap_or(Err(RefusalReason::LateUnsent))?;
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

/// Settles a turn that was not answered whole.
fn release(context: &EntryContext, turn: Option<&TurnPlan>, spent: u32) {
    if let Some(plan) = turn {
        plan.settle(context, spent, None);
    }
}
