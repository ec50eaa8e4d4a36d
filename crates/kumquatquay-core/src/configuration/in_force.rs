//! Applies configuration changes from the log and from other nodes at this node.

use std::collections::BTreeSet;

use kumquatquay_wire::{
    AcceptedChange, ConfigurationChange, ConfigurationRecord, ConfigurationSnapshot,
    ConfigurationVersion, ServiceName,
};

use super::configuration_state::{ChangeOutcome, ConfigurationState};
use crate::{Blackboard, Counter, LogRecord, Moment, Note, Output, Severity};

/// Applies a change from the log.
pub(super) fn apply_change(
    board: &mut Blackboard,
    now: Moment,
    record: &LogRecord,
    change: ConfigurationChange,
    out: &mut Vec<Output>,
) {
    let digest = ConfigurationRecord::digest(&record.bytes);
    let services = services_of(&change);
    let state = &mut board.configuration.state;
    let outcome = state.apply(record.offset, digest, record.appended_unix_ms, change);
    match outcome {
        ChangeOutcome::Accepted => on_in_force(board, now, &services, out),
        ChangeOutcome::Duplicate(_) => board.counters.increment(Counter::ConfigurationRepeats),
        ChangeOutcome::Rejected => board.counters.increment(Counter::ConfigurationChangesLost),
    }
}

/// Applies changes that another node has accepted, up to the first one that can't be applied.
///
/// Returns whether all were applied.
pub(super) fn apply_peer_changes(
    board: &mut Blackboard,
    now: Moment,
    changes: Vec<AcceptedChange>,
    out: &mut Vec<Output>,
) -> bool {
    for accepted in changes {
        let services = services_of(&accepted.change);
        if !board.configuration.state.accept_from_peer(accepted) {
            return false;
        }
        on_in_force(board, now, &services, out);
    }
    true
}

/// Replaces the state by a snapshot if that is later. Returns whether it was replaced.
pub(super) fn adopt_snapshot(
    board: &mut Blackboard,
    now: Moment,
    snapshot: ConfigurationSnapshot,
    out: &mut Vec<Output>,
) -> bool {
    let configuration = &mut board.configuration;
    if configuration.state.through() >= Some(snapshot.through) {
        return false;
    }
    if snapshot.version < configuration.version() {
        // The version never decreases within a stream, so one of the two states is not of this
        // stream.
        let detail = contradiction(snapshot.version, configuration.version());
        out.push(Output::Note(Note::new(
            Severity::Error,
            "configuration_contradiction",
            detail,
        )));
        return false;
    }
    let old = std::mem::take(&mut configuration.state);
    configuration.state = ConfigurationState::from_snapshot(snapshot);
    let services = differing_services(&old, &configuration.state);
    if old.version() != configuration.version() {
        on_in_force(board, now, &services, out);
    }
    true
}

fn contradiction(
    offered: Option<ConfigurationVersion>,
    known: Option<ConfigurationVersion>,
) -> String {
    format!(
        "a later snapshot has version {offered:?}, which is lower than version {known:?} in force \
         here; it was discarded"
    )
}

fn differing_services(old: &ConfigurationState, new: &ConfigurationState) -> Vec<ServiceName> {
    let entries = old.entries().chain(new.entries());
    let names: BTreeSet<&ServiceName> = entries.map(|entry| &entry.service).collect();
    let differs = |name: &&ServiceName| old.intent(name) != new.intent(name);
    names.into_iter().filter(differs).cloned().collect()
}

fn services_of(change: &ConfigurationChange) -> Vec<ServiceName> {
    change
        .intents
        .iter()
        .map(|intent| intent.service.clone())
        .collect()
}

fn on_in_force(
    board: &mut Blackboard,
    now: Moment,
    services: &[ServiceName],
    out: &mut Vec<Output>,
) {
    board
        .counters
        .increment(Counter::ConfigurationChangesApplied);
    let configuration = &mut board.configuration;
    configuration.in_force_since = now.monotonic;
    for service in services {
        let intent = configuration.state.intent(service);
        configuration
            .classification_table
            .set_intent(service, intent);
    }
    if let Some(version) = configuration.version() {
        let detail = format!(
            "version {version} is in force here: {}",
            services.join(", ")
        );
        out.push(Output::Note(Note::info("configuration_in_force", detail)));
    }
}
