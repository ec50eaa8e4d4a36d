//! Work items of the gate: requests for the backend server of this host.

use std::time::Duration;

use kumquatquay_wire::{Importance, LedgerToken, RequestContext};

/// A request for the backend server of this host, queued or running.
#[derive(Debug)]
pub(crate) struct Work {
    /// Request context that the sending node attached.
    pub(crate) context: RequestContext,
    /// Deadline, on the monotonic clock.
    pub(crate) deadline: Duration,
    /// Time of arrival, on the monotonic clock.
    pub(crate) arrived: Duration,
}

/// Work that was forwarded to the backend server.
#[derive(Debug)]
pub(crate) struct RunningWork {
    pub(crate) work: Work,
    /// Token of the ledger to which the backend server's own calls are booked.
    pub(crate) token: LedgerToken,
    /// When it was forwarded to the backend server, on the monotonic clock.
    pub(crate) started: Duration,
    /// Other work that was running at that time.
    pub(crate) others_count: usize,
    /// Whether the head of its answer was forwarded to the sender.
    pub(crate) is_answered: bool,
}

impl Work {
    pub(crate) fn importance(&self) -> Importance {
        self.context.importance()
    }

    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        now >= self.deadline
    }
}
