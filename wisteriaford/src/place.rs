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

impl Place {
    /// Returns the place of a byte; one past the end is the place after the last character.
    #[must_use]
    pub fn of_byte(text: &str, offset: usize) -> Self {
        let bytes = &text.as_bytes()[..offset.min(text.len())];
        let before = String::from_utf8_lossy(bytes);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}
