//! What nodes tell each other of quotas.

use serde::{Deserialize, Serialize};

/// Workspaces are put into so many slices; each has keepers of its own where there are many
/// nodes.
pub const SLICES_COUNT: usize = 16;

/// A node lends each half of what it owns to another keeper, so that one that ends takes at most
/// half of it along.
pub const HALVES_COUNT: usize = 2;

/// Slices of each half.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceSets([u16; HALVES_COUNT]);

impl SliceSets {
    /// All that there is.
    pub const ALL: Self = Self([u16::MAX; HALVES_COUNT]);

    /// Whether a slice of a half is in it.
    pub fn has(self, half: usize, slice: usize) -> bool {
        self.0[half] & (1 << slice) != 0
    }

    /// Puts a slice of a half in.
    pub fn add(&mut self, half: usize, slice: usize) {
        self.0[half] |= 1 << slice;
    }

    /// Those of one half alone.
    #[must_use]
    pub fn of_half(self, half: usize) -> Self {
        let mut sets = Self::default();
        sets.0[half] = self.0[half];
        sets
    }

    /// Whether there is nothing in it.
    pub fn is_empty(self) -> bool {
        self.0 == [0; HALVES_COUNT]
    }
}

/// Whether a request is within the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaVerdict {
    /// A token was taken for it.
    Within,
    /// There is none.
    Over {
        /// Time until there is one, in milliseconds, if anything is lent to the keeper.
        wait_ms: Option<u32>,
        /// Part of the quota that is lent to the keeper, in millionths.
        share_millionths: u32,
    },
    /// The keeper knows no quota of that workspace.
    NotKnown,
}
