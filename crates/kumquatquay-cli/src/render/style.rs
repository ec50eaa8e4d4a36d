//! Colour, on a terminal only.

use std::io::{IsTerminal, stdout};

/// Whether to colour text.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Style {
    is_coloured: bool,
}

impl Style {
    /// Colour if standard output is a terminal and `NO_COLOR` is not set.
    pub(crate) fn of_stdout() -> Self {
        Self {
            is_coloured: stdout().is_terminal() && std::env::var_os("NO_COLOR").is_none(),
        }
    }

    pub(crate) fn heading(self, text: &str) -> String {
        self.paint("1", text)
    }

    pub(crate) fn good(self, text: &str) -> String {
        self.paint("32", text)
    }

    pub(crate) fn bad(self, text: &str) -> String {
        self.paint("31", text)
    }

    pub(crate) fn warning(self, text: &str) -> String {
        self.paint("33", text)
    }

    fn paint(self, code: &str, text: &str) -> String {
        match self.is_coloured {
            true => format!("\u{1b}[{code}m{text}\u{1b}[0m"),
            false => String::from(text),
        }
    }
}
