//! A client connection: serves one request after the other, and ends each with a complete response or a reset that the
//! client can detect.

mod accepting;
mod body;
mod reading;
mod routing;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use samphiregrade_http::wire::{RequestHead, WireSocket};
use samphiregrade_http::{LeaseState, MemoryLease};
use smol_str::SmolStr;
use tokio::net::TcpStream;

use super::admission::admit_while_preparing;
use super::affinity::note_completed;
use super::attempt::LiveResponse;
use super::client_memory::{CONNECTION_BYTES, RequestSize};
use super::context::EntryContext;
use super::dispatch::dispatch;
use super::origin::{KnownVersions, OriginSource};
use super::outcome::{ConnectionAge, OpenRecord, RequestRecord, SurveyRecord};
use super::refusal::{Refusal, RefusalReason};
use super::relay::{RelayClient, RelayEnd, relay_response};
use super::request::RoutedRequest;
use super::survey::survey;
use super::turn::{PreparedTurn, TurnPlan};
use crate::access::BootTime;
use crate::model::ClientLimits;

pub use accepting::{ShutdownTokens, serve_clients};
use reading::{BodyEnd, HeadEnd};
use routing::PreparedRequest;

/// Longest time for writing a refusal: it fits into an empty send queue, so that only a client that reads nothing needs
/// longer.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(2);

async fn serve_stream(
    context: Arc<EntryContext>,
    stream: TcpStream,
    lease: MemoryLease,
    tokens: ShutdownTokens,
) {
    let socket = match WireSocket::new(stream, &context.slow_readers.socket_limits()) {
        Ok(socket) => socket,
        Err(error) => {
            log::debug!("a client connection failed before its first request: {error}");
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
        lease,
        tokens,
    };
    client.serve().await;
}

struct ClientConnection {
    context: Arc<EntryContext>,
    socket: WireSocket,
    age: ConnectionAge,
    /// What the connection holds of the clients' memory.
    lease: MemoryLease,
    tokens: ShutdownTokens,
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
                    // Most connections are idle most of the time; the state of a request is large.
                    if !Box::pin(self.serve_request(head, &limits)).await {
                        break;
                    }
                    self.age.earlier_requests += 1;
                }
            }
        }
        // The rest of a refused body or a further request may still arrive; closing at once would reset the connection
        // and could lose the last response.
        self.lease.enter(LeaseState::Closing, CONNECTION_BYTES);
        tokio::select! {
            () = self.socket.close_gracefully() => {}
            () = self.lease.ended() => self.context.metrics.count_client_limit("closed-draining"),
        }
    }

    fn limits(&self) -> ClientLimits {
        let routes = self.context.routes.load();
        routes
            .as_ref()
            .map(|table| table.limits)
            .unwrap_or_default()
    }

    /// Responds to a head that is not a valid request.
    async fn refuse_head(&mut self, reason: RefusalReason) {
        let mut record = self.open_record(SmolStr::default(), Instant::now());
        self.refuse(&mut record, reason.into(), false).await;
    }

    fn open_record(&self, id: SmolStr, started: Instant) -> OpenRecord {
        let record = RequestRecord::new(id, started, self.age);
        OpenRecord::begin(self.context.clone(), record)
    }

    /// Serves a request; returns whether the connection stays open.
    async fn serve_request(&mut self, head: RequestHead, limits: &ClientLimits) -> bool {
        let started = Instant::now();
        let metadata = self.context.dialect.request_metadata(&head);
        let id = metadata.request.clone().unwrap_or_default();
        let mut record = self.open_record(id, started);
        record.program = metadata.program.clone().unwrap_or_default();
        record.program_left = metadata.program_deadline;
        let resumption = metadata.resumption.as_ref();
        record.resumes = resumption.and_then(|stream| stream.first_attempt.clone());
        let keep_alive = head.keeps_connection() && head.minor_version > 0;
        let reading = self.read_body(&head, &metadata, limits, &mut record);
        let body = match reading.await {
            BodyEnd::Complete(body) => body,
            BodyEnd::Refused(refusal) => {
                self.refuse(&mut record, refusal, false).await;
                return false;
            }
            BodyEnd::Disconnected => {
                record.outcome = "client-gone";
                return false;
            }
        };
        match self.prepare(head, metadata, body, &mut record) {
            Ok(prepared) if !self.may_accept(&prepared.request) => {
                let refusal = RefusalReason::Stopping.into();
                self.refuse(&mut record, refusal, false).await
            }
            Ok(prepared) if !self.admit(&prepared).await => {
                // A client that doesn't read its refusal must not keep the body.
                drop(prepared);
                let refusal = RefusalReason::NoMemory.into();
                self.refuse(&mut record, refusal, keep_alive).await
            }
            Ok(prepared) => self.execute(prepared, &mut record, keep_alive).await,
            Err(reason) => self.refuse(&mut record, reason.into(), keep_alive).await,
        }
    }

    /// Returns whether a request may be accepted: while the instance drains, only a request that is due before the
    /// remaining requests are aborted.
    fn may_accept(&self, request: &RoutedRequest) -> bool {
        !self.tokens.drain.is_cancelled() || self.context.can_complete_by(request.due)
    }

    /// Counts the memory that a complete request needs until it has its response; returns whether there is room.
    async fn admit(&mut self, prepared: &PreparedRequest) -> bool {
        let size = RequestSize {
            body: prepared.request.body.len(),
            history: 0,
            is_retained: prepared.turn.as_ref().is_some_and(|plan| plan.retained),
        };
        let admitted = self
            .context
            .clients
            .admit(&mut self.lease, size)
            .await
            .is_ok();
        if admitted {
            let bytes = self.lease.bytes();
            self.lease.enter(LeaseState::Running, bytes);
        }
        admitted
    }

    /// Sends the request and relays the response; returns whether the connection stays open.
    async fn execute(
        &mut self,
        prepared: PreparedRequest,
        record: &mut RequestRecord,
        keep_alive: bool,
    ) -> bool {
        let PreparedRequest { mut request, turn } = prepared;
        let context = self.context.clone();
        let lease = &mut self.lease;
        let sent = tokio::select! {
            biased;
            sent = send_request(&context, &mut request, turn.as_ref(), record, lease) => sent.map_err(Some),
            () = self.socket.wait_for_hangup() => Err(None),
            () = self.tokens.abort.cancelled() => Err(Some(abort_refusal(record))),
        };
        match sent {
            Err(None) => {
                record.outcome = "client-gone";
                if record.sends > 0 {
                    request.spend_token();
                }
                settle_turn(&context, turn.as_ref(), 0);
                false
            }
            Err(Some(refusal)) => {
                if refusal.reason.may_have_run() && record.sends > 0 {
                    request.spend_token();
                }
                settle_turn(&context, turn.as_ref(), 0);
                drop((request, turn));
                self.refuse(record, refusal, keep_alive).await
            }
            Ok(response) => {
                request.spend_token();
                self.relay(&request, turn, *response, record, keep_alive)
                    .await
            }
        }
    }

    async fn relay(
        &mut self,
        request: &RoutedRequest,
        turn: Option<TurnPlan>,
        response: LiveResponse,
        record: &mut RequestRecord,
        keep_alive: bool,
    ) -> bool {
        record.time_to_head = Some(record.started.elapsed());
        let context = self.context.clone();
        let keep_alive = keep_alive && !context.closes_connections();
        let upstream = response.guard.upstream().clone();
        let client = RelayClient {
            socket: &mut self.socket,
            lease: &mut self.lease,
            keep_alive,
            abort: &self.tokens.abort,
        };
        let end = relay_response(&context, client, request, turn.as_ref(), response, record);
        match end.await {
            RelayEnd::Complete { status, spent } => {
                record.status = status;
                record.outcome = "answered";
                if status == 200 {
                    note_completed(&context, request, &upstream, record);
                }
                if let Some(plan) = turn.filter(|plan| !plan.retained || status != 200) {
                    plan.settle(&context, spent, Some(&upstream.record));
                }
                keep_alive
            }
            RelayEnd::NothingSent { reason, detail } => {
                record.add_detail(&detail);
                settle_turn(&context, turn.as_ref(), 0);
                self.refuse(record, reason.into(), keep_alive).await
            }
            RelayEnd::Truncated {
                outcome,
                detail,
                spent,
            } => {
                record.outcome = outcome;
                record.add_detail(&detail);
                settle_turn(&context, turn.as_ref(), spent);
                self.socket.reset_on_close();
                false
            }
        }
    }

    /// Writes a refusal; returns whether the connection stays open.
    async fn refuse(
        &mut self,
        record: &mut RequestRecord,
        refusal: Refusal,
        keep_alive: bool,
    ) -> bool {
        let refusal = refusal
            .until_proof(self.context.freshness.unproved_for(BootTime::now()))
            .while_cut_off(self.context.cut_off_for());
        if refusal.reason == RefusalReason::NoMemory {
            self.context.metrics.count_client_limit("refused-request");
        }
        record.outcome = refusal.reason.name();
        record.window = refusal.window;
        record.status = refusal.reason.status();
        let mut bytes = BytesMut::with_capacity(256);
        let id = Some(record.request.as_str()).filter(|id| !id.is_empty());
        let keep_alive = keep_alive && !self.context.closes_connections();
        let kept_open = refusal.encode(&*self.context.dialect, id, keep_alive, &mut bytes);
        if let Err(error) = self.write_refusal(&bytes).await {
            record.add_detail(&format!("the refusal could not be written: {error}"));
            return false;
        }
        kept_open
    }

    /// Writes a refusal to a client that may not read.
    async fn write_refusal(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.lease.enter(LeaseState::Closing, CONNECTION_BYTES);
        let writing = tokio::time::timeout(REFUSAL_TIMEOUT, self.socket.write(bytes));
        tokio::select! {
            biased;
            written = writing => written?,
            () = self.lease.ended() => Err(std::io::ErrorKind::ConnectionAborted.into()),
        }
    }
}

/// Admits a request, prepares its turn if it has one, and dispatches it.
async fn send_request(
    context: &Arc<EntryContext>,
    request: &mut RoutedRequest,
    turn: Option<&TurnPlan>,
    record: &mut RequestRecord,
    lease: &mut MemoryLease,
) -> Result<Box<LiveResponse>, Refusal> {
    let is_tracked = turn.is_some_and(TurnPlan::is_tracked);
    let versions = if is_tracked {
        KnownVersions::of(context, request)
    } else {
        KnownVersions::default()
    };
    let tries = request.tries.clone();
    let looking_up = Box::pin(tries.look_up());
    let preparation = TurnPreparation {
        body: request.body.clone(),
        due: request.due,
        versions,
        lease,
    };
    let preparing = prepare_turn(context, turn, preparation, looking_up);
    let prepared = admit_while_preparing(context, request, record, preparing).await?;
    let directory = context.directory.load_full();
    let settling = tries.settle_doubts(directory.of(&request.service.name));
    // What is not settled by then goes on counting.
    let _ = tokio::time::timeout_at(request.due.into(), Box::pin(settling)).await;
    record.ended = tries.ended();
    record.tries_heard = Some(tries.heard());
    tries.check()?;
    if let Some(prepared) = prepared? {
        request.body = prepared.body;
        request.program_state = prepared.program_state;
        request.software = prepared.software;
        record.origin = prepared.origin;
        context.metrics.count_origin(prepared.origin);
    }
    if request.service.engine.is_some() {
        let started = Instant::now();
        request.view = survey(context, request).await;
        record.survey = Some(SurveyRecord {
            accounts: request.view.accounts.len(),
            duration: started.elapsed(),
        });
        note_share(context, request);
    }
    let response = dispatch(context, request, record).await?;
    if let Some(plan) = turn.filter(|_| record.origin == Some(OriginSource::Noted)) {
        // Of several upstreams that the request was sent to, only the one that responds brings events.
        plan.note_origin(context, response.guard.upstream());
    }
    Ok(response)
}

/// Records the share of the caller's organisation for the log and the metrics.
fn note_share(context: &EntryContext, request: &RoutedRequest) {
    let organisation = request.caller.organisation();
    if let Some((organisation, share)) = organisation.zip(request.view.share.as_ref()) {
        let now = Instant::now();
        context.shares.note(&organisation.name, share, now);
    }
    if request.yields_to_others() {
        context.metrics.count_yielding_turn();
    }
}

/// What the preparation of a turn needs beside its plan.
struct TurnPreparation<'request> {
    body: Bytes,
    due: Instant,
    versions: KnownVersions,
    lease: &'request mut MemoryLease,
}

/// Prepares a turn while `looking_up` runs; resolves to `None` if the request is not a turn.
async fn prepare_turn<LookUp>(
    context: &EntryContext,
    turn: Option<&TurnPlan>,
    preparation: TurnPreparation<'_>,
    looking_up: LookUp,
) -> Result<Option<PreparedTurn>, RefusalReason>
where
    LookUp: Future<Output = ()>,
{
    let Some(plan) = turn else {
        looking_up.await;
        return Ok(None);
    };
    let TurnPreparation {
        body,
        due,
        versions,
        lease,
    } = preparation;
    let preparing = plan.prepare(context, &body, versions, lease);
    let preparing = tokio::time::timeout_at(due.into(), preparing);
    let (prepared, ()) = tokio::join!(preparing, looking_up);
    prepared.unwrap_or(Err(RefusalReason::LateUnsent)).map(Some)
}

/// Returns the refusal of a request that is aborted because the instance shuts down.
fn abort_refusal(record: &mut RequestRecord) -> Refusal {
    record.add_detail("the instance is stopping");
    if record.sends > 0 {
        return RefusalReason::Broken.into();
    }
    RefusalReason::Stopping.into()
}

/// Settles the budget of a turn whose response was not completed.
fn settle_turn(context: &EntryContext, turn: Option<&TurnPlan>, spent: u32) {
    if let Some(plan) = turn {
        plan.settle(context, spent, None);
    }
}
