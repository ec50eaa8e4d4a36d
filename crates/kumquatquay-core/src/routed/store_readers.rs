//! Selects the nodes that read the store on behalf of all.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr};

use kumquatquay_wire::{DataCentreName, MemberRecord, MemberState};

/// Readers in each data centre. There are two because one may be down, or rejected by the store,
/// without being noticed.
const READERS_PER_DATA_CENTRE_COUNT: usize = 2;

/// Whether a node reads the store on behalf of all, and how many nodes do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreReaders {
    /// Whether this node is a reader.
    pub is_reader: bool,
    /// Readers in all data centres.
    pub count: usize,
}

impl Default for StoreReaders {
    /// A node that knows no other node is the only reader.
    fn default() -> Self {
        Self {
            is_reader: true,
            count: 1,
        }
    }
}

impl StoreReaders {
    /// Selects the readers by rank: in each data centre, the nodes whose addresses have the highest
    /// hashes.
    ///
    /// This needs no election. If nodes know different members, more nodes than necessary read, or
    /// the others notice that they get no reports.
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
            let is_local = member.data_centre == own_data_centre;
            if is_local && member.control != own && rank(member.control) > own_rank {
                higher_count += 1;
            }
        }
        let counts = live_counts
            .values()
            .map(|count| READERS_PER_DATA_CENTRE_COUNT.min(*count));
        Self {
            is_reader: higher_count < READERS_PER_DATA_CENTRE_COUNT,
            count: counts.sum::<usize>().max(1),
        }
    }

    /// The readers of a data centre.
    pub fn in_data_centre<'a>(
        data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Vec<&'a MemberRecord> {
        let local = members.filter(|member| is_live(member) && member.data_centre == data_centre);
        let mut local: Vec<&MemberRecord> = local.collect();
        local.sort_by_key(|member| Reverse(rank(member.control)));
        local.truncate(READERS_PER_DATA_CENTRE_COUNT);
        local
    }
}

fn is_live(member: &MemberRecord) -> bool {
    let is_active = !matches!(member.state, MemberState::Gone | MemberState::Draining);
    is_active && !member.is_suspect
}

fn rank(control: SocketAddr) -> [u8; 8] {
    let hash = blake3::hash(control.to_string().as_bytes());
    hash.as_bytes()[8..16]
        .try_into()
        .expect("a BLAKE3 hash has 32 bytes")
}
