//! What a node keeps of one request while a part of it runs on its host.

use std::time::Duration;

use kumquatquay_wire::{AnswerContext, CallerName, Importance, RequestContext, RequestId, TraceId};

use super::{retry_allowance::RetryAllowance, service_table::ServiceId};
use crate::CallId;

/// Services that a ledger remembers; a subtree that touches more names these.
const TOUCHED_LIMIT_COUNT: usize = 32;

/// What a node keeps of one request while a part of it runs on its host.
#[derive(Clone, Debug)]
pub(crate) struct Ledger {
    /// Trace that the request belongs to.
    pub(crate) trace: TraceId,
    /// The request, as its entry named it.
    pub(crate) request: RequestId,
    /// The caller at the entry.
    pub(crate) caller: CallerName,
    /// Importance given at the entry.
    pub(crate) importance: Importance,
    /// When the answer must be there, on the monotonic clock.
    pub(crate) deadline: Duration,
    /// Retries left.
    pub(crate) allowance: RetryAllowance,
    /// Calls between the entry and this host.
    pub(crate) depth_count: u8,
    /// Whether each call has to be paid, because an earlier attempt of this
    /// subtree may have made the calls of a clean run.
    pub(crate) is_repeat: bool,
    /// Whether the answer should name every service touched.
    pub(crate) wants_services: bool,
    /// Attempts made so far by the subtree that no allowance paid for; the
    /// greatest number once an answer was lost, since nobody knows any more.
    pub(crate) attempts_count: u16,
    /// Services touched so far by the subtree.
    pub(crate) reached_services: Vec<ServiceId>,
    /// Calls that are out.
    pub(crate) outgoing_calls: Vec<CallId>,
    /// How long calls have been out.
    pub(crate) outgoing_call_time: OutgoingCallTime,
}

impl Ledger {
    /// The ledger of a whole request, at the node where it begins.
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
            is_repeat: false,
            wants_services: false,
            attempts_count: 0,
            reached_services: Vec::new(),
            outgoing_calls: Vec::new(),
            outgoing_call_time: OutgoingCallTime::default(),
        }
    }

    /// The ledger of a part that another node sent.
    pub(crate) fn from_context(context: &RequestContext, deadline: Duration) -> Self {
        let whole = Self::new(
            context.trace,
            context.request,
            context.caller.clone(),
            context.importance(),
            deadline,
            context.allowance_count,
        );
        Self {
            depth_count: context.depth_count,
            is_repeat: context.is_repeat,
            wants_services: context.wants_services,
            ..whole
        }
    }

    /// Adds free attempts that a callee's subtree made, if it is known how many.
    pub(crate) fn add_attempts(&mut self, made_count: Option<u16>) {
        let made_count = made_count.unwrap_or(AnswerContext::ATTEMPTS_UNKNOWN);
        self.attempts_count = self.attempts_count.saturating_add(made_count);
    }

    /// Takes off free attempts that were paid for later.
    pub(crate) fn deduct_paid_attempts(&mut self, paid_count: u16) {
        if self.attempts_count != AnswerContext::ATTEMPTS_UNKNOWN {
            self.attempts_count = self.attempts_count.saturating_sub(paid_count);
        }
    }

    /// Notes that the subtree touched a service.
    pub(crate) fn add_reached_service(&mut self, service: ServiceId) {
        let has_room = self.reached_services.len() < TOUCHED_LIMIT_COUNT;
        if has_room && !self.reached_services.contains(&service) {
            self.reached_services.push(service);
        }
    }
}

/// Time during which a backend server waited for calls of its own.
///
/// The gate takes it off the latency, so that a slow service further down does
/// not look like a lack of room here.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct OutgoingCallTime {
    calls_out_count: u32,
    since: Duration,
    total: Duration,
}

impl OutgoingCallTime {
    /// A call goes out.
    pub(crate) fn on_call_started(&mut self, now: Duration) {
        if self.calls_out_count == 0 {
            self.since = now;
        }
        self.calls_out_count += 1;
    }

    /// A call was answered.
    pub(crate) fn on_call_ended(&mut self, now: Duration) {
        self.calls_out_count = self.calls_out_count.saturating_sub(1);
        if self.calls_out_count == 0 {
            self.total += now.saturating_sub(self.since);
        }
    }

    /// All time with at least one call out.
    pub(crate) fn total(&self, now: Duration) -> Duration {
        match self.calls_out_count {
            0 => self.total,
            _ => self.total + now.saturating_sub(self.since),
        }
    }
}
