//! State of the configuration for diagnostics.

use kumquatquay_wire::{ConfigurationVersion, LogOffset};
use serde::Serialize;

use crate::Blackboard;

/// The configuration in a [`StateDump`](crate::StateDump).
#[derive(Clone, Debug, Serialize)]
pub struct ConfigurationDump {
    /// Version in force at this node.
    pub version: Option<ConfigurationVersion>,
    /// Offset of the last record of the stream that was applied.
    pub through: Option<LogOffset>,
    /// Number of services that have an intent.
    pub intents_count: usize,
    /// Whether this node is one of the followers of the log in its data centre.
    pub is_follower: bool,
    /// Number of confirmations under way at this node.
    pub confirmations_count: usize,
    /// Reasons why the version in force may not be the latest, one sentence each.
    pub doubts: Vec<String>,
}

impl ConfigurationDump {
    pub(crate) fn of(board: &Blackboard) -> Self {
        let configuration = &board.configuration;
        Self {
            version: configuration.version(),
            through: configuration.state.through(),
            intents_count: configuration.intents().count(),
            is_follower: configuration.ranks.is_follower(),
            confirmations_count: configuration.confirmations.len(),
            doubts: configuration.doubts(),
        }
    }
}
