//! Errors in the input of operators.

use std::fmt;

use serde::{Deserialize, Serialize};

/// An error in an intent, with its location.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// Location: the service and the part of its intent.
    pub place: String,
    /// Description of the error.
    pub message: String,
    /// A valid value that may have been meant.
    pub suggestion: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.message)?;
        match &self.suggestion {
            Some(suggestion) => write!(formatter, "; did you mean {suggestion:?}?"),
            None => Ok(()),
        }
    }
}
