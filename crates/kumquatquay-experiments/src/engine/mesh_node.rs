//! A node inside this process.

use std::net::SocketAddr;

use kumquatquay_core::{Policy, StateDump};
use kumquatquayd::{DaemonSettings, RunningNode};

/// Secret of the nodes of an experiment, which live on loopback.
pub(crate) const SECRET: &str = "the secret of an experiment on loopback";

/// What a node of an experiment is told.
#[derive(Clone, Debug)]
pub(crate) struct NodeSpec {
    pub(crate) data_centre: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) log: Option<SocketAddr>,
    pub(crate) policy: Policy,
    pub(crate) random_seed: u64,
}

/// Starts a node on free ports of loopback.
pub(crate) async fn start_node(spec: NodeSpec) -> eyre::Result<RunningNode> {
    let settings = DaemonSettings::new(spec.data_centre)
        .secret(SECRET)
        .seeds(spec.seeds)
        .log(spec.log)
        .policy(spec.policy)
        .random_seed(spec.random_seed);
    kumquatquayd::start(settings).await
}

/// The dump of a node, for counts.
pub(crate) fn dump(node: &RunningNode) -> StateDump {
    node.state_dump()
}
