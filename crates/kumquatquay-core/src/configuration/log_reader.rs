//! Reads of the configuration stream: what is known of them.

use std::time::Duration;

use derive_more::Display;
use kumquatquay_wire::{LogOffset, RecordDigest};

use crate::{ReadId, routed::EraTracker};

/// Where the reading of the stream stands.
#[derive(Debug, Default)]
pub(crate) struct LogReader {
    /// The read under way.
    pub(super) outstanding: Option<OutstandingRead>,
    /// How long the next read is waited for beyond its hold.
    pub(super) read_timeout: Duration,
    /// No read starts before, on the monotonic clock.
    pub(super) next_read_at: Duration,
    /// Reads in a row that failed.
    pub(super) failures_count: u32,
    /// When the first of them failed.
    pub(super) failing_since: Option<Duration>,
    /// Set while a snapshot is looked for.
    pub(super) scan_from: Option<LogOffset>,
    /// The last record that was looked at for a snapshot.
    pub(super) last_scanned: Option<(LogOffset, RecordDigest)>,
    /// Whether the next read must check that the stream still holds the last
    /// record taken in. A log that was set back while it did not answer may
    /// hold other records at the offsets that this node has read.
    pub(super) must_verify: bool,
    /// Eras of the log.
    pub(super) eras: EraTracker,
    /// Whether all that the log holds is taken in.
    pub(super) is_caught_up: bool,
    /// Whether the log said that the stream never held a record.
    pub(super) has_seen_empty_stream: bool,
    /// What is wrong with the stream.
    pub(super) fault: Option<LogFault>,
    /// Oldest offset that the log keeps, when it last answered.
    pub(super) oldest_offset: LogOffset,
    /// Offset that the next append gets, when it last answered.
    pub(super) next_offset: LogOffset,
    /// When the next read is due that no other reason asks for.
    pub(super) poll_at: Duration,
}

/// One read under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct OutstandingRead {
    pub(super) id: ReadId,
    pub(super) purpose: ReadPurpose,
    /// Until when the log may hold it for news.
    pub(super) held_until: Duration,
    /// When it is given up without an answer.
    pub(super) expires_at: Duration,
}

/// What a read is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ReadPurpose {
    /// The records behind the last one taken in.
    Follow,
    /// The last record taken in and those behind it.
    Verify,
    /// A snapshot, from the oldest record on.
    Scan,
}

/// What is wrong with the stream; the text is for operators.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub(crate) enum LogFault {
    /// The log ends before what this node has read.
    #[display(
        "the log went backwards: it ends before offset {next_offset}, and this node has read \
         through {through}; nothing is taken from it until it holds that record again"
    )]
    WentBackwards {
        /// What the log gives as its end.
        next_offset: LogOffset,
        /// What this node has taken in.
        through: LogOffset,
    },
    /// The log holds another record where this node has read one.
    #[display(
        "the log holds another record at offset {through} than this node has read there; \
         nothing is taken from it"
    )]
    OtherStream {
        /// The offset.
        through: LogOffset,
    },
    /// Records that this node has not read are gone, and nothing makes up for them.
    #[display(
        "the log forgot its records before offset {oldest_offset}, this node had not read them, \
         and neither a snapshot nor another node makes up for them yet"
    )]
    HistoryLost {
        /// The oldest record kept.
        oldest_offset: LogOffset,
    },
}
