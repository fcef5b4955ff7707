//! Finds out whether the process that ran a request still lives.
//!
//! A connection that is accepted at an upstream's address does not show it: another process may have the address by then. Only
//! responses that name the process count.

use std::io;
use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use samphiregrade_http::wire::{ResponseHead, WireSocket};

use super::peer::Upstream;
use crate::dialect::Dialect;
use crate::model::ResponseMetadata;

/// Timeout of a health request: it waits for a slot like other requests.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(250);

/// Maximum size of the head of a health response, in bytes.
const HEALTH_HEAD_LIMIT: usize = 8 << 10;

/// What is known about the life of an upstream's process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LifeSign {
    /// The process has responded to a request that was sent late enough.
    Lives,
    /// Another process serves at the address.
    Replaced,
    /// Nothing listens at the address.
    Refused,
    /// No response names a process.
    Unknown,
}

impl LifeSign {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Lives => "lives",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        }
    }
}

/// What responses from an upstream's address have shown of its process.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LifeEvidence {
    /// Send time of the newest request that the process has responded to.
    responded: Option<Instant>,
    /// Whether another process serves at the address.
    replaced: bool,
}

impl LifeEvidence {
    /// Records a response of the process to a request that was sent at a time.
    pub fn record_response(&mut self, sent_at: Instant) {
        self.responded = self.responded.max(Some(sent_at));
    }

    /// Records that another process serves at the address, for good.
    pub fn record_replacement(&mut self) {
        self.replaced = true;
    }

    /// Returns what is known of the time after `since`.
    #[must_use]
    pub fn sign_since(&self, since: Instant) -> LifeSign {
        match self.responded {
            _ if self.replaced => LifeSign::Replaced,
            Some(responded) if responded >= since => LifeSign::Lives,
            _ => LifeSign::Unknown,
        }
    }
}

/// How the process of an upstream is queried.
#[derive(Clone, Copy)]
pub struct LifeQuery<'query> {
    /// Names and formats of the platform.
    pub dialect: &'query dyn Dialect,
    /// Path at which the upstream responds with its id; `None` if it has none.
    pub health_path: Option<&'query str>,
    /// Time after which a request must have been sent whose response shows that the process lives.
    pub since: Instant,
}

impl Upstream {
    /// Records what a response says about the process that sent it. `is_own_run` is set if the response belongs to a request
    /// that was addressed to this process, which another one would have rejected.
    pub fn record_sender(&self, metadata: &ResponseMetadata, is_own_run: bool, sent_at: Instant) {
        let named = metadata.upstream.as_ref();
        let mut evidence = self.evidence();
        if named.is_some_and(|id| *id != self.record.id) {
            evidence.record_replacement();
        } else if named.is_some() || is_own_run {
            evidence.record_response(sent_at);
        }
    }

    /// Records that the process has ended because its upstream has started again.
    pub fn record_replacement(&self) {
        self.evidence().record_replacement();
    }

    /// Finds out whether the process lives: by responses to other requests if possible, and by a health request otherwise.
    pub async fn query_life(&self, query: &LifeQuery<'_>) -> LifeSign {
        let known = self.evidence().sign_since(query.since);
        let Some(path) = query.health_path.filter(|_| known == LifeSign::Unknown) else {
            return known;
        };
        let asked_at = Instant::now();
        let asking = tokio::time::timeout(HEALTH_TIMEOUT, self.request_health(path));
        match asking.await {
            Ok(Ok(head)) => {
                let metadata = query.dialect.response_metadata(&head);
                self.record_sender(&metadata, false, asked_at);
                self.evidence().sign_since(query.since)
            }
            // A full upstream may refuse connections while others are open.
            Ok(Err(error))
                if error.kind() == io::ErrorKind::ConnectionRefused && !self.has_open_idle() =>
            {
                LifeSign::Refused
            }
            Ok(Err(_)) | Err(_) => LifeSign::Unknown,
        }
    }

    /// Sends a health request on a new connection: an open one may be in use or about to close.
    async fn request_health(&self, path: &str) -> io::Result<ResponseHead> {
        let mut socket = self.connect().await?;
        let mut bytes = BytesMut::new();
        let address = self.record.address;
        bytes.put_slice(
            format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n")
                .as_bytes(),
        );
        socket.write(&bytes).await?;
        read_health_head(&mut socket).await
    }
}

async fn read_health_head(socket: &mut WireSocket) -> io::Result<ResponseHead> {
    loop {
        let taken = ResponseHead::take(&mut socket.buffer, HEALTH_HEAD_LIMIT);
        if let Some(head) = taken.map_err(io::Error::other)? {
            return Ok(head);
        }
        if socket.fill().await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}
