//! Memory of the operations whose home is this node.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use kumquatquay_wire::Sequence;

use super::operation::{Operation, OperationState};
use crate::StoredAnswer;

/// Maximum number of operations that one node remembers.
pub(crate) const OPERATIONS_LIMIT_COUNT: usize = 65_536;

/// Maximum size of the stored answers of one node.
pub(crate) const ANSWERS_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// How long an operation is remembered after its registration, and how long an issued id is
/// valid.
pub(crate) const OPERATION_LIFETIME: Duration = Duration::from_secs(30 * 60);

/// Operations whose home is this node, by their sequence numbers.
#[derive(Clone, Debug, Default)]
pub(crate) struct OperationMemory {
    operations: BTreeMap<Sequence, Operation>,
    /// Highest number that was evicted: operations up to it that are not in the memory may have
    /// run. Without it an evicted operation would look like one that was never registered, and
    /// would run a second time.
    evicted_through: Sequence,
    last_sequence: Sequence,
    /// Operations with a stored answer, the oldest first.
    answered: VecDeque<Sequence>,
    answers_bytes: usize,
}

impl OperationMemory {
    /// Returns a new sequence number.
    pub(crate) fn next_sequence(&mut self) -> Sequence {
        self.last_sequence += 1;
        self.last_sequence
    }

    pub(crate) fn get(&self, sequence: Sequence) -> Option<&Operation> {
        self.operations.get(&sequence)
    }

    pub(crate) fn get_mut(&mut self, sequence: Sequence) -> Option<&mut Operation> {
        self.operations.get_mut(&sequence)
    }

    pub(crate) fn len(&self) -> usize {
        self.operations.len()
    }

    pub(crate) fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (Sequence, &Operation)> {
        self.operations
            .iter()
            .map(|(sequence, operation)| (*sequence, operation))
    }

    /// Whether a number was issued and never registered, so that its operation has certainly not
    /// run.
    pub(crate) fn is_unregistered(&self, sequence: Sequence) -> bool {
        let is_issued = sequence <= self.last_sequence;
        let is_registered = self.operations.contains_key(&sequence);
        is_issued && !is_registered && sequence > self.evicted_through
    }

    /// Adds an operation; evicts the oldest evictable one if the memory is full.
    ///
    /// Returns whether there was room.
    pub(crate) fn insert(&mut self, sequence: Sequence, operation: Operation) -> bool {
        if self.operations.len() >= OPERATIONS_LIMIT_COUNT && !self.evict_oldest() {
            return false;
        }
        self.operations.insert(sequence, operation);
        true
    }

    /// Records that an operation ran, with its answer.
    ///
    /// Drops the oldest answers while the stored ones exceed [`ANSWERS_LIMIT_BYTES`].
    pub(crate) fn set_ran(&mut self, sequence: Sequence, answer: Option<StoredAnswer>) {
        let Some(operation) = self.operations.get_mut(&sequence) else {
            return;
        };
        operation.state = OperationState::Ran(answer);
        let bytes = operation.answer_bytes();
        if bytes > 0 {
            self.answered.push_back(sequence);
            self.answers_bytes += bytes;
        }
        while self.answers_bytes > ANSWERS_LIMIT_BYTES {
            let Some(oldest) = self.answered.pop_front() else {
                return;
            };
            self.drop_answer(oldest);
        }
    }

    fn drop_answer(&mut self, sequence: Sequence) {
        let Some(operation) = self.operations.get_mut(&sequence) else {
            return;
        };
        let bytes = operation.answer_bytes();
        if bytes > 0 {
            operation.state = OperationState::Ran(None);
            self.answers_bytes -= bytes;
        }
    }

    /// Removes and returns expired operations, oldest first, up to the first that must stay.
    pub(crate) fn expire(&mut self, now: Duration) -> Vec<Operation> {
        let mut expired = Vec::new();
        while let Some(entry) = self.operations.first_entry() {
            let is_due = entry.get().expires <= now && entry.get().is_evictable();
            if !is_due {
                break;
            }
            let sequence = *entry.key();
            expired.extend(self.remove(sequence));
        }
        expired
    }

    fn evict_oldest(&mut self) -> bool {
        let evictable = self
            .operations
            .iter()
            .find(|(_, operation)| operation.is_evictable());
        let Some(sequence) = evictable.map(|(sequence, _)| *sequence) else {
            return false;
        };
        self.remove(sequence).is_some()
    }

    fn remove(&mut self, sequence: Sequence) -> Option<Operation> {
        self.drop_answer(sequence);
        self.evicted_through = self.evicted_through.max(sequence);
        let removed = self.operations.remove(&sequence);
        while let Some(oldest) = self.answered.front() {
            if self.operations.contains_key(oldest) {
                break;
            }
            self.answered.pop_front();
        }
        removed
    }
}
