//! Priority queue of the gate.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::Importance;

use super::Work;
use crate::WorkId;

/// Position in the queue: by descending importance, then in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct GateQueueKey {
    importance: Reverse<Importance>,
    sequence_number: u64,
}

/// Priority queue of the work that waits at the gate, the most important first.
#[derive(Debug, Default)]
pub(crate) struct GateQueue {
    by_key: BTreeMap<GateQueueKey, (WorkId, Work)>,
    keys: HashMap<WorkId, GateQueueKey>,
    last_sequence_number: u64,
}

impl GateQueue {
    pub(crate) fn len(&self) -> usize {
        self.by_key.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Adds work. If `is_ordered` is false, importance is ignored and the queue is FIFO.
    pub(crate) fn push(&mut self, id: WorkId, work: Work, is_ordered: bool) {
        self.last_sequence_number += 1;
        let importance = match is_ordered {
            true => work.importance(),
            false => Importance::LEAST,
        };
        let key = GateQueueKey {
            importance: Reverse(importance),
            sequence_number: self.last_sequence_number,
        };
        self.keys.insert(id, key);
        self.by_key.insert(key, (id, work));
    }

    /// Removes the most important work, of equals the oldest.
    pub(crate) fn pop(&mut self) -> Option<(WorkId, Work)> {
        let (_, (id, work)) = self.by_key.pop_first()?;
        self.keys.remove(&id);
        Some((id, work))
    }

    /// Removes the least important work, of equals the newest.
    pub(crate) fn pop_least_important(&mut self) -> Option<(WorkId, Work)> {
        let (_, (id, work)) = self.by_key.pop_last()?;
        self.keys.remove(&id);
        Some((id, work))
    }

    /// Removes the work with the given id, if it is queued.
    pub(crate) fn remove(&mut self, id: WorkId) -> Option<Work> {
        let key = self.keys.remove(&id)?;
        let (_, work) = self.by_key.remove(&key)?;
        Some(work)
    }

    /// Removes all work whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Duration) -> Vec<(WorkId, Work)> {
        let expired = self
            .by_key
            .values()
            .filter(|(_, work)| work.is_expired(now))
            .map(|(id, _)| *id);
        let expired: Vec<_> = expired.collect();
        let take = |id| Some((id, self.remove(id)?));
        expired.into_iter().filter_map(take).collect()
    }

    /// Removes all work, the most important first.
    pub(crate) fn withdraw_all(&mut self) -> Vec<(WorkId, Work)> {
        self.keys.clear();
        std::mem::take(&mut self.by_key).into_values().collect()
    }
}
