//! The text of a running answer, read by any number of callers from any offset.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::program::CallOutcome;

#[derive(Debug, Default)]
struct StreamState {
    text: String,
    generation: u32,
    outcome: Option<CallOutcome>,
    closed: bool,
}

/// The text of a running answer.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    state: Mutex<StreamState>,
    changed: Notify,
    readers: AtomicUsize,
    left: Mutex<Option<Instant>>,
}

/// What a reader gets.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamRead {
    /// More text.
    Text(String),
    /// The call was dispatched again; the text begins anew.
    Restarted,
    /// The whole text was read and this is the stored outcome.
    Finished(CallOutcome),
    /// The answer will not be finished here; ask again.
    Closed,
}

impl StreamBuffer {
    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds text that an engine has sent.
    pub fn push(&self, text: &str) {
        self.state().text.push_str(text);
        self.changed.notify_waiters();
    }

    /// Starts the text anew, before the call is dispatched again; readers are told.
    pub fn restart(&self) {
        let mut state = self.state();
        if state.text.is_empty() {
            return;
        }
        state.text.clear();
        state.generation += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Ends the text with the outcome, once that is stored.
    pub fn finish(&self, outcome: CallOutcome) {
        self.state().outcome = Some(outcome);
        self.changed.notify_waiters();
    }

    /// Ends the text without an outcome.
    pub fn close(&self) {
        self.state().closed = true;
        self.changed.notify_waiters();
    }

    /// Counts a reader in, until the returned value is dropped.
    #[must_use]
    pub fn reader(self: &Arc<Self>) -> StreamReader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        StreamReader {
            buffer: self.clone(),
            generation: AtomicU32::new(self.state().generation),
        }
    }

    /// Returns since when nobody reads; `None` while somebody does.
    #[must_use]
    pub fn unread_since(&self) -> Option<Instant> {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return None;
        }
        *self.left.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for what comes after an offset in bytes.
    ///
    /// An offset within a character or beyond the stored answer counts as the end of the text.
    async fn read(&self, offset: usize, generation: &AtomicU32) -> StreamRead {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                let seen = generation.swap(state.generation, Ordering::Relaxed);
                if seen != state.generation {
                    return StreamRead::Restarted;
                }
                if let Some(more) = state.text.get(offset..).filter(|more| !more.is_empty()) {
                    return StreamRead::Text(more.to_owned());
                }
                if let Some(outcome) = &state.outcome {
                    return StreamRead::Finished(outcome.clone());
                }
                if state.closed {
                    return StreamRead::Closed;
                }
            }
            changed.await;
        }
    }
}

/// A reader of a running answer.
#[derive(Debug)]
pub struct StreamReader {
    buffer: Arc<StreamBuffer>,
    generation: AtomicU32,
}

impl StreamReader {
    /// Waits for what comes after an offset in bytes.
    ///
    /// An offset within a character or beyond the stored answer counts as the end of the text.
    pub async fn read(&self, offset: usize) -> StreamRead {
        self.buffer.read(offset, &self.generation).await
    }

    /// Waits for the outcome; `None` where the answer will not be finished here.
    pub async fn outcome(&self) -> Option<CallOutcome> {
        loop {
            match self.read(usize::MAX).await {
                StreamRead::Finished(outcome) => return Some(outcome),
                StreamRead::Closed => return None,
                StreamRead::Text(_) | StreamRead::Restarted => {}
            }
        }
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        let left = Some(Instant::now());
        *self
            .buffer
            .left
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = left;
        self.buffer.readers.fetch_sub(1, Ordering::Relaxed);
    }
}
