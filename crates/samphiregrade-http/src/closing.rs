//! Shutting a server down without losing accepted requests: counting requests and closing the listener.

use std::io;
use std::net::{Shutdown, TcpListener};
use std::os::fd::AsFd;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use nix::poll::{PollFd, PollFlags, PollTimeout, poll};
use socket2::{SockFilter, Socket};

/// Time for TCP handshakes in progress to complete: a round trip between distant regions.
const HANDSHAKE_TIME: Duration = Duration::from_millis(200);

/// Longest wait for the accept queue to become empty; an event loop that needs longer is stuck.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two checks of the accept queue: long enough for the event loop to accept some connections.
const QUEUE_PAUSE: Duration = Duration::from_micros(200);

/// Counts the requests of a server and marks when new requests are to be refused.
///
/// Requests that arrive after the gate was closed are counted separately: callers that keep sending requests must not
/// keep a server from shutting down.
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
    /// Marks every request that arrives from now on as to be refused.
    pub fn close(&self) {
        self.state.closed.store(true, Ordering::SeqCst);
    }

    /// Returns whether requests are to be refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.state.closed.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in progress that arrived before the gate was closed.
    #[must_use]
    pub fn admitted(&self) -> usize {
        self.state.admitted.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in progress, late requests included.
    #[must_use]
    pub fn under_way(&self) -> usize {
        self.admitted() + self.state.late.load(Ordering::SeqCst)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub(crate) fn enter(&self) -> RequestGuard {
        // The request is counted before the gate is checked: a caller that closes the gate and then reads a count of
        // zero knows that no further request will be admitted.
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

/// Counts one request as in progress until the guard is dropped.
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
/// An event loop that receives the stop signal drops the listener with the connections in the kernel's accept queue,
/// and with those that the loop has accepted but not yet handed to a worker. Closed from outside, the listener accepts
/// no more connections while the event loop still serves all existing connections.
#[derive(Debug)]
pub struct ListenerCloser {
    socket: Socket,
}

impl ListenerCloser {
    /// Creates the closer of a listener that is about to be handed to an event loop.
    ///
    /// # Errors
    ///
    /// Returns the system's error if the listener can't be shared.
    pub fn of(listener: &TcpListener) -> io::Result<Self> {
        let socket = Socket::from(listener.try_clone()?);
        Ok(Self { socket })
    }

    /// Closes the listener while no connection is being opened and the accept queue is empty.
    ///
    /// # Errors
    ///
    /// Returns the system's error; the listener may still be open in that case.
    pub async fn close(&self) -> io::Result<()> {
        if let Err(error) = self.socket.attach_filter(&drop_syn_packets()) {
            // Without the filter, connections opened at the moment of closing are reset.
            log::warn!("listener closes without a filter error={error}");
        }
        tokio::time::sleep(HANDSHAKE_TIME).await;
        let deadline = Instant::now() + QUEUE_TIMEOUT;
        while self.has_pending_connections()? {
            if Instant::now() >= deadline {
                log::warn!("listener closed while connections waited to be accepted");
                break;
            }
            tokio::time::sleep(QUEUE_PAUSE).await;
        }
        self.socket.shutdown(Shutdown::Read)
    }

    fn has_pending_connections(&self) -> io::Result<bool> {
        let mut polled = [PollFd::new(self.socket.as_fd(), PollFlags::POLLIN)];
        Ok(poll(&mut polled, PollTimeout::ZERO)? > 0)
    }
}

/// Returns a packet filter that drops the first packet (SYN) of every connection.
///
/// Without the filter, a connection opened between the check of the accept queue and the closing would be reset with
/// its request. With the filter, the connection is not opened: the client's system retries a second later and finds the
/// port closed or the next process listening.
fn drop_syn_packets() -> [SockFilter; 5] {
    const LOAD_BYTE: u16 = 0x30;
    const AND: u16 = 0x54;
    const JUMP_IF_EQUAL: u16 = 0x15;
    const RETURN: u16 = 0x06;
    /// Offset of the flags in the TCP header; a filter on a TCP socket sees the segment from its header on.
    const FLAGS_OFFSET: u32 = 13;
    const SYN: u32 = 0x02;
    const ACK: u32 = 0x10;
    const DROP: u32 = 0;
    const ACCEPT_WHOLE: u32 = u32::MAX;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(AND, 0, 0, SYN | ACK),
        SockFilter::new(JUMP_IF_EQUAL, 0, 1, SYN),
        SockFilter::new(RETURN, 0, 0, DROP),
        SockFilter::new(RETURN, 0, 0, ACCEPT_WHOLE),
    ]
}
