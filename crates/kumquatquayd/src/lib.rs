//! The node as a process: sockets, timers and clients around the decisions of
//! `kumquatquay-core`.
//!
//! [`start`] runs a node inside the calling program; the binary `kumquatquayd`
//! runs one from flags and environment variables.
//!
//! - `settings`: what a node is told, checked as a whole
//! - `engine`: hands inputs to the core and its outputs to whoever waits
//! - `serve`: the listeners and what happens to a request on each
//! - `http`: headers, bodies and clients that they share
//! - `control`: datagrams and bulk exchanges between nodes
//! - `platform`: the platform's log
//! - [`routed`]: a node that carries calls on configured routes

#![forbid(unsafe_code)]

mod clock;
mod continued;
mod control;
mod engine;
mod health;
mod http;
mod json_log;
mod line_queue;
mod metrics;
mod operator_commands;
mod platform;
mod reach;
pub mod routed;
mod running_node;
mod serve;
mod settings;
mod tasks;

pub use json_log::{init as init_json_log, init_to_stdout as init_json_log_to_stdout};
pub use line_queue::LineQueue;
pub use reach::Reach;
pub use running_node::{RunningNode, start};
pub use settings::{DaemonSettings, Finding, Findings, OperatorAccount, command, from_matches};
