//! Schedule of the snapshots that are appended to the log before its older records expire.

use std::time::Duration;

use kumquatquay_wire::{ConfigurationRecord, LogOffset};

use super::configuration_table::AppendPurpose;
use crate::{Blackboard, Counter, LogRecord, Moment, Note, Output};

/// Longest time between two snapshots. It applies if the log keeps records for at least three times
/// as long.
const MAX_INTERVAL: Duration = Duration::from_secs(3_600);

/// A snapshot is appended after the observed retention of the log divided by this, so that two
/// attempts may fail before the last snapshot expires.
const RETENTION_DIVISOR: u32 = 3;

/// Delay per rank of a node before it appends a snapshot that is due.
const STAGGER: Duration = Duration::from_secs(30);

/// Delay per rank once the state can no longer be rebuilt from the log.
const URGENT_STAGGER: Duration = Duration::from_secs(2);

/// Rank beyond which the delay no longer grows.
const STAGGER_LIMIT_COUNT: usize = 60;

/// Time after an append of a snapshot until this node retries it if it was not read back.
const RETRY_INTERVAL: Duration = Duration::from_secs(30);

/// Time between checks whether a snapshot is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// State of the snapshot schedule.
#[derive(Debug, Default)]
pub(crate) struct SnapshotSchedule {
    /// The latest snapshot that was read from the stream.
    last: Option<SeenSnapshot>,
    /// Since when the state can't be rebuilt from the log alone.
    urgent_since: Option<Duration>,
    /// When this node was first able to append a snapshot.
    ready_since: Option<Duration>,
    retry_at: Duration,
    check_at: Duration,
    /// Observed retention of the log: the least age at which a record was found to be expired.
    retention: Option<Duration>,
}

/// A snapshot that was read from the stream.
#[derive(Clone, Copy, Debug)]
struct SeenSnapshot {
    offset: LogOffset,
    through: LogOffset,
    appended_unix_ms: u64,
    /// When it was appended, on this node's monotonic clock.
    appended_at: Duration,
}

/// Records a snapshot that was read from the stream.
///
/// Ignores it if an earlier one covers more of the stream, or if it claims to cover its own offset
/// or later ones.
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
        appended_at: now.monotonic.saturating_sub(age),
    });
}

/// Forgets the last snapshot after the log was restored from a backup, which may lack it.
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

/// Derives the retention of the log from the youngest record known to have expired.
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
    let since = schedule.last.map_or(ready_since, |last| last.appended_at);
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

/// Whether a node without a configuration could rebuild the state from the log alone.
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
        "appending a snapshot of the configuration to the log, {} bytes",
        record.len()
    );
    out.push(Output::Note(Note::info("configuration_snapshot", detail)));
    out.push(Output::Append {
        append,
        stream: String::from(ConfigurationRecord::STREAM),
        record,
    });
}
