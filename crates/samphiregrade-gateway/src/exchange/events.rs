//! Reading the events of a stream as it passes by.

use bytes::{BufMut, Bytes, BytesMut};

/// Collects the data of each whole event (the format of WHATWG's server-sent events).
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    line: BytesMut,
    data: BytesMut,
    has_data: bool,
    /// Events that are whole.
    events: u32,
    /// Their data, each with a line feed, where it is wanted.
    output: Option<BytesMut>,
}

impl EventParser {
    /// Starts before the first event; `keep` where the data is wanted, not only the count.
    #[must_use]
    pub fn new(keep: bool) -> Self {
        Self {
            output: keep.then(BytesMut::new),
            ..Self::default()
        }
    }

    /// Reads bytes of the stream.
    pub fn read(&mut self, bytes: &[u8]) {
        for part in bytes.split_inclusive(|&byte| byte == b'\n') {
            self.line.put_slice(part);
            if part.ends_with(b"\n") {
                self.end_line();
            }
        }
    }

    fn end_line(&mut self) {
        let line = self.line.split();
        let mut text = &line[..line.len() - 1];
        if let Some(stripped) = text.strip_suffix(b"\r") {
            text = stripped;
        }
        if text.is_empty() {
            self.end_event();
            return;
        }
        let Some(value) = text.strip_prefix(b"data:") else {
            return;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        if self.has_data {
            self.data.put_u8(b'\n');
        }
        self.data.put_slice(value);
        self.has_data = true;
    }

    fn end_event(&mut self) {
        if !self.has_data {
            return;
        }
        self.has_data = false;
        self.events += 1;
        let data = self.data.split();
        if let Some(output) = &mut self.output {
            output.put_slice(&data);
            output.put_u8(b'\n');
        }
    }

    /// Returns the whole events so far.
    #[must_use]
    pub fn complete_events(&self) -> u32 {
        self.events
    }

    /// Returns events that have begun, the last one perhaps not whole.
    #[must_use]
    pub fn started_events(&self) -> u32 {
        let partial = self.has_data || !self.line.is_empty();
        self.events + u32::from(partial)
    }

    /// Takes the data of all whole events.
    #[must_use]
    pub fn take_output(&mut self) -> Bytes {
        self.output.take().unwrap_or_default().freeze()
    }
}
