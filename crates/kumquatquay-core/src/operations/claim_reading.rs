//! Reads a claim stream: back to the time of the oldest queued key, then forward.

use kumquatquay_wire::LogOffset;

use super::{
    claim::{PartitionId, stream_name},
    claim_decision::{abandon_all, decide_batch},
    claim_partition::{Exchange, Loading, ReadTarget},
    claim_view::ClaimView,
    claims::{needed_since, on_failure, partition_mut, read_forward, start_read},
    idempotency_key::{CLAIM_WINDOW, CLOCK_SKEW_LIMIT},
    refusals,
};
use crate::{Blackboard, LogRecord, Moment, Note, Output, Severity};

/// Number of records at the end of a stream that are loaded first.
const INITIAL_LOAD_COUNT: u64 = 64;

/// Factor by which the number of records grows if the load did not go back far enough.
const LOAD_GROWTH: u64 = 4;

/// Number of loaded records from which on the load isn't extended further; the claims are
/// abandoned instead.
const LOAD_LIMIT_COUNT: u64 = 16_384;

/// Answer of the log to a read.
pub(super) struct ReadResult {
    pub(super) records: Vec<LogRecord>,
    pub(super) oldest_offset: LogOffset,
    pub(super) next_offset: LogOffset,
}

/// Handles the answer of the log to a read of a partition.
pub(super) fn on_read(
    board: &mut Blackboard,
    now: Moment,
    id: PartitionId,
    exchange: Exchange,
    read: ReadResult,
    out: &mut Vec<Output>,
) {
    match exchange {
        Exchange::Probing => {
            load(
                board,
                id,
                INITIAL_LOAD_COUNT,
                read.oldest_offset,
                read.next_offset,
                out,
            );
        }
        Exchange::Loading(loading) => on_loaded(board, now, id, loading, read, out),
        Exchange::ReadingForward => on_read_forward(board, now, id, &read, out),
        Exchange::Idle | Exchange::Appending => {}
    }
}

/// Starts to load the last `count` records before `until`; an empty range gives an empty view.
fn load(
    board: &mut Blackboard,
    id: PartitionId,
    count: u64,
    oldest: LogOffset,
    until: LogOffset,
    out: &mut Vec<Output>,
) {
    let from = until.saturating_sub(count).max(oldest);
    if from >= until {
        partition_mut(board, id).view = Some(ClaimView::new(until, 0));
        return;
    }
    start_read(board, id, from, out);
    partition_mut(board, id).exchange = Exchange::Loading(Loading {
        from,
        until,
        records: Vec::new(),
    });
}

fn on_loaded(
    board: &mut Blackboard,
    now: Moment,
    id: PartitionId,
    mut loading: Loading,
    read: ReadResult,
    out: &mut Vec<Output>,
) {
    let is_end = read.records.is_empty();
    loading.records.extend(read.records);
    let next = loading
        .records
        .last()
        .map_or(loading.from, |last| last.offset + 1);
    if next < loading.until && !is_end {
        start_read(board, id, next, out);
        partition_mut(board, id).exchange = Exchange::Loading(loading);
        return;
    }
    let Some(needed) = needed_since(partition_mut(board, id)) else {
        return;
    };
    let is_complete = loading.from <= read.oldest_offset;
    let first_unix_ms = loading
        .records
        .first()
        .map_or(u64::MAX, |first| first.appended_unix_ms);
    let count = loading.until - loading.from;
    if !is_complete && first_unix_ms >= needed {
        if count >= LOAD_LIMIT_COUNT {
            abandon_all(board, id, &refusals::busy());
            return;
        }
        load(
            board,
            id,
            count * LOAD_GROWTH,
            read.oldest_offset,
            loading.until,
            out,
        );
        return;
    }
    let covers_since = if is_complete { 0 } else { first_unix_ms + 1 };
    let mut view = ClaimView::new(loading.from, covers_since);
    view.extend(&board.settings.key, &loading.records);
    view.next_offset = view.next_offset.max(loading.until);
    let partition = partition_mut(board, id);
    partition.read_at = now.monotonic;
    partition.view = Some(view);
}

fn on_read_forward(
    board: &mut Blackboard,
    now: Moment,
    id: PartitionId,
    read: &ReadResult,
    out: &mut Vec<Output>,
) {
    let key = board.settings.key.clone();
    let partition = partition_mut(board, id);
    let target = partition.read_target.unwrap_or(ReadTarget::End);
    let Some(view) = &mut partition.view else {
        return;
    };
    if read.oldest_offset > view.next_offset || read.next_offset < view.next_offset {
        on_records_lost(board, now, id, out);
        return;
    }
    view.extend(&key, &read.records);
    let is_reached = match target {
        ReadTarget::Through(offset) => view.next_offset > offset,
        ReadTarget::End => read.records.is_empty() || view.next_offset >= read.next_offset,
    };
    if is_reached {
        partition.read_at = now.monotonic;
        partition.wants_refresh = false;
        decide_batch(board, now, id);
    } else if read.records.is_empty() {
        on_failure(board, now, id, out);
    } else {
        read_forward(board, id, out);
    }
}

/// Handles that the log was restored from a backup.
///
/// Claims of any key may be lost, also in streams that this node never read, so all keys are
/// refused until their windows have passed. Issued ids still work.
pub(crate) fn on_log_restored(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let table = &mut board.operations;
    table.claims_lost_until = now.monotonic + CLAIM_WINDOW + 2 * CLOCK_SKEW_LIMIT;
    // Requests under way were sent to the log before it was restored.
    table.exchanges.clear();
    let ids: Vec<PartitionId> = table.partitions.keys().copied().collect();
    for id in ids {
        let partition = partition_mut(board, id);
        partition.exchange = Exchange::Idle;
        partition.view = None;
        partition.wants_refresh = false;
        abandon_all(board, id, &refusals::log_incomplete());
    }
    let detail = "the log was restored from a backup; Idempotency-Keys are refused for 14 minutes, \
                  since claims may be lost; issued ids still work";
    out.push(Output::Note(Note::new(
        Severity::Error,
        "claims_lost",
        detail,
    )));
}

/// Handles that records were removed before they were read, or that the stream became shorter.
///
/// An earlier claim of any key of the stream may be among the lost records. The keys are refused
/// until their windows have passed; otherwise an operation could run a second time.
fn on_records_lost(board: &mut Blackboard, now: Moment, id: PartitionId, out: &mut Vec<Output>) {
    let partition = partition_mut(board, id);
    partition.view = None;
    partition.wants_refresh = false;
    partition.refused_until = now.monotonic + CLAIM_WINDOW + 2 * CLOCK_SKEW_LIMIT;
    abandon_all(board, id, &refusals::log_incomplete());
    let detail = format!(
        "{} lost records; its keys are refused for 14 minutes",
        stream_name(id)
    );
    out.push(Output::Note(Note::new(
        Severity::Error,
        "claims_lost",
        detail,
    )));
}
