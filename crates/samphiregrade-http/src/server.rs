//! The server: reads complete requests within limits and writes the handler's responses.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::TcpListener;
use std::task::Poll;
use std::time::Duration;

use futures_util::stream;
use futures_util::{Stream, StreamExt};
use ntex::SharedCfg;
use ntex::http::body::SizedStream;
use ntex::http::{HttpServiceConfig, KeepAlive, StatusCode};
use ntex::server::Server;
use ntex::time::Seconds;
use ntex::util::{Bytes, BytesMut};
use ntex::web::{self, App, HttpRequest, HttpResponse};
use serde_json::json;

use crate::closing::{RequestGate, RequestGuard};
use crate::message::{IncomingRequest, OutgoingResponse, ResponseBody};

/// Slowest accepted rate for reading heads and bodies.
const MINIMUM_BYTES_PER_SECOND: u16 = 64;

/// Longest time that a graceful stop waits for open connections; no request is in progress on them by then.
const STOP_TIMEOUT: Seconds = Seconds(3);

/// Limits of a server.
#[derive(Clone, Debug)]
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
            gate: RequestGate::default(),
        }
    }
}

/// Why a body was not read.
enum BodyFailure {
    Broken,
    TooLarge,
    TooSlow,
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
        let workers = settings.workers;
        let config = service_config(&settings);
        let server = web::HttpServer::new(async move || {
            let handler = handler.clone();
            let settings = settings.clone();
            let route = move |request: HttpRequest, payload: web::types::Payload| {
                let handler = handler.clone();
                let settings = settings.clone();
                async move { serve_request(request, payload, settings, handler).await }
            };
            App::new().default_service(web::route().to(route))
        })
        .config(SharedCfg::new("http").add(config))
        .workers(workers)
        .disable_signals()
        .shutdown_timeout(STOP_TIMEOUT)
        .listen(listener)?
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
    settings: ServerSettings,
    handler: Handler,
) -> HttpResponse
where
    Handler: Fn(IncomingRequest) -> Reply,
    Reply: Future<Output = OutgoingResponse>,
{
    let guard = settings.gate.enter();
    let body = match read_body(payload, &settings).await {
        Ok(body) => body,
        Err(failure) => return into_response(failure_response(&failure, &settings), guard),
    };
    let incoming = IncomingRequest {
        method: request.method().clone(),
        path: request.path().into(),
        query: request.query_string().into(),
        headers: request
            .headers()
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.to_str().unwrap_or("").into()))
            .collect(),
        body,
    };
    into_response(handler(incoming).await, guard)
}

async fn read_body(
    mut payload: web::types::Payload,
    settings: &ServerSettings,
) -> Result<Bytes, BodyFailure> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| BodyFailure::Broken)?;
            if body.len() + chunk.len() > settings.body_limit {
                return Err(BodyFailure::TooLarge);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    tokio::time::timeout(settings.body_timeout, read)
        .await
        .unwrap_or(Err(BodyFailure::TooSlow))
}

fn failure_response(failure: &BodyFailure, settings: &ServerSettings) -> OutgoingResponse {
    let (status, kind, remedy) = match failure {
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
        "status": status, "ran": "no", "remedy": remedy,
    });
    let body = problem.to_string();
    OutgoingResponse::full(status, "application/problem+json", body)
        .with_header("connection", "close")
}

fn into_response(outgoing: OutgoingResponse, guard: RequestGuard) -> HttpResponse {
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
            let parts = stream::iter([Ok(body)]).chain(hold_guard_until_end(guard));
            builder.body(SizedStream::new(length, Box::pin(parts)))
        }
        ResponseBody::Stream(receiver) => {
            let chunks = stream::unfold(receiver, async |mut receiver| {
                let chunk = receiver.recv().await?;
                Some((Ok::<_, Infallible>(chunk), receiver))
            });
            builder.streaming(Box::pin(chunks.chain(hold_guard_until_end(guard))))
        }
    }
}

/// Keeps a request counted until its body was taken for writing or its connection is closed.
fn hold_guard_until_end<Failure>(
    guard: RequestGuard,
) -> impl Stream<Item = Result<Bytes, Failure>> {
    stream::poll_fn(move |_| {
        let _guard = &guard;
        Poll::Ready(None)
    })
}
