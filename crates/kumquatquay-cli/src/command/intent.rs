//! `intent`: the intents in force and their history.

use clap::{Arg, ArgMatches, Command};
use eyre::Result;
use kumquatquay_wire::{OperatorCommand, OperatorReply};

use super::{confirm, intent_arguments};
use crate::{ExitStatus, context::Context, exit_status::Failure, printer::print_reply};

pub(crate) fn command() -> Command {
    Command::new("intent")
        .about("Show the intents in force, or set one")
        .subcommand_required(true)
        .subcommand(Command::new("list").about("List the intents in force"))
        .subcommand(show_command())
        .subcommand(history_command())
        .subcommand(set_command())
        .subcommand(start_over_command())
        .after_help("Example:\n  kumquatquay intent show settlement")
}

fn show_command() -> Command {
    Command::new("show")
        .about("Show the intent of one service")
        .arg(service_argument().required(true))
}

fn history_command() -> Command {
    Command::new("history")
        .about("List the last changes: what, who and when")
        .arg(service_argument())
}

fn set_command() -> Command {
    Command::new("set")
        .about("Plan an intent, show the plan, ask, and confirm it")
        .args(intent_arguments::arguments())
        .arg(confirm::yes_argument())
        .after_help(
            "Example:\n  kumquatquay intent set --service settlement --protect inspector \
             --limit survey-bot=50",
        )
}

fn start_over_command() -> Command {
    Command::new("start-over")
        .about("Take what the node has as in force, where the log forgot what no node knows")
        .long_about(
            "Where all nodes say that the log forgot its records and none makes up for them: \
             take what the node of --node has, perhaps nothing, for what is in force. Refused \
             where the node does not find the history lost.",
        )
        .arg(confirm::yes_argument())
}

async fn start_over(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let client = context.client()?;
    let question = "Give up what the log forgot, and go on with what this node has?";
    confirm::ask(question, matches.get_flag("yes"))?;
    let reply = client.send(&OperatorCommand::StartOver).await?;
    print_reply(context, &reply)
}

fn service_argument() -> Arg {
    Arg::new("service")
        .value_name("SERVICE")
        .help("The service")
}

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    match matches.subcommand() {
        Some(("list", _)) => {
            let reply = context.client()?.send(&OperatorCommand::IntentList).await?;
            print_reply(context, &reply)
        }
        Some(("show", matches)) => show(context, matches).await,
        Some(("history", matches)) => history(context, matches).await,
        Some(("set", matches)) => set(context, matches).await,
        Some(("start-over", matches)) => start_over(context, matches).await,
        _ => Err(Failure::new(ExitStatus::Usage, "no such command").into()),
    }
}

async fn show(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let wanted = matches
        .get_one::<String>("service")
        .cloned()
        .unwrap_or_default();
    let mut reply = context.client()?.send(&OperatorCommand::IntentList).await?;
    if let OperatorReply::Intents { entries, .. } = &mut reply {
        entries.retain(|entry| entry.service == wanted);
        if entries.is_empty() {
            let message = format!("{wanted} has no intent; all its callers are alike");
            return Err(Failure::new(ExitStatus::Refused, message).into());
        }
    }
    print_reply(context, &reply)
}

async fn history(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let service = matches.get_one::<String>("service").cloned();
    let command = OperatorCommand::IntentHistory { service };
    let reply = context.client()?.send(&command).await?;
    print_reply(context, &reply)
}

async fn set(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let client = context.client()?;
    let command = intent_arguments::plan_command(matches)?;
    let reply = client.send(&command).await?;
    let OperatorReply::Plan(plan) = &reply else {
        return print_reply(context, &reply);
    };
    if plan.is_empty {
        return print_reply(context, &reply);
    }
    confirm::show_and_ask(&reply, matches.get_flag("yes"))?;
    let plan = plan.sealed.clone();
    let reply = client.send(&OperatorCommand::Confirm { plan }).await?;
    print_reply(context, &reply)
}
