//! Context that accompanies a call from node to node.

use serde::{Deserialize, Serialize};

use crate::{
    CallerName, Class, Cohort, Fingerprint, Importance, Incarnation, MeshKey, OperationRef,
    RequestId, Sequence, ServiceName, TraceId, WireError,
};

/// The part of a request's ledger that a node passes on with a call.
///
/// It is sent in the header [`RequestContext::HEADER`], authenticated with the mesh key. It
/// never passes through a backend server, so an application can neither read nor forge it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestContext {
    /// Trace id of the request.
    pub trace: TraceId,
    /// Id assigned at the entry, which distinguishes requests with the same trace id.
    pub request: RequestId,
    /// Caller of the root request.
    pub caller: CallerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Class assigned at the entry.
    pub class: Class,
    /// Cohort assigned at the entry.
    pub cohort: Cohort,
    /// Time left until the deadline of the root request when this call was sent, in
    /// milliseconds.
    pub remaining_ms: u32,
    /// Retry allowance lent to the subtree of the callee.
    pub allowance_count: u16,
    /// Whether an earlier attempt of this subtree may have run, so that each of its calls is
    /// charged to the retry allowance.
    #[serde(rename = "is_repeat")]
    pub is_retry: bool,
    /// Whether the answer should name all services that the subtree reached.
    pub wants_services: bool,
    /// Rate limit of the caller at the service, over all nodes, in calls per second; 0 if
    /// there is none.
    pub caller_limit_per_s: u32,
    /// Number of calls between the entry and this one.
    pub depth_count: u8,
    /// Fingerprint of the request, the same across resends.
    pub fingerprint: Fingerprint,
    /// Whether running the call twice has the effect of running it once.
    pub is_idempotent: bool,
    /// Set if the call is sent to the home of an operation instead of a gate.
    pub operation: Option<OperationRef>,
    /// Incarnation of the sending node.
    pub sender_incarnation: Incarnation,
    /// Sequence number of the attempt at the sending node; repeated in the answer.
    pub attempt: Sequence,
}

impl RequestContext {
    /// Name of the HTTP header that carries the context.
    pub const HEADER: &'static str = "kumquatquay-context";

    /// Returns the importance assigned at the entry.
    pub fn importance(&self) -> Importance {
        Importance::new(self.class, self.cohort)
    }

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
