//! Differences between two intents, as text for operators.

use kumquatquay_wire::{Intent, RoutePattern};

/// The differences between two intents, one line each; empty if there are none.
pub(crate) fn differences(before: Option<&Intent>, after: Option<&Intent>) -> Vec<String> {
    let empty = Intent::default();
    let mut lines = Vec::new();
    match (before, after) {
        (None, Some(_)) => lines.push(String::from("gets its first intent")),
        (Some(_), None) => lines.push(String::from("loses its intent; nobody is protected")),
        _ => {}
    }
    let before = before.unwrap_or(&empty);
    let after = after.unwrap_or(&empty);
    compare_priorities(before, after, &mut lines);
    compare_limits(before, after, &mut lines);
    compare_idempotency(before, after, &mut lines);
    lines
}

fn compare_priorities(before: &Intent, after: &Intent, lines: &mut Vec<String>) {
    for (rank, priority) in after.priorities.iter().enumerate() {
        let old_rank = before.priorities.iter().position(|old| old == priority);
        let new = rank + 1;
        match old_rank.map(|rank| rank + 1) {
            None => lines.push(format!("protects {priority}, place {new}")),
            Some(old) if old != new => {
                lines.push(format!("moves {priority} from place {old} to place {new}"));
            }
            Some(_) => {}
        }
    }
    let removed = before
        .priorities
        .iter()
        .filter(|old| !after.priorities.contains(old));
    lines.extend(removed.map(|old| format!("protects {old} no longer")));
}

fn compare_limits(before: &Intent, after: &Intent, lines: &mut Vec<String>) {
    for limit in &after.limits {
        let new = limit.calls_per_s;
        let old = before.limits.iter().find(|old| old.caller == limit.caller);
        match old.map(|old| old.calls_per_s) {
            None => lines.push(format!("limits {} to {new} calls a second", limit.caller)),
            Some(old) if old != new => lines.push(format!(
                "changes the limit of {} from {old} to {new} calls a second",
                limit.caller
            )),
            Some(_) => {}
        }
    }
    let is_gone = |caller: &str| !after.limits.iter().any(|limit| limit.caller == caller);
    let removed = before.limits.iter().filter(|old| is_gone(&old.caller));
    lines.extend(removed.map(|old| format!("limits {} no longer", old.caller)));
}

fn compare_idempotency(before: &Intent, after: &Intent, lines: &mut Vec<String>) {
    for rule in &after.idempotency {
        if before.idempotency.contains(rule) {
            continue;
        }
        lines.push(match rule.is_idempotent {
            true => format!(
                "treats {} as idempotent: it may run more than once",
                rule.route
            ),
            false => format!(
                "treats {} as non-idempotent: it runs at most once",
                rule.route
            ),
        });
    }
    let named = |route: &RoutePattern| after.idempotency.iter().any(|rule| rule.route == *route);
    let removed = before.idempotency.iter().filter(|old| !named(&old.route));
    lines.extend(removed.map(|old| format!("treats {} by its method again", old.route)));
}
