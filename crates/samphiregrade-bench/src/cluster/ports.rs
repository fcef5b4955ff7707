//! Free ports of the loopback interface.

use std::io;
use std::net::{TcpListener, UdpSocket};
use std::sync::Mutex;
use std::sync::PoisonError;

/// Ports below the range that the system assigns to outgoing connections.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Distance between the first ports that two processes with successive ids try.
const PROCESS_STEP: u32 = 211;

/// Port that is tried next.
static NEXT_PORT: Mutex<Option<u16>> = Mutex::new(None);

/// Returns a port that is free for TCP and UDP. The search continues after the last port returned, so that two calls
/// do not return the same port.
///
/// # Errors
///
/// Returns an error if no port is free.
pub fn free_port() -> io::Result<u16> {
    let mut next = NEXT_PORT.lock().unwrap_or_else(PoisonError::into_inner);
    let mut port = next.unwrap_or_else(first_port);
    for _ in PORTS {
        let candidate = port;
        port = if port + 1 < PORTS.end {
            port + 1
        } else {
            PORTS.start
        };
        let is_free = TcpListener::bind(("127.0.0.1", candidate)).is_ok()
            && UdpSocket::bind(("127.0.0.1", candidate)).is_ok();
        if is_free {
            *next = Some(port);
            return Ok(candidate);
        }
    }
    Err(io::Error::other("no port is free"))
}

/// Returns the first port that this process tries. The port depends on the process id, so that processes that run at
/// the same time do not choose the same ports.
fn first_port() -> u16 {
    let count = u32::from(PORTS.end - PORTS.start);
    let offset = (std::process::id() * PROCESS_STEP) % count;
    PORTS.start + u16::try_from(offset).unwrap_or(0)
}
