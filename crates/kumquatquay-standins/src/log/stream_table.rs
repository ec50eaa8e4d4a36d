//! The streams of the log, in memory.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, SystemTime},
};

use bytes::Bytes;

/// A record as the log keeps it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its place in the stream.
    pub offset: u64,
    /// When it was appended.
    pub appended: SystemTime,
    /// Its bytes.
    pub bytes: Bytes,
}

/// What a read finds.
#[derive(Clone, Debug)]
pub(crate) struct Page {
    pub(crate) era: u64,
    pub(crate) oldest_offset: u64,
    pub(crate) next_offset: u64,
    pub(crate) records: Vec<StoredRecord>,
}

#[derive(Clone, Debug, Default)]
struct Stream {
    records: VecDeque<StoredRecord>,
    next_offset: u64,
}

/// All streams of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamTable {
    streams: BTreeMap<String, Stream>,
}

impl StreamTable {
    pub(crate) fn append(&mut self, stream: &str, now: SystemTime, bytes: Bytes) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next_offset;
        stream.next_offset += 1;
        stream.records.push_back(StoredRecord {
            offset,
            appended: now,
            bytes,
        });
        offset
    }

    pub(crate) fn read(&self, stream: &str, from: u64, limit_count: usize) -> Page {
        let Some(stream) = self.streams.get(stream) else {
            return Page {
                era: 0,
                oldest_offset: 0,
                next_offset: 0,
                records: Vec::new(),
            };
        };
        let later = stream.records.iter().filter(|record| record.offset >= from);
        Page {
            era: 0,
            oldest_offset: stream.oldest_offset(),
            next_offset: stream.next_offset,
            records: later.take(limit_count).cloned().collect(),
        }
    }

    /// Forgets records older than the retention; their offsets stay used.
    pub(crate) fn expire(&mut self, now: SystemTime, retention: Duration) {
        for stream in self.streams.values_mut() {
            stream.expire(now, retention);
        }
    }
}

impl Stream {
    fn oldest_offset(&self) -> u64 {
        self.records
            .front()
            .map_or(self.next_offset, |record| record.offset)
    }

    fn expire(&mut self, now: SystemTime, retention: Duration) {
        let is_old = |record: &StoredRecord| {
            now.duration_since(record.appended)
                .is_ok_and(|age| age > retention)
        };
        while self.records.front().is_some_and(is_old) {
            self.records.pop_front();
        }
    }
}
