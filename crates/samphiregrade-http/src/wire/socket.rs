//! A TCP socket that can be read and written at the same time by one task.

use std::io;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use socket2::{Domain, Protocol, SockRef, Socket, TcpKeepalive, Type};
use tokio::net::{TcpListener, TcpStream};

use super::queue::unacknowledged;

/// New connections that may wait to be accepted; a burst of every client of a failure domain fits.
pub const ACCEPT_QUEUE: u16 = 1024;

/// Bytes read ahead of a request that is being served; a further request of the same client fits.
const READ_AHEAD: usize = 64 << 10;

/// Longest time that an end in order waits for the peer to end its side: it has read the last answer within some round
/// trips, also where a packet was lost.
const LAST_READ_TIME: Duration = Duration::from_secs(2);

/// Bytes that an end in order reads over: what was on its way when the last answer was written. Who sends more goes on
/// regardless.
const LAST_READ_BYTES: usize = 4 << 20;

/// Room made before each read.
const READ_ROOM: usize = 8 << 10;

/// When the system gives a silent peer up.
#[derive(Clone, Copy, Debug)]
pub struct SilenceLimits {
    /// Silence after which the system asks whether the peer is there.
    pub probe_after: Duration,
    /// Time between two such questions.
    pub probe_interval: Duration,
    /// Unanswered questions after which the connection is given up.
    pub probe_count: u32,
    /// Longest time that sent bytes may stay unacknowledged.
    pub unacknowledged: Duration,
}

impl SilenceLimits {
    /// Returns the time after which a silent path is noticed, whether something was sent or not.
    #[must_use]
    pub fn noticed_after(&self) -> Duration {
        let probed = self.probe_after + self.probe_interval * self.probe_count;
        probed.max(self.unacknowledged)
    }
}

impl Default for SilenceLimits {
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
    /// When the system gives a silent peer up; `None` where the caller's own times end all waiting.
    pub silence: Option<SilenceLimits>,
    /// Whether closing resets the connection. An orderly close leaves queued bytes to the kernel, which goes on
    /// sending them for seconds: a request that was given up while its path was cut would still arrive after it.
    pub reset_on_close: bool,
}

impl SocketLimits {
    /// Returns the limits of a connection for calls that nobody has to take back: reset when it is closed, and given up
    /// by the system where its peer is silent.
    #[must_use]
    pub fn for_calls() -> Self {
        Self {
            reset_on_close: true,
            ..Self::default()
        }
    }

    /// Returns the limits of a connection on which an answer may be held back for long: a silent path looks like an answer
    /// that is not due yet, so that the system alone can notice it.
    #[must_use]
    pub fn for_held_answers() -> Self {
        Self {
            silence: Some(SilenceLimits {
                probe_after: Duration::from_secs(1),
                probe_count: 1,
                unacknowledged: Duration::from_secs(2),
                ..SilenceLimits::default()
            }),
            reset_on_close: true,
        }
    }

    /// Returns the limits of a connection that carries requests which must not arrive after they were given up.
    ///
    /// The system must not end it before its caller does: what it still holds may arrive then, and can't be taken
    /// back by a reset any more.
    #[must_use]
    pub fn for_requests() -> Self {
        Self {
            silence: None,
            reset_on_close: true,
        }
    }
}

impl Default for SocketLimits {
    fn default() -> Self {
        Self {
            silence: Some(SilenceLimits::default()),
            reset_on_close: false,
        }
    }
}

/// Listens on an address with room for many waiting connections.
///
/// # Errors
///
/// The system's error, for example where the port is taken.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE.into())?;
    TcpListener::from_std(socket.into())
}

/// Makes a connection send at once, end when its peer falls silent, and close as its limits say.
///
/// # Errors
///
/// The system's error where an option can't be set.
pub fn apply_limits(stream: &TcpStream, limits: &SocketLimits) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let options = SockRef::from(stream);
    if limits.reset_on_close {
        options.set_linger(Some(Duration::ZERO))?;
    }
    let Some(silence) = limits.silence else {
        return Ok(());
    };
    let keepalive = TcpKeepalive::new()
        .with_time(silence.probe_after)
        .with_interval(silence.probe_interval)
        .with_retries(silence.probe_count);
    options.set_tcp_keepalive(&keepalive)?;
    options.set_tcp_user_timeout(Some(silence.unacknowledged))
}

/// A connected socket with the bytes that were read and not yet used.
#[derive(Debug)]
pub struct WireSocket {
    stream: TcpStream,
    /// Bytes that were read and not yet used.
    pub buffer: BytesMut,
    /// Whether closing resets the connection.
    resets: bool,
}

impl WireSocket {
    /// Takes over an accepted or opened connection.
    ///
    /// # Errors
    ///
    /// The system's error where an option can't be set.
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

    /// Reads what has come; 0 where the peer has ended its side. Safe to cancel.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn fill(&mut self) -> io::Result<usize> {
        read_some(&self.stream, &mut self.buffer).await
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

    /// Writes a request while already looking for an answer; returns whether all bytes left.
    ///
    /// A peer may answer before it has read the whole request. The write ends as soon as bytes of an
    /// answer are there.
    ///
    /// # Errors
    ///
    /// The connection's error.
    pub async fn write_until_answered(&mut self, bytes: &[u8]) -> io::Result<bool> {
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

    /// Returns the bytes that were written and that the peer's system has not acknowledged.
    ///
    /// # Errors
    ///
    /// The system's error where it does not tell.
    pub fn unacknowledged(&self) -> io::Result<usize> {
        unacknowledged(&self.stream)
    }

    /// Waits until the peer has hung up, reading a little ahead meanwhile. Safe to cancel.
    pub async fn hung_up(&mut self) {
        while self.buffer.len() < READ_AHEAD {
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        std::future::pending::<()>().await;
    }

    /// Returns whether the connection is open with nothing to read: fit for another request.
    #[must_use]
    pub fn is_quiet(&mut self) -> bool {
        if !self.buffer.is_empty() {
            return false;
        }
        let mut probe = [0_u8; 1];
        matches!(self.stream.try_read(&mut probe), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Ends the sending side and throws away what still comes, so that what was written last arrives: the system resets
    /// a connection that is closed with bytes unread, and with it goes what the peer has not taken yet.
    ///
    /// A connection that is to be reset ends at once.
    pub async fn end_in_order(mut self) {
        if self.resets {
            return;
        }
        if let Err(error) = SockRef::from(&self.stream).shutdown(Shutdown::Write) {
            log::debug!("a connection has ended by itself: {error}");
            return;
        }
        // A peer that does not end its side in this time is not waited for.
        let _ = tokio::time::timeout(LAST_READ_TIME, read_over(&mut self)).await;
    }

    /// Makes closing the connection reset it, so that the peer can't take its end for a whole answer.
    pub fn reset_on_close(&mut self) {
        self.set_reset(true);
    }

    /// Makes closing the connection an orderly end again: what was written is whole.
    pub fn close_in_order(&mut self) {
        self.set_reset(false);
    }

    fn set_reset(&mut self, resets: bool) {
        self.resets = resets;
        // Without the option the close is an orderly one; chunked and counted bodies still show the cut.
        let _ = SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO));
    }
}

async fn read_over(socket: &mut WireSocket) {
    let mut left = LAST_READ_BYTES;
    while left > 0 {
        socket.buffer.clear();
        match socket.fill().await {
            // An error ends the connection too.
            Ok(0) | Err(_) => return,
            Ok(count) => left = left.saturating_sub(count),
        }
    }
}

async fn read_some(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(READ_ROOM);
        match stream.try_read_buf(buffer) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            other => return other,
        }
    }
}
