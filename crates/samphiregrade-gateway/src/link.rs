//! Links between instances: typed requests and replies, many at a time on one connection, TLS over TCP.
//!
//! QUIC was tried first and left (docs/design/deployment.md has the figures): on the small machines each
//! datagram costs a system call, and a rebuild's megabytes overran the sockets' buffers. Connections with
//! one request at a time were left as well: a keeper that was away for half a second came back to a
//! handshake for each waiting request and never caught up. So each peer has one connection, one task that
//! drives it, and at most one handshake at a time.
//!
//! A peer that is told to stop says so on its connections and answers what has come on them: whoever asks would
//! lose answers that are on their way otherwise, and could not tell which questions had arrived.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use rustls::pki_types::ServerName;
use samphiregrade_http::wire::{SocketLimits, apply_limits, listen};
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_rustls::client::TlsStream;
use tokio_rustls::{TlsAcceptor, TlsConnector};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::accept::accept;
use crate::identity::{LinkIdentity, SERVER_NAME};

/// Largest accepted message; the longest chain and one part of an export fit.
const MESSAGE_LIMIT: usize = 64 << 20;

/// Bytes of a frame before its message: number of the request and length.
const FRAME_HEAD: usize = 12;

/// Number of the frame that says that its sender is about to stop; requests are numbered from one. It says nothing to a
/// peer that doesn't know it.
const LEAVE_NUMBER: u64 = 0;

/// Longest time for which a peer that stops answers what has come: a question may be held for some hundreds of
/// milliseconds, and a small disk takes as long at worst.
const LEAVE_LIMIT: Duration = Duration::from_secs(1);

/// Messages that may wait for one peer; more fail at once.
const QUEUE_LIMIT: usize = 1024;

/// Bytes that are gathered into one write at most.
const WRITE_BYTES: usize = 256 << 10;

/// Room made before each read.
const READ_ROOM: usize = 16 << 10;

/// Idle time after which the accepting side closes a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for a connection with its handshake; slow machines need some hundreds of milliseconds
/// while all of them start.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause after a failed connection, in which requests fail at once.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);

/// Silence on a connection with an unanswered request after which it is given up: the path may be silent for
/// it alone. A keeper's answer takes some milliseconds, its disk at worst hundreds.
const SILENCE_LIMIT: Duration = Duration::from_millis(900);

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

fn unreadable<Source>(error: Source) -> LinkFailure
where
    Source: std::fmt::Display,
{
    LinkFailure::Unreadable(error.to_string())
}

/// A request for a peer, with where its reply goes.
struct LinkJob {
    message: Vec<u8>,
    reply: oneshot::Sender<Bytes>,
}

/// The endpoint of an instance; cloning it is cheap.
#[derive(Clone)]
pub struct LinkEndpoint {
    connector: TlsConnector,
    acceptor: TlsAcceptor,
    peers: Arc<Mutex<HashMap<SocketAddr, mpsc::Sender<LinkJob>>>>,
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
            peers: Arc::default(),
        })
    }

    /// Asks another instance.
    ///
    /// # Errors
    ///
    /// [`LinkFailure`] where there is no readable reply in time; the request may have arrived.
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
        let answer = self.send(address, request)?;
        match tokio::time::timeout(timeout, answer).await {
            Err(_) => Err(LinkFailure::TimedOut),
            Ok(Err(_)) => Err(closed("the connection failed")),
            Ok(Ok(bytes)) => postcard::from_bytes(&bytes).map_err(unreadable),
        }
    }

    /// Tells another instance something, without waiting for its reply.
    ///
    /// # Errors
    ///
    /// [`LinkFailure`] where it can't be sent; nobody knows whether it arrives otherwise.
    pub fn notify<Request>(&self, address: SocketAddr, request: &Request) -> Result<(), LinkFailure>
    where
        Request: Serialize,
    {
        self.send(address, request).map(drop)
    }

    /// Hands a request to the task that drives the connection to a peer; returns where its reply comes.
    fn send<Request>(
        &self,
        address: SocketAddr,
        request: &Request,
    ) -> Result<oneshot::Receiver<Bytes>, LinkFailure>
    where
        Request: Serialize,
    {
        let message = postcard::to_stdvec(request).map_err(unreadable)?;
        let (reply, answer) = oneshot::channel();
        let job = LinkJob { message, reply };
        self.peer(address).try_send(job).map_err(closed)?;
        Ok(answer)
    }

    /// Returns the queue of the task that drives the connection to a peer.
    fn peer(&self, address: SocketAddr) -> mpsc::Sender<LinkJob> {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = peers.get(&address) {
            return peer.clone();
        }
        let (sender, jobs) = mpsc::channel(QUEUE_LIMIT);
        let driver = PeerDriver {
            address,
            connector: self.connector.clone(),
            jobs,
        };
        tokio::spawn(driver.run());
        peers.insert(address, sender.clone());
        sender
    }

    /// Answers other instances on an address, for as long as the process runs.
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
        let never = CancellationToken::new();
        self.serve_until(address, handler, &never).await
    }

    /// Answers other instances on an address until told to stop: then no connection is taken any more, peers are told,
    /// and what has come from them is answered, for a limited time.
    ///
    /// # Errors
    ///
    /// The system's error where the port is taken.
    pub async fn serve_until<Handler, Request, Reply, Answering>(
        &self,
        address: SocketAddr,
        handler: Handler,
        stop: &CancellationToken,
    ) -> io::Result<()>
    where
        Handler: Fn(Request) -> Answering + Clone + Send + Sync + 'static,
        Request: DeserializeOwned + Send + 'static,
        Reply: Serialize + Send + 'static,
        Answering: Future<Output = Reply> + Send + 'static,
    {
        let listener = listen(address)?;
        let links = TaskTracker::new();
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => break,
                accepted = accept(&listener, "a link") => accepted,
            };
            let Some(stream) = accepted else {
                continue;
            };
            let acceptor = self.acceptor.clone();
            let handler = handler.clone();
            let stop = stop.clone();
            links.spawn(async move {
                if let Err(error) = serve_link(stream, acceptor, handler, stop).await {
                    log::debug!("a link ended: {error}");
                }
            });
        }
        drop(listener);
        links.close();
        if tokio::time::timeout(LEAVE_LIMIT, links.wait())
            .await
            .is_err()
        {
            log::info!("{} links are left open when the process ends", links.len());
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
        let mut first: Option<LinkJob> = None;
        loop {
            if first.is_none() {
                first = self.jobs.recv().await;
            }
            let Some(job) = first.take() else {
                return;
            };
            let connecting = tokio::time::timeout(CONNECT_TIMEOUT, self.connect());
            match connecting.await {
                Ok(Ok(stream)) => {
                    let mut link = OpenLink::new(stream);
                    link.add(job);
                    let ended = link.run(&mut self.jobs).await;
                    log::debug!("the link to {} ended: {ended}", self.address);
                    if link.is_leaving {
                        tokio::spawn(link.finish());
                    }
                }
                Ok(Err(error)) => self.fail_waiting(&error.to_string()).await,
                Err(_) => self.fail_waiting("no connection in time").await,
            }
        }
    }

    async fn connect(&self) -> io::Result<TlsStream<TcpStream>> {
        let stream = TcpStream::connect(self.address).await?;
        let limits = SocketLimits::for_calls();
        apply_limits(&stream, &limits)?;
        let name = ServerName::try_from(SERVER_NAME).map_err(io::Error::other)?;
        self.connector.connect(name, stream).await
    }

    /// Fails what waits now and what comes during a short pause: dropping a job tells its asker.
    async fn fail_waiting(&mut self, reason: &str) {
        log::debug!("the link to {} can't be opened: {reason}", self.address);
        let pause = tokio::time::sleep(CONNECT_PAUSE);
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

/// An open connection with its unanswered requests.
struct OpenLink {
    stream: TlsStream<TcpStream>,
    received: BytesMut,
    output: BytesMut,
    pending: HashMap<u64, oneshot::Sender<Bytes>>,
    next: u64,
    /// Whether the peer is about to stop: it answers what it has got, and nothing new is sent to it.
    is_leaving: bool,
    /// When something was heard last, or the first of the unanswered requests was sent.
    heard: Instant,
}

impl OpenLink {
    fn new(stream: TlsStream<TcpStream>) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            output: BytesMut::new(),
            pending: HashMap::new(),
            next: LEAVE_NUMBER,
            is_leaving: false,
            heard: Instant::now(),
        }
    }

    fn add(&mut self, job: LinkJob) {
        if self.pending.is_empty() {
            self.heard = Instant::now();
        }
        self.next += 1;
        self.pending.insert(self.next, job.reply);
        append_frame(&mut self.output, self.next, &job.message);
    }

    /// Carries requests and replies until the connection fails or the peer stops; returns why.
    async fn run(&mut self, jobs: &mut mpsc::Receiver<LinkJob>) -> io::Error {
        while !self.is_leaving {
            if let Err(error) = self.step(jobs).await {
                return error;
            }
        }
        io::Error::other("the peer is about to stop")
    }

    /// Takes the replies that a peer still owes which is about to stop.
    async fn finish(mut self) {
        while !self.pending.is_empty() {
            self.received.reserve(READ_ROOM);
            let reading = self.stream.read_buf(&mut self.received);
            let read = match tokio::time::timeout(SILENCE_LIMIT, reading).await {
                Ok(read) => read,
                Err(_) => Err(io::ErrorKind::TimedOut.into()),
            };
            if let Err(error) = read.and_then(|count| self.take_replies(count)) {
                let owed = self.pending.len();
                log::debug!("a peer that stops owes {owed} replies: {error}");
                return;
            }
        }
    }

    /// Hands replies out after some bytes were read.
    fn take_replies(&mut self, count: usize) -> io::Result<()> {
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.heard = Instant::now();
        while let Some((number, message)) = take_frame(&mut self.received)? {
            if number == LEAVE_NUMBER {
                self.is_leaving = true;
                continue;
            }
            if let Some(reply) = self.pending.remove(&number) {
                // The asker may have given up.
                let _ = reply.send(message);
            }
        }
        Ok(())
    }

    async fn step(&mut self, jobs: &mut mpsc::Receiver<LinkJob>) -> io::Result<()> {
        while self.output.len() < WRITE_BYTES {
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
        self.received.reserve(READ_ROOM);
        let silent = self.heard + SILENCE_LIMIT;
        tokio::select! {
            biased;
            read = self.stream.read_buf(&mut self.received) => {
                self.take_replies(read?)?;
            }
            job = jobs.recv() => match job {
                Some(job) => self.add(job),
                None => return Err(io::ErrorKind::ConnectionAborted.into()),
            },
            () = tokio::time::sleep_until(silent.into()), if !self.pending.is_empty() => {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
        Ok(())
    }
}

fn append_frame(output: &mut BytesMut, number: u64, message: &[u8]) {
    output.reserve(FRAME_HEAD + message.len());
    output.put_u64(number);
    output.put_u32(u32::try_from(message.len()).unwrap_or(u32::MAX));
    output.put_slice(message);
}

/// Takes a whole frame off the front of the buffer: the request's number and the message.
fn take_frame(buffer: &mut BytesMut) -> io::Result<Option<(u64, Bytes)>> {
    if buffer.len() < FRAME_HEAD {
        return Ok(None);
    }
    let mut head = &buffer[..FRAME_HEAD];
    let number = head.get_u64();
    let length = usize::try_from(head.get_u32()).map_err(io::Error::other)?;
    if length > MESSAGE_LIMIT {
        return Err(io::Error::other("the message is too long"));
    }
    if buffer.len() < FRAME_HEAD + length {
        buffer.reserve(FRAME_HEAD + length - buffer.len());
        return Ok(None);
    }
    buffer.advance(FRAME_HEAD);
    Ok(Some((number, buffer.split_to(length).freeze())))
}

async fn serve_link<Handler, Request, Reply, Answering>(
    stream: TcpStream,
    acceptor: TlsAcceptor,
    handler: Handler,
    stop: CancellationToken,
) -> io::Result<()>
where
    Handler: Fn(Request) -> Answering + Clone + Send + 'static,
    Request: DeserializeOwned + Send + 'static,
    Reply: Serialize + Send + 'static,
    Answering: Future<Output = Reply> + Send + 'static,
{
    apply_limits(&stream, &SocketLimits::default())?;
    let mut link = tokio::time::timeout(CONNECT_TIMEOUT, acceptor.accept(stream)).await??;
    let (replies, mut answered) = mpsc::channel::<(u64, Vec<u8>)>(QUEUE_LIMIT);
    let mut received = BytesMut::new();
    let mut is_leaving = false;
    loop {
        received.reserve(READ_ROOM);
        tokio::select! {
            () = stop.cancelled(), if !is_leaving => {
                is_leaving = true;
                let mut output = BytesMut::new();
                append_frame(&mut output, LEAVE_NUMBER, &[]);
                link.write_all(&output).await?;
                link.flush().await?;
            }
            read = link.read_buf(&mut received) => {
                if read? == 0 {
                    return Ok(());
                }
                while let Some((number, message)) = take_frame(&mut received)? {
                    let request = postcard::from_bytes(&message).map_err(io::Error::other)?;
                    let handler = handler.clone();
                    let replies = replies.clone();
                    tokio::spawn(async move {
                        let reply = handler(request).await;
                        match postcard::to_stdvec(&reply) {
                            // The link may have ended meanwhile.
                            Ok(bytes) => drop(replies.send((number, bytes)).await),
                            Err(error) => log::error!("a reply can't be encoded: {error}; report it"),
                        }
                    });
                }
            }
            Some((number, message)) = answered.recv() => {
                let mut output = BytesMut::new();
                append_frame(&mut output, number, &message);
                while output.len() < WRITE_BYTES {
                    let Ok((number, message)) = answered.try_recv() else {
                        break;
                    };
                    append_frame(&mut output, number, &message);
                }
                link.write_all(&output).await?;
                link.flush().await?;
            }
            () = tokio::time::sleep(IDLE_TIMEOUT) => return Ok(()),
        }
    }
}
