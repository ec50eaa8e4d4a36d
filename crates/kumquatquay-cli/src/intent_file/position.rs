//! Places in a file.

use serde::Serialize;

/// A line and a column, both from 1; columns count characters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct Position {
    pub(crate) line: usize,
    pub(crate) column: usize,
}

impl Position {
    /// The position of a byte of a text.
    pub(crate) fn of(text: &str, byte: usize) -> Self {
        let mut end = byte.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let last_line = before.rsplit('\n').next().unwrap_or_default();
        Self {
            line: before.matches('\n').count() + 1,
            column: last_line.chars().count() + 1,
        }
    }
}
