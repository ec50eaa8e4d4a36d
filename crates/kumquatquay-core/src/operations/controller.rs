//! Runs non-idempotent operations at most once: the steps of their calls.

use std::time::Duration;

use kumquatquay_wire::{OperationRef, Outcome, Sequence};

use super::{
    claim::{Claim, ClaimEvent, ClaimId, PartitionId, partition_of},
    claim_decision, claim_reading,
    claim_view::{ClaimView, Holder},
    claims,
    digest::{KeyDigest, caller_digest, key_digest, request_digest},
    home, idempotency_key,
    issued_id::IssuedId,
    operation::{Operation, OperationState},
    operation_call::{OperationCall, OperationStep, OperationVerdict},
    operation_memory::OPERATION_LIFETIME,
    refusals,
};
use crate::{
    AttemptEnded, AttemptResult, Blackboard, CallEnding, CallId, Counter, IssueOperation, LogInput,
    Moment, OperationIssued, Output, RefusalReason, call, routed::EraChange,
};

/// Interval between removals of expired operations and unused views.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long the view of a claim stream is kept after the last lookup of a key in it.
const VIEW_LIFETIME: Duration = Duration::from_secs(60);

/// Number of events in the views of all claim streams above which idle views are dropped.
const EVENTS_LIMIT_COUNT: usize = 65_536;

/// Age of a view beyond which the lookup of a claimed key has its stream read again.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Returns what to do with a call before an attempt of it starts.
pub(crate) fn before_attempt(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    out: &mut Vec<Output>,
) -> OperationStep {
    if let Some(ending) = board.operations.endings.remove(&call.call) {
        return OperationStep::Finish(ending);
    }
    if !call.is_operation() {
        return OperationStep::Proceed;
    }
    let step = if let Some(operation) = &call.home {
        home::step(board, now, call, operation)
    } else if let Some(id) = &call.operation_id {
        step_of_issued_id(board, now, call, id)
    } else {
        step_of_key(board, now, call, out)
    };
    match step {
        OperationStep::ForwardToHome(_) => board.counters.increment(Counter::OperationsForwarded),
        OperationStep::Wait => board
            .operations
            .track_deadline(call.call, call.deadline.monotonic),
        OperationStep::Proceed | OperationStep::Finish(_) => {}
    }
    step
}

fn step_of_issued_id(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    id: &str,
) -> OperationStep {
    let Ok(id) = IssuedId::from_text(id, &board.settings.key) else {
        return OperationStep::Finish(refusals::invalid_id());
    };
    if id.caller != caller_digest(&board.settings.key, &call.caller) {
        return OperationStep::Finish(refusals::other_caller());
    }
    step_at_home(board, now, call, id.operation)
}

/// Continues at the home of the operation, which is this node or another one.
fn step_at_home(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    operation: OperationRef,
) -> OperationStep {
    if operation.home == board.settings.peer {
        home::step(board, now, call, &operation)
    } else {
        OperationStep::ForwardToHome(operation)
    }
}

fn step_of_key(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    out: &mut Vec<Output>,
) -> OperationStep {
    let text = call.idempotency_key.as_deref().unwrap_or_default();
    let key_unix_ms = match idempotency_key::check(text, now) {
        Ok(key_unix_ms) => key_unix_ms,
        Err(error) => return OperationStep::Finish(refusals::invalid_key(error)),
    };
    let key = key_digest(&board.settings.key, &call.caller, text);
    if let Some(sequence) = board.operations.by_key.get(&key) {
        let operation = own_operation(board, *sequence, key_unix_ms);
        return home::step(board, now, call, &operation);
    }
    if let Holder::Claim(claim) = look_up(board, now, &key, key_unix_ms) {
        return step_of_claimed_key(board, now, call, &claim);
    }
    claim(board, now, call, key, key_unix_ms, out)
}

fn own_operation(board: &Blackboard, sequence: Sequence, key_unix_ms: u64) -> OperationRef {
    own_claim(board, sequence).operation(expiry_of(key_unix_ms))
}

fn own_claim(board: &Blackboard, sequence: Sequence) -> ClaimId {
    ClaimId {
        home: board.settings.peer,
        incarnation: board.settings.incarnation,
        sequence,
    }
}

fn expiry_of(key_unix_ms: u64) -> u64 {
    key_unix_ms + OPERATION_LIFETIME.as_millis() as u64
}

/// Returns the holder of a key, as far as this node has read the claim stream.
///
/// The result is `Nobody` if the view lacks a part that may hold a claim of the key.
fn look_up(board: &mut Blackboard, now: Moment, key: &KeyDigest, key_unix_ms: u64) -> Holder {
    let needed = idempotency_key::earliest_claim_unix_ms(key_unix_ms);
    let partitions = &mut board.operations.partitions;
    let partition = partitions.entry(partition_of(key)).or_default();
    partition.used_at = now.monotonic;
    let Some(view) = &partition.view else {
        return Holder::Nobody;
    };
    if view.covers_since_unix_ms > needed {
        return Holder::Nobody;
    }
    let holder = view.holder(key);
    let is_old = now.monotonic > partition.read_at + REFRESH_INTERVAL;
    partition.wants_refresh |= is_old && holder != Holder::Nobody;
    holder
}

fn step_of_claimed_key(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    claim: &Claim,
) -> OperationStep {
    if claim.request != request_digest(&board.settings.key, call) {
        return OperationStep::Finish(refusals::other_body());
    }
    let operation = claim.id.operation(expiry_of(claim.key_unix_ms));
    step_at_home(board, now, call, operation)
}

/// Queues a claim of a key to be appended to the log; the call waits until it is decided.
fn claim(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    key: KeyDigest,
    key_unix_ms: u64,
    out: &mut Vec<Output>,
) -> OperationStep {
    let partition = partition_of(&key);
    if let Some(ending) = refusal_of_claims(board, now, partition) {
        return OperationStep::Finish(ending);
    }
    let sequence = board.operations.memory.next_sequence();
    let claim = Claim {
        id: own_claim(board, sequence),
        key,
        caller: caller_digest(&board.settings.key, &call.caller),
        request: request_digest(&board.settings.key, call),
        key_unix_ms,
    };
    let operation = Operation {
        caller: claim.caller,
        request: claim.request,
        is_body_known: call.body_digest.is_some(),
        claim: Some(claim),
        state: OperationState::Claiming,
        waiting: vec![call.call],
        expires: now.monotonic + OPERATION_LIFETIME,
    };
    let table = &mut board.operations;
    if !table.memory.insert(sequence, operation) {
        return OperationStep::Finish(refusals::busy());
    }
    table.by_key.insert(key, sequence);
    table.by_call.insert(call.call, sequence);
    let queue = &mut table.partitions.entry(partition).or_default().queue;
    queue.push_back(ClaimEvent::Claim(claim));
    claims::advance(board, now, partition, out);
    OperationStep::Wait
}

fn refusal_of_claims(board: &Blackboard, now: Moment, id: PartitionId) -> Option<CallEnding> {
    let table = &board.operations;
    if now.monotonic < table.log_down_until {
        return Some(refusals::log_down());
    }
    if now.monotonic < table.claims_lost_until {
        return Some(refusals::log_incomplete());
    }
    let partition = table.partitions.get(&id)?;
    if now.monotonic < partition.refused_until {
        return Some(refusals::log_incomplete());
    }
    let is_full = partition.queue.len() >= claims::QUEUE_LIMIT_COUNT;
    is_full.then(refusals::busy)
}

/// Records that an attempt starts at a backend server; from now on the operation may run.
pub(crate) fn on_attempt_started(board: &mut Blackboard, call: CallId) {
    home::on_attempt_started(board, call);
}

/// Records how an attempt ended and returns whether another one is safe.
pub(crate) fn on_attempt_ended(
    board: &mut Blackboard,
    _now: Moment,
    call: &OperationCall,
    ended: &AttemptEnded,
    _out: &mut Vec<Output>,
) -> OperationVerdict {
    let held = home::on_attempt_ended(board, call.call, ended);
    let outcome = match held {
        Some(outcome) => outcome,
        None if call.is_operation() => return verdict_of_forwarded(ended),
        None if call.is_idempotent => return OperationVerdict::NotAnOperation,
        None => home::outcome_of(ended),
    };
    match outcome {
        Outcome::NotRun => OperationVerdict::NotRun,
        Outcome::Ran | Outcome::Unknown => OperationVerdict::Finish(ending_of(ended, outcome)),
    }
}

fn ending_of(ended: &AttemptEnded, outcome: Outcome) -> CallEnding {
    match ended.result {
        AttemptResult::Answered(_) => CallEnding::PassAnswer {
            attempt: ended.attempt,
            outcome,
            allowance_returned_count: 0,
        },
        AttemptResult::TimedOut => refusals::answer_lost(RefusalReason::Deadline),
        AttemptResult::NotSent | AttemptResult::Broken => {
            refusals::answer_lost(RefusalReason::Broken)
        }
    }
}

/// Returns the verdict on an attempt that was forwarded to the home.
///
/// It is repeated only if nothing was sent. A repeat is safe since the home dispatches the
/// operation to a backend server only once, but a home that can't be reached any more may have
/// done so.
fn verdict_of_forwarded(ended: &AttemptEnded) -> OperationVerdict {
    match &ended.result {
        AttemptResult::NotSent => OperationVerdict::NotRun,
        _ => OperationVerdict::Finish(ending_of(ended, home::outcome_of(ended))),
    }
}

/// Removes a call that has ended, whatever its ending.
///
/// A claim that is still undecided is abandoned if no other call waits for it.
pub(crate) fn after_call(board: &mut Blackboard, now: Moment, call: CallId, out: &mut Vec<Output>) {
    board.operations.endings.remove(&call);
    board.operations.untrack_deadline(call);
    let Some(sequence) = home::on_call_ended(board, call) else {
        return;
    };
    let operation = board.operations.memory.get(sequence);
    let is_unwanted = operation.is_some_and(|operation| {
        operation.state == OperationState::Claiming && operation.waiting.is_empty()
    });
    if is_unwanted {
        claim_decision::abandon(board, sequence, None);
    }
    home::wake(board, sequence);
    resume(board, now, out);
}

/// Resumes the calls that no longer wait.
///
/// Does nothing if it is already running further up the stack.
fn resume(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if board.operations.is_resuming {
        return;
    }
    board.operations.is_resuming = true;
    while let Some(call) = board.operations.resumed.pop_front() {
        call::resume(board, now, call, out);
    }
    board.operations.is_resuming = false;
}

/// Returns the outcome of a call that this node refuses while no attempt is under way.
pub(crate) fn outcome_if_not_sent(board: &Blackboard, call: &OperationCall) -> Outcome {
    if !call.is_operation() {
        return Outcome::NotRun;
    }
    let table = &board.operations;
    let sequence = table.by_call.get(&call.call);
    let Some(operation) = sequence.and_then(|sequence| table.memory.get(*sequence)) else {
        return Outcome::Unknown;
    };
    let is_held = operation.state == OperationState::Reserved(call.call);
    if is_held && operation.waiting.is_empty() {
        Outcome::NotRun
    } else {
        Outcome::Unknown
    }
}

/// Issues an operation id whose home is this node.
///
/// The id takes no memory until a call uses it.
pub(crate) fn issue(
    board: &mut Blackboard,
    now: Moment,
    asked: IssueOperation,
    out: &mut Vec<Output>,
) {
    board.counters.increment(Counter::OperationsIssued);
    let expires_unix_ms = now.plus(OPERATION_LIFETIME).unix_ms();
    let sequence = board.operations.memory.next_sequence();
    let id = IssuedId {
        operation: own_claim(board, sequence).operation(expires_unix_ms),
        caller: caller_digest(&board.settings.key, &asked.caller),
    };
    out.push(Output::OperationIssued(OperationIssued {
        request: asked.request,
        operation: id.to_text(&board.settings.key),
        expires_unix_ms,
    }));
}

/// Whether an answer of the log belongs to a request on a claim stream.
pub(crate) fn owns(board: &Blackboard, input: &LogInput) -> bool {
    let exchanges = &board.operations.exchanges;
    exchanges.contains_key(&claims::exchange_id(input))
}

/// Observes the era in an answer of the log, whichever stream the answer is about.
pub(crate) fn on_log_era(
    board: &mut Blackboard,
    now: Moment,
    input: &LogInput,
    out: &mut Vec<Output>,
) {
    let LogInput::Read { era, .. } = input else {
        return;
    };
    if let EraChange::Restored { .. } = board.operations.log_eras.observe(*era) {
        claim_reading::on_log_restored(board, now, out);
        resume(board, now, out);
    }
}

pub(crate) fn on_log(board: &mut Blackboard, now: Moment, input: LogInput, out: &mut Vec<Output>) {
    claims::on_log(board, now, input, out);
    resume(board, now, out);
}

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    end_overdue_calls(board, now);
    claims::on_tick(board, now, out);
    resume(board, now, out);
    if now.monotonic >= board.operations.swept_at + SWEEP_INTERVAL {
        board.operations.swept_at = now.monotonic;
        sweep(board, now);
    }
}

/// Ends the waiting calls whose deadline has passed.
fn end_overdue_calls(board: &mut Blackboard, now: Moment) {
    let table = &mut board.operations;
    while let Some(call) = table.next_overdue(now.monotonic) {
        table.untrack_deadline(call);
        table.endings.insert(call, refusals::deadline_exceeded());
        table.resumed.push_back(call);
    }
}

/// Removes expired operations, and idle views that are unused or if all views hold too many
/// events.
fn sweep(board: &mut Blackboard, now: Moment) {
    let table = &mut board.operations;
    for operation in table.memory.expire(now.monotonic) {
        if let Some(claim) = operation.claim {
            table.by_key.remove(&claim.key);
        }
    }
    let views = table
        .partitions
        .values()
        .filter_map(|partition| partition.view.as_ref());
    let events_count: usize = views.map(ClaimView::events_count).sum();
    let is_full = events_count > EVENTS_LIMIT_COUNT;
    for partition in table.partitions.values_mut() {
        let is_unused = now.monotonic > partition.used_at + VIEW_LIFETIME;
        if partition.is_idle() && (is_unused || is_full) {
            partition.view = None;
        }
    }
}
