//! `state`: the state dump of a node.

use clap::Command;
use eyre::Result;

use crate::{ExitStatus, context::Context, printer::print_text};

pub(crate) fn command() -> Command {
    Command::new("state")
        .about("Print what a node knows, as JSON")
        .after_help("Example:\n  kumquatquay --node 10.0.0.7:7003 state")
}

pub(crate) async fn run(context: &Context) -> Result<ExitStatus> {
    let state = context.client()?.state().await?;
    print_text(&format!("{}\n", state.trim_end()))?;
    Ok(ExitStatus::Done)
}
