//! Outputs about calls that leave through this node.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{Outcome, RequestContext};

use crate::{AttemptId, CallId, Refusal, StoredAnswer};

/// An attempt of a call that the host has to send.
#[derive(Clone, Debug)]
pub struct StartAttempt {
    /// The call.
    pub call: CallId,
    /// Id of the attempt, for its result.
    pub attempt: AttemptId,
    /// Peer address of the node to send it to; may be this node itself.
    pub target: SocketAddr,
    /// Context to send with the request.
    pub context: RequestContext,
    /// Time-out for the head of the answer.
    pub timeout: Duration,
}

/// Answer to an [`IssueOperation`](crate::IssueOperation).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperationIssued {
    /// Id of the request that is answered.
    pub request: CallId,
    /// The operation id, for the header `kumquatquay-operation`.
    pub operation: String,
    /// When the operation id expires, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}

/// How the host has to end a call.
#[derive(Clone, Debug)]
pub enum CallEnding {
    /// Forward the answer of the attempt that ended last.
    PassAnswer {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the call ran at a backend server.
        outcome: Outcome,
        /// Unspent retries that go back to the sender of a
        /// [`CallOrigin::Home`](crate::CallOrigin::Home).
        allowance_returned_count: u16,
    },
    /// Answer with the stored answer of the same operation.
    Replay(StoredAnswer),
    /// Refuse the call.
    Refuse(Refusal),
}
