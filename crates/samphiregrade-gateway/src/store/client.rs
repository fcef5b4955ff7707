//! HTTP client of the key-value service with a persistent connection.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use samphiregrade_http::wire::{BodyDecoder, BodyPiece, ResponseHead, SocketLimits, WireSocket};
use thiserror::Error;
use tokio::sync::Mutex;

use crate::dialect::{Dialect, ReadConsistency, StoreCall, StorePage, StoreWrite};
use crate::observe::GatewayMetrics;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call, in addition to the time for which the service may hold a watch; allows for a service that is
/// slower than usual by a factor of dozens.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum size of a response head in bytes.
const HEAD_LIMIT: usize = 16 << 10;

/// Maximum size of a response body in bytes; a page is about a megabyte.
const BODY_LIMIT: usize = 8 << 20;

/// Why a call of the key-value service failed.
#[derive(Clone, Debug, Error)]
pub enum StoreFailure {
    /// No response; the call may have taken effect, or may still do so.
    #[error("the key-value service does not respond: {0}; the call is retried")]
    NoAnswer(String),
    /// The service rejected the call; it had no effect.
    #[error("the key-value service rejected the call with status {0}; it is retried later")]
    Refused(u16),
    /// The service no longer has the history after the requested revision.
    #[error("the key-value service has compacted its history; all keys are read again")]
    Compacted,
    /// The write's condition was not met.
    #[error("the key has been changed meanwhile; it is read again")]
    Changed,
    /// The response can't be decoded.
    #[error("{0}; all keys are read again")]
    Unreadable(String),
}

/// A complete response.
struct StoreResponse {
    status: u16,
    body: Bytes,
}

/// Client with one persistent connection, shared by its clones; each watch uses a client with a connection of its own.
#[derive(Clone)]
pub struct StoreClient {
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<GatewayMetrics>,
    idle_socket: Arc<Mutex<Option<WireSocket>>>,
}

impl StoreClient {
    /// Creates a client.
    #[must_use]
    pub fn new(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        metrics: Arc<GatewayMetrics>,
    ) -> Self {
        Self {
            address,
            dialect,
            metrics,
            idle_socket: Arc::default(),
        }
    }

    /// Returns a client with a connection of its own.
    #[must_use]
    pub fn with_own_connection(&self) -> Self {
        Self::new(self.address, self.dialect.clone(), self.metrics.clone())
    }

    /// Reads all keys under a prefix, page by page; the returned revision is that of the first page, the oldest one.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] if a page can't be read.
    pub async fn read_all(&self, prefix: &str) -> Result<StorePage, StoreFailure> {
        self.read_pages(prefix, ReadConsistency::Latest, CALL_TIMEOUT)
            .await
    }

    /// Reads all keys under a prefix with a timeout for each page.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] if a page can't be read.
    pub async fn read_within(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<StorePage, StoreFailure> {
        self.read_pages(prefix, ReadConsistency::Latest, timeout)
            .await
    }

    /// Reads all keys under a prefix; the data may be some seconds old, which costs the service a tenth of a current
    /// read.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] if a page can't be read.
    pub async fn read_stale(&self, prefix: &str) -> Result<StorePage, StoreFailure> {
        self.read_pages(prefix, ReadConsistency::MayBeStale, CALL_TIMEOUT)
            .await
    }

    async fn read_pages(
        &self,
        prefix: &str,
        consistency: ReadConsistency,
        timeout: Duration,
    ) -> Result<StorePage, StoreFailure> {
        let mut combined = StorePage::default();
        loop {
            let after = combined.items.last().map(|item| item.key.clone());
            let first = after.is_none();
            let call = self
                .dialect
                .read_call(prefix, after.as_deref(), consistency);
            let response = self.call(&call, timeout).await?;
            let page = self.page(&response)?;
            if first {
                combined.revision = page.revision;
            }
            combined.nameless += page.nameless;
            let more = page.has_more;
            if more && page.items.is_empty() {
                let reason = format!("none of a page's {} items has a key", page.nameless);
                return Err(StoreFailure::Unreadable(reason));
            }
            combined.items.extend(page.items);
            if !more {
                return Ok(combined);
            }
        }
    }

    /// Waits up to `wait` for changes under a prefix after a revision.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`]; [`StoreFailure::Compacted`] if all keys have to be read again.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StorePage, StoreFailure> {
        let call = self.dialect.watch_call(prefix, after, wait);
        let response = self.call(&call, wait + CALL_TIMEOUT).await?;
        self.page(&response)
    }

    /// Writes a key if the write's condition is met.
    ///
    /// # Errors
    ///
    /// [`StoreFailure::Changed`] if the condition is not met; after [`StoreFailure::NoAnswer`] the write may still take
    /// effect.
    pub async fn write(&self, write: &StoreWrite) -> Result<(), StoreFailure> {
        let call = self.dialect.write_call(write);
        let response = self.call(&call, CALL_TIMEOUT).await?;
        match response.status {
            200 => Ok(()),
            412 => Err(StoreFailure::Changed),
            other => Err(StoreFailure::Refused(other)),
        }
    }

    fn page(&self, response: &StoreResponse) -> Result<StorePage, StoreFailure> {
        match response.status {
            200 => self
                .dialect
                .page(&response.body)
                .map_err(|error| StoreFailure::Unreadable(error.to_string())),
            410 => Err(StoreFailure::Compacted),
            other => Err(StoreFailure::Refused(other)),
        }
    }

    async fn call(
        &self,
        call: &StoreCall,
        timeout: Duration,
    ) -> Result<StoreResponse, StoreFailure> {
        let mut idle_socket = self.idle_socket.lock().await;
        let exchanging = tokio::time::timeout(timeout, self.exchange(call, idle_socket.take()));
        let result = match exchanging.await {
            Ok(Ok((response, socket))) => {
                *idle_socket = socket;
                Ok(response)
            }
            Ok(Err(error)) => Err(StoreFailure::NoAnswer(error)),
            Err(_) => Err(StoreFailure::NoAnswer("timeout".to_owned())),
        };
        self.metrics.count_store_call(match &result {
            Ok(response) if response.status < 400 => "answered",
            Ok(_) => "refused",
            Err(_) => "no-answer",
        });
        result
    }

    async fn exchange(
        &self,
        call: &StoreCall,
        idle_socket: Option<WireSocket>,
    ) -> Result<(StoreResponse, Option<WireSocket>), String> {
        let describe = |error: std::io::Error| error.to_string();
        let idle = idle_socket.and_then(|mut socket| socket.is_reusable().then_some(socket));
        let mut socket = if let Some(socket) = idle {
            socket
        } else {
            let limits = SocketLimits::for_held_responses();
            let connecting = WireSocket::connect(self.address, CONNECT_TIMEOUT, &limits);
            connecting.await.map_err(describe)?
        };
        socket.write(&self.encode(call)).await.map_err(describe)?;
        let head = loop {
            let parsed = ResponseHead::take(&mut socket.buffer, HEAD_LIMIT);
            if let Some(head) = parsed.map_err(|error| error.to_string())? {
                break head;
            }
            if socket.fill().await.map_err(describe)? == 0 {
                return Err("the connection was closed before the response".to_owned());
            }
        };
        let framing = head.framing().map_err(|error| error.to_string())?;
        let body = read_body(&mut socket, BodyDecoder::new(framing)).await?;
        let response = StoreResponse {
            status: head.status,
            body,
        };
        let reusable = head.keeps_connection() && socket.buffer.is_empty();
        Ok((response, reusable.then_some(socket)))
    }

    fn encode(&self, call: &StoreCall) -> BytesMut {
        let mut bytes = BytesMut::with_capacity(256 + call.body.len());
        bytes.put_slice(call.method.as_bytes());
        bytes.put_u8(b' ');
        bytes.put_slice(call.target.as_bytes());
        bytes.put_slice(b" HTTP/1.1\r\nHost: ");
        bytes.put_slice(self.address.to_string().as_bytes());
        if !call.body.is_empty() || call.method == "POST" {
            let head = format!(
                "\r\nContent-Type: application/json\r\nContent-Length: {}",
                call.body.len()
            );
            bytes.put_slice(head.as_bytes());
        }
        bytes.put_slice(b"\r\n\r\n");
        bytes.put_slice(&call.body);
        bytes
    }
}

async fn read_body(socket: &mut WireSocket, mut decoder: BodyDecoder) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    loop {
        match decoder
            .take(&mut socket.buffer)
            .map_err(|error| error.to_string())?
        {
            BodyPiece::End => return Ok(body.freeze()),
            BodyPiece::Data(data) if body.len() + data.len() <= BODY_LIMIT => {
                body.extend_from_slice(&data);
            }
            BodyPiece::Data(_) => return Err("the response is too large".to_owned()),
            BodyPiece::More => {
                if socket.fill().await.map_err(|error| error.to_string())? == 0 {
                    decoder.close().map_err(|error| error.to_string())?;
                }
            }
        }
    }
}
