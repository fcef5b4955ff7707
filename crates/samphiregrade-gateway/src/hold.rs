//! Locking a mutex that may be poisoned.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if a previous holder panicked: the state that mutexes of this crate guard is consistent after
/// every statement.
pub(crate) fn lock_ignoring_poison<Value>(mutex: &Mutex<Value>) -> MutexGuard<'_, Value> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
