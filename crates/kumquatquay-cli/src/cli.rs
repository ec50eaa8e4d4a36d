//! The command line as a whole.

use clap::{Arg, Command};

use crate::command;

/// The whole command line of the tool, for parsing, completions and man pages.
pub fn command() -> Command {
    Command::new("kumquatquay")
        .version(clap::crate_version!())
        .about("Say what to protect, read the plan, confirm it")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .propagate_version(true)
        .arg(output_argument())
        .arg(node_argument())
        .arg(token_argument())
        .subcommands(command::all())
        .after_help(EXAMPLES)
}

const EXAMPLES: &str = "\
Examples:
  kumquatquay intent list
  kumquatquay plan --service settlement --protect inspector --protect foreman
  kumquatquay confirm PLAN
  kumquatquay status --wait";

fn output_argument() -> Arg {
    Arg::new("output")
        .long("output")
        .global(true)
        .value_name("FORMAT")
        .value_parser(["text", "json"])
        .default_value("text")
        .help("How to print the result")
}

fn node_argument() -> Arg {
    Arg::new("node")
        .long("node")
        .global(true)
        .env("KUMQUATQUAY_NODE")
        .value_name("IP:PORT")
        .value_parser(clap::value_parser!(std::net::SocketAddr))
        .help("Operator address of any node")
}

fn token_argument() -> Arg {
    Arg::new("token")
        .long("token")
        .global(true)
        .env("KUMQUATQUAY_TOKEN")
        .hide_env_values(true)
        .value_name("TOKEN")
        .help("Token that proves who you are")
}
