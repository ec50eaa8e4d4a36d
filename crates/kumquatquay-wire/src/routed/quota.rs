//! Messages about quotas between nodes.

use serde::{Deserialize, Serialize};

/// Number of slices into which workspaces are divided; with many nodes, each slice has
/// borrowers of its own.
pub const SLICES_COUNT: usize = 16;

/// Number of parts of a node's quota that are lent separately.
///
/// Each half is lent to a borrower of its own, so that at most half is lost when a borrower
/// stops.
pub const HALVES_COUNT: usize = 2;

/// A set of slices for each half.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SliceSets([u16; HALVES_COUNT]);

impl SliceSets {
    /// All slices of both halves.
    pub const ALL: Self = Self([u16::MAX; HALVES_COUNT]);

    /// Whether the set of a half contains a slice.
    pub fn has(self, half: usize, slice: usize) -> bool {
        self.0[half] & (1 << slice) != 0
    }

    /// Adds a slice to the set of a half.
    pub fn add(&mut self, half: usize, slice: usize) {
        self.0[half] |= 1 << slice;
    }

    /// Returns only the slices of one half.
    #[must_use]
    pub fn of_half(self, half: usize) -> Self {
        let mut sets = Self::default();
        sets.0[half] = self.0[half];
        sets
    }

    /// Whether both sets are empty.
    pub fn is_empty(self) -> bool {
        self.0 == [0; HALVES_COUNT]
    }
}

/// Whether a request is within the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaVerdict {
    /// Within the quota; a token was taken for the request.
    Within,
    /// Over the quota; no token is available.
    Over {
        /// Time until a token is available, in milliseconds; `None` if nothing is lent to the
        /// borrower.
        wait_ms: Option<u32>,
        /// Share of the quota that is lent to the borrower, in millionths.
        share_millionths: u32,
    },
    /// The borrower knows no quota for that workspace.
    NotKnown,
}
