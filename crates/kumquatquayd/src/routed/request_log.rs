//! Log lines on individual requests.

use std::time::Duration;

use kumquatquay_core::routed::RouteEntry;
use kumquatquay_wire::routed::{
    GateReport, LinkOutcome, NotRunReason, UnknownReason, WorkspaceSettings,
};

use super::{
    caller_identity::IdentityRefusal, interface::RequestMetadata, link_answer::LinkAnswer,
    node::RoutedNode, outgoing_call::OutgoingCall, quotas::QuotaRefusal,
};

pub(crate) fn not_run_label(reason: NotRunReason) -> &'static str {
    match reason {
        NotRunReason::Full => "full",
        NotRunReason::Closed => "closed",
        NotRunReason::TurnedAway => "turned_away",
        NotRunReason::Late => "late",
        NotRunReason::Unsent => "unsent",
        NotRunReason::Failing => "failing",
        NotRunReason::Limited => "limited",
        NotRunReason::Quarantined => "quarantined",
        NotRunReason::Isolated => "isolated",
        NotRunReason::OverBudget => "over_budget",
    }
}

pub(crate) fn unknown_label(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::LinkLost => "link_lost",
        UnknownReason::BackendBroke => "backend_broke",
        UnknownReason::Garbled => "garbled",
        UnknownReason::NoAnswer => "no_answer",
    }
}

pub(crate) fn log_request_end(
    node: &RoutedNode,
    call: &OutgoingCall,
    answer: &LinkAnswer,
    outcome: &'static str,
    received_at: Duration,
) {
    let why = match &answer.outcome {
        LinkOutcome::Answered { status, .. } => status.to_string(),
        LinkOutcome::NotRun(reason) => reason.to_string(),
        LinkOutcome::Unknown(reason) => reason.to_string(),
    };
    if outcome == "served" {
        log_request(node, call, outcome, &why, answer.report, received_at);
    } else {
        log_request_rate_limited(node, call, outcome, &why, answer.report, received_at);
    }
}

/// Logs a request, unless the limit of log lines for this second is reached.
pub(crate) fn log_request_rate_limited(
    node: &RoutedNode,
    call: &OutgoingCall,
    outcome: &'static str,
    why: &str,
    report: Option<GateReport>,
    received_at: Duration,
) {
    if node.metrics.take_log_permit(node.now()) {
        log_request(node, call, outcome, why, report, received_at);
    }
}

pub(crate) fn log_request(
    node: &RoutedNode,
    call: &OutgoingCall,
    outcome: &'static str,
    why: &str,
    report: Option<GateReport>,
    received_at: Duration,
) {
    let now = node.now();
    let progress = call.progress.get();
    let caller = call.caller.map(|caller| caller.to_string());
    let last_node = progress.last_node.map(|last_node| last_node.to_string());
    let report = report.unwrap_or_default();
    log::info!(
        event = "request",
        request = call.attempt_id.as_str(),
        caller = caller.as_deref().unwrap_or_default(),
        route = call.route.settings.name.as_str(),
        service = call.service.as_str(),
        outcome = outcome,
        why = why,
        version = call.version,
        took_ms = now.saturating_sub(received_at).as_millis() as u64,
        left_ms = call.deadline.saturating_sub(now).as_millis() as u64,
        sends = progress.sends_count,
        refusals = progress.refusals_count as u64,
        last_node = last_node.as_deref().unwrap_or_default(),
        gate_running = report.running_count,
        gate_waiting = report.waiting_count,
        gate_limit = report.limit_count;
        "request finished"
    );
}

/// Logs a request whose caller or route is not identified. No part of its key is logged.
pub(crate) fn log_unidentified(
    node: &RoutedNode,
    metadata: &RequestMetadata,
    refusal: IdentityRefusal,
) {
    if !node.metrics.take_log_permit(node.now()) {
        return;
    }
    let proof_age_ms = node.proof_age().map(|age| age.as_millis() as u64);
    log::info!(
        event = "request",
        request = metadata.attempt_id.as_deref().unwrap_or_default(),
        outcome = "refused",
        why = refusal.name(),
        version = node.route_version(),
        proof_age_ms = proof_age_ms;
        "request finished"
    );
}

/// Logs a request that exceeds the quota of its workspace.
pub(crate) fn log_over_quota(
    node: &RoutedNode,
    metadata: &RequestMetadata,
    route: &RouteEntry,
    workspace: &WorkspaceSettings,
    why: &'static str,
    refusal: QuotaRefusal,
) {
    if !node.metrics.take_log_permit(node.now()) {
        return;
    }
    let quota = workspace.quota;
    log::info!(
        event = "request",
        request = metadata.attempt_id.as_deref().unwrap_or_default(),
        route = route.settings.name.as_str(),
        workspace = workspace.name.as_str(),
        outcome = "refused",
        why = why,
        rate_per_s = quota.map_or(0.0, |quota| quota.rate_per_s),
        burst = quota.map_or(0.0, |quota| quota.burst_count),
        share = refusal.share();
        "request finished"
    );
}
