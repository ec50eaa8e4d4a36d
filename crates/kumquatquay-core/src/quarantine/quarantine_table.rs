//! State of the quarantine at one node.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kumquatquay_wire::{CrashId, Evidence, Fingerprint, ServiceName};

use super::{
    broken_calls::BrokenCalls, crash_sync::CrashSync, in_flight_request::InFlightRequest,
    notices::PeerGates, quarantine_entry::QuarantineEntry, recent_runs::RecentRuns,
};
use crate::WorkId;

/// Most fingerprints with an entry at one node.
const ENTRIES_LIMIT_COUNT: usize = 1_024;

/// Entries that are evicted from a full table at once.
const EVICTED_COUNT: usize = 32;

/// Requests that are suspected of crashing backend servers, and what led to the suspicion.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineTable {
    entries: BTreeMap<Fingerprint, QuarantineEntry>,
    /// Runs of calls on routes that are in flight at the backend server of this host.
    pub(crate) running: BTreeMap<WorkId, InFlightRequest>,
    /// Fingerprints that ran to an answer there lately.
    pub(crate) recent_runs: RecentRuns,
    /// Other gates of the service of this host.
    pub(super) peer_gates: PeerGates,
    /// Suspects that the backend server of this host is running.
    pub(crate) running_suspects: BTreeMap<WorkId, Fingerprint>,
    /// When a run of a call last ended with an answer, on the monotonic clock.
    pub(crate) last_answer_at: Duration,
    /// Work whose connection broke recently, with the time on the monotonic clock.
    pub(crate) broken_work: VecDeque<(Duration, InFlightRequest)>,
    /// What was in flight when the backend server stopped to answer. It is suspected if another life
    /// reports: what is sent meanwhile breaks as well, and never reaches a backend server.
    pub(crate) in_flight_at_silence: Option<Vec<InFlightRequest>>,
    /// Work in flight at a death that has been counted. It ends only later; counting it again
    /// at the next death, or at a second report of the same one, would quarantine unrelated
    /// requests.
    pub(crate) counted_work: BTreeSet<WorkId>,
    /// Recent calls of this node whose connection broke.
    pub(crate) broken_calls: BrokenCalls,
    /// Service of this host; kept when its backend server is gone.
    pub(crate) service: Option<ServiceName>,
    /// Other services to which the routes of this host's service are split.
    pub(crate) sibling_services: Vec<ServiceName>,
    /// What is known of the crashes before the start of this node.
    pub(crate) crash_sync: CrashSync,
    /// Crashes that this node detected.
    pub(crate) own_crashes: BTreeSet<CrashId>,
    /// Deaths of the backend server since the node's start, with requests in flight.
    pub(crate) deaths_count: u32,
    /// When expired entries were last removed, on the monotonic clock.
    pub(crate) last_sweep: Duration,
}

impl QuarantineTable {
    pub(crate) fn get(&self, fingerprint: Fingerprint) -> Option<&QuarantineEntry> {
        self.entries.get(&fingerprint)
    }

    /// Evidence against a fingerprint that counts at a service.
    pub(crate) fn evidence_at(
        &self,
        now: Duration,
        service: &str,
        fingerprint: Fingerprint,
    ) -> Evidence {
        let entry = self.get(fingerprint);
        entry.map_or_else(Evidence::default, |entry| entry.evidence_at(now, service))
    }

    /// The entry of a fingerprint; a new one if there is none.
    ///
    /// If the table is full, entries of the lowest [`QuarantineEntry::retention_priority`] are evicted.
    pub(crate) fn get_or_insert(
        &mut self,
        now: Duration,
        fingerprint: Fingerprint,
    ) -> &mut QuarantineEntry {
        if self.entries.len() >= ENTRIES_LIMIT_COUNT && !self.entries.contains_key(&fingerprint) {
            self.evict_lowest_priority(now);
        }
        let new = || QuarantineEntry::new(fingerprint);
        self.entries.entry(fingerprint).or_insert_with(new)
    }

    /// Evicts several at once: a crash may bring hundreds of new ones.
    fn evict_lowest_priority(&mut self, now: Duration) {
        let entries = self.entries.iter();
        let mut keys: Vec<_> = entries
            .map(|(key, entry)| (entry.retention_priority(now), *key))
            .collect();
        keys.sort_unstable();
        for (_, key) in keys.into_iter().take(EVICTED_COUNT) {
            self.entries.remove(&key);
        }
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.entries.values()
    }

    pub(crate) fn remove_expired(&mut self, now: Duration) {
        self.entries.retain(|_, entry| !entry.is_expired(now));
        let known = self.entries.values().flat_map(QuarantineEntry::crashes);
        let known: BTreeSet<CrashId> = known.map(|crash| crash.id).collect();
        self.own_crashes.retain(|id| known.contains(id));
        self.broken_calls.remove_expired(now);
    }
}
