//! What a node is told at its start.

use std::net::SocketAddr;

use kumquatquay_wire::{DataCentreName, Incarnation, MeshKey};

use crate::Policy;

/// Settings of one node, for its whole life.
///
/// # Examples
///
/// ```
/// use kumquatquay_core::NodeSettings;
/// use kumquatquay_wire::MeshKey;
///
/// let settings = NodeSettings::new(
///     "hall-a",
///     "127.0.0.1:7003".parse().unwrap(),
///     "127.0.0.1:7002".parse().unwrap(),
///     MeshKey::from_secret("secret"),
/// )
/// .random_seed(7);
/// assert_eq!(settings.random_seed, 7);
/// ```
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// UDP and TCP address for control messages; identifies the node.
    pub control: SocketAddr,
    /// Address at which other nodes reach this node's gate.
    pub peer: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Life of the node; higher than those before at the same address.
    pub incarnation: Incarnation,
    /// Control addresses of some other nodes.
    pub seeds: Vec<SocketAddr>,
    /// Key that the nodes share.
    pub key: MeshKey,
    /// Seed of the random choices.
    pub random_seed: u64,
    /// Controls that are switched on.
    pub policy: Policy,
    /// Whether there is a log with intents and operations.
    pub has_log: bool,
}

impl NodeSettings {
    /// Settings for a first life, without seeds, with all controls.
    pub fn new(
        data_centre: impl Into<DataCentreName>,
        control: SocketAddr,
        peer: SocketAddr,
        key: MeshKey,
    ) -> Self {
        Self {
            control,
            peer,
            data_centre: data_centre.into(),
            incarnation: 1,
            seeds: Vec::new(),
            key,
            random_seed: 0,
            policy: Policy::all(),
            has_log: true,
        }
    }

    // Membership

    /// Life of the node; higher than those before at the same address.
    #[must_use]
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Control addresses of some other nodes.
    #[must_use]
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }

    /// For a node without a log: it never asks for intents, and doesn't warn that nobody
    /// answers.
    #[must_use]
    pub fn without_log(mut self) -> Self {
        self.has_log = false;
        self
    }

    // Decisions

    /// Seed of the random choices.
    #[must_use]
    pub fn random_seed(mut self, random_seed: u64) -> Self {
        self.random_seed = random_seed;
        self
    }

    /// Controls that are switched on.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }
}
