//! A stand-in of the platform's log.

use std::collections::BTreeMap;

use kumquatquay_core::{LogInput, LogRecord};

/// What the log does with requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LogMode {
    /// It works.
    Up,
    /// It refuses everything.
    Down,
    /// It takes appends and their answers are lost.
    LosesAnswers,
    /// Neither appends nor answers arrive.
    Silent,
    /// Appends land late, after their writers stopped waiting.
    Delays,
}

/// The streams of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) streams: BTreeMap<String, Vec<LogRecord>>,
    pub(crate) oldest: BTreeMap<String, u64>,
    /// Told with each read.
    pub(crate) era: u64,
    pub(crate) appends_count: u64,
    pub(crate) reads_count: u64,
    pub(crate) read_bytes: u64,
}

/// Records that one read returns at most.
const READ_LIMIT_COUNT: usize = 256;

impl Log {
    /// Adds a record and returns its offset.
    pub(crate) fn append(&mut self, stream: &str, now_ms: u64, bytes: Vec<u8>) -> u64 {
        self.appends_count += 1;
        let oldest = self.oldest.get(stream).copied().unwrap_or_default();
        let records = self.streams.entry(String::from(stream)).or_default();
        let offset = records.last().map_or(oldest, |last| last.offset + 1);
        records.push(LogRecord {
            offset,
            appended_unix_ms: now_ms,
            bytes,
        });
        offset
    }

    /// Forgets every record of all streams, as retention does.
    pub(crate) fn expire(&mut self) {
        for (name, records) in &mut self.streams {
            if let Some(last) = records.last() {
                self.oldest.insert(name.clone(), last.offset + 1);
                records.clear();
            }
        }
    }

    /// Comes back from a copy that lacks the last records of all streams.
    pub(crate) fn come_back_without(&mut self, lost_count: usize) {
        for records in self.streams.values_mut() {
            records.truncate(records.len().saturating_sub(lost_count));
        }
        self.era += 1;
    }

    pub(crate) fn read(&mut self, read: u64, stream: &str, from: u64) -> LogInput {
        let is_claims = stream.starts_with("claims-");
        self.reads_count += u64::from(is_claims);
        let oldest_offset = self.oldest.get(stream).copied().unwrap_or_default();
        let records = self.streams.get(stream).map_or(&[][..], Vec::as_slice);
        let next_offset = records.last().map_or(oldest_offset, |last| last.offset + 1);
        let wanted = records.iter().filter(|record| record.offset >= from);
        let records: Vec<_> = wanted.take(READ_LIMIT_COUNT).cloned().collect();
        let bytes = records.iter().map(|record| record.bytes.len() as u64 + 16);
        self.read_bytes += bytes.sum::<u64>();
        LogInput::Read {
            read,
            stream: String::from(stream),
            records,
            oldest_offset,
            next_offset,
            era: Some(self.era),
        }
    }
}
