//! What the tool's exit code tells a script.

use std::process::ExitCode;

use derive_more::{Display, Error};

/// Exit codes, documented in `docs/CLI.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    #[display("done")]
    Done = 0,
    /// Something failed that has no code of its own.
    #[display("failed")]
    Failed = 1,
    /// The command line is wrong, or a file has mistakes.
    #[display("usage")]
    Usage = 2,
    /// The node could not be reached or did not answer.
    #[display("unreachable")]
    Unreachable = 3,
    /// The node refused the token.
    #[display("unauthorized")]
    Unauthorized = 4,
    /// The node refused the command; nothing was changed.
    #[display("refused")]
    Refused = 5,
    /// Another change was first; nothing was changed.
    #[display("conflict")]
    Conflict = 6,
    /// It is not known whether the change was accepted; repeat the confirmation.
    #[display("undecided")]
    Undecided = 7,
    /// The time to wait ran out.
    #[display("timed-out")]
    TimedOut = 8,
}

/// A failure whose kind decides the exit code.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{message}")]
pub(crate) struct Failure {
    pub(crate) status: ExitStatus,
    pub(crate) message: String,
}

impl Failure {
    pub(crate) fn new(status: ExitStatus, message: impl Into<String>) -> Self {
        Self {
            status,
            message: message.into(),
        }
    }
}

impl ExitStatus {
    pub(crate) fn of_usage(error: &clap::Error) -> Self {
        if error.use_stderr() {
            ExitStatus::Usage
        } else {
            ExitStatus::Done
        }
    }

    pub(crate) fn of_report(report: &eyre::Report) -> Self {
        let failure = report.downcast_ref::<Failure>();
        failure.map_or(ExitStatus::Failed, |failure| failure.status)
    }
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> Self {
        ExitCode::from(status as u8)
    }
}
