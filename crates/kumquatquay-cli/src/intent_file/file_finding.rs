//! Mistakes in a file.

use std::fmt;

use kumquatquay_wire::Finding;
use serde::Serialize;

use super::position::Position;

/// A mistake and its place in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub(crate) struct FileFinding {
    /// The file.
    pub(crate) file: String,
    /// Line and column.
    #[serde(flatten)]
    pub(crate) position: Position,
    /// What is wrong.
    pub(crate) message: String,
    /// What was meant, perhaps.
    pub(crate) suggestion: Option<String>,
}

impl FileFinding {
    /// A finding of the node, at the place in the file that it is about.
    pub(crate) fn of_node(file: &str, position: Position, finding: Finding) -> Self {
        Self {
            file: String::from(file),
            position,
            message: format!("{}: {}", finding.place, finding.message),
            suggestion: finding.suggestion,
        }
    }
}

impl fmt::Display for FileFinding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        write!(formatter, "{}:{line}:{column}: {}", self.file, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(formatter, "; did you mean {suggestion:?}?"),
            None => Ok(()),
        }
    }
}
