//! Counts the memory that a node spends on others for as long as it is held.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use kumquatquay_core::routed::{BodyId, BodyKind, Growth, MemoryBudget};
use tokio::sync::Notify;

use crate::clock::SystemClock;

/// The memory that all bodies and callers' connections of a node share.
///
/// All of it is used from one thread. It can be sent to others since what is held of a body is released
/// where its last [`Bytes`] are dropped.
#[derive(Clone, Debug)]
pub(crate) struct NodeMemory(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    clock: SystemClock,
    budget: MemoryBudget,
    /// Readers of bodies, which are notified when they have to give up.
    readers: HashMap<BodyId, Arc<Notify>>,
    most_held_bytes: usize,
}

impl NodeMemory {
    pub(crate) fn new(memory_bytes: usize, clock: SystemClock) -> Self {
        Self(Arc::new(Mutex::new(State {
            clock,
            budget: MemoryBudget::new(memory_bytes),
            readers: HashMap::new(),
            most_held_bytes: 0,
        })))
    }

    /// Begins to count a body.
    pub(crate) fn lease(&self, kind: BodyKind) -> BodyLease {
        let mut state = self.state();
        let now = state.clock.monotonic();
        let id = state.budget.add(kind, now);
        let given_up = Arc::new(Notify::new());
        state.readers.insert(id, Arc::clone(&given_up));
        BodyLease {
            memory: self.clone(),
            id,
            given_up,
        }
    }

    /// Counts a body of known length, if it may be held. Its reading isn't given up for another one.
    pub(crate) fn lease_whole(&self, kind: BodyKind, bytes: usize) -> Option<BodyLease> {
        let lease = self.lease(kind);
        let is_granted = lease.grow(bytes);
        self.state().budget.on_whole(lease.id);
        is_granted.then_some(lease)
    }

    /// [`NodeMemory::lease_whole`], for what can be done without: nothing while memory gets short.
    pub(crate) fn lease_extra(&self, kind: BodyKind, bytes: usize) -> Option<BodyLease> {
        let has_plenty = self.state().budget.has_plenty();
        let lease = has_plenty.then(|| self.lease_whole(kind, bytes));
        lease.flatten()
    }

    /// Counts another connection of a caller until the lease is dropped, if it may be held.
    pub(crate) fn lease_connection(&self) -> Option<ConnectionLease> {
        let is_granted = self.state().budget.add_connection();
        is_granted.then(|| ConnectionLease {
            memory: self.clone(),
        })
    }

    /// Bytes that callers' connections are counted for.
    pub(crate) fn connections_bytes(&self) -> usize {
        self.state().budget.connections_bytes()
    }

    /// Bytes of bodies that are held.
    pub(crate) fn held_bytes(&self) -> usize {
        self.state().budget.held_bytes()
    }

    /// Most bytes that were held at a time.
    pub(crate) fn most_held_bytes(&self) -> usize {
        self.state().most_held_bytes
    }

    fn state(&self) -> MutexGuard<'_, State> {
        // A panic in another task leaves the counts as they are.
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Counts one connection of a caller until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionLease {
    memory: NodeMemory,
}

impl Drop for ConnectionLease {
    fn drop(&mut self) {
        self.memory.state().budget.remove_connection();
    }
}

/// Counts one body until it is dropped.
#[derive(Debug)]
pub(crate) struct BodyLease {
    memory: NodeMemory,
    id: BodyId,
    given_up: Arc<Notify>,
}

impl BodyLease {
    /// Counts more bytes, before they are allocated. Returns whether they may be held.
    pub(crate) fn grow(&self, bytes: usize) -> bool {
        let mut state = self.memory.state();
        let now = state.clock.monotonic();
        let growth = state.budget.grow(self.id, bytes, now);
        if let Growth::GrantedInPlaceOf(other) = growth
            && let Some(reader) = state.readers.get(&other)
        {
            reader.notify_one();
        }
        state.most_held_bytes = state.most_held_bytes.max(state.budget.held_bytes());
        growth != Growth::Refused
    }

    /// Completes once the reading of the body has to be given up for another one.
    pub(crate) async fn given_up(&self) {
        self.given_up.notified().await;
    }

    /// The body is whole; returns bytes that count until the last of them is dropped.
    pub(crate) fn into_bytes<B>(self, body: B) -> Bytes
    where
        B: AsRef<[u8]> + Send + 'static,
    {
        let mut state = self.memory.state();
        state.budget.on_whole(self.id);
        state.readers.remove(&self.id);
        drop(state);
        Bytes::from_owner(LeasedBody { body, _lease: self })
    }
}

impl Drop for BodyLease {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.remove(self.id);
        state.readers.remove(&self.id);
    }
}

/// A whole body with its lease.
struct LeasedBody<B> {
    body: B,
    _lease: BodyLease,
}

impl<B: AsRef<[u8]>> AsRef<[u8]> for LeasedBody<B> {
    fn as_ref(&self) -> &[u8] {
        self.body.as_ref()
    }
}
