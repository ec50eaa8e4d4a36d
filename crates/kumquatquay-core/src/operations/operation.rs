//! One operation in the memory of its home.

use std::time::Duration;

use super::{
    claim::Claim,
    digest::{CallerDigest, RequestDigest},
};
use crate::{CallId, StoredAnswer};

/// One operation in the memory of its home.
#[derive(Clone, Debug)]
pub(crate) struct Operation {
    /// Digest of the caller; nobody else learns anything of the operation.
    pub(crate) caller: CallerDigest,
    /// Digest of route and body.
    pub(crate) request: RequestDigest,
    /// Whether the body is part of the digest: it was read whole.
    pub(crate) is_body_known: bool,
    /// The claim in the log, unless the id was issued.
    pub(crate) claim: Option<Claim>,
    /// How far it is.
    pub(crate) state: OperationState,
    /// Calls that wait for it, in the order of their arrival.
    pub(crate) waiting: Vec<CallId>,
    /// When it may be forgotten, on the monotonic clock.
    pub(crate) expires: Duration,
}

/// How far an operation is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OperationState {
    /// Its claim has not been read back as the first.
    Claiming,
    /// This node is its home and has handed nothing over.
    Ready,
    /// A call prepares to hand it over; no other call may.
    Reserved(CallId),
    /// An attempt of a call has it, and may be running it.
    Dispatched(CallId),
    /// It ran; the answer is kept if it was whole and fits.
    Ran(Option<StoredAnswer>),
    /// It was handed over and the answer was lost; it is never run again.
    OutcomeUnknown,
    /// The claim lost or was released; this node never runs it.
    Abandoned,
}

impl Operation {
    /// Whether it may be dropped: no call is concerned with it.
    pub(crate) fn is_evictable(&self) -> bool {
        let is_busy = matches!(
            self.state,
            OperationState::Claiming | OperationState::Reserved(_) | OperationState::Dispatched(_)
        );
        !is_busy && self.waiting.is_empty()
    }

    /// Bytes of the answer that is kept.
    pub(crate) fn answer_bytes(&self) -> usize {
        match &self.state {
            OperationState::Ran(Some(answer)) => answer.body.len(),
            _ => 0,
        }
    }
}
