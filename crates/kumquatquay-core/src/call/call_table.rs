//! Calls under way.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    CallerName, Fingerprint, Importance, LedgerToken, OperationRef, Outcome, RequestId, TraceId,
};

use crate::{
    AttemptId, CallArrived, CallId,
    operations::OperationCall,
    overload::{RouteKey, ServiceId},
};

/// How long after its deadline a call is forgotten if its host never says how
/// its attempt ended.
const LAPSE_GRACE: Duration = Duration::from_secs(30);

/// Calls that a node keeps; more are refused.
pub(super) const CALLS_LIMIT_COUNT: usize = 65_536;

/// One call under way.
#[derive(Debug)]
pub(crate) struct Call {
    /// As it arrived.
    pub(crate) arrived: CallArrived,
    /// When it must be answered, on the monotonic clock.
    pub(crate) deadline: Duration,
    /// The ledger that pays for it.
    pub(crate) ledger: LedgerToken,
    /// Whether the ledger belongs to this call alone and ends with it.
    pub(crate) owns_ledger: bool,
    /// The caller at the entry of the whole request.
    pub(crate) caller: CallerName,
    /// Trace of the whole request.
    pub(crate) trace: TraceId,
    /// The whole request, as its entry named it.
    pub(crate) request: RequestId,
    /// Calls between the entry and this host.
    pub(crate) depth_count: u8,
    /// Whether the work that makes the call is a repeat.
    pub(crate) is_repeat: bool,
    /// Importance of the whole request.
    pub(crate) importance: Importance,
    /// Whether running it twice has the effect of running it once.
    pub(crate) is_idempotent: bool,
    /// What identifies it across resends.
    pub(crate) fingerprint: Fingerprint,
    /// Calls a second that its caller may make to the service; 0 for no limit.
    pub(crate) caller_limit_per_s: u32,
    /// Set if it names a non-idempotent operation.
    pub(crate) operation: Option<OperationCall>,
    /// The service, if anything is kept of it.
    pub(crate) service: Option<ServiceId>,
    /// What kind of call it is.
    pub(crate) route: RouteKey,
    /// The attempt that is out, if any.
    pub(crate) attempt: Option<Attempt>,
    /// The attempt that ended last.
    pub(crate) last_attempt: Option<AttemptId>,
    /// Backend servers that were tried.
    pub(crate) tried: Vec<SocketAddr>,
    /// What the next attempt is charged.
    pub(crate) retry_cost: RetryCost,
    /// What is certain of all attempts that ended.
    pub(crate) outcome: Outcome,
    /// Whether its caller has gone.
    pub(crate) is_abandoned: bool,
}

/// What an attempt is charged to the retry allowance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct RetryCost {
    /// Attempts that the callee's subtree made before, free of charge, and that
    /// this attempt will make once more.
    pub(crate) subtree_count: u16,
    /// Whether that number is not known, so that the callee has to pay each of
    /// its calls as it makes them.
    pub(crate) is_unknown: bool,
}

/// One attempt that is out.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: AttemptId,
    /// Peer address of the node it went to.
    pub(crate) peer: SocketAddr,
    /// When it went out.
    pub(crate) started: Duration,
    /// Retries lent with it.
    pub(crate) lent_count: u16,
    /// Whether its answer was asked to name all services.
    pub(crate) wants_services: bool,
    /// Set if it went to the home of an operation.
    pub(crate) home: Option<OperationRef>,
}

/// Calls under way, by id.
#[derive(Debug, Default)]
pub(crate) struct CallTable {
    pub(crate) calls: HashMap<CallId, Call>,
    /// When lapsed calls were last cleared away.
    pub(super) last_sweep: Duration,
}

impl CallTable {
    pub(crate) fn len(&self) -> usize {
        self.calls.len()
    }

    /// Calls whose deadline passed long ago, in the order of their ids.
    pub(super) fn expired(&self, now: Duration) -> Vec<CallId> {
        let calls = self.calls.iter();
        let expired = calls.filter(|(_, call)| call.deadline + LAPSE_GRACE < now);
        let mut expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        expired.sort_unstable();
        expired
    }

    pub(super) fn is_full(&self) -> bool {
        self.calls.len() >= CALLS_LIMIT_COUNT
    }
}
