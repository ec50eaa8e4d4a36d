//! Records refusals and explains them to operators.

use kumquatquay_wire::{Class, Explanation, OperatorReply, RefusalRecord, TraceId};

use crate::{Blackboard, Moment, Refusal, call::Call};

/// Most refusals that one explanation lists.
const EXPLAINED_REFUSALS_LIMIT_COUNT: usize = 50;

/// Most characters of a path that are recorded.
const PATH_CHARACTERS_LIMIT_COUNT: usize = 128;

/// Attributes of a refused call that are recorded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RefusedCall<'a> {
    pub(crate) trace: TraceId,
    pub(crate) caller: &'a str,
    pub(crate) service: &'a str,
    pub(crate) method: &'a str,
    pub(crate) path: &'a str,
    pub(crate) class: Class,
}

impl<'a> RefusedCall<'a> {
    pub(crate) fn of(call: &'a Call) -> Self {
        Self {
            trace: call.trace,
            caller: &call.caller,
            service: &call.arrived.service,
            method: &call.arrived.method,
            path: &call.arrived.path,
            class: call.importance.class(),
        }
    }
}

/// Records a refusal, with the version of the configuration in force.
pub(crate) fn record(
    board: &mut Blackboard,
    now: Moment,
    call: RefusedCall<'_>,
    refusal: &Refusal,
) {
    let path: String = call
        .path
        .chars()
        .take(PATH_CHARACTERS_LIMIT_COUNT)
        .collect();
    let version = board.configuration.version();
    board.refusals.push(RefusalRecord {
        refused_unix_ms: now.unix_ms(),
        trace: format!("{:032x}", call.trace),
        caller: String::from(call.caller),
        service: String::from(call.service),
        route: format!("{} {path}", call.method),
        class: call.class,
        reason: refusal.reason.to_string(),
        outcome: refusal.outcome.to_string(),
        detail: refusal.detail.clone(),
        version,
    });
}

/// Explains why a request, or the requests of a caller, were refused at this node.
///
/// `subject` is a trace id in hexadecimal or the name of a caller. The answer also lists what the
/// intents in force say of the caller.
pub(crate) fn explain(board: &Blackboard, subject: String) -> OperatorReply {
    let refusals = board.refusals.iter().filter(|refusal| {
        refusal.trace.eq_ignore_ascii_case(&subject) || refusal.caller == subject
    });
    let refusals: Vec<RefusalRecord> = refusals
        .take(EXPLAINED_REFUSALS_LIMIT_COUNT)
        .cloned()
        .collect();
    let caller = refusals
        .first()
        .map_or(subject.as_str(), |refusal| &refusal.caller);
    let intents = rules_for_caller(board, caller);
    OperatorReply::Explanation(Explanation {
        subject,
        refusals,
        intents,
    })
}

/// Priorities and rate limits that the intents in force give to a caller, one per line.
fn rules_for_caller(board: &Blackboard, caller: &str) -> Vec<String> {
    let mut lines = Vec::new();
    for intent in board.configuration.intents() {
        let service = &intent.service;
        for (rank, priority) in intent.priorities.iter().enumerate() {
            if priority.caller.as_deref() == Some(caller) {
                let place = rank + 1;
                lines.push(format!("{service} protects {priority}, place {place}"));
            }
        }
        for limit in intent.limits.iter().filter(|limit| limit.caller == caller) {
            let calls_per_s = limit.calls_per_s;
            lines.push(format!(
                "{service} limits {caller} to {calls_per_s} calls a second"
            ));
        }
    }
    lines
}
