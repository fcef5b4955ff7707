//! Free ports of the loopback interface.

use std::io;
use std::net::{TcpListener, UdpSocket};
use std::sync::Mutex;
use std::sync::PoisonError;

/// Ports that the system does not give to outgoing connections by itself.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Step between the ports at which two processes begin to look.
const PROCESS_STEP: u32 = 211;

/// The port to be tried next.
static NEXT: Mutex<Option<u16>> = Mutex::new(None);

/// Returns a port that is free for TCP and UDP and was not given out before.
///
/// # Errors
///
/// Returns an error where no port is free.
pub fn free_port() -> io::Result<u16> {
    let mut next = NEXT.lock().unwrap_or_else(PoisonError::into_inner);
    let mut port = next.unwrap_or_else(first_port);
    for _ in PORTS {
        let candidate = port;
        port = if port + 1 < PORTS.end {
            port + 1
        } else {
            PORTS.start
        };
        let free = TcpListener::bind(("127.0.0.1", candidate)).is_ok()
            && UdpSocket::bind(("127.0.0.1", candidate)).is_ok();
        if free {
            *next = Some(port);
            return Ok(candidate);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Chooses where this process begins to look, so that several do not meet.
fn first_port() -> u16 {
    let count = u32::from(PORTS.end - PORTS.start);
    let offset = (std::process::id() * PROCESS_STEP) % count;
    PORTS.start + u16::try_from(offset).unwrap_or(0)
}
