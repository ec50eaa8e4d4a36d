//! Decides claims: each is won, lost or abandoned.

use kumquatquay_wire::Sequence;

use super::{
    claim::{Claim, ClaimBatch, ClaimEvent, PartitionId, partition_of},
    claim_partition::ClaimPartition,
    claim_view::Holder,
    claims::{RETRY_INTERVAL, partition_mut},
    idempotency_key::check_window,
    operation::OperationState,
    operation_memory::OperationMemory,
    refusals,
};
use crate::{Blackboard, CallEnding, Counter, Moment};

/// Decides the appended claims by what was read.
///
/// Events that are missing in the stream are appended again after a pause; without it a log
/// that loses its answers would receive copies without end.
pub(super) fn decide_batch(board: &mut Blackboard, now: Moment, id: PartitionId) {
    drop_abandoned(board, id);
    let partition = partition_mut(board, id);
    let Some(view) = &partition.view else {
        return;
    };
    let is_logged = |event: &ClaimEvent| view.find(event).is_some();
    let (logged, missing) = partition.in_flight.iter().copied().partition(is_logged);
    let logged: ClaimBatch = logged;
    partition.in_flight = missing;
    partition.read_target = None;
    if partition.in_flight.is_empty() {
        partition.is_append_outcome_unknown = false;
    } else {
        partition.retry_at = now.monotonic + RETRY_INTERVAL;
    }
    for claim in logged.iter().filter_map(claim_of) {
        decide(board, id, claim);
    }
}

fn decide(board: &mut Blackboard, id: PartitionId, claim: &Claim) {
    let Some(view) = &partition_mut(board, id).view else {
        return;
    };
    let event = ClaimEvent::Claim(*claim);
    let logged = view.find(&event);
    let appended = logged.map_or(u64::MAX, |logged| logged.appended_unix_ms);
    if let Err(error) = check_window(claim.key_unix_ms, appended) {
        abandon(
            board,
            claim.id.sequence,
            Some(&refusals::invalid_key(error)),
        );
        return;
    }
    match view.holder(&claim.key) {
        Holder::Claim(holder) if holder.id == claim.id => win(board, claim.id.sequence),
        Holder::Claim(_) | Holder::Nobody => lose(board, claim),
    }
}

/// Abandons every undecided claim of a partition; the calls that wait get the given ending.
pub(super) fn abandon_all(board: &mut Blackboard, id: PartitionId, ending: &CallEnding) {
    let partition = partition_mut(board, id);
    let events = partition.queue.iter().chain(&partition.in_flight);
    let claims: Vec<Claim> = events.filter_map(claim_of).copied().collect();
    for claim in claims {
        abandon(board, claim.id.sequence, Some(ending));
    }
    drop_abandoned(board, id);
    let partition = partition_mut(board, id);
    if partition.in_flight.is_empty() {
        finish_batch(partition);
    }
}

/// Abandons an undecided claim: this node will never run the operation under it.
///
/// A claim that may be in the log is released there; otherwise a claimant that will not run the
/// operation would hold the key.
pub(crate) fn abandon(board: &mut Blackboard, sequence: Sequence, ending: Option<&CallEnding>) {
    let table = &mut board.operations;
    let Some(operation) = table.memory.get_mut(sequence) else {
        return;
    };
    let Some(claim) = operation.claim else {
        return;
    };
    if operation.state != OperationState::Claiming {
        return;
    }
    operation.state = OperationState::Abandoned;
    let waiting = std::mem::take(&mut operation.waiting);
    for call in waiting {
        if let Some(ending) = ending {
            table.endings.insert(call, ending.clone());
        }
        table.resumed.push_back(call);
    }
    table.by_key.remove(&claim.key);
    let partition = table
        .partitions
        .entry(partition_of(&claim.key))
        .or_default();
    let queued_count = partition.queue.len();
    let event = ClaimEvent::Claim(claim);
    partition.queue.retain(|queued| *queued != event);
    if partition.queue.len() == queued_count {
        partition.queue.push_back(ClaimEvent::Release {
            id: claim.id,
            key: claim.key,
        });
    }
    board.counters.increment(Counter::ClaimsGivenUp);
}

/// Records that another claim holds the key: the calls that wait look the key up again and are
/// forwarded to the home of that claim.
pub(super) fn lose(board: &mut Blackboard, claim: &Claim) {
    let table = &mut board.operations;
    let Some(operation) = table.memory.get_mut(claim.id.sequence) else {
        return;
    };
    if operation.state != OperationState::Claiming {
        return;
    }
    operation.state = OperationState::Abandoned;
    let waiting = std::mem::take(&mut operation.waiting);
    table.resumed.extend(waiting);
    table.by_key.remove(&claim.key);
}

/// Records that the claim is the first of its key: this node is the home and may run the
/// operation.
pub(super) fn win(board: &mut Blackboard, sequence: Sequence) {
    let table = &mut board.operations;
    let Some(operation) = table.memory.get_mut(sequence) else {
        return;
    };
    if operation.state != OperationState::Claiming {
        return;
    }
    operation.state = OperationState::Ready;
    super::home::wake(board, sequence);
}

pub(super) fn claim_of(event: &ClaimEvent) -> Option<&Claim> {
    match event {
        ClaimEvent::Claim(claim) => Some(claim),
        ClaimEvent::Release { .. } => None,
    }
}

pub(super) fn finish_batch(partition: &mut ClaimPartition) {
    partition.in_flight.clear();
    partition.read_target = None;
    partition.is_append_outcome_unknown = false;
}

/// Drops abandoned claims from the appended batch; their releases are in the queue.
pub(super) fn drop_abandoned(board: &mut Blackboard, id: PartitionId) {
    let table = &mut board.operations;
    let Some(partition) = table.partitions.get_mut(&id) else {
        return;
    };
    partition.in_flight.retain(|event| match claim_of(event) {
        Some(claim) => is_claiming(&table.memory, claim.id.sequence),
        None => true,
    });
}

fn is_claiming(memory: &OperationMemory, sequence: Sequence) -> bool {
    let operation = memory.get(sequence);
    operation.is_some_and(|operation| operation.state == OperationState::Claiming)
}
