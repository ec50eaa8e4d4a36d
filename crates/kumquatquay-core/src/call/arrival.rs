//! Admission of calls: assigns ledger, importance and deadline, and refuses early.

use std::time::Duration;

use kumquatquay_wire::{
    CallerName, Cohort, Importance, LedgerToken, Outcome, RequestContext, RequestId, ServiceName,
    TraceId,
};
use rand::Rng;

use super::{
    attempt::{refuse, resume},
    call_table::{Call, RetryCost},
    ending::refuse_unregistered,
    refusals,
};
use crate::{
    Blackboard, CallArrived, CallId, CallOrigin, Counter, Moment, Output, Refusal,
    configuration::{self, Classification},
    membership,
    operations::OperationCall,
    overload::{self, Ledger, ServiceId},
    quarantine::{self, Verdict},
};

/// Time allowed if the caller does not state one.
const DEFAULT_TIME_ALLOWED: Duration = Duration::from_secs(10);

/// Maximum time allowed.
const MAX_TIME_ALLOWED: Duration = Duration::from_secs(300);

/// Time for which a trace id keeps its cohort.
///
/// It is long enough that resending does not lead to a better cohort, and short enough that no
/// caller is refused for hours.
const COHORT_EPOCH_MS: u64 = 10 * 60 * 1_000;

/// Importance of orphan calls, which belong to no request under way.
const ORPHAN_IMPORTANCE: Importance = Importance::LEAST;

/// Registers a call that has arrived, and refuses it or starts its first attempt.
pub(super) fn on_arrived(
    board: &mut Blackboard,
    now: Moment,
    arrived: CallArrived,
    out: &mut Vec<Output>,
) {
    board.counters.increment(Counter::CallsArrived);
    let id = arrived.call;
    if board.calls.is_full() || board.overload.ledgers.is_full() {
        refuse_unregistered(board, id, refusals::node_full(), out);
        return;
    }
    if membership::has_stopped(board) {
        refuse_unregistered(board, id, refusals::node_stops(), out);
        return;
    }
    let call = new_call(board, now, arrived);
    if matches!(call.arrived.origin, CallOrigin::Outside { .. }) {
        configuration::observe_call(board, &call.caller, &call.arrived.service);
    }
    let ledger = board.overload.ledgers.get_mut(call.ledger);
    if let Some(ledger) = ledger {
        ledger.outgoing_call_time.on_call_started(now.monotonic);
        ledger.outgoing_calls.push(id);
    }
    board.calls.calls.insert(id, call);
    if let Some(refusal) = refusal_before_send(board, now, id) {
        refuse(board, now, id, refusal, out);
        return;
    }
    resume(board, now, id, out);
}

fn new_call(board: &mut Blackboard, now: Moment, arrived: CallArrived) -> Call {
    let inherited = inherit(board, now, &arrived);
    let service = &arrived.service;
    let classification = classify(board, &inherited.caller, &arrived);
    let service_id = service_id(board, service);
    let seed = board.overload.route_seed;
    let route = overload::route_key(seed, service, &arrived.method, &arrived.path);
    let time_allowed = arrived.time_allowed.unwrap_or(DEFAULT_TIME_ALLOWED);
    let call_deadline = now.monotonic + time_allowed.min(MAX_TIME_ALLOWED);
    let deadline = call_deadline.min(inherited.deadline);
    let fingerprint = match &arrived.origin {
        CallOrigin::Home { context } => context.fingerprint,
        _ => quarantine::fingerprint_of(&arrived, &inherited.caller),
    };
    let is_idempotent = match &arrived.origin {
        CallOrigin::Home { context } => context.is_idempotent,
        _ => classification.is_idempotent,
    };
    let caller_limit = classification.caller_limit.filter(|_| inherited.is_entry);
    let moment = now.plus(deadline.saturating_sub(now.monotonic));
    let operation = OperationCall::new(&arrived, inherited.caller.clone(), is_idempotent, moment);
    Call {
        deadline,
        ledger: inherited.ledger,
        owns_ledger: inherited.owns_ledger,
        caller: inherited.caller,
        trace: inherited.trace,
        request: inherited.request,
        depth_count: inherited.depth_count,
        is_retry: inherited.is_retry,
        importance: inherited.importance,
        is_idempotent,
        fingerprint,
        caller_limit_per_s: caller_limit.map_or(0, |limit| limit.calls_per_s),
        operation: operation.is_operation().then_some(operation),
        service: service_id,
        route,
        attempt: None,
        last_attempt: None,
        tried: Vec::new(),
        retry_cost: RetryCost::default(),
        outcome: Outcome::NotRun,
        is_abandoned: false,
        arrived,
    }
}

/// Returns the id of a service that is already known or has backend servers.
///
/// Other names get no id, so that invented names can't displace existing services in the
/// bounded service table.
fn service_id(board: &mut Blackboard, service: &ServiceName) -> Option<ServiceId> {
    let known = board.overload.services.id(service);
    if known.is_some() || board.members.candidates(service).is_empty() {
        return known;
    }
    board.overload.services.get_or_insert_id(service)
}

fn classify(board: &Blackboard, caller: &str, arrived: &CallArrived) -> Classification {
    configuration::classify(
        board,
        caller,
        &arrived.service,
        &arrived.method,
        &arrived.path,
    )
}

/// What a call inherits from the ledger to which it is booked.
struct InheritedContext {
    ledger: LedgerToken,
    owns_ledger: bool,
    is_entry: bool,
    caller: CallerName,
    trace: TraceId,
    request: RequestId,
    depth_count: u8,
    is_retry: bool,
    importance: Importance,
    deadline: Duration,
}

fn inherit(board: &mut Blackboard, now: Moment, arrived: &CallArrived) -> InheritedContext {
    match &arrived.origin {
        CallOrigin::Outside { caller, trace } => {
            let ledger = entry_ledger(board, now, arrived, caller, *trace);
            inherit_from_new_ledger(board, ledger, true)
        }
        CallOrigin::Home { context } => {
            let ledger = home_ledger(now, context);
            inherit_from_new_ledger(board, ledger, false)
        }
        CallOrigin::Backend { token, trace } => {
            let found = board.overload.ledgers.find(*token, *trace);
            match found {
                Some(token) => inherit_from_existing_ledger(board, token),
                None => {
                    board.counters.increment(Counter::OrphanCalls);
                    let ledger = orphan_ledger(board, trace.unwrap_or_default());
                    inherit_from_new_ledger(board, ledger, false)
                }
            }
        }
    }
}

fn inherit_from_new_ledger(
    board: &mut Blackboard,
    ledger: Ledger,
    is_entry: bool,
) -> InheritedContext {
    let token = board.random.random();
    let mut inherited = inherit_from_ledger(token, &ledger);
    inherited.owns_ledger = true;
    inherited.is_entry = is_entry;
    board.overload.ledgers.insert_for_call(token, ledger);
    inherited
}

fn inherit_from_existing_ledger(board: &Blackboard, token: LedgerToken) -> InheritedContext {
    let ledger = board.overload.ledgers.get(token);
    inherit_from_ledger(token, ledger.expect("the token was found just now"))
}

fn inherit_from_ledger(token: LedgerToken, ledger: &Ledger) -> InheritedContext {
    InheritedContext {
        ledger: token,
        owns_ledger: false,
        is_entry: false,
        caller: ledger.caller.clone(),
        trace: ledger.trace,
        request: ledger.request,
        depth_count: ledger.depth_count,
        is_retry: ledger.is_retry,
        importance: ledger.importance,
        deadline: ledger.deadline,
    }
}

fn entry_ledger(
    board: &mut Blackboard,
    now: Moment,
    arrived: &CallArrived,
    caller: &str,
    trace: TraceId,
) -> Ledger {
    let class = classify(board, caller, arrived).class;
    let cohort = cohort_of(board, now, trace);
    let allowance_count = match arrived.is_resend {
        true => 0,
        false => board.settings.policy.allowance_count,
    };
    let request: RequestId = board.random.random();
    Ledger::new(
        trace,
        request,
        String::from(caller),
        Importance::new(class, cohort),
        now.monotonic + MAX_TIME_ALLOWED,
        allowance_count,
    )
}

/// Computes the cohort of a request from its trace id and the current epoch.
///
/// Resends with the same trace id get the same cohort during an epoch, so that resending has no
/// advantage, and another one in the next epoch, so that nobody is refused for hours. Because
/// the hash is keyed, callers can't compute a trace id that is refused last.
fn cohort_of(board: &Blackboard, now: Moment, trace: TraceId) -> Cohort {
    let epoch = now.unix_ms() / COHORT_EPOCH_MS;
    let mut bytes = [0; 24];
    bytes[..16].copy_from_slice(&trace.to_le_bytes());
    bytes[16..].copy_from_slice(&epoch.to_le_bytes());
    board.settings.key.keyed_hash("cohort", &bytes) as Cohort
}

fn home_ledger(now: Moment, context: &RequestContext) -> Ledger {
    let remaining = Duration::from_millis(u64::from(context.remaining_ms));
    Ledger::from_context(context, now.monotonic + remaining)
}

/// Creates the ledger of an orphan call, whose request has ended or is unknown, with the lowest
/// importance and without retries.
///
/// Work that continues after its request was answered must not take capacity from requests
/// whose callers still wait.
fn orphan_ledger(board: &mut Blackboard, trace: TraceId) -> Ledger {
    Ledger::new(
        trace,
        board.random.random(),
        CallerName::new(),
        ORPHAN_IMPORTANCE,
        Duration::MAX - MAX_TIME_ALLOWED,
        0,
    )
}

fn refusal_before_send(board: &mut Blackboard, now: Moment, id: CallId) -> Option<Refusal> {
    let call = board.calls.calls.get(&id)?;
    let verdict = quarantine::check(board, now, &call.arrived.service, call.fingerprint);
    if let Verdict::Refuse(refusal) = verdict {
        return Some(refusal);
    }
    if !call.owns_ledger || matches!(call.arrived.origin, CallOrigin::Home { .. }) {
        return None;
    }
    let importance = call.importance;
    let overloaded =
        overload::refusing_service(board, now.monotonic, call.service, call.route, importance)?;
    board.counters.increment(Counter::CallsRefusedAtEntry);
    let overloaded = board.overload.services.get(overloaded);
    let level = overload::highest_level(overloaded);
    let retry_after = overload::retry_after(&mut board.random, level, importance);
    Some(refusals::overloaded(&overloaded.name, retry_after))
}
