//! What the gate says of its work to the node that sent it.

use std::time::Duration;

use kumquatquay_wire::{AnswerContext, LoadReport, Outcome, RequestContext, ServiceLevel};

use super::Work;
use crate::{
    Blackboard, Counter, Moment, Output, Refusal, RefusalReason, WorkId,
    overload::{self, Ledger},
};

/// Levels that one answer carries.
const LEVELS_LIMIT_COUNT: usize = 24;

/// Refuses work that was never handed over.
pub(super) fn refuse(
    board: &mut Blackboard,
    id: WorkId,
    work: &Work,
    (reason, detail): (RefusalReason, &str),
    out: &mut Vec<Output>,
) {
    board.counters.add(Counter::WorkRefused);
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

/// The answer to work that was handed over, with what its ledger gathered.
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
            .extend(touched_levels(board, now.monotonic, ledger));
    }
    answer.levels.truncate(LEVELS_LIMIT_COUNT);
    answer
}

fn own_level(board: &Blackboard) -> Option<ServiceLevel> {
    let has_levels = board.settings.policy.has_levels;
    has_levels.then(|| overload::own_level(board)).flatten()
}

fn touched_levels(board: &Blackboard, now: Duration, ledger: &Ledger) -> Vec<ServiceLevel> {
    if !board.settings.policy.has_levels {
        return Vec::new();
    }
    let reached_services = ledger.reached_services.iter();
    let services = reached_services.map(|id| board.overload.services.get(*id));
    let is_whole = ledger.wants_services;
    let levels = services.flat_map(|service| overload::known_levels(service, now, is_whole));
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
