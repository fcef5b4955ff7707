//! Calls of the platform's key-value service over kept connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use samphiregrade_http::wire::{BodyDecoder, BodyPiece, ResponseHead, SocketLimits, WireSocket};
use thiserror::Error;
use tokio::sync::Mutex;

use crate::dialect::{Dialect, ReadConsistency, StoreCall, StorePage, StoreWrite};
use crate::observe::GatewayMetrics;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an answer that the service does not hold back: it may be slow by a factor of dozens.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);

/// Longest head of an answer.
const HEAD_LIMIT: usize = 16 << 10;

/// Longest accepted answer; a page is about a megabyte.
const BODY_LIMIT: usize = 8 << 20;

/// Why a call brought nothing.
#[derive(Clone, Debug, Error)]
pub enum StoreFailure {
    /// No answer; the call may have been carried out, or may be later.
    #[error("the key-value service gives no answer: {0}; it is asked again")]
    NoAnswer(String),
    /// The service refuses for now; nothing was done.
    #[error("the key-value service refuses with status {0}; it is asked again later")]
    Refused(u16),
    /// The history before a revision is gone.
    #[error("the key-value service has dropped the history; everything is read again")]
    Compacted,
    /// A condition did not hold.
    #[error("the key has been changed meanwhile; it is read again")]
    Changed,
    /// The answer can't be decoded.
    #[error("{0}; everything is read again")]
    Unreadable(String),
}

/// A whole answer.
struct StoreAnswer {
    status: u16,
    body: Bytes,
}

/// A client with one kept connection; each watch has a client of its own.
#[derive(Clone)]
pub struct StoreClient {
    address: SocketAddr,
    dialect: Arc<dyn Dialect>,
    metrics: Arc<GatewayMetrics>,
    kept: Arc<Mutex<Option<WireSocket>>>,
}

impl StoreClient {
    /// Makes a client.
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
            kept: Arc::default(),
        }
    }

    /// Returns a client with a connection of its own.
    #[must_use]
    pub fn with_own_connection(&self) -> Self {
        Self::new(self.address, self.dialect.clone(), self.metrics.clone())
    }

    /// Reads all keys under a prefix, page by page; the revision is the oldest page's.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] where a page is missing.
    pub async fn read_all(&self, prefix: &str) -> Result<StorePage, StoreFailure> {
        self.read_pages(prefix, ReadConsistency::Latest, CALL_TIMEOUT)
            .await
    }

    /// Reads all keys under a prefix, each page within a time.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] where a page is missing.
    pub async fn read_within(
        &self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<StorePage, StoreFailure> {
        self.read_pages(prefix, ReadConsistency::Latest, timeout)
            .await
    }

    /// Reads all keys under a prefix as they were some seconds ago at worst, which costs the service a tenth.
    ///
    /// # Errors
    ///
    /// [`StoreFailure`] where a page is missing.
    pub async fn read_stale(&self, prefix: &str) -> Result<StorePage, StoreFailure> {
        self.read_pages(prefix, ReadConsistency::MayBeStale, CALL_TIMEOUT)
            .await
    }

    async fn read_pages(
        &self,
        prefix: &str,
        age: ReadConsistency,
        timeout: Duration,
    ) -> Result<StorePage, StoreFailure> {
        let mut whole = StorePage::default();
        loop {
            let after = whole.items.last().map(|item| item.key.clone());
            let first = after.is_none();
            let call = self.dialect.read_call(prefix, after.as_deref(), age);
            let answer = self.call(&call, timeout).await?;
            let page = self.page(&answer)?;
            if first {
                whole.revision = page.revision;
            }
            whole.nameless += page.nameless;
            let more = page.has_more;
            if more && page.items.is_empty() {
                let reason = format!("a page of {} items names no key", page.nameless);
                return Err(StoreFailure::Unreadable(reason));
            }
            whole.items.extend(page.items);
            if !more {
                return Ok(whole);
            }
        }
    }

    /// Waits for changes under a prefix.
    ///
    /// # Errors
    ///
    /// [`StoreFailure::Compacted`] where everything has to be read again.
    pub async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<StorePage, StoreFailure> {
        let call = self.dialect.watch_call(prefix, after, wait);
        let answer = self.call(&call, wait + CALL_TIMEOUT).await?;
        self.page(&answer)
    }

    /// Writes a key under a condition.
    ///
    /// # Errors
    ///
    /// [`StoreFailure::Changed`] where the condition does not hold; after
    /// [`StoreFailure::NoAnswer`] the change may still take effect.
    pub async fn write(&self, change: &StoreWrite) -> Result<(), StoreFailure> {
        let call = self.dialect.write_call(change);
        let answer = self.call(&call, CALL_TIMEOUT).await?;
        match answer.status {
            200 => Ok(()),
            412 => Err(StoreFailure::Changed),
            other => Err(StoreFailure::Refused(other)),
        }
    }

    fn page(&self, answer: &StoreAnswer) -> Result<StorePage, StoreFailure> {
        match answer.status {
            200 => self
                .dialect
                .page(&answer.body)
                .map_err(|error| StoreFailure::Unreadable(error.to_string())),
            410 => Err(StoreFailure::Compacted),
            other => Err(StoreFailure::Refused(other)),
        }
    }

    async fn call(&self, call: &StoreCall, timeout: Duration) -> Result<StoreAnswer, StoreFailure> {
        let mut kept = self.kept.lock().await;
        let asking = tokio::time::timeout(timeout, self.exchange(call, kept.take()));
        let result = match asking.await {
            Ok(Ok((answer, socket))) => {
                *kept = socket;
                Ok(answer)
            }
            Ok(Err(error)) => Err(StoreFailure::NoAnswer(error)),
            Err(_) => Err(StoreFailure::NoAnswer("timeout".to_owned())),
        };
        self.metrics.count_store_call(match &result {
            Ok(answer) if answer.status < 400 => "answered",
            Ok(_) => "refused",
            Err(_) => "no-answer",
        });
        result
    }

    async fn exchange(
        &self,
        call: &StoreCall,
        kept: Option<WireSocket>,
    ) -> Result<(StoreAnswer, Option<WireSocket>), String> {
        let text = |error: std::io::Error| error.to_string();
        let quiet = kept.and_then(|mut socket| socket.is_quiet().then_some(socket));
        let mut socket = if let Some(socket) = quiet {
            socket
        } else {
            let limits = SocketLimits::for_held_answers();
            let connecting = WireSocket::connect(self.address, CONNECT_TIMEOUT, &limits);
            connecting.await.map_err(text)?
        };
        socket.write(&self.encode(call)).await.map_err(text)?;
        let head = loop {
            let taken = ResponseHead::take(&mut socket.buffer, HEAD_LIMIT);
            if let Some(head) = taken.map_err(|error| error.to_string())? {
                break head;
            }
            if socket.fill().await.map_err(text)? == 0 {
                return Err("the connection ended before an answer".to_owned());
            }
        };
        let framing = head.framing().map_err(|error| error.to_string())?;
        let body = read_body(&mut socket, BodyDecoder::new(framing)).await?;
        let answer = StoreAnswer {
            status: head.status,
            body,
        };
        let keeps = head.keeps_connection() && socket.buffer.is_empty();
        Ok((answer, keeps.then_some(socket)))
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
            BodyPiece::Data(_) => return Err("the answer is too long".to_owned()),
            BodyPiece::More => {
                if socket.fill().await.map_err(|error| error.to_string())? == 0 {
                    decoder.close().map_err(|error| error.to_string())?;
                }
            }
        }
    }
}
