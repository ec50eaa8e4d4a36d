//! Table of the calls under way.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    CallerName, Fingerprint, Importance, LedgerToken, OperationRef, Outcome, RequestId, TraceId,
};

use crate::{
    AttemptId, CallArrived, CallId,
    operations::OperationCall,
    overload::{RouteKey, ServiceId},
};

/// Time after its deadline at which a call expires, if the host has not reported the end of its
/// attempt.
const EXPIRY_GRACE: Duration = Duration::from_secs(30);

/// Maximum number of calls under way; further ones are refused.
pub(super) const MAX_CALLS_COUNT: usize = 65_536;

/// A call under way.
#[derive(Debug)]
pub(crate) struct Call {
    /// The call as it arrived.
    pub(crate) arrived: CallArrived,
    /// Deadline of the answer, on the monotonic clock.
    pub(crate) deadline: Duration,
    /// Ledger to which its attempts are booked.
    pub(crate) ledger: LedgerToken,
    /// Whether the ledger was created for this call and is removed with it.
    pub(crate) owns_ledger: bool,
    /// Caller of the root request.
    pub(crate) caller: CallerName,
    /// Trace id of the root request.
    pub(crate) trace: TraceId,
    /// Id that the entry gave to the root request.
    pub(crate) request: RequestId,
    /// Number of calls between the entry and this host.
    pub(crate) depth_count: u8,
    /// Whether an earlier attempt of the work that makes this call may have run.
    pub(crate) is_retry: bool,
    /// Importance of the root request.
    pub(crate) importance: Importance,
    /// Whether the call can be run twice with the same effect as once.
    pub(crate) is_idempotent: bool,
    /// Fingerprint, which is the same for all resends of the call.
    pub(crate) fingerprint: Fingerprint,
    /// Rate limit of the caller at the service, in calls per second; 0 if there is none or the
    /// call did not enter the mesh here.
    pub(crate) caller_limit_per_s: u32,
    /// The operation, if the call names a non-idempotent one.
    pub(crate) operation: Option<OperationCall>,
    /// The called service, if it is in the service table.
    pub(crate) service: Option<ServiceId>,
    /// Route of the call: service, method and shape of the path.
    pub(crate) route: RouteKey,
    /// The attempt under way, if any.
    pub(crate) attempt: Option<Attempt>,
    /// The attempt that was the last to end.
    pub(crate) last_attempt: Option<AttemptId>,
    /// Endpoints of the attempts so far.
    pub(crate) tried: Vec<SocketAddr>,
    /// What the next attempt costs as a retry.
    pub(crate) retry_cost: RetryCost,
    /// Combined outcome of all attempts that have ended.
    pub(crate) outcome: Outcome,
    /// Whether the caller has disconnected.
    pub(crate) is_abandoned: bool,
}

/// What a retry costs of the retry allowance, beyond the attempt itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RetryCost {
    /// Attempts that the callee's subtree made free of charge in the failed attempt and will
    /// make again.
    pub(crate) subtree_count: u16,
    /// Whether that number is unknown, so that the callee has to charge each of its calls to
    /// the allowance as it makes them.
    pub(crate) is_unknown: bool,
}

/// An attempt under way.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    /// Peer address of the node to which it was sent.
    pub(crate) peer: SocketAddr,
    /// When it was started, on the monotonic clock.
    pub(crate) started: Duration,
    /// Retries lent to the callee.
    pub(crate) lent_count: u16,
    /// Whether its answer should name all services that the subtree reached.
    pub(crate) wants_services: bool,
    /// The operation, if the attempt was sent to its home node.
    pub(crate) home: Option<OperationRef>,
}

/// Table of the calls under way.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    pub(crate) calls: HashMap<CallId, Call>,
    /// When expired calls were last removed.
    pub(super) last_sweep: Duration,
}

impl CallTable {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Returns all calls, ordered by id.
    pub(super) fn ids(&self) -> Vec<CallId> {
        let mut ids: Vec<_> = self.calls.keys().copied().collect();
        ids.sort_unstable();
        ids
    }

    /// Returns the calls whose deadline passed more than [`EXPIRY_GRACE`] ago, ordered by id.
    pub(super) fn expired(&self, now: Duration) -> Vec<CallId> {
        let calls = self.calls.iter();
        let expired = calls.filter(|(_, call)| call.deadline + EXPIRY_GRACE < now);
        let mut expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired.sort_unstable();
        expired
    }

    pub(super) fn is_full(&self) -> bool {
        self.calls.len() >= MAX_CALLS_COUNT
    }
}
