//! The parts in which a node lends what it owns.

use kumquatquay_wire::routed::{HALVES_COUNT, SLICES_COUNT, SliceSets};

/// The slice of a workspace; the same at each node.
pub fn slice_of(workspace: &str) -> usize {
    let hash = blake3::hash(workspace.as_bytes());
    usize::from(hash.as_bytes()[0]) % SLICES_COUNT
}

/// Part of what a node owns that these are for workspaces of a slice.
pub(super) fn part_of(sets: SliceSets, slice: usize) -> f64 {
    let halves = (0..HALVES_COUNT).filter(|half| sets.has(*half, slice));
    halves.count() as f64 / HALVES_COUNT as f64
}
