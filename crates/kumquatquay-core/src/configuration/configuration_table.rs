//! Configuration state of a node.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{ChangeId, ConfigurationVersion, Intent};

use super::{
    classification::Classification, classification_table::ClassificationTable,
    configuration_state::ConfigurationState, confirmation::Confirmation, demand::Demand,
    log_reader::LogReader, peer_fetch::PeerFetch, peer_versions::PeerVersion,
    plan_table::PlanTable, ranks::Ranks, snapshot_schedule::SnapshotSchedule,
};
use crate::AppendId;

/// Intents in force, and the reads, fetches, appends and confirmations under way.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationTable {
    /// State that results from the records of the stream.
    pub(super) state: ConfigurationState,
    /// The intents of that state, compiled for the classification of calls.
    pub(super) classification_table: ClassificationTable,
    /// Since when the current version is in force at this node, on the monotonic clock.
    pub(super) in_force_since: Duration,
    /// Reads of the configuration stream.
    pub(super) reader: LogReader,
    /// Fetches from other nodes.
    pub(super) peer_fetch: PeerFetch,
    /// Snapshots appended to the stream.
    pub(super) snapshots: SnapshotSchedule,
    /// Confirmations under way, by change.
    pub(super) confirmations: BTreeMap<ChangeId, Confirmation>,
    /// Purposes of the appends under way.
    pub(super) appends: BTreeMap<AppendId, AppendPurpose>,
    /// Plans made at this node.
    pub(super) plans: PlanTable,
    /// Versions that other nodes have reported.
    pub(super) peer_versions: BTreeMap<SocketAddr, PeerVersion>,
    /// Ranks of this node, which decide whether it follows the log.
    pub(super) ranks: Ranks,
    /// Rates of the calls that entered at this node recently.
    pub(super) demand: Demand,
}

/// Purpose of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendPurpose {
    /// A confirmed change.
    Change(ChangeId),
    /// A snapshot of the state.
    Snapshot,
}

impl ConfigurationTable {
    /// Version in force.
    pub(crate) fn version(&self) -> Option<ConfigurationVersion> {
        self.state.version()
    }

    /// Classifies one call by the intents in force.
    pub(crate) fn classify(
        &self,
        caller: &str,
        service: &str,
        method: &str,
        path: &str,
    ) -> Classification {
        self.classification_table
            .classify(caller, service, method, path)
    }

    /// The intents in force, in the order of the service names.
    pub(crate) fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.state
            .entries()
            .filter_map(|entry| entry.intent.as_ref())
    }

    /// Whether this node knows which configuration is in force, even if that is empty.
    pub(crate) fn is_established(&self) -> bool {
        self.state.through().is_some() || self.reader.has_seen_empty_stream
    }

    /// Reasons why the version in force here may not be the latest, for operators.
    pub(crate) fn doubts(&self) -> Vec<String> {
        let mut doubts = Vec::new();
        if !self.is_established() {
            doubts.push(String::from(
                "this node has not learnt the configuration yet: neither the log nor another \
                 node told it; it serves with defaults, so no caller is protected here",
            ));
        }
        if let Some(doubt) = &self.reader.fault {
            doubts.push(doubt.to_string());
        }
        if let Some(since) = self.reader.failing_since {
            doubts.push(format!(
                "the log has not answered this node since {} s after its start",
                since.as_secs()
            ));
        }
        doubts
    }
}
