//! Warnings about the effects of a plan.

use std::collections::BTreeSet;

use kumquatquay_wire::{Intent, IntentEdit};

use super::{
    findings::{self, KnownNames},
    planner::places,
};
use crate::Blackboard;

/// Warnings about the intent of one edit, one sentence each.
pub(super) fn warnings(board: &Blackboard, edit: &IntentEdit) -> Vec<String> {
    let mut warnings = Vec::new();
    let Some(intent) = &edit.intent else {
        return warnings;
    };
    warn_of_near_misses(board, intent, &mut warnings);
    warn_of_limits_below_demand(board, intent, &mut warnings);
    warn_of_capacity(board, intent, &mut warnings);
    warn_of_shadowed_priorities(intent, &mut warnings);
    warn_of_idempotency(intent, &mut warnings);
    warnings
}

fn warn_of_near_misses(board: &Blackboard, intent: &Intent, warnings: &mut Vec<String>) {
    for (caller, near) in findings::near_misses(intent, &KnownNames::of(board)) {
        warnings.push(format!(
            "{}: no caller {caller:?} was seen or named before; did you mean {near:?}?",
            intent.service
        ));
    }
}

fn protected_callers(intent: &Intent) -> BTreeSet<&str> {
    intent
        .priorities
        .iter()
        .filter_map(|priority| priority.caller.as_deref())
        .collect()
}

fn warn_of_limits_below_demand(board: &Blackboard, intent: &Intent, warnings: &mut Vec<String>) {
    let protected = protected_callers(intent);
    for limit in &intent.limits {
        let demand_per_s = board
            .configuration
            .demand
            .calls_per_s(&intent.service, &limit.caller);
        let limited = f64::from(limit.calls_per_s);
        if let Some(demand_per_s) = demand_per_s.filter(|demand_per_s| *demand_per_s > limited) {
            let what = if protected.contains(limit.caller.as_str()) {
                "a protected caller"
            } else {
                "it"
            };
            warnings.push(format!(
                "{}: {} may make {limited:.0} calls a second, and this node alone sees {demand_per_s:.0}; \
                 {what} will be refused",
                intent.service, limit.caller
            ));
        } else if limit.calls_per_s == 0 {
            warnings.push(format!(
                "{}: {} will be refused always",
                intent.service, limit.caller
            ));
        }
    }
}

/// Warns if the limits of the protected callers together exceed the capacity of the service.
fn warn_of_capacity(board: &Blackboard, intent: &Intent, warnings: &mut Vec<String>) {
    let service = &intent.service;
    let slots_count: u32 = places(board, service)
        .iter()
        .map(|place| place.slots_count)
        .sum();
    let protected = protected_callers(intent);
    let limits = intent
        .limits
        .iter()
        .filter(|limit| protected.contains(limit.caller.as_str()));
    let granted_per_s: u64 = limits
        .clone()
        .map(|limit| u64::from(limit.calls_per_s))
        .sum();
    if slots_count == 0 || granted_per_s == 0 {
        return;
    }
    // A slot runs one request at a time, so the capacity is `slots / mean run time`.
    let longest_ms = 1_000.0 * f64::from(slots_count) / granted_per_s as f64;
    let mean_ms = mean_run_ms(board, service);
    match mean_ms {
        Some(mean_ms) if mean_ms > longest_ms => warnings.push(format!(
            "{service}: its limits can't hold all protected callers: together they may make \
             {granted_per_s} calls a second, {slots_count} slots hold that while a call takes at \
             most {longest_ms:.1} ms, and calls take {mean_ms:.1} ms now; the less important of \
             them will be refused"
        )),
        Some(_) => {}
        None => warnings.push(format!(
            "{service}: its limits hold all protected callers only while a call takes at most \
             {longest_ms:.1} ms: together they may make {granted_per_s} calls a second on \
             {slots_count} slots; how long calls take is not known at this node"
        )),
    }
}

/// Mean run time of the calls to a service, as observed by this node.
fn mean_run_ms(board: &Blackboard, service: &str) -> Option<f64> {
    let mut services = board.overload.services.iter();
    let service = services.find(|known| known.name == service)?;
    (service.latency_s > 0.0).then_some(service.latency_s * 1_000.0)
}

fn warn_of_shadowed_priorities(intent: &Intent, warnings: &mut Vec<String>) {
    for (rank, priority) in intent.priorities.iter().enumerate() {
        let earlier = intent.priorities[..rank].iter();
        let mut covering = earlier.filter(|earlier| {
            let covers_caller = earlier.caller.is_none() || earlier.caller == priority.caller;
            let covers_route = earlier.route.is_none() || earlier.route == priority.route;
            covers_caller && covers_route
        });
        if let Some(covering) = covering.next() {
            warnings.push(format!(
                "{}: {priority} is covered by {covering}, which stands before it, and changes \
                 nothing",
                intent.service
            ));
        }
    }
}

fn warn_of_idempotency(intent: &Intent, warnings: &mut Vec<String>) {
    let methods = ["POST", "PATCH"];
    for rule in intent.idempotency.iter().filter(|rule| rule.is_idempotent) {
        let method = rule.route.method.as_deref();
        if method.is_none_or(|method| methods.contains(&method)) {
            warnings.push(format!(
                "{}: {} may run more than once after a lost answer; make sure that this does no \
                 harm",
                intent.service, rule.route
            ));
        }
    }
}
