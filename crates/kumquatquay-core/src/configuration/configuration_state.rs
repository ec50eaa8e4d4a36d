//! State machine that applies the records of the configuration stream.

use std::collections::{BTreeMap, VecDeque};

use kumquatquay_wire::{
    AcceptedChange, ChangeId, ConfigurationChange, ConfigurationSnapshot, ConfigurationVersion,
    Intent, IntentChange, IntentEntry, LogOffset, RecordDigest, ServiceName,
};

/// Accepted changes in the history, which serves to detect duplicates, to revert changes and to
/// bring nodes up to date that lag behind.
///
/// At 7,800 changes a day these are the changes of the last 12 minutes. A node that lags behind
/// further fetches a full snapshot.
const HISTORY_LIMIT_COUNT: usize = 64;

/// Limit of the entries of services that have or had an intent.
///
/// Entries without an intent are evicted first. If there are none, a change that would exceed
/// the limit is rejected.
const ENTRIES_LIMIT_COUNT: usize = 1_024;

/// Configuration that results from the records of the stream up to one offset.
///
/// It is a function of these records alone: nodes that have applied the same stream up to the
/// same offset have equal states, whether they read all of it or started from a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ConfigurationState {
    through: Option<LogOffset>,
    digest: RecordDigest,
    version: Option<ConfigurationVersion>,
    entries: BTreeMap<ServiceName, IntentEntry>,
    history: VecDeque<AcceptedChange>,
    /// The history has all accepted changes after this offset; all changes ever if `None`. After
    /// an operator has started the configuration over, the history may be empty although changes
    /// were made. Without this offset a node that lags behind would conclude that it has missed
    /// none.
    history_after: Option<LogOffset>,
}

/// Outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ChangeOutcome {
    /// The change is applied: its base was the current version.
    Accepted,
    /// The change was accepted before, at this version.
    Duplicate(ConfigurationVersion),
    /// The change has no effect: its base was not current, it is malformed, or there is no room for
    /// its entries.
    Rejected,
}

impl ConfigurationState {
    /// Offset of the last record applied.
    pub(crate) fn through(&self) -> Option<LogOffset> {
        self.through
    }

    /// Digest of the last record applied.
    pub(crate) fn digest(&self) -> RecordDigest {
        self.digest
    }

    /// Offset of the last accepted change.
    pub(crate) fn version(&self) -> Option<ConfigurationVersion> {
        self.version
    }

    /// Offset of the first record that is not applied yet.
    pub(crate) fn next_offset(&self) -> LogOffset {
        self.through.map_or(0, |through| through + 1)
    }

    /// The entry of a service.
    pub(crate) fn entry(&self, service: &str) -> Option<&IntentEntry> {
        self.entries.get(service)
    }

    /// The intent of a service.
    pub(crate) fn intent(&self, service: &str) -> Option<&Intent> {
        self.entry(service)?.intent.as_ref()
    }

    /// All entries, including those of services whose intent was removed.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &IntentEntry> {
        self.entries.values()
    }

    /// The latest accepted changes, oldest first.
    pub(crate) fn history(&self) -> impl DoubleEndedIterator<Item = &AcceptedChange> {
        self.history.iter()
    }

    /// The version at which a change was accepted, if the history or an entry still has it.
    pub(crate) fn accepted_version(&self, id: ChangeId) -> Option<ConfigurationVersion> {
        let mut changes = self.history.iter();
        let accepted = changes.find(|accepted| accepted.change.id == id);
        let mut entries = self.entries.values();
        accepted.map(|accepted| accepted.version).or_else(|| {
            let entry = entries.find(|entry| entry.change == id)?;
            Some(entry.version)
        })
    }

    /// The intents of a change whose base differs from the current version of their service.
    pub(crate) fn conflicts<'a>(
        &'a self,
        change: &'a ConfigurationChange,
    ) -> impl Iterator<Item = &'a IntentChange> {
        change.intents.iter().filter(|intent| {
            let entry = self.entries.get(&intent.service);
            entry.map(|entry| entry.version) != intent.base
        })
    }

    /// Advances the offset and the digest without a change of the configuration.
    ///
    /// A record that is unreadable or holds a snapshot needs no more than this; for a change it is
    /// one step.
    pub(crate) fn advance_to(&mut self, offset: LogOffset, digest: RecordDigest) {
        self.through = Some(offset);
        self.digest = digest;
    }

    /// Applies a change from the stream if it is valid.
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

    /// Applies a change that another node has accepted.
    ///
    /// Returns whether it was applied: it must be later than this state, its base must be
    /// current, and there must be room for its entries.
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
            let evicted = self.history.pop_front();
            self.history_after = evicted.map(|accepted| accepted.version);
        }
    }

    /// Evicts entries of services without an intent, the oldest first, until the change fits.
    ///
    /// Returns whether it fits. A later change with an old base to an evicted service is still
    /// rejected, because its base is a version and the service no longer has one.
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

    /// A snapshot of the state; `None` before the first record.
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

    /// Restores the state from a snapshot.
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

    /// The changes accepted after an offset, oldest first; `None` if the history no longer has all
    /// of them.
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

/// Whether the change names at least one service and none of them twice.
///
/// If a service were named twice, the second intent would replace the first one although that is
/// not its base.
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
