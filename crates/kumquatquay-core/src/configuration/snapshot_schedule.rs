//! When the state is appended again, because the log forgets.

use std::time::Duration;

use kumquatquay_wire::{ConfigurationRecord, LogOffset};

use super::configuration_table::AppendPurpose;
use crate::{Blackboard, Counter, LogRecord, Moment, Note, Output};

/// The longest time between two snapshots, if the log keeps records for at
/// least three times as long.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// Share of the time that the log was seen to keep records, after which the
/// state is appended again: two attempts may fail before it is too late.
const RETENTION_DIVISOR: u32 = 3;

/// How much later the next node in rank appends a snapshot that is due.
const STAGGER: Duration = Duration::from_secs(30);

/// The same once the log can't rebuild the state any more.
const URGENT_STAGGER: Duration = Duration::from_secs(2);

/// Nodes in rank beyond which the stagger does not grow.
const STAGGER_LIMIT_COUNT: usize = 60;

/// Time until this node tries again.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// How often the schedule is looked at.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Snapshots of the stream.
#[derive(Debug, Default)]
pub(crate) struct SnapshotSchedule {
    /// The last one that was read.
    last: Option<SeenSnapshot>,
    /// Since when the log alone can't rebuild the state.
    urgent_since: Option<Duration>,
    /// Since when the state could have been appended.
    ready_since: Option<Duration>,
    retry_at: Duration,
    check_at: Duration,
    /// The shortest time after which a record was seen to be gone.
    retention: Option<Duration>,
}

/// A snapshot in the stream.
#[derive(Clone, Copy, Debug)]
struct SeenSnapshot {
    offset: LogOffset,
    through: LogOffset,
    appended_unix_ms: u64,
    /// When it was appended, by this node's monotonic clock.
    at: Duration,
}

/// Takes note of a snapshot in the stream.
pub(super) fn on_snapshot_read(
    board: &mut Blackboard,
    now: Moment,
    record: &LogRecord,
    through: LogOffset,
) {
    let schedule = &mut board.configuration.snapshots;
    let is_stale = schedule.last.is_some_and(|last| last.through > through);
    if is_stale || through >= record.offset {
        return;
    }
    let age = Duration::from_millis(now.unix_ms().saturating_sub(record.appended_unix_ms));
    schedule.last = Some(SeenSnapshot {
        offset: record.offset,
        through,
        appended_unix_ms: record.appended_unix_ms,
        at: now.monotonic.saturating_sub(age),
    });
}

/// The log came back from a copy, which may lack the last snapshot.
pub(super) fn on_log_restored(schedule: &mut SnapshotSchedule) {
    schedule.last = None;
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if now.monotonic < board.configuration.snapshots.check_at {
        return;
    }
    board.configuration.snapshots.check_at = now.monotonic + CHECK_INTERVAL;
    update_retention(board, now);
    if is_due(board, now) {
        append(board, now, out);
    }
}

/// Learns how long the log keeps records from the youngest one seen to be gone.
fn update_retention(board: &mut Blackboard, now: Moment) {
    let configuration = &mut board.configuration;
    let oldest_offset = configuration.reader.oldest_offset;
    let snapshot = configuration.snapshots.last.iter();
    let snapshot = snapshot.map(|last| (last.offset, last.appended_unix_ms));
    let history = configuration.state.history();
    let history = history.map(|accepted| (accepted.version, accepted.appended_unix_ms));
    let gone = snapshot
        .chain(history)
        .filter(|(offset, _)| *offset < oldest_offset);
    let Some(youngest_unix_ms) = gone.map(|(_, appended_unix_ms)| appended_unix_ms).max() else {
        return;
    };
    let kept = Duration::from_millis(now.unix_ms().saturating_sub(youngest_unix_ms));
    let retention = &mut configuration.snapshots.retention;
    *retention = Some(retention.map_or(kept, |known| known.min(kept)));
}

fn is_due(board: &mut Blackboard, now: Moment) -> bool {
    let configuration = &mut board.configuration;
    let can_append = configuration.ranks.is_follower()
        && configuration.reader.is_caught_up
        && configuration.version().is_some();
    let schedule = &mut configuration.snapshots;
    if !can_append {
        schedule.urgent_since = None;
        return false;
    }
    let rank = configuration.ranks.overall_rank.min(STAGGER_LIMIT_COUNT) as u32;
    let ready_since = *schedule.ready_since.get_or_insert(now.monotonic);
    let is_urgent = !can_rebuild(schedule.last, configuration.reader.oldest_offset);
    schedule.urgent_since = is_urgent.then(|| schedule.urgent_since.unwrap_or(now.monotonic));
    if now.monotonic < schedule.retry_at {
        return false;
    }
    if let Some(urgent_since) = schedule.urgent_since {
        return now.monotonic >= urgent_since + URGENT_STAGGER * rank;
    }
    let since = schedule.last.map_or(ready_since, |last| last.at);
    now.monotonic >= since + schedule.interval() + STAGGER * rank
}

impl SnapshotSchedule {
    fn interval(&self) -> Duration {
        let by_retention = self
            .retention
            .map(|retention| retention / RETENTION_DIVISOR);
        by_retention.map_or(MAX_INTERVAL, |by_retention| by_retention.min(MAX_INTERVAL))
    }
}

/// Whether a node that knows nothing could rebuild the state from the log.
fn can_rebuild(last: Option<SeenSnapshot>, oldest_offset: LogOffset) -> bool {
    let is_complete = oldest_offset == 0;
    let bridges =
        |last: SeenSnapshot| last.offset >= oldest_offset && last.through + 1 >= oldest_offset;
    is_complete || last.is_some_and(bridges)
}

fn append(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(snapshot) = board.configuration.state.to_snapshot() else {
        return;
    };
    let append = board.next_id();
    let record = ConfigurationRecord::Snapshot(snapshot).to_bytes(&board.settings.key);
    let configuration = &mut board.configuration;
    configuration.snapshots.retry_at = now.monotonic + RETRY_INTERVAL;
    configuration
        .appends
        .insert(append, AppendPurpose::Snapshot);
    board
        .counters
        .increment(Counter::ConfigurationSnapshotsAppended);
    let detail = format!(
        "the state is appended to the log again, {} bytes",
        record.len()
    );
    out.push(Output::Note(Note::info("configuration_snapshot", detail)));
    out.push(Output::Append {
        append,
        stream: String::from(ConfigurationRecord::STREAM),
        record,
    });
}
