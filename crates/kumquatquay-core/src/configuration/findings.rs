//! Validation of the intents in an operator's edits.

use std::collections::BTreeSet;

use kumquatquay_wire::{
    CallerName, Finding, Intent, IntentEdit, MemberState, RoutePattern, ServiceName,
};

use crate::Blackboard;

/// Minimum Jaro-Winkler similarity, from 0 to 1, at which a known name is suggested for an unknown
/// one.
const SUGGESTION_SIMILARITY: f64 = 0.75;

/// Names of services and callers that a node knows.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownNames {
    pub(super) services: BTreeSet<ServiceName>,
    pub(super) callers: BTreeSet<CallerName>,
}

impl KnownNames {
    pub(super) fn of(board: &Blackboard) -> Self {
        let members = board.members.iter();
        let members = members.filter(|member| member.state != MemberState::Gone);
        let mut services: BTreeSet<ServiceName> = members
            .filter_map(|member| member.service.clone())
            .collect();
        let mut callers: BTreeSet<CallerName> = board
            .configuration
            .demand
            .callers()
            .into_iter()
            .cloned()
            .collect();
        for entry in board.configuration.state.entries() {
            let Some(intent) = &entry.intent else {
                continue;
            };
            services.insert(entry.service.clone());
            callers.extend(
                intent
                    .priorities
                    .iter()
                    .filter_map(|priority| priority.caller.clone()),
            );
            callers.extend(intent.limits.iter().map(|limit| limit.caller.clone()));
        }
        Self { services, callers }
    }
}

/// All mistakes in the edits, in the order of the edits.
pub(super) fn check(
    edits: &[IntentEdit],
    names: &KnownNames,
    allows_unknown: bool,
) -> Vec<Finding> {
    let mut findings = Vec::new();
    if edits.is_empty() {
        findings.push(finding("plan", "names no service", None));
    }
    let mut seen = BTreeSet::new();
    for edit in edits {
        if !seen.insert(&edit.service) {
            findings.push(finding(&edit.service, "is named twice", None));
        }
        check_service(edit, names, allows_unknown, &mut findings);
        if let Some(intent) = &edit.intent {
            check_intent(edit, intent, &mut findings);
        }
    }
    findings
}

fn check_service(
    edit: &IntentEdit,
    names: &KnownNames,
    allows_unknown: bool,
    findings: &mut Vec<Finding>,
) {
    check_name(&edit.service, "service", &edit.service, findings);
    if !allows_unknown && !names.services.contains(&edit.service) {
        findings.push(finding(
            &edit.service,
            "no backend server of this service is known and it has no intent; \
             --allow-unknown plans it all the same",
            nearest(&edit.service, &names.services),
        ));
    }
}

fn check_intent(edit: &IntentEdit, intent: &Intent, findings: &mut Vec<Finding>) {
    if intent.service != edit.service {
        findings.push(finding(
            &edit.service,
            "the intent names another service",
            None,
        ));
    }
    check_priorities(intent, findings);
    check_limits(intent, findings);
    check_idempotency(intent, findings);
}

fn check_priorities(intent: &Intent, findings: &mut Vec<Finding>) {
    let service = &intent.service;
    check_count(service, "protect", intent.priorities.len(), findings);
    for (rank, priority) in intent.priorities.iter().enumerate() {
        let place = format!("{service}, protect {}", rank + 1);
        if priority.caller.is_none() && priority.route.is_none() {
            findings.push(finding(&place, "names neither a caller nor a route", None));
        }
        if let Some(caller) = &priority.caller {
            check_name(&place, "caller", caller, findings);
        }
        if let Some(route) = &priority.route {
            check_route(&place, route, findings);
        }
        if intent.priorities[..rank].contains(priority) {
            findings.push(finding(&place, "stands twice", None));
        }
    }
}

fn check_limits(intent: &Intent, findings: &mut Vec<Finding>) {
    let service = &intent.service;
    check_count(service, "limit", intent.limits.len(), findings);
    let mut seen = BTreeSet::new();
    for limit in &intent.limits {
        let place = format!("{service}, limit of {}", limit.caller);
        check_name(&place, "caller", &limit.caller, findings);
        if !seen.insert(&limit.caller) {
            findings.push(finding(&place, "stands twice", None));
        }
    }
}

fn check_idempotency(intent: &Intent, findings: &mut Vec<Finding>) {
    let service = &intent.service;
    check_count(service, "idempotency", intent.idempotency.len(), findings);
    for (index, rule) in intent.idempotency.iter().enumerate() {
        let place = format!("{service}, idempotency of {}", rule.route);
        check_route(&place, &rule.route, findings);
        let mut earlier = intent.idempotency[..index].iter();
        if earlier.any(|earlier| earlier.route == rule.route) {
            findings.push(finding(&place, "stands twice", None));
        }
    }
}

fn check_count(service: &str, list: &str, count: usize, findings: &mut Vec<Finding>) {
    if count > Intent::LIST_LIMIT_COUNT {
        let message = format!("has {count} entries, at most {}", Intent::LIST_LIMIT_COUNT);
        findings.push(finding(&format!("{service}, {list}"), &message, None));
    }
}

/// Unknown callers in an intent whose names resemble a known one, each with that one.
///
/// These are not findings, because an intent may name a caller that has yet to make its first call.
pub(super) fn near_misses<'a>(intent: &'a Intent, names: &KnownNames) -> Vec<(&'a str, String)> {
    let protected = intent.priorities.iter();
    let protected = protected.filter_map(|priority| priority.caller.as_deref());
    let limited = intent.limits.iter().map(|limit| limit.caller.as_str());
    let callers: BTreeSet<&str> = protected.chain(limited).collect();
    let unknown = callers
        .into_iter()
        .filter(|caller| !names.callers.contains(*caller));
    let near = unknown.filter_map(|caller| Some((caller, nearest(caller, &names.callers)?)));
    near.filter(|(caller, near)| without_digits(caller) != without_digits(near))
        .collect()
}

/// A name without its digits, by which `bot-2` is not taken for a misspelling of `bot-1`.
fn without_digits(name: &str) -> String {
    name.chars()
        .filter(|character| !character.is_ascii_digit())
        .collect()
}

fn check_route(place: &str, route: &RoutePattern, findings: &mut Vec<Finding>) {
    if !route.path_prefix.starts_with('/') {
        let suggestion = Some(format!("/{}", route.path_prefix));
        findings.push(finding(
            place,
            "the path does not start with a slash",
            suggestion,
        ));
    }
    if route.path_prefix.len() > Intent::NAME_LIMIT_BYTES {
        findings.push(finding(place, "the path is too long", None));
    }
    let Some(method) = &route.method else {
        return;
    };
    let is_method = !method.is_empty() && method.bytes().all(|byte| byte.is_ascii_uppercase());
    if !is_method {
        let message = format!("{method:?} is no HTTP method");
        findings.push(finding(place, &message, Some(method.to_ascii_uppercase())));
    }
}

fn check_name(place: &str, kind: &str, name: &str, findings: &mut Vec<Finding>) {
    let is_visible = |character: char| character.is_ascii_graphic() && character != '.';
    let is_service = kind == "service";
    let is_plain = name
        .chars()
        .all(|character| is_visible(character) || (character == '.' && !is_service));
    if name.is_empty() || name.len() > Intent::NAME_LIMIT_BYTES || !is_plain {
        let message = format!(
            "{name:?} can't be the name of a {kind}: 1 to {} visible ASCII characters",
            Intent::NAME_LIMIT_BYTES
        );
        findings.push(finding(place, &message, None));
    }
}

/// The known name most similar to an unknown one, if any is similar enough.
pub(crate) fn nearest(name: &str, known: &BTreeSet<String>) -> Option<String> {
    let similarity = |other: &&String| strsim::jaro_winkler(name, other);
    let others = known.iter().filter(|other| other.as_str() != name);
    let alike = others.filter(|other| similarity(other) >= SUGGESTION_SIMILARITY);
    let nearest = alike.max_by(|one, other| similarity(one).total_cmp(&similarity(other)));
    nearest.cloned()
}

fn finding(place: &str, message: &str, suggestion: Option<String>) -> Finding {
    Finding {
        place: String::from(place),
        message: String::from(message),
        suggestion,
    }
}
