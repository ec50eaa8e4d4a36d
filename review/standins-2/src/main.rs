//! Plays one script of the second review: `review-2 SCRIPT RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the script couldn't run.

mod caller;
mod endless;
mod extra;
mod fleet;
mod http;
mod leaving;
mod node;
mod record;
mod restored;
mod stall;
mod store;
mod upstream;

use std::{path::Path, process::ExitCode};

use fleet::Stage;
use record::Record;

/// What a script found.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(&'static str),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, script, path] = arguments.as_slice() else {
        eprintln!("usage: review-2 SCRIPT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::create(Path::new(path));
    record.say(format!(
        "script {script}, with the disruption: {has_trouble}"
    ));
    match play(script, &record, has_trouble) {
        Ok(Verdict::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Ok(Verdict::CouldNotRun(why)) => {
            record.say(format!("could not run: {why}"));
            ExitCode::from(2)
        }
        Err(error) => {
            record.say(format!("could not run: {error}"));
            ExitCode::from(2)
        }
    }
}

fn play(script: &str, record: &Record, has_trouble: bool) -> std::io::Result<Verdict> {
    let stage = Stage::open(record.clone())?;
    match script {
        "endless" => endless::play(&stage, has_trouble),
        "extra" => extra::play(&stage, has_trouble),
        "leaving" => leaving::play(&stage, has_trouble),
        "restored" => restored::play(&stage, has_trouble),
        "stall" => stall::play(&stage, has_trouble),
        _ => Ok(Verdict::CouldNotRun("no such script")),
    }
}
