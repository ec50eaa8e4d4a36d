//! A log with one stream, and its faults on request.

use std::time::Duration;

use kumquatquay_core::LogRecord;

/// What the log does with the next append.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum AppendFault {
    /// Takes the record and answers.
    #[default]
    None,
    /// Takes the record; the answer is lost.
    LostAnswer,
    /// Takes the record and goes down before it answers.
    DownAfterRecord,
    /// Does not take the record; the answer is lost.
    LostRecord,
}

/// One stream of the platform's log.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeLog {
    pub(crate) records: Vec<LogRecord>,
    pub(crate) oldest_offset: u64,
    /// Told with each read; a log that tells none is set back without anybody noticing at once.
    pub(crate) era: Option<u64>,
    pub(crate) is_down: bool,
    /// It never answers the reads that it has, or gets, while this is set.
    pub(crate) is_silent: bool,
    pub(crate) next_fault: AppendFault,
    pub(crate) delay: Duration,
}

impl FakeLog {
    pub(crate) fn next_offset(&self) -> u64 {
        let last = self.records.last();
        last.map_or(self.oldest_offset, |last| last.offset + 1)
    }

    pub(crate) fn append(&mut self, unix_ms: u64, bytes: Vec<u8>) -> u64 {
        let offset = self.next_offset();
        self.records.push(LogRecord {
            offset,
            appended_unix_ms: unix_ms,
            bytes,
        });
        offset
    }

    pub(crate) fn read(&self, from: u64) -> Vec<LogRecord> {
        let kept = self.records.iter();
        let kept = kept.filter(|record| record.offset >= from.max(self.oldest_offset));
        kept.cloned().collect()
    }

    /// Forgets the records before an offset.
    pub(crate) fn forget_before(&mut self, offset: u64) {
        self.oldest_offset = offset;
        if self.next_offset() == offset {
            return;
        }
        self.records.retain(|record| record.offset >= offset);
    }

    /// Loses the records from an offset on, as a restore from a backup does.
    pub(crate) fn set_back_to(&mut self, offset: u64) {
        self.records.retain(|record| record.offset < offset);
        self.era = self.era.map(|era| era + 1);
    }
}
