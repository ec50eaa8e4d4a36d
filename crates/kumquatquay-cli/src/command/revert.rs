//! `revert`: plans the return to what a change replaced.

use clap::{Arg, ArgMatches, Command, value_parser};
use eyre::Result;
use kumquatquay_wire::{ConfigurationVersion, OperatorCommand};

use crate::{ExitStatus, context::Context, printer::print_reply};

pub(crate) fn command() -> Command {
    Command::new("revert")
        .about("Plan the return to what a change replaced; nothing changes yet")
        .arg(
            Arg::new("version-number")
                .value_name("VERSION")
                .value_parser(value_parser!(ConfigurationVersion))
                .help("The change, from `intent history`; the last one without it"),
        )
        .after_help("Example:\n  kumquatquay revert 17\n  kumquatquay confirm PLAN")
}

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let version = matches.get_one("version-number").copied();
    let command = OperatorCommand::PlanRevert { version };
    let reply = context.client()?.send(&command).await?;
    print_reply(context, &reply)
}
