//! Handles the events of work at the gate, from arrival to completion.

use kumquatquay_wire::{AnswerContext, LedgerToken, Outcome};

use super::{
    admission::{on_arrived, queue_limit_count, refuse_all, refuse_expired, run_waiting},
    answer::answer,
    work::RunningWork,
};
use crate::{
    BackendInput, Blackboard, CallId, Counter, Moment, Output, WorkId, WorkInput, WorkResult, call,
    overload::GateCapacity,
    quarantine::{self, InFlightRequest},
};

/// Lowest HTTP status that counts as a failure.
const MIN_FAILURE_STATUS: u16 = 500;

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

/// Handles announcements, health reports and the death of the backend server of this host.
pub(crate) fn on_backend(
    board: &mut Blackboard,
    now: Moment,
    input: &BackendInput,
    out: &mut Vec<Output>,
) {
    match input {
        BackendInput::Announced(announcement) => {
            quarantine::on_backend_announced(board);
            board.gate.connections_count = announcement.connections_count as usize;
            board
                .gate
                .limit
                .set_slots_count(announcement.slots_count as usize);
            run_waiting(board, now, out);
        }
        BackendInput::HealthReported { is_healthy } => board.gate.is_reported_ill = !is_healthy,
        BackendInput::Died => on_died(board, now, out),
        BackendInput::Unresponsive => on_unresponsive(board, now, out),
        BackendInput::ClosesConnections => on_closes_connections(board, now, out),
    }
}

fn on_died(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let in_flight = unanswered(board);
    quarantine::on_backend_died(board, now, &in_flight, out);
    on_ended(board, out);
}

fn on_unresponsive(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let in_flight = unanswered(board);
    quarantine::on_backend_silent(board, now, &in_flight);
    on_ended(board, out);
}

fn on_closes_connections(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let in_flight = unanswered(board);
    quarantine::on_backend_closes_connections(board, now, &in_flight, out);
    on_ended(board, out);
}

fn on_ended(board: &mut Blackboard, out: &mut Vec<Output>) {
    board.gate.limit.reset();
    refuse_all(board, out);
}

/// Work that runs and has no answer.
fn unanswered(board: &Blackboard) -> Vec<InFlightRequest> {
    let running = board.gate.running.iter();
    let unanswered = running.filter(|(_, running)| !running.is_answered);
    let in_flight = unanswered.map(|(work, running)| in_flight(board, *work, running));
    in_flight.collect()
}

fn in_flight(board: &Blackboard, work: WorkId, running: &RunningWork) -> InFlightRequest {
    InFlightRequest {
        work,
        fingerprint: running.work.context.fingerprint,
        started: running.started,
        is_isolated: board.quarantine.running_suspects.contains_key(&work),
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
            .on_utilisation(board.gate.running.len(), limit_count);
        let queue_limit_count = queue_limit_count(board);
        let capacity = GateCapacity {
            limit_count,
            queue_limit_count,
            run_time_s,
        };
        board.gate.level_controller.on_tick(now.monotonic, capacity);
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
    let Some(running) = board.gate.running.get(&id) else {
        return;
    };
    if running.is_answered {
        return;
    }
    let request = in_flight(board, id, running);
    let Some(running) = board.gate.running.get_mut(&id) else {
        return;
    };
    running.is_answered = true;
    let token = running.token;
    let context = running.work.context.clone();
    let started = running.started;
    let others_at_start_count = running.others_count;
    let run_time = now.monotonic - started;
    let outcome = outcome_of(result);
    match result {
        WorkResult::Answered {
            says_not_run: false,
            status,
        } => {
            let ledger = board.overload.ledgers.get(token);
            let waited = ledger.map(|ledger| ledger.outgoing_call_time.total(now.monotonic));
            let own_latency = run_time.saturating_sub(waited.unwrap_or_default());
            board.gate.limit.on_answered(started, run_time, own_latency);
            board
                .gate
                .limit
                .on_latency(others_at_start_count, own_latency);
            if quarantine::speaks_for_request(status) {
                quarantine::on_work_ran(board, now, request, out);
            } else {
                quarantine::on_work_failed(board, now, id);
            }
        }
        WorkResult::Answered { .. } | WorkResult::NotSent => {
            board.gate.limit.on_backend_refused(others_count);
            board.gate.level_controller.on_refused(context.importance());
        }
        WorkResult::Broken => quarantine::on_connection_broken(board, now, request),
        WorkResult::TimedOut => {}
    }
    let ledger = board.overload.ledgers.get_mut(token);
    let unspent_count = ledger.map_or(0, |ledger| ledger.allowance.take_unspent());
    let ledger = board.overload.ledgers.get(token);
    let mut answer = answer(board, now, &context, outcome, ledger);
    answer.allowance_returned_count = unspent_count.min(context.allowance_count);
    let has_outgoing_calls = has_outgoing_calls(board, token);
    if has_outgoing_calls {
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

fn has_outgoing_calls(board: &Blackboard, token: LedgerToken) -> bool {
    let ledger = board.overload.ledgers.get(token);
    ledger.is_some_and(|ledger| !ledger.outgoing_calls.is_empty())
}

/// Whether the result is a failure, which the sender may retry.
///
/// The ledger of failed work is removed at once: calls that the backend server still makes for
/// it would add to those of the retry.
fn is_failure(result: WorkResult) -> bool {
    match result {
        WorkResult::Answered { status, .. } => status >= MIN_FAILURE_STATUS,
        WorkResult::NotSent | WorkResult::Broken | WorkResult::TimedOut => true,
    }
}

/// Returns the outcome that is certain from the result.
///
/// `NotRun` is reported only if nothing was sent to the backend server or its answer says so by
/// the documented statement. A 503 without that statement may come from a backend server that
/// ran the request and failed.
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
    remove_work(board, id);
    run_waiting(board, now, out);
}

/// Removes work and its ledger; returns the calls made for it that are still under way.
fn remove_work(board: &mut Blackboard, id: WorkId) -> Vec<CallId> {
    let Some(running) = board.gate.running.remove(&id) else {
        return Vec::new();
    };
    quarantine::on_work_ended(board, id);
    let ledger = board.overload.ledgers.remove(running.token);
    ledger.map_or_else(Vec::new, |ledger| ledger.outgoing_calls)
}

/// Handles that the sender has disconnected or has cancelled the work.
///
/// Queued work is removed. Running work is cancelled only if it is idempotent: a non-idempotent
/// operation that is half done can't be undone, so it runs to its end and occupies its slot
/// until then.
fn on_cancelled(board: &mut Blackboard, now: Moment, id: WorkId, out: &mut Vec<Output>) {
    if board.gate.queue.remove(id).is_some() {
        board.counters.increment(Counter::WorkCancelled);
        return;
    }
    let Some(running) = board.gate.running.get(&id) else {
        return;
    };
    if !running.work.context.is_idempotent {
        return;
    }
    board.counters.increment(Counter::WorkCancelled);
    out.push(Output::CancelWork { work: id });
    let calls = remove_work(board, id);
    call::cancel_for_work(board, now, &calls, out);
    run_waiting(board, now, out);
}
