//! Incremental parser for server-sent events.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;
use memchr::memmem;
use wisteriaford_core::gateway::event_sequence::EventNumber;

/// Maximum size of an event in bytes, of which each holds a few tokens.
const MAX_EVENT_BYTES: usize = 128 * 1024;

/// Complete event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Event {
    /// Number after which the stream can be resumed.
    pub number: EventNumber,
    /// Whether there is a line with data.
    pub has_data: bool,
    /// Data; multiple lines are joined by line feeds.
    pub data: CompactString,
    /// Lines other than id and data.
    pub other_lines: Vec<CompactString>,
    /// Raw bytes of the event, including the empty line that ends it.
    pub raw: Vec<u8>,
}

impl Event {
    /// Returns whether the event is more than a comment that keeps the connection open.
    #[must_use]
    pub fn is_progress(&self) -> bool {
        self.number != EventNumber::Missing || self.has_data
    }

    /// Returns the raw bytes, and frees the parsed fields.
    #[must_use]
    pub fn into_raw(self) -> Vec<u8> {
        self.raw
    }
}

/// Error parsing a stream.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum EventError {
    /// An event exceeds [`MAX_EVENT_BYTES`].
    #[display("event exceeds {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event is not valid UTF-8.
    #[display("event is not valid UTF-8")]
    InvalidUtf8,
}

/// Parser that splits the bytes of a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventReader {
    buffer: Vec<u8>,
    scanned_bytes: usize,
}

impl EventReader {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the event is too large or not valid UTF-8.
    pub fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let from = self.scanned_bytes.saturating_sub(1);
        let end = memmem::find(&self.buffer[from..], b"\n\n");
        let Some(end) = end.map(|at| from + at + 2) else {
            self.scanned_bytes = self.buffer.len();
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            return Ok(None);
        };
        let rest = self.buffer.split_off(end);
        let mut raw = std::mem::replace(&mut self.buffer, rest);
        raw.shrink_to_fit();
        self.scanned_bytes = 0;
        parse(raw).map(Some)
    }

    /// Returns the memory of the buffer for incomplete events, in bytes.
    #[must_use]
    pub fn buffer_bytes(&self) -> usize {
        self.buffer.capacity()
    }

    /// Returns whether bytes of an incomplete event are left.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn parse(raw: Vec<u8>) -> Result<Event, EventError> {
    let text = std::str::from_utf8(&raw).map_err(|_| EventError::InvalidUtf8)?;
    let mut event = Event::default();
    let mut follows_unknown_line = false;
    for line in text.lines().filter(|line| !line.is_empty()) {
        if let Some(data) = field_value(line, "data") {
            if follows_unknown_line {
                // Two events whose separator was lost, with a wrong byte before the number.
                event.number = EventNumber::Malformed;
            }
            if event.has_data {
                event.data.push('\n');
            }
            event.has_data = true;
            event.data.push_str(data);
        } else if let Some(id) = field_value(line, "id") {
            let number = id
                .trim()
                .parse()
                .map_or(EventNumber::Malformed, EventNumber::Valid);
            event.number = match event.number {
                EventNumber::Missing => number,
                // Two events whose separator was lost.
                EventNumber::Malformed | EventNumber::Valid(_) => EventNumber::Malformed,
            };
        } else {
            follows_unknown_line |= event.has_data && !line.starts_with(':');
            event.other_lines.push(line.into());
        }
    }
    event.raw = raw;
    Ok(event)
}

fn field_value<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
