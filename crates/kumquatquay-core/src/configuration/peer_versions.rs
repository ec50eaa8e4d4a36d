//! What other nodes said they have in force.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::ConfigurationVersion;

use crate::{Blackboard, Moment, Output};

use super::peer_fetch;

/// Nodes whose versions are remembered; beyond it the one heard of least
/// recently is forgotten and shows as never heard.
const PEER_VERSIONS_LIMIT_COUNT: usize = 8_192;

/// What one node said last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerVersion {
    /// The version it has in force.
    pub(super) version: ConfigurationVersion,
    /// When it said so, on the monotonic clock.
    pub(super) at: Duration,
}

/// The version to tell other nodes, if any change is in force.
pub(crate) fn version_to_gossip(board: &Blackboard) -> Option<ConfigurationVersion> {
    board.configuration.version()
}

/// Another node said which version it has in force.
pub(crate) fn on_peer_version(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    version: ConfigurationVersion,
    out: &mut Vec<Output>,
) {
    record(board, now, from, version);
    if board.configuration.version() < Some(version) {
        peer_fetch::on_newer_version(board, now, from, version, out);
    }
}

fn record(board: &mut Blackboard, now: Moment, from: SocketAddr, version: ConfigurationVersion) {
    let versions = &mut board.configuration.peer_versions;
    if versions.len() >= PEER_VERSIONS_LIMIT_COUNT && !versions.contains_key(&from) {
        let oldest = versions.iter().min_by_key(|(_, peer)| peer.at);
        if let Some(control) = oldest.map(|(control, _)| *control) {
            versions.remove(&control);
        }
    }
    let at = now.monotonic;
    versions.insert(from, PeerVersion { version, at });
}
