//! Lines for the log of the node's process.

use derive_more::Display;

/// Severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
pub enum Severity {
    /// Details for tracing what the node does.
    #[display("debug")]
    Debug,
    /// A normal event that operators may want to know of.
    #[display("info")]
    Info,
    /// A fault that the node handles by itself.
    #[display("warn")]
    Warn,
    /// A fault that an operator should look into.
    #[display("error")]
    Error,
}

/// A line for the log of the node's process; not a record of the platform's log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// Severity of the event.
    pub severity: Severity,
    /// Name of the event, in snake case; stable, so that tools can search for it.
    pub event: &'static str,
    /// Description of the event, as free text.
    pub detail: String,
}

impl Note {
    /// Creates a line of [`Severity::Info`].
    pub fn info(event: &'static str, detail: impl Into<String>) -> Self {
        Self::new(Severity::Info, event, detail)
    }

    /// Creates a line of [`Severity::Warn`].
    pub fn warn(event: &'static str, detail: impl Into<String>) -> Self {
        Self::new(Severity::Warn, event, detail)
    }

    /// Creates a line.
    pub fn new(severity: Severity, event: &'static str, detail: impl Into<String>) -> Self {
        Self {
            severity,
            event,
            detail: detail.into(),
        }
    }
}
