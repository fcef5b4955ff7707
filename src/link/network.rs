//! The QUIC endpoint of an instance: serves the requests of other instances and sends its own.

use std::collections::HashMap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use futures_util::future::BoxFuture;
use ntex::util::Bytes;
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, RecvStream, SendStream, ServerConfig,
    TokioRuntime, TransportConfig, VarInt,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol_str::{SmolStr, ToSmolStr};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::message::{PeerReply, PeerRequest};
use samphiregrade_gateway::identity::{IdentityError, LinkIdentity, SERVER_NAME};

/// Largest accepted frame in bytes; a shard's snapshot has to fit.
const FRAME_LIMIT: usize = 256 << 20;

/// Concurrent requests on one connection; each possible request takes memory on every connection.
const STREAM_LIMIT: u32 = 512;

/// Time without traffic after which a connection is closed.
///
/// There are no keep-alives. Probes keep the connections to instances that share shards open; the
/// connections to other instances have to expire, or they would add up to one for each instance.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Reason why another instance gave no reply.
#[derive(Clone, Debug, Error)]
pub enum LinkError {
    /// The request was not sent.
    #[error("the instance can't be reached: {0}; the request is retried")]
    Unreachable(SmolStr),
    /// The request may have arrived.
    #[error("the link broke before the reply: {0}; the request is sent again with the same key")]
    Broken(SmolStr),
    /// No reply arrived within the timeout.
    #[error("no reply in time; the request is sent again with the same key")]
    TimedOut,
}

/// Counters of bytes and requests since the start.
#[derive(Debug, Default)]
pub struct LinkCounters {
    sent_bytes: AtomicU64,
    received_bytes: AtomicU64,
    requests: AtomicU64,
}

impl LinkCounters {
    /// Returns the number of bytes sent, of bytes received and of requests sent.
    #[must_use]
    pub fn read(&self) -> (u64, u64, u64) {
        (
            self.sent_bytes.load(Ordering::Relaxed),
            self.received_bytes.load(Ordering::Relaxed),
            self.requests.load(Ordering::Relaxed),
        )
    }
}

/// A handler's reply to a request.
#[derive(Debug)]
pub enum HandlerReply {
    /// One reply.
    One(PeerReply),
    /// A reply that is followed by chunks as they become available.
    Stream(PeerReply, mpsc::Receiver<Bytes>),
}

/// Handles the requests of other instances.
pub trait PeerHandler: Send + Sync + 'static {
    /// Handles a request.
    fn handle(&self, request: PeerRequest) -> BoxFuture<'_, HandlerReply>;
}

struct NetworkInner {
    endpoint: Endpoint,
    connections: Mutex<HashMap<SocketAddr, Connection>>,
    counters: LinkCounters,
}

/// The endpoint of an instance; cheap to clone.
#[derive(Clone)]
pub struct LinkNetwork {
    inner: Arc<NetworkInner>,
}

impl std::fmt::Debug for LinkNetwork {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("LinkNetwork")
            .finish_non_exhaustive()
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut transport = TransportConfig::default();
    transport
        .max_concurrent_bidi_streams(VarInt::from_u32(STREAM_LIMIT))
        .max_idle_timeout(IDLE_TIMEOUT.try_into().ok());
    Arc::new(transport)
}

impl LinkNetwork {
    /// Opens the endpoint on a bound socket; has to be called inside a tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns [`IdentityError`] if the certificates or the socket can't be used.
    pub fn open(socket: UdpSocket, identity: &LinkIdentity) -> Result<Self, IdentityError> {
        let mut server = ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server.transport_config(transport());
        let mut client = ClientConfig::new(Arc::new(identity.client_config()?));
        client.transport_config(transport());
        let config = EndpointConfig::default();
        let mut endpoint = Endpoint::new(config, Some(server), socket, Arc::new(TokioRuntime))
            .map_err(|error| IdentityError::Unusable(error.to_string()))?;
        endpoint.set_default_client_config(client);
        let inner = NetworkInner {
            endpoint,
            connections: Mutex::default(),
            counters: LinkCounters::default(),
        };
        Ok(Self {
            inner: Arc::new(inner),
        })
    }

    /// Returns the counters.
    #[must_use]
    pub fn counters(&self) -> &LinkCounters {
        &self.inner.counters
    }

    /// Serves requests until the token is cancelled.
    pub async fn serve(&self, handler: Arc<dyn PeerHandler>, stop: CancellationToken) {
        loop {
            let incoming = tokio::select! {
                incoming = self.inner.endpoint.accept() => incoming,
                () = stop.cancelled() => break,
            };
            let Some(incoming) = incoming else { break };
            let network = self.clone();
            let handler = handler.clone();
            tokio::spawn(async move {
                match incoming.await {
                    Ok(connection) => network.serve_connection(connection, handler).await,
                    Err(error) => log::debug!("link refused error={error}"),
                }
            });
        }
    }

    /// Closes the endpoint.
    pub fn close(&self) {
        self.inner.endpoint.close(VarInt::from_u32(0), b"stopped");
    }

    async fn serve_connection(&self, connection: Connection, handler: Arc<dyn PeerHandler>) {
        while let Ok((send, receive)) = connection.accept_bi().await {
            let network = self.clone();
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Err(error) = network.serve_stream(send, receive, handler).await {
                    log::debug!("link request not served error={error}");
                }
            });
        }
    }

    async fn serve_stream(
        &self,
        mut send: SendStream,
        mut receive: RecvStream,
        handler: Arc<dyn PeerHandler>,
    ) -> Result<(), LinkError> {
        let Some(request) = self.read_message(&mut receive).await? else {
            return Ok(());
        };
        match handler.handle(request).await {
            HandlerReply::One(reply) => self.write_message(&mut send, &reply).await?,
            HandlerReply::Stream(reply, mut chunks) => {
                self.write_message(&mut send, &reply).await?;
                while let Some(chunk) = chunks.recv().await {
                    self.write_frame(&mut send, &chunk).await?;
                }
            }
        }
        send.finish().map_err(broken)
    }

    async fn write_message<Message>(
        &self,
        send: &mut SendStream,
        message: &Message,
    ) -> Result<(), LinkError>
    where
        Message: Serialize,
    {
        let bytes = postcard::to_stdvec(message).map_err(broken)?;
        self.write_frame(send, &bytes).await
    }

    async fn write_frame(&self, send: &mut SendStream, bytes: &[u8]) -> Result<(), LinkError> {
        let length = u32::try_from(bytes.len()).map_err(broken)?;
        let mut frame = Vec::with_capacity(bytes.len() + 4);
        frame.extend_from_slice(&length.to_be_bytes());
        frame.extend_from_slice(bytes);
        send.write_all(&frame).await.map_err(broken)?;
        self.inner
            .counters
            .sent_bytes
            .fetch_add(frame.len() as u64, Ordering::Relaxed);
        Ok(())
    }

    async fn read_message<Message>(
        &self,
        receive: &mut RecvStream,
    ) -> Result<Option<Message>, LinkError>
    where
        Message: DeserializeOwned,
    {
        let Some(bytes) = self.read_frame(receive).await? else {
            return Ok(None);
        };
        postcard::from_bytes(&bytes).map(Some).map_err(broken)
    }

    /// Reads a frame; returns `None` at the end of the stream.
    async fn read_frame(&self, receive: &mut RecvStream) -> Result<Option<Vec<u8>>, LinkError> {
        let mut length = [0; 4];
        match receive.read_exact(&mut length).await {
            Ok(()) => {}
            Err(quinn::ReadExactError::FinishedEarly(0)) => return Ok(None),
            Err(error) => return Err(broken(error)),
        }
        let length = u32::from_be_bytes(length) as usize;
        if length > FRAME_LIMIT {
            return Err(LinkError::Broken("a frame is too long".into()));
        }
        let mut bytes = vec![0; length];
        receive.read_exact(&mut bytes).await.map_err(broken)?;
        let total = length as u64 + 4;
        self.inner
            .counters
            .received_bytes
            .fetch_add(total, Ordering::Relaxed);
        Ok(Some(bytes))
    }

    /// Sends a request and waits for its one reply.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Unreachable`] if the request was not sent, otherwise [`LinkError::Broken`] or
    /// [`LinkError::TimedOut`].
    pub async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        timeout: Duration,
    ) -> Result<PeerReply, LinkError> {
        let call = async {
            let mut stream = self.open_stream(address, request).await?;
            Ok(stream.head.take())
        };
        let reply = tokio::time::timeout(timeout, call).await;
        match reply {
            Ok(Ok(Some(reply))) => Ok(reply),
            Ok(Ok(None)) => Err(LinkError::Broken("the reply is empty".into())),
            Ok(Err(error)) => Err(error),
            Err(_) => Err(LinkError::TimedOut),
        }
    }

    /// Sends a request whose reply is followed by chunks.
    ///
    /// # Errors
    ///
    /// As [`call`](Self::call).
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<ReplyStream, LinkError> {
        let connection = self.connection(address).await?;
        self.inner.counters.requests.fetch_add(1, Ordering::Relaxed);
        let opened = connection.open_bi().await;
        let (mut send, mut receive) = opened.map_err(|error| {
            self.remove_connection(address, &connection);
            LinkError::Unreachable(error.to_smolstr())
        })?;
        self.write_message(&mut send, request).await?;
        send.finish().map_err(broken)?;
        let head = self.read_message(&mut receive).await?;
        Ok(ReplyStream {
            head,
            network: self.clone(),
            receive,
        })
    }

    async fn connection(&self, address: SocketAddr) -> Result<Connection, LinkError> {
        if let Some(connection) = self.known_connection(address) {
            return Ok(connection);
        }
        let unreachable =
            |error: &dyn std::fmt::Display| LinkError::Unreachable(error.to_smolstr());
        let connecting = self
            .inner
            .endpoint
            .connect(address, SERVER_NAME)
            .map_err(|error| unreachable(&error))?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .map_err(|_| unreachable(&"no answer"))?
            .map_err(|error| unreachable(&error))?;
        let mut connections = self
            .inner
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        connections.insert(address, connection.clone());
        Ok(connection)
    }

    fn known_connection(&self, address: SocketAddr) -> Option<Connection> {
        let mut connections = self
            .inner
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let connection = connections.get(&address)?;
        if connection.close_reason().is_some() {
            connections.remove(&address);
            return None;
        }
        Some(connection.clone())
    }

    fn remove_connection(&self, address: SocketAddr, connection: &Connection) {
        let mut connections = self
            .inner
            .connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let same = connections
            .get(&address)
            .is_some_and(|known| known.stable_id() == connection.stable_id());
        if same {
            connections.remove(&address);
        }
    }
}

/// A reply whose chunks are still arriving.
#[derive(Debug)]
pub struct ReplyStream {
    head: Option<PeerReply>,
    network: LinkNetwork,
    receive: RecvStream,
}

impl ReplyStream {
    /// Returns the reply that precedes the chunks; returns `None` from the second call on.
    pub fn take_head(&mut self) -> Option<PeerReply> {
        self.head.take()
    }

    /// Waits for the next chunk; returns `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError::Broken`] if the link breaks.
    pub async fn next_chunk(&mut self) -> Result<Option<Vec<u8>>, LinkError> {
        self.network.read_frame(&mut self.receive).await
    }
}

fn broken<Source>(error: Source) -> LinkError
where
    Source: std::fmt::Display,
{
    LinkError::Broken(error.to_smolstr())
}
