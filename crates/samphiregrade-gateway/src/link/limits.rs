//! Bounds of what links hold.

use crate::exchange::MachineLimits;

/// Part of the descriptors that links may occupy, as a divisor.
const DESCRIPTOR_DIVISOR: u64 = 4;

/// Part of the machine's memory that the messages to one peer may occupy, as a divisor.
const QUEUE_DIVISOR: u64 = 32;

/// Part of the machine's memory that large received requests may have, as a divisor. A keeper holds up to four copies of a turn
/// until it is on disk: the message, its content, and two on the way to the disk.
const HANDLED_DIVISOR: u64 = 20;

/// Bounds of what links hold.
#[derive(Clone, Copy, Debug)]
pub struct LinkLimits {
    /// Bytes of the messages that wait to be sent to one peer. One message is accepted in any case.
    pub queued_bytes: usize,
    /// Bytes of the large requests that are received or handled at the same time, of all peers.
    pub handled_bytes: usize,
    /// Open connections of peers.
    pub connections: usize,
}

impl Default for LinkLimits {
    fn default() -> Self {
        Self::of(MachineLimits::default())
    }
}

impl LinkLimits {
    /// Returns the bounds for a machine.
    #[must_use]
    pub fn of(machine: MachineLimits) -> Self {
        let memory = machine.memory.saturating_mul(1 << 20);
        let size = |count: u64| usize::try_from(count).unwrap_or(usize::MAX);
        Self {
            queued_bytes: size(memory / QUEUE_DIVISOR),
            handled_bytes: size(memory / HANDLED_DIVISOR),
            connections: size(machine.descriptors / DESCRIPTOR_DIVISOR),
        }
    }
}
