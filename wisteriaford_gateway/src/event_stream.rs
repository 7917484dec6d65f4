//! Events of a stream, cut out of the bytes as they arrive.

use compact_str::CompactString;
use derive_more::Display;
use derive_more::Error;

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Whole event.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct Event {
    /// Id that the stream can go on after.
    pub(crate) id: Option<u64>,
    /// Data; several lines are joined by line feeds.
    pub(crate) data: CompactString,
    /// Lines that are neither id nor data.
    pub(crate) other_lines: Vec<CompactString>,
    /// The event as it arrived, with the empty line that ends it.
    pub(crate) raw: Vec<u8>,
}

/// Why a stream can't be read on.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub(crate) enum EventError {
    /// An event is larger than [`MAX_EVENT_BYTES`].
    #[display("an event has more than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
    /// An event is no text.
    #[display("an event isn't UTF-8")]
    NotText,
}

/// Reader of a stream's bytes.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventReader {
    buffer: Vec<u8>,
    scanned: usize,
}

impl EventReader {
    /// Takes bytes as they arrived.
    pub(crate) fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if it has arrived.
    pub(crate) fn next_event(&mut self) -> Result<Option<Event>, EventError> {
        let from = self.scanned.saturating_sub(1);
        let end = self.buffer[from..]
            .windows(2)
            .position(|pair| pair == b"\n\n");
        let Some(end) = end.map(|at| from + at + 2) else {
            self.scanned = self.buffer.len();
            if self.buffer.len() > MAX_EVENT_BYTES {
                return Err(EventError::TooLarge);
            }
            return Ok(None);
        };
        let raw: Vec<u8> = self.buffer.drain(..end).collect();
        self.scanned = 0;
        parse(raw).map(Some)
    }

    /// Returns whether bytes of an event that isn't whole are left.
    pub(crate) fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }
}

fn parse(raw: Vec<u8>) -> Result<Event, EventError> {
    let text = std::str::from_utf8(&raw).map_err(|_| EventError::NotText)?;
    let mut event = Event::default();
    let mut has_data = false;
    for line in text.lines().filter(|line| !line.is_empty()) {
        if let Some(data) = field(line, "data") {
            if has_data {
                event.data.push('\n');
            }
            has_data = true;
            event.data.push_str(data);
        } else if let Some(id) = field(line, "id") {
            event.id = id.trim().parse().ok();
        } else {
            event.other_lines.push(line.into());
        }
    }
    event.raw = raw;
    Ok(event)
}

fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let value = line.strip_prefix(name)?.strip_prefix(':')?;
    Some(value.strip_prefix(' ').unwrap_or(value))
}
