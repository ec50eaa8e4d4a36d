//! Claims of the callers' `Idempotency-Key`s in the platform's log.
//!
//! A partition with queued events finds the end of its stream, reads the stream back to the
//! time of the oldest key, appends a batch of claims, reads forward through that batch and
//! decides each claim by what was read. The view is contiguous and starts before the append, so
//! it contains every earlier claim of a key.

use std::time::Duration;

use kumquatquay_wire::LogOffset;

use super::{
    claim::{ClaimBatch, ClaimEvent, PartitionId, encode_batch, stream_name},
    claim_decision::{abandon_all, claim_of, drop_abandoned, finish_batch, lose, win},
    claim_partition::{ClaimPartition, Exchange, ReadTarget},
    claim_reading::{ReadResult, on_read},
    claim_view::Holder,
    idempotency_key::earliest_claim_unix_ms,
    refusals,
};
use crate::{AppendId, Blackboard, Counter, LogInput, Moment, Note, Output};

/// Maximum number of events queued for one stream; further keys are refused.
pub(crate) const QUEUE_LIMIT_COUNT: usize = 256;

/// Maximum number of events in one append.
const BATCH_LIMIT_COUNT: usize = 64;

/// Pause of a partition after a failed request to the log, or before events that are missing in
/// the stream are appended again; also the node's shortest pause while the log fails.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// How often the pause between two requests to a failing log doubles; the longest is 6.4 s.
const RETRY_DOUBLINGS_LIMIT_COUNT: u32 = 5;

/// How long the log may fail before claims that wait for it are abandoned.
const LOG_FAILURE_TIMEOUT: Duration = Duration::from_secs(1);

/// How long keys are refused after the last failed request to the log.
const LOG_DOWN_DURATION: Duration = Duration::from_secs(1);

/// An offset beyond every record: a read from it returns the end of the stream.
const BEYOND_END: LogOffset = 1 << 62;

/// Starts the next request to the log that a partition needs, if none is under way and the pause
/// after a failure is over.
pub(crate) fn advance(board: &mut Blackboard, now: Moment, id: PartitionId, out: &mut Vec<Output>) {
    let partition = board.operations.partitions.entry(id).or_default();
    let is_idle = matches!(partition.exchange, Exchange::Idle);
    if !is_idle || now.monotonic < partition.retry_at {
        return;
    }
    if !partition.in_flight.is_empty() {
        match (partition.read_target, &partition.view) {
            (Some(_), Some(_)) => read_forward(board, id, out),
            _ => append(board, id, out),
        }
        return;
    }
    if partition.queue.is_empty() {
        if partition.wants_refresh && partition.view.is_some() {
            read_forward(board, id, out);
        }
        return;
    }
    if !covers_queue(partition) {
        probe(board, id, out);
        return;
    }
    let batch = next_batch(board, id);
    if batch.is_empty() {
        return;
    }
    partition_mut(board, id).in_flight = batch;
    append(board, id, out);
}

pub(super) fn partition_mut(board: &mut Blackboard, id: PartitionId) -> &mut ClaimPartition {
    board.operations.partitions.entry(id).or_default()
}

/// Whether the view contains every earlier claim of the queued keys. A release needs no view.
fn covers_queue(partition: &ClaimPartition) -> bool {
    let Some(needed) = needed_since(partition) else {
        return true;
    };
    let view = partition.view.as_ref();
    view.is_some_and(|view| view.covers_since_unix_ms <= needed)
}

/// Returns the time since which the view must be complete to decide the queued claims.
pub(super) fn needed_since(partition: &ClaimPartition) -> Option<u64> {
    let claims = partition.queue.iter().filter_map(|event| match event {
        ClaimEvent::Claim(claim) => Some(earliest_claim_unix_ms(claim.key_unix_ms)),
        ClaimEvent::Release { .. } => None,
    });
    claims.min()
}

/// Takes the next batch off the queue.
///
/// A claim of a key that another claim already holds is lost without an append.
fn next_batch(board: &mut Blackboard, id: PartitionId) -> ClaimBatch {
    let mut batch = ClaimBatch::new();
    while batch.len() < BATCH_LIMIT_COUNT {
        let partition = partition_mut(board, id);
        let Some(event) = partition.queue.pop_front() else {
            break;
        };
        let view = partition.view.as_ref();
        let holder = view.map_or(Holder::Nobody, |view| view.holder(&event.key()));
        match (event, holder) {
            (ClaimEvent::Claim(claim), Holder::Claim(_)) => lose(board, &claim),
            (event, _) => batch.push(event),
        }
    }
    batch
}

fn probe(board: &mut Blackboard, id: PartitionId, out: &mut Vec<Output>) {
    start_read(board, id, BEYOND_END, out);
    partition_mut(board, id).exchange = Exchange::Probing;
}

pub(super) fn read_forward(board: &mut Blackboard, id: PartitionId, out: &mut Vec<Output>) {
    let Some(view) = &partition_mut(board, id).view else {
        return;
    };
    let from = view.next_offset;
    start_read(board, id, from, out);
    partition_mut(board, id).exchange = Exchange::ReadingForward;
}

pub(super) fn start_read(
    board: &mut Blackboard,
    id: PartitionId,
    from: LogOffset,
    out: &mut Vec<Output>,
) {
    let read = board.next_id();
    board.operations.exchanges.insert(read, id);
    out.push(Output::Read {
        read,
        stream: stream_name(id),
        from,
        wait: Duration::ZERO,
    });
}

fn append(board: &mut Blackboard, id: PartitionId, out: &mut Vec<Output>) {
    let append: AppendId = board.next_id();
    board.operations.exchanges.insert(append, id);
    board.counters.increment(Counter::ClaimAppends);
    let key = board.settings.key.clone();
    let partition = partition_mut(board, id);
    partition.exchange = Exchange::Appending;
    out.push(Output::Append {
        append,
        stream: stream_name(id),
        record: encode_batch(&key, &partition.in_flight),
    });
}

/// Handles an answer of the log to a request on a claim stream.
pub(crate) fn on_log(board: &mut Blackboard, now: Moment, input: LogInput, out: &mut Vec<Output>) {
    let Some(id) = board.operations.exchanges.remove(&exchange_id(&input)) else {
        return;
    };
    let exchange = std::mem::take(&mut partition_mut(board, id).exchange);
    match input {
        LogInput::Appended { offset, .. } => on_appended(board, id, offset),
        LogInput::AppendRefused { .. } => on_append_refused(board, now, id, out),
        LogInput::AppendOutcomeUnknown { .. } => on_append_outcome_unknown(board, now, id, out),
        LogInput::ReadFailed { .. } => on_failure(board, now, id, out),
        LogInput::Read { era, .. } if board.operations.log_eras.is_past(era) => {
            on_failure(board, now, id, out);
        }
        LogInput::Read {
            records,
            oldest_offset,
            next_offset,
            ..
        } => {
            on_success(board);
            let read = ReadResult {
                records,
                oldest_offset,
                next_offset,
            };
            on_read(board, now, id, exchange, read, out);
        }
    }
    advance(board, now, id, out);
}

/// Returns the id of the append or read that an answer of the log belongs to.
pub(crate) fn exchange_id(input: &LogInput) -> u64 {
    match input {
        LogInput::Appended { append, .. }
        | LogInput::AppendRefused { append }
        | LogInput::AppendOutcomeUnknown { append } => *append,
        LogInput::Read { read, .. } | LogInput::ReadFailed { read } => *read,
    }
}

fn on_success(board: &mut Blackboard) {
    board.operations.log_failing_since = None;
    board.operations.log_failures_count = 0;
    board.operations.log_down_until = Duration::ZERO;
}

fn on_appended(board: &mut Blackboard, id: PartitionId, offset: LogOffset) {
    on_success(board);
    if !board.settings.policy.operations.reads_claims_back {
        let claims = partition_mut(board, id).in_flight.clone();
        for claim in claims.iter().filter_map(claim_of) {
            win(board, claim.id.sequence);
        }
    }
    drop_abandoned(board, id);
    let partition = partition_mut(board, id);
    if partition
        .in_flight
        .iter()
        .any(|event| claim_of(event).is_some())
    {
        partition.read_target = Some(ReadTarget::Through(offset));
    } else {
        finish_batch(partition);
    }
}

/// Handles a refused append: the record is not in the stream.
///
/// If the outcome of an earlier append of the batch is unknown, a copy may be there and the
/// stream is read to its end. Otherwise the events return to the queue.
fn on_append_refused(board: &mut Blackboard, now: Moment, id: PartitionId, out: &mut Vec<Output>) {
    let partition = partition_mut(board, id);
    if partition.is_append_outcome_unknown {
        partition.read_target = Some(ReadTarget::End);
    } else {
        let events = std::mem::take(&mut partition.in_flight);
        for event in events.into_iter().rev() {
            partition.queue.push_front(event);
        }
    }
    on_failure(board, now, id, out);
}

/// Handles an append of unknown outcome: the stream is read to its end, and what is missing
/// there is appended again.
///
/// A copy that arrives late is harmless, since it has the same claim id.
fn on_append_outcome_unknown(
    board: &mut Blackboard,
    now: Moment,
    id: PartitionId,
    out: &mut Vec<Output>,
) {
    let partition = partition_mut(board, id);
    partition.is_append_outcome_unknown = true;
    partition.read_target = Some(ReadTarget::End);
    if partition.in_flight.is_empty() {
        finish_batch(partition);
    }
    on_failure(board, now, id, out);
    partition_mut(board, id).retry_at = Duration::ZERO;
}

pub(super) fn on_failure(
    board: &mut Blackboard,
    now: Moment,
    id: PartitionId,
    out: &mut Vec<Output>,
) {
    let table = &mut board.operations;
    let doublings = table.log_failures_count.min(RETRY_DOUBLINGS_LIMIT_COUNT);
    let retry_at = now.monotonic + RETRY_INTERVAL * (1 << doublings);
    table.log_failures_count += 1;
    table.log_retry_at = retry_at;
    let since = *table.log_failing_since.get_or_insert(now.monotonic);
    partition_mut(board, id).retry_at = now.monotonic + RETRY_INTERVAL;
    let table = &mut board.operations;
    if now.monotonic - since < LOG_FAILURE_TIMEOUT {
        return;
    }
    table.log_down_until = now.monotonic + LOG_DOWN_DURATION;
    out.push(Output::Note(Note::warn(
        "claims_refused",
        "the log does not answer; Idempotency-Keys are refused, issued ids still work",
    )));
    abandon_all(board, id, &refusals::log_down());
}

/// Continues partitions with work whose pause after a failure is over.
pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let partitions = board.operations.partitions.iter();
    let waiting = partitions.filter(|(_, partition)| {
        let is_idle = matches!(partition.exchange, Exchange::Idle);
        is_idle && !partition.is_idle() || partition.wants_refresh
    });
    let mut waiting: Vec<(Duration, PartitionId)> = waiting
        .map(|(id, partition)| (partition.retry_at, *id))
        .collect();
    if board.operations.log_failing_since.is_some() {
        limit_retries_of_failing_log(board, now, &mut waiting);
    }
    for (_, id) in waiting {
        advance(board, now, id, out);
    }
}

/// Keeps at most one partition that may send requests while the log fails, with growing pauses.
///
/// All nodes retry; without the limit a log that recovers would receive their backlog at once.
fn limit_retries_of_failing_log(
    board: &mut Blackboard,
    now: Moment,
    waiting: &mut Vec<(Duration, PartitionId)>,
) {
    if now.monotonic < board.operations.log_retry_at {
        waiting.clear();
        return;
    }
    waiting.sort_unstable();
    waiting.truncate(1);
}
