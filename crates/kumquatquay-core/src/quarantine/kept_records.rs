//! Which records the platform's store keeps, and which are to be written.

use std::collections::BTreeMap;

use kumquatquay_wire::{Crash, Fingerprint, QuarantineRecord};

/// A record that should outlast a restart of all nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordToKeep {
    /// The record.
    pub record: QuarantineRecord,
    /// Whether the backend server of this host crashed under the request.
    pub is_own: bool,
}

/// What to do at the store next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeepStep {
    /// Write a record, in place of the one kept before.
    Write(RecordToKeep),
    /// Remove the record of a fingerprint.
    Remove(Fingerprint),
}

/// Records of one service that the platform's store keeps, as far as this node knows.
///
/// The nodes of a service may all be killed at once, and what they know goes with them.
#[derive(Clone, Debug, Default)]
pub struct KeptRecords {
    kept: BTreeMap<Fingerprint, Vec<Crash>>,
}

impl KeptRecords {
    /// The store keeps this record: it was read or written.
    pub fn on_kept(&mut self, record: &QuarantineRecord) {
        self.kept.insert(record.fingerprint, record.crashes.clone());
    }

    /// The store keeps no record of a fingerprint any more.
    pub fn on_removed(&mut self, fingerprint: Fingerprint) {
        self.kept.remove(&fingerprint);
    }

    /// The store was restored from a backup, and may lack any record.
    pub fn on_store_restored(&mut self) {
        self.kept.clear();
    }

    /// The next step that leaves the store with the records that this node has now.
    ///
    /// A record is written by the nodes whose backend servers crashed; the others of the service write
    /// it too once it is quarantined, since those may be gone, or the store did not serve them.
    pub fn next_step(&self, current: &[RecordToKeep]) -> Option<KeepStep> {
        let outdated = current.iter().find(|candidate| self.lacks(candidate));
        if let Some(candidate) = outdated {
            return Some(KeepStep::Write(candidate.clone()));
        }
        let mut kept = self.kept.keys();
        let is_current = |fingerprint: Fingerprint| {
            let mut records = current.iter().map(|candidate| &candidate.record);
            records.any(|record| record.fingerprint == fingerprint && record.crashes_count() > 0)
        };
        let removed = kept.find(|fingerprint| !is_current(**fingerprint));
        removed.copied().map(KeepStep::Remove)
    }

    fn lacks(&self, candidate: &RecordToKeep) -> bool {
        let record = &candidate.record;
        let is_writer = candidate.is_own || record.is_quarantined();
        let is_kept = self.kept.get(&record.fingerprint) == Some(&record.crashes);
        record.crashes_count() > 0 && is_writer && !is_kept
    }
}
