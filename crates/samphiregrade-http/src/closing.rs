//! Ending a server without losing what it has taken: counting requests, and closing the listener.

use std::io;
use std::net::{Shutdown, TcpListener};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::{SockFilter, Socket};

/// Time for connections that are being opened to become complete: a round trip between far regions.
const HANDSHAKE_TIME: Duration = Duration::from_millis(200);

/// Longest wait for a moment in which no connection waits to be accepted; an event loop that takes longer is stuck.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two looks at the connections that wait to be accepted: long enough for the event loop to take some.
const QUEUE_PAUSE: Duration = Duration::from_micros(200);

/// Counts the requests of a server, and tells from when on they are to be refused.
///
/// Those that came after the gate was closed are counted by themselves: callers that keep coming must not keep a
/// server from ending.
#[derive(Clone, Debug, Default)]
pub struct RequestGate {
    state: Arc<GateState>,
}

#[derive(Debug, Default)]
struct GateState {
    closed: AtomicBool,
    admitted: AtomicUsize,
    late: AtomicUsize,
}

impl RequestGate {
    /// Has every request refused that comes from now on.
    pub fn close(&self) {
        self.state.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests are to be refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of requests under way that came before the gate was closed.
    #[must_use]
    pub fn admitted(&self) -> usize {
        self.state.admitted.load(Ordering::SeqCst)
    }

    /// Returns the number of requests under way, late ones included.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.admitted() + self.state.late.load(Ordering::SeqCst)
    }

    /// Counts a request in, until the returned value is dropped.
    pub(crate) fn enter(&self) -> RequestGuard {
        // It is counted before it is looked whether the gate is closed: who closes the gate and then finds none
        // counted knows that no other will be.
        self.state.admitted.fetch_add(1, Ordering::SeqCst);
        let late = self.is_closed();
        if late {
            self.state.late.fetch_add(1, Ordering::SeqCst);
            self.state.admitted.fetch_sub(1, Ordering::SeqCst);
        }
        RequestGuard {
            state: self.state.clone(),
            late,
        }
    }
}

/// A request that is counted as under way until this is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    state: Arc<GateState>,
    late: bool,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let counter = if self.late {
            &self.state.late
        } else {
            &self.state.admitted
        };
        counter.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Closes a listener that an event loop accepts from.
///
/// An event loop that is told to stop drops the listener with the connections that the system has taken meanwhile,
/// and those that it has accepted itself but not yet handed to a worker. Closed from outside, the listener takes no
/// more connections while the event loop still serves all those that it has.
#[derive(Debug)]
pub struct ListenerCloser {
    socket: Socket,
}

impl ListenerCloser {
    /// Makes the closer of a listener that is going to be handed to an event loop.
    ///
    /// # Errors
    ///
    /// Returns the system's error where the listener can't be shared.
    pub fn of(listener: &TcpListener) -> io::Result<Self> {
        let socket = Socket::from(listener.try_clone()?);
        Ok(Self { socket })
    }

    /// Closes the listener in a moment in which no connection is being opened or waits to be accepted.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the listener may be open then.
    pub async fn close(&self) -> io::Result<()> {
        if let Err(error) = self.socket.attach_filter(&drop_openings()) {
            // Connections that are opened in the very moment of the closing are reset then.
            log::warn!("listener closes without a filter error={error}");
        }
        tokio::time::sleep(HANDSHAKE_TIME).await;
        let deadline = Instant::now() + QUEUE_TIMEOUT;
        while self.has_waiting()? {
            if Instant::now() >= deadline {
                log::warn!("listener closed while connections waited to be accepted");
                break;
            }
            tokio::time::sleep(QUEUE_PAUSE).await;
        }
        self.socket.shutdown(Shutdown::Read)
    }

    fn has_waiting(&self) -> io::Result<bool> {
        let mut looked_at = [PollFd::new(self.socket.as_fd(), PollFlags::POLLIN)];
        Ok(poll(&mut looked_at, PollTimeout::ZERO)? > 0)
    }
}

/// A packet filter that drops the first packet of every connection.
///
/// Between a look at the queue and the closing a connection may be opened, and would be reset with its request. With
/// the filter none is: its client tries again a second later, and finds the port closed or the next process there.
fn drop_openings() -> [SockFilter; 5] {
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    /// Place of the flags in the header of a segment, where the filters of such sockets begin.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const DROP: u32 = 0;
    const TAKE_WHOLE: u32 = u32::MAX;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, TAKE_WHOLE),
    ]
}
