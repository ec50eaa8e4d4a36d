//! Inputs about calls that leave through this node.

use std::time::Duration;

use kumquatquay_wire::{
    AnswerContext, BodyDigest, CallerName, LedgerToken, RequestContext, ServiceName, TraceId,
};

use crate::{AttemptId, CallId};

/// What happens to a call.
#[derive(Clone, Debug)]
pub enum CallInput {
    /// A call arrived; it ends with one
    /// [`Output::FinishCall`](crate::Output::FinishCall).
    Arrived(CallArrived),
    /// The head of an attempt's answer arrived, or the attempt failed.
    AttemptEnded(AttemptEnded),
    /// Who made the call has gone and waits no longer.
    Abandoned {
        /// The call.
        call: CallId,
    },
    /// A caller asks for an operation id (`POST /operations`); answered at once
    /// by [`Output::OperationIssued`](crate::Output::OperationIssued).
    IssueOperation(IssueOperation),
}

/// A request for an operation id.
#[derive(Clone, Debug)]
pub struct IssueOperation {
    /// Chosen by the host; the answer repeats it.
    pub request: CallId,
    /// Authenticated name of the caller; empty if none was proved.
    pub caller: CallerName,
}

/// A call as it arrives.
#[derive(Clone, Debug)]
pub struct CallArrived {
    /// Chosen by the host.
    pub call: CallId,
    /// Who makes it.
    pub origin: CallOrigin,
    /// Service that is called.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path without its query.
    pub path: String,
    /// The query, without its question mark.
    pub query: Option<String>,
    /// Digest of the body, if the host has read all of it.
    pub body_digest: Option<BodyDigest>,
    /// Whether the host holds the whole body and can send it again.
    pub is_replayable: bool,
    /// Time that the caller allows.
    pub time_allowed: Option<Duration>,
    /// The caller's `Idempotency-Key`.
    pub idempotency_key: Option<String>,
    /// An operation id issued by a node.
    pub operation_id: Option<String>,
    /// Whether the caller marks it as a resend.
    pub is_resend: bool,
}

/// Who makes a call.
#[derive(Clone, Debug)]
pub enum CallOrigin {
    /// A caller outside the mesh, at the entry listener.
    Outside {
        /// Authenticated name; empty if none was proved.
        caller: CallerName,
        /// Trace that the caller named or that the host began.
        trace: TraceId,
    },
    /// The backend server of this host, at the egress listener.
    Backend {
        /// From `tracestate`, if it was passed on.
        token: Option<LedgerToken>,
        /// From `traceparent`, if it was passed on.
        trace: Option<TraceId>,
    },
    /// Another node, for an operation whose home is this node.
    Home {
        /// What the other node sent.
        context: RequestContext,
    },
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptEnded {
    /// The call.
    pub call: CallId,
    /// The attempt, as the node numbered it.
    pub attempt: AttemptId,
    /// What came of it.
    pub result: AttemptResult,
}

/// What came of an attempt.
#[derive(Clone, Debug)]
pub enum AttemptResult {
    /// The head of an answer arrived.
    Answered(AnswerHead),
    /// No byte was handed over, or the connection's protocol proves that the
    /// other side did not process it (`REFUSED_STREAM`, GOAWAY's last stream).
    NotSent,
    /// The connection broke after the request was handed over.
    Broken,
    /// The time given with the attempt ran out.
    TimedOut,
}

/// Head of an answer from another node.
#[derive(Clone, Debug)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Authenticated context; `None` if it was missing or forged.
    pub context: Option<AnswerContext>,
    /// The answer itself, whole, if the call is a non-idempotent operation and
    /// the answer fits [`Node::STORED_ANSWER_LIMIT_BYTES`](crate::Node::STORED_ANSWER_LIMIT_BYTES).
    pub stored: Option<StoredAnswer>,
}

/// An answer that is kept for resends of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// The `Content-Type` header.
    pub content_type: Option<String>,
    /// The whole body.
    pub body: Vec<u8>,
}
