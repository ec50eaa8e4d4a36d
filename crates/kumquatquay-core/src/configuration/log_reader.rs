//! State of the reads of the configuration stream.

use std::time::Duration;

use derive_more::Display;
use kumquatquay_wire::{LogOffset, RecordDigest};

use crate::{ReadId, routed::EraTracker};

/// Progress and health of the reads of the configuration stream.
#[derive(Debug, Default)]
pub(crate) struct LogReader {
    /// The read under way; there is at most one.
    pub(super) outstanding: Option<OutstandingRead>,
    /// Timeout of the next read, from the end of its long poll.
    pub(super) read_timeout: Duration,
    /// Earliest start of the next read, on the monotonic clock.
    pub(super) next_read_at: Duration,
    /// Consecutive failed reads.
    pub(super) failures_count: u32,
    /// When the first of these reads failed.
    pub(super) failing_since: Option<Duration>,
    /// Offset of the next read while the stream is scanned for a snapshot.
    pub(super) scan_from: Option<LogOffset>,
    /// The last record of the scan for a snapshot.
    pub(super) last_scanned: Option<(LogOffset, RecordDigest)>,
    /// Whether the next read must verify that the stream still holds the last record applied. A
    /// log that was restored while it did not answer may hold other records at the offsets that
    /// this node has read.
    pub(super) must_verify: bool,
    /// Era of the log, which changes when the log is restored from a backup.
    pub(super) eras: EraTracker,
    /// Whether the last read applied all records of the stream; `false` after a failed read.
    pub(super) is_caught_up: bool,
    /// Whether the log has reported that the stream never held a record.
    pub(super) has_seen_empty_stream: bool,
    /// The current fault of the stream.
    pub(super) fault: Option<LogFault>,
    /// Oldest offset in the log, as of its last answer.
    pub(super) oldest_offset: LogOffset,
    /// Offset of the next append, as of the last answer of the log.
    pub(super) next_offset: LogOffset,
    /// When the next read is due, if nothing else requires one earlier.
    pub(super) poll_at: Duration,
}

/// A read under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingRead {
    pub(super) id: ReadId,
    pub(super) purpose: ReadPurpose,
    /// End of the long poll: until then the log may hold an empty answer.
    pub(super) held_until: Duration,
    /// When it times out.
    pub(super) expires_at: Duration,
}

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// Reads the records after the last one applied.
    Follow,
    /// Reads the last record applied, to verify it, and those after it.
    Verify,
    /// Searches for a snapshot, from the oldest record on.
    Scan,
}

/// An inconsistency between the stream and what this node has read of it.
///
/// `Display` gives the text for operators.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub(crate) enum LogFault {
    /// The log ends before what this node has read.
    #[display(
        "the log went backwards: it ends before offset {next_offset}, and this node has read \
         through {through}; nothing is taken from it until it holds that record again"
    )]
    WentBackwards {
        /// End of the stream: offset of the next append.
        next_offset: LogOffset,
        /// The last record that this node has read.
        through: LogOffset,
    },
    /// The log holds another record at an offset that this node has read.
    #[display(
        "the log holds another record at offset {through} than this node has read there; \
         nothing is taken from it"
    )]
    OtherStream {
        /// Offset of the record.
        through: LogOffset,
    },
    /// Records have expired that this node has not read, and neither a snapshot nor another node
    /// has replaced them yet.
    #[display(
        "the log forgot its records before offset {oldest_offset}, this node had not read them, \
         and neither a snapshot nor another node makes up for them yet"
    )]
    HistoryLost {
        /// The oldest record in the log.
        oldest_offset: LogOffset,
    },
}
