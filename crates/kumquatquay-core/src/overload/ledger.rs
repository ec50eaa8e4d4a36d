//! Ledger of a root request at one node.

use std::time::Duration;

use kumquatquay_wire::{AnswerContext, CallerName, Importance, RequestContext, RequestId, TraceId};

use super::{retry_allowance::RetryAllowance, service_table::ServiceId};
use crate::CallId;

/// Maximum number of reached services in a ledger; further ones are not reported.
const MAX_REACHED_SERVICES_COUNT: usize = 32;

/// Bookkeeping of one node on a root request, while a part of the request runs on its host:
/// identity and deadline, retries, outgoing calls and the services that they reach.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    /// Trace id of the request.
    pub(crate) trace: TraceId,
    /// Id that the entry gave to the request.
    pub(crate) request: RequestId,
    /// Caller of the root request.
    pub(crate) caller: CallerName,
    /// Importance that the entry assigned.
    pub(crate) importance: Importance,
    /// Deadline of the answer, on the monotonic clock.
    pub(crate) deadline: Duration,
    /// Retry allowance held by this node.
    pub(crate) allowance: RetryAllowance,
    /// Number of calls between the entry and this host.
    pub(crate) depth_count: u8,
    /// Whether an earlier attempt of this subtree may have run, so that each call is charged to
    /// the allowance, even if it is a first attempt.
    pub(crate) is_retry: bool,
    /// Whether the answer should name all services that were reached.
    pub(crate) wants_services: bool,
    /// Attempts of the subtree so far that were not charged to an allowance;
    /// [`AnswerContext::ATTEMPTS_UNKNOWN`] once an answer was lost.
    pub(crate) attempts_count: u16,
    /// Services that the subtree has reached so far.
    pub(crate) reached_services: Vec<ServiceId>,
    /// Outgoing calls under way.
    pub(crate) outgoing_calls: Vec<CallId>,
    /// Time with outgoing calls under way.
    pub(crate) outgoing_call_time: OutgoingCallTime,
}

impl Ledger {
    /// Creates the ledger of a root request, at the node where it begins.
    pub(crate) fn new(
        trace: TraceId,
        request: RequestId,
        caller: CallerName,
        importance: Importance,
        deadline: Duration,
        allowance_count: u16,
    ) -> Self {
        Self {
            trace,
            request,
            caller,
            importance,
            deadline,
            allowance: RetryAllowance::new(allowance_count),
            depth_count: 0,
            is_retry: false,
            wants_services: false,
            attempts_count: 0,
            reached_services: Vec::new(),
            outgoing_calls: Vec::new(),
            outgoing_call_time: OutgoingCallTime::default(),
        }
    }

    /// Creates the ledger of a part of a request that another node sent.
    pub(crate) fn from_context(context: &RequestContext, deadline: Duration) -> Self {
        let ledger = Self::new(
            context.trace,
            context.request,
            context.caller.clone(),
            context.importance(),
            deadline,
            context.allowance_count,
        );
        Self {
            depth_count: context.depth_count,
            is_retry: context.is_retry,
            wants_services: context.wants_services,
            ..ledger
        }
    }

    /// Adds attempts that were not charged to an allowance; `None` if their number is unknown.
    pub(crate) fn add_attempts(&mut self, made_count: Option<u16>) {
        let made_count = made_count.unwrap_or(AnswerContext::ATTEMPTS_UNKNOWN);
        self.attempts_count = self.attempts_count.saturating_add(made_count);
    }

    /// Subtracts attempts that are charged to the allowance now, with a retry.
    pub(crate) fn deduct_paid_attempts(&mut self, paid_count: u16) {
        if self.attempts_count != AnswerContext::ATTEMPTS_UNKNOWN {
            self.attempts_count = self.attempts_count.saturating_sub(paid_count);
        }
    }

    /// Records that the subtree has reached a service.
    pub(crate) fn add_reached_service(&mut self, service: ServiceId) {
        let has_room = self.reached_services.len() < MAX_REACHED_SERVICES_COUNT;
        if has_room && !self.reached_services.contains(&service) {
            self.reached_services.push(service);
        }
    }
}

/// Time during which the backend server had outgoing calls under way.
///
/// The gate subtracts it from the latency, so that a slow callee does not look like a lack of
/// capacity of this backend server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutgoingCallTime {
    outgoing_count: u32,
    busy_since: Duration,
    total: Duration,
}

impl OutgoingCallTime {
    /// Records the start of an outgoing call.
    pub(crate) fn on_call_started(&mut self, now: Duration) {
        if self.outgoing_count == 0 {
            self.busy_since = now;
        }
        self.outgoing_count += 1;
    }

    /// Records the end of an outgoing call.
    pub(crate) fn on_call_ended(&mut self, now: Duration) {
        self.outgoing_count = self.outgoing_count.saturating_sub(1);
        if self.outgoing_count == 0 {
            self.total += now.saturating_sub(self.busy_since);
        }
    }

    /// Total time with at least one outgoing call under way.
    pub(crate) fn total(&self, now: Duration) -> Duration {
        match self.outgoing_count {
            0 => self.total,
            _ => self.total + now.saturating_sub(self.busy_since),
        }
    }
}
