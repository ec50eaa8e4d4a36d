//! The daemon: one node, from flags and environment variables, or from the
//! settings file of the users' platform.

#![forbid(unsafe_code)]

mod on_platform;
mod with_intents;

use std::process::ExitCode;

use clap::{Arg, ArgMatches};
use kumquatquay_core::routed::{Mechanism, Mechanisms};
use kumquatquay_platform::SETTINGS_VARIABLE;

/// The node could not start.
const EXIT_FAILED: u8 = 1;

/// The settings are wrong; clap uses the same for unknown flags.
const EXIT_WRONG_SETTINGS: u8 = 2;

/// Name of the flag for the platform's settings file.
const SETTINGS_FLAG: &str = "settings";

/// Name of the flag that switches mechanisms off.
const WITHOUT_FLAG: &str = "without";

/// Name of the flag that switches mechanisms on.
const WITH_FLAG: &str = "with";

fn main() -> ExitCode {
    let settings = Arg::new(SETTINGS_FLAG)
        .long(SETTINGS_FLAG)
        .env(SETTINGS_VARIABLE)
        .value_name("FILE")
        .help(
            "Settings file of the users' platform; the node then carries calls on its routes, \
             and no other flag counts",
        );
    let without = Arg::new(WITHOUT_FLAG)
        .long(WITHOUT_FLAG)
        .env("KUMQUATQUAY_WITHOUT")
        .value_name("MECHANISM,…")
        .value_delimiter(',')
        .value_parser(|name: &str| name.parse::<Mechanism>())
        .help(without_help());
    let with = Arg::new(WITH_FLAG)
        .long(WITH_FLAG)
        .env("KUMQUATQUAY_WITH")
        .value_name("MECHANISM,…")
        .value_delimiter(',')
        .value_parser(|name: &str| name.parse::<Mechanism>())
        .help(with_help());
    let command = kumquatquayd::command().arg(settings).arg(with).arg(without);
    let matches = command.get_matches();
    match matches.get_one::<String>(SETTINGS_FLAG) {
        Some(path) => on_platform::serve(path, mechanisms(&matches)),
        None => with_intents::serve(&matches),
    }
}

fn without_help() -> String {
    let names = Mechanism::ALL.map(|mechanism| mechanism.to_string());
    format!(
        "Mechanisms that don't decide about calls on the platform's routes, to measure what \
         each is worth; of {}",
        names.join(", ")
    )
}

fn with_help() -> String {
    let names = Mechanism::OFF_BY_DEFAULT.map(|mechanism| mechanism.to_string());
    format!(
        "Mechanisms to switch on that are off by default, of {}; `--without` goes first",
        names.join(", ")
    )
}

fn mechanisms(matches: &ArgMatches) -> Mechanisms {
    let off = matches.get_many::<Mechanism>(WITHOUT_FLAG);
    let on = matches.get_many::<Mechanism>(WITH_FLAG);
    Mechanisms::default()
        .with(on.into_iter().flatten().copied())
        .without(off.into_iter().flatten().copied())
}

/// Says on standard error why the node doesn't run.
fn fail(code: u8, why: impl std::fmt::Display) -> ExitCode {
    eprintln!("kumquatquayd: {why}");
    ExitCode::from(code)
}
