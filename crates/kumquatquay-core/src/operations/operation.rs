//! An operation in the memory of its home.

use std::time::Duration;

use super::{
    claim::Claim,
    digest::{CallerDigest, RequestDigest},
};
use crate::{CallId, StoredAnswer};

/// An operation in the memory of its home.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Digest of the caller; calls of other callers for the operation are refused.
    pub(crate) caller: CallerDigest,
    /// Digest of route and body.
    pub(crate) request: RequestDigest,
    /// Whether the body is part of the digest, which needs that the host had read all of it.
    pub(crate) is_body_known: bool,
    /// The claim in the log, unless the id was issued.
    pub(crate) claim: Option<Claim>,
    /// Progress of the operation.
    pub(crate) state: OperationState,
    /// Calls that wait for it, in the order of their arrival.
    pub(crate) waiting: Vec<CallId>,
    /// When it may be removed, on the monotonic clock.
    pub(crate) expires: Duration,
}

/// Progress of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperationState {
    /// Its claim has not been read back as the first of its key.
    Claiming,
    /// This node is its home; the operation has not run and no call has reserved it.
    Ready,
    /// A call is about to dispatch it; no other call may.
    Reserved(CallId),
    /// An attempt of a call at a backend server may be running it.
    Dispatched(CallId),
    /// It ran; the answer is kept if it was stored and is within the size limits.
    Ran(Option<StoredAnswer>),
    /// It was dispatched and the answer was lost; it never runs again.
    OutcomeUnknown,
    /// Its claim lost or was abandoned; this node never runs it.
    Abandoned,
}

impl Operation {
    /// Whether it may be removed: it isn't claiming, reserved or dispatched, and no call waits for
    /// it.
    pub(crate) fn is_evictable(&self) -> bool {
        let is_busy = matches!(
            self.state,
            OperationState::Claiming | OperationState::Reserved(_) | OperationState::Dispatched(_)
        );
        !is_busy && self.waiting.is_empty()
    }

    /// Size of the stored answer in bytes.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            OperationState::Ran(Some(answer)) => answer.body.len(),
            _ => 0,
        }
    }
}
