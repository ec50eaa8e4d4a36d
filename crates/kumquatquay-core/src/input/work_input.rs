//! Inputs about work for the backend server of this host.

use kumquatquay_wire::RequestContext;

use crate::WorkId;

/// An event of a piece of work.
#[derive(Clone, Debug)]
pub enum WorkInput {
    /// A call from another node or from this one arrived at the gate.
    Arrived {
        /// Id assigned by the host.
        work: WorkId,
        /// Context that the sending node sent.
        context: RequestContext,
    },
    /// The head of the backend server's answer arrived, or the work failed.
    Answered {
        /// The work.
        work: WorkId,
        /// Result of the work.
        result: WorkResult,
    },
    /// The body of the answer was read to its end or aborted; the backend server no longer runs
    /// the work.
    Finished {
        /// The work.
        work: WorkId,
    },
    /// The sending node closed the connection or cancelled the work.
    Cancelled {
        /// The work.
        work: WorkId,
    },
}

/// Result of a piece of work at the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkResult {
    /// It answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether the answer carries the header by which a backend server states that it did
        /// not run the request.
        says_not_run: bool,
    },
    /// No byte was sent, for instance because the connection was refused.
    NotSent,
    /// The connection broke after the request was sent.
    Broken,
    /// There was no answer within the time-out of the work.
    TimedOut,
}
