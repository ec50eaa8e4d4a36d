//! Connections of callers, and which of them gives way to another.

use std::{
    collections::{BTreeSet, HashMap},
    time::Duration,
};

/// Share of the descriptors that callers' connections may take. The rest is for links, connections to the
/// backend server and the platform's store, and listeners.
const CONNECTIONS_RATIO: f64 = 0.6;

/// How long a request may take to arrive until its memory and its connection go to others first. Those of
/// ordinary callers take less.
pub(crate) const RECEIVING_TIME: Duration = Duration::from_secs(1);

/// Identifies a connection of a caller.
pub type ConnectionId = u64;

/// What a connection of a caller is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionStage {
    /// It is new, and nothing has come.
    New,
    /// Part of the head of a request has come.
    ReceivingHead,
    /// The head of a request has come, and part of its body is missing.
    ReceivingBody,
    /// Requests are being answered.
    Answering,
    /// All requests are answered, and no further one has begun.
    Idle,
    /// The last answer is written, and what the caller still sends is discarded.
    Closing,
    /// It gives way to another one.
    Evicted,
}

/// Longest times for which a caller may leave a connection in a stage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionTimes {
    /// From the first byte of a request's head to the last.
    pub head: Duration,
    /// Without a request.
    pub idle: Duration,
}

impl ConnectionTimes {
    /// The longer time of each kind.
    pub fn longer(self, other: Self) -> Self {
        Self {
            head: self.head.max(other.head),
            idle: self.idle.max(other.idle),
        }
    }
}

/// The open connections of callers.
///
/// Callers may open connections without end and leave them idle, or in the middle of a request. If they used
/// up the descriptors or the memory, no other caller could be served. So a new connection takes the place of
/// one whose end costs its caller least: one that is being closed, one whose request has been arriving for too
/// long, the one that has been idle for longest, and last the one whose request has been arriving for longest.
/// None gives way while a request is being answered.
#[derive(Clone, Debug)]
pub struct ConnectionTable {
    limit_count: usize,
    last_id: ConnectionId,
    connections: HashMap<ConnectionId, HeldConnection>,
    /// Connections that may give way, those in the same order of eviction by the time of their stage.
    evictable: BTreeSet<(EvictionOrder, Duration, ConnectionId)>,
    evicted_count: usize,
}

#[derive(Clone, Copy, Debug)]
struct HeldConnection {
    stage: ConnectionStage,
    since: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionOrder {
    Closing,
    Receiving,
    Idle,
}

impl HeldConnection {
    fn eviction_order(self) -> Option<EvictionOrder> {
        match self.stage {
            ConnectionStage::Closing => Some(EvictionOrder::Closing),
            ConnectionStage::New
            | ConnectionStage::ReceivingHead
            | ConnectionStage::ReceivingBody => Some(EvictionOrder::Receiving),
            ConnectionStage::Idle => Some(EvictionOrder::Idle),
            ConnectionStage::Answering | ConnectionStage::Evicted => None,
        }
    }

    /// Whether its caller has left it in its stage for too long.
    fn is_overdue(self, now: Duration, times: ConnectionTimes) -> bool {
        let limit = match self.stage {
            ConnectionStage::ReceivingHead => times.head,
            ConnectionStage::New | ConnectionStage::Idle => times.idle,
            // Their requests have deadlines of their own.
            ConnectionStage::ReceivingBody
            | ConnectionStage::Answering
            | ConnectionStage::Closing
            | ConnectionStage::Evicted => return false,
        };
        now.saturating_sub(self.since) > limit
    }
}

impl ConnectionTable {
    /// Creates the table of a node with this many descriptors.
    pub fn new(descriptors_count: usize) -> Self {
        Self {
            limit_count: (descriptors_count as f64 * CONNECTIONS_RATIO) as usize,
            last_id: 0,
            connections: HashMap::new(),
            evictable: BTreeSet::new(),
            evicted_count: 0,
        }
    }

    /// Whether the descriptors suffice for another connection.
    pub fn has_room(&self) -> bool {
        self.connections.len() < self.limit_count
    }

    /// Adds a connection.
    pub fn add(&mut self, now: Duration) -> ConnectionId {
        self.last_id += 1;
        let connection = HeldConnection {
            stage: ConnectionStage::New,
            since: now,
        };
        self.insert(self.last_id, connection);
        self.last_id
    }

    /// A connection has come to a stage. An evicted one stays so.
    pub fn enter(&mut self, id: ConnectionId, stage: ConnectionStage, now: Duration) {
        let Some(connection) = self.connections.get(&id).copied() else {
            return;
        };
        if connection.stage == stage || connection.stage == ConnectionStage::Evicted {
            return;
        }
        self.remove(id);
        self.insert(id, HeldConnection { stage, since: now });
    }

    /// Removes a connection that has ended.
    pub fn remove(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(order) = connection.eviction_order() {
            self.evictable.remove(&(order, connection.since, id));
        }
        if connection.stage == ConnectionStage::Evicted {
            self.evicted_count -= 1;
        }
    }

    /// Chooses a connection that gives way; `None` if all of them have to be kept.
    pub fn evict(&mut self, now: Duration) -> Option<ConnectionId> {
        let first = self.evictable.first().copied()?;
        let (order, since, _) = first;
        let is_kept_for_now = order == EvictionOrder::Receiving && now < since + RECEIVING_TIME;
        let idle = || {
            let from = (EvictionOrder::Idle, Duration::ZERO, 0);
            self.evictable.range(from..).next().copied()
        };
        let chosen = if is_kept_for_now { idle() } else { None };
        let (_, _, id) = chosen.unwrap_or(first);
        self.enter(id, ConnectionStage::Evicted, now);
        Some(id)
    }

    /// Evicts the connections that their callers have left in a stage for too long.
    pub fn evict_overdue(&mut self, now: Duration, times: ConnectionTimes) -> Vec<ConnectionId> {
        let overdue = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.is_overdue(now, times));
        let overdue: Vec<_> = overdue.map(|(id, _)| *id).collect();
        for id in &overdue {
            self.enter(*id, ConnectionStage::Evicted, now);
        }
        overdue
    }

    /// Number of open connections, with those that give way.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Number of connections that give way and haven't ended yet.
    pub fn evicted_count(&self) -> usize {
        self.evicted_count
    }

    fn insert(&mut self, id: ConnectionId, connection: HeldConnection) {
        if let Some(order) = connection.eviction_order() {
            self.evictable.insert((order, connection.since, id));
        }
        if connection.stage == ConnectionStage::Evicted {
            self.evicted_count += 1;
        }
        self.connections.insert(id, connection);
    }
}
