//! Intents in force, plans and their confirmation.
//!
//! Each matter has a module of plain functions over the blackboard:
//!
//! - `configuration_state`: what follows from the stream, a function of its records
//! - `log_reading`, `peer_fetch`, `peer_versions`: how the node keeps that state current
//! - `in_force`, `classification_table`: how it reaches the path of a call
//! - `snapshot_schedule`: appends the state again before the log forgets it
//! - `planner`, `plan_warnings`, `findings`, `differences`, `confirmation`, `status`: operators

mod classification;
mod classification_table;
mod configuration_dump;
mod configuration_state;
mod configuration_table;
mod confirmation;
mod controller;
mod demand;
mod differences;
mod findings;
mod in_force;
mod log_reader;
mod log_reading;
mod peer_fetch;
mod peer_versions;
mod plan_table;
mod plan_warnings;
mod planner;
mod ranks;
mod snapshot_schedule;
mod start_over;
mod status;

pub(crate) use classification::{Classification, classify};
pub use configuration_dump::ConfigurationDump;
pub(crate) use configuration_table::ConfigurationTable;
pub(crate) use controller::{is_awaiting, on_log, on_operator, on_tick};
pub(crate) use demand::observe_call;
pub(crate) use peer_fetch::{on_bulk_answer, on_bulk_failed, on_bulk_question};
pub(crate) use peer_versions::{on_peer_version, version_to_gossip};
