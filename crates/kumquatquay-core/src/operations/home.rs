//! Operations at their home: which call may dispatch them to a backend server.

use kumquatquay_wire::{OperationRef, Outcome, Sequence};

use super::{
    digest::{caller_digest, request_digest},
    operation::{Operation, OperationState},
    operation_call::{OperationCall, OperationStep},
    operation_memory::OPERATION_LIFETIME,
    refusals,
};
use crate::{AttemptEnded, AttemptResult, Blackboard, CallEnding, CallId, Counter, Moment};

/// Maximum number of calls that wait for one operation.
const WAITING_LIMIT_COUNT: usize = 4;

/// Returns what to do with a call for an operation whose home has the address of this node.
pub(crate) fn step(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    operation: &OperationRef,
) -> OperationStep {
    if operation.home_incarnation != board.settings.incarnation {
        return OperationStep::Finish(refusals::home_gone());
    }
    let memory = &board.operations.memory;
    if memory.is_unregistered(operation.sequence) {
        return register(board, now, call, operation);
    }
    let Some(known) = memory.get(operation.sequence) else {
        return OperationStep::Finish(refusals::expired_id());
    };
    if known.caller != caller_digest(&board.settings.key, &call.caller) {
        return OperationStep::Finish(refusals::other_caller());
    }
    if known.request != request_digest(&board.settings.key, call) {
        return OperationStep::Finish(refusals::other_body());
    }
    step_of_known(board, call, operation.sequence)
}

/// Registers the operation of an issued id at its first use.
fn register(
    board: &mut Blackboard,
    now: Moment,
    call: &OperationCall,
    operation: &OperationRef,
) -> OperationStep {
    if now.unix_ms() > operation.expires_unix_ms {
        return OperationStep::Finish(refusals::expired_id());
    }
    let registered = Operation {
        caller: caller_digest(&board.settings.key, &call.caller),
        request: request_digest(&board.settings.key, call),
        is_body_known: call.body_digest.is_some(),
        claim: None,
        state: OperationState::Ready,
        waiting: Vec::new(),
        expires: now.monotonic + OPERATION_LIFETIME,
    };
    if !board
        .operations
        .memory
        .insert(operation.sequence, registered)
    {
        return OperationStep::Finish(refusals::memory_full());
    }
    step_of_known(board, call, operation.sequence)
}

fn step_of_known(
    board: &mut Blackboard,
    call: &OperationCall,
    sequence: Sequence,
) -> OperationStep {
    let Some(known) = board.operations.memory.get_mut(sequence) else {
        return OperationStep::Finish(refusals::expired_id());
    };
    match &known.state {
        OperationState::Ready => {
            known.state = OperationState::Reserved(call.call);
            board.operations.by_call.insert(call.call, sequence);
            OperationStep::Proceed
        }
        OperationState::Reserved(holder) if *holder == call.call => OperationStep::Proceed,
        OperationState::Claiming | OperationState::Reserved(_) | OperationState::Dispatched(_) => {
            wait(board, call, sequence)
        }
        OperationState::Ran(Some(answer)) if known.is_body_known => {
            let answer = answer.clone();
            board.counters.increment(Counter::OperationsReplayed);
            OperationStep::Finish(CallEnding::Replay(answer))
        }
        OperationState::Ran(_) => OperationStep::Finish(refusals::no_answer_kept()),
        OperationState::OutcomeUnknown => OperationStep::Finish(refusals::outcome_unknown()),
        OperationState::Abandoned => OperationStep::Finish(refusals::claim_abandoned()),
    }
}

fn wait(board: &mut Blackboard, call: &OperationCall, sequence: Sequence) -> OperationStep {
    let table = &mut board.operations;
    let Some(known) = table.memory.get_mut(sequence) else {
        return OperationStep::Finish(refusals::expired_id());
    };
    if !known.waiting.contains(&call.call) {
        if known.waiting.len() >= WAITING_LIMIT_COUNT {
            return OperationStep::Finish(refusals::busy());
        }
        known.waiting.push(call.call);
    }
    table.by_call.insert(call.call, sequence);
    OperationStep::Wait
}

/// Marks an operation as dispatched when an attempt starts of the call that reserved it.
pub(crate) fn on_attempt_started(board: &mut Blackboard, call: CallId) {
    let Some(operation) = operation_of(board, call) else {
        return;
    };
    if operation.state == OperationState::Reserved(call) {
        operation.state = OperationState::Dispatched(call);
        board.counters.increment(Counter::OperationsHandedOver);
    }
}

/// Records the outcome of an attempt and returns it; `None` if the call dispatched no operation.
pub(crate) fn on_attempt_ended(
    board: &mut Blackboard,
    call: CallId,
    ended: &AttemptEnded,
) -> Option<Outcome> {
    let sequence = *board.operations.by_call.get(&call)?;
    let operation = board.operations.memory.get_mut(sequence)?;
    if operation.state != OperationState::Dispatched(call) {
        return None;
    }
    let outcome = outcome_of(ended);
    match outcome {
        Outcome::NotRun => operation.state = OperationState::Reserved(call),
        Outcome::Unknown => operation.state = OperationState::OutcomeUnknown,
        Outcome::Ran => board
            .operations
            .memory
            .set_ran(sequence, stored_of(&ended.result)),
    }
    Some(outcome)
}

/// Returns the outcome that the end of an attempt proves.
///
/// An answer with the id of another attempt proves nothing: it arrived in place of the answer to
/// this attempt, which may still run.
pub(crate) fn outcome_of(ended: &AttemptEnded) -> Outcome {
    match &ended.result {
        AttemptResult::NotSent => Outcome::NotRun,
        AttemptResult::Broken | AttemptResult::TimedOut => Outcome::Unknown,
        AttemptResult::Answered(head) => {
            let context = head.context.as_ref();
            let own = context.filter(|context| context.attempt == ended.attempt);
            own.map_or(Outcome::Unknown, |context| context.outcome)
        }
    }
}

fn stored_of(result: &AttemptResult) -> Option<crate::StoredAnswer> {
    let AttemptResult::Answered(head) = result else {
        return None;
    };
    let fits =
        |answer: &&crate::StoredAnswer| answer.body.len() <= crate::Node::STORED_ANSWER_LIMIT_BYTES;
    head.stored.as_ref().filter(fits).cloned()
}

fn operation_of(board: &mut Blackboard, call: CallId) -> Option<&mut Operation> {
    let sequence = *board.operations.by_call.get(&call)?;
    board.operations.memory.get_mut(sequence)
}

/// Removes an ended call from its operation and returns the operation's number.
///
/// If an attempt of the call is under way, the outcome of the operation stays unknown, since the
/// attempt may still run it.
pub(crate) fn on_call_ended(board: &mut Blackboard, call: CallId) -> Option<Sequence> {
    let sequence = board.operations.by_call.remove(&call)?;
    let operation = board.operations.memory.get_mut(sequence)?;
    operation.waiting.retain(|waiting| *waiting != call);
    if operation.state == OperationState::Reserved(call) {
        operation.state = OperationState::Ready;
    }
    if operation.state == OperationState::Dispatched(call) {
        operation.state = OperationState::OutcomeUnknown;
    }
    Some(sequence)
}

/// Queues calls that wait for an operation to be resumed.
///
/// One call is resumed if the operation is ready to be dispatched, all calls once it has ended.
pub(crate) fn wake(board: &mut Blackboard, sequence: Sequence) {
    let table = &mut board.operations;
    let Some(operation) = table.memory.get_mut(sequence) else {
        return;
    };
    let count = match operation.state {
        OperationState::Claiming | OperationState::Reserved(_) | OperationState::Dispatched(_) => 0,
        OperationState::Ready => operation.waiting.len().min(1),
        OperationState::Ran(_) | OperationState::OutcomeUnknown | OperationState::Abandoned => {
            operation.waiting.len()
        }
    };
    table.resumed.extend(operation.waiting.drain(..count));
}
