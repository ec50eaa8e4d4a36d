//! `plan`: what would change and where.

use std::{fs, path::PathBuf};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::{Result, WrapErr};
use kumquatquay_wire::{Finding, OperatorCommand, OperatorReply};

use super::intent_arguments;
use crate::{
    ExitStatus,
    context::{Context, OutputFormat},
    intent_file::{self, FileFinding, IntentFile},
    printer::{print_json, print_reply},
};

pub(crate) fn command() -> Command {
    Command::new("plan")
        .about("Say what would change and where; nothing changes yet")
        .args(intent_arguments::arguments())
        .arg(
            Arg::new("file")
                .long("file")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .conflicts_with_all([
                    "service",
                    "protect",
                    "limit",
                    "non-idempotent",
                    "idempotent",
                    "remove",
                ])
                .help("Several intents, in TOML; they change together or not at all"),
        )
        .arg(
            Arg::new("save")
                .long("save")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Save the plan, so that any node can confirm it: confirm @FILE"),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Short for --output json"),
        )
        .after_help(EXAMPLES)
}

const EXAMPLES: &str = "\
Examples:
  kumquatquay plan --service settlement --protect inspector \\
      --protect 'foreman@POST /settlements' --limit survey-bot=50 \\
      --non-idempotent 'POST /settlements'
  kumquatquay plan --file intents.toml

A file:
  [[intent]]
  service = \"settlement\"
  protect = [\"inspector\", { caller = \"foreman\", method = \"POST\", path = \"/settlements\" }]
  limit = [{ caller = \"survey-bot\", calls_per_s = 50 }]
  non_idempotent = [\"POST /settlements\"]
  idempotent = [\"POST /search\"]";

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let mut context = context.clone();
    if matches.get_flag("json") {
        context.format = OutputFormat::Json;
    }
    let reply = match matches.get_one::<PathBuf>("file") {
        Some(path) => match of_file(&context, matches, path).await? {
            Ok(reply) => reply,
            Err(findings) => return print_findings(&context, &findings),
        },
        None => {
            let command = intent_arguments::plan_command(matches)?;
            context.client()?.send(&command).await?
        }
    };
    save(matches, &reply)?;
    print_reply(&context, &reply)
}

/// Plans a file. The mistakes that show without a node and those that the node
/// finds are reported together.
async fn of_file(
    context: &Context,
    matches: &ArgMatches,
    path: &PathBuf,
) -> Result<Result<OperatorReply, Vec<FileFinding>>> {
    let name = path.display().to_string();
    let text = fs::read_to_string(path).wrap_err_with(|| format!("can't read {name}"))?;
    let file = intent_file::parse(&name, &text);
    if file.edits.is_empty() && !file.findings.is_empty() {
        return Ok(Err(file.findings));
    }
    let command = OperatorCommand::Plan {
        edits: file.edits.clone(),
        allows_unknown: matches.get_flag("allow-unknown"),
    };
    let reply = send(context, &command).await;
    match reply {
        Ok(OperatorReply::Findings { findings }) => Ok(Err(all_findings(&name, file, findings))),
        Ok(_) if !file.findings.is_empty() => Ok(Err(file.findings)),
        Err(error) if !file.findings.is_empty() => {
            eprintln!("names were not checked: {error:#}");
            Ok(Err(file.findings))
        }
        Ok(reply) => Ok(Ok(reply)),
        Err(error) => Err(error),
    }
}

async fn send(context: &Context, command: &OperatorCommand) -> Result<OperatorReply> {
    context.client()?.send(command).await
}

fn all_findings(name: &str, file: IntentFile, of_node: Vec<Finding>) -> Vec<FileFinding> {
    let mut findings: Vec<FileFinding> = of_node
        .into_iter()
        .map(|finding| {
            let position = file.position_of(&finding.place);
            FileFinding::of_node(name, position, finding)
        })
        .collect();
    findings.extend(file.findings);
    findings.sort();
    findings
}

fn print_findings(context: &Context, findings: &[FileFinding]) -> Result<ExitStatus> {
    match context.format {
        OutputFormat::Json => print_json(&findings)?,
        OutputFormat::Text => {
            for finding in findings {
                eprintln!("{finding}");
            }
            let count = match findings.len() {
                1 => String::from("1 mistake"),
                count => format!("{count} mistakes"),
            };
            eprintln!("{count}; nothing was planned");
        }
    }
    Ok(ExitStatus::Usage)
}

fn save(matches: &ArgMatches, reply: &OperatorReply) -> Result<()> {
    let (Some(path), OperatorReply::Plan(plan)) = (matches.get_one::<PathBuf>("save"), reply)
    else {
        return Ok(());
    };
    fs::write(path, format!("{}\n", plan.sealed))
        .wrap_err_with(|| format!("can't write {}", path.display()))
}
