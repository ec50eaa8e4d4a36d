//! Slices of the workspaces, in which quotas are lent.

use kumquatquay_wire::routed::{HALVES_COUNT, SLICES_COUNT, SliceSets};

/// Slice of a workspace; the same on each node.
pub fn slice_of(workspace: &str) -> usize {
    let hash = blake3::hash(workspace.as_bytes());
    usize::from(hash.as_bytes()[0]) % SLICES_COUNT
}

/// Share of a node's part of a quota that these sets contain, for the workspaces of a slice.
pub(super) fn share_of(sets: SliceSets, slice: usize) -> f64 {
    let halves = (0..HALVES_COUNT).filter(|half| sets.has(*half, slice));
    halves.count() as f64 / HALVES_COUNT as f64
}
