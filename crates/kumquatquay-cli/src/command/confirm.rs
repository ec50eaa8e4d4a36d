//! `confirm`: brings a plan in force.

use std::{
    fs,
    io::{BufRead, IsTerminal, Write, stderr, stdin},
};

use clap::{Arg, ArgAction, ArgMatches, Command};
use eyre::{Result, WrapErr};
use kumquatquay_wire::{OperatorCommand, OperatorReply};

use crate::{
    ExitStatus,
    context::Context,
    exit_status::Failure,
    printer::print_reply,
    render::{self, Style},
};

pub(crate) fn command() -> Command {
    Command::new("confirm")
        .about("Bring a plan in force")
        .arg(
            Arg::new("plan")
                .value_name("PLAN")
                .required(true)
                .help("The plan's id, at the node that made it, or @FILE of plan --save, anywhere"),
        )
        .arg(yes_argument())
        .after_help(
            "Confirming a plan again is harmless and says what became of it.\n\n\
             Examples:\n  kumquatquay confirm p-00f3a1c22b417e90\n  \
             kumquatquay confirm @plan.txt --yes",
        )
}

/// `--yes`.
pub(crate) fn yes_argument() -> Arg {
    Arg::new("yes")
        .long("yes")
        .action(ArgAction::SetTrue)
        .help("Don't ask, for scripts")
}

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let client = context.client()?;
    let plan = matches
        .get_one::<String>("plan")
        .cloned()
        .unwrap_or_default();
    let text = match plan.strip_prefix('@') {
        None => plan.clone(),
        Some(path) => {
            let text = fs::read_to_string(path).wrap_err_with(|| format!("can't read {path}"))?;
            String::from(text.trim())
        }
    };
    ask(
        &format!("Bring plan {plan} in force?"),
        matches.get_flag("yes"),
    )?;
    let reply = client
        .send(&OperatorCommand::Confirm { plan: text })
        .await?;
    print_reply(context, &reply)
}

/// Shows a plan on standard error, so that standard output holds one result,
/// and asks.
pub(crate) fn show_and_ask(plan: &OperatorReply, is_sure: bool) -> Result<()> {
    eprint!("{}", render::reply_text(plan, Style::default()));
    ask("Bring this plan in force?", is_sure)
}

/// Asks on a terminal; elsewhere `--yes` is needed.
pub(super) fn ask(question: &str, is_sure: bool) -> Result<()> {
    if is_sure {
        return Ok(());
    }
    if !stdin().is_terminal() {
        let message = "there is no terminal to ask on; give --yes to confirm without a question";
        return Err(Failure::new(ExitStatus::Usage, message).into());
    }
    eprint!("{question} [y/N] ");
    stderr().flush()?;
    let mut answer = String::new();
    stdin().lock().read_line(&mut answer)?;
    match answer.trim() {
        "y" | "Y" | "yes" => Ok(()),
        _ => Err(Failure::new(ExitStatus::Refused, "not confirmed; nothing was changed").into()),
    }
}
