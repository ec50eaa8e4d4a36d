//! `caller-token`: the proof of a caller's name.

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use kumquatquay_wire::{CallerProof, MeshKey};
use serde::Serialize;

use crate::{
    ExitStatus,
    context::{Context, OutputFormat},
    exit_status::Failure,
    printer::{print_json, print_text},
};

pub(crate) fn command() -> Command {
    Command::new("caller-token")
        .about("Print the header by which a caller proves its name")
        .arg(
            Arg::new("name")
                .value_name("NAME")
                .required(true)
                .help("The caller's name"),
        )
        .arg(
            Arg::new("secret")
                .long("secret")
                .env("KUMQUATQUAY_SECRET")
                .hide_env_values(true)
                .required(true)
                .value_name("SECRET")
                .help("The secret that the nodes share"),
        )
        .after_help(
            "Reads no node. The proof holds until the secret changes.\n\n\
             Example:\n  KUMQUATQUAY_SECRET=… kumquatquay caller-token inspector",
        )
}

/// What the caller sends.
#[derive(Clone, Debug, Serialize)]
struct CallerToken {
    header: String,
    value: String,
}

pub(crate) fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let name = matches
        .get_one::<String>("name")
        .cloned()
        .unwrap_or_default();
    let secret = matches
        .get_one::<String>("secret")
        .cloned()
        .unwrap_or_default();
    if name.is_empty() || !name.chars().all(|character| character.is_ascii_graphic()) {
        let message = "a caller's name is visible ASCII characters";
        return Err(Failure::new(ExitStatus::Usage, message).into());
    }
    let proof = CallerProof::of(&MeshKey::from_secret(&secret), &name);
    let token = CallerToken {
        header: String::from("kumquatquay-caller"),
        value: format!("{name}.{proof}"),
    };
    match context.format {
        OutputFormat::Json => print_json(&token)?,
        OutputFormat::Text => print_text(&format!("{}: {}\n", token.header, token.value))?,
    }
    Ok(ExitStatus::Done)
}
