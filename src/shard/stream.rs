//! The text of a running call's response, which any number of readers read from any offset.

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

/// The text of a running call's response.
#[derive(Debug, Default)]
pub struct StreamBuffer {
    state: Mutex<StreamState>,
    changed: Notify,
    readers: AtomicUsize,
    /// Time at which a reader was last dropped.
    last_left: Mutex<Option<Instant>>,
}

/// The result of a read.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamRead {
    /// Text after the offset.
    Text(String),
    /// The call was dispatched again, or the text has no such offset; the text starts over.
    Restarted,
    /// The complete text was read; contains the stored outcome.
    Finished(CallOutcome),
    /// The response will not be completed in this buffer; the reader has to make the request again.
    Closed,
}

impl StreamBuffer {
    fn state(&self) -> MutexGuard<'_, StreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether no text has arrived.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.state().text.is_empty()
    }

    /// Appends text that an engine has sent.
    pub fn push(&self, text: &str) {
        self.state().text.push_str(text);
        self.changed.notify_waiters();
    }

    /// Clears the text before the call is dispatched again, and notifies the readers.
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

    /// Completes the text with the outcome, once the outcome is stored.
    pub fn finish(&self, outcome: CallOutcome) {
        self.state().outcome = Some(outcome);
        self.changed.notify_waiters();
    }

    /// Closes the buffer without an outcome.
    pub fn close(&self) {
        self.state().closed = true;
        self.changed.notify_waiters();
    }

    /// Registers a reader, which is counted until it is dropped.
    #[must_use]
    pub fn reader(self: &Arc<Self>) -> StreamReader {
        self.readers.fetch_add(1, Ordering::Relaxed);
        StreamReader {
            buffer: self.clone(),
            generation: AtomicU32::new(self.state().generation),
        }
    }

    /// Returns the time since which there has been no reader; `None` if there is one, or never was one.
    #[must_use]
    pub fn unread_since(&self) -> Option<Instant> {
        if self.readers.load(Ordering::Relaxed) > 0 {
            return None;
        }
        *self
            .last_left
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits for text after an offset in bytes, or for the end of the response; `None` waits for the end only.
    ///
    /// If the complete text has no such offset, the reader has read another text and has to start over.
    async fn read(&self, offset: Option<usize>, generation: &AtomicU32) -> StreamRead {
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state();
                let seen = generation.swap(state.generation, Ordering::Relaxed);
                if seen != state.generation {
                    return StreamRead::Restarted;
                }
                match offset.map(|offset| state.text.get(offset..)) {
                    Some(Some(more)) if !more.is_empty() => {
                        return StreamRead::Text(more.to_owned());
                    }
                    // The complete text has no such offset.
                    Some(None) if state.outcome.is_some() => return StreamRead::Restarted,
                    _ => {}
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

/// A reader of a running call's response.
#[derive(Debug)]
pub struct StreamReader {
    buffer: Arc<StreamBuffer>,
    generation: AtomicU32,
}

impl StreamReader {
    /// Waits for text after an offset in bytes, or for the end of the response.
    ///
    /// If the complete text has no such offset, the reader has read another text and has to start over.
    pub async fn read(&self, offset: usize) -> StreamRead {
        self.buffer.read(Some(offset), &self.generation).await
    }

    /// Waits for the outcome; returns `None` if the response will not be completed in this buffer.
    pub async fn outcome(&self) -> Option<CallOutcome> {
        loop {
            match self.buffer.read(None, &self.generation).await {
                StreamRead::Finished(outcome) => return Some(outcome),
                StreamRead::Closed => return None,
                StreamRead::Text(_) | StreamRead::Restarted => {}
            }
        }
    }
}

impl Drop for StreamReader {
    fn drop(&mut self) {
        let last_left = Some(Instant::now());
        *self
            .buffer
            .last_left
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = last_left;
        self.buffer.readers.fetch_sub(1, Ordering::Relaxed);
    }
}
