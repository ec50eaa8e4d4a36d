//! What a node has read of one claim stream.

use std::collections::BTreeMap;

use kumquatquay_wire::{LogOffset, MeshKey};

use super::{
    claim::{Claim, ClaimEvent, ClaimId, LoggedEvent, decode_batch},
    digest::KeyDigest,
    idempotency_key::{CLAIM_WINDOW, CLOCK_SKEW_LIMIT, check_window},
};
use crate::LogRecord;

/// How much time of the log passes between two sweeps of old events.
const TRIM_INTERVAL_MS: u64 = 60_000;

/// A contiguous part of one claim stream, up to its newest record.
#[derive(Clone, Debug)]
pub(crate) struct ClaimView {
    /// The offset to read on from.
    pub(crate) next_offset: LogOffset,
    /// Every record that the log took since this time is in the view.
    pub(crate) covers_since_unix_ms: u64,
    /// When the log took the newest record seen.
    newest_unix_ms: u64,
    events: BTreeMap<KeyDigest, Vec<LoggedEvent>>,
    events_count: usize,
}

/// Who may run the operation of a key, as far as a view shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Holder {
    /// No valid claim, or the last holder released it.
    Nobody,
    /// This claim was the first.
    Claim(Claim),
}

impl ClaimView {
    /// A view of nothing that starts at an offset.
    pub(crate) fn new(next_offset: LogOffset, covers_since_unix_ms: u64) -> Self {
        Self {
            next_offset,
            covers_since_unix_ms,
            newest_unix_ms: 0,
            events: BTreeMap::new(),
            events_count: 0,
        }
    }

    /// Events that are kept.
    pub(crate) fn events_count(&self) -> usize {
        self.events_count
    }

    /// Takes in records that follow those seen so far.
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

    /// Drops events that are too old to matter for any key that can still be
    /// claimed: the newest record shows that their window has passed.
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

    /// The first place of an event.
    pub(crate) fn find(&self, event: &ClaimEvent) -> Option<&LoggedEvent> {
        let events = self.events.get(&event.key())?;
        events.iter().find(|logged| logged.event == *event)
    }

    /// Who may run the operation of a key.
    ///
    /// The first valid claim by offset holds it until its own release. The
    /// copies of a claim that was released count no more, wherever they are:
    /// an append whose answer was lost may land after the release, and its
    /// claimant will never run the operation.
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
