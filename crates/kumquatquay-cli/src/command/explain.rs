//! `explain`: why requests were refused.

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use kumquatquay_wire::OperatorCommand;

use crate::{ExitStatus, context::Context, printer::print_reply};

pub(crate) fn command() -> Command {
    Command::new("explain")
        .about("Say why a request, or the requests of a caller, were refused")
        .arg(
            Arg::new("subject")
                .value_name("REQUEST-ID|CALLER")
                .required(true)
                .help("The trace id of a request, in hex, or the name of a caller"),
        )
        .after_help(
            "Ask the node where the request entered.\n\nExample:\n  kumquatquay explain foreman",
        )
}

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let subject = matches
        .get_one::<String>("subject")
        .cloned()
        .unwrap_or_default();
    let command = OperatorCommand::Explain { subject };
    let reply = context.client()?.send(&command).await?;
    print_reply(context, &reply)
}
