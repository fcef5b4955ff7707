//! Links between instances: typed requests and replies, multiplexed on one TLS connection over TCP per peer.
//!
//! QUIC was tried first and rejected (docs/design/deployment.md has the figures): on the small machines each datagram
//! costs a system call, and the megabytes of a rebuild overran the sockets' buffers. Connections with one request at a
//! time were rejected as well: after an outage of half a second, a keeper faced one handshake per waiting request and
//! never caught up. Therefore each peer has one connection, one task that drives it, and at most one handshake at a
//! time.
//!
//! What a peer may make an instance hold is bounded ([`LinkLimits`]): messages that wait to be sent, and large requests that
//! are being received or handled. A request beyond that waits in its sender.
//!
//! A peer that is stopping announces it on its connections and still replies to all requests that it has received.
//! Otherwise, its clients would lose replies in transit and could not know which requests had arrived.

mod frame;
mod limits;
mod serving;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use rustls::pki_types::ServerName;
use samphiregrade_http::wire::{SocketLimits, apply_limits, listen_with_queue};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_rustls::client::TlsStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accept::accept;
use crate::identity::{LinkIdentity, SERVER_NAME};

use frame::{MESSAGE_LIMIT, append_frame, encode_message, take_frame};
pub use limits::LinkLimits;
use serving::LinkServer;

/// Number of the frame that announces that its sender is stopping; requests are numbered from one. A peer that doesn't
/// know the announcement ignores the frame.
const STOP_NUMBER: u64 = 0;

/// Longest time for which a stopping peer completes pending requests: a long poll may last some hundreds of
/// milliseconds, and a small disk takes as long at worst.
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest number of messages queued for one peer; further ones fail at once.
const QUEUE_LIMIT: usize = 1024;

/// Size in bytes up to which frames are combined into one write.
const WRITE_LIMIT: usize = 256 << 10;

/// Free buffer space in bytes reserved before each read.
const READ_RESERVE: usize = 16 << 10;

/// Longest time for connecting, including the TLS handshake; slow machines need some hundreds of milliseconds while all
/// of them start.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Time after a failed connection attempt in which requests fail at once.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without received data after which a connection with pending requests is closed: the path may be interrupted for
/// this connection only. A keeper's reply takes some milliseconds, its disk at worst some hundreds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// The system's queues of a link in each direction, in bytes: enough for 40 MB/s at a round trip of three milliseconds.
const SYSTEM_QUEUE: u32 = 128 << 10;

/// Why a request got no usable reply.
#[derive(Clone, Debug, Error)]
pub enum LinkFailure {
    /// The endpoint or a connection can't be used.
    #[error("the link failed: {0}; check the address and the certificates")]
    Closed(String),
    /// No reply arrived before the timeout.
    #[error("no reply before the timeout; another instance is queried")]
    TimedOut,
    /// A message can't be encoded or decoded.
    #[error("the message can't be encoded or decoded: {0}; run the same version on all instances")]
    Unreadable(String),
    /// A message is longer than links allow.
    #[error("the message has {0} bytes of at most {MESSAGE_LIMIT}; lower the clients' body limit")]
    TooLong(usize),
}

fn closed<Source>(error: Source) -> LinkFailure
where
    Source: std::fmt::Display,
{
    LinkFailure::Closed(error.to_string())
}

fn unreadable<Source>(error: Source) -> LinkFailure
where
    Source: std::fmt::Display,
{
    LinkFailure::Unreadable(error.to_string())
}

/// A request to a peer, with the channel for its reply.
struct LinkJob {
    message: QueuedMessage,
    reply: oneshot::Sender<Bytes>,
}

/// A message that waits to be sent, and counts as such until it is dropped.
struct QueuedMessage {
    bytes: Vec<u8>,
    queued: Arc<AtomicUsize>,
}

impl QueuedMessage {
    /// Counts a message; fails if others occupy the room that is left.
    fn count(bytes: Vec<u8>, queued: &Arc<AtomicUsize>, limit: usize) -> Result<Self, LinkFailure> {
        let length = bytes.len();
        let before = queued.fetch_add(length, Ordering::Relaxed);
        let message = Self {
            bytes,
            queued: queued.clone(),
        };
        if before > 0 && before + length > limit {
            return Err(closed("too many bytes wait to be sent to the peer"));
        }
        Ok(message)
    }
}

impl Drop for QueuedMessage {
    fn drop(&mut self) {
        self.queued.fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// The queue of the task that drives the connection to a peer.
#[derive(Clone)]
struct PeerQueue {
    jobs: mpsc::Sender<LinkJob>,
    /// Bytes of the queued messages.
    queued: Arc<AtomicUsize>,
}

/// An instance's endpoint for links; cloning it is cheap.
#[derive(Clone)]
pub struct LinkEndpoint {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
    peers: Arc<Mutex<HashMap<SocketAddr, PeerQueue>>>,
    limits: LinkLimits,
}

impl LinkEndpoint {
    /// Creates an endpoint.
    ///
    /// # Errors
    ///
    /// Returns [`LinkFailure::Closed`] if the certificates can't be used.
    pub fn new(identity: &LinkIdentity) -> Result<Self, LinkFailure> {
        let accepting = identity.accepting_tls().map_err(closed)?;
        let opening = identity.opening_tls().map_err(closed)?;
        Ok(Self {
            connector: TlsConnector::from(Arc::new(opening)),
            acceptor: TlsAcceptor::from(Arc::new(accepting)),
            peers: Arc::default(),
            limits: LinkLimits::default(),
        })
    }

    /// Replaces the bounds of what the links hold.
    #[must_use]
    pub fn with_limits(self, limits: LinkLimits) -> Self {
        Self { limits, ..self }
    }

    /// Sends a request to another instance, and waits for its reply.
    ///
    /// # Errors
    ///
    /// Returns [`LinkFailure`] if no readable reply arrives in time; the request may have arrived nevertheless.
    pub async fn request<Request, Reply>(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, LinkFailure>
    where
        Request: Serialize,
        Reply: DeserializeOwned,
    {
        let receiver = self.send(address, request)?;
        match tokio::time::timeout(timeout, receiver).await {
            Err(_) => Err(LinkFailure::TimedOut),
            Ok(Err(_)) => Err(closed("the connection failed before the reply arrived")),
            Ok(Ok(bytes)) => postcard::from_bytes(&bytes).map_err(unreadable),
        }
    }

    /// Sends a message to another instance without waiting for a reply.
    ///
    /// # Errors
    ///
    /// Returns [`LinkFailure`] if the message can't be queued. Success does not mean that the message arrives.
    pub fn notify<Request>(&self, address: SocketAddr, request: &Request) -> Result<(), LinkFailure>
    where
        Request: Serialize,
    {
        self.send(address, request).map(drop)
    }

    /// Queues a request for the task that drives the connection to a peer; returns the receiver of its reply.
    fn send<Request>(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<oneshot::Receiver<Bytes>, LinkFailure>
    where
        Request: Serialize,
    {
        let message = encode_message(request)?;
        let peer = self.peer(address);
        let message = QueuedMessage::count(message, &peer.queued, self.limits.queued_bytes)?;
        let (reply, receiver) = oneshot::channel();
        let job = LinkJob { message, reply };
        peer.jobs.try_send(job).map_err(closed)?;
        Ok(receiver)
    }

    /// Returns the queue of the task that drives the connection to a peer; starts the task if there is none.
    fn peer(&self, address: SocketAddr) -> PeerQueue {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&address) {
            return peer.clone();
        }
        let (sender, jobs) = mpsc::channel(QUEUE_LIMIT);
        let peer = PeerQueue {
            jobs: sender,
            queued: Arc::default(),
        };
        let driver = PeerDriver {
            address,
            connector: self.connector.clone(),
            jobs,
        };
        tokio::spawn(driver.run());
        peers.insert(address, peer.clone());
        peer
    }

    /// Serves requests of other instances on an address for as long as the process runs.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be listened on, for example because the port is taken.
    pub async fn serve<Handler, Request, Reply, ReplyFuture>(
        &self,
        address: SocketAddr,
        handler: Handler,
    ) -> io::Result<()>
    where
        Handler: Fn(Request) -> ReplyFuture + Clone + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Reply: Serialize + Send + 'static,
        ReplyFuture: Future<Output = Reply> + Send + 'static,
    {
        let never = CancellationToken::new();
        self.serve_until(address, handler, &never).await
    }

    /// Serves requests of other instances on an address until `stop` is cancelled. Then accepts no more connections,
    /// announces the stop to the peers, and completes the received requests within a limited time.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the address can't be listened on, for example because the port is taken.
    pub async fn serve_until<Handler, Request, Reply, ReplyFuture>(
        &self,
        address: SocketAddr,
        handler: Handler,
        stop: &CancellationToken,
    ) -> io::Result<()>
    where
        Handler: Fn(Request) -> ReplyFuture + Clone + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Reply: Serialize + Send + 'static,
        ReplyFuture: Future<Output = Reply> + Send + 'static,
    {
        let listener = listen_with_queue(address, Some(SYSTEM_QUEUE as usize))?;
        let links = TaskTracker::new();
        let server = LinkServer::new(self.acceptor.clone(), self.limits, stop.clone());
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = accept(&listener, "a link") => accepted,
            };
            let Some(stream) = accepted else {
                continue;
            };
            let Ok(lease) = server.handshakes.open_connection().await else {
                log::info!("a link is closed: peers occupy all connections");
                continue;
            };
            let serving = server.clone().serve(stream, lease, handler.clone());
            links.spawn(async move {
                if let Err(error) = serving.await {
                    log::debug!("a link from a peer ended: {error}");
                }
            });
        }
        drop(listener);
        links.close();
        if tokio::time::timeout(STOP_TIMEOUT, links.wait())
            .await
            .is_err()
        {
            log::info!(
                "{} links are still open at the end of the process",
                links.len()
            );
        }
        Ok(())
    }
}

/// Drives the connection to one peer for as long as the instance runs.
struct PeerDriver {
    address: SocketAddr,
    connector: TlsConnector,
    jobs: mpsc::Receiver<LinkJob>,
}

impl PeerDriver {
    async fn run(mut self) {
        let mut next_job: Option<LinkJob> = None;
        loop {
            if next_job.is_none() {
                next_job = self.jobs.recv().await;
            }
            let Some(job) = next_job.take() else {
                return;
            };
            let connected = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
            match connected.await {
                Ok(Ok(stream)) => {
                    let mut link = OpenLink::new(stream);
                    link.add(job);
                    let ended = link.run(&mut self.jobs).await;
                    log::debug!("the link to {} ended: {ended}", self.address);
                    if link.is_stopping {
                        tokio::spawn(link.receive_outstanding());
                    }
                }
                Ok(Err(error)) => self.fail_queued(&error.to_string()).await,
                Err(_) => self.fail_queued("connecting timed out").await,
            }
        }
    }

    async fn connect(&self) -> io::Result<TlsStream<TcpStream>> {
        let socket = match self.address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_recv_buffer_size(SYSTEM_QUEUE)?;
        let stream = socket.connect(self.address).await?;
        let limits = link_limits(SocketLimits::for_calls());
        apply_limits(&stream, &limits)?;
        let name = ServerName::try_from(SERVER_NAME).map_err(io::Error::other)?;
        self.connector.connect(name, stream).await
    }

    /// Fails the queued requests and those that arrive during a short pause. Dropping a job closes the channel of its
    /// reply, which reports the failure to the caller.
    async fn fail_queued(&mut self, reason: &str) {
        log::debug!("the link to {} can't be opened: {reason}", self.address);
        let pause = tokio::time::sleep(RETRY_DELAY);
        tokio::pin!(pause);
        loop {
            tokio::select! {
                () = &mut pause => return,
                job = self.jobs.recv() => if job.is_none() {
                    return;
                },
            }
        }
    }
}

/// An open connection with its pending requests.
struct OpenLink {
    stream: TlsStream<TcpStream>,
    received: BytesMut,
    output: BytesMut,
    pending: HashMap<u64, oneshot::Sender<Bytes>>,
    last_number: u64,
    /// Whether the peer is stopping: it replies to the requests that it has received, and no new ones are sent to it.
    is_stopping: bool,
    /// When data was received last, or the first of the pending requests was sent.
    last_activity: Instant,
}

impl OpenLink {
    fn new(stream: TlsStream<TcpStream>) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            output: BytesMut::new(),
            pending: HashMap::new(),
            last_number: STOP_NUMBER,
            is_stopping: false,
            last_activity: Instant::now(),
        }
    }

    fn add(&mut self, job: LinkJob) {
        if self.pending.is_empty() {
            self.last_activity = Instant::now();
        }
        self.last_number += 1;
        self.pending.insert(self.last_number, job.reply);
        append_frame(&mut self.output, self.last_number, &job.message.bytes);
    }

    /// Transfers requests and replies until the connection fails or the peer is stopping; returns the reason.
    async fn run(&mut self, jobs: &mut mpsc::Receiver<LinkJob>) -> io::Error {
        while !self.is_stopping {
            if let Err(error) = self.transfer(jobs).await {
                return error;
            }
        }
        io::Error::other("the peer is stopping")
    }

    /// Receives the outstanding replies of a stopping peer.
    async fn receive_outstanding(mut self) {
        while !self.pending.is_empty() {
            self.received.reserve(READ_RESERVE);
            let reading = self.stream.read_buf(&mut self.received);
            let read = match tokio::time::timeout(SILENCE_TIMEOUT, reading).await {
                Ok(read) => read,
                Err(_) => Err(io::ErrorKind::TimedOut.into()),
            };
            if let Err(error) = read.and_then(|count| self.deliver_replies(count)) {
                let missing = self.pending.len();
                log::debug!("a stopping peer left {missing} requests without a reply: {error}");
                return;
            }
        }
    }

    /// Delivers the complete replies in the buffer after `count` bytes were read.
    fn deliver_replies(&mut self, count: usize) -> io::Result<()> {
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.last_activity = Instant::now();
        while let Some((number, message)) = take_frame(&mut self.received)? {
            if number == STOP_NUMBER {
                self.is_stopping = true;
                continue;
            }
            if let Some(reply) = self.pending.remove(&number) {
                // The caller may have stopped waiting.
                let _ = reply.send(message);
            }
        }
        Ok(())
    }

    async fn transfer(&mut self, jobs: &mut mpsc::Receiver<LinkJob>) -> io::Result<()> {
        while self.output.len() < WRITE_LIMIT {
            let Ok(job) = jobs.try_recv() else {
                break;
            };
            self.add(job);
        }
        if !self.output.is_empty() {
            let output = self.output.split();
            self.stream.write_all(&output).await?;
            self.stream.flush().await?;
        }
        self.received.reserve(READ_RESERVE);
        let deadline = self.last_activity + SILENCE_TIMEOUT;
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.received) => {
                self.deliver_replies(read?)?;
            }
            job = jobs.recv() => match job {
                Some(job) => self.add(job),
                None => return Err(io::ErrorKind::ConnectionAborted.into()),
            },
            () = tokio::time::sleep_until(deadline.into()), if !self.pending.is_empty() => {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }
}

fn link_limits(limits: SocketLimits) -> SocketLimits {
    SocketLimits {
        send_queue: Some(SYSTEM_QUEUE as usize),
        ..limits
    }
}
