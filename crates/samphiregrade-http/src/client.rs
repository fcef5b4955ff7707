//! The client: a pool of event-loop threads that run requests for any other thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use futures_util::StreamExt;
use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{Client, ClientResponse};
use ntex::http::Version;
use ntex::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use ntex::rt::Arbiter;
use ntex::time::Millis;
use ntex::util::{Bytes, BytesMut};
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use crate::message::{HeaderList, OutgoingRequest, header_value};

/// Chunks of a response body that are buffered for the reader.
const BODY_QUEUE: usize = 64;

/// Maximum size of a response's body, in bytes: an upstream may send one without end.
const BODY_LIMIT: usize = 16 << 20;

/// Seconds for which an idle connection is kept.
const KEEP_ALIVE: u16 = 30;

/// Connections that one event-loop thread keeps to one host.
const CONNECTION_LIMIT: usize = 4096;

/// Why a request received no complete response.
#[derive(Clone, Debug, Error)]
pub enum HttpError {
    /// No byte of the request was sent, so the request did not run.
    #[error("the request was not sent: {0}; check that the address is right and listening")]
    NotSent(String),
    /// The request may have arrived; whether it ran is unknown.
    #[error(
        "the connection broke before the complete response arrived: {0}; retry with the same key"
    )]
    Interrupted(String),
    /// No response arrived within the timeout; whether the request ran is unknown.
    #[error("no response within the timeout; retry later with the same key")]
    TimedOut,
    /// The body is not the expected JSON, or too long.
    #[error("the response is not the expected JSON: {0}; check the server's version")]
    Unreadable(String),
}

impl HttpError {
    /// Returns whether no byte of the request was sent.
    #[must_use]
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// A response whose body arrives in chunks.
#[derive(Debug)]
pub struct IncomingResponse {
    /// HTTP status code.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: HeaderList,
    chunks: mpsc::Receiver<Result<Bytes, HttpError>>,
}

impl IncomingResponse {
    /// Returns the first value of a header, by its lower-case name.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        header_value(&self.headers, name)
    }

    /// Waits for the next chunk; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Interrupted`] or [`HttpError::TimedOut`] when the body ends early.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, HttpError> {
        self.chunks.recv().await.transpose()
    }

    /// Reads the rest of the body.
    ///
    /// # Errors
    ///
    /// As [`next_chunk`](Self::next_chunk).
    pub async fn read_all(&mut self) -> Result<Bytes, HttpError> {
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next_chunk().await? {
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    }

    /// Reads the rest of the body as JSON.
    ///
    /// # Errors
    ///
    /// As [`read_all`](Self::read_all), and [`HttpError::Unreadable`] when the body is not the
    /// expected JSON.
    pub async fn read_json<Value>(&mut self) -> Result<Value, HttpError>
    where
        Value: DeserializeOwned,
    {
        let body = self.read_all().await?;
        serde_json::from_slice(&body).map_err(|error| HttpError::Unreadable(error.to_string()))
    }
}

struct PoolJob {
    request: OutgoingRequest,
    reply: oneshot::Sender<Result<IncomingResponse, HttpError>>,
}

/// A client usable from any thread; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct HttpPool {
    senders: Arc<[mpsc::UnboundedSender<PoolJob>]>,
    next: Arc<AtomicUsize>,
}

impl HttpPool {
    /// Starts the pool's event-loop threads; to be called inside a running system.
    #[must_use]
    pub fn start(threads: usize) -> Self {
        let senders = (0..threads.max(1)).map(|_| start_thread()).collect();
        Self {
            senders,
            next: Arc::new(AtomicUsize::new(0)),
        }
    }

    /// Sends a request and waits for the head of the response.
    ///
    /// Dropping the returned future or the response closes the connection, which cancels the
    /// request at a server that watches for closed connections.
    ///
    /// # Errors
    ///
    /// [`HttpError::NotSent`] when nothing was sent, otherwise [`HttpError::Interrupted`] or
    /// [`HttpError::TimedOut`].
    pub async fn send(&self, request: OutgoingRequest) -> Result<IncomingResponse, HttpError> {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.senders.len();
        let (reply, response) = oneshot::channel();
        let stopped = || HttpError::NotSent("the client is stopped".to_owned());
        self.senders[index]
            .send(PoolJob { request, reply })
            .map_err(|_| stopped())?;
        let interrupted = |_| HttpError::Interrupted("the client was stopped".to_owned());
        response.await.map_err(interrupted)?
    }

    /// Sends a request and returns the response's status and its complete body, parsed as JSON.
    ///
    /// # Errors
    ///
    /// As [`send`](Self::send) and [`IncomingResponse::read_json`].
    pub async fn fetch_json<Value>(
        &self,
        request: OutgoingRequest,
    ) -> Result<(u16, Value), HttpError>
    where
        Value: DeserializeOwned,
    {
        let mut response = self.send(request).await?;
        let value = response.read_json().await?;
        Ok((response.status, value))
    }
}

fn start_thread() -> mpsc::UnboundedSender<PoolJob> {
    let (sender, receiver) = mpsc::unbounded_channel();
    Arbiter::new().handle().spawn(async move {
        ntex::rt::spawn(run_jobs(receiver));
    });
    sender
}

async fn make_client(keep_alive: u16) -> Option<Client> {
    let connector = ntex::client::Connector::default()
        .limit(CONNECTION_LIMIT)
        .keep_alive(ntex::time::Seconds(keep_alive))
        .lifetime(ntex::time::Seconds(keep_alive.saturating_mul(20)));
    let builder = Client::builder()
        .connector::<()>(connector)
        .disable_timeout()
        .disable_redirects();
    match builder.build(SharedCfg::default()).await {
        Ok(client) => Some(client),
        Err(error) => {
            log::error!("http client not started error={error}");
            None
        }
    }
}

async fn run_jobs(mut jobs: mpsc::UnboundedReceiver<PoolJob>) {
    let (Some(reusing), Some(fresh)) = (make_client(KEEP_ALIVE).await, make_client(0).await) else {
        return;
    };
    while let Some(job) = jobs.recv().await {
        let client = if job.request.fresh_connection {
            &fresh
        } else {
            &reusing
        };
        ntex::rt::spawn(run_job(client.clone(), job));
    }
}

async fn run_job(client: Client, mut job: PoolJob) {
    let timeout = job.request.timeout;
    let head = tokio::select! {
        head = send_request(&client, &job.request) => head,
        () = job.reply.closed() => return,
    };
    let response = match head.and_then(check_framing) {
        Ok(response) => response,
        Err(error) => {
            let _ = job.reply.send(Err(error));
            return;
        }
    };
    let (sender, chunks) = mpsc::channel(BODY_QUEUE);
    let incoming = IncomingResponse {
        status: response.status().as_u16(),
        headers: response
            .headers()
            .iter()
            .map(|(name, value)| (name.as_str().into(), value.to_str().unwrap_or("").into()))
            .collect(),
        chunks,
    };
    if job.reply.send(Ok(incoming)).is_ok() {
        relay_body(response, sender, timeout).await;
    }
}

async fn send_request(
    client: &Client,
    request: &OutgoingRequest,
) -> Result<ClientResponse, HttpError> {
    let mut builder = client.request(request.method.clone(), request.url.as_str());
    for (name, value) in &request.headers {
        builder = builder.header(name.as_str(), value.as_str());
    }
    let milliseconds = u32::try_from(request.timeout.as_millis()).unwrap_or(u32::MAX);
    let sending = builder
        .timeout(Millis(milliseconds))
        .send_body(request.body.clone());
    sending.await.map_err(|error| classify(&error))
}

/// Rejects a response of HTTP/1.1 whose body ends with its connection: `ntex` reports such a body as empty.
fn check_framing(response: ClientResponse) -> Result<ClientResponse, HttpError> {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    let has_body = !matches!(response.status().as_u16(), 204 | 304);
    if response.version() == Version::HTTP_11 && has_body && !is_framed {
        let detail = "the response has neither a length nor chunks";
        return Err(HttpError::Interrupted(detail.to_owned()));
    }
    Ok(response)
}

fn classify(error: &ClientError) -> HttpError {
    match error {
        ClientError::Timeout => HttpError::TimedOut,
        // `ntex` also reports a connection in this way that was closed after the request had been sent.
        ClientError::Connect(ConnectError::Disconnected(None)) => {
            HttpError::Interrupted("the connection was closed without a response".to_owned())
        }
        ClientError::Url(_) | ClientError::Connect(_) => HttpError::NotSent(error.to_string()),
        _ => HttpError::Interrupted(error.to_string()),
    }
}

async fn relay_body(
    response: ClientResponse,
    sender: mpsc::Sender<Result<Bytes, HttpError>>,
    timeout: Duration,
) {
    let mut payload = response.take_payload();
    let mut received = 0;
    loop {
        let next = tokio::select! {
            next = tokio::time::timeout(timeout, payload.next()) => next,
            () = sender.closed() => return,
        };
        let chunk = match next {
            Ok(None) => return,
            Ok(Some(Ok(chunk))) if received + chunk.len() > BODY_LIMIT => {
                let detail = format!("the body is longer than {BODY_LIMIT} bytes");
                Err(HttpError::Unreadable(detail))
            }
            Ok(Some(Ok(chunk))) => {
                received += chunk.len();
                Ok(chunk)
            }
            Ok(Some(Err(error))) => Err(HttpError::Interrupted(error.to_string())),
            Err(_) => Err(HttpError::TimedOut),
        };
        let failed = chunk.is_err();
        if sender.send(chunk).await.is_err() || failed {
            return;
        }
    }
}
