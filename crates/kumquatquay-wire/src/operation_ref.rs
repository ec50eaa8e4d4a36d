//! Identity of a non-idempotent operation.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Sequence};

/// A non-idempotent operation and its home: the one node that decides whether it runs.
///
/// The home is determined by an issued id or by the winning claim in the log. Only that
/// incarnation of the node may forward the operation, so an operation whose home is gone never
/// runs again.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct OperationRef {
    /// Peer address of the home node.
    pub home: SocketAddr,
    /// Incarnation of the home node that knows the operation.
    pub home_incarnation: Incarnation,
    /// Sequence number that the home assigned to the operation.
    pub sequence: Sequence,
    /// Time at which the home removes it, in milliseconds since the Unix epoch.
    pub expires_unix_ms: u64,
}
