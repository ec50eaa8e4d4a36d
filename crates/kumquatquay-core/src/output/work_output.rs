//! Outputs about work for the backend server of this host.

use std::time::Duration;

use kumquatquay_wire::{LedgerToken, TraceId};

use crate::WorkId;

/// A piece of work that the host has to send to the backend server.
#[derive(Clone, Debug)]
pub struct RunWork {
    /// The work.
    pub work: WorkId,
    /// Ledger token, sent to the backend server in `tracestate`.
    pub token: LedgerToken,
    /// Trace id, sent to the backend server in `traceparent`.
    pub trace: TraceId,
    /// Whether it may be cancelled after it was sent to the backend server.
    pub is_idempotent: bool,
    /// Time-out for the backend server.
    pub timeout: Duration,
}
