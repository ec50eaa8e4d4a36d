//! View of one claim stream: the events that a node has read.

use std::collections::BTreeMap;

use kumquatquay_wire::{LogOffset, MeshKey};

use super::{
    claim::{Claim, ClaimEvent, ClaimId, LoggedEvent, decode_batch},
    digest::KeyDigest,
    idempotency_key::{CLAIM_WINDOW, CLOCK_SKEW_LIMIT, check_window},
};
use crate::LogRecord;

/// Log time between two removals of old events.
const TRIM_INTERVAL_MS: u64 = 60_000;

/// A contiguous part of one claim stream, up to its newest record.
#[derive(Clone, Debug)]
pub(crate) struct ClaimView {
    /// Offset of the next record to read.
    pub(crate) next_offset: LogOffset,
    /// The view contains every record that the log appended since this time and that was read.
    pub(crate) covers_since_unix_ms: u64,
    /// Append time of the newest record in the view.
    newest_unix_ms: u64,
    events: BTreeMap<KeyDigest, Vec<LoggedEvent>>,
    events_count: usize,
}

/// The claim whose claimant may run the operation of a key, by what a view contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holder {
    /// There is no valid claim that hasn't been released.
    Nobody,
    /// The first valid claim that hasn't been released.
    Claim(Claim),
}

impl ClaimView {
    /// Returns an empty view that starts at an offset.
    pub(crate) fn new(next_offset: LogOffset, covers_since_unix_ms: u64) -> Self {
        Self {
            next_offset,
            covers_since_unix_ms,
            newest_unix_ms: 0,
            events: BTreeMap::new(),
            events_count: 0,
        }
    }

    /// Number of events in the view.
    pub(crate) fn events_count(&self) -> usize {
        self.events_count
    }

    /// Adds the records that follow those in the view; skips records below `next_offset`.
    pub(crate) fn extend(&mut self, key: &MeshKey, records: &[LogRecord]) {
        for record in records {
            if record.offset < self.next_offset {
                continue;
            }
            self.next_offset = record.offset + 1;
            self.newest_unix_ms = self.newest_unix_ms.max(record.appended_unix_ms);
            let Ok(batch) = decode_batch(key, &record.bytes) else {
                continue;
            };
            for event in batch {
                self.push(LoggedEvent {
                    appended_unix_ms: record.appended_unix_ms,
                    event,
                });
            }
        }
        self.trim();
    }

    fn push(&mut self, logged: LoggedEvent) {
        let events = self.events.entry(logged.event.key()).or_default();
        events.push(logged);
        self.events_count += 1;
    }

    /// Removes the events of keys that can no longer be claimed: by the time of the newest record
    /// their window has passed.
    fn trim(&mut self) {
        let window = CLAIM_WINDOW + 2 * CLOCK_SKEW_LIMIT;
        let bound = self
            .newest_unix_ms
            .saturating_sub(window.as_millis() as u64);
        if bound <= self.covers_since_unix_ms + TRIM_INTERVAL_MS {
            return;
        }
        let is_old = |events: &[LoggedEvent]| {
            events
                .last()
                .is_none_or(|last| last.appended_unix_ms < bound)
        };
        self.events.retain(|_, events| !is_old(events));
        self.events_count = self.events.values().map(Vec::len).sum();
        self.covers_since_unix_ms = bound;
    }

    /// Returns the first copy of an event in the stream.
    pub(crate) fn find(&self, event: &ClaimEvent) -> Option<&LoggedEvent> {
        let events = self.events.get(&event.key())?;
        events.iter().find(|logged| logged.event == *event)
    }

    /// Returns the holder of a key.
    ///
    /// The first valid claim by offset holds the key until its own release. Copies of a claim
    /// that follow its release are ignored: an append whose answer was lost may arrive after the
    /// release, and its claimant will never run the operation.
    pub(crate) fn holder(&self, key: &KeyDigest) -> Holder {
        let mut holder = Holder::Nobody;
        let mut released: Vec<ClaimId> = Vec::new();
        for logged in self.events.get(key).map_or(&[][..], Vec::as_slice) {
            match logged.event {
                ClaimEvent::Claim(claim) => {
                    let is_valid = check_window(claim.key_unix_ms, logged.appended_unix_ms).is_ok();
                    let is_free = holder == Holder::Nobody;
                    if is_free && is_valid && !released.contains(&claim.id) {
                        holder = Holder::Claim(claim);
                    }
                }
                ClaimEvent::Release { id, .. } => {
                    released.push(id);
                    if matches!(holder, Holder::Claim(claim) if claim.id == id) {
                        holder = Holder::Nobody;
                    }
                }
            }
        }
        holder
    }
}
