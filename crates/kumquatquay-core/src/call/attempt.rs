//! Starts the attempts of a call.

use std::time::Duration;

use kumquatquay_wire::{OperationRef, RequestContext};

use super::{
    call_table::Attempt,
    ending::{finish, outcome_so_far},
    refusals,
};
use crate::{
    Blackboard, CallEnding, CallId, Counter, Moment, Output, StartAttempt,
    operations::{self, OperationStep},
    overload::{self, PickCriteria, PickedEndpoint, Route},
    quarantine::{self, Verdict},
};

/// Divisor of the time left that gives the margin: the time that a node reserves for its own
/// processing and the transfer of the answer.
const MARGIN_DIVISOR: u32 = 50;

/// Lower bound of the margin.
const MIN_MARGIN: Duration = Duration::from_millis(1);

/// Upper bound of the margin.
const MAX_MARGIN: Duration = Duration::from_millis(10);

/// Continues a call that has no attempt under way: starts an attempt, waits or ends the call.
pub(crate) fn resume(board: &mut Blackboard, now: Moment, id: CallId, out: &mut Vec<Output>) {
    let Some(call) = board.calls.calls.get(&id) else {
        return;
    };
    let step = match call.operation.clone() {
        Some(operation) => operations::before_attempt(board, now, &operation, out),
        None => OperationStep::Proceed,
    };
    match step {
        OperationStep::Proceed => start_attempt(board, now, id, None, out),
        OperationStep::ForwardToHome(home) => start_attempt(board, now, id, Some(home), out),
        OperationStep::Finish(ending) => finish(board, now, id, ending, out),
        OperationStep::Wait => {}
    }
}

fn start_attempt(
    board: &mut Blackboard,
    now: Moment,
    id: CallId,
    home: Option<OperationRef>,
    out: &mut Vec<Output>,
) {
    let Some(call) = board.calls.calls.get(&id) else {
        return;
    };
    let time_left = call.deadline.saturating_sub(now.monotonic);
    if time_left <= margin(time_left) {
        refuse(board, now, id, refusals::deadline_passed(), out);
        return;
    }
    let Some(picked) = pick_endpoint(board, now, id, home.as_ref()) else {
        refuse(board, now, id, refusals::no_backend_server(), out);
        return;
    };
    if !charge_attempt(board, id) {
        refuse(board, now, id, refusals::retries_exhausted(), out);
        return;
    }
    let peer = picked.peer;
    let is_home = home.is_some();
    let attempt = board.next_id();
    let wants_services = should_request_services(board, now.monotonic, id);
    let lent_count = lend_allowance(board, id);
    let Some(call) = board.calls.calls.get_mut(&id) else {
        return;
    };
    call.tried.push(peer);
    call.attempt = Some(Attempt {
        id: attempt,
        peer,
        started: now.monotonic,
        lent_count,
        wants_services,
        home,
    });
    if !is_home {
        overload::on_sent(board, picked);
    }
    let Some(context) = request_context(board, now.monotonic, id) else {
        return;
    };
    operations::on_attempt_started(board, id);
    out.push(Output::StartAttempt(StartAttempt {
        call: id,
        attempt,
        target: peer,
        context,
        timeout: time_left,
    }));
}

/// Ends a call with a refusal because no attempt can be started.
///
/// The outcome in the refusal is that of the operation or of the earlier attempts, which may
/// have run.
pub(super) fn refuse(
    board: &mut Blackboard,
    now: Moment,
    id: CallId,
    mut refusal: crate::Refusal,
    out: &mut Vec<Output>,
) {
    let Some(call) = board.calls.calls.get(&id) else {
        return;
    };
    refusal.outcome = outcome_so_far(board, call);
    finish(board, now, id, CallEnding::Refuse(refusal), out);
}

fn margin(time_left: Duration) -> Duration {
    (time_left / MARGIN_DIVISOR).clamp(MIN_MARGIN, MAX_MARGIN)
}

fn pick_endpoint(
    board: &mut Blackboard,
    now: Moment,
    id: CallId,
    home: Option<&OperationRef>,
) -> Option<PickedEndpoint> {
    let call = board.calls.calls.get(&id)?;
    if let Some(home) = home {
        return Some(PickedEndpoint::home(home));
    }
    let service = call.arrived.service.clone();
    let verdict = quarantine::check(board, now, &service, call.fingerprint);
    let is_isolated = verdict == Verdict::Isolate;
    let isolation_peer = is_isolated
        .then(|| quarantine::isolation_endpoint(board, &service))
        .flatten();
    if let Some(peer) = isolation_peer {
        return overload::endpoint_at(board, &service, peer);
    }
    let tried = call.tried.clone();
    let criteria = PickCriteria {
        service: call.service,
        importance: call.importance,
        tried: &tried,
        uses_all_data_centres: call.caller_limit_per_s > 0,
    };
    overload::pick(board, now.monotonic, &service, criteria)
}

/// Charges an attempt to the retry allowance of the request; returns false if too little is
/// left.
///
/// The first attempt of a call is free, unless the work that makes the call is itself a retry:
/// the earlier run may already have made the call. A further attempt costs 1, plus the number
/// of attempts that the callee's subtree made free of charge in the failed attempt, since it
/// will make them again. The attempt is also counted in the retry budget of the service.
fn charge_attempt(board: &mut Blackboard, id: CallId) -> bool {
    let policy = board.settings.policy;
    let Some(call) = board.calls.calls.get(&id) else {
        return false;
    };
    let is_first = call.tried.is_empty();
    if let Some(service) = call.service {
        let budget = &mut board.overload.services.get_mut(service).retry_budget;
        match is_first {
            true => budget.on_first_attempt(),
            false => budget.on_retry(),
        }
    }
    if !is_first {
        board.counters.increment(Counter::Retries);
    }
    let Some(ledger) = board.overload.ledgers.get_mut(call.ledger) else {
        return is_first || !policy.has_retry_allowance;
    };
    if is_first && !ledger.is_retry {
        ledger.add_attempts(Some(1));
        return true;
    }
    if !policy.has_retry_allowance {
        return true;
    }
    let subtree_count = call.retry_cost.subtree_count;
    ledger.deduct_paid_attempts(subtree_count);
    ledger.allowance.try_spend(1 + subtree_count)
}

fn lend_allowance(board: &mut Blackboard, id: CallId) -> u16 {
    let split = board.settings.policy.allowance_split;
    let call = board.calls.calls.get(&id);
    let ledger = call.and_then(|call| board.overload.ledgers.get_mut(call.ledger));
    ledger.map_or(0, |ledger| ledger.allowance.lend(split))
}

fn should_request_services(board: &mut Blackboard, now: Duration, id: CallId) -> bool {
    let Some(call) = board.calls.calls.get(&id) else {
        return false;
    };
    if !board.settings.policy.has_levels || call.service.is_none() {
        return false;
    }
    let ledger = board.overload.ledgers.get(call.ledger);
    let is_requested = ledger.is_some_and(|ledger| ledger.wants_services);
    let arrived = &call.arrived;
    let label = || format!("{} {} {}", arrived.method, arrived.service, arrived.path);
    let new_route = || Route::new(label());
    let route = board
        .overload
        .routes
        .get_or_insert_with(call.route, new_route);
    route.begin_services_request(now) || is_requested
}

fn request_context(board: &Blackboard, now: Duration, id: CallId) -> Option<RequestContext> {
    let call = board.calls.calls.get(&id)?;
    let attempt = call.attempt.as_ref()?;
    let time_left = call.deadline.saturating_sub(now);
    let remaining = time_left.saturating_sub(margin(time_left));
    Some(RequestContext {
        trace: call.trace,
        request: call.request,
        caller: call.caller.clone(),
        service: call.arrived.service.clone(),
        class: call.importance.class(),
        cohort: call.importance.cohort(),
        remaining_ms: remaining.as_millis().min(u128::from(u32::MAX)) as u32,
        allowance_count: attempt.lent_count,
        is_retry: call.is_retry || call.retry_cost.is_unknown,
        wants_services: attempt.wants_services,
        caller_limit_per_s: call.caller_limit_per_s,
        depth_count: call.depth_count.saturating_add(1),
        fingerprint: call.fingerprint,
        is_idempotent: call.is_idempotent,
        operation: attempt.home.clone(),
        sender_incarnation: board.settings.incarnation,
        attempt: attempt.id,
    })
}
