//! Room for callers' connections.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
    rc::Rc,
    time::Duration,
};

use kumquatquay_core::routed::{ConnectionId, ConnectionStage, ConnectionTable, ConnectionTimes};
use tokio::sync::Notify;

use super::{node::RoutedNode, node_memory::ConnectionLease};

/// Interval at which connections are checked for callers who take too long.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The open connections of callers.
#[derive(Debug)]
pub(crate) struct CallerSlots {
    table: RefCell<ConnectionTable>,
    /// Notified of the eviction of their connections.
    evictions: RefCell<HashMap<ConnectionId, Rc<Notify>>>,
    /// Notified when a connection has ended.
    released: Notify,
    /// Time that the node wasn't running, which no caller is to be blamed for.
    paused: Cell<Duration>,
    /// Longest times that any configuration has allowed. Callers may still go by an earlier one.
    times: Cell<ConnectionTimes>,
}

impl CallerSlots {
    pub(crate) fn new(descriptors_count: usize) -> Self {
        Self {
            table: RefCell::new(ConnectionTable::new(descriptors_count)),
            evictions: RefCell::default(),
            released: Notify::new(),
            paused: Cell::default(),
            times: Cell::default(),
        }
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.table.borrow().count()
    }

    /// Has a connection give way to another one; returns whether one does, or already did.
    fn make_room(&self, now: Duration) -> bool {
        let mut table = self.table.borrow_mut();
        if table.evicted_count() > 0 {
            return true;
        }
        let evicted = table.evict(now);
        self.notify_evicted(evicted);
        evicted.is_some()
    }

    fn notify_evicted(&self, evicted: impl IntoIterator<Item = ConnectionId>) {
        let evictions = self.evictions.borrow();
        for id in evicted {
            if let Some(eviction) = evictions.get(&id) {
                eviction.notify_one();
            }
        }
    }
}

/// Room for one connection of a caller, until it is dropped.
pub(crate) struct CallerSlot {
    node: Rc<RoutedNode>,
    id: ConnectionId,
    evicted: Rc<Notify>,
    _memory: ConnectionLease,
}

impl CallerSlot {
    /// Takes room for a connection, if need be in place of another one; `None` if all connections are
    /// needed.
    pub(crate) async fn take(node: &Rc<RoutedNode>) -> Option<Self> {
        loop {
            if let Some(slot) = Self::take_free(node) {
                return Some(slot);
            }
            let has_made_room = node.caller_slots.make_room(node.caller_time());
            log_shortage(node, has_made_room);
            if !has_made_room {
                node.metrics.count("caller", "turned_away");
                return None;
            }
            node.caller_slots.released.notified().await;
        }
    }

    fn take_free(node: &Rc<RoutedNode>) -> Option<Self> {
        let slots = &node.caller_slots;
        let mut table = slots.table.borrow_mut();
        if !table.has_room() {
            return None;
        }
        let memory = node.memory.lease_connection()?;
        let id = table.add(node.caller_time());
        let evicted = Rc::new(Notify::new());
        let mut evictions = slots.evictions.borrow_mut();
        evictions.insert(id, Rc::clone(&evicted));
        Some(Self {
            node: Rc::clone(node),
            id,
            evicted,
            _memory: memory,
        })
    }

    /// The connection has come to a stage.
    pub(crate) fn enter(&self, stage: ConnectionStage) {
        let now = self.node.caller_time();
        let mut table = self.node.caller_slots.table.borrow_mut();
        table.enter(self.id, stage, now);
    }

    /// Completes once the connection has to be closed.
    pub(crate) async fn evicted(&self) {
        self.evicted.notified().await;
        self.node.metrics.count("caller", "evicted");
    }
}

impl Drop for CallerSlot {
    fn drop(&mut self) {
        let slots = &self.node.caller_slots;
        slots.table.borrow_mut().remove(self.id);
        slots.evictions.borrow_mut().remove(&self.id);
        slots.released.notify_one();
    }
}

fn log_shortage(node: &RoutedNode, has_made_room: bool) {
    if node.metrics.take_log_permit(node.now()) {
        log::warn!(event = "callers_short", connections = node.caller_slots.count(),
            has_made_room = has_made_room;
            "there is no room for another connection of a caller beside the open ones");
    }
}

impl RoutedNode {
    /// Time since the start of the node in which callers had the chance to be read from.
    fn caller_time(&self) -> Duration {
        self.now().saturating_sub(self.caller_slots.paused.get())
    }
}

/// Closes connections that their callers leave idle, or in the middle of a head, for longer than the
/// configuration allows.
pub(crate) async fn evict_overdue_callers(node: Rc<RoutedNode>) {
    loop {
        let slept_at = node.now();
        tokio::time::sleep(CHECK_INTERVAL).await;
        let late = node.now().saturating_sub(slept_at + CHECK_INTERVAL);
        let paused = &node.caller_slots.paused;
        paused.set(paused.get() + late);
        let Some(table) = node.routes() else {
            continue;
        };
        let limits = table.limits();
        let allowed = ConnectionTimes {
            head: limits.head_timeout,
            idle: limits.idle_timeout,
        };
        let slots = &node.caller_slots;
        slots.times.set(slots.times.get().longer(allowed));
        let now = node.caller_time();
        let overdue = slots
            .table
            .borrow_mut()
            .evict_overdue(now, slots.times.get());
        slots.notify_evicted(overdue);
    }
}
