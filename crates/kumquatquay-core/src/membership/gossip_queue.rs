//! Members whose news is still to be spread.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

/// Members whose news is still to be spread: urgent ones first, then those told
/// least often.
///
/// Only names are queued. What is told is the newest record at the time of
/// sending, so a member that changes quickly is queued once.
#[derive(Debug, Default)]
pub(crate) struct GossipQueue {
    order: BTreeSet<(Priority, SocketAddr)>,
    priorities: BTreeMap<SocketAddr, Priority>,
}

/// Place of a piece of news in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Priority {
    urgency: Urgency,
    transmits_count: u32,
}

/// How long a piece of news can wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Urgency {
    /// Work goes to a member that can't take it, or a doubt waits for others to
    /// confirm it: behind a few hundred new members it would come too late.
    High,
    /// Work could also go there.
    Normal,
}

impl GossipQueue {
    /// News kept for spreading.
    ///
    /// What falls out has been told more often than anything kept; who missed
    /// it finds a different digest and asks for the table.
    const LIMIT_COUNT: usize = 1_024;

    /// Queues news of a member, as never told before.
    pub(super) fn push(&mut self, control: SocketAddr, urgency: Urgency) {
        self.remove(control);
        self.insert(control, urgency, 0);
        if self.order.len() > Self::LIMIT_COUNT
            && let Some((_, last)) = self.order.pop_last()
        {
            self.priorities.remove(&last);
        }
    }

    /// The members to tell of next.
    pub(super) fn next(&self) -> impl Iterator<Item = SocketAddr> {
        self.order.iter().map(|(_, control)| *control)
    }

    /// Notes that a member was told of once more, by this node or to it; after
    /// `limit` times it is enough.
    ///
    /// Who hears what it knows already learns that others spread it too. Counting
    /// that ends the spreading about twice as early, with the same reach.
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
