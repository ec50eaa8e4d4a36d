//! Inputs about the platform's log.

use kumquatquay_wire::{LogOffset, StreamName, routed::StoreEra};

use crate::{AppendId, ReadId};

/// How an append to the log or a read from it ended.
#[derive(Clone, Debug)]
pub enum LogInput {
    /// The log answered an append.
    Appended {
        /// The append.
        append: AppendId,
        /// Offset of the record.
        offset: LogOffset,
    },
    /// The log refused the append; the record is not in the stream.
    AppendRefused {
        /// The append.
        append: AppendId,
    },
    /// The answer was lost: the record may be in the stream, or may get there later.
    AppendOutcomeUnknown {
        /// The append.
        append: AppendId,
    },
    /// The log answered a read.
    Read {
        /// The read.
        read: ReadId,
        /// The stream.
        stream: StreamName,
        /// Records in the order of their offsets; empty at the end of the stream.
        records: Vec<LogRecord>,
        /// The oldest offset that the log still holds.
        oldest_offset: LogOffset,
        /// The offset that the next append will get.
        next_offset: LogOffset,
        /// The era of the log, which rises by one each time that the log is restored from a
        /// backup. `None` if the log states none.
        era: Option<StoreEra>,
    },
    /// The log did not answer the read.
    ReadFailed {
        /// The read.
        read: ReadId,
    },
}

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogRecord {
    /// Offset in the stream.
    pub offset: LogOffset,
    /// When the log appended it, by the log's clock, in milliseconds since the Unix epoch.
    pub appended_unix_ms: u64,
    /// Content of the record.
    pub bytes: Vec<u8>,
}
