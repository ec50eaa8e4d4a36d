//! Crashes that are attributed to one fingerprint at one service.

use std::time::Duration;

use kumquatquay_wire::{Crash, Fingerprint, QuarantineRecord, ServiceName};

/// How long a suspicion lasts after its latest crash.
///
/// Servers may crash many minutes apart; a success clears a suspect long before.
pub(crate) const SUSPICION_DURATION: Duration = Duration::from_secs(60 * 60);

/// How long a quarantine lasts after its latest crash.
pub(crate) const QUARANTINE_DURATION: Duration = Duration::from_secs(60 * 60);

/// By how much a received record must outlast the local one to extend it.
///
/// `remaining_ms` doesn't count the transit time of the datagram, so a receiver computes a
/// slightly later expiry. Without this threshold two nodes would extend each other's records for
/// ever, a little with each exchange.
const MIN_EXTENSION: Duration = Duration::from_secs(2);

/// Crashes that are attributed to one fingerprint at one service, until they expire.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineEntry {
    /// The record; its `remaining_ms` stays 0.
    record: QuarantineRecord,
    /// When the record expires, on the monotonic clock.
    expires: Duration,
    has_own_crash: bool,
}

impl QuarantineEntry {
    pub(crate) fn new(service: ServiceName, fingerprint: Fingerprint) -> Self {
        Self {
            record: QuarantineRecord {
                service,
                fingerprint,
                crashes: Vec::new(),
                remaining_ms: 0,
            },
            expires: Duration::ZERO,
            has_own_crash: false,
        }
    }

    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        self.expires <= now
    }

    pub(crate) fn is_suspect(&self, now: Duration) -> bool {
        !self.is_expired(now) && self.record.is_suspect()
    }

    /// Whether it is a suspect with strong evidence against it.
    pub(crate) fn is_isolated(&self, now: Duration) -> bool {
        !self.is_expired(now) && self.record.is_isolated()
    }

    /// Whether its requests run one at a time or are refused.
    pub(crate) fn has_strong_evidence(&self, now: Duration) -> bool {
        !self.is_expired(now) && self.record.has_strong_evidence()
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.record.fingerprint
    }

    pub(crate) fn is_of(&self, service: &str) -> bool {
        self.record.service == service
    }

    /// Whether it should outlast a restart of all nodes: not after one crash, which proves little and
    /// costs one backend server more if it is forgotten.
    pub(crate) fn is_worth_keeping(&self, now: Duration) -> bool {
        !self.is_expired(now) && self.crashes_count() >= QuarantineRecord::CLEAR_CRASHES_COUNT
    }

    /// Whether this node detected one of the crashes.
    pub(crate) fn has_own_crash(&self) -> bool {
        self.has_own_crash
    }

    pub(crate) fn is_quarantined(&self, now: Duration) -> bool {
        !self.is_expired(now) && self.record.is_quarantined()
    }

    /// Whether it has not expired and has a crash that is not cleared.
    pub(crate) fn is_active(&self, now: Duration) -> bool {
        !self.is_expired(now) && self.record.crashes_count() > 0
    }

    pub(crate) fn crashes_count(&self) -> usize {
        self.record.crashes_count()
    }

    /// Priority for gossip and against eviction: quarantined fingerprints first, then by how
    /// likely they caused the crashes.
    pub(crate) fn priority(&self) -> (bool, u32) {
        (self.record.is_quarantined(), self.record.score_milli())
    }

    pub(crate) fn expires(&self) -> Duration {
        self.expires
    }

    /// Time until it expires.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.expires.saturating_sub(now)
    }

    /// The record as it is sent to other nodes, with the time until it expires.
    pub(crate) fn record(&self, now: Duration) -> QuarantineRecord {
        QuarantineRecord {
            remaining_ms: self.remaining(now).as_millis() as u32,
            ..self.record.clone()
        }
    }

    /// Adds a crash that this node detected.
    pub(crate) fn add_crash(&mut self, now: Duration, crash: Crash) {
        self.merge_crash(crash);
        self.has_own_crash = true;
        self.expires = self.expires.max(now + self.duration());
    }

    fn duration(&self) -> Duration {
        if self.record.is_quarantined() {
            QUARANTINE_DURATION
        } else {
            SUSPICION_DURATION
        }
    }

    /// Merges the record of another node.
    ///
    /// If this quarantines the fingerprint, the entry expires [`QUARANTINE_DURATION`] from now.
    pub(crate) fn merge(&mut self, now: Duration, other: &QuarantineRecord) {
        let was_quarantined = self.record.is_quarantined();
        for crash in other
            .crashes
            .iter()
            .take(QuarantineRecord::CRASHES_LIMIT_COUNT)
        {
            self.merge_crash(*crash);
        }
        let remaining = Duration::from_millis(u64::from(other.remaining_ms));
        let expires = now + remaining.min(QUARANTINE_DURATION);
        if expires > self.expires + MIN_EXTENSION {
            self.expires = expires;
        }
        if !was_quarantined && self.record.is_quarantined() {
            self.expires = now + QUARANTINE_DURATION;
        }
    }

    fn merge_crash(&mut self, crash: Crash) {
        let crashes = &mut self.record.crashes;
        match crashes.binary_search_by_key(&crash.id, |known| known.id) {
            Ok(index) => crashes[index].is_cleared |= crash.is_cleared,
            Err(index) => crashes.insert(index, crash),
        }
        if crashes.len() > QuarantineRecord::CRASHES_LIMIT_COUNT {
            let cleared = crashes.iter().position(|known| known.is_cleared);
            crashes.remove(cleared.unwrap_or_default());
        }
    }

    /// Clears all crashes known so far: they no longer count.
    pub(crate) fn clear(&mut self) {
        for crash in &mut self.record.crashes {
            crash.is_cleared = true;
        }
    }
}
