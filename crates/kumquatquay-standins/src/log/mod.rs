//! The platform's append-only log.

mod http_interface;
mod log_fault;
mod platform_log;
mod stream_table;

pub use log_fault::LogFault;
pub use platform_log::{LogCopy, PlatformLog, RunningLog};
pub use stream_table::StoredRecord;
