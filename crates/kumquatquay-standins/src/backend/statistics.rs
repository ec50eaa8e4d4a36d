//! Counts of one backend server.

use serde::Serialize;

/// What a backend server did since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct BackendStatistics {
    /// Requests that arrived.
    pub arrived_count: u64,
    /// Requests that it ran to their end.
    pub completed_count: u64,
    /// Requests that it refused without running them.
    pub shed_count: u64,
    /// Requests that it dropped half-way because the connection was closed.
    pub cancelled_count: u64,
    /// Requests that it gave up half-way at their deadline.
    pub expired_count: u64,
    /// Times that it crashed.
    pub crashes_count: u64,
    /// Requests that it runs now.
    pub running_count: u64,
    /// Most requests that it ran at the same time.
    pub running_peak_count: u64,
    /// Time from the call of `drain` to the last arrival, in milliseconds.
    pub work_after_drain_ms: Option<u64>,
}
