//! Ends attempts and calls: records results, decides on retries and finishes calls.

use std::time::Duration;

use kumquatquay_wire::{AnswerContext, Importance, LedgerToken, Outcome, ServiceLevel};

use super::{
    attempt::resume,
    call_table::{Attempt, Call, RetryCost},
    refusals,
};
use crate::{
    AnswerHead, AttemptEnded, AttemptResult, Blackboard, CallEnding, CallId, CallOrigin, Counter,
    Moment, Output, Refusal,
    explain::{self, RefusedCall},
    operations::{self, OperationVerdict},
    overload::{self, EndpointResult, Route},
    quarantine,
};

/// HTTP statuses after which an idempotent call may be retried: the backend server or its node
/// could not serve it now, but another one may.
const RETRYABLE_STATUSES: [u16; 3] = [502, 503, 504];

/// Handles the end of an attempt: retries or finishes the call.
///
/// Only the result of the attempt under way is accepted. A duplicate, or a result that arrives
/// after the attempt was cancelled, is ignored: it must neither end another attempt nor return
/// its retries a second time.
pub(super) fn on_attempt_ended(
    board: &mut Blackboard,
    now: Moment,
    ended: AttemptEnded,
    out: &mut Vec<Output>,
) {
    let id = ended.call;
    let Some(attempt) = take_attempt(board, &ended) else {
        board.counters.increment(Counter::AnswersIgnored);
        return;
    };
    let answer = answer_context_of(&ended, &attempt).cloned();
    let outcome = outcome_of(&ended.result, answer.as_ref());
    record_result(board, now, id, &attempt, &ended.result, answer.as_ref());
    let Some(call) = board.calls.calls.get_mut(&id) else {
        return;
    };
    call.last_attempt = Some(attempt.id);
    let earlier = call.outcome;
    call.outcome = combine_outcomes(earlier, outcome);
    let operation = call.operation.clone();
    if attempt.home.is_none() {
        let (service, fingerprint) = (call.arrived.service.clone(), call.fingerprint);
        let result = &ended.result;
        quarantine::on_attempt_ended(board, now, &service, fingerprint, result, outcome);
    }
    let verdict = match &operation {
        Some(operation) => operations::on_attempt_ended(board, now, operation, &ended, out),
        None => OperationVerdict::NotAnOperation,
    };
    let is_failed = match verdict {
        OperationVerdict::Finish(ending) => {
            finish(board, now, id, ending, out);
            return;
        }
        OperationVerdict::NotRun => true,
        OperationVerdict::NotAnOperation => is_failure(&ended.result, outcome),
    };
    let retry_cost = is_failed
        .then(|| cost_of_retry(board, now, id, outcome, answer.as_ref()))
        .flatten();
    if let (Some(retry_cost), Some(call)) = (retry_cost, board.calls.calls.get_mut(&id)) {
        call.retry_cost = retry_cost;
        resume(board, now, id, out);
        return;
    }
    if let Some(operation) = &operation {
        let outcome = operations::outcome_if_not_sent(board, operation);
        set_outcome(board, id, outcome);
    }
    let ending = if attempt.home.is_some() {
        operations::home_unreachable()
    } else {
        ending_of(board, id, &ended.result, outcome)
    };
    finish(board, now, id, ending, out);
}

fn set_outcome(board: &mut Blackboard, id: CallId, outcome: Outcome) {
    if let Some(call) = board.calls.calls.get_mut(&id) {
        call.outcome = outcome;
    }
}

fn take_attempt(board: &mut Blackboard, ended: &AttemptEnded) -> Option<Attempt> {
    let call = board.calls.calls.get_mut(&ended.call)?;
    let is_current = call
        .attempt
        .as_ref()
        .is_some_and(|attempt| attempt.id == ended.attempt);
    if is_current {
        call.attempt.take()
    } else {
        None
    }
}

/// Returns the context of the answer, if there is one and it belongs to this attempt.
fn answer_context_of<'a>(ended: &'a AttemptEnded, attempt: &Attempt) -> Option<&'a AnswerContext> {
    let AttemptResult::Answered(head) = &ended.result else {
        return None;
    };
    let context = head.context.as_ref();
    context.filter(|context| context.attempt == attempt.id)
}

fn outcome_of(result: &AttemptResult, answer: Option<&AnswerContext>) -> Outcome {
    match result {
        AttemptResult::Answered(_) => answer.map_or(Outcome::Unknown, |answer| answer.outcome),
        AttemptResult::NotSent => Outcome::NotRun,
        AttemptResult::Broken | AttemptResult::TimedOut => Outcome::Unknown,
    }
}

/// Combines the outcomes of two attempts: the later one counts, unless it is `NotRun`.
fn combine_outcomes(earlier: Outcome, later: Outcome) -> Outcome {
    match (earlier, later) {
        (Outcome::NotRun, later) => later,
        (earlier, Outcome::NotRun) => earlier,
        (_, Outcome::Ran) => Outcome::Ran,
        (_, Outcome::Unknown) => Outcome::Unknown,
    }
}

/// Whether the attempt failed so that another one could succeed.
fn is_failure(result: &AttemptResult, outcome: Outcome) -> bool {
    match result {
        AttemptResult::Answered(AnswerHead { status, .. }) => {
            outcome == Outcome::NotRun || RETRYABLE_STATUSES.contains(status)
        }
        AttemptResult::NotSent | AttemptResult::Broken | AttemptResult::TimedOut => true,
    }
}

/// Records the result of an attempt: the retries that the callee returned, the load and health
/// of the endpoint, the levels of services and the services that the route reaches.
fn record_result(
    board: &mut Blackboard,
    now: Moment,
    id: CallId,
    attempt: &Attempt,
    result: &AttemptResult,
    answer: Option<&AnswerContext>,
) {
    let Some(call) = board.calls.calls.get(&id) else {
        return;
    };
    let (ledger, service, route) = (call.ledger, call.service, call.route);
    let service_name = call.arrived.service.clone();
    let latency = now.monotonic - attempt.started;
    let endpoint_result = match (result, answer) {
        (_, Some(answer)) if answer.outcome == Outcome::Ran => EndpointResult::Ran(latency),
        (_, Some(answer)) if answer.outcome == Outcome::NotRun => EndpointResult::Rejected,
        (AttemptResult::TimedOut, _) => EndpointResult::Cancelled,
        _ => EndpointResult::Failed,
    };
    let endpoint_service = service.filter(|_| attempt.home.is_none());
    overload::on_ended(
        board,
        now.monotonic,
        endpoint_service,
        attempt.peer,
        endpoint_result,
    );
    let Some(answer) = answer else {
        record_missing_answer(board, ledger, attempt, result);
        return;
    };
    let mut reached_services = Vec::new();
    if board.settings.policy.has_levels {
        let (own, others) = split_gate_level(&answer.levels, &service_name);
        if let Some(own) = own {
            overload::observe_gate_level(board, now.monotonic, attempt.peer, own);
        }
        reached_services = overload::observe_levels(board, now.monotonic, others);
    }
    let endpoint = board.overload.endpoints.get_mut(&attempt.peer);
    if let Some(endpoint) = endpoint.filter(|_| attempt.home.is_none()) {
        endpoint.on_load_report(now.monotonic, answer.load);
        endpoint.on_leaving(now.monotonic, answer.is_leaving);
    }
    if let Some(ledger) = board.overload.ledgers.get_mut(ledger) {
        let claimed_count = answer.allowance_returned_count;
        ledger.allowance.reclaim(claimed_count, attempt.lent_count);
        ledger.add_attempts(Some(answer.attempts_count));
        let called = service.into_iter();
        for service in called.chain(reached_services.iter().copied()) {
            ledger.add_reached_service(service);
        }
    }
    record_route(board, route, attempt, result, answer, &reached_services);
}

/// Splits the levels of an answer into the level of the answering gate, which comes first and
/// has age 0, and the levels that its node has observed elsewhere.
fn split_gate_level<'a>(
    levels: &'a [ServiceLevel],
    called: &str,
) -> (Option<&'a ServiceLevel>, &'a [ServiceLevel]) {
    match levels.split_first() {
        Some((own, others)) if own.service == called && own.age_ms == 0 => (Some(own), others),
        _ => (None, levels),
    }
}

/// Records the result of an attempt without an answer context.
///
/// If the request was not sent, the lent retries are returned. Otherwise they are lost, and the
/// number of attempts that the subtree made is unknown.
fn record_missing_answer(
    board: &mut Blackboard,
    ledger: LedgerToken,
    attempt: &Attempt,
    result: &AttemptResult,
) {
    let Some(ledger) = board.overload.ledgers.get_mut(ledger) else {
        return;
    };
    match result {
        AttemptResult::NotSent => {
            ledger
                .allowance
                .reclaim(attempt.lent_count, attempt.lent_count);
        }
        AttemptResult::Answered(_) | AttemptResult::Broken | AttemptResult::TimedOut => {
            ledger.add_attempts(None);
        }
    }
}

fn record_route(
    board: &mut Blackboard,
    key: overload::RouteKey,
    attempt: &Attempt,
    result: &AttemptResult,
    answer: &AnswerContext,
    reached_services: &[overload::ServiceId],
) {
    let AttemptResult::Answered(head) = result else {
        return;
    };
    let is_complete = answer.outcome == Outcome::Ran && head.status < 500;
    let Some(route) = board.overload.routes.get_mut(key) else {
        return;
    };
    if is_complete && answer.attempts_count != AnswerContext::ATTEMPTS_UNKNOWN {
        route.record_attempts(answer.attempts_count);
    }
    if attempt.wants_services || !is_complete {
        route.record_services(reached_services, is_complete && attempt.wants_services);
    }
}

/// Returns the cost of another attempt, or `None` if no attempt is allowed.
///
/// If the policy has no retry allowance, each layer makes a fixed number of attempts, as in
/// most systems; experiments compare against this.
fn cost_of_retry(
    board: &Blackboard,
    now: Moment,
    id: CallId,
    outcome: Outcome,
    answer: Option<&AnswerContext>,
) -> Option<RetryCost> {
    let call = board.calls.calls.get(&id)?;
    let may_run_again = outcome == Outcome::NotRun || call.is_idempotent;
    let time_left = call.deadline.saturating_sub(now.monotonic);
    if call.is_abandoned || !may_run_again || !call.arrived.is_replayable || time_left.is_zero() {
        return None;
    }
    let policy = board.settings.policy;
    if !policy.has_retry_allowance {
        let has_attempt_left = call.tried.len() < usize::from(policy.attempts_count);
        return has_attempt_left.then(RetryCost::default);
    }
    let ledger = board.overload.ledgers.get(call.ledger)?;
    let (retry_cost, expected_count) = cost_of_subtree(board, call, outcome, answer);
    let service = &call.arrived.service;
    let is_safe = quarantine::may_retry(board, now, service, call.fingerprint);
    let is_affordable = ledger.allowance.remaining_count() > expected_count;
    let is_safe = is_safe && !failed_due_to_overload(outcome, answer);
    let is_allowed = is_affordable && is_safe && service_allows_retry(board, now, call, time_left);
    is_allowed.then_some(retry_cost)
}

/// Whether a service in the subtree of a failed attempt was overloaded.
///
/// The callee has run and most likely failed for this reason. A retry would waste more work and
/// take capacity from requests that have not been attempted yet.
fn failed_due_to_overload(outcome: Outcome, answer: Option<&AnswerContext>) -> bool {
    let is_overloaded = |level: &ServiceLevel| level.least_admitted > Importance::LEAST;
    let levels = answer.map_or(&[][..], |answer| &answer.levels);
    outcome != Outcome::NotRun && levels.iter().any(is_overloaded)
}

/// Returns the cost of repeating the subtree of a failed attempt, and the part of the allowance
/// that this is expected to use.
fn cost_of_subtree(
    board: &Blackboard,
    call: &Call,
    outcome: Outcome,
    answer: Option<&AnswerContext>,
) -> (RetryCost, u16) {
    let known_count = match (outcome, answer) {
        (Outcome::NotRun, _) => Some(0),
        (_, Some(answer)) => Some(answer.attempts_count),
        (_, None) => None,
    };
    let known_count = known_count.filter(|count| *count != AnswerContext::ATTEMPTS_UNKNOWN);
    let retry_cost = RetryCost {
        subtree_count: known_count.unwrap_or(0),
        is_unknown: call.retry_cost.is_unknown || known_count.is_none(),
    };
    if !retry_cost.is_unknown {
        return (retry_cost, retry_cost.subtree_count);
    }
    let route = board.overload.routes.peek(call.route);
    let expected_count = route.map_or(0, Route::expected_attempts_count);
    (
        retry_cost,
        retry_cost.subtree_count.saturating_add(expected_count),
    )
}

/// Whether a retry is allowed by the retry budget and the levels of the service and can be
/// expected to be answered before the deadline.
fn service_allows_retry(board: &Blackboard, now: Moment, call: &Call, time_left: Duration) -> bool {
    let Some(id) = call.service else {
        return false;
    };
    let service = board.overload.services.get(id);
    let reached = (Some(id), call.route, call.importance);
    let (called, route, importance) = reached;
    let overloaded = overload::refusing_service(board, now.monotonic, called, route, importance);
    service.retry_budget.has_retry()
        && time_left.as_secs_f64() > service.latency_s
        && overloaded.is_none()
}

fn ending_of(
    board: &Blackboard,
    id: CallId,
    result: &AttemptResult,
    outcome: Outcome,
) -> CallEnding {
    let call = board.calls.calls.get(&id);
    let call_outcome = call.map_or(outcome, |call| call.outcome);
    match result {
        AttemptResult::Answered(_) => CallEnding::PassAnswer {
            attempt: call.and_then(|call| call.last_attempt).unwrap_or_default(),
            outcome: call_outcome,
            allowance_returned_count: 0,
        },
        AttemptResult::NotSent => CallEnding::Refuse(Refusal {
            outcome: call_outcome,
            ..refusals::no_backend_server()
        }),
        AttemptResult::Broken => CallEnding::Refuse(refusals::broken(call_outcome)),
        AttemptResult::TimedOut => CallEnding::Refuse(refusals::timed_out(call_outcome)),
    }
}

/// Refuses a call that was not put into the call table.
pub(super) fn refuse_unregistered(
    board: &mut Blackboard,
    call: CallId,
    refusal: Refusal,
    out: &mut Vec<Output>,
) {
    board.counters.increment(Counter::CallsRefused);
    let ending = CallEnding::Refuse(refusal);
    out.push(Output::FinishCall { call, ending });
}

/// Ends a call: removes it, and its ledger if it owns one, and outputs the answer or refusal
/// unless the caller has disconnected.
pub(crate) fn finish(
    board: &mut Blackboard,
    now: Moment,
    id: CallId,
    mut ending: CallEnding,
    out: &mut Vec<Output>,
) {
    let Some(call) = board.calls.calls.remove(&id) else {
        return;
    };
    let counter = match ending {
        CallEnding::Refuse(_) => Counter::CallsRefused,
        CallEnding::PassAnswer { .. } | CallEnding::Replay(_) => Counter::CallsAnswered,
    };
    board.counters.increment(counter);
    if let CallEnding::Refuse(refusal) = &ending {
        explain::record(board, now, RefusedCall::of(&call), refusal);
    }
    if let Some(ledger) = board.overload.ledgers.get_mut(call.ledger) {
        ledger.outgoing_call_time.on_call_ended(now.monotonic);
        ledger.outgoing_calls.retain(|out| *out != id);
    }
    if call.owns_ledger {
        let ledger = board.overload.ledgers.remove(call.ledger);
        return_unspent_retries(&call.arrived.origin, ledger, &mut ending);
    }
    if !call.is_abandoned {
        out.push(Output::FinishCall { call: id, ending });
    }
    if call.operation.is_some() {
        operations::after_call(board, now, id, out);
    }
}

/// Ends expired calls, for which the host did not report the end of the attempt.
///
/// Otherwise they would stay in the call table for ever, and the node would refuse all calls
/// once it is full.
pub(super) fn finish_expired(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    for id in board.calls.expired(now.monotonic) {
        let call = board.calls.calls.get(&id);
        let current_attempt =
            call.and_then(|call| Some((call.service, call.attempt.as_ref()?.peer)));
        if let Some((service, peer)) = current_attempt {
            overload::on_ended(
                board,
                now.monotonic,
                service,
                peer,
                EndpointResult::Cancelled,
            );
        }
        let refusal = refusals::timed_out(Outcome::Unknown);
        finish(board, now, id, CallEnding::Refuse(refusal), out);
    }
}

/// Ends all calls when the grace period of this node is over; the caller of each learns what is known of it.
pub(crate) fn finish_all(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    for id in board.calls.ids() {
        let Some(call) = board.calls.calls.get(&id) else {
            continue;
        };
        let ending = CallEnding::Refuse(refusals::grace_over(outcome_so_far(board, call)));
        finish(board, now, id, ending, out);
    }
}

/// Outcome of a call that this node ends now.
pub(super) fn outcome_so_far(board: &Blackboard, call: &Call) -> Outcome {
    match (&call.attempt, &call.operation) {
        (Some(_), _) => Outcome::Unknown,
        (None, Some(operation)) => operations::outcome_if_not_sent(board, operation),
        (None, None) => call.outcome,
    }
}

/// Returns the unspent retries of a call that another node sent to this node as the home of an
/// operation.
fn return_unspent_retries(
    origin: &CallOrigin,
    ledger: Option<overload::Ledger>,
    ending: &mut CallEnding,
) {
    let CallOrigin::Home { context } = origin else {
        return;
    };
    let unspent_count = ledger.map_or(0, |mut ledger| ledger.allowance.take_unspent());
    if let CallEnding::PassAnswer {
        allowance_returned_count,
        ..
    } = ending
    {
        *allowance_returned_count = unspent_count.min(context.allowance_count);
    }
}

/// Handles that the caller has disconnected.
///
/// A call without an attempt under way is ended. An idempotent call is cancelled, so that no
/// more work is done for it. A non-idempotent call continues: it may have been sent to a
/// backend server, and half an operation is worse than one that nobody waits for.
pub(super) fn on_abandoned(board: &mut Blackboard, now: Moment, id: CallId, out: &mut Vec<Output>) {
    let Some(call) = board.calls.calls.get_mut(&id) else {
        return;
    };
    call.is_abandoned = true;
    board.counters.increment(Counter::CallsAbandoned);
    let Some(attempt) = call.attempt.clone() else {
        let ending = CallEnding::Refuse(refusals::abandoned(call.outcome));
        finish(board, now, id, ending, out);
        return;
    };
    if !call.is_idempotent {
        return;
    }
    cancel_call(board, now, id, &attempt, out);
}

fn cancel_call(
    board: &mut Blackboard,
    now: Moment,
    id: CallId,
    attempt: &Attempt,
    out: &mut Vec<Output>,
) {
    let Some(call) = board.calls.calls.get(&id) else {
        return;
    };
    let service = call.service;
    if let Some(ledger) = board.overload.ledgers.get_mut(call.ledger) {
        ledger.add_attempts(None);
    }
    overload::on_ended(
        board,
        now.monotonic,
        service,
        attempt.peer,
        EndpointResult::Cancelled,
    );
    out.push(Output::CancelAttempt {
        call: id,
        attempt: attempt.id,
    });
    let ending = CallEnding::Refuse(refusals::abandoned(Outcome::Unknown));
    finish(board, now, id, ending, out);
}

/// Cancels the idempotent calls that were made for cancelled work and have an attempt under
/// way.
pub(crate) fn cancel_for_work(
    board: &mut Blackboard,
    now: Moment,
    calls: &[CallId],
    out: &mut Vec<Output>,
) {
    for id in calls {
        let Some(call) = board.calls.calls.get(id) else {
            continue;
        };
        let attempt = call.attempt.clone();
        if let (true, Some(attempt)) = (call.is_idempotent, attempt) {
            cancel_call(board, now, *id, &attempt, out);
        }
    }
}
