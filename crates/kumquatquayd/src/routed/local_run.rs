//! Runs calls at the backend server of this host, after they have passed its gate.

use std::{cell::OnceCell, rc::Rc, time::Duration};

use http::{Method, Request, Uri};
use http_body_util::Full;
use kumquatquay_core::routed::Mechanism;
use kumquatquay_wire::routed::{CallHead, LinkOutcome, NotRunReason, Payload, UnknownReason};

use super::{
    arrivals::Arrival,
    backend_death::on_backend_died,
    backend_pool::{BackendAnswer, PooledRequest, SendError},
    backend_run::BackendRun,
    crash_guard::{GuardedRun, is_refused_on_arrival, quarantined},
    gate_slot::{RunSlot, TimedCall, wait_for_confirmed_slot},
    http_io::{BufferedBody, fields_from_headers, headers_from_fields},
    interface::ForwardedMetadata,
    link_answer::LinkAnswer,
    members::announce_backend,
    node::RoutedNode,
    quarantine_keeping::wait_for_kept_crashes,
    repeat_admission::{
        admit_first_attempt, after_attempts, count_over_budget, repeat_limit, should_forward_again,
    },
    server_notices::{on_known_limit, on_notices},
};

/// Statuses from which a caller concludes that its request has not run. A backend server states
/// that in a header of its own, so an unsigned answer with such a status is not passed on.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Capacity to reserve for the headers that are added to those of the caller.
const FORWARDED_FIELDS_COUNT: usize = 3;

/// Runs a call at the backend server of this host, once the gate has a slot for it.
///
/// The call runs only if `confirmed`, which is awaited once there is a slot, yields `true`. When
/// `cancelled` completes, a waiting call is withdrawn and a running one is cancelled if it is
/// idempotent; any other runs to its end.
pub(crate) async fn run_locally(
    node: &Rc<RoutedNode>,
    call: &CallHead<'_>,
    payload: &Payload,
    confirmed: impl Future<Output = bool>,
    cancelled: impl Future<Output = ()>,
) -> LinkAnswer {
    let now = node.now();
    let timed = TimedCall {
        call,
        payload,
        soft_deadline: now + Duration::from_millis(call.target_latency_ms),
        deadline: now + Duration::from_millis(call.remaining_ms),
        known_fingerprint: OnceCell::new(),
    };
    let mut cancelled = std::pin::pin!(cancelled);
    if !*node.has_read_crashes.borrow() {
        tokio::select! {
            () = wait_for_kept_crashes(node) => {}
            () = cancelled.as_mut() => return LinkAnswer::not_run(NotRunReason::Late),
        }
    }
    if is_refused_on_arrival(node, &timed) {
        return quarantined();
    }
    on_known_limit(node, call);
    let sender_level = f64::from(call.level_permille) / 1_000.0;
    let run_time = node.gate.borrow().run_times().estimate(call.route);
    node.level_controller
        .borrow_mut()
        .on_arrival(sender_level, run_time);
    node.route_callers
        .borrow_mut()
        .record_call(now, call.route, call.caller_service);
    let slot = tokio::select! {
        slot = wait_for_confirmed_slot(node, &timed, confirmed) => slot,
        () = cancelled.as_mut() => Err(NotRunReason::Late),
    };
    let slot = match slot {
        Ok(slot) => slot,
        Err(reason) => {
            if reason == NotRunReason::OverBudget {
                count_over_budget(node, call);
            }
            return LinkAnswer::not_run(reason);
        }
    };
    if call.is_idempotent {
        tokio::select! {
            answer = forward_to_backend(node, &timed, slot) => answer,
            () = cancelled => LinkAnswer::unknown(UnknownReason::NoAnswer),
        }
    } else {
        forward_to_backend(node, &timed, slot).await
    }
}

/// Result of forwarding a call to the backend server once.
enum ForwardResult {
    /// The call has this final answer.
    Ended(LinkAnswer),
    /// The backend server reports that it did not run the call, for lack of room.
    Rejected,
}

/// Forwards a call to the backend server, and again after a rejection if the retry budget of the
/// gate allows it.
async fn forward_to_backend(
    node: &Rc<RoutedNode>,
    timed: &TimedCall<'_>,
    mut slot: RunSlot,
) -> LinkAnswer {
    let run = match GuardedRun::begin(node, timed) {
        Ok(run) => run,
        Err(reason) => return LinkAnswer::not_run(reason),
    };
    if !admit_first_attempt(node, timed.call) {
        run.end(&LinkOutcome::NotRun(NotRunReason::OverBudget));
        count_over_budget(node, timed.call);
        return LinkAnswer::not_run(NotRunReason::OverBudget);
    }
    for attempts_count in 1.. {
        slot.started_at = node.now();
        let arrival = Arrival::of_attempt(timed.call, attempts_count);
        node.metrics.count("arrival", arrival.label());
        node.repeat_log.record(slot.started_at, arrival);
        let result = forward_once(node, timed, &mut slot, arrival).await;
        let is_rejected = matches!(result, ForwardResult::Rejected);
        count_run(node, slot.started_at, &result);
        node.gate_retries.borrow_mut().on_result(is_rejected);
        if let ForwardResult::Ended(answer) = result {
            // Quick failures would make a failing server look like the fastest one.
            slot.records_run_time = answer.is_success();
            run.end(&answer.outcome);
            return after_attempts(node, answer, arrival);
        }
        if !should_forward_again(node, timed, attempts_count) {
            break;
        }
        node.metrics.count("repeat", "at_gate");
    }
    run.end(&LinkOutcome::NotRun(NotRunReason::TurnedAway));
    LinkAnswer::not_run(NotRunReason::TurnedAway)
}

/// Counts the outcome of a run in the metrics and, if it is a success, a failure or a rejection,
/// in the failure rate of the backend server.
fn count_run(node: &RoutedNode, started_at: Duration, result: &ForwardResult) {
    let now = node.now();
    let mut failures = node.run_failures.borrow_mut();
    let outcome = match result {
        ForwardResult::Rejected => {
            failures.rejected();
            "turned_away"
        }
        ForwardResult::Ended(answer) if answer.is_failed_run() => {
            failures.failed(started_at, now);
            "failed"
        }
        ForwardResult::Ended(answer) if answer.is_success() => {
            failures.succeeded();
            "well"
        }
        ForwardResult::Ended(_) => "other",
    };
    drop(failures);
    node.metrics.count("run", outcome);
}

async fn forward_once(
    node: &Rc<RoutedNode>,
    timed: &TimedCall<'_>,
    slot: &mut RunSlot,
    arrival: Arrival,
) -> ForwardResult {
    let deadline = node.limit_deadline(timed.deadline);
    let mut time_left = deadline.saturating_sub(node.now());
    if arrival.is_repeat() {
        time_left = time_left.min(repeat_limit(node, timed.call.route));
    }
    let Some(request) = build_request(node, timed, time_left) else {
        return ForwardResult::Ended(LinkAnswer::not_run(NotRunReason::Unsent));
    };
    slot.is_forwarded = true;
    let mut run = BackendRun::new(node, timed.call, time_left, arrival.is_repeat());
    let pooled = PooledRequest {
        attempt: Some(timed.call.attempt),
        is_idempotent: timed.call.is_idempotent,
    };
    let sent = node.backend.send(request, pooled);
    let sent = tokio::time::timeout(time_left, sent).await;
    run.has_result = sent.is_ok();
    let result = match sent {
        Ok(Ok(answer)) => classify_answer(node, timed, slot.started_at, answer),
        Ok(Err(error)) => ForwardResult::Ended(on_send_error(node, timed, slot, error)),
        Err(_) => ForwardResult::Ended(LinkAnswer::unknown(UnknownReason::NoAnswer)),
    };
    run.is_success = matches!(&result, ForwardResult::Ended(answer) if answer.is_success());
    result
}

fn build_request(
    node: &RoutedNode,
    timed: &TimedCall<'_>,
    time_left: Duration,
) -> Option<Request<BufferedBody>> {
    let call = timed.call;
    let mut request = Request::new(Full::new(timed.payload.body.clone()));
    *request.method_mut() = Method::from_bytes(call.method.as_bytes()).ok()?;
    *request.uri_mut() = call.target.parse::<Uri>().ok()?;
    *request.headers_mut() = headers_from_fields(&timed.payload.fields, FORWARDED_FIELDS_COUNT);
    let forwarded = ForwardedMetadata {
        time_left,
        instance: call.life.as_ref().map(|life| &life.instance),
        caller_service: call.caller_service,
        workspace: call.workspace,
    };
    (node.dialect.write_forwarded_metadata)(request.headers_mut(), &forwarded);
    Some(request)
}

/// Decides what an answer means for the call.
///
/// A connection may carry a late answer to an earlier request or health check, a success that no
/// backend server has signed, or an unsigned refusal. None of these may reach a caller as the answer
/// to its request. No answer to an earlier attempt of the same request can come, as the connection
/// didn't carry any ([`CarriedAttempts`](kumquatquay_core::routed::CarriedAttempts)).
fn classify_answer(
    node: &Rc<RoutedNode>,
    timed: &TimedCall<'_>,
    started_at: Duration,
    answer: BackendAnswer,
) -> ForwardResult {
    let metadata = (node.dialect.read_answer)(&answer.headers);
    if let Some(load) = metadata.load
        && node.is_on(Mechanism::TransitAllowance)
    {
        node.gate.borrow_mut().on_backend_load(load);
    }
    if let Some(ratio) = metadata.slowdown_ratio {
        node.machine_slowdown
            .borrow_mut()
            .on_report(node.now(), ratio);
    }
    if !metadata.is_for(Some(timed.call.attempt)) {
        let is_named = metadata.attempt_id.is_some();
        let what = if is_named {
            "other_request"
        } else {
            "no_request"
        };
        node.metrics.count("garbled", what);
        answer.close_connection();
        return ForwardResult::Ended(LinkAnswer::unknown(UnknownReason::Garbled));
    }
    if answer.status == 421 {
        if let Some(instance) = &metadata.instance
            && node.lives.borrow_mut().on_answer_from(instance)
        {
            announce_backend(node);
        }
        answer.return_to_pool(metadata.keep_alive_timeout);
        return ForwardResult::Ended(LinkAnswer::not_run(NotRunReason::TurnedAway));
    }
    if metadata.is_not_run {
        on_notices(node, timed.call, started_at, &metadata);
        answer.return_to_pool(metadata.keep_alive_timeout);
        return ForwardResult::Rejected;
    }
    let is_encoded = answer.headers.contains_key(http::header::CONTENT_ENCODING);
    let is_success = (200..300).contains(&answer.status);
    let is_trusted = metadata.attempt_id.is_some() && metadata.is_signed && !is_encoded;
    let is_unsigned_not_run = NOT_RUN_STATUSES.contains(&answer.status) && !metadata.is_signed;
    if (is_success && !is_trusted) || is_unsigned_not_run {
        node.metrics.count("garbled", "unsigned");
        answer.close_connection();
        return ForwardResult::Ended(LinkAnswer::unknown(UnknownReason::Garbled));
    }
    on_notices(node, timed.call, started_at, &metadata);
    let status = answer.status;
    let fields = fields_from_headers(&answer.headers);
    let body = answer.return_to_pool(metadata.keep_alive_timeout);
    ForwardResult::Ended(LinkAnswer {
        outcome: LinkOutcome::Answered { status },
        payload: Payload { fields, body },
        is_leaving: metadata.is_leaving,
        report: None,
        route_estimate: None,
        pressures: Vec::new(),
    })
}

fn on_send_error(
    node: &RoutedNode,
    timed: &TimedCall<'_>,
    slot: &RunSlot,
    error: SendError,
) -> LinkAnswer {
    match error {
        SendError::ConnectionRefused => {
            on_backend_died(node, "connection refused");
            LinkAnswer::not_run(NotRunReason::Closed)
        }
        SendError::Unsent => LinkAnswer::not_run(NotRunReason::TurnedAway),
        SendError::ConnectionBroken => {
            log_broken_run(node, timed, slot.started_at);
            node.run_broken.notify_one();
            LinkAnswer::unknown(UnknownReason::BackendBroke)
        }
        // The server runs on, so no request is suspected of its end.
        SendError::AnswerTooLong => {
            log_long_answer(node, timed);
            LinkAnswer::unknown(UnknownReason::Garbled)
        }
    }
}

/// Logs an answer that was given up for its length.
fn log_long_answer(node: &RoutedNode, timed: &TimedCall<'_>) {
    node.metrics.count("garbled", "too_long");
    if !node.metrics.take_log_permit(node.now()) {
        return;
    }
    let call = timed.call;
    log::warn!(event = "answer_too_long", request = call.attempt, route = call.route,
        service = call.service, held_bytes = node.memory.held_bytes();
        "an answer of the backend server was given up: it is longer than this node accepts or has memory for");
}

/// Logs a run whose connection broke. The fingerprint shows which of them were the same request, and the
/// rest what this node knew of it and since when it runs.
fn log_broken_run(node: &RoutedNode, timed: &TimedCall<'_>, started_at: Duration) {
    node.metrics.count("run", "broken");
    let now = node.now();
    if !node.metrics.take_log_permit(now) {
        return;
    }
    let call = timed.call;
    let fingerprint = timed.fingerprint();
    log::warn!(event = "run_broken", request = call.attempt, route = call.route,
        service = call.service, fingerprint:% = format_args!("{fingerprint:016x}"),
        ran_ms = now.saturating_sub(started_at).as_millis() as u64,
        running = node.gate_report().running_count,
        known_crashes = node.engine.crashes_count(call.service, fingerprint),
        ran_lately = node.engine.ran_lately(fingerprint),
        node_age_ms = now.as_millis() as u64;
        "the backend server broke the connection of a run");
}
