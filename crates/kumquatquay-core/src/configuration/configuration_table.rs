//! Intents in force: what is known.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{ChangeId, ConfigurationVersion, Intent};

use super::{
    classification::Classification, classification_table::ClassificationTable,
    configuration_state::ConfigurationState, confirmation::Confirmation, demand::Demand,
    log_reader::LogReader, peer_fetch::PeerFetch, peer_versions::PeerVersion,
    plan_table::PlanTable, ranks::Ranks, snapshot_schedule::SnapshotSchedule,
};
use crate::AppendId;

/// Intents in force and what is under way to keep them current.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationTable {
    /// What the stream says.
    pub(super) state: ConfigurationState,
    /// The same, for the path of a call.
    pub(super) classification_table: ClassificationTable,
    /// When the version in force came in force here, on the monotonic clock.
    pub(super) in_force_since: Duration,
    /// Reads of the stream.
    pub(super) reader: LogReader,
    /// Fetches from other nodes.
    pub(super) peers: PeerFetch,
    /// Re-appends of the state.
    pub(super) snapshots: SnapshotSchedule,
    /// Confirmations under way, by change.
    pub(super) confirmations: BTreeMap<ChangeId, Confirmation>,
    /// Appends under way.
    pub(super) appends: BTreeMap<AppendId, AppendPurpose>,
    /// Plans made here.
    pub(super) plans: PlanTable,
    /// What other nodes said they have in force.
    pub(super) peer_versions: BTreeMap<SocketAddr, PeerVersion>,
    /// This node's place among those that read the stream.
    pub(super) ranks: Ranks,
    /// Calls seen lately.
    pub(super) demand: Demand,
}

/// What an append is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AppendPurpose {
    /// A confirmed change.
    Change(ChangeId),
    /// The state again.
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

    /// The intents in force, in the order of their services.
    pub(crate) fn intents(&self) -> impl Iterator<Item = &Intent> {
        self.state
            .entries()
            .filter_map(|entry| entry.intent.as_ref())
    }

    /// Whether the node knows what is in force, be it nothing.
    pub(crate) fn is_established(&self) -> bool {
        self.state.through().is_some() || self.reader.has_seen_empty_stream
    }

    /// Doubts about what is in force, for operators; empty if there are none.
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
