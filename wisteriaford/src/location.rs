//! Line and column locations in text files.

use derive_more::Display;
use serde::Serialize;

/// Line and column of a character, both 1-based. Columns count characters, not bytes.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{line}:{column}")]
pub struct Location {
    /// Line number, starting at 1.
    pub line: usize,
    /// Column number in characters, starting at 1.
    pub column: usize,
}

/// Index of line starts in a text, for converting byte offsets to locations.
#[derive(Clone, Debug)]
pub struct LineIndex<'a> {
    text: &'a str,
    line_starts: Vec<usize>,
}

impl<'a> LineIndex<'a> {
    /// Builds the index for a text.
    #[must_use]
    pub fn new(text: &'a str) -> Self {
        let newlines = text.match_indices('\n');
        let after_newlines = newlines.map(|(offset, _)| offset + 1);
        Self {
            text,
            line_starts: std::iter::once(0).chain(after_newlines).collect(),
        }
    }

    /// Converts a byte offset to a location. Offsets past the end map to the location after the
    /// last character.
    #[must_use]
    pub fn location(&self, offset: usize) -> Location {
        let line = self.line_starts.partition_point(|&start| start <= offset);
        let start = self.line_starts[line - 1];
        let characters = self.text[start..].char_indices();
        let before = characters.take_while(|(index, _)| start + index < offset);
        Location {
            line,
            column: before.count() + 1,
        }
    }
}
