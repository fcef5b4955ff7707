//! Parser of the server-sent events of a stream while it is relayed.

use bytes::{BufMut, Bytes, BytesMut};

/// Bytes of a line that are kept if the data is not collected: enough to tell the field.
const LINE_PREFIX: usize = 8;

/// Collects the data of each complete event (in the format of WHATWG's server-sent events).
#[derive(Clone, Debug, Default)]
pub struct EventParser {
    /// The current line; without its end if the data is not collected.
    line: BytesMut,
    data: BytesMut,
    has_data: bool,
    /// Whether a field of the current event has arrived.
    has_field: bool,
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
            match part.strip_suffix(b"\n") {
                Some(end) => {
                    self.extend_line(end);
                    self.end_line();
                }
                None => self.extend_line(part),
            }
        }
    }

    fn extend_line(&mut self, part: &[u8]) {
        let kept = match self.output {
            Some(_) => part.len(),
            None => LINE_PREFIX.saturating_sub(self.line.len()).min(part.len()),
        };
        self.line.put_slice(&part[..kept]);
    }

    fn end_line(&mut self) {
        let line = self.line.split();
        let text = line.strip_suffix(b"\r").unwrap_or(&line);
        if text.is_empty() {
            self.end_event();
            return;
        }
        self.has_field |= !text.starts_with(b":");
        let Some(value) = text.strip_prefix(b"data:") else {
            return;
        };
        let value = value.strip_prefix(b" ").unwrap_or(value);
        let is_first = !std::mem::replace(&mut self.has_data, true);
        if self.output.is_none() {
            return;
        }
        if !is_first {
            self.data.put_u8(b'\n');
        }
        self.data.put_slice(value);
    }

    fn end_event(&mut self) {
        self.has_field = false;
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
        self.events + u32::from(self.is_inside_event())
    }

    /// Returns whether an event has started whose end has not arrived. A comment is not part of an event, unless its line
    /// is incomplete.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.has_field || !self.line.is_empty()
    }

    /// Returns the number of bytes that are kept.
    #[must_use]
    pub fn kept_bytes(&self) -> usize {
        let output = self.output.as_ref().map_or(0, BytesMut::len);
        self.line.len() + self.data.len() + output
    }

    /// Takes the data of all complete events.
    #[must_use]
    pub fn take_output(&mut self) -> Bytes {
        self.output.take().unwrap_or_default().freeze()
    }
}
