//! Distribution of the intents in force, and plans and confirmations of changes to them.
//!
//! The modules hold functions over the [`Blackboard`](crate::Blackboard):
//!
//! - `configuration_state`: the state, as a function of the records of the configuration stream
//! - `log_reading`, `peer_fetch`, `peer_versions`: keep the state up to date
//! - `in_force`, `classification_table`: apply the state to the classification of calls
//! - `snapshot_schedule`: appends snapshots of the state before the records of the log expire
//! - `planner`, `plan_warnings`, `findings`, `differences`, `confirmation`, `status`: commands of
//!   operators

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
