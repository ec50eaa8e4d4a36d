//! Versions that other nodes have reported to be in force there.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::ConfigurationVersion;

use crate::{Blackboard, Moment, Output};

use super::peer_fetch;

/// Limit of the nodes whose versions are kept. Beyond it the version reported least recently is
/// evicted, and its node has an unknown version in the status.
const PEER_VERSIONS_LIMIT_COUNT: usize = 8_192;

/// The last report of one node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PeerVersion {
    /// The version in force at the node.
    pub(super) version: ConfigurationVersion,
    /// When it was reported, on the monotonic clock.
    pub(super) reported_at: Duration,
}

/// The version that this node gossips; `None` if no change is in force.
pub(crate) fn version_to_gossip(board: &Blackboard) -> Option<ConfigurationVersion> {
    board.configuration.version()
}

/// Records the version in force at another node, and asks that node for it if this node is behind.
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
        let oldest = versions.iter().min_by_key(|(_, peer)| peer.reported_at);
        if let Some(control) = oldest.map(|(control, _)| *control) {
            versions.remove(&control);
        }
    }
    let reported_at = now.monotonic;
    versions.insert(
        from,
        PeerVersion {
            version,
            reported_at,
        },
    );
}
