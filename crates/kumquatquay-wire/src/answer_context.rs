//! Context that accompanies an answer from node to node.

use serde::{Deserialize, Serialize};

use crate::{MeshKey, Outcome, Sequence, ServiceLevel, WireError};

/// Load of a backend server, as seen by the node on its host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Number of requests that the backend server is running.
    pub in_flight_count: u32,
    /// Number of requests that wait at the gate.
    pub queued_count: u32,
    /// Concurrency limit of the gate.
    pub limit_count: u32,
    /// Whether the health endpoint of the backend server reports it as unhealthy.
    pub is_reported_ill: bool,
}

/// Context that a node adds to the answer to a call, for the node that sent the call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerContext {
    /// Repeats [`RequestContext::attempt`](crate::RequestContext::attempt).
    pub attempt: Sequence,
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Unspent retry allowance of the subtree, returned to the sender.
    pub allowance_returned_count: u16,
    /// Number of attempts in the subtree that weren't charged to a retry allowance, not
    /// counting the attempt that is answered; [`AnswerContext::ATTEMPTS_UNKNOWN`] if answers
    /// in the subtree were lost.
    pub attempts_count: u16,
    /// Admission levels of the services that the subtree reached.
    pub levels: Vec<ServiceLevel>,
    /// Load of the backend server of the answering host.
    pub load: LoadReport,
    /// Whether the answering host is leaving and accepts no new work.
    pub is_leaving: bool,
    /// Time to wait before a retry, in milliseconds; 0 if unset.
    pub retry_after_ms: u32,
}

impl AnswerContext {
    /// Value of [`AnswerContext::attempts_count`] for an unknown number of attempts.
    pub const ATTEMPTS_UNKNOWN: u16 = u16::MAX;

    /// Name of the HTTP header that carries the context.
    pub const HEADER: &'static str = "kumquatquay-answer";

    /// Encodes and authenticates the context as a header value.
    pub fn to_header(&self, key: &MeshKey) -> String {
        key.seal_text(Self::HEADER, self)
    }

    /// Checks and decodes a header value.
    ///
    /// # Errors
    ///
    /// [`WireError`] if the text is too long, forged or not a context.
    pub fn from_header(text: &str, key: &MeshKey) -> Result<Self, WireError> {
        key.open_text(Self::HEADER, text)
    }
}
