//! Transmissions of rumours that are not about members.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::{
    ConfigurationVersion, Crash, Fingerprint, QuarantineRecord, Rumour, ServiceName,
};
use rand::seq::SliceRandom;

use crate::{Blackboard, Moment, configuration, overload, quarantine};

/// Rounds in which a change is sent.
const ROUNDS_COUNT: u32 = 10;

/// How long after its last transmission an unchanged quarantine record is sent again, for
/// members that have joined since.
const RETRANSMIT_INTERVAL: Duration = Duration::from_secs(30);

/// Quarantine records whose transmissions are counted. At the limit all counts are cleared, and
/// the records are sent again, which is harmless.
const LIMIT_COUNT: usize = 1_024;

/// Transmissions of rumours that are not about members.
///
/// There is one instance for the own data centre and one for the others.
#[derive(Debug, Default)]
pub(crate) struct TransmitCounts {
    quarantine: BTreeMap<Fingerprint, RecordTransmits>,
    version: Option<ConfigurationVersion>,
    version_rounds_count: u32,
}

/// Transmissions of one quarantine record.
#[derive(Debug)]
struct RecordTransmits {
    crashes: Vec<Crash>,
    ran_at: Vec<ServiceName>,
    rounds_count: u32,
    last: Duration,
}

impl TransmitCounts {
    /// Rumours that are due in this round.
    ///
    /// These are a new configuration version, changed quarantine records, and then all levels.
    /// Levels are in random order, so that those that don't fit are sent in another round.
    pub(super) fn due(&mut self, board: &mut Blackboard, now: Moment) -> Vec<Rumour> {
        let mut rumours = Vec::new();
        if let Some(version) = configuration::version_to_gossip(board)
            && self.is_version_due(version)
        {
            rumours.push(Rumour::Configuration(version));
        }
        let mut records = quarantine::records_to_gossip(board, now);
        records.retain(|record| self.is_record_due(now.monotonic, record));
        shuffle_weak(&mut records, board);
        rumours.extend(records.into_iter().map(Rumour::Quarantine));
        let mut levels = overload::levels_to_gossip(board, now);
        levels.shuffle(&mut board.random);
        rumours.extend(levels.into_iter().map(Rumour::Level));
        rumours
    }

    fn is_version_due(&mut self, version: ConfigurationVersion) -> bool {
        if self.version != Some(version) {
            self.version = Some(version);
            self.version_rounds_count = 0;
        }
        self.version_rounds_count += 1;
        self.version_rounds_count <= ROUNDS_COUNT
    }

    fn is_record_due(&mut self, now: Duration, record: &QuarantineRecord) -> bool {
        if self.quarantine.len() >= LIMIT_COUNT {
            self.quarantine.clear();
        }
        let new = || RecordTransmits {
            crashes: record.crashes.clone(),
            ran_at: record.ran_at.clone(),
            rounds_count: 0,
            last: now,
        };
        let transmits = self.quarantine.entry(record.fingerprint);
        let transmits = transmits.or_insert_with(new);
        let has_changed = transmits.crashes != record.crashes || transmits.ran_at != record.ran_at;
        if has_changed || now >= transmits.last + RETRANSMIT_INTERVAL {
            transmits.crashes.clone_from(&record.crashes);
            transmits.ran_at.clone_from(&record.ran_at);
            transmits.rounds_count = 0;
        }
        if transmits.rounds_count >= ROUNDS_COUNT {
            return false;
        }
        transmits.rounds_count += 1;
        transmits.last = now;
        true
    }
}

/// Orders records with weak evidence at random, behind those with strong evidence.
///
/// A crash with many requests in flight leaves more records than fit into a datagram. In a fixed order
/// the last of them, among them those that were cleared, would not be sent in any round.
fn shuffle_weak(records: &mut [QuarantineRecord], board: &mut Blackboard) {
    let is_strong = |record: &QuarantineRecord| record.evidence().is_strong();
    records.sort_by_key(|record| !is_strong(record));
    let strong_count = records.partition_point(is_strong);
    records[strong_count..].shuffle(&mut board.random);
}
