//! Lines of a stream of tokens, as engines send them.

use std::fmt;
use std::io::BufRead;

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

/// Longest line that is read, in bytes.
pub const MAX_LINE_LEN_BYTES: u64 = 1 << 20;

/// Why a stream ended before it was whole.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum StreamError {
    /// The connection broke, or ended before the last line.
    #[display("the stream broke")]
    Broken,
    /// A line could not be understood.
    #[display("a line of the stream is malformed")]
    Malformed,
}

/// One line of a stream of tokens.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamLine {
    /// Tokens.
    Tokens {
        /// Index of the first of them.
        from_token: u32,
        /// How many.
        tokens: u32,
        /// Their text.
        text: String,
        /// Version of the weights that made them.
        version: u64,
    },
    /// End of the stream.
    Done {
        /// Tokens of the whole answer.
        total_tokens: u32,
    },
}

/// Fields that a line may have, in any order.
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
    fn line<E: serde::de::Error>(self) -> Result<StreamLine, E> {
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
        fields.line::<A::Error>().map_err(A::Error::custom)
    }
}

/// Reads a line in one pass; streams of tokens are the bulk of what an instance reads.
impl<'de> Deserialize<'de> for StreamLine {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_map(LineVisitor)
    }
}

/// Reads a stream to its last line and reports each line; ends early if nobody listens.
///
/// # Errors
///
/// Fails if a line is malformed or if the stream ends before its last line.
pub fn read_stream(
    mut reader: impl BufRead,
    report: &dyn Fn(AttemptEvent) -> bool,
) -> Result<(), StreamError> {
    let mut line = Vec::new();
    loop {
        line.clear();
        let limited = &mut std::io::Read::take(&mut reader, MAX_LINE_LEN_BYTES);
        let len_bytes = limited
            .read_until(b'\n', &mut line)
            .map_err(|_| StreamError::Broken)?;
        if len_bytes == 0 {
            return Err(StreamError::Broken);
        }
        if line.last() != Some(&b'\n') {
            // Either the stream was cut within a line, or the line is too long.
            let is_cut = (len_bytes as u64) < MAX_LINE_LEN_BYTES;
            return Err(if is_cut {
                StreamError::Broken
            } else {
                StreamError::Malformed
            });
        }
        let parsed = serde_json::from_slice(&line).map_err(|_| StreamError::Malformed)?;
        let is_last = matches!(parsed, StreamLine::Done { .. });
        if !report(event_of(parsed)) || is_last {
            return Ok(());
        }
    }
}

fn event_of(line: StreamLine) -> AttemptEvent {
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
