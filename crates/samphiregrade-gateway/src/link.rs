//! Links between instances: one typed request and its reply at a time on each connection, TLS over TCP.
//!
//! QUIC was tried first and left (docs/design/deployment.md has the figures): on the small machines each
//! datagram costs a system call, and a rebuild's megabytes overran the sockets' buffers. TCP's own flow
//! control carries both. A connection carries one request at a time, so that none waits behind another;
//! a few are kept for each peer.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rustls::pki_types::ServerName;
use samphiregrade_http::wire::{SocketLimits, limit_silence, listen};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_rustls::client::TlsStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};

use crate::identity::{LinkIdentity, SERVER_NAME};

/// Largest accepted message; the longest chain and one part of an export fit.
const MESSAGE_LIMIT: usize = 64 << 20;

/// Idle time after which a connection is closed: programs come in bursts with pauses of seconds.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Age up to which the opening side uses an idle connection again, well below [`IDLE_TIMEOUT`].
const REUSE_WITHIN: Duration = Duration::from_secs(12);

/// Longest time for a handshake on the accepting side; slow machines need some hundreds of milliseconds
/// while all of them start.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Why an instance gave no answer.
#[derive(Clone, Debug, Error)]
pub enum LinkFailure {
    /// The endpoint or a connection can't be used.
    #[error("the link can't be used: {0}; check the address and the certificates")]
    Closed(String),
    /// No answer within the time.
    #[error("no answer in time; another instance is asked")]
    TimedOut,
    /// The reply is not the expected message.
    #[error("the reply can't be read: {0}; run one version on all instances")]
    Unreadable(String),
}

fn closed<Source>(error: Source) -> LinkFailure
where
    Source: std::fmt::Display,
{
    LinkFailure::Closed(error.to_string())
}

fn unreadable(error: postcard::Error) -> LinkFailure {
    LinkFailure::Unreadable(error.to_string())
}

type OpenedLink = TlsStream<TcpStream>;

struct IdleLink {
    link: OpenedLink,
    since: Instant,
}

/// The endpoint of an instance; cloning it is cheap.
#[derive(Clone)]
pub struct LinkEndpoint {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleLink>>>>,
}

impl LinkEndpoint {
    /// Makes an endpoint.
    ///
    /// # Errors
    ///
    /// [`LinkFailure::Closed`] where the certificates can't be used.
    pub fn new(identity: &LinkIdentity) -> Result<Self, LinkFailure> {
        let accepting = identity.accepting_tls().map_err(closed)?;
        let opening = identity.opening_tls().map_err(closed)?;
        Ok(Self {
            connector: TlsConnector::from(Arc::new(opening)),
            acceptor: TlsAcceptor::from(Arc::new(accepting)),
            idle: Arc::default(),
        })
    }

    /// Asks another instance.
    ///
    /// # Errors
    ///
    /// [`LinkFailure`] where there is no readable reply in time; the request may have arrived.
    pub async fn ask<Request, Reply>(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, LinkFailure>
    where
        Request: Serialize,
        Reply: DeserializeOwned,
    {
        let bytes = postcard::to_stdvec(request).map_err(unreadable)?;
        let asking = tokio::time::timeout(timeout, self.exchange(address, &bytes));
        let result = asking.await.unwrap_or(Err(LinkFailure::TimedOut));
        if result.is_err() {
            // What made this one fail may have silenced the idle ones as well.
            self.drop_idle(address);
        }
        postcard::from_bytes(&result?).map_err(unreadable)
    }

    async fn exchange(&self, address: SocketAddr, request: &[u8]) -> Result<Vec<u8>, LinkFailure> {
        if let Some(mut link) = self.take_idle(address) {
            if let Ok(reply) = exchange_on(&mut link, request).await {
                self.keep_idle(address, link);
                return Ok(reply);
            }
            // The other side may have closed it while it was idle; requests may be repeated.
            self.drop_idle(address);
        }
        let mut link = self.open(address).await.map_err(closed)?;
        let reply = exchange_on(&mut link, request).await.map_err(closed)?;
        self.keep_idle(address, link);
        Ok(reply)
    }

    async fn open(&self, address: SocketAddr) -> io::Result<OpenedLink> {
        let stream = TcpStream::connect(address).await?;
        limit_silence(&stream, &SocketLimits::default())?;
        let name = ServerName::try_from(SERVER_NAME).map_err(io::Error::other)?;
        self.connector.connect(name, stream).await
    }

    fn take_idle(&self, address: SocketAddr) -> Option<OpenedLink> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let links = idle.get_mut(&address)?;
        links.retain(|kept| kept.since.elapsed() < REUSE_WITHIN);
        links.pop().map(|kept| kept.link)
    }

    fn keep_idle(&self, address: SocketAddr, link: OpenedLink) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(IdleLink {
            link,
            since: Instant::now(),
        });
    }

    fn drop_idle(&self, address: SocketAddr) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.remove(&address);
    }

    /// Answers other instances on an address.
    ///
    /// # Errors
    ///
    /// The system's error where the port is taken.
    pub async fn serve<Handler, Request, Reply, Answering>(
        &self,
        address: SocketAddr,
        handler: Handler,
    ) -> io::Result<()>
    where
        Handler: Fn(Request) -> Answering + Clone + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Reply: Serialize + Send + 'static,
        Answering: Future<Output = Reply> + Send + 'static,
    {
        let listener = listen(address)?;
        loop {
            let Some(stream) = accept(&listener).await else {
                continue;
            };
            let acceptor = self.acceptor.clone();
            let handler = handler.clone();
            tokio::spawn(async move {
                if let Err(error) = serve_link(stream, acceptor, handler).await {
                    log::debug!("a link ended: {error}");
                }
            });
        }
    }
}

async fn accept(listener: &TcpListener) -> Option<TcpStream> {
    match listener.accept().await {
        Ok((stream, _)) => Some(stream),
        Err(error) => {
            log::warn!("a link was not accepted: {error}");
            tokio::time::sleep(ACCEPT_PAUSE).await;
            None
        }
    }
}

async fn serve_link<Handler, Request, Reply, Answering>(
    stream: TcpStream,
    acceptor: TlsAcceptor,
    handler: Handler,
) -> io::Result<()>
where
    Handler: Fn(Request) -> Answering,
    Request: DeserializeOwned,
    Reply: Serialize,
    Answering: Future<Output = Reply>,
{
    limit_silence(&stream, &SocketLimits::default())?;
    let mut link = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await??;
    loop {
        let bytes = tokio::time::timeout(IDLE_TIMEOUT, read_message(&mut link)).await??;
        let request = postcard::from_bytes(&bytes).map_err(io::Error::other)?;
        let reply = handler(request).await;
        let reply = postcard::to_stdvec(&reply).map_err(io::Error::other)?;
        write_message(&mut link, &reply).await?;
    }
}

async fn exchange_on<Link>(link: &mut Link, request: &[u8]) -> io::Result<Vec<u8>>
where
    Link: AsyncRead + AsyncWrite + Unpin,
{
    write_message(link, request).await?;
    read_message(link).await
}

async fn write_message<Link>(link: &mut Link, message: &[u8]) -> io::Result<()>
where
    Link: AsyncWrite + Unpin,
{
    let length = u32::try_from(message.len()).map_err(io::Error::other)?;
    let mut framed = Vec::with_capacity(4 + message.len());
    framed.extend_from_slice(&length.to_le_bytes());
    framed.extend_from_slice(message);
    link.write_all(&framed).await?;
    link.flush().await
}

async fn read_message<Link>(link: &mut Link) -> io::Result<Vec<u8>>
where
    Link: AsyncRead + Unpin,
{
    let length = link.read_u32_le().await?;
    let length = usize::try_from(length).map_err(io::Error::other)?;
    if length > MESSAGE_LIMIT {
        return Err(io::Error::other("the message is too long"));
    }
    let mut message = vec![0; length];
    link.read_exact(&mut message).await?;
    Ok(message)
}
