//! Free ports of the loopback interface.

use std::collections::BTreeSet;
use std::io;
use std::net::{TcpListener, UdpSocket};
use std::sync::{Mutex, PoisonError};

/// Ports given out already: a closed one may be offered again by the system.
static GIVEN: Mutex<BTreeSet<u16>> = Mutex::new(BTreeSet::new());

/// Returns a port that is free for TCP and UDP and was not given out before.
///
/// # Errors
///
/// Returns the error of the system where no port can be had.
pub fn free_port() -> io::Result<u16> {
    let mut given = GIVEN.lock().unwrap_or_else(PoisonError::into_inner);
    loop {
        let port = TcpListener::bind("127.0.0.1:0")?.local_addr()?.port();
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() && given.insert(port) {
            return Ok(port);
        }
    }
}
