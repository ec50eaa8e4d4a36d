//! A backend server that takes calls.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{DataCentreName, Incarnation, MemberRecord, MemberState};

/// A backend server that takes calls of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Control address, which identifies the node.
    pub(crate) control: SocketAddr,
    /// Where calls are sent.
    pub(crate) peer: SocketAddr,
    /// Data centre of the host.
    pub(crate) data_centre: DataCentreName,
    /// Life of the node; what was learnt of another life doesn't hold for it.
    pub(crate) incarnation: Incarnation,
    /// Whether it is in this node's data centre.
    pub(crate) is_own_data_centre: bool,
    /// Whether it has announced that it is still cold.
    pub(crate) is_warming: bool,
    /// Whether a prober doubts that it is alive.
    pub(crate) is_suspect: bool,
    /// Requests that it says it can run at the same time.
    pub(crate) slots_count: u32,
    /// Since when it takes calls, on this node's monotonic clock; zero if it
    /// did so before this node knew it. Slow start counts from here.
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

/// Whether a member takes calls in this state.
pub(super) fn takes_calls(state: MemberState) -> bool {
    matches!(state, MemberState::Warming | MemberState::Serving)
}
