//! What nodes tell each other of the configuration, on each link.

use std::time::Duration;

use kumquatquay_core::routed::PeerProof;
use kumquatquay_wire::routed::{FollowState, FrameHead, Payload};

use super::{link_frames::FrameWriter, node::RoutedNode};

/// Nodes that a fleet has at the most; a broken node that tells more would shrink all quotas.
const NODES_LIMIT_COUNT: usize = 20_000;

/// Asks for a configuration that the other node has and this one lacks.
pub(crate) fn on_follow_state(node: &RoutedNode, frames: &FrameWriter, followed: FollowState) {
    let reported_nodes_count = node.reported_nodes_count.get();
    let nodes_count = followed.nodes_count as usize;
    if (reported_nodes_count..=NODES_LIMIT_COUNT).contains(&nodes_count) {
        node.reported_nodes_count.set(nodes_count);
    }
    let mut follower = node.store_poller.borrow_mut();
    let era = followed.store_era;
    let news = follower.on_peer_state(node.now(), era, followed.store_answers_count);
    drop(follower);
    node.on_era_change(news, era, "node");
    if followed.version > node.route_version() && node.begin_configuration_ask() {
        frames.push(&FrameHead::ConfigurationAsk);
    }
}

/// Takes in what another node answers, of how far it follows, to a question asked at `asked`.
///
/// Who wasn't asked may have told it long ago: it may have lain in a link that was cut.
pub(crate) fn on_follow_answer(
    node: &RoutedNode,
    frames: &FrameWriter,
    followed: FollowState,
    asked: Duration,
) {
    on_follow_state(node, frames, followed);
    let Some(age_ms) = followed.proof_age_ms else {
        return;
    };
    let age = Duration::from_millis(u64::from(age_ms));
    let now = node.boot_time();
    let told = PeerProof {
        asked,
        version: followed.version,
        age: Some(age),
        era: followed.store_era,
    };
    node.update_proof(|proof| proof.on_peer_proof(now, told));
}

/// A question how far another node follows.
pub(crate) fn ping_frame(node: &RoutedNode) -> FrameHead<'static> {
    FrameHead::Ping {
        followed: node.follow_state(),
        asked_ms: node.boot_time().as_millis() as u64,
    }
}

/// Takes in a configuration of another node.
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
    frames.push_with(&FrameHead::Configuration, &Payload::of_body(bytes));
}
