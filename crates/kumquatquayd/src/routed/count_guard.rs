//! A count of what is under way.

use std::cell::Cell;

/// One of the things that are counted, for as long as it lives.
pub(crate) struct CountGuard<'a> {
    count: &'a Cell<usize>,
}

impl<'a> CountGuard<'a> {
    /// Counts one more.
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
