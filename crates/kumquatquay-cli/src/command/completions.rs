//! `completions`: shell completions.

use std::io;

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_complete::Shell;
use eyre::Result;

use crate::{ExitStatus, cli};

pub(crate) fn command() -> Command {
    Command::new("completions")
        .about("Print completions for a shell")
        .arg(
            Arg::new("shell")
                .required(true)
                .value_name("SHELL")
                .value_parser(value_parser!(Shell))
                .help("The shell"),
        )
        .after_help("Example:\n  kumquatquay completions bash > /etc/bash_completion.d/kumquatquay")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    if let Some(shell) = matches.get_one::<Shell>("shell") {
        clap_complete::generate(
            *shell,
            &mut cli::command(),
            "kumquatquay",
            &mut io::stdout(),
        );
    }
    Ok(ExitStatus::Done)
}
