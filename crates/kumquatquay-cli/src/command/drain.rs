//! `drain` and `undrain`: whether a host takes new work.

use clap::Command;
use eyre::Result;
use kumquatquay_wire::OperatorCommand;

use crate::{ExitStatus, context::Context, printer::print_reply};

pub(crate) fn command() -> Command {
    Command::new("drain")
        .about("Stop new work for the backend server on the host of --node")
        .after_help("Example:\n  kumquatquay --node 10.0.0.7:7003 drain")
}

pub(crate) fn undrain_command() -> Command {
    Command::new("undrain")
        .about("Let the backend server on the host of --node take new work again")
        .after_help("Example:\n  kumquatquay --node 10.0.0.7:7003 undrain")
}

pub(crate) async fn run(context: &Context, command: OperatorCommand) -> Result<ExitStatus> {
    let reply = context.client()?.send(&command).await?;
    print_reply(context, &reply)
}
