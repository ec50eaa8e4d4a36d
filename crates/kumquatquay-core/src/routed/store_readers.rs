//! Which nodes follow the store for all.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use kumquatquay_wire::{DataCentreName, MemberRecord, MemberState};

/// Nodes of each data centre that follow the store. One may be gone, or turned away by the
/// store, without anybody noticing.
const READERS_COUNT: usize = 2;

/// Whether a node follows the store, and how many do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReaders {
    /// Whether this node is one of them.
    pub is_reader: bool,
    /// Those of all data centres.
    pub count: usize,
}

impl Default for StoreReaders {
    /// A node that knows nobody is the only one.
    fn default() -> Self {
        Self {
            is_reader: true,
            count: 1,
        }
    }
}

impl StoreReaders {
    /// Finds the readers by rank: in each data centre those whose addresses have the highest
    /// hash. It needs no election, since two nodes that see other members both read, or the
    /// others notice that nobody tells them anything.
    pub fn select<'a>(
        own: SocketAddr,
        own_data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut live_counts: BTreeMap<&DataCentreName, usize> = BTreeMap::new();
        let own_rank = rank(own);
        let mut higher_count = 0;
        for member in members.filter(|member| is_live(member)) {
            *live_counts.entry(&member.data_centre).or_default() += 1;
            let is_near = member.data_centre == own_data_centre;
            if is_near && member.control != own && rank(member.control) > own_rank {
                higher_count += 1;
            }
        }
        let counts = live_counts.values().map(|count| READERS_COUNT.min(*count));
        Self {
            is_reader: higher_count < READERS_COUNT,
            count: counts.sum::<usize>().max(1),
        }
    }

    /// The readers of a data centre.
    pub fn in_data_centre<'a>(
        data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Vec<&'a MemberRecord> {
        let near = members.filter(|member| is_live(member) && member.data_centre == data_centre);
        let mut near: Vec<&MemberRecord> = near.collect();
        near.sort_by_key(|member| Reverse(rank(member.control)));
        near.truncate(READERS_COUNT);
        near
    }
}

fn is_live(member: &MemberRecord) -> bool {
    let is_there = !matches!(member.state, MemberState::Gone | MemberState::Draining);
    is_there && !member.is_suspect
}

fn rank(control: SocketAddr) -> [u8; 8] {
    let hash = blake3::hash(control.to_string().as_bytes());
    hash.as_bytes()[8..16]
        .try_into()
        .expect("a BLAKE3 hash has 32 bytes")
}
