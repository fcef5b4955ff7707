//! Parser of the server-sent events of a stream while it is relayed.

use bytes::{BufMut, Bytes, BytesMut};

/// Collects the data of each complete event (in the format of WHATWG's server-sent events).
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    line: BytesMut,
    data: BytesMut,
    has_data: bool,
    /// Number of complete events.
    events: u32,
    /// Data of the complete events, each followed by a line feed; `None` if only the count is needed.
    output: Option<BytesMut>,
}

impl EventParser {
    /// Creates a parser at the start of a stream; `keep_data` says whether the data is collected or the events are only
    /// counted.
    #[must_use]
    pub fn new(keep_data: bool) -> Self {
        Self {
            output: keep_data.then(BytesMut::new),
            ..Self::default()
        }
    }

    /// Parses the next bytes of the stream.
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

    /// Returns the number of complete events.
    #[must_use]
    pub fn complete_events(&self) -> u32 {
        self.events
    }

    /// Returns the number of events that have started, including an incomplete last one.
    #[must_use]
    pub fn started_events(&self) -> u32 {
        let partial = self.has_data || !self.line.is_empty();
        self.events + u32::from(partial)
    }

    /// Takes the data of all complete events.
    #[must_use]
    pub fn take_output(&mut self) -> Bytes {
        self.output.take().unwrap_or_default().freeze()
    }
}
