//! Repeats at the gate of this host, within its retry budget.

use std::time::Duration;

use kumquatquay_core::routed::{Mechanism, RejectedCall, RepeatedRuns};
use kumquatquay_wire::routed::{CallHead, LinkOutcome, NotRunReason};

use super::{
    arrivals::Arrival,
    gate_slot::{TimedCall, check_runnable},
    link_answer::LinkAnswer,
    node::RoutedNode,
};

/// Counts a repeat that was refused for lack of a token, or since its run makes calls.
pub(super) fn count_over_budget(node: &RoutedNode, call: &CallHead<'_>) {
    node.metrics.count("repeat", "over_budget");
    if let Some(cause) = call.repeat {
        node.repeat_log.record_refused(node.now(), cause);
    }
}

/// Counts a call that is about to be forwarded to the backend server in the retry budget; `false` if
/// it is a repeat without a token.
pub(super) fn admit_first_attempt(node: &RoutedNode, call: &CallHead<'_>) -> bool {
    let now = node.now();
    let mut retries = node.gate_retries.borrow_mut();
    if call.repeat.is_none() {
        retries.budget_mut().on_first_arrival(now);
        return true;
    }
    retries.try_repeat(now, node.priority_rank(call.request_priority))
}

/// Time that a repeated run of a route is given at most.
pub(super) fn repeat_limit(node: &RoutedNode, route: &str) -> Duration {
    RepeatedRuns::limit(node.gate.borrow().run_times().estimate(route))
}

/// Whether runs of a route may be repeated, if there is a token.
fn is_repeatable(node: &RoutedNode, route: &str) -> bool {
    let run_time = node.gate.borrow().run_times().estimate(route);
    let obstacle = if node.may_make_calls(route) {
        "may_make_calls"
    } else if RepeatedRuns::is_too_long(run_time) {
        "long_run"
    } else {
        return true;
    };
    node.metrics.count("not_repeatable", obstacle);
    false
}

/// Whether a repeat of a call may run here.
///
/// The calls of a repeated run are repeats at the services that they reach, and so are theirs, down
/// to the last level. One run would take many tokens there, and fail if one of them is missing. So
/// only runs that make no calls are repeated; the caller may send any other as a new request.
pub(super) fn admits_repeat(node: &RoutedNode, call: &CallHead<'_>) -> bool {
    let rank = node.priority_rank(call.request_priority);
    let has_room = node.gate_retries.borrow_mut().has_room(node.now(), rank);
    has_room && is_repeatable(node, call.route)
}

/// The answer to the sender of a call whose last attempt at this gate ended so.
///
/// A call that was rejected before has reached the backend server, also if it can't be reached any
/// more. Otherwise the sender would take the next attempt for the first arrival.
pub(super) fn after_attempts(
    node: &RoutedNode,
    answer: LinkAnswer,
    arrival: Arrival,
) -> LinkAnswer {
    let is_unreceived = matches!(
        answer.outcome,
        LinkOutcome::NotRun(NotRunReason::Closed | NotRunReason::Unsent)
    );
    match arrival {
        Arrival::First if is_unreceived => {
            let mut retries = node.gate_retries.borrow_mut();
            retries.budget_mut().on_not_received(node.now());
            answer
        }
        Arrival::AgainAtGate if is_unreceived => LinkAnswer::not_run(NotRunReason::TurnedAway),
        _ => answer,
    }
}

/// Whether a call that the backend server rejected is handed over to it again.
pub(super) fn should_forward_again(
    node: &RoutedNode,
    timed: &TimedCall<'_>,
    attempts_count: u32,
) -> bool {
    let now = node.now();
    if check_runnable(node, timed).is_err() || now > timed.latest_start(node) {
        return false;
    }
    if !node.is_on(Mechanism::GateRetries) || !is_repeatable(node, timed.call.route) {
        return false;
    }
    let services_count = node.load_balancer.borrow().services_count();
    let route_callers = node.route_callers.borrow();
    let call = RejectedCall {
        is_from_outside: route_callers.is_from_outside(now, timed.call.route, services_count),
        attempts_count,
        rank: node.priority_rank(timed.call.request_priority),
    };
    let mut retries = node.gate_retries.borrow_mut();
    retries.try_retry(now, call) && node.gate.borrow_mut().try_forward_again(now)
}
