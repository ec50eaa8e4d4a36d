//! A guard that counts operations in progress.

use std::cell::Cell;

/// Counts as one in a counter until it is dropped.
pub(crate) struct CountGuard<'a> {
    count: &'a Cell<usize>,
}

impl<'a> CountGuard<'a> {
    /// Increments the counter.
    pub(crate) fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get() - 1);
    }
}
