//! How often rumours of other concerns were told.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::{
    ConfigurationVersion, Crash, Fingerprint, QuarantineRecord, Rumour, ServiceName,
};
use rand::seq::SliceRandom;

use crate::{Blackboard, Moment, configuration, overload, quarantine};

/// Rounds in which a change is told.
const ROUNDS_COUNT: u32 = 10;

/// How often an unchanged quarantine record is told again, for members that
/// joined since.
const RETRANSMIT_INTERVAL: Duration = Duration::from_secs(30);

/// Quarantine records whose telling is remembered; one that is forgotten is told
/// again, which is harmless.
const LIMIT_COUNT: usize = 1_024;

/// How often rumours of other concerns were told to one kind of receivers.
#[derive(Debug, Default)]
pub(crate) struct TransmitCounts {
    quarantine: BTreeMap<(ServiceName, Fingerprint), RecordTransmits>,
    version: Option<ConfigurationVersion>,
    version_rounds_count: u32,
}

/// How far one quarantine record is told.
#[derive(Debug)]
struct RecordTransmits {
    crashes: Vec<Crash>,
    rounds_count: u32,
    last: Duration,
}

impl TransmitCounts {
    /// What is due in this round: a new version, changed quarantine records,
    /// then levels in random order, so that those that don't fit have their turn.
    pub(super) fn due(&mut self, board: &mut Blackboard, now: Moment) -> Vec<Rumour> {
        let mut rumours = Vec::new();
        if let Some(version) = configuration::version_to_gossip(board)
            && self.is_version_due(version)
        {
            rumours.push(Rumour::Configuration(version));
        }
        for record in quarantine::records_to_gossip(board, now) {
            if self.is_record_due(now.monotonic, &record) {
                rumours.push(Rumour::Quarantine(record));
            }
        }
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
        let key = (record.service.clone(), record.fingerprint);
        let transmits = self.quarantine.entry(key).or_insert(RecordTransmits {
            crashes: record.crashes.clone(),
            rounds_count: 0,
            last: now,
        });
        if transmits.crashes != record.crashes || now >= transmits.last + RETRANSMIT_INTERVAL {
            transmits.crashes.clone_from(&record.crashes);
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
