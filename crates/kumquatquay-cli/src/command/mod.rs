//! The commands, one module each.
//!
//! Each module has a function `command` for its part of the command line and a
//! function `run` that carries it out.

mod caller_token;
mod completions;
mod confirm;
mod demo;
mod drain;
mod experiment;
mod explain;
mod intent;
mod intent_arguments;
mod load;
mod man;
mod plan;
mod quarantine;
mod revert;
mod state;
mod status;

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use kumquatquay_wire::OperatorCommand;

use crate::{ExitStatus, context::Context, exit_status::Failure};

/// The command lines of all commands.
pub(crate) fn all() -> Vec<Command> {
    vec![
        intent::command(),
        plan::command(),
        confirm::command(),
        status::command(),
        revert::command(),
        explain::command(),
        state::command(),
        drain::command(),
        drain::undrain_command(),
        quarantine::command(),
        caller_token::command(),
        demo::command(),
        experiment::command(),
        load::command(),
        completions::command(),
        man::command(),
    ]
}

/// Runs the command that the command line names.
pub(crate) async fn run(matches: &ArgMatches) -> Result<ExitStatus> {
    let Some((name, matches)) = matches.subcommand() else {
        return Err(Failure::new(ExitStatus::Usage, "no command").into());
    };
    let context = &Context::of(matches);
    match name {
        "intent" => intent::run(context, matches).await,
        "plan" => plan::run(context, matches).await,
        "confirm" => confirm::run(context, matches).await,
        "status" => status::run(context, matches).await,
        "revert" => revert::run(context, matches).await,
        "explain" => explain::run(context, matches).await,
        "state" => state::run(context).await,
        "drain" => drain::run(context, OperatorCommand::Drain).await,
        "undrain" => drain::run(context, OperatorCommand::Undrain).await,
        "quarantine" => quarantine::run(context, matches).await,
        "caller-token" => caller_token::run(context, matches),
        "demo" => demo::run(matches).await,
        "experiment" => experiment::run(matches).await,
        "load" => load::run(matches).await,
        "completions" => completions::run(matches),
        "man" => man::run(matches),
        _ => Err(Failure::new(ExitStatus::Usage, "no such command").into()),
    }
}

/// Seed of random choices, for the commands that make some.
fn seed_argument() -> Arg {
    Arg::new("seed")
        .long("seed")
        .value_name("NUMBER")
        .default_value("1")
        .value_parser(value_parser!(u64))
        .help("Seed of arrivals and other random choices")
}

fn seed_of(matches: &ArgMatches) -> u64 {
    *matches.get_one("seed").expect("it has a default")
}

/// Whether the result is to be printed as JSON.
fn is_json(matches: &ArgMatches) -> bool {
    matches
        .get_one::<String>("output")
        .is_some_and(|output| output == "json")
}
