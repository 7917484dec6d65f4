//! Places in a text file.

use derive_more::Display;
use serde::Serialize;

/// Line and column, both from 1; columns count characters.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[display("{line}:{column}")]
pub struct Place {
    /// Line.
    pub line: usize,
    /// Column.
    pub column: usize,
}

/// Text whose lines were found once, to look up many places in it.
#[derive(Clone, Debug)]
pub struct Lines<'a> {
    text: &'a str,
    starts: Vec<usize>,
}

impl<'a> Lines<'a> {
    /// Finds the lines of a text.
    #[must_use]
    pub fn new(text: &'a str) -> Self {
        let newlines = text.match_indices('\n');
        let later = newlines.map(|(offset, _)| offset + 1);
        Self {
            text,
            starts: std::iter::once(0).chain(later).collect(),
        }
    }

    /// Returns the place of a byte; one past the end is the place after the last character.
    #[must_use]
    pub fn place(&self, offset: usize) -> Place {
        let line = self.starts.partition_point(|&start| start <= offset);
        let start = self.starts[line - 1];
        let characters = self.text[start..].char_indices();
        let before = characters.take_while(|(index, _)| start + index < offset);
        Place {
            line,
            column: before.count() + 1,
        }
    }
}
