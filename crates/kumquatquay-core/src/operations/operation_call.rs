//! Interface between the handling of calls and the operations.

use kumquatquay_wire::{BodyDigest, CallerName, OperationRef};

use crate::{CallArrived, CallEnding, CallId, CallOrigin, Moment};

/// The properties of a call that the operations need.
#[derive(Clone, Debug)]
pub(crate) struct OperationCall {
    /// The call.
    pub(crate) call: CallId,
    /// Authenticated caller at the entry; empty if the caller did not authenticate.
    pub(crate) caller: CallerName,
    /// Method, service, path and query.
    pub(crate) route: String,
    /// Digest of the body, if the host has read all of it.
    pub(crate) body_digest: Option<BodyDigest>,
    /// Whether running the call twice has the effect of running it once.
    pub(crate) is_idempotent: bool,
    /// The caller's `Idempotency-Key`.
    pub(crate) idempotency_key: Option<String>,
    /// An operation id issued by a node.
    pub(crate) operation_id: Option<String>,
    /// Set if another node sent the call here because this node is the home.
    pub(crate) home: Option<OperationRef>,
    /// When the call must be answered.
    pub(crate) deadline: Moment,
}

impl OperationCall {
    /// Copies the properties from a call that has arrived.
    pub(crate) fn new(
        arrived: &CallArrived,
        caller: CallerName,
        is_idempotent: bool,
        deadline: Moment,
    ) -> Self {
        let home = match &arrived.origin {
            CallOrigin::Home { context } => context.operation.clone(),
            CallOrigin::Outside { .. } | CallOrigin::Backend { .. } => None,
        };
        Self {
            call: arrived.call,
            caller,
            route: route_of(arrived),
            body_digest: arrived.body_digest,
            is_idempotent,
            idempotency_key: arrived.idempotency_key.clone(),
            operation_id: arrived.operation_id.clone(),
            home,
            deadline,
        }
    }

    /// Whether the call has a key or id by which repeats of its operation are recognised.
    pub(crate) fn is_operation(&self) -> bool {
        let is_named = self.idempotency_key.is_some() || self.operation_id.is_some();
        self.home.is_some() || (is_named && !self.is_idempotent)
    }
}

fn route_of(arrived: &CallArrived) -> String {
    let query = arrived.query.as_deref().unwrap_or_default();
    let (method, service, path) = (&arrived.method, &arrived.service, &arrived.path);
    format!("{method} {service} {path}?{query}")
}

/// What to do with a call before an attempt of it starts.
#[derive(Clone, Debug)]
pub(crate) enum OperationStep {
    /// Start the attempt at a backend server of the service.
    Proceed,
    /// Start no attempt; `call::resume` is called when the call no longer has to wait.
    Wait,
    /// Start the attempt at the home of the operation, whose peer address is
    /// [`OperationRef::home`], with this value in the context.
    ForwardToHome(OperationRef),
    /// End the call with this.
    Finish(CallEnding),
}

/// What to do with a call after an attempt of it ended.
#[derive(Clone, Debug)]
pub(crate) enum OperationVerdict {
    /// The call is idempotent: the rules for idempotent calls apply.
    NotAnOperation,
    /// The attempt did not run anything; another one is safe, after
    /// [`before_attempt`](super::before_attempt).
    NotRun,
    /// Make no further attempt and end the call with this.
    Finish(CallEnding),
}
