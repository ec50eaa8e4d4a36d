//! Refusals of calls and of work.

use std::time::Duration;

use derive_more::Display;
use kumquatquay_wire::Outcome;
use serde::Serialize;

/// A refusal of a call or of work, as it is sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of refusal.
    pub reason: RefusalReason,
    /// Whether the request ran at a backend server.
    pub outcome: Outcome,
    /// Earliest time for a retry, from now.
    pub retry_after: Option<Duration>,
    /// Explanation for the person who reads the answer.
    pub detail: String,
}

/// Kinds of refusal; the text appears in answers, logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// A service that the request would reach is overloaded, and the importance of the request
    /// is below its admission level; or this node has too many concurrent calls.
    #[display("overloaded")]
    Overloaded,
    /// The gate is at capacity with work of at least the same importance.
    #[display("gate-full")]
    GateFull,
    /// The deadline passed, or would pass before an answer.
    #[display("deadline")]
    Deadline,
    /// The caller exceeds its rate limit.
    #[display("caller-limit")]
    CallerLimit,
    /// No backend server of the service is known or reachable.
    #[display("no-backend-server")]
    NoBackendServer,
    /// The backend server or its node is shutting down.
    #[display("leaving")]
    Leaving,
    /// The request is quarantined or suspected of crashing backend servers.
    #[display("quarantined")]
    Quarantined,
    /// The operation can't be decided, for instance because its home is gone, the log does not
    /// answer or it is still under way; or it ran, and its answer was not stored.
    #[display("operation-undecided")]
    OperationUndecided,
    /// The key or id of the operation is not valid or has expired.
    #[display("operation-invalid")]
    OperationInvalid,
    /// The key or id was used before with another route or body, or by another caller.
    #[display("operation-conflict")]
    OperationConflict,
    /// The connection of an attempt broke, and the call may not be retried.
    #[display("broken")]
    Broken,
    /// Another attempt would need more retries than the request has left.
    #[display("retries-spent")]
    RetriesSpent,
    /// The caller, or the request that the call belongs to, no longer waits for the answer.
    #[display("abandoned")]
    Abandoned,
}
