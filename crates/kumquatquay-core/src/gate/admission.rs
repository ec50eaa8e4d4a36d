//! Admission control of the gate: decides which work runs, is queued or is refused.

use std::time::Duration;

use kumquatquay_wire::RequestContext;
use rand::Rng;

use super::{RunningWork, Work, answer::refuse};
use crate::{
    Blackboard, Counter, Moment, Output, RefusalReason, RunWork, WorkId,
    overload::Ledger,
    quarantine::{self, Verdict},
};

/// Lower bound of the queue limit.
const MIN_QUEUE_LIMIT_COUNT: usize = 8;

/// Upper bound of the queue limit.
const MAX_QUEUE_LIMIT_COUNT: usize = 256;

/// Queue limit if the policy disables the gate; the queue is FIFO then.
const UNGATED_QUEUE_LIMIT_COUNT: usize = 4_096;

const GATE_FULL: (RefusalReason, &str) = (
    RefusalReason::GateFull,
    "the backend server is full of work at least as important",
);
const DEADLINE_EXCEEDED: (RefusalReason, &str) = (
    RefusalReason::Deadline,
    "the time allowed would run out before the backend server could answer",
);
const LEAVING: (RefusalReason, &str) = (
    RefusalReason::Leaving,
    "the backend server takes no new work",
);
const NO_BACKEND_SERVER: (RefusalReason, &str) = (
    RefusalReason::NoBackendServer,
    "no backend server has announced itself on this host",
);
const CALLER_LIMIT_EXCEEDED: (RefusalReason, &str) = (
    RefusalReason::CallerLimit,
    "the caller is over the limit of its intent",
);

/// Queues or refuses work that arrived from another node or from this one, and runs queued work
/// up to the limit.
pub(super) fn on_arrived(
    board: &mut Blackboard,
    now: Moment,
    id: WorkId,
    context: RequestContext,
    out: &mut Vec<Output>,
) {
    board.counters.increment(Counter::WorkArrived);
    let remaining = Duration::from_millis(u64::from(context.remaining_ms));
    let work = Work {
        context,
        deadline: now.monotonic + remaining,
        arrived: now.monotonic,
    };
    if let Some(reason) = refusal_reason(board, now.monotonic, &work) {
        refuse(board, id, &work, reason, out);
        return;
    }
    let importance = work.importance();
    board
        .gate
        .level_controller
        .on_arrival(now.monotonic, importance);
    let is_ordered = board.settings.policy.has_gate;
    board.gate.queue.push(id, work, is_ordered);
    run_waiting(board, now, out);
    if board.gate.queue.len() > queue_limit_count(board) {
        board.gate.limit.on_saturated();
        refuse_expired(board, now, out);
    }
    while board.gate.queue.len() > queue_limit_count(board) {
        refuse_least_important(board, out);
    }
}

fn refusal_reason(
    board: &mut Blackboard,
    now: Duration,
    work: &Work,
) -> Option<(RefusalReason, &'static str)> {
    if board.members.is_leaving() {
        return Some(LEAVING);
    }
    if board.gate.limit.limit_count() == 0 {
        return Some(NO_BACKEND_SERVER);
    }
    if work.is_expired(now) {
        return Some(DEADLINE_EXCEEDED);
    }
    if exceeds_caller_limit(board, now, &work.context) {
        return Some(CALLER_LIMIT_EXCEEDED);
    }
    None
}

fn exceeds_caller_limit(board: &mut Blackboard, now: Duration, context: &RequestContext) -> bool {
    if context.caller_limit_per_s == 0 {
        return false;
    }
    let gates_count = board.members.candidates(&context.service).len().max(1);
    let share_per_s = f64::from(context.caller_limit_per_s) / gates_count as f64;
    !board
        .gate
        .caller_limits
        .try_admit(now, &context.caller, share_per_s)
}

pub(super) fn queue_limit_count(board: &Blackboard) -> usize {
    if !board.settings.policy.has_gate {
        return UNGATED_QUEUE_LIMIT_COUNT;
    }
    let half = board.gate.limit.limit_count() / 2;
    half.clamp(MIN_QUEUE_LIMIT_COUNT, MAX_QUEUE_LIMIT_COUNT)
}

fn running_limit_count(board: &Blackboard) -> usize {
    if board.settings.policy.has_gate {
        board.gate.limit.limit_count()
    } else {
        board.gate.connections_count
    }
}

/// Refuses the least important work in the queue, which may be the work that has just arrived.
fn refuse_least_important(board: &mut Blackboard, out: &mut Vec<Output>) {
    let Some((id, work)) = board.gate.queue.pop_least_important() else {
        return;
    };
    board.gate.level_controller.on_refused(work.importance());
    refuse(board, id, &work, GATE_FULL, out);
}

/// Refuses work whose deadline passed in the queue; does nothing if the policy disables the
/// gate.
pub(super) fn refuse_expired(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if !board.settings.policy.has_gate {
        return;
    }
    for (id, work) in board.gate.queue.take_expired(now.monotonic) {
        refuse_expired_work(board, id, &work, out);
    }
}

fn refuse_expired_work(board: &mut Blackboard, id: WorkId, work: &Work, out: &mut Vec<Output>) {
    board.counters.increment(Counter::WorkExpired);
    board.gate.level_controller.on_refused(work.importance());
    refuse(board, id, work, DEADLINE_EXCEEDED, out);
}

/// Refuses all queued work, because the backend server is gone.
pub(super) fn refuse_all(board: &mut Blackboard, out: &mut Vec<Output>) {
    refuse_queue(board, NO_BACKEND_SERVER, out);
}

/// Refuses all queued work, because this node ends.
pub(crate) fn refuse_all_at_end(board: &mut Blackboard, out: &mut Vec<Output>) {
    refuse_queue(board, LEAVING, out);
}

fn refuse_queue(
    board: &mut Blackboard,
    reason: (RefusalReason, &'static str),
    out: &mut Vec<Output>,
) {
    for (id, work) in board.gate.queue.withdraw_all() {
        refuse(board, id, &work, reason, out);
    }
}

/// Forwards queued work to the backend server, the most important first, up to the concurrency
/// limit, or up to the number of its connections if the policy disables the gate.
pub(super) fn run_waiting(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    while board.gate.running.len() < running_limit_count(board) {
        let Some((id, work)) = board.gate.queue.pop() else {
            return;
        };
        if board.settings.policy.has_gate && would_miss_deadline(board, now.monotonic, &work) {
            refuse_expired_work(board, id, &work, out);
            continue;
        }
        match quarantine::admit_work(board, now, id, work.context.fingerprint) {
            Verdict::Refuse(refusal) => {
                let reason = (refusal.reason, refusal.detail.as_str());
                refuse(board, id, &work, reason, out);
            }
            Verdict::Admit | Verdict::Isolate => run(board, now, id, work, out),
        }
    }
}

/// Whether the time left is less than half of the mean run time, so that an answer before the
/// deadline is unlikely.
///
/// The bound is half of the mean because some work runs faster than average, and refusing it by
/// mistake would be worse than running some work whose answer comes too late.
fn would_miss_deadline(board: &Blackboard, now: Duration, work: &Work) -> bool {
    let min_time_left_s = board.gate.limit.mean_run_time_s() / 2.0;
    let left = work.deadline.saturating_sub(now);
    left.is_zero() || left.as_secs_f64() < min_time_left_s
}

fn run(board: &mut Blackboard, now: Moment, id: WorkId, work: Work, out: &mut Vec<Output>) {
    let waited = now.monotonic - work.arrived;
    board
        .gate
        .level_controller
        .on_started(work.importance(), waited);
    let token = board.random.random();
    let ledger = Ledger::from_context(&work.context, work.deadline);
    board.overload.ledgers.insert_for_work(token, ledger);
    out.push(Output::RunWork(RunWork {
        work: id,
        token,
        trace: work.context.trace,
        is_idempotent: work.context.is_idempotent,
        timeout: work.deadline.saturating_sub(now.monotonic),
    }));
    let running = RunningWork {
        work,
        token,
        started: now.monotonic,
        others_count: board.gate.running.len(),
        is_answered: false,
    };
    board.gate.running.insert(id, running);
}
