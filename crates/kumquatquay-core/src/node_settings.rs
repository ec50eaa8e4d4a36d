//! Settings of a node.

use std::net::SocketAddr;

use kumquatquay_wire::{DataCentreName, Incarnation, MeshKey};

use crate::Policy;

/// Settings of one node, fixed from its start.
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
    /// UDP and TCP address for control messages, which identifies the node.
    pub control: SocketAddr,
    /// Address at which other nodes reach this node's gate.
    pub peer: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Incarnation, which is higher after each start of a node at the same address.
    pub incarnation: Incarnation,
    /// Control addresses of other nodes, by which this one joins the mesh.
    pub seeds: Vec<SocketAddr>,
    /// Key that all nodes of the mesh share.
    pub key: MeshKey,
    /// Seed of the random number generator.
    pub random_seed: u64,
    /// Controls that are switched on.
    pub policy: Policy,
    /// Whether the platform has a log with intents and operations.
    pub has_log: bool,
}

impl NodeSettings {
    /// Settings with incarnation 1, random seed 0, no seed nodes, all controls and a log.
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

    /// Sets the incarnation, which must be higher after each start at the same address.
    #[must_use]
    pub fn incarnation(mut self, incarnation: Incarnation) -> Self {
        self.incarnation = incarnation;
        self
    }

    /// Sets the control addresses of other nodes, by which this one joins the mesh.
    #[must_use]
    pub fn seeds(mut self, seeds: impl IntoIterator<Item = SocketAddr>) -> Self {
        self.seeds = seeds.into_iter().collect();
        self
    }

    /// Runs the node without a log: it never requests intents, and doesn't warn that it gets
    /// no answer.
    #[must_use]
    pub fn without_log(mut self) -> Self {
        self.has_log = false;
        self
    }

    // Decisions

    /// Sets the seed of the random number generator.
    #[must_use]
    pub fn random_seed(mut self, random_seed: u64) -> Self {
        self.random_seed = random_seed;
        self
    }

    /// Sets which controls are switched on.
    #[must_use]
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }
}
