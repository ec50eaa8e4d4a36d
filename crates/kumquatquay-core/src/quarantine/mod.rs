//! Quarantine of requests that crash backend servers.

mod broken_calls;
mod controller;
mod fingerprint;
mod in_flight_request;
mod quarantine_entry;
mod quarantine_table;

pub(crate) use controller::{
    Verdict, active_records, admit_work, check, isolation_endpoint, list, may_retry,
    on_attempt_ended, on_backend_died, on_connection_broken, on_rumour, on_tick, on_work_ended,
    on_work_ran, records_to_gossip, release,
};
pub use fingerprint::RequestIdentity;
pub(crate) use fingerprint::fingerprint_of;
pub(crate) use in_flight_request::InFlightRequest;
pub(crate) use quarantine_table::QuarantineTable;
