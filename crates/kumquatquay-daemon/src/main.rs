//! The daemon: one node, from flags and environment variables, or from the
//! settings file of the users' platform.

#![forbid(unsafe_code)]

mod on_platform;
mod with_intents;

use std::process::ExitCode;

use clap::Arg;
use kumquatquay_platform::SETTINGS_VARIABLE;

/// The node could not start.
const EXIT_FAILED: u8 = 1;

/// The settings are wrong; clap uses the same for unknown flags.
const EXIT_WRONG_SETTINGS: u8 = 2;

/// Name of the flag for the platform's settings file.
const SETTINGS_FLAG: &str = "settings";

fn main() -> ExitCode {
    let settings = Arg::new(SETTINGS_FLAG)
        .long(SETTINGS_FLAG)
        .env(SETTINGS_VARIABLE)
        .value_name("FILE")
        .help(
            "Settings file of the users' platform; the node then carries calls on its routes, \
             and no other flag counts",
        );
    let matches = kumquatquayd::command().arg(settings).get_matches();
    match matches.get_one::<String>(SETTINGS_FLAG) {
        Some(path) => on_platform::serve(path),
        None => with_intents::serve(&matches),
    }
}

/// Says on standard error why the node doesn't run.
fn fail(code: u8, why: impl std::fmt::Display) -> ExitCode {
    eprintln!("kumquatquayd: {why}");
    ExitCode::from(code)
}
