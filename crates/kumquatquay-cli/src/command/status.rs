//! `status`: where a version is in force.

use std::time::{Duration, Instant};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use eyre::Result;
use kumquatquay_wire::{ConfigurationVersion, OperatorCommand, OperatorReply};

use crate::{ExitStatus, context::Context, printer::print_reply};

/// Time between two questions while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(300);

pub(crate) fn command() -> Command {
    Command::new("status")
        .about("Say where a version is in force, who lags and since when")
        .arg(
            Arg::new("version-number")
                .long("of")
                .value_name("VERSION")
                .value_parser(value_parser!(ConfigurationVersion))
                .help("The version; the node's own without it"),
        )
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("Wait until it is in force at all nodes known"),
        )
        .arg(
            Arg::new("timeout")
                .long("timeout")
                .value_name("SECONDS")
                .value_parser(value_parser!(u64))
                .default_value("30")
                .help("How long to wait; then exit with 8"),
        )
        .after_help("Example:\n  kumquatquay status --of 17 --wait --timeout 14")
}

pub(crate) async fn run(context: &Context, matches: &ArgMatches) -> Result<ExitStatus> {
    let client = context.client()?;
    let version = matches
        .get_one::<ConfigurationVersion>("version-number")
        .copied();
    let timeout_s = matches
        .get_one::<u64>("timeout")
        .copied()
        .unwrap_or_default();
    let end = Instant::now() + Duration::from_secs(timeout_s);
    let command = OperatorCommand::Status { version };
    let mut is_second = false;
    loop {
        let reply = client.send(&command).await?;
        let is_everywhere = match &reply {
            OperatorReply::Status(status) => status.is_everywhere(),
            _ => true,
        };
        if is_everywhere {
            return print_reply(context, &reply);
        }
        // The node asks others when it is asked, so the second answer knows better.
        if !matches.get_flag("wait") && is_second {
            return print_reply(context, &reply);
        }
        is_second = true;
        if matches.get_flag("wait") && Instant::now() >= end {
            print_reply(context, &reply)?;
            return Ok(ExitStatus::TimedOut);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
