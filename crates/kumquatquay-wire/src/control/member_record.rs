//! What nodes tell each other about one node and its backend server.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{BackendLife, DataCentreName, Incarnation, ServiceName, TableDigest};

/// State of a backend server and its node, in the order they pass through it.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The node runs; its backend server has not announced itself.
    #[display("idle")]
    Idle,
    /// Announced and still cold.
    #[display("warming")]
    Warming,
    /// Takes work.
    #[display("serving")]
    Serving,
    /// Finishes what it has and takes no new work.
    #[display("draining")]
    Draining,
    /// Left, or declared dead.
    #[display("gone")]
    Gone,
}

/// One node, its host and the backend server on it.
///
/// Of two records of the same node the one with the higher incarnation counts,
/// then the one with the higher revision, then the later state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// UDP and TCP address for control messages; identifies the node.
    pub control: SocketAddr,
    /// Address for calls from other nodes.
    pub peer: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Service of the backend server, once announced.
    pub service: Option<ServiceName>,
    /// Life of the backend server, where it names its lives; an address may be
    /// taken over by another one.
    pub life: Option<BackendLife>,
    /// Life of the node.
    pub incarnation: Incarnation,
    /// Number of the change within the incarnation.
    pub revision: u32,
    /// State of the backend server.
    pub state: MemberState,
    /// Whether a prober doubts that the node is alive.
    pub is_suspect: bool,
    /// Requests that the backend server says it can run at the same time.
    pub slots_count: u32,
}

impl MemberRecord {
    /// Place among the records of the same node; the highest one counts.
    pub fn rank(&self) -> (Incarnation, u32, MemberState, bool) {
        (self.incarnation, self.revision, self.state, self.is_suspect)
    }

    /// The record's part of a [`TableDigest`]; 0 for a member that is gone.
    ///
    /// Doubts are left out: they pass, and each data centre settles its own.
    pub fn digest(&self) -> TableDigest {
        if self.state == MemberState::Gone {
            return 0;
        }
        let counted = (self.control, self.incarnation, self.revision, self.state);
        let bytes = postcard::to_stdvec(&counted).expect("a wire type always encodes");
        let hash = blake3::hash(&bytes);
        let first = hash.as_bytes()[..8].try_into();
        TableDigest::from_le_bytes(first.expect("a BLAKE3 hash has 32 bytes"))
    }
}
