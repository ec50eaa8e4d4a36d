//! What this node knows against the requests with one fingerprint.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kumquatquay_wire::{Crash, CrashId, Evidence, Fingerprint, QuarantineRecord};

/// How long a crash counts. Servers may crash many minutes apart; a success clears a suspect long before.
pub(crate) const CRASH_DURATION: Duration = Duration::from_secs(60 * 60);

/// Runs that have to end well since a crash that named the isolated run of a request which ran well before,
/// until that crash is cleared. A request that crashes servers in some of its runs ends others well.
const ANSWERS_TO_CLEAR_COUNT: u32 = 10;

/// How long the suspects of a crash stay before those of later ones.
const RECENT_TIME: Duration = Duration::from_secs(60);

/// Crashes without room in a record that are remembered.
const DROPPED_LIMIT_COUNT: usize = 64;

/// By how much a received record must outlast the local one to extend it.
///
/// `remaining_ms` doesn't count the transit time of the datagram, so a receiver computes a
/// slightly later expiry. Without this threshold two nodes would extend each other's records for
/// ever, a little with each exchange.
const MIN_EXTENSION: Duration = Duration::from_secs(2);

/// Crashes that are attributed to one fingerprint, until they expire.
#[derive(Clone, Debug)]
pub(crate) struct QuarantineEntry {
    /// The record; its `remaining_ms` stays 0.
    record: QuarantineRecord,
    /// When this node learnt of each crash, on the monotonic clock.
    known_since: BTreeMap<CrashId, Duration>,
    /// Crashes that had no room in the record, the last ones. Other nodes still send them, also as not cleared.
    dropped: VecDeque<CrashId>,
    /// Runs that ended well here and began after the last crash was known.
    answers_count: u32,
    /// When the record expires, on the monotonic clock.
    expires: Duration,
}

impl QuarantineEntry {
    pub(crate) fn new(fingerprint: Fingerprint) -> Self {
        Self {
            record: QuarantineRecord {
                fingerprint,
                ..QuarantineRecord::default()
            },
            known_since: BTreeMap::new(),
            dropped: VecDeque::new(),
            answers_count: 0,
            expires: Duration::ZERO,
        }
    }

    pub(crate) fn is_expired(&self, now: Duration) -> bool {
        self.expires <= now
    }

    /// Evidence that counts at a service.
    pub(crate) fn evidence_at(&self, now: Duration, service: &str) -> Evidence {
        if self.is_expired(now) {
            return Evidence::default();
        }
        self.record.evidence_at(service)
    }

    /// Evidence that counts at a service at which it hasn't run.
    pub(crate) fn evidence(&self, now: Duration) -> Evidence {
        if self.is_expired(now) {
            return Evidence::default();
        }
        self.record.evidence()
    }

    pub(crate) fn fingerprint(&self) -> Fingerprint {
        self.record.fingerprint
    }

    /// Crashes, also those that don't count any more.
    pub(crate) fn crashes(&self) -> &[Crash] {
        &self.record.crashes
    }

    /// Services at which it ran since it was suspected.
    pub(crate) fn ran_at(&self) -> &[String] {
        &self.record.ran_at
    }

    /// Priority for gossip: quarantined fingerprints first, then by how likely they caused the crashes.
    pub(crate) fn priority(&self) -> (bool, usize, u32) {
        let evidence = self.record.evidence();
        (
            evidence.is_quarantined(),
            evidence.crashes_count,
            evidence.score_milli,
        )
    }

    /// Priority against eviction: quarantined fingerprints first, then those of the last crashes.
    ///
    /// A request that crashes servers among hundreds in flight has a low score at each, and most of the others
    /// never come again.
    pub(crate) fn retention_priority(&self, now: Duration) -> (bool, bool, usize, Duration) {
        let evidence = self.record.evidence();
        let is_recent = now < self.last_crash_known_at() + RECENT_TIME;
        let crashes_count = evidence.crashes_count;
        (
            evidence.is_quarantined(),
            is_recent,
            crashes_count,
            self.expires,
        )
    }

    /// When this node last learnt of a crash, on the monotonic clock.
    pub(crate) fn last_crash_known_at(&self) -> Duration {
        self.known_since.values().copied().max().unwrap_or_default()
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
        self.merge_crash(now, crash);
        self.expires = self.expires.max(now + CRASH_DURATION);
    }

    /// Merges the record of another node.
    pub(crate) fn merge(&mut self, now: Duration, other: &QuarantineRecord) {
        let crashes = other.crashes.iter();
        for crash in crashes.take(QuarantineRecord::CRASHES_LIMIT_COUNT) {
            self.merge_crash(now, crash.clone());
        }
        let ran_at = other.ran_at.iter();
        for service in ran_at.take(QuarantineRecord::RAN_AT_LIMIT_COUNT) {
            self.add_ran_at(service);
        }
        let remaining = Duration::from_millis(u64::from(other.remaining_ms));
        let expires = now + remaining.min(CRASH_DURATION);
        if expires > self.expires + MIN_EXTENSION {
            self.expires = expires;
        }
    }

    fn merge_crash(&mut self, now: Duration, crash: Crash) {
        if self.dropped.contains(&crash.id) {
            return;
        }
        let crashes = &mut self.record.crashes;
        match crashes.binary_search_by_key(&crash.id, |known| known.id) {
            Ok(index) => crashes[index].is_cleared |= crash.is_cleared,
            Err(index) => {
                self.known_since.insert(crash.id, now);
                self.answers_count = 0;
                crashes.insert(index, crash);
            }
        }
        if crashes.len() > QuarantineRecord::CRASHES_LIMIT_COUNT {
            self.drop_least_crash();
        }
    }

    /// Drops one of the crashes: one that is cleared if there is any, with the lowest score.
    fn drop_least_crash(&mut self) {
        let crashes = &mut self.record.crashes;
        let indexes = 0..crashes.len();
        let least = indexes.min_by_key(|index| {
            let crash = &crashes[*index];
            (!crash.is_cleared, crash.score_milli)
        });
        let Some(least) = least else {
            return;
        };
        let id = crashes.remove(least).id;
        self.known_since.remove(&id);
        self.dropped.push_back(id);
        if self.dropped.len() > DROPPED_LIMIT_COUNT {
            self.dropped.pop_front();
        }
    }

    /// Whether that is new.
    fn add_ran_at(&mut self, service: &str) -> bool {
        let ran_at = &mut self.record.ran_at;
        let is_full = ran_at.len() >= QuarantineRecord::RAN_AT_LIMIT_COUNT;
        match ran_at.binary_search_by(|known| known.as_str().cmp(service)) {
            Err(index) if !is_full => {
                ran_at.insert(index, String::from(service));
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Clears the crashes at a service that were known when a run there started which went well; whether
    /// that changes anything.
    ///
    /// Those at other services go on to count elsewhere: a new version of a service may crash under what the
    /// old one runs well.
    pub(crate) fn clear_at(&mut self, service: &str, started: Duration) -> bool {
        let mut has_changed = false;
        let mut counts_elsewhere = false;
        if self.last_crash_known_at() <= started {
            self.answers_count += 1;
        }
        let answers_count = self.answers_count;
        let is_outweighed = |score_milli| {
            score_milli != Evidence::RAN_WELL_SCORE_MILLI || answers_count >= ANSWERS_TO_CLEAR_COUNT
        };
        let known_since = &self.known_since;
        let was_known = |id: CrashId| known_since.get(&id).is_none_or(|since| *since <= started);
        let crashes = self.record.crashes.iter_mut();
        for crash in crashes.filter(|crash| !crash.is_cleared && was_known(crash.id)) {
            if crash.service == service {
                crash.is_cleared = is_outweighed(crash.score_milli);
                has_changed |= crash.is_cleared;
            } else {
                counts_elsewhere = true;
            }
        }
        has_changed | (counts_elsewhere && self.add_ran_at(service))
    }

    /// Records that it ran well at a service, if crashes elsewhere count; whether that is new.
    pub(crate) fn add_ran_well_at(&mut self, service: &str) -> bool {
        let is_elsewhere = |crash: &Crash| crash.service != service;
        let counts_elsewhere = self.record.counting_crashes().any(is_elsewhere);
        counts_elsewhere && self.add_ran_at(service)
    }

    /// Clears all crashes known so far: they no longer count.
    pub(crate) fn clear(&mut self) {
        for crash in &mut self.record.crashes {
            crash.is_cleared = true;
        }
    }
}
