//! Refusals and answer contexts that the gate sends to the node that sent the work.

use std::time::Duration;

use kumquatquay_wire::{AnswerContext, LoadReport, Outcome, RequestContext, ServiceLevel};

use super::Work;
use crate::{
    Blackboard, Counter, Moment, Output, Refusal, RefusalReason, WorkId,
    overload::{self, Ledger},
};

/// Maximum number of levels in one answer.
const MAX_LEVELS_COUNT: usize = 24;

/// Refuses work that was not forwarded to the backend server.
pub(super) fn refuse(
    board: &mut Blackboard,
    id: WorkId,
    work: &Work,
    (reason, detail): (RefusalReason, &str),
    out: &mut Vec<Output>,
) {
    board.counters.increment(Counter::WorkRefused);
    let level = board.gate.level_controller.level();
    let retry_after = overload::retry_after(&mut board.random, level, work.importance());
    let refusal = Refusal {
        reason,
        outcome: Outcome::NotRun,
        retry_after: Some(retry_after),
        detail: String::from(detail),
    };
    let mut context = answer_context(board, &work.context, Outcome::NotRun);
    context.allowance_returned_count = work.context.allowance_count;
    context.retry_after_ms = retry_after.as_millis() as u32;
    context.levels.extend(own_level(board));
    out.push(Output::RefuseWork {
        work: id,
        refusal,
        context,
    });
}

/// Creates the answer context of work that was forwarded to the backend server, with the
/// attempts and service levels that its ledger has collected.
pub(super) fn answer(
    board: &Blackboard,
    now: Moment,
    context: &RequestContext,
    outcome: Outcome,
    ledger: Option<&Ledger>,
) -> AnswerContext {
    let mut answer = answer_context(board, context, outcome);
    answer.levels.extend(own_level(board));
    if let Some(ledger) = ledger {
        answer.attempts_count = ledger.attempts_count;
        answer
            .levels
            .extend(reached_service_levels(board, now.monotonic, ledger));
    }
    answer.levels.truncate(MAX_LEVELS_COUNT);
    answer
}

fn own_level(board: &Blackboard) -> Option<ServiceLevel> {
    let has_levels = board.settings.policy.has_levels;
    has_levels.then(|| overload::own_level(board)).flatten()
}

fn reached_service_levels(board: &Blackboard, now: Duration, ledger: &Ledger) -> Vec<ServiceLevel> {
    if !board.settings.policy.has_levels {
        return Vec::new();
    }
    let reached_services = ledger.reached_services.iter();
    let services = reached_services.map(|id| board.overload.services.get(*id));
    let includes_all = ledger.wants_services;
    let levels = services.flat_map(|service| overload::known_levels(service, now, includes_all));
    levels.collect()
}

fn answer_context(board: &Blackboard, context: &RequestContext, outcome: Outcome) -> AnswerContext {
    AnswerContext {
        attempt: context.attempt,
        outcome,
        allowance_returned_count: 0,
        attempts_count: 0,
        levels: Vec::new(),
        load: LoadReport {
            in_flight_count: board.gate.running.len() as u32,
            queued_count: board.gate.queue.len() as u32,
            limit_count: board.gate.limit.limit_count() as u32,
            is_reported_ill: board.gate.is_reported_ill,
        },
        is_leaving: board.members.is_leaving(),
        retry_after_ms: 0,
    }
}
