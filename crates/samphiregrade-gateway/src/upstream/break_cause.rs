//! Finds out at once why an upstream broke off a request: whether its process has ended, as far as its address shows it.

use std::io;
use std::time::{Duration, Instant};

use super::peer::Upstream;

/// Time within which an upstream's host replies to a connection attempt; beyond it, the cause remains unknown.
const EXAMINATION_TIMEOUT: Duration = Duration::from_millis(50);

/// Time that a process takes to close all of its sockets when it ends.
const CLOSING_TIME: Duration = Duration::from_millis(5);

/// Number of connections that are opened to find out whether the process lives: the first one may be reset because the
/// process is ending.
const EXAMINATIONS: usize = 2;

/// Number of checks whether the idle connections to an upstream that refuses new ones stay open: on different connections, the
/// end of a process is noticed at different times.
const IDLE_CHECKS: usize = 4;

/// What is known of an upstream that broke off a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakCause {
    /// The process has ended without notice: nothing listens at its address, and no connection to it is open.
    Ended,
    /// The upstream had announced its end, and had served for as long as it has to after that.
    Leaving,
    /// Connections to the upstream's address are accepted, by its process or by another one.
    Serving,
    /// The upstream's host does not reply: the network path may be interrupted.
    Unreachable,
}

/// An examination of an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Examination {
    began: Instant,
    cause: BreakCause,
}

impl BreakCause {
    /// Returns the name used in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Ended => "ended",
            Self::Leaving => "leaving",
            Self::Serving => "serving",
            Self::Unreachable => "unreachable",
        }
    }
}

impl Upstream {
    /// Finds out why the upstream broke off a request at `broke_at`. An upstream that breaks off many requests at once is
    /// examined once.
    pub async fn examine_break(&self, broke_at: Instant) -> BreakCause {
        if self.has_announced_end(broke_at) {
            return BreakCause::Leaving;
        }
        let mut newest = self.examination().lock().await;
        if let Some(known) = newest.filter(|known| known.began >= broke_at) {
            return known.cause;
        }
        let began = Instant::now();
        let examining = tokio::time::timeout(EXAMINATION_TIMEOUT, self.examine_address());
        let cause = examining.await.unwrap_or(BreakCause::Unreachable);
        *newest = Some(Examination { began, cause });
        cause
    }

    async fn examine_address(&self) -> BreakCause {
        for _ in 0..EXAMINATIONS {
            let connected = self.connect().await;
            // The process may be closing its sockets at this moment.
            tokio::time::sleep(CLOSING_TIME).await;
            let mut socket = match connected {
                Ok(socket) => socket,
                Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                    return self.examine_idle().await;
                }
                Err(_) => return BreakCause::Unreachable,
            };
            if socket.is_reusable() {
                self.keep_idle(socket, None, Instant::now());
                return BreakCause::Serving;
            }
        }
        // A full upstream resets new connections.
        BreakCause::Serving
    }

    /// Finds out why the upstream refuses connections: a full one may do so while others are open, and a process that ends
    /// closes them all.
    async fn examine_idle(&self) -> BreakCause {
        for _ in 0..IDLE_CHECKS {
            if !self.has_open_idle() {
                return BreakCause::Ended;
            }
            tokio::time::sleep(CLOSING_TIME).await;
        }
        BreakCause::Serving
    }
}
