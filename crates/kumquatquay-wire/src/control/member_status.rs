//! Status of a member that doesn't answer, as reported by others.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Incarnation;

/// Suspicion or death of a member, in a third of the size of its record.
///
/// It applies to one revision of one incarnation, so the member refutes it with its next
/// revision, and a replacement isn't affected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Control address of the member.
    pub control: SocketAddr,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// The last known revision of its record.
    pub revision: u32,
    /// Whether it is declared dead; otherwise it is suspected.
    pub is_gone: bool,
}
