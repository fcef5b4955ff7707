//! The server: reads complete requests within limits and writes the handler's responses.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use futures_util::stream;
use futures_util::{Stream, StreamExt};
use ntex::SharedCfg;
use ntex::http::body::SizedStream;
use ntex::http::header::CONTENT_LENGTH;
use ntex::http::{HttpService, HttpServiceConfig, KeepAlive, StatusCode};
use ntex::server::{Server, ServerBuilder};
use ntex::service::fn_service;
use ntex::time::Seconds;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{self, App, HttpRequest, HttpResponse};
use serde_json::json;
use socket2::SockRef;

use crate::budget::{BudgetSettings, LeaseState, MemoryBudget, MemoryLease, NoRoom};
use crate::closing::{RequestGate, RequestGuard};
use crate::connections::{ConnectionTable, ConnectionUse};
use crate::message::{IncomingRequest, OutgoingResponse, ResponseBody};

/// Slowest accepted rate for reading heads and bodies.
const MINIMUM_BYTES_PER_SECOND: u16 = 64;

/// Longest time that a graceful stop waits for open connections; no request is in progress on them by then.
const STOP_TIMEOUT: Seconds = Seconds(3);

/// Largest part of a body, in bytes, that is read before the head of its request is checked. A request with a smaller body
/// is refused after its body, so that its connection can stay open.
const UNCHECKED_BODY: usize = 64 << 10;

/// Memory of a request in progress, as a multiple of its body: the body while it grows, what is parsed from it, and the
/// copies for other instances and for the upstream.
const BODY_COPIES: usize = 6;

/// The system's receive queue of a connection, in bytes.
const RECEIVE_QUEUE: usize = 64 << 10;

/// Value of `Retry-After`, in seconds, for a request that found no room.
const ROOM_RETRY: &str = "1";

/// Returns the response to a request that will be refused whatever its body is; the body of the given request is empty.
pub type HeadCheck = Arc<dyn Fn(&IncomingRequest) -> Option<OutgoingResponse> + Send + Sync>;

/// Limits of a server.
#[derive(Clone)]
pub struct ServerSettings {
    /// Largest accepted body in bytes; a longer one gets a 413 response.
    pub body_limit: usize,
    /// Longest time for reading a body; a slower one gets a 408 response.
    pub body_timeout: Duration,
    /// Longest time for reading a head; fractions of a second are ignored.
    pub head_timeout: Duration,
    /// Longest time an idle connection is kept; fractions of a second are ignored.
    pub keep_alive: Duration,
    /// Event-loop threads.
    pub workers: usize,
    /// Memory and connections that all clients of the server share.
    pub budget: MemoryBudget,
    /// Checks a request before more than a small part of its body is read.
    pub head_check: Option<HeadCheck>,
    /// Counts the requests, from the end of their heads to the last byte of their responses.
    pub gate: RequestGate,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            body_limit: 4 << 20,
            body_timeout: Duration::from_secs(10),
            head_timeout: Duration::from_secs(5),
            keep_alive: Duration::from_secs(75),
            workers: 1,
            budget: MemoryBudget::new(BudgetSettings {
                bytes: 256 << 20,
                connections: 4096,
                ..BudgetSettings::default()
            }),
            head_check: None,
            gate: RequestGate::default(),
        }
    }
}

/// Why a body was not read.
enum BodyFailure {
    Broken,
    NoRoom,
    TooLarge,
    TooSlow,
    /// The request is refused for its head.
    Refused(OutgoingResponse),
}

impl From<NoRoom> for BodyFailure {
    fn from(_: NoRoom) -> Self {
        Self::NoRoom
    }
}

/// What is held for a request until its response was taken for writing.
struct RequestHold {
    _gate: RequestGuard,
    _connection: ConnectionUse,
    lease: MemoryLease,
}

/// A server whose every request goes to one handler.
#[derive(Debug)]
pub struct HttpServer;

impl HttpServer {
    /// Starts serving on a bound listener; to be called inside a running system.
    ///
    /// # Errors
    ///
    /// Returns the listener's error if the event loop can't use the listener.
    pub fn start<Handler, Reply>(
        listener: TcpListener,
        settings: ServerSettings,
        handler: Handler,
    ) -> io::Result<Server>
    where
        Handler: Fn(IncomingRequest) -> Reply + Clone + Send + Sync + 'static,
        Reply: Future<Output = OutgoingResponse> + 'static,
    {
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_QUEUE)?;
        let workers = settings.workers;
        let config = SharedCfg::new("http").add(service_config(&settings));
        let config = SharedCfg::from(config);
        let server = ServerBuilder::default()
            .workers(workers)
            .disable_signals()
            .shutdown_timeout(STOP_TIMEOUT)
            .listen("http", listener, async move |service| {
                service.config(config.clone());
                let table = ConnectionTable::new(settings.budget.clone());
                let controlled = table.clone();
                let (handler, settings) = (handler.clone(), settings.clone());
                let route = move |request: HttpRequest, payload: web::types::Payload| {
                    let (handler, settings) = (handler.clone(), settings.clone());
                    let table = table.clone();
                    async move { serve_request(request, payload, table, settings, handler).await }
                };
                HttpService::new(App::new().default_service(web::route().to(route))).h1_control(
                    fn_service(move |control| controlled.clone().handle(control)),
                )
            })?
            .run();
        Ok(server)
    }
}

fn service_config(settings: &ServerSettings) -> HttpServiceConfig {
    let seconds = |time: Duration| Seconds(u16::try_from(time.as_secs()).unwrap_or(u16::MAX));
    let head = seconds(settings.head_timeout);
    HttpServiceConfig::new()
        .set_keepalive(KeepAlive::Timeout(seconds(settings.keep_alive)))
        .set_headers_read_rate(head, head, MINIMUM_BYTES_PER_SECOND.into())
}

async fn serve_request<Handler, Reply>(
    request: HttpRequest,
    payload: web::types::Payload,
    table: ConnectionTable,
    settings: ServerSettings,
    handler: Handler,
) -> HttpResponse
where
    Handler: Fn(IncomingRequest) -> Reply,
    Reply: Future<Output = OutgoingResponse>,
{
    let mut hold = RequestHold {
        _gate: settings.gate.enter(),
        _connection: table.begin(&request),
        lease: settings.budget.begin_request(),
    };
    let head = IncomingRequest {
        method: request.method().clone(),
        path: request.path().into(),
        query: request.query_string().into(),
        headers: request
            .headers()
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.to_str().unwrap_or("").into()))
            .collect(),
        body: Bytes::new(),
    };
    let body = match read_body(&head, payload, &settings, &mut hold.lease).await {
        Ok(body) => body,
        Err(failure) => return into_response(failure_response(failure, &settings), hold),
    };
    let incoming = IncomingRequest { body, ..head };
    into_response(handler(incoming).await, hold)
}

/// Reads a body, and counts the memory that its request needs from then on.
async fn read_body(
    head: &IncomingRequest,
    mut payload: web::types::Payload,
    settings: &ServerSettings,
    lease: &mut MemoryLease,
) -> Result<Bytes, BodyFailure> {
    let announced = head.header(CONTENT_LENGTH.as_str());
    let announced = announced.and_then(|length| length.parse::<usize>().ok());
    let announced = announced.unwrap_or(0);
    if announced > settings.body_limit {
        return Err(BodyFailure::TooLarge);
    }
    let mut is_checked = announced > UNCHECKED_BODY;
    if is_checked {
        check_head(head, settings)?;
    }
    let ended = lease.token();
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyFailure::Broken)?;
            let length = body.len() + chunk.len();
            if length > settings.body_limit {
                return Err(BodyFailure::TooLarge);
            }
            if length > UNCHECKED_BODY && !is_checked {
                check_head(head, settings)?;
                is_checked = true;
            }
            if length > body.capacity() {
                // The buffer is copied once while it grows.
                let longest = if announced > 0 {
                    announced
                } else {
                    settings.body_limit
                };
                let capacity = (body.capacity() * 2).min(longest).max(length);
                lease.grow_to(body.capacity() + capacity).await?;
                body.reserve(capacity - body.len());
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    let read = tokio::time::timeout(settings.body_timeout, read);
    let body = tokio::select! {
        read = read => read.unwrap_or(Err(BodyFailure::TooSlow))?,
        () = ended.cancelled() => return Err(BodyFailure::NoRoom),
    };
    let bytes = (body.len() * BODY_COPIES).min(settings.budget.largest_lease());
    lease.grow_to(bytes).await?;
    lease.enter(LeaseState::Running, bytes);
    Ok(body)
}

fn check_head(head: &IncomingRequest, settings: &ServerSettings) -> Result<(), BodyFailure> {
    let check = settings.head_check.as_ref();
    let refused = check.and_then(|check| check(head));
    refused.map_or(Ok(()), |response| Err(BodyFailure::Refused(response)))
}

fn failure_response(failure: BodyFailure, settings: &ServerSettings) -> OutgoingResponse {
    let is_lasting = !matches!(failure, BodyFailure::NoRoom);
    // The same request may have arrived completely before; one that is too long or broken never does.
    let may_have_run = matches!(failure, BodyFailure::NoRoom | BodyFailure::TooSlow);
    let (status, kind, remedy) = match failure {
        BodyFailure::Refused(response) => return response.with_header("connection", "close"),
        BodyFailure::NoRoom => (
            503,
            "no-memory",
            format!("send the request again after {ROOM_RETRY} s"),
        ),
        BodyFailure::Broken => (400, "body-broken", "send the whole body".to_owned()),
        BodyFailure::TooLarge => (
            413,
            "body-too-large",
            format!("keep the body within {} bytes", settings.body_limit),
        ),
        BodyFailure::TooSlow => (
            408,
            "body-too-slow",
            format!("send the body within {} s", settings.body_timeout.as_secs()),
        ),
    };
    let problem = json!({
        "type": kind, "title": "the request body was not accepted",
        "status": status, "ran": if may_have_run { "unknown" } else { "no" }, "remedy": remedy,
    });
    let body = problem.to_string();
    let response = OutgoingResponse::full(status, "application/problem+json", body)
        .with_header("connection", "close");
    if is_lasting {
        return response;
    }
    response.with_header("retry-after", ROOM_RETRY)
}

fn into_response(outgoing: OutgoingResponse, hold: RequestHold) -> HttpResponse {
    let status = StatusCode::from_u16(outgoing.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = HttpResponse::build(status);
    for (name, value) in &outgoing.headers {
        builder.header(name.as_str(), value.as_str());
    }
    if outgoing.closes_connection() {
        // The event loop writes the `connection` header itself and omits the handler's.
        builder.force_close();
    }
    match outgoing.body {
        ResponseBody::Full(body) if body.is_empty() => builder.body(body),
        ResponseBody::Full(body) => {
            let length = body.len() as u64;
            let parts = stream::iter([Ok(body)]).chain(keep_until_end(hold));
            builder.body(SizedStream::new(length, Box::pin(parts)))
        }
        ResponseBody::Stream(receiver) => {
            let chunks = stream::unfold(receiver, async |mut receiver| {
                let chunk = receiver.recv().await?;
                Some((Ok::<_, Infallible>(chunk), receiver))
            });
            builder.streaming(Box::pin(chunks.chain(keep_until_end(hold))))
        }
    }
}

/// Keeps a request counted until its body was taken for writing or its connection is closed.
fn keep_until_end<Failure>(hold: RequestHold) -> impl Stream<Item = Result<Bytes, Failure>> {
    stream::poll_fn(move |_| {
        let _hold = &hold;
        Poll::Ready(None)
    })
}
