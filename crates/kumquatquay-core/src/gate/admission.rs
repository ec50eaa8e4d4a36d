//! Which work runs, which waits and which is refused.

use std::time::Duration;

use kumquatquay_wire::RequestContext;
use rand::Rng;

use super::{RunningWork, Work, answer::refuse};
use crate::{
    Blackboard, Counter, Moment, Output, RefusalReason, RunWork, WorkId,
    overload::Ledger,
    quarantine::{self, Verdict},
};

/// The least work that may wait.
const QUEUE_LEAST_COUNT: usize = 8;

/// The greatest number of work that may wait.
const QUEUE_GREATEST_COUNT: usize = 256;

/// Work that waits without order where the gate is switched off.
const UNCONTROLLED_QUEUE_COUNT: usize = 4_096;

const FULL: (RefusalReason, &str) = (
    RefusalReason::GateFull,
    "the backend server is full of work at least as important",
);
const EXPIRED: (RefusalReason, &str) = (
    RefusalReason::Deadline,
    "the time allowed would run out before the backend server could answer",
);
const LEAVING: (RefusalReason, &str) = (
    RefusalReason::Leaving,
    "the backend server takes no new work",
);
const ABSENT: (RefusalReason, &str) = (
    RefusalReason::NoBackendServer,
    "no backend server has announced itself on this host",
);
const OVER_LIMIT: (RefusalReason, &str) = (
    RefusalReason::CallerLimit,
    "the caller is over the limit of its intent",
);

/// Takes in work that another node, or this one, sent.
pub(super) fn on_arrived(
    board: &mut Blackboard,
    now: Moment,
    id: WorkId,
    context: RequestContext,
    out: &mut Vec<Output>,
) {
    board.counters.add(Counter::WorkArrived);
    let remaining = Duration::from_millis(u64::from(context.remaining_ms));
    let work = Work {
        context,
        deadline: now.monotonic + remaining,
        arrived: now.monotonic,
    };
    if let Some(why) = reason_to_refuse(board, now.monotonic, &work) {
        refuse(board, id, &work, why, out);
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
        refuse_least(board, out);
    }
}

fn reason_to_refuse(
    board: &mut Blackboard,
    now: Duration,
    work: &Work,
) -> Option<(RefusalReason, &'static str)> {
    if board.members.is_leaving() {
        return Some(LEAVING);
    }
    if board.gate.limit.limit_count() == 0 {
        return Some(ABSENT);
    }
    if work.is_expired(now) {
        return Some(EXPIRED);
    }
    if is_over_limit(board, now, &work.context) {
        return Some(OVER_LIMIT);
    }
    None
}

fn is_over_limit(board: &mut Blackboard, now: Duration, context: &RequestContext) -> bool {
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
        return UNCONTROLLED_QUEUE_COUNT;
    }
    let half = board.gate.limit.limit_count() / 2;
    half.clamp(QUEUE_LEAST_COUNT, QUEUE_GREATEST_COUNT)
}

fn running_limit_count(board: &Blackboard) -> usize {
    if board.settings.policy.has_gate {
        board.gate.limit.limit_count()
    } else {
        board.gate.connections_count
    }
}

/// Refuses the least important work that waits; the newest arrival, if it is
/// that one.
fn refuse_least(board: &mut Blackboard, out: &mut Vec<Output>) {
    let Some((id, work)) = board.gate.queue.pop_least_important() else {
        return;
    };
    board.gate.level_controller.on_refused(work.importance());
    refuse(board, id, &work, FULL, out);
}

/// Refuses work whose time has run out while it waited.
pub(super) fn refuse_expired(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if !board.settings.policy.has_gate {
        return;
    }
    for (id, work) in board.gate.queue.take_expired(now.monotonic) {
        refuse_late(board, id, &work, out);
    }
}

fn refuse_late(board: &mut Blackboard, id: WorkId, work: &Work, out: &mut Vec<Output>) {
    board.counters.add(Counter::WorkExpired);
    board.gate.level_controller.on_refused(work.importance());
    refuse(board, id, work, EXPIRED, out);
}

/// Refuses all work that waits, because the backend server is gone.
pub(super) fn refuse_all(board: &mut Blackboard, out: &mut Vec<Output>) {
    for (id, work) in board.gate.queue.withdraw_all() {
        refuse(board, id, &work, ABSENT, out);
    }
}

/// Hands over the most important work while there is room.
pub(super) fn run_waiting(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    while board.gate.running.len() < running_limit_count(board) {
        let Some((id, work)) = board.gate.queue.pop() else {
            return;
        };
        if board.settings.policy.has_gate && would_be_late(board, now.monotonic, &work) {
            refuse_late(board, id, &work, out);
            continue;
        }
        match quarantine::admit_work(board, now, id, work.context.fingerprint) {
            Verdict::Refuse(refusal) => {
                let why = (refusal.reason, refusal.detail.as_str());
                refuse(board, id, &work, why, out);
            }
            Verdict::Admit | Verdict::Alone => run(board, now, id, work, out),
        }
    }
}

/// Whether an answer in time is hardly to be expected. Half of the mean time to
/// run is asked for: some work is quicker than the average, and dropping it for a
/// wrong guess would be worse than running some in vain.
fn would_be_late(board: &Blackboard, now: Duration, work: &Work) -> bool {
    let least_s = board.gate.limit.mean_run_time_s() / 2.0;
    let left = work.deadline.saturating_sub(now);
    left.is_zero() || left.as_secs_f64() < least_s
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
