//! Keeps requests that crash backend servers from the one of this host.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_core::{RunInput, RunVerdict, WorkId};
use kumquatquay_wire::{
    Fingerprint,
    routed::{LinkOutcome, NotRunReason, Repeat, UnknownReason},
};

use super::{
    gate_slot::TimedCall, link_answer::LinkAnswer, node::RoutedNode, outgoing_call::OutgoingCall,
};

/// Runs of one call that may break before its entry stops to send it again.
const BROKEN_RUNS_LIMIT_COUNT: u32 = 2;

/// `Retry-After` of a request that is quarantined at all services of its route: it is refused for an hour,
/// or until an operator releases it.
pub(super) const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);

// At the gate

/// A call that is in flight at the backend server of this host, for the quarantine.
///
/// Dropped without an end, it counts as broken: nobody waits for the answer any more, but the backend
/// server may still run the call and crash.
pub(super) struct GuardedRun<'a> {
    node: &'a RoutedNode,
    work: WorkId,
    has_ended: bool,
}

impl<'a> GuardedRun<'a> {
    /// Begins a run.
    ///
    /// # Errors
    ///
    /// [`NotRunReason::Quarantined`], or [`NotRunReason::Isolated`] while another suspect runs.
    pub(super) fn begin(node: &'a RoutedNode, timed: &TimedCall<'_>) -> Result<Self, NotRunReason> {
        let work = node.engine.next_id();
        let refused = match node.engine.begin_run(work, timed.fingerprint()) {
            RunVerdict::Run => None,
            RunVerdict::Busy => Some(NotRunReason::Isolated),
            RunVerdict::Refuse => Some(NotRunReason::Quarantined),
        };
        if let Some(reason) = refused {
            node.metrics.count("quarantine", "refused_at_gate");
            return Err(reason);
        }
        Ok(Self {
            node,
            work,
            has_ended: false,
        })
    }

    /// Ends the run with its outcome.
    pub(super) fn end(mut self, outcome: &LinkOutcome) {
        let work = self.work;
        let input = match outcome {
            LinkOutcome::Answered { status } => RunInput::answered(work, *status),
            LinkOutcome::NotRun(_) => RunInput::NotRun { work },
            LinkOutcome::Unknown(_) => return,
        };
        self.has_ended = true;
        self.node.last_answer_at.set(self.node.now());
        self.node.engine.handle(input);
    }
}

impl Drop for GuardedRun<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            let work = self.work;
            self.node.engine.handle(RunInput::Broken { work });
        }
    }
}

/// Whether a call that arrives at the gate of this host is refused, before it waits for a slot.
pub(super) fn is_refused_on_arrival(node: &RoutedNode, timed: &TimedCall<'_>) -> bool {
    if node.engine.has_no_suspects() {
        return false;
    }
    let service = timed.call.service;
    let is_refused = node.engine.is_quarantined(service, timed.fingerprint());
    if is_refused {
        node.metrics.count("quarantine", "refused_at_gate");
    }
    is_refused
}

// At the entry

/// Fingerprint of a call; `None` while no request is a suspect, and none needs it.
fn needed_fingerprint(node: &RoutedNode, call: &OutgoingCall) -> Option<Fingerprint> {
    let has_suspects = !node.engine.has_no_suspects();
    has_suspects.then(|| call.fingerprint())
}

/// Whether this node knows that a call is quarantined.
pub(super) fn is_quarantined(node: &RoutedNode, call: &OutgoingCall) -> bool {
    let fingerprint = needed_fingerprint(node, call);
    fingerprint.is_some_and(|of| node.engine.is_quarantined(&call.service, of))
}

/// Whether a call that is quarantined at its service may run at another one to which its route is split.
pub(super) fn may_run_elsewhere(node: &RoutedNode, call: &OutgoingCall) -> bool {
    let fingerprint = call.fingerprint();
    let mut destinations = call.route.settings.destinations.iter();
    destinations.any(|other| !node.engine.is_quarantined(&other.service, fingerprint))
}

/// Whether a call may be sent again after an attempt whose outcome is unknown.
pub(super) fn may_send_again(
    node: &RoutedNode,
    call: &OutgoingCall,
    reason: UnknownReason,
    broken_runs_count: u32,
) -> bool {
    if call.route.settings.repeat == Repeat::AtMostOnce {
        return false;
    }
    let has_broken = reason == UnknownReason::BackendBroke;
    let has_broken_often = has_broken && broken_runs_count >= BROKEN_RUNS_LIMIT_COUNT;
    let fingerprint = needed_fingerprint(node, call);
    let may_send = !has_broken_often
        && fingerprint.is_none_or(|of| node.engine.may_send_again(&call.service, of));
    if !may_send {
        node.metrics.count("quarantine", "not_sent_again");
    }
    may_send
}

/// Whether a hedged attempt of a call may be started while another one runs.
pub(super) fn may_hedge(node: &RoutedNode, call: &OutgoingCall) -> bool {
    let fingerprint = needed_fingerprint(node, call);
    fingerprint.is_none_or(|of| !node.engine.is_suspect(&call.service, of))
}

/// Control addresses of the gates of a call's service, without the one that may run a suspect. All entries
/// that know the same members send it to the same gate.
pub(super) fn gates_that_refuse_suspect(node: &RoutedNode, call: &OutgoingCall) -> Vec<SocketAddr> {
    let gate = node
        .engine
        .isolation_gate(&call.service, call.fingerprint());
    node.engine.look_at_members(|members| {
        let others = members.filter(|member| {
            member.service.as_ref() == Some(&call.service) && Some(member.control) != gate
        });
        others.map(|member| member.control).collect()
    })
}

/// Refusal of a call that is quarantined.
pub(super) fn quarantined() -> LinkAnswer {
    LinkAnswer::not_run(NotRunReason::Quarantined)
}
