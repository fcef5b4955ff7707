//! A TCP socket that can be read and written at the same time by one task.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

use super::queue::unacknowledged;

/// Length of the accept queue; a burst of connections from every client of a failure domain fits.
pub const ACCEPT_QUEUE: u16 = 1024;

/// Bytes read ahead of a request that is being served; the head of a further request of the same client fits.
const READ_AHEAD: usize = 16 << 10;

/// Longest time that an orderly close waits for the peer to close its side: the peer has read the last response within
/// a few round trips, even if a packet was lost.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes that an orderly close discards: the data in flight when the last response was written. A peer that sends more
/// would continue regardless.
const DRAIN_LIMIT: usize = 4 << 20;

/// Buffer space reserved before each read, in bytes.
const READ_RESERVE: usize = 8 << 10;

/// When the operating system closes the connection to an unresponsive peer.
#[derive(Clone, Copy, Debug)]
pub struct LivenessLimits {
    /// Idle time after which the system sends a keepalive probe.
    pub probe_after: Duration,
    /// Time between two probes.
    pub probe_interval: Duration,
    /// Probes without a reply after which the operating system closes the connection.
    pub probe_count: u32,
    /// Longest time that sent bytes may stay unacknowledged.
    pub unacknowledged: Duration,
}

impl LivenessLimits {
    /// Returns the time after which an unresponsive path is detected, whether data was sent or not.
    #[must_use]
    pub fn detection_time(&self) -> Duration {
        let probed = self.probe_after + self.probe_interval * self.probe_count;
        probed.max(self.unacknowledged)
    }
}

impl Default for LivenessLimits {
    fn default() -> Self {
        Self {
            probe_after: Duration::from_secs(2),
            probe_interval: Duration::from_secs(1),
            probe_count: 2,
            unacknowledged: Duration::from_secs(4),
        }
    }
}

/// How a connection ends.
#[derive(Clone, Copy, Debug)]
pub struct SocketLimits {
    /// When the system closes the connection to an unresponsive peer; `None` if the caller's timeouts end all waits.
    pub liveness: Option<LivenessLimits>,
    /// Whether closing resets the connection. An orderly close leaves queued bytes to the kernel, which continues
    /// to send them for seconds: a request abandoned during a network partition would still arrive after the partition.
    pub reset_on_close: bool,
    /// Bytes that the system may queue for sending; `None` for the system's default, which grows to megabytes. The
    /// system also counts its overhead and allows twice as much.
    pub send_queue: Option<usize>,
}

impl SocketLimits {
    /// Returns the limits of a connection for calls that need no cancellation: closing resets the connection, and the
    /// system closes it if the peer is unresponsive.
    #[must_use]
    pub fn for_calls() -> Self {
        Self {
            reset_on_close: true,
            ..Self::default()
        }
    }

    /// Returns the limits of a connection on which a response may be held for a long time: an unresponsive path looks
    /// like a response that is not due yet, so only the system can detect it.
    #[must_use]
    pub fn for_held_responses() -> Self {
        Self {
            liveness: Some(LivenessLimits {
                probe_after: Duration::from_secs(1),
                probe_count: 1,
                unacknowledged: Duration::from_secs(2),
                ..LivenessLimits::default()
            }),
            reset_on_close: true,
            send_queue: None,
        }
    }

    /// Returns the limits of a connection that carries requests which must not arrive after they were abandoned.
    ///
    /// The system must not close the connection before its caller does: bytes still in the send queue may arrive then,
    /// and a reset can no longer discard them.
    #[must_use]
    pub fn for_requests() -> Self {
        Self {
            liveness: None,
            reset_on_close: true,
            send_queue: None,
        }
    }
}

impl Default for SocketLimits {
    fn default() -> Self {
        Self {
            liveness: Some(LivenessLimits::default()),
            reset_on_close: false,
            send_queue: None,
        }
    }
}

/// Listens on an address with an accept queue of [`ACCEPT_QUEUE`] connections.
///
/// # Errors
///
/// The system's error, for example if the port is in use.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    listen_with_queue(address, None)
}

/// Listens like [`listen`], with connections whose receive queues the system bounds to `receive_queue` bytes; without a
/// bound they grow to megabytes. The system also counts its overhead and allows twice as much.
///
/// # Errors
///
/// As [`listen`].
pub fn listen_with_queue(
    address: SocketAddr,
    receive_queue: Option<usize>,
) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    if let Some(bytes) = receive_queue {
        // Accepted connections inherit the bound; set later, it would come after their first bytes.
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE.into())?;
    TcpListener::from_std(socket.into())
}

/// Makes a connection send without delay, close when its peer becomes unresponsive, and reset on close as its limits
/// require.
///
/// # Errors
///
/// The system's error if an option can't be set.
pub fn apply_limits(stream: &TcpStream, limits: &SocketLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let options = SockRef::from(stream);
    if limits.reset_on_close {
        options.set_linger(Some(Duration::ZERO))?;
    }
    if let Some(bytes) = limits.send_queue {
        options.set_send_buffer_size(bytes)?;
    }
    let Some(liveness) = limits.liveness else {
        return Ok(());
    };
    let keepalive = TcpKeepalive::new()
        .with_time(liveness.probe_after)
        .with_interval(liveness.probe_interval)
        .with_retries(liveness.probe_count);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(liveness.unacknowledged))
}

/// A connected socket with its read buffer.
#[derive(Debug)]
pub struct WireSocket {
    stream: TcpStream,
    /// Bytes that were read and not yet consumed.
    pub buffer: BytesMut,
    /// Whether closing resets the connection.
    resets: bool,
}

impl WireSocket {
    /// Takes over an accepted or opened connection.
    ///
    /// # Errors
    ///
    /// The system's error if an option can't be set.
    pub fn new(stream: TcpStream, limits: &SocketLimits) -> io::Result<Self> {
        apply_limits(&stream, limits)?;
        Ok(Self {
            stream,
            buffer: BytesMut::new(),
            resets: limits.reset_on_close,
        })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The system's error, or a timeout.
    pub async fn connect(
        address: SocketAddr,
        timeout: Duration,
        limits: &SocketLimits,
    ) -> io::Result<Self> {
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await.map_err(io::Error::from)??;
        Self::new(stream, limits)
    }

    /// Reads the available bytes into the buffer; returns 0 if the peer has closed its side. Safe to cancel.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn fill(&mut self) -> io::Result<usize> {
        read_some(&self.stream, &mut self.buffer).await
    }

    /// Releases the spare capacity of the read buffer if nothing is left in it.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn write(&self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.stream.try_write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => bytes = &bytes[count..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Writes a request while already checking for a response; returns whether all bytes were written.
    ///
    /// A peer may respond before it has read the complete request. The write ends as soon as bytes of a
    /// response arrive.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn write_until_response(&mut self, bytes: &[u8]) -> io::Result<bool> {
        let Self { stream, buffer, .. } = self;
        let mut sent = 0;
        while sent < bytes.len() {
            match stream.try_write(&bytes[sent..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => sent += count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    tokio::select! {
                        biased;
                        read = read_some(stream, buffer) => {
                            if read? == 0 {
                                return Err(io::ErrorKind::UnexpectedEof.into());
                            }
                            return Ok(false);
                        }
                        ready = stream.writable() => ready?,
                    }
                }
                Err(error) => return Err(error),
            }
        }
        Ok(true)
    }

    /// Returns the number of bytes that were written and that the peer's system has not acknowledged.
    ///
    /// # Errors
    ///
    /// The system's error if it doesn't report the number.
    pub fn unacknowledged(&self) -> io::Result<usize> {
        unacknowledged(&self.stream)
    }

    /// Waits until the peer closes the connection, reading about 16 KiB ahead at most meanwhile. Safe to cancel.
    pub async fn wait_for_hangup(&mut self) {
        while self.buffer.len() < READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns whether the connection is open with nothing to read, and can be reused for another request.
    #[must_use]
    pub fn is_reusable(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0_u8; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Closes the sending side and discards further input, so that the last written bytes arrive: the system resets a
    /// connection that is closed with unread bytes, and the reset discards what the peer has not received yet.
    ///
    /// A connection that is to be reset is closed immediately.
    pub async fn close_gracefully(mut self) {
        if self.resets {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).shutdown(Shutdown::Write) {
            log::debug!("the connection was already closed: {error}");
            return;
        }
        // A peer that doesn't close its side within this time is closed without further waiting.
        let _ = tokio::time::timeout(DRAIN_TIMEOUT, discard_input(&mut self)).await;
    }

    /// Makes closing the connection reset it, so that the peer can't mistake a broken response for a complete one.
    pub fn reset_on_close(&mut self) {
        self.set_reset(true);
    }

    /// Makes closing the connection orderly again, once the written response is complete.
    pub fn clear_reset_on_close(&mut self) {
        self.set_reset(false);
    }

    fn set_reset(&mut self, resets: bool) {
        self.resets = resets;
        // If the option can't be set, the close is orderly; an incomplete chunked or counted body is still noticed.
        let _ = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
    }
}

async fn discard_input(socket: &mut WireSocket) {
    let mut left = DRAIN_LIMIT;
    while left > 0 {
        socket.buffer.clear();
        match socket.fill().await {
            // An error ends the connection too.
            Ok(0) | Err(_) => return,
            Ok(count) => left = left.saturating_sub(count),
        }
        // A peer that sends without a pause must not keep the thread from other connections.
        tokio::task::yield_now().await;
    }
}

async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_RESERVE);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            other => return other,
        }
    }
}
