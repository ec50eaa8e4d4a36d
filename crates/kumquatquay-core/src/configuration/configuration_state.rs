//! What follows from the configuration stream.

use std::collections::{BTreeMap, VecDeque};

use kumquatquay_wire::{
    AcceptedChange, ChangeId, ConfigurationChange, ConfigurationSnapshot, ConfigurationVersion,
    Intent, IntentChange, IntentEntry, LogOffset, RecordDigest, ServiceName,
};

/// Changes that the state remembers: for repeats, reverts and nodes that lag.
///
/// At 7,800 changes a day these are the last 12 minutes; a node that lags more
/// takes the whole state.
const HISTORY_LIMIT_COUNT: usize = 64;

/// Services that ever had an intent. Removed ones make room first; where there
/// are none, a change that would go beyond loses.
const ENTRIES_LIMIT_COUNT: usize = 1_024;

/// What follows from the records of the configuration stream up to one offset.
///
/// It is a function of these records alone: nodes that have taken in the same
/// stream up to the same offset hold equal states, whether they read it all or
/// began with a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationState {
    through: Option<LogOffset>,
    digest: RecordDigest,
    version: Option<ConfigurationVersion>,
    entries: BTreeMap<ServiceName, IntentEntry>,
    history: VecDeque<AcceptedChange>,
    /// The history holds all changes behind this offset; all if `None`. After an
    /// operator started over, an empty history does not mean that nothing
    /// happened: a node that took it so would think that it had missed nothing.
    history_after: Option<LogOffset>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// Its base was current.
    Accepted,
    /// It had won before, at this version.
    Duplicate(ConfigurationVersion),
    /// Its base was not current, or it can't be applied.
    Rejected,
}

impl ConfigurationState {
    /// The last record taken in.
    pub(crate) fn through(&self) -> Option<LogOffset> {
        self.through
    }

    /// Digest of that record.
    pub(crate) fn digest(&self) -> RecordDigest {
        self.digest
    }

    /// Offset of the last change that won.
    pub(crate) fn version(&self) -> Option<ConfigurationVersion> {
        self.version
    }

    /// The first record not taken in.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.through.map_or(0, |through| through + 1)
    }

    /// The entry of one service.
    pub(crate) fn entry(&self, service: &str) -> Option<&IntentEntry> {
        self.entries.get(service)
    }

    /// The intent of one service.
    pub(crate) fn intent(&self, service: &str) -> Option<&Intent> {
        self.entry(service)?.intent.as_ref()
    }

    /// All entries, also of services whose intent was removed.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &IntentEntry> {
        self.entries.values()
    }

    /// The last changes that won, oldest first.
    pub(crate) fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.iter()
    }

    /// The version at which a change won, while it is remembered.
    pub(crate) fn accepted_version(&self, id: ChangeId) -> Option<ConfigurationVersion> {
        let mut changes = self.history.iter();
        let accepted = changes.find(|accepted| accepted.change.id == id);
        let mut entries = self.entries.values();
        accepted.map(|accepted| accepted.version).or_else(|| {
            let entry = entries.find(|entry| entry.change == id)?;
            Some(entry.version)
        })
    }

    /// The services whose version is not the one that the change was made for.
    pub(crate) fn conflicts<'a>(
        &'a self,
        change: &'a ConfigurationChange,
    ) -> impl Iterator<Item = &'a IntentChange> {
        change.intents.iter().filter(|intent| {
            let entry = self.entries.get(&intent.service);
            entry.map(|entry| entry.version) != intent.base
        })
    }

    /// Takes in a record that changes nothing: unreadable, or a snapshot of
    /// what is known already.
    pub(crate) fn advance_to(&mut self, offset: LogOffset, digest: RecordDigest) {
        self.through = Some(offset);
        self.digest = digest;
    }

    /// Takes in a change.
    pub(crate) fn apply(
        &mut self,
        offset: LogOffset,
        digest: RecordDigest,
        appended_unix_ms: u64,
        change: ConfigurationChange,
    ) -> ChangeOutcome {
        self.advance_to(offset, digest);
        if let Some(version) = self.accepted_version(change.id) {
            return ChangeOutcome::Duplicate(version);
        }
        if !names_distinct_services(&change) || self.conflicts(&change).next().is_some() {
            return ChangeOutcome::Rejected;
        }
        if !self.evict_removed(&change) {
            return ChangeOutcome::Rejected;
        }
        self.accept(offset, appended_unix_ms, change);
        ChangeOutcome::Accepted
    }

    /// Takes in a change that another node saw win. Returns whether it fits.
    pub(crate) fn accept_from_peer(&mut self, accepted: AcceptedChange) -> bool {
        if self
            .version
            .is_some_and(|version| version >= accepted.version)
        {
            return false;
        }
        if self.conflicts(&accepted.change).next().is_some()
            || !self.evict_removed(&accepted.change)
        {
            return false;
        }
        self.accept(accepted.version, accepted.appended_unix_ms, accepted.change);
        true
    }

    fn accept(&mut self, offset: LogOffset, appended_unix_ms: u64, change: ConfigurationChange) {
        let mut replaced = Vec::with_capacity(change.intents.len());
        for wanted in &change.intents {
            let entry = entry_of(offset, &change, wanted);
            let old = self.entries.insert(wanted.service.clone(), entry);
            replaced.push(old.and_then(|old| old.intent));
        }
        self.version = Some(offset);
        self.history.push_back(AcceptedChange {
            version: offset,
            appended_unix_ms,
            change,
            replaced,
        });
        while self.history.len() > HISTORY_LIMIT_COUNT {
            let forgotten = self.history.pop_front();
            self.history_after = forgotten.map(|accepted| accepted.version);
        }
    }

    /// Forgets removed services, the oldest first, until the change fits.
    ///
    /// A change to a forgotten service with an old base can't win: its base
    /// names a version, and the service has none any more.
    fn evict_removed(&mut self, change: &ConfigurationChange) -> bool {
        let new = change
            .intents
            .iter()
            .filter(|intent| !self.entries.contains_key(&intent.service));
        let wanted_count = self.entries.len() + new.count();
        for _ in ENTRIES_LIMIT_COUNT..wanted_count {
            let removed = self.entries.values().filter(|entry| {
                let is_named = change
                    .intents
                    .iter()
                    .any(|intent| intent.service == entry.service);
                entry.intent.is_none() && !is_named
            });
            let Some(oldest) = removed.min_by_key(|entry| entry.version) else {
                return false;
            };
            let service = oldest.service.clone();
            self.entries.remove(&service);
        }
        true
    }

    /// The state as a snapshot; `None` before the first record.
    pub(crate) fn to_snapshot(&self) -> Option<ConfigurationSnapshot> {
        Some(ConfigurationSnapshot {
            through: self.through?,
            digest: self.digest,
            version: self.version,
            entries: self.entries.values().cloned().collect(),
            history: self.history.iter().cloned().collect(),
            history_after: self.history_after,
        })
    }

    /// The state that a snapshot holds.
    pub(crate) fn from_snapshot(snapshot: ConfigurationSnapshot) -> Self {
        let entries = snapshot.entries.into_iter();
        Self {
            through: Some(snapshot.through),
            digest: snapshot.digest,
            version: snapshot.version,
            entries: entries
                .map(|entry| (entry.service.clone(), entry))
                .collect(),
            history: snapshot.history.into(),
            history_after: snapshot.history_after,
        }
    }

    /// The changes that won behind an offset, oldest first; `None` if some of
    /// them are not remembered any more.
    pub(crate) fn changes_after(&self, offset: LogOffset) -> Option<Vec<AcceptedChange>> {
        if self.history_after.is_some_and(|after| offset < after) {
            return None;
        }
        let later = self
            .history
            .iter()
            .filter(|accepted| accepted.version > offset);
        Some(later.cloned().collect())
    }
}

fn entry_of(offset: LogOffset, change: &ConfigurationChange, wanted: &IntentChange) -> IntentEntry {
    IntentEntry {
        service: wanted.service.clone(),
        version: offset,
        change: change.id,
        operator: change.operator.clone(),
        confirmed_unix_ms: change.confirmed_unix_ms,
        intent: wanted.intent.clone(),
    }
}

/// A change that names a service twice would win against its own base.
fn names_distinct_services(change: &ConfigurationChange) -> bool {
    let mut names: Vec<&str> = change
        .intents
        .iter()
        .map(|intent| intent.service.as_str())
        .collect();
    names.sort_unstable();
    let count = names.len();
    names.dedup();
    count > 0 && names.len() == count
}
