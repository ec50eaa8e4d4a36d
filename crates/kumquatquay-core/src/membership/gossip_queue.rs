//! Queue of members whose records are still to be gossiped.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Members whose records are still to be gossiped: by urgency, then least often sent first.
///
/// Only control addresses are queued. The record is read from the member table when it is sent,
/// so a member that changes often is queued once.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    order: BTreeSet<(Priority, SocketAddr)>,
    priorities: BTreeMap<SocketAddr, Priority>,
}

/// Position in the queue: by urgency, then by transmissions so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    urgency: Urgency,
    transmits_count: u32,
}

/// How soon a record must be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// For members that can't take new work but still receive it, and for suspicions.
    ///
    /// Others must learn of a suspicion in time. Behind the records of a few hundred new
    /// members, either would be sent too late.
    High,
    /// For members that could take work as well.
    Normal,
}

impl GossipQueue {
    /// Members queued at most.
    ///
    /// The entry of the lowest priority is dropped. A node that missed its record sees a
    /// different digest and asks for the table.
    const LIMIT_COUNT: usize = 1_024;

    /// Queues a member with no transmissions so far, in place of an earlier entry.
    pub(super) fn push(&mut self, control: SocketAddr, urgency: Urgency) {
        self.remove(control);
        self.insert(control, urgency, 0);
        if self.order.len() > Self::LIMIT_COUNT
            && let Some((_, last)) = self.order.pop_last()
        {
            self.priorities.remove(&last);
        }
    }

    /// Queued members in the order in which they are sent.
    pub(super) fn next(&self) -> impl Iterator<Item = SocketAddr> {
        self.order.iter().map(|(_, control)| *control)
    }

    /// Counts a transmission of a member's record, and removes the member after `limit` of them.
    ///
    /// A record received that this node already has counts too, since it shows that others
    /// spread it. This ends the gossip about twice as early, with the same reach.
    pub(super) fn count_transmit(&mut self, control: SocketAddr, limit: u32) {
        let Some(priority) = self.remove(control) else {
            return;
        };
        let transmits_count = priority.transmits_count + 1;
        if transmits_count < limit {
            self.insert(control, priority.urgency, transmits_count);
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    fn insert(&mut self, control: SocketAddr, urgency: Urgency, transmits_count: u32) {
        let priority = Priority {
            urgency,
            transmits_count,
        };
        self.order.insert((priority, control));
        self.priorities.insert(control, priority);
    }

    fn remove(&mut self, control: SocketAddr) -> Option<Priority> {
        let priority = self.priorities.remove(&control)?;
        self.order.remove(&(priority, control));
        Some(priority)
    }
}
