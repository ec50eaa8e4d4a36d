//! `quarantine`: requests that crash what runs them.

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use kumquatquay_wire::{Fingerprint, OperatorCommand};

use crate::{ExitStatus, context::Context, exit_status::Failure, printer::print_reply};

pub(crate) fn command() -> Command {
    Command::new("quarantine")
        .about("List or release requests that crash backend servers")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List suspects and quarantined requests"))
        .subcommand(release_command())
        .after_help("Example:\n  kumquatquay quarantine release archive 00f3a1c22b417e90")
}

fn release_command() -> Command {
    Command::new("release")
        .about("Let requests with a fingerprint run again")
        .arg(
            Arg::new("service")
                .value_name("SERVICE")
                .required(true)
                .help("A service that refuses them; they run again at all"),
        )
        .arg(
            Arg::new("fingerprint")
                .value_name("FINGERPRINT")
                .required(true)
                .value_parser(parse_fingerprint)
                .help("The requests meant, in hex, from `quarantine list`"),
        )
}

fn parse_fingerprint(text: &str) -> Result<Fingerprint, String> {
    Fingerprint::from_str_radix(text, 16)
        .map_err(|_| String::from("a fingerprint is 16 hex digits"))
}

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let command = match matches.subcommand() {
        Some(("list", _)) => OperatorCommand::QuarantineList,
        Some(("release", matches)) => OperatorCommand::QuarantineRelease {
            service: matches
                .get_one::<String>("service")
                .cloned()
                .unwrap_or_default(),
            fingerprint: matches.get_one("fingerprint").copied().unwrap_or_default(),
        },
        _ => return Err(Failure::new(ExitStatus::Usage, "no such command").into()),
    };
    let reply = context.client()?.send(&command).await?;
    print_reply(context, &reply)
}
