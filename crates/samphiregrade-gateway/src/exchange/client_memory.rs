//! Bounds what an entry holds for its clients: connections, bodies that are being read, and requests in progress.
//!
//! docs/design/client-memory.md lists what is counted, what is bounded elsewhere, and who gives way.

use samphiregrade_http::{BudgetSettings, BudgetUse, MemoryBudget, MemoryLease, NoRoom};

use super::slow_readers::MemoryMegabytes;

/// Divisor of the machine's memory that gives the budget of all clients.
const BUDGET_DIVISOR: u64 = 3;

/// Divisor of the descriptors that gives the largest number of client connections; upstreams, keepers and files need the
/// others.
const CONNECTION_DIVISOR: u64 = 2;

/// Memory of an open connection in bytes: its task, its read buffer, and most of its receive queue.
pub const CONNECTION_BYTES: usize = 32 << 10;

/// Memory of a request in progress in bytes, without its body: its task, and the buffers towards client and upstream.
const REQUEST_BYTES: usize = 16 << 10;

/// The system's receive queue of a client connection, in bytes: a body of ordinary size fits.
pub const RECEIVE_QUEUE: usize = 32 << 10;

/// Number of keepers that get a copy of a retained turn.
const KEEPER_COPIES: usize = 3;

/// Number of descriptors of a process.
pub type DescriptorCount = u64;

/// What the machine offers to the process.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// Memory.
    pub memory: MemoryMegabytes,
    /// Descriptors that the process may open.
    pub descriptors: DescriptorCount,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory: 256,
            descriptors: 4096,
        }
    }
}

/// Memory that a request with its body needs while it is in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestSize {
    /// Length of the client's body.
    pub body: usize,
    /// Length of the earlier turns that precede the body, once they are known.
    pub history: usize,
    /// Whether the turn is stored by the keepers.
    pub is_retained: bool,
}

impl RequestSize {
    /// Returns the bytes to count, with those of the connection: the body, what is sent to the upstream, and for a
    /// retained turn the copy for the cache and one for each keeper.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let complete = self.body + self.history;
        let combined = if self.history > 0 { complete } else { 0 };
        let stored = if self.is_retained {
            complete + stored_copies(self.body)
        } else {
            0
        };
        // What was sent to the upstream is released before the turn is stored.
        CONNECTION_BYTES + REQUEST_BYTES + self.body + combined + complete.max(stored)
    }
}

/// Returns the bytes that the copies of a turn on their way to the keepers occupy.
pub(super) fn stored_copies(body: usize) -> usize {
    KEEPER_COPIES * body
}

/// The memory that the clients of an entry share.
#[derive(Clone, Debug)]
pub struct ClientMemory {
    budget: MemoryBudget,
}

impl ClientMemory {
    /// Returns the bounds for a machine.
    #[must_use]
    pub fn new(machine: MachineLimits) -> Self {
        let bytes = machine.memory.saturating_mul(1 << 20) / BUDGET_DIVISOR;
        let connections = machine.descriptors / CONNECTION_DIVISOR;
        let settings = BudgetSettings {
            bytes: usize::try_from(bytes).unwrap_or(usize::MAX),
            connection_bytes: CONNECTION_BYTES,
            connections: usize::try_from(connections).unwrap_or(usize::MAX),
        };
        Self {
            budget: MemoryBudget::new(settings),
        }
    }

    /// Counts a new connection.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if no connection can give way.
    pub async fn open_connection(&self) -> Result<MemoryLease, NoRoom> {
        self.budget.open_connection().await
    }

    /// Counts a new connection if there is room without any other giving way.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if there is none.
    pub fn try_open_connection(&self) -> Result<MemoryLease, NoRoom> {
        self.budget.try_open_connection()
    }

    /// Returns whether a request fits into the memory if nothing else is in progress.
    #[must_use]
    pub fn can_hold(&self, size: RequestSize) -> bool {
        size.bytes() <= self.budget.largest_lease()
    }

    /// Counts a request that was read completely, or that has become larger, in the lease of its connection.
    ///
    /// A request of a size that the clients' limits permit is served if nothing else is in progress, on a machine of any
    /// size.
    ///
    /// # Errors
    ///
    /// [`NoRoom`] if nobody can give way.
    pub async fn admit(&self, lease: &mut MemoryLease, size: RequestSize) -> Result<(), NoRoom> {
        let bytes = size.bytes().min(self.budget.largest_lease());
        lease.grow_to(bytes.max(lease.bytes())).await
    }

    /// Returns what is held.
    #[must_use]
    pub fn occupied(&self) -> BudgetUse {
        self.budget.occupied()
    }
}
