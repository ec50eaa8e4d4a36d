//! Small fakes of what stands around the nodes: the platform's log and the
//! backend servers, with faults that can be switched while they run.
//!
//! - [`PlatformLog`]: the append-only log over HTTP
//! - [`BackendServer`]: a backend server that announces itself to its node
//! - [`EffectLedger`]: what really ran, to hold against what callers were told
//!
//! Everything listens on loopback and keeps its state in memory.

#![forbid(unsafe_code)]

mod backend;
mod effect_ledger;
pub mod headers;
mod http_listener;
mod log;
mod marked_answer;

pub use backend::{
    BackendServer, BackendStatistics, Call, HealthReport, LoadReportMode, RunningBackendServer,
    ServiceTime,
};
pub use effect_ledger::{EffectLedger, PromiseReport, Run, RunId};
pub use log::{LogCopy, LogFault, PlatformLog, RunningLog, StoredRecord};
pub use marked_answer::MarkedAnswer;
