//! What a call gets when it arrives: a ledger, an importance, a deadline.

use std::time::Duration;

use kumquatquay_wire::{
    CallerName, Cohort, Importance, LedgerToken, Outcome, RequestContext, RequestId, ServiceName,
    TraceId,
};
use rand::Rng;

use super::{
    attempt::{refuse, resume},
    call_table::{Call, RetryCost},
    ending::refuse_unknown,
    refusals,
};
use crate::{
    Blackboard, CallArrived, CallId, CallOrigin, Counter, Moment, Output, Refusal,
    configuration::{self, Classification},
    operations::OperationCall,
    overload::{self, Ledger, ServiceId},
    quarantine::{self, Verdict},
};

/// Time for a request whose caller names none.
const DEFAULT_TIME_ALLOWED: Duration = Duration::from_secs(10);

/// The longest time that a caller can ask for.
const GREATEST_TIME_ALLOWED: Duration = Duration::from_secs(300);

/// How long a request id keeps its cohort. Long enough that resends don't draw
/// a better one, short enough that no caller is refused for hours.
const COHORT_EPOCH_MS: u64 = 10 * 60 * 1_000;

/// Importance of calls that belong to no request under way.
const ORPHAN_IMPORTANCE: Importance = Importance::LEAST;

/// Takes in a call.
pub(super) fn on_arrived(
    board: &mut Blackboard,
    now: Moment,
    arrived: CallArrived,
    out: &mut Vec<Output>,
) {
    board.counters.add(Counter::CallsArrived);
    let id = arrived.call;
    if board.calls.is_full() || board.overload.ledgers.is_full() {
        refuse_unknown(board, id, refusals::node_full(), out);
        return;
    }
    let call = call_of(board, now, arrived);
    if matches!(call.arrived.origin, CallOrigin::Outside { .. }) {
        configuration::observe_call(board, &call.caller, &call.arrived.service);
    }
    let ledger = board.overload.ledgers.get_mut(call.ledger);
    if let Some(ledger) = ledger {
        ledger.outgoing_call_time.on_call_started(now.monotonic);
        ledger.outgoing_calls.push(id);
    }
    board.calls.calls.insert(id, call);
    if let Some(refusal) = reason_to_refuse(board, now, id) {
        refuse(board, now, id, refusal, out);
        return;
    }
    resume(board, now, id, out);
}

fn call_of(board: &mut Blackboard, now: Moment, arrived: CallArrived) -> Call {
    let funding = fund(board, now, &arrived);
    let service = &arrived.service;
    let policy_of_call = classify(board, &funding.caller, &arrived);
    let service_id = service_id_of(board, service);
    let seed = board.overload.route_seed;
    let route = overload::route_key(seed, service, &arrived.method, &arrived.path);
    let allowed = arrived.time_allowed.unwrap_or(DEFAULT_TIME_ALLOWED);
    let own_deadline = now.monotonic + allowed.min(GREATEST_TIME_ALLOWED);
    let deadline = own_deadline.min(funding.deadline);
    let fingerprint = match &arrived.origin {
        CallOrigin::Home { context } => context.fingerprint,
        _ => quarantine::fingerprint_of(&arrived, &funding.caller),
    };
    let is_idempotent = match &arrived.origin {
        CallOrigin::Home { context } => context.is_idempotent,
        _ => policy_of_call.is_idempotent,
    };
    let caller_limit = policy_of_call.caller_limit.filter(|_| funding.is_entry);
    let moment = now.plus(deadline.saturating_sub(now.monotonic));
    let operation = OperationCall::new(&arrived, funding.caller.clone(), is_idempotent, moment);
    Call {
        deadline,
        ledger: funding.ledger,
        owns_ledger: funding.owns_ledger,
        caller: funding.caller,
        trace: funding.trace,
        request: funding.request,
        depth_count: funding.depth_count,
        is_repeat: funding.is_repeat,
        importance: funding.importance,
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

/// The number of a service that somebody serves. Names that callers make up get
/// none, so that they don't crowd out services that exist.
fn service_id_of(board: &mut Blackboard, service: &ServiceName) -> Option<ServiceId> {
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

/// Who pays for a call, and with what.
struct Funding {
    ledger: LedgerToken,
    owns_ledger: bool,
    is_entry: bool,
    caller: CallerName,
    trace: TraceId,
    request: RequestId,
    depth_count: u8,
    is_repeat: bool,
    importance: Importance,
    deadline: Duration,
}

fn fund(board: &mut Blackboard, now: Moment, arrived: &CallArrived) -> Funding {
    match &arrived.origin {
        CallOrigin::Outside { caller, trace } => {
            let ledger = entry_ledger(board, now, arrived, caller, *trace);
            own_funding(board, ledger, true)
        }
        CallOrigin::Home { context } => {
            let ledger = home_ledger(now, context);
            own_funding(board, ledger, false)
        }
        CallOrigin::Backend { token, trace } => {
            let found = board.overload.ledgers.find(*token, *trace);
            match found {
                Some(token) => shared_funding(board, token),
                None => {
                    board.counters.add(Counter::OrphanCalls);
                    let ledger = orphan_ledger(board, trace.unwrap_or_default());
                    own_funding(board, ledger, false)
                }
            }
        }
    }
}

fn own_funding(board: &mut Blackboard, ledger: Ledger, is_entry: bool) -> Funding {
    let token = board.random.random();
    let mut funding = funding_of(token, &ledger);
    funding.owns_ledger = true;
    funding.is_entry = is_entry;
    board.overload.ledgers.insert_for_call(token, ledger);
    funding
}

fn shared_funding(board: &Blackboard, token: LedgerToken) -> Funding {
    let ledger = board.overload.ledgers.get(token);
    funding_of(token, ledger.expect("the token was found just now"))
}

fn funding_of(token: LedgerToken, ledger: &Ledger) -> Funding {
    Funding {
        ledger: token,
        owns_ledger: false,
        is_entry: false,
        caller: ledger.caller.clone(),
        trace: ledger.trace,
        request: ledger.request,
        depth_count: ledger.depth_count,
        is_repeat: ledger.is_repeat,
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
        now.monotonic + GREATEST_TIME_ALLOWED,
        allowance_count,
    )
}

/// The cohort of a request: the same for resends under one trace id during an
/// epoch, so that resending gains nothing, and another one in the next epoch,
/// so that nobody is refused for hours. The keyed hash keeps callers from
/// working out a trace id that is refused last.
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

/// The ledger of a call whose request has ended, or that belongs to none: the
/// lowest class and no retries. Work that goes on after the answer was given
/// must not take room from requests that somebody waits for.
fn orphan_ledger(board: &mut Blackboard, trace: TraceId) -> Ledger {
    Ledger::new(
        trace,
        board.random.random(),
        CallerName::new(),
        ORPHAN_IMPORTANCE,
        Duration::MAX - GREATEST_TIME_ALLOWED,
        0,
    )
}

fn reason_to_refuse(board: &mut Blackboard, now: Moment, id: CallId) -> Option<Refusal> {
    let call = board.calls.calls.get(&id)?;
    let verdict = quarantine::check(board, now, &call.arrived.service, call.fingerprint);
    if let Verdict::Refuse(refusal) = verdict {
        return Some(refusal);
    }
    if !call.owns_ledger || matches!(call.arrived.origin, CallOrigin::Home { .. }) {
        return None;
    }
    let importance = call.importance;
    let refusing =
        overload::refusing_service(board, now.monotonic, call.service, call.route, importance)?;
    board.counters.add(Counter::CallsRefusedAtEntry);
    let refusing = board.overload.services.get(refusing);
    let level = overload::highest_level(refusing);
    let retry_after = overload::retry_after(&mut board.random, level, importance);
    Some(refusals::overloaded(&refusing.name, retry_after))
}
