//! Membership record of a node and its backend server.

use std::net::SocketAddr;

use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::{BackendLife, DataCentreName, Incarnation, ServiceName, TableDigest};

/// State of a backend server and its node, in the order of their life cycle.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The node is running; its backend server hasn't announced itself.
    #[display("idle")]
    Idle,
    /// The backend server has announced itself and is still warming up.
    #[display("warming")]
    Warming,
    /// The backend server accepts work.
    #[display("serving")]
    Serving,
    /// The backend server completes its work and accepts no new work.
    #[display("draining")]
    Draining,
    /// The node has left or was declared dead.
    #[display("gone")]
    Gone,
}

/// One node, its host and the backend server on it.
///
/// Of two records of the same node, the one with the higher [`MemberRecord::rank`] takes
/// precedence: the higher incarnation, then the higher revision, then the later state, then the
/// suspected one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// UDP and TCP address for control messages, which identifies the node.
    pub control: SocketAddr,
    /// Address for calls from other nodes.
    pub peer: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentreName,
    /// Service of the backend server, once it is announced.
    pub service: Option<ServiceName>,
    /// Life of the backend server, if it reports one; another backend server may take over the
    /// address.
    pub life: Option<BackendLife>,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Number of this change of the record within the incarnation.
    pub revision: u32,
    /// State of the backend server.
    pub state: MemberState,
    /// Whether a prober suspects that the node is dead.
    pub is_suspect: bool,
    /// Number of requests that the backend server can run concurrently, as it reports.
    pub slots_count: u32,
}

impl MemberRecord {
    /// Returns the rank among the records of the same node; the highest rank takes precedence.
    pub fn rank(&self) -> (Incarnation, u32, MemberState, bool) {
        (self.incarnation, self.revision, self.state, self.is_suspect)
    }

    /// Returns the contribution of this record to a [`TableDigest`]; 0 for a member that is
    /// gone.
    ///
    /// Suspicions are left out: they are transient, and each data centre resolves its own.
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
