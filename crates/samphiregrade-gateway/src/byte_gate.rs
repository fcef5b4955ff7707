//! Bounds the bytes of large messages that are handled at the same time; further ones wait.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes for which one permit stands.
const PERMIT_BYTES: usize = 1 << 10;

/// Counts bytes until it is dropped.
pub(crate) type GatePermit = Option<OwnedSemaphorePermit>;

/// A semaphore over bytes; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct ByteGate {
    semaphore: Arc<Semaphore>,
    permits: usize,
}

impl ByteGate {
    /// Creates a gate for a number of bytes.
    pub(crate) fn new(bytes: usize) -> Self {
        let permits = (bytes / PERMIT_BYTES).max(1);
        Self {
            semaphore: Arc::new(Semaphore::new(permits)),
            permits,
        }
    }

    /// Waits until there is room for some bytes. More than the gate has room for wait until nothing else is counted.
    pub(crate) async fn enter(&self, bytes: usize) -> GatePermit {
        let permits = bytes.div_ceil(PERMIT_BYTES).min(self.permits);
        let permits = u32::try_from(permits).unwrap_or(u32::MAX);
        // The semaphore is never closed, which is the only failure.
        let acquired = self.semaphore.clone().acquire_many_owned(permits).await;
        acquired.ok()
    }
}
