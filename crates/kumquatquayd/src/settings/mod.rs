//! What a node is told at its start, checked as a whole.

mod arguments;
mod daemon_settings;
mod finding;

pub use arguments::{command, from_matches};
pub use daemon_settings::{DaemonSettings, OperatorAccount};
pub use finding::{Finding, Findings};
