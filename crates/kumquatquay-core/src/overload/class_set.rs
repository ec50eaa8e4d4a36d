//! A set of classes.

use kumquatquay_wire::Class;

/// Bits in one word of the set.
const WORD_BITS: usize = 64;

/// A set of classes, as a bit set.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClassSet([u64; 4]);

impl ClassSet {
    pub(crate) fn insert(&mut self, class: Class) {
        let class = usize::from(class);
        self.0[class / WORD_BITS] |= 1 << (class % WORD_BITS);
    }

    fn contains(self, class: Class) -> bool {
        let class = usize::from(class);
        self.0[class / WORD_BITS] & (1 << (class % WORD_BITS)) != 0
    }

    /// Returns the greatest class in the set that is below `class`.
    pub(crate) fn next_below(self, class: Class) -> Option<Class> {
        (0..class).rev().find(|lower| self.contains(*lower))
    }
}
