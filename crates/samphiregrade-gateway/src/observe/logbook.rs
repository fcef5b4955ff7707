//! Structured log lines: one JSON object a line on standard output, bounded, never blocking.
//!
//! Lines are put into a bounded buffer that a thread of its own writes. Where lines come faster than
//! the bound, the rest are dropped and counted, and a line tells the count.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{panic, thread};

use serde::Serialize;

/// Lines a second that are written over time; a request takes one or two, so this covers several
/// hundred requests a second on one instance.
const LINES_PER_SECOND: f64 = 1000.0;

/// Lines that may come at once after a quiet time.
const LINE_BURST: f64 = 4000.0;

/// Bytes that may wait for the writing thread.
const BUFFER_BYTES: usize = 512 << 10;

/// Room made for a line; most fit.
const LINE_BYTES: usize = 512;

/// Time over which lines are gathered into one write.
const GATHER: Duration = Duration::from_millis(150);

struct LogbookState {
    waiting: Vec<u8>,
    allowance: f64,
    refilled: Instant,
    dropped: u64,
}

/// The buffer of log lines; cloning it is cheap.
#[derive(Clone)]
pub struct Logbook {
    shared: Arc<(Mutex<LogbookState>, Condvar)>,
}

#[derive(Serialize)]
struct LogLine<'event, Event> {
    time_ms: u64,
    event: &'static str,
    #[serde(flatten)]
    detail: &'event Event,
}

#[derive(Serialize)]
struct DroppedLines {
    lines: u64,
}

#[derive(Serialize)]
struct PlainLine<'text> {
    level: &'text str,
    source: &'text str,
    message: String,
}

#[derive(Serialize)]
struct PanicLine<'text> {
    thread: &'text str,
    place: String,
    message: &'text str,
}

impl Logbook {
    /// Returns the process's logbook; its thread starts with the first line.
    pub fn global() -> &'static Self {
        static LOGBOOK: OnceLock<Logbook> = OnceLock::new();
        LOGBOOK.get_or_init(Self::start)
    }

    fn start() -> Self {
        let state = LogbookState {
            waiting: Vec::new(),
            allowance: LINE_BURST,
            refilled: Instant::now(),
            dropped: 0,
        };
        let logbook = Self {
            shared: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let writer = logbook.clone();
        let spawned = thread::Builder::new()
            .name("logbook".to_owned())
            .spawn(move || writer.write_lines());
        if let Err(error) = spawned {
            // Nothing can be logged about it but here.
            eprintln!("error: the log's thread did not start: {error}");
        }
        logbook
    }

    /// Writes one line about a decision or a change of belief.
    pub fn record<Event>(&self, event: &'static str, detail: &Event)
    where
        Event: Serialize,
    {
        let line = LogLine {
            time_ms: wall_milliseconds(),
            event,
            detail,
        };
        // Encoded without the lock: a panic meanwhile is told by a line of its own, which needs the lock.
        let mut bytes = Vec::with_capacity(LINE_BYTES);
        let encoded = serde_json::to_writer(&mut bytes, &line);
        bytes.push(b'\n');
        let (lock, wake) = &*self.shared;
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.allow() {
            return;
        }
        if encoded.is_err() {
            state.dropped += 1;
            return;
        }
        if state.waiting.is_empty() {
            wake.notify_one();
        }
        state.waiting.extend_from_slice(&bytes);
    }

    /// Writes what waits, after what is being written; for the end of a process.
    ///
    /// The output is locked before lines are taken: a thread that holds lines without it would lose them, or break one
    /// off, when the process ends.
    pub fn flush(&self) {
        let mut output = io::stdout().lock();
        let waiting = self.take();
        // Standard output is the only place to tell of a failure, and it has just failed.
        let _ = output.write_all(&waiting).and_then(|()| output.flush());
    }

    fn take(&self) -> Vec<u8> {
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut waiting = std::mem::take(&mut state.waiting);
        if state.dropped > 0 {
            let line = LogLine {
                time_ms: wall_milliseconds(),
                event: "log-lines-dropped",
                detail: &DroppedLines {
                    lines: state.dropped,
                },
            };
            if serde_json::to_writer(&mut waiting, &line).is_ok() {
                waiting.push(b'\n');
            }
            state.dropped = 0;
        }
        waiting
    }

    fn write_lines(&self) {
        loop {
            {
                let (lock, wake) = &*self.shared;
                let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
                while state.waiting.is_empty() {
                    state = wake.wait(state).unwrap_or_else(PoisonError::into_inner);
                }
            }
            thread::sleep(GATHER);
            self.flush();
        }
    }
}

impl LogbookState {
    fn allow(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.allowance = (self.allowance + passed * LINES_PER_SECOND).min(LINE_BURST);
        if self.allowance < 1.0 || self.waiting.len() > BUFFER_BYTES {
            self.dropped += 1;
            return false;
        }
        self.allowance -= 1.0;
        true
    }
}

fn wall_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Sends the lines of `log` macros into the logbook, filtered by `RUST_LOG`.
#[derive(Debug)]
struct LogbookLogger {
    filter: log::LevelFilter,
}

impl log::Log for LogbookLogger {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        let own = metadata.target().starts_with("samphiregrade");
        let level = if own {
            self.filter
        } else {
            self.filter.min(log::LevelFilter::Warn)
        };
        metadata.level() <= level
    }

    fn log(&self, record: &log::Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let line = PlainLine {
            level: record.level().as_str(),
            source: record.target(),
            message: record.args().to_string(),
        };
        Logbook::global().record("message", &line);
    }

    fn flush(&self) {
        Logbook::global().flush();
    }
}

/// Makes the logbook the process's logger for `log` macros as well, and tells panics in it.
pub fn install_logger(filter: log::LevelFilter) {
    let logger = Box::new(LogbookLogger { filter });
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(filter);
        tell_panics();
    }
}

/// Writes a line for each panic. A task that panics ends without a word to whoever does not wait for it, and nobody
/// collects what a process on a platform's machine writes beside its log.
fn tell_panics() {
    let earlier = panic::take_hook();
    panic::set_hook(Box::new(move |panicked| {
        let thread = thread::current();
        let line = PanicLine {
            thread: thread.name().unwrap_or_default(),
            place: panicked
                .location()
                .map(ToString::to_string)
                .unwrap_or_default(),
            message: panicked.payload_as_str().unwrap_or_default(),
        };
        let logbook = Logbook::global();
        logbook.record("panic", &line);
        // The process may end with it.
        logbook.flush();
        earlier(panicked);
    }));
}
