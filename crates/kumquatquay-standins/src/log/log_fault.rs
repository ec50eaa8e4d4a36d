//! Faults of the log, on request.

use std::time::Duration;

/// How the log misbehaves until another fault is set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFault {
    /// It works.
    #[default]
    None,
    /// It answers everything with 503; nothing is appended.
    Refusing,
    /// It closes every connection without an answer; nothing is appended.
    Down,
    /// It takes this long before it does anything.
    Slow(Duration),
    /// It appends and closes the connection without an answer.
    AnswerLostAfterAppend,
    /// It closes the connection of an append without having appended.
    AnswerLostBeforeAppend,
}
