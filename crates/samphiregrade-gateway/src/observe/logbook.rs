//! Structured logging: one JSON object per line on standard output, rate-limited and non-blocking.
//!
//! Lines are appended to a bounded buffer that a dedicated thread writes. Lines that exceed the rate limit or the
//! buffer are dropped and counted, and a later line reports the count.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use std::{panic, thread};

use serde::Serialize;

/// Sustained rate of lines per second; a request logs one or two, so the rate covers several hundred requests a second
/// on one instance.
const LINES_PER_SECOND: f64 = 1000.0;

/// Largest burst of lines after a quiet period.
const LINE_BURST: f64 = 4000.0;

/// Size of the buffer in bytes above which lines are dropped.
const BUFFER_LIMIT: usize = 512 << 10;

/// Initial capacity in bytes for one line; most lines fit.
const LINE_CAPACITY: usize = 512;

/// Time for which lines are collected into one write.
const BATCH_DELAY: Duration = Duration::from_millis(150);

/// The buffer and its token bucket.
struct LogbookState {
    buffered: Vec<u8>,
    tokens: f64,
    refilled: Instant,
    dropped: u64,
}

/// The log of the process; cloning it is cheap.
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
    /// Returns the process-wide logbook; the first use starts its thread.
    pub fn global() -> &'static Self {
        static LOGBOOK: OnceLock<Logbook> = OnceLock::new();
        LOGBOOK.get_or_init(Self::start)
    }

    fn start() -> Self {
        let state = LogbookState {
            buffered: Vec::new(),
            tokens: LINE_BURST,
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
            // Without its thread, the logbook can't write this error.
            eprintln!("error: the log thread could not be started: {error}");
        }
        logbook
    }

    /// Appends one line about an event, such as a decision or a change of state.
    pub fn record<Event>(&self, event: &'static str, detail: &Event)
    where
        Event: Serialize,
    {
        let line = LogLine {
            time_ms: unix_milliseconds(),
            event,
            detail,
        };
        // The line is encoded without holding the lock: a panic in the encoder is logged as well, which takes the lock.
        let mut bytes = Vec::with_capacity(LINE_CAPACITY);
        let encoded = serde_json::to_writer(&mut bytes, &line);
        bytes.push(b'\n');
        let (lock, lines_added) = &*self.shared;
        let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
        if !state.try_consume() {
            return;
        }
        if encoded.is_err() {
            state.dropped += 1;
            return;
        }
        if state.buffered.is_empty() {
            lines_added.notify_one();
        }
        state.buffered.extend_from_slice(&bytes);
    }

    /// Writes all buffered lines, after those that are being written; also called at the end of the process.
    ///
    /// The output is locked before the lines are taken from the buffer. Otherwise, a thread that has taken lines but
    /// does not hold the output would lose them, or truncate one, when the process ends.
    pub fn flush(&self) {
        let mut output = io::stdout().lock();
        let buffered = self.take_lines();
        // A failure can't be reported: standard output itself has failed.
        let _ = output.write_all(&buffered).and_then(|()| output.flush());
    }

    fn take_lines(&self) -> Vec<u8> {
        let mut state = self.shared.0.lock().unwrap_or_else(PoisonError::into_inner);
        let mut buffered = std::mem::take(&mut state.buffered);
        if state.dropped > 0 {
            let line = LogLine {
                time_ms: unix_milliseconds(),
                event: "log-lines-dropped",
                detail: &DroppedLines {
                    lines: state.dropped,
                },
            };
            if serde_json::to_writer(&mut buffered, &line).is_ok() {
                buffered.push(b'\n');
            }
            state.dropped = 0;
        }
        buffered
    }

    fn write_lines(&self) {
        loop {
            {
                let (lock, lines_added) = &*self.shared;
                let mut state = lock.lock().unwrap_or_else(PoisonError::into_inner);
                while state.buffered.is_empty() {
                    state = lines_added
                        .wait(state)
                        .unwrap_or_else(PoisonError::into_inner);
                }
            }
            thread::sleep(BATCH_DELAY);
            self.flush();
        }
    }
}

impl LogbookState {
    fn try_consume(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + passed * LINES_PER_SECOND).min(LINE_BURST);
        if self.tokens < 1.0 || self.buffered.len() > BUFFER_LIMIT {
            self.dropped += 1;
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn unix_milliseconds() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    })
}

/// Writes the messages of the `log` macros to the logbook, filtered by level.
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

/// Installs the logbook as the logger of the `log` macros, and logs panics in it.
pub fn install_logger(filter: log::LevelFilter) {
    let logger = Box::new(LogbookLogger { filter });
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(filter);
        log_panics();
    }
}

/// Logs each panic. A task that panics ends silently unless another task awaits it, and the standard error of a process
/// on a platform's machine is not collected.
fn log_panics() {
    let previous_hook = panic::take_hook();
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
        // The process may end because of the panic.
        logbook.flush();
        previous_hook(panicked);
    }));
}
