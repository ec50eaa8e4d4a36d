//! Results on standard output.

use std::io::Write;

use clap::ArgMatches;
use eyre::{Report, Result};
use kumquatquay_wire::OperatorReply;
use serde::Serialize;

use crate::{
    ExitStatus,
    context::{Context, OutputFormat},
    render::{self, Style},
};

/// Prints a reply in the wanted format; says what it means for a script.
pub(crate) fn print_reply(context: &Context, reply: &OperatorReply) -> Result<ExitStatus> {
    match context.format {
        OutputFormat::Json => print_json(reply)?,
        OutputFormat::Text => print_text(&render::reply_text(reply, Style::of_stdout()))?,
    }
    Ok(render::reply_status(reply))
}

/// Prints a value as JSON.
pub(crate) fn print_json(value: &impl Serialize) -> Result<()> {
    print_text(&(serde_json::to_string_pretty(value)? + "\n"))
}

/// Prints text. A reader that has gone, as of `| head`, is no failure.
pub(crate) fn print_text(text: &str) -> Result<()> {
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        other => Ok(other?),
    }
}

/// An error as the wanted format has it, for standard error.
pub(crate) fn error_text(matches: &ArgMatches, report: &Report, status: ExitStatus) -> String {
    let message = format!("{report:#}");
    if Context::of(matches).format == OutputFormat::Text {
        return format!("error: {message}");
    }
    let error = ErrorOutput {
        error: message,
        kind: status.to_string(),
    };
    serde_json::to_string(&error).unwrap_or(error.error)
}

/// An error as JSON.
#[derive(Clone, Debug, Serialize)]
struct ErrorOutput {
    /// What went wrong.
    error: String,
    /// Name of the exit code.
    kind: String,
}
