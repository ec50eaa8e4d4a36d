//! Quarantine of requests that crash backend servers.

mod admission;
mod attribution;
mod broken_calls;
mod crash_sync;
mod fingerprint;
mod in_flight_request;
mod kept_crashes;
mod notices;
mod own_service;
mod quarantine_entry;
mod quarantine_table;
mod recent_runs;
mod records;

pub use admission::RunVerdict;
pub(crate) use admission::{
    Verdict, admit_work, begin_run, check, crashes_count, is_active, is_quarantined,
    isolation_endpoint, isolation_gate, may_retry, may_send_again, ran_lately,
};
pub(crate) use attribution::{
    on_attempt_ended, on_backend_announced, on_backend_closes_connections, on_backend_died,
    on_backend_silent, on_connection_broken, on_run_ended, on_work_ended, on_work_failed,
    on_work_ran, speaks_for_request,
};
pub use crash_sync::CrashSync;
pub(crate) use crash_sync::{ask_for_crashes, crashes_answer, on_crashes_answer, on_crashes_read};
pub use fingerprint::RequestIdentity;
pub(crate) use fingerprint::fingerprint_of;
pub(crate) use in_flight_request::InFlightRequest;
pub use kept_crashes::{KeepAction, KeepStep, KeptCrashes, KnownCrash};
pub(crate) use quarantine_table::QuarantineTable;
pub(crate) use records::{
    active_records, counts, known_crashes, list, on_crash_report, on_rumour, on_tick,
    records_to_gossip, release,
};
