//! The life of work at the gate: arrival, hand-over, answer, end.

use kumquatquay_wire::{AnswerContext, LedgerToken, Outcome};

use super::{
    admission::{on_arrived, queue_limit_count, refuse_all, refuse_expired, run_waiting},
    answer::answer,
    work::RunningWork,
};
use crate::{
    BackendInput, Blackboard, CallId, Counter, Moment, Output, WorkId, WorkInput, WorkResult, call,
    overload::GateCapacity,
    quarantine::{self, InFlight},
};

/// The first status by which a backend server says that it failed.
const FAILED_STATUS: u16 = 500;

pub(crate) fn on_input(
    board: &mut Blackboard,
    now: Moment,
    input: WorkInput,
    out: &mut Vec<Output>,
) {
    match input {
        WorkInput::Arrived { work, context } => on_arrived(board, now, work, context, out),
        WorkInput::Answered { work, result } => on_answered(board, now, work, result, out),
        WorkInput::Finished { work } => on_finished(board, now, work, out),
        WorkInput::Cancelled { work } => on_cancelled(board, now, work, out),
    }
}

/// Takes in what the backend server of this host says or does.
pub(crate) fn on_backend(
    board: &mut Blackboard,
    now: Moment,
    input: &BackendInput,
    out: &mut Vec<Output>,
) {
    match input {
        BackendInput::Announced(announcement) => {
            board.gate.connections_count = announcement.connections_count as usize;
            board
                .gate
                .limit
                .set_slots_count(announcement.slots_count as usize);
            run_waiting(board, now, out);
        }
        BackendInput::HealthReported { is_healthy } => board.gate.is_reported_ill = !is_healthy,
        BackendInput::Died => on_died(board, now, out),
    }
}

fn on_died(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let running = board.gate.running.iter();
    let unanswered = running.filter(|(_, running)| !running.is_answered);
    let in_flight = unanswered.map(|(work, running)| in_flight(*work, running));
    let in_flight: Vec<_> = in_flight.collect();
    quarantine::on_backend_died(board, now, &in_flight, out);
    board.gate.limit.reset();
    refuse_all(board, out);
}

fn in_flight(work: WorkId, running: &RunningWork) -> InFlight {
    InFlight {
        work,
        fingerprint: running.work.context.fingerprint,
        started: running.started,
    }
}

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    refuse_expired(board, now, out);
    board.gate.limit.on_tick(now.monotonic);
    if !board.gate.queue.is_empty() {
        board.gate.limit.on_saturated();
    }
    if board.settings.policy.has_levels {
        let run_time_s = board.gate.limit.mean_run_time_s();
        let limit_count = board.gate.limit.limit_count();
        board
            .gate
            .level_controller
            .on_utilization(board.gate.running.len(), limit_count);
        let queue_count = queue_limit_count(board);
        let room = GateCapacity {
            limit_count,
            queue_count,
            run_time_s,
        };
        board.gate.level_controller.on_tick(now.monotonic, room);
    }
    run_waiting(board, now, out);
}

fn on_answered(
    board: &mut Blackboard,
    now: Moment,
    id: WorkId,
    result: WorkResult,
    out: &mut Vec<Output>,
) {
    let others_count = board.gate.running.len().saturating_sub(1);
    let Some(running) = board.gate.running.get_mut(&id) else {
        return;
    };
    if running.is_answered {
        return;
    }
    running.is_answered = true;
    let token = running.token;
    let context = running.work.context.clone();
    let request = in_flight(id, running);
    let started = running.started;
    let beside_count = running.others_count;
    let run = now.monotonic - started;
    let outcome = outcome_of(result);
    match result {
        WorkResult::Answered { says_not_run, .. } if !says_not_run => {
            let ledger = board.overload.ledgers.get(token);
            let waited = ledger.map(|ledger| ledger.outgoing_call_time.total(now.monotonic));
            let own = run.saturating_sub(waited.unwrap_or_default());
            board.gate.limit.on_answered(started, run, own);
            board.gate.limit.on_latency(beside_count, own);
            quarantine::on_ran(board, now, id, context.fingerprint);
        }
        WorkResult::Answered { .. } | WorkResult::NotSent => {
            board.gate.limit.on_backend_refused(others_count);
            board.gate.level_controller.on_refused(context.importance());
        }
        WorkResult::Broken => quarantine::on_broken(board, now, request),
        WorkResult::TimedOut => {}
    }
    let ledger = board.overload.ledgers.get_mut(token);
    let unspent_count = ledger.map_or(0, |ledger| ledger.allowance.take_unspent());
    let ledger = board.overload.ledgers.get(token);
    let mut answer = answer(board, now, &context, outcome, ledger);
    answer.allowance_returned_count = unspent_count.min(context.allowance_count);
    let has_calls_out = ledger_has_calls_out(board, token);
    if has_calls_out {
        answer.attempts_count = AnswerContext::ATTEMPTS_UNKNOWN;
    }
    if is_failure(result) {
        board.overload.ledgers.remove(token);
    }
    out.push(Output::AnswerWork {
        work: id,
        context: answer,
    });
}

fn ledger_has_calls_out(board: &Blackboard, token: LedgerToken) -> bool {
    let ledger = board.overload.ledgers.get(token);
    ledger.is_some_and(|ledger| !ledger.outgoing_calls.is_empty())
}

/// Whether the sender may make the call again. Calls that the backend server
/// makes after such an answer would come on top of those of the next attempt, so
/// the ledger ends at once.
fn is_failure(result: WorkResult) -> bool {
    match result {
        WorkResult::Answered { status, .. } => status >= FAILED_STATUS,
        WorkResult::NotSent | WorkResult::Broken | WorkResult::TimedOut => true,
    }
}

/// Not run is said only where it is certain: nothing was handed over, or the
/// backend server says so by its documented statement. A bare 503 may come from
/// a backend server that ran the request and failed.
fn outcome_of(result: WorkResult) -> Outcome {
    match result {
        WorkResult::Answered {
            says_not_run: false,
            ..
        } => Outcome::Ran,
        WorkResult::Answered { .. } | WorkResult::NotSent => Outcome::NotRun,
        WorkResult::Broken | WorkResult::TimedOut => Outcome::Unknown,
    }
}

fn on_finished(board: &mut Blackboard, now: Moment, id: WorkId, out: &mut Vec<Output>) {
    end_work(board, id);
    run_waiting(board, now, out);
}

/// Forgets work; says which calls were made for it and are still out.
fn end_work(board: &mut Blackboard, id: WorkId) -> Vec<CallId> {
    let Some(running) = board.gate.running.remove(&id) else {
        return Vec::new();
    };
    quarantine::on_work_gone(board, id);
    let ledger = board.overload.ledgers.remove(running.token);
    ledger.map_or_else(Vec::new, |ledger| ledger.outgoing_calls)
}

/// The sender has gone. Work that waits leaves at once. Work that was handed
/// over is given up only if it is idempotent: a filing that is half done can't
/// be taken back, so it runs to its end and keeps its place until then.
fn on_cancelled(board: &mut Blackboard, now: Moment, id: WorkId, out: &mut Vec<Output>) {
    if board.gate.queue.remove(id).is_some() {
        board.counters.add(Counter::WorkCancelled);
        return;
    }
    let Some(running) = board.gate.running.get(&id) else {
        return;
    };
    if !running.work.context.is_idempotent {
        return;
    }
    board.counters.add(Counter::WorkCancelled);
    out.push(Output::CancelWork { work: id });
    let calls = end_work(board, id);
    call::cancel_for_work(board, now, &calls, out);
    run_waiting(board, now, out);
}
