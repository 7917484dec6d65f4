//! Parser for the token streams of engines, in JSON lines.

use std::fmt;
use std::io::BufRead;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error as _;
use serde::de::IgnoredAny;
use serde::de::MapAccess;
use serde::de::Visitor;
use wisteriaford_core::event::AttemptEvent;
use wisteriaford_core::id::Version;

/// Maximum length of a line, in bytes.
pub const MAX_LINE_LEN_BYTES: usize = 64 * 1024;

/// Why reading a stream failed.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The connection failed or ended before the last line.
    #[display("the stream ended before its last line")]
    Broken,
    /// A line could not be parsed.
    #[display("a line of the stream is malformed")]
    Malformed,
}

/// One line of a token stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamLine {
    /// Generated tokens.
    Tokens {
        /// Index of the first token of this line.
        from_token: u32,
        /// Number of tokens in this line.
        tokens: u32,
        /// Text of the tokens.
        text: String,
        /// Version of the weights that generated the tokens.
        version: u64,
    },
    /// End of the stream.
    Done {
        /// Total number of tokens of the answer.
        total_tokens: u32,
    },
}

/// Fields that a line may contain, in any order.
#[derive(Default)]
struct Fields {
    from_token: Option<u32>,
    tokens: Option<u32>,
    text: Option<String>,
    version: Option<u64>,
    done: Option<bool>,
    total_tokens: Option<u32>,
}

impl Fields {
    fn into_line<E: serde::de::Error>(self) -> Result<StreamLine, E> {
        if self.done == Some(true) {
            let total_tokens = self.total_tokens;
            let total_tokens = total_tokens.ok_or_else(|| E::missing_field("total_tokens"))?;
            return Ok(StreamLine::Done { total_tokens });
        }
        Ok(StreamLine::Tokens {
            from_token: self
                .from_token
                .ok_or_else(|| E::missing_field("from_token"))?,
            tokens: self.tokens.ok_or_else(|| E::missing_field("tokens"))?,
            text: self.text.ok_or_else(|| E::missing_field("text"))?,
            version: self.version.ok_or_else(|| E::missing_field("version"))?,
        })
    }
}

struct LineVisitor;

impl<'de> Visitor<'de> for LineVisitor {
    type Value = StreamLine;

    fn expecting(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str("tokens or the end of a stream")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<StreamLine, A::Error> {
        let mut fields = Fields::default();
        while let Some(name) = map.next_key::<&str>()? {
            match name {
                "from_token" => fields.from_token = Some(map.next_value()?),
                "tokens" => fields.tokens = Some(map.next_value()?),
                "text" => fields.text = Some(map.next_value()?),
                "version" => fields.version = Some(map.next_value()?),
                "done" => fields.done = Some(map.next_value()?),
                "total_tokens" => fields.total_tokens = Some(map.next_value()?),
                _ => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        fields.into_line::<A::Error>().map_err(A::Error::custom)
    }
}

/// Parses a line in a single pass, since token streams make up most of what an instance reads.
impl<'de> Deserialize<'de> for StreamLine {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(LineVisitor)
    }
}

/// Reads a stream to its last line and reports each line. Stops early if `report` returns `false`.
///
/// A line must be complete within `timeout`, however many of its bytes come.
///
/// # Errors
///
/// Returns an error if a line is malformed or late, or the stream ends before its last line.
pub fn read_stream(
    mut reader: impl BufRead,
    timeout: Duration,
    report: &dyn Fn(AttemptEvent) -> bool,
) -> Result<(), StreamError> {
    let mut line = Vec::new();
    loop {
        line.clear();
        read_line(&mut reader, timeout, &mut line)?;
        let parsed = serde_json::from_slice(&line).map_err(|_| StreamError::Malformed)?;
        let is_last = matches!(parsed, StreamLine::Done { .. });
        if !report(attempt_event(parsed)) || is_last {
            return Ok(());
        }
    }
}

/// Reads a line with its end.
fn read_line(
    reader: &mut impl BufRead,
    timeout: Duration,
    line: &mut Vec<u8>,
) -> Result<(), StreamError> {
    let began = Instant::now();
    loop {
        let block = reader.fill_buf().map_err(|_| StreamError::Broken)?;
        if block.is_empty() {
            return Err(StreamError::Broken);
        }
        let end = block.iter().position(|byte| *byte == b'\n');
        let len_bytes = end.map_or(block.len(), |end| end + 1);
        line.extend_from_slice(&block[..len_bytes]);
        reader.consume(len_bytes);
        if line.len() > MAX_LINE_LEN_BYTES {
            return Err(StreamError::Malformed);
        }
        if end.is_some() {
            return Ok(());
        }
        if began.elapsed() > timeout {
            return Err(StreamError::Broken);
        }
    }
}

fn attempt_event(line: StreamLine) -> AttemptEvent {
    match line {
        StreamLine::Tokens {
            from_token,
            tokens,
            text,
            version,
        } => AttemptEvent::Tokens {
            from_token,
            tokens,
            text,
            version: Version(version),
        },
        StreamLine::Done { total_tokens } => AttemptEvent::Finished { total_tokens },
    }
}
