//! Exchange of configurations and of their freshness between nodes over links.

use std::time::Duration;

use kumquatquay_core::routed::PeerProof;
use kumquatquay_wire::routed::{FrameHead, Payload, SyncState};

use super::{link_frames::FrameWriter, node::RoutedNode};

/// Largest credible size of a fleet. A faulty node that reports more would shrink all quotas.
const FLEET_LIMIT_COUNT: usize = 20_000;

/// Handles the sync state of another node; requests its configuration if that is newer.
pub(crate) fn on_sync_state(node: &RoutedNode, frames: &FrameWriter, sync_state: SyncState) {
    let reported_nodes_count = node.reported_nodes_count.get();
    let nodes_count = sync_state.nodes_count as usize;
    if (reported_nodes_count..=FLEET_LIMIT_COUNT).contains(&nodes_count) {
        node.reported_nodes_count.set(nodes_count);
    }
    let mut poller = node.store_poller.borrow_mut();
    let era = sync_state.store_era;
    let era_change = poller.on_peer_state(node.now(), era, sync_state.store_answers_count);
    drop(poller);
    node.on_era_change(era_change, era, "node");
    if sync_state.version > node.route_version() && node.begin_configuration_ask() {
        frames.push(&FrameHead::ConfigurationRequest);
    }
}

/// Handles the sync state that answers a question sent at `asked`; it may also renew the
/// proof of freshness.
///
/// A state without a question can't do that, since it may have been delayed for long in a
/// broken link.
pub(crate) fn on_sync_answer(
    node: &RoutedNode,
    frames: &FrameWriter,
    sync_state: SyncState,
    asked: Duration,
) {
    on_sync_state(node, frames, sync_state);
    let Some(age_ms) = sync_state.proof_age_ms else {
        return;
    };
    let age = Duration::from_millis(u64::from(age_ms));
    let now = node.boot_time();
    let peer_proof = PeerProof {
        asked,
        version: sync_state.version,
        age: Some(age),
        era: sync_state.store_era,
    };
    node.update_proof(|proof| proof.on_peer_proof(now, peer_proof));
}

/// Builds a ping, which asks another node for its sync state.
pub(crate) fn ping_frame(node: &RoutedNode) -> FrameHead<'static> {
    FrameHead::Ping {
        sync_state: node.sync_state(),
        asked_ms: node.boot_time().as_millis() as u64,
    }
}

/// Puts a configuration from another node in force if it is newer.
pub(crate) fn on_configuration(node: &RoutedNode, body: &[u8]) {
    match postcard::from_bytes(body) {
        Ok(configuration) => node.apply_configuration(configuration, "node"),
        Err(error) => log::warn!(event = "configuration_refused", from = "node"; "{error}"),
    }
}

/// Sends the configuration in force, if there is one.
pub(crate) fn send_configuration(node: &RoutedNode, frames: &FrameWriter) {
    let configuration = node.configuration.borrow();
    let Some(configuration) = configuration.as_ref() else {
        return;
    };
    let bytes = postcard::to_stdvec(configuration).expect("a wire type always encodes");
    frames.push_with(&FrameHead::Configuration, &Payload::from_body(bytes));
}
