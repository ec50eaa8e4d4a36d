//! Backend servers that the load balancer may pick.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{DataCentreName, Incarnation, MemberRecord, MemberState};

/// A backend server that takes calls of a service, as the member table knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Control address, which identifies the node.
    pub(crate) control: SocketAddr,
    /// Address to which calls are sent.
    pub(crate) peer: SocketAddr,
    /// Data centre of the host.
    pub(crate) data_centre: DataCentreName,
    /// Incarnation of the node; what was observed of another incarnation doesn't apply to it.
    pub(crate) incarnation: Incarnation,
    /// Whether it is in this node's data centre.
    pub(crate) is_own_data_centre: bool,
    /// Whether it has announced that it is still warming up.
    pub(crate) is_warming: bool,
    /// Whether it is suspected because a probe of it failed.
    pub(crate) is_suspect: bool,
    /// Concurrent requests that it announces it can run.
    pub(crate) slots_count: u32,
    /// When it began to take calls, by this node's monotonic clock; the slow start counts from
    /// here.
    ///
    /// Zero if it took calls before this node knew of it.
    pub(crate) takes_calls_since: Duration,
}

impl Candidate {
    pub(super) fn new(record: &MemberRecord, since: Duration, own: &DataCentreName) -> Self {
        Self {
            control: record.control,
            peer: record.peer,
            data_centre: record.data_centre.clone(),
            incarnation: record.incarnation,
            is_own_data_centre: record.data_centre == *own,
            is_warming: record.state == MemberState::Warming,
            is_suspect: record.is_suspect,
            slots_count: record.slots_count,
            takes_calls_since: since,
        }
    }
}

/// Whether the backend server of a member in this state takes calls.
pub(super) fn takes_calls(state: MemberState) -> bool {
    matches!(state, MemberState::Warming | MemberState::Serving)
}
