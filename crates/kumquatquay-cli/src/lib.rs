//! The operators' tool `kumquatquay`: its command line, and what each command does.
//!
//! The library exists so that tests can run a command with its output captured;
//! the binary only calls [`run`].

#![forbid(unsafe_code)]

mod cli;
mod client;
mod command;
mod context;
mod exit_status;
mod intent_file;
mod phrase;
mod printer;
mod render;

pub use cli::command as command_line;
pub use exit_status::ExitStatus;

use std::{ffi::OsString, process::ExitCode};

/// Runs the tool with the given command line and prints what it has to say.
///
/// Problems are printed to standard error; the exit code tells their kind, see
/// [`ExitStatus`].
pub async fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let matches = match command_line().try_get_matches_from(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            let _ = error.print();
            return ExitStatus::of_usage(&error).into();
        }
    };
    match command::run(&matches).await {
        Ok(status) => status.into(),
        Err(report) => {
            let status = ExitStatus::of_report(&report);
            eprintln!("{}", printer::error_text(&matches, &report, status));
            status.into()
        }
    }
}
