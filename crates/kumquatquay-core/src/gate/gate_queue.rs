//! Work that waits at the gate, the most important first.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::Importance;

use super::Work;
use crate::WorkId;

/// Order in the queue: the most important first, then the one that came first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GateQueueKey {
    importance: Reverse<Importance>,
    number: u64,
}

/// Work that waits at the gate, the most important first.
#[derive(Debug, Default)]
pub(crate) struct GateQueue {
    waiting: BTreeMap<GateQueueKey, (WorkId, Work)>,
    places: HashMap<WorkId, GateQueueKey>,
    last_number: u64,
}

impl GateQueue {
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds work; `is_ordered` is false where all work ranks the same.
    pub(crate) fn push(&mut self, id: WorkId, work: Work, is_ordered: bool) {
        self.last_number += 1;
        let importance = match is_ordered {
            true => work.importance(),
            false => Importance::LEAST,
        };
        let place = GateQueueKey {
            importance: Reverse(importance),
            number: self.last_number,
        };
        self.places.insert(id, place);
        self.waiting.insert(place, (id, work));
    }

    /// Takes out the most important work.
    pub(crate) fn pop(&mut self) -> Option<(WorkId, Work)> {
        let (_, (id, work)) = self.waiting.pop_first()?;
        self.places.remove(&id);
        Some((id, work))
    }

    /// Takes out the least important work, of several the one that came last.
    pub(crate) fn pop_least_important(&mut self) -> Option<(WorkId, Work)> {
        let (_, (id, work)) = self.waiting.pop_last()?;
        self.places.remove(&id);
        Some((id, work))
    }

    /// Takes out one piece of work.
    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Work> {
        let place = self.places.remove(&id)?;
        let (_, work) = self.waiting.remove(&place)?;
        Some(work)
    }

    /// Takes out all work whose time has run out.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<(WorkId, Work)> {
        let expired = self
            .waiting
            .values()
            .filter(|(_, work)| work.is_expired(now))
            .map(|(id, _)| *id);
        let expired: Vec<_> = expired.collect();
        let take = |id| Some((id, self.remove(id)?));
        expired.into_iter().filter_map(take).collect()
    }

    /// Takes out all work.
    pub(crate) fn withdraw_all(&mut self) -> Vec<(WorkId, Work)> {
        self.places.clear();
        std::mem::take(&mut self.waiting).into_values().collect()
    }
}
