//! What travels with a call from node to node.

use serde::{Deserialize, Serialize};

use crate::{
    CallerName, Class, Cohort, Fingerprint, Importance, Incarnation, MeshKey, OperationRef,
    RequestId, Sequence, ServiceName, TraceId, WireError,
};

/// The part of a request's ledger that a node hands to the next one.
///
/// It travels in the header [`RequestContext::HEADER`], authenticated by the
/// mesh key. It never passes through a backend server, so an application can
/// neither read nor forge it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestContext {
    /// Trace that the request belongs to.
    pub trace: TraceId,
    /// Drawn at the entry, so that two requests under one trace id are told apart.
    pub request: RequestId,
    /// The caller at the entry of the whole request.
    pub caller: CallerName,
    /// Service that is called.
    pub service: ServiceName,
    /// Class given at the entry.
    pub class: Class,
    /// Cohort given at the entry.
    pub cohort: Cohort,
    /// Time left for the whole request when this call was sent, in milliseconds.
    pub remaining_ms: u32,
    /// Retries lent to the callee's subtree.
    pub allowance_count: u16,
    /// Whether an earlier attempt of this subtree may have run, so that each of
    /// its calls has to be paid from the retry allowance.
    #[serde(rename = "is_repeat")]
    pub is_retry: bool,
    /// Whether the answer should name every service that the subtree touched.
    pub wants_services: bool,
    /// Calls a second that the caller may make to the service, over all nodes;
    /// 0 if it has no limit.
    pub caller_limit_per_s: u32,
    /// Calls between the entry and this one.
    pub depth_count: u8,
    /// What identifies the request across resends.
    pub fingerprint: Fingerprint,
    /// Whether running the call twice has the effect of running it once.
    pub is_idempotent: bool,
    /// Set when the call goes to the home of an operation, not to a gate.
    pub operation: Option<OperationRef>,
    /// Incarnation of the sending node.
    pub sender_incarnation: Incarnation,
    /// Number of the attempt at the sending node; the answer repeats it.
    pub attempt: Sequence,
}

impl RequestContext {
    /// Name of the HTTP header that carries the context.
    pub const HEADER: &'static str = "kumquatquay-context";

    /// Importance given at the entry.
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
