//! The platform's log, over HTTP.

mod log_client;
mod log_records;

pub(crate) use log_client::LogClient;
