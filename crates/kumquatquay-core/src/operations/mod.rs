//! Non-idempotent operations, at most once.
//!
//! An operation has a home, one node incarnation whose memory decides it and
//! which alone hands it over: the node that issued its id, or the node whose
//! claim of the caller's key is the first in the log.

mod claim;
mod claim_decision;
mod claim_partition;
mod claim_reading;
mod claim_view;
mod claims;
mod controller;
mod digest;
mod home;
mod idempotency_key;
mod issued_id;
mod operation;
mod operation_call;
mod operation_dump;
mod operation_memory;
mod operation_policy;
mod operation_table;
mod refusals;

pub use operation_dump::OperationDump;
pub use operation_policy::OperationPolicy;

pub(crate) use controller::{
    after_call, before_attempt, issue, on_attempt_ended, on_attempt_started, on_log, on_log_era,
    on_tick, outcome_if_not_sent, owns,
};
pub(crate) use operation_call::{OperationCall, OperationStep, OperationVerdict};
pub(crate) use operation_table::OperationTable;
pub(crate) use refusals::home_unreachable;
