//! Bounded table of the latest refusals of a node.

use std::collections::VecDeque;

use kumquatquay_wire::RefusalRecord;

/// Most refusals in the table; the oldest is evicted first.
const REFUSALS_LIMIT_COUNT: usize = 1_024;

/// The latest refusals of a node, oldest first.
#[derive(Debug, Default)]
pub(crate) struct RefusalTable {
    refusals: VecDeque<RefusalRecord>,
}

impl RefusalTable {
    pub(super) fn push(&mut self, refusal: RefusalRecord) {
        if self.refusals.len() >= REFUSALS_LIMIT_COUNT {
            self.refusals.pop_front();
        }
        self.refusals.push_back(refusal);
    }

    /// Iterates over the refusals, newest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &RefusalRecord> {
        self.refusals.iter().rev()
    }
}
