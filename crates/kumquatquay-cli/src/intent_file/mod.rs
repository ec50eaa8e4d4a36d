//! Intents in a TOML file.

mod file_finding;
mod parser;
mod position;

pub(crate) use file_finding::FileFinding;
pub(crate) use parser::{IntentFile, parse};
