//! Holding a lock whose former holder may have panicked.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex: what it guards here is whole between any two statements.
pub(crate) fn lock_ignoring_poison<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
