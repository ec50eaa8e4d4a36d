//! Reads of the configuration stream: scheduling, and handling of the answers.

use std::time::Duration;

use kumquatquay_wire::{ConfigurationRecord, LogOffset, routed::StoreEra};
use rand::Rng;

use super::{
    confirmation, in_force,
    log_reader::{LogFault, OutstandingRead, ReadPurpose},
    peer_fetch, snapshot_schedule,
};
use crate::{
    Blackboard, Counter, LogRecord, Moment, Note, Output, ReadId, Severity, routed::EraChange,
};

/// How long the log may hold an empty answer to a follower that is caught up (long poll).
const LONG_POLL_WAIT: Duration = Duration::from_secs(5);

/// The same while this node has a confirmation under way, for whose outcome an operator waits.
const CONFIRMATION_LONG_POLL_WAIT: Duration = Duration::from_millis(200);

/// Bounds of the read timeout, which begins when the long poll ends.
///
/// While the log is down a read is never answered, and a node has only one read outstanding.
/// With a fixed timeout of 12 s a node read nothing for 17 s after the log was back, and a
/// change that was confirmed there was not in force within the required 14 s. A log that takes
/// several seconds to answer is slow but not down, so the timeout doubles with each read that
/// times out; after an answer it is twice the time that this took beyond its long poll. The
/// maximum and [`MAX_RETRY_PAUSE`] add up to 12 s.
const MIN_READ_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_READ_TIMEOUT: Duration = Duration::from_secs(8);

/// Pause after the first failed read. It doubles with each further failure in a row.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after a failed read. Half of it plus the read are still within the time in
/// which a change must be in force.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(4);

/// Pause between reads while the stream has a [`LogFault`].
const FAULT_PAUSE: Duration = Duration::from_secs(2);

/// Mean time between reads of a node that is not a follower of the log.
///
/// These reads are the fallback for a silent failure of gossip. 5,100 nodes make 85 of them a
/// second, mostly with an empty answer.
const POLL_INTERVAL_S: u64 = 60;

/// How long a node without a configuration waits for an answer of another node before it reads
/// the log, so that the 470 nodes replaced per day don't all read the whole stream.
const PEER_FETCH_HEAD_START: Duration = Duration::from_millis(500);

/// How long a node that knows of a later version tries to fetch it from other nodes before it
/// reads the log.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_secs(2);

/// An answer of the log to a read.
pub(super) struct ReadAnswer {
    pub(super) records: Vec<LogRecord>,
    pub(super) oldest_offset: LogOffset,
    pub(super) next_offset: LogOffset,
    pub(super) era: Option<StoreEra>,
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if let Some(read) = board.configuration.reader.outstanding {
        if now.monotonic < read.expires_at {
            return;
        }
        set_read_timeout(board, (read.expires_at - read.held_until) * 2);
        on_failed(board, now, read.id, out);
    }
    let may_read =
        board.settings.has_log && now.monotonic >= board.configuration.reader.next_read_at;
    if may_read && is_read_due(board, now) {
        start_read(board, now, out);
    }
}

fn set_read_timeout(board: &mut Blackboard, read_timeout: Duration) {
    board.configuration.reader.read_timeout =
        read_timeout.clamp(MIN_READ_TIMEOUT, MAX_READ_TIMEOUT);
}

/// Makes the next read due at once, also during the pause after a failed read.
pub(super) fn read_immediately(board: &mut Blackboard) {
    board.configuration.reader.next_read_at = Duration::ZERO;
}

fn is_read_due(board: &Blackboard, now: Moment) -> bool {
    let configuration = &board.configuration;
    let reader = &configuration.reader;
    if !configuration.is_established() {
        return now.monotonic >= configuration.peer_fetch.started_at + PEER_FETCH_HEAD_START;
    }
    let is_behind = configuration
        .peer_fetch
        .behind_since
        .is_some_and(|since| now.monotonic >= since + PEER_FETCH_TIMEOUT);
    configuration.ranks.is_follower()
        || !configuration.confirmations.is_empty()
        || is_behind
        || now.monotonic >= reader.poll_at
}

fn start_read(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let id = board.next_id();
    let spread_s = board.random.random_range(0..POLL_INTERVAL_S);
    let configuration = &mut board.configuration;
    let through = configuration.state.through();
    let (purpose, from) = match (configuration.reader.scan_from, through) {
        (Some(from), _) => (ReadPurpose::Scan, from),
        (None, Some(through)) if configuration.reader.must_verify => (ReadPurpose::Verify, through),
        (None, _) => (ReadPurpose::Follow, configuration.state.next_offset()),
    };
    let may_long_poll = purpose == ReadPurpose::Follow
        && configuration.reader.is_caught_up
        && configuration.ranks.is_follower();
    let wait = match may_long_poll {
        _ if !configuration.confirmations.is_empty() => CONFIRMATION_LONG_POLL_WAIT,
        true => LONG_POLL_WAIT,
        false => Duration::ZERO,
    };
    configuration.reader.poll_at =
        now.monotonic + Duration::from_secs(POLL_INTERVAL_S / 2 + spread_s);
    let held_until = now.monotonic + wait;
    let read_timeout = configuration.reader.read_timeout.max(MIN_READ_TIMEOUT);
    configuration.reader.outstanding = Some(OutstandingRead {
        id,
        purpose,
        held_until,
        expires_at: held_until + read_timeout,
    });
    out.push(Output::Read {
        read: id,
        stream: String::from(ConfigurationRecord::STREAM),
        from,
        wait,
    });
}

/// Takes the outstanding read out of the state if it has this id.
fn take_outstanding(board: &mut Blackboard, read: ReadId) -> Option<OutstandingRead> {
    let outstanding = &mut board.configuration.reader.outstanding;
    outstanding.take_if(|outstanding| outstanding.id == read)
}

pub(super) fn on_failed(board: &mut Blackboard, now: Moment, read: ReadId, out: &mut Vec<Output>) {
    if take_outstanding(board, read).is_none() {
        return;
    }
    board.counters.increment(Counter::ConfigurationReadsFailed);
    let spread = board.random.random_range(0.5..1.0);
    let reader = &mut board.configuration.reader;
    let pause = MIN_RETRY_PAUSE * 2_u32.pow(reader.failures_count.min(10));
    reader.failures_count += 1;
    reader.next_read_at = now.monotonic + pause.min(MAX_RETRY_PAUSE).mul_f64(spread);
    reader.must_verify = true;
    reader.is_caught_up = false;
    if reader.failing_since.is_none() {
        reader.failing_since = Some(now.monotonic);
        out.push(Output::Note(Note::warn(
            "log_not_answering",
            "the log did not answer a read of the configuration stream; the configuration in force \
             is kept",
        )));
    }
}

pub(super) fn on_answer(
    board: &mut Blackboard,
    now: Moment,
    read: ReadId,
    answer: ReadAnswer,
    out: &mut Vec<Output>,
) {
    let Some(outstanding) = board.configuration.reader.outstanding else {
        return;
    };
    if outstanding.id != read {
        return;
    }
    if !has_contiguous_offsets(&answer) {
        out.push(Output::Note(Note::warn(
            "log_out_of_order",
            "the log answered a read with offsets that are not contiguous; the answer was \
             discarded",
        )));
        on_failed(board, now, read, out);
        return;
    }
    if board.configuration.reader.eras.is_past(answer.era) {
        // The answer dates from before the log was restored from a backup.
        on_failed(board, now, read, out);
        return;
    }
    board.configuration.reader.outstanding = None;
    set_read_timeout(
        board,
        now.monotonic.saturating_sub(outstanding.held_until) * 2,
    );
    on_log_available(board, out);
    if detect_restore(board, answer.era, out) && outstanding.purpose != ReadPurpose::Verify {
        read_immediately(board);
        return;
    }
    if detect_truncation(board, now, &answer, out) {
        return;
    }
    board.configuration.reader.oldest_offset = answer.oldest_offset;
    board.configuration.reader.next_offset = answer.next_offset;
    match outstanding.purpose {
        ReadPurpose::Scan => scan(board, now, answer, out),
        ReadPurpose::Verify => verify(board, now, answer, out),
        ReadPurpose::Follow => follow(board, now, answer, out),
    }
}

/// Returns whether the log was restored from a backup since its last answer; if so, resets the
/// progress of the reads.
///
/// It may now hold other records at the offsets that this node has read, so the last record read
/// is verified before further ones are applied.
fn detect_restore(board: &mut Blackboard, era: Option<StoreEra>, out: &mut Vec<Output>) -> bool {
    let reader = &mut board.configuration.reader;
    let EraChange::Restored { previous } = reader.eras.observe(era) else {
        return false;
    };
    reader.must_verify = true;
    reader.is_caught_up = false;
    reader.last_scanned = None;
    reader.scan_from = reader.scan_from.map(|_| 0);
    snapshot_schedule::on_log_restored(&mut board.configuration.snapshots);
    board.counters.increment(Counter::ConfigurationLogReturns);
    out.push(Output::Note(Note::warn(
        "log_returned_from_copy",
        format!(
            "the log was restored from an older backup, in era {}, after era {}; the \
             configuration in force is kept, and the last record read is verified next",
            era.unwrap_or_default(),
            previous.unwrap_or_default()
        ),
    )));
    true
}

fn on_log_available(board: &mut Blackboard, out: &mut Vec<Output>) {
    let reader = &mut board.configuration.reader;
    reader.failures_count = 0;
    if reader.failing_since.take().is_some() {
        out.push(Output::Note(Note::info(
            "log_answers_again",
            "the log answers reads of the configuration stream again",
        )));
    }
}

/// Whether the offsets are contiguous and consistent with the ends of the stream.
///
/// This node would never read a change in a gap, so an answer with a gap counts as a failed
/// read.
fn has_contiguous_offsets(answer: &ReadAnswer) -> bool {
    let offsets: Vec<LogOffset> = answer.records.iter().map(|record| record.offset).collect();
    let is_dense = offsets.windows(2).all(|pair| pair[0] + 1 == pair[1]);
    let is_below_end = offsets.last().is_none_or(|last| *last < answer.next_offset);
    is_dense && is_below_end && answer.oldest_offset <= answer.next_offset
}

fn detect_truncation(
    board: &mut Blackboard,
    now: Moment,
    answer: &ReadAnswer,
    out: &mut Vec<Output>,
) -> bool {
    let Some(through) = board.configuration.state.through() else {
        return false;
    };
    if answer.next_offset > through {
        return false;
    }
    let fault = LogFault::WentBackwards {
        next_offset: answer.next_offset,
        through,
    };
    raise_fault(board, now, fault, out);
    true
}

/// Records a fault of the stream, and logs and counts it unless it is already the current one.
///
/// No record is applied until the last one read is verified.
fn raise_fault(board: &mut Blackboard, now: Moment, fault: LogFault, out: &mut Vec<Output>) {
    let reader = &mut board.configuration.reader;
    reader.must_verify = true;
    reader.is_caught_up = false;
    reader.next_read_at = now.monotonic + FAULT_PAUSE;
    if reader.fault.as_ref() == Some(&fault) {
        return;
    }
    let detail = fault.to_string();
    reader.fault = Some(fault);
    board.counters.increment(Counter::ConfigurationLogDoubts);
    out.push(Output::Note(Note::new(
        Severity::Error,
        "log_in_doubt",
        detail,
    )));
}

fn verify(board: &mut Blackboard, now: Moment, answer: ReadAnswer, out: &mut Vec<Output>) {
    let Some(through) = board.configuration.state.through() else {
        return;
    };
    let mut records = answer.records;
    let is_in_log = answer.oldest_offset <= through;
    if is_in_log {
        let Some(first) = records.first().filter(|first| first.offset == through) else {
            // The answer lacks the record although the log says that it keeps it; read again.
            board.configuration.reader.next_read_at = now.monotonic + MIN_RETRY_PAUSE;
            return;
        };
        if ConfigurationRecord::digest(&first.bytes) != board.configuration.state.digest() {
            raise_fault(board, now, LogFault::OtherStream { through }, out);
            return;
        }
        records.remove(0);
    }
    board.configuration.reader.must_verify = false;
    follow(board, now, ReadAnswer { records, ..answer }, out);
}

fn follow(board: &mut Blackboard, now: Moment, answer: ReadAnswer, out: &mut Vec<Output>) {
    if answer.oldest_offset > board.configuration.state.next_offset() {
        on_gap(board, now, answer, out);
        return;
    }
    board.configuration.reader.fault = None;
    if answer.next_offset == 0 {
        board.configuration.reader.has_seen_empty_stream = true;
    }
    for record in answer.records {
        if record.offset == board.configuration.state.next_offset() {
            apply_record(board, now, record, out);
        }
    }
    let is_caught_up = board.configuration.state.next_offset() == answer.next_offset;
    board.configuration.reader.is_caught_up = is_caught_up;
    if is_caught_up {
        peer_fetch::clear_behind(board, true);
    }
    confirmation::finish_decided(board, out);
}

/// Handles an answer which shows that records expired before this node read them.
///
/// Without the missing changes, which may be the base of later ones, this node would accept or
/// reject the later ones differently from the other nodes. So it applies no record until a
/// snapshot or another node has closed the gap.
fn on_gap(board: &mut Blackboard, now: Moment, answer: ReadAnswer, out: &mut Vec<Output>) {
    board.configuration.reader.is_caught_up = false;
    board.counters.increment(Counter::ConfigurationGaps);
    out.push(Output::Note(Note::warn(
        "configuration_gap",
        format!(
            "the oldest record in the log is at offset {}, but this node has not read offset {}; \
             it searches the stream for a snapshot",
            answer.oldest_offset,
            board.configuration.state.next_offset()
        ),
    )));
    peer_fetch::ask_any_node(board, now, out);
    scan(board, now, answer, out);
}

fn scan(board: &mut Blackboard, now: Moment, answer: ReadAnswer, out: &mut Vec<Output>) {
    let last = answer.records.last().map(|record| record.offset);
    if let Some(record) = answer.records.last() {
        let digest = ConfigurationRecord::digest(&record.bytes);
        board.configuration.reader.last_scanned = Some((record.offset, digest));
    }
    for record in answer.records {
        let decoded = ConfigurationRecord::from_bytes(&record.bytes, &board.settings.key);
        let Ok(ConfigurationRecord::Snapshot(snapshot)) = decoded else {
            continue;
        };
        snapshot_schedule::on_snapshot_read(board, now, &record, snapshot.through);
        let bridges =
            snapshot.through + 1 >= answer.oldest_offset && snapshot.through < record.offset;
        if bridges && in_force::adopt_snapshot(board, now, snapshot, out) {
            on_gap_closed(board);
            confirmation::finish_decided(board, out);
            return;
        }
    }
    if board.configuration.state.next_offset() >= answer.oldest_offset
        && board.configuration.is_established()
    {
        on_gap_closed(board);
        return;
    }
    match last {
        Some(last) if last + 1 < answer.next_offset => {
            board.configuration.reader.scan_from = Some(last + 1);
        }
        _ => {
            let oldest_offset = answer.oldest_offset;
            raise_fault(board, now, LogFault::HistoryLost { oldest_offset }, out);
            board.configuration.reader.scan_from = Some(oldest_offset);
            peer_fetch::ask_any_node(board, now, out);
        }
    }
}

/// Resumes the reads after a snapshot or another node has advanced the state.
///
/// This closes a gap if there was one. The next read verifies the last record applied.
pub(super) fn on_gap_closed(board: &mut Blackboard) {
    let reader = &mut board.configuration.reader;
    reader.scan_from = None;
    reader.must_verify = true;
    reader.next_read_at = Duration::ZERO;
    if matches!(reader.fault, Some(LogFault::HistoryLost { .. })) {
        reader.fault = None;
    }
}

fn apply_record(board: &mut Blackboard, now: Moment, record: LogRecord, out: &mut Vec<Output>) {
    let digest = ConfigurationRecord::digest(&record.bytes);
    match ConfigurationRecord::from_bytes(&record.bytes, &board.settings.key) {
        Ok(ConfigurationRecord::Change(change)) => {
            in_force::apply_change(board, now, &record, change, out);
        }
        Ok(ConfigurationRecord::Snapshot(snapshot)) => {
            snapshot_schedule::on_snapshot_read(board, now, &record, snapshot.through);
            board.configuration.state.advance_to(record.offset, digest);
        }
        Err(error) => {
            board.configuration.state.advance_to(record.offset, digest);
            let detail = format!("skipped unreadable record {}: {error}", record.offset);
            out.push(Output::Note(Note::warn(
                "configuration_record_unreadable",
                detail,
            )));
        }
    }
}
