//! Requests that crash what runs them: what is known.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use kumquatquay_wire::{Fingerprint, ServiceName};

use super::{
    broken_calls::BrokenCalls, in_flight_request::InFlightRequest,
    quarantine_entry::QuarantineEntry,
};
use crate::WorkId;

/// Fingerprints that one node keeps records of.
const ENTRIES_LIMIT_COUNT: usize = 1_024;

/// Requests that crash what runs them.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuarantineTable {
    records: BTreeMap<(ServiceName, Fingerprint), QuarantineEntry>,
    /// Suspects that the backend server of this host runs.
    pub(crate) running_suspects: BTreeMap<WorkId, Fingerprint>,
    /// Work whose connection broke lately, on the monotonic clock.
    pub(crate) broken_work: VecDeque<(Duration, InFlightRequest)>,
    /// Work that was in flight at a death that is known. It ends later, and must
    /// not be counted at the next death, nor at a second notice of the same one:
    /// every bystander would be quarantined.
    pub(crate) counted_work: BTreeSet<WorkId>,
    /// Calls of this node that broke lately.
    pub(crate) broken_calls: BrokenCalls,
    /// Service of this host, also after its backend server is gone.
    pub(crate) service: Option<ServiceName>,
    /// Deaths of the backend server in this life of the node.
    pub(crate) deaths_count: u32,
    /// When lapsed records were last dropped, on the monotonic clock.
    pub(crate) last_sweep: Duration,
}

impl QuarantineTable {
    pub(crate) fn get(&self, service: &str, fingerprint: Fingerprint) -> Option<&QuarantineEntry> {
        if self.records.is_empty() {
            return None;
        }
        self.records.get(&(String::from(service), fingerprint))
    }

    /// The record to change; a new one if none is known.
    ///
    /// Without room the one that weighs least is dropped, of several the one
    /// that lapses first: bystanders go before requests that are to blame.
    pub(crate) fn get_mut(
        &mut self,
        service: &ServiceName,
        fingerprint: Fingerprint,
    ) -> &mut QuarantineEntry {
        let key = (service.clone(), fingerprint);
        if self.records.len() >= ENTRIES_LIMIT_COUNT && !self.records.contains_key(&key) {
            self.evict_lowest_priority();
        }
        let new = || QuarantineEntry::new(service.clone(), fingerprint);
        self.records.entry(key).or_insert_with(new)
    }

    fn evict_lowest_priority(&mut self) {
        let weighed = self.records.iter();
        let least = weighed.min_by_key(|(_, record)| (record.priority(), record.expires()));
        if let Some(key) = least.map(|(key, _)| key.clone()) {
            self.records.remove(&key);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &QuarantineEntry> {
        self.records.values()
    }

    /// Drops what has lapsed.
    pub(crate) fn sweep(&mut self, now: Duration) {
        self.records.retain(|_, record| !record.is_expired(now));
        self.broken_calls.sweep(now);
    }
}
