//! Stand-ins of clients, backend servers and the platform, and the cases that use them.
//!
//! `review-standins CASE ROOT FOLDER` plays a case with the programs of the repository at `ROOT` and
//! writes `record.txt` into `FOLDER`. It exits with 0 if the rule held, 1 if it was broken, and 2 if
//! the case couldn't run. With `TROUBLE=0` in the environment the disruption is left out.

mod backend;
mod borrower;
mod fleet;
mod http;
mod quota;
mod record;
mod stop;
mod store;
mod upload;

use std::{io, path::Path, process::ExitCode, sync::Arc};

use record::Record;

/// What a case has shown.
pub enum Verdict {
    Held(String),
    Broken(String),
}

const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, root, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE ROOT FOLDER");
        return ExitCode::from(COULD_NOT_RUN);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    let root = Path::new(root);
    let played = match case.as_str() {
        "quota" => quota::play(root, has_trouble, &record),
        "upload" => upload::play(root, has_trouble, &record),
        "stop" => stop::play(root, has_trouble, &record),
        other => Err(io::Error::other(format!("no case {other}"))),
    };
    let (code, line) = match played {
        Ok(Verdict::Held(line)) => (0, format!("HELD: {line}")),
        Ok(Verdict::Broken(line)) => (1, format!("BROKEN: {line}")),
        Err(error) => (COULD_NOT_RUN, format!("COULD NOT RUN: {error}")),
    };
    println!("{line}");
    record.add(line);
    if let Err(error) = record.write(&Path::new(folder).join("record.txt")) {
        eprintln!("record.txt: {error}");
        return ExitCode::from(COULD_NOT_RUN);
    }
    ExitCode::from(code)
}
