//! Inputs about the platform's log.

use kumquatquay_wire::{LogOffset, StreamName, routed::StoreEra};

use crate::{AppendId, ReadId};

/// How an exchange with the log ended.
#[derive(Clone, Debug)]
pub enum LogInput {
    /// The log answered an append.
    Appended {
        /// The append.
        append: AppendId,
        /// Where the record is.
        offset: LogOffset,
    },
    /// The log refused the append; the record is not in the stream.
    AppendRefused {
        /// The append.
        append: AppendId,
    },
    /// The answer was lost: the append may have taken effect or may yet.
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
        /// The oldest offset that the log still keeps.
        oldest_offset: LogOffset,
        /// The offset that the next append will get.
        next_offset: LogOffset,
        /// The era of the log; one higher each time that it comes back from an older copy.
        /// `None` if it tells none.
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
    /// Its place.
    pub offset: LogOffset,
    /// When the log took it, by the log's clock, in milliseconds since the Unix epoch.
    pub appended_unix_ms: u64,
    /// Its bytes.
    pub bytes: Vec<u8>,
}
