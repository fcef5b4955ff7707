//! Body of a request while it is being read, counted in the lease of its connection.

use bytes::Bytes;
use samphiregrade_http::{MemoryLease, NoRoom};

use crate::exchange::client_memory::CONNECTION_BYTES;

/// Capacity with which the buffer of a body begins, in bytes.
const FIRST_CAPACITY: usize = 16 << 10;

/// The part of a body that has arrived.
///
/// A body that arrives in one piece is not copied; that piece is part of the connection's read buffer.
pub(super) struct BodyBuffer {
    first: Option<Bytes>,
    rest: Vec<u8>,
    /// Length of the complete body, or the largest one.
    longest: usize,
}

impl BodyBuffer {
    pub(super) fn new(longest: usize) -> Self {
        Self {
            first: None,
            rest: Vec::new(),
            longest,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.first.as_ref().map_or(self.rest.len(), Bytes::len)
    }

    /// Adds a piece once there is room for it.
    pub(super) async fn add(&mut self, data: Bytes, lease: &mut MemoryLease) -> Result<(), NoRoom> {
        if self.rest.is_empty() && self.first.is_none() {
            self.first = Some(data);
            return Ok(());
        }
        let length = self.len() + data.len();
        if length > self.rest.capacity() {
            let doubled = self.rest.capacity().max(FIRST_CAPACITY / 2) * 2;
            let capacity = doubled.min(self.longest).max(length);
            lease.grow_to(CONNECTION_BYTES + capacity).await?;
            self.rest.reserve_exact(capacity - self.rest.len());
        }
        if let Some(first) = self.first.take() {
            self.rest.extend_from_slice(&first);
        }
        self.rest.extend_from_slice(&data);
        Ok(())
    }

    pub(super) fn into_bytes(self) -> Bytes {
        self.first.unwrap_or_else(|| self.rest.into())
    }
}
