//! Quarantine of requests that crash backend servers.

mod admission;
mod attribution;
mod broken_calls;
mod fingerprint;
mod in_flight_request;
mod kept_records;
mod notices;
mod own_service;
mod quarantine_entry;
mod quarantine_table;
mod recent_runs;
mod records;

pub use admission::RunVerdict;
pub(crate) use admission::{
    Verdict, admit_work, begin_run, check, crashes_count, is_active, is_quarantined,
    isolation_endpoint, may_retry, may_send_again,
};
pub(crate) use attribution::{
    on_attempt_ended, on_backend_announced, on_backend_died, on_backend_silent,
    on_connection_broken, on_run_ended, on_work_ended, on_work_ran,
};
pub use fingerprint::RequestIdentity;
pub(crate) use fingerprint::fingerprint_of;
pub(crate) use in_flight_request::InFlightRequest;
pub use kept_records::{KeepStep, KeptRecords, RecordToKeep};
pub(crate) use quarantine_table::QuarantineTable;
pub(crate) use records::{
    active_records, counts, list, on_rumour, on_tick, records_to_gossip, records_to_keep, release,
};
