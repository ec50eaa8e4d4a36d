//! `man`: the manual pages.

use std::{fs, io, path::PathBuf};

use clap::{Arg, ArgMatches, Command, value_parser};
use clap_mangen::Man;
use eyre::{Result, WrapErr};

use crate::{ExitStatus, cli};

pub(crate) fn command() -> Command {
    Command::new("man")
        .about("Print the manual page, or write one page a command")
        .arg(
            Arg::new("directory")
                .long("directory")
                .value_name("DIRECTORY")
                .value_parser(value_parser!(PathBuf))
                .help("Write the pages of all commands there"),
        )
        .after_help("Example:\n  kumquatquay man | man -l -")
}

pub(crate) fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    let mut command = cli::command();
    command.build();
    match matches.get_one::<PathBuf>("directory") {
        None => Man::new(command).render(&mut io::stdout())?,
        Some(directory) => {
            fs::create_dir_all(directory).wrap_err("can't make the directory")?;
            clap_mangen::generate_to(command, directory).wrap_err("can't write the pages")?;
        }
    }
    Ok(ExitStatus::Done)
}
