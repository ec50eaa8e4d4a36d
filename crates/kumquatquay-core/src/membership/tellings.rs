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
const AGAIN: Duration = Duration::from_secs(30);

/// Quarantine records whose telling is remembered; one that is forgotten is told
/// again, which is harmless.
const LIMIT_COUNT: usize = 1_024;

/// How often rumours of other concerns were told to one kind of receivers.
#[derive(Debug, Default)]
pub(crate) struct Tellings {
    quarantine: BTreeMap<(ServiceName, Fingerprint), Telling>,
    version: Option<ConfigurationVersion>,
    version_rounds_count: u32,
}

/// How far one quarantine record is told.
#[derive(Debug)]
struct Telling {
    crashes: Vec<Crash>,
    rounds_count: u32,
    last: Duration,
}

impl Tellings {
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
        let telling = self.quarantine.entry(key).or_insert(Telling {
            crashes: record.crashes.clone(),
            rounds_count: 0,
            last: now,
        });
        if telling.crashes != record.crashes || now >= telling.last + AGAIN {
            telling.crashes.clone_from(&record.crashes);
            telling.rounds_count = 0;
        }
        if telling.rounds_count >= ROUNDS_COUNT {
            return false;
        }
        telling.rounds_count += 1;
        telling.last = now;
        true
    }
}
