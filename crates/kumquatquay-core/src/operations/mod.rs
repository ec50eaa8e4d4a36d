//! Runs non-idempotent operations at most once.
//!
//! Each operation has a home: the one incarnation of a node that decides in its memory whether
//! the operation runs, and that alone dispatches it to a backend server. It is the node that
//! issued the operation id, or the node whose claim of the caller's `Idempotency-Key` is the
//! first in the log.

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
