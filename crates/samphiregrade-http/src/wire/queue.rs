//! Size of a connection's kernel send queue.

// No safe interface offers this ioctl, which writes one integer for an open descriptor and nothing else.
#![allow(unsafe_code)]

use std::io;
use std::os::fd::{AsFd, AsRawFd};

use nix::libc;

nix::ioctl_read_bad!(read_output_queue, libc::TIOCOUTQ, libc::c_int);

/// Returns the number of bytes that were written to a connection and not yet acknowledged by the peer's system.
///
/// # Errors
///
/// The system's error if it doesn't report the number.
pub fn unacknowledged<Connection>(connection: &Connection) -> io::Result<usize>
where
    Connection: AsFd,
{
    let mut bytes: libc::c_int = 0;
    // SAFETY: the descriptor is borrowed for the call, and the pointer is to an integer of the call's type.
    unsafe { read_output_queue(connection.as_fd().as_raw_fd(), &raw mut bytes) }?;
    usize::try_from(bytes).map_err(io::Error::other)
}
