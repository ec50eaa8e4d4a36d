//! One attempt of a call at one endpoint, and what its answer says of that endpoint.

use std::{cell::Cell, net::SocketAddr, rc::Rc};

use kumquatquay_core::routed::{EndpointResult, PickedEndpoint};
use kumquatquay_wire::{
    BackendLife,
    routed::{CallHead, LinkOutcome, NotRunReason, UnknownReason},
};

use super::{
    link::send_call, link_answer::LinkAnswer, local_run::run_locally, node::RoutedNode,
    outgoing_call::OutgoingCall,
};

/// Reports to the load balancer when an attempt is dropped before it has an answer.
pub(super) struct AttemptGuard<'a> {
    node: &'a RoutedNode,
    control: SocketAddr,
    is_pending: Cell<bool>,
    /// Whether a hedged attempt was started because this one hung.
    pub(super) is_hedged: Cell<bool>,
}

impl<'a> AttemptGuard<'a> {
    pub(super) fn new(node: &'a RoutedNode, endpoint: &PickedEndpoint) -> Self {
        Self {
            node,
            control: endpoint.control,
            is_pending: Cell::new(true),
            is_hedged: Cell::new(false),
        }
    }
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        if !self.is_pending.get() {
            return;
        }
        let ended = if self.is_hedged.get() {
            EndpointResult::Failed
        } else {
            EndpointResult::Cancelled
        };
        let now = self.node.now();
        let mut targets = self.node.load_balancer.borrow_mut();
        targets.on_ended(now, self.control, ended, None);
    }
}

/// Sends a call to an endpoint once, and passes on what its answer says of the endpoint.
pub(super) async fn attempt(
    node: &Rc<RoutedNode>,
    call: &OutgoingCall,
    endpoint: &PickedEndpoint,
    head: CallHead<'_>,
    guard: &AttemptGuard<'_>,
) -> LinkAnswer {
    let answer = send(node, call, endpoint, head).await;
    guard.is_pending.set(false);
    apply_reports(node, call, endpoint.control, &answer);
    if let Some(life) = &endpoint.life {
        apply_notices(node, endpoint, life, &answer);
    }
    let ended = endpoint_result(&answer.outcome);
    let mut targets = node.load_balancer.borrow_mut();
    targets.on_ended(node.now(), endpoint.control, ended, answer.report);
    answer
}

/// Passes the rate limit and the shutdown notice of a backend server on to the load balancer.
fn apply_notices(
    node: &RoutedNode,
    endpoint: &PickedEndpoint,
    life: &BackendLife,
    answer: &LinkAnswer,
) {
    if let (LinkOutcome::Answered { .. }, Some(report)) = (&answer.outcome, answer.report) {
        let mut targets = node.load_balancer.borrow_mut();
        targets.on_rate_limit(node.now(), life, report.rate);
    }
    if answer.is_leaving && node.load_balancer.borrow_mut().on_leaving(node.now(), life) {
        node.metrics.count("server_leaving", "told");
        log::info!(event = "server_leaving", life:% = life, from = "answer",
            node:% = endpoint.control;
            "backend server announced its shutdown; no further calls are sent to it");
    }
}

/// Sends a call to an endpoint, which may be on this host.
async fn send(
    node: &Rc<RoutedNode>,
    call: &OutgoingCall,
    endpoint: &PickedEndpoint,
    head: CallHead<'_>,
) -> LinkAnswer {
    if endpoint.peer != node.links_address() {
        return send_call(node, call, endpoint, head).await;
    }
    let confirmed = async {
        call.may_have_run.set();
        true
    };
    let never = std::future::pending();
    let mut answer = run_locally(node, &head, &call.payload, confirmed, never).await;
    answer.report = Some(node.gate_report());
    answer.route_estimate = Some(node.route_estimate(head.route));
    answer
}

/// Applies the reports that came with an answer: load of the gate, demand of the route and
/// pressure on further services.
fn apply_reports(node: &RoutedNode, call: &OutgoingCall, gate: SocketAddr, answer: &LinkAnswer) {
    let now = node.now();
    let mut entry_admission = node.entry_admission.borrow_mut();
    if let Some(report) = answer.report {
        entry_admission.on_gate(now, &call.service, gate, &report);
    }
    if let Some(update) = &answer.route_estimate {
        let route = &call.route.settings.name;
        if entry_admission.on_route_update(now, route, &call.service, gate, update.clone()) {
            node.route_demand_log
                .log_if_changed(now, route, &call.service, update);
        } else {
            node.metrics.count("news", "senseless");
            if node.metrics.take_log_permit(now) {
                log::warn!(event = "news_senseless", route = route.as_str(),
                    service = call.service.as_str(), gate:% = gate;
                    "ignored implausible route information from another node");
            }
        }
    }
    for pressure in &answer.pressures {
        // For the service of the call, the gate's own report above is more accurate.
        if pressure.service != call.service {
            entry_admission.on_pressure(now, pressure);
        }
    }
}

fn endpoint_result(outcome: &LinkOutcome) -> EndpointResult {
    match outcome {
        // Also for error answers: the gate reports the share of failed runs, without runs that
        // failed because a call they made was lost.
        LinkOutcome::Answered { .. } => EndpointResult::Answered,
        LinkOutcome::NotRun(NotRunReason::Full | NotRunReason::Failing) => EndpointResult::GateFull,
        LinkOutcome::NotRun(NotRunReason::Limited) => EndpointResult::RateLimited,
        LinkOutcome::NotRun(
            NotRunReason::Late
            | NotRunReason::OverBudget
            | NotRunReason::Quarantined
            | NotRunReason::Isolated,
        ) => EndpointResult::Cancelled,
        LinkOutcome::NotRun(NotRunReason::Closed) => EndpointResult::Unavailable,
        LinkOutcome::NotRun(NotRunReason::Unsent)
        | LinkOutcome::Unknown(UnknownReason::LinkLost) => EndpointResult::Unreachable,
        LinkOutcome::NotRun(NotRunReason::TurnedAway) | LinkOutcome::Unknown(_) => {
            EndpointResult::Failed
        }
    }
}
