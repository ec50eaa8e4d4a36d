//! Selects the nodes to which quotas are lent.

use std::net::SocketAddr;

use kumquatquay_wire::{
    MemberRecord, MemberState,
    routed::{HALVES_COUNT, SLICES_COUNT, SliceSets},
};

/// Number of nodes per borrower of a half.
const NODES_PER_BORROWER: usize = 64;

/// Largest fleet in which all data centres share the borrowers of the second half. In a larger
/// fleet those borrowers would need links to thousands of nodes, and each data centre has so many
/// nodes that the load there evens out.
const SHARED_NODES_LIMIT_COUNT: usize = 256;

/// Half whose borrowers are shared by all data centres in a small fleet.
const SHARED_HALF: usize = 1;

/// The borrowers of quotas, selected from the members that one node sees.
///
/// The first half of what a node owns is lent to a borrower in its data centre, which is asked for
/// tokens first. The second half is lent to a borrower shared by all data centres, which has tokens
/// for data centres that need more than their nodes own. A data centre that is cut off selects
/// borrowers among its own nodes.
///
/// Borrowers are selected by rank, without an election. Two nodes may select different borrowers
/// for a while, but each lends its part only once.
///
/// Ranks are recomputed only when the members have changed: each rank takes a hash, and every
/// node, idle or not, refreshes them a few times a second.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Borrowers {
    members: Vec<Candidate>,
    ranked: [Vec<Borrower>; HALVES_COUNT],
}

/// A member that may become a borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    borrower: Borrower,
    /// Whether it is in the data centre of this node.
    is_local: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Borrower {
    control: SocketAddr,
    /// Address at which it accepts calls.
    peer: SocketAddr,
}

impl Borrowers {
    /// Selects the borrowers from the members that a node of a data centre sees.
    pub fn from_members<'a>(
        data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut borrowers = Self::default();
        borrowers.refresh(data_centre, members);
        borrowers
    }

    /// Selects the borrowers again if the members have changed. Returns whether they have.
    pub fn refresh<'a>(
        &mut self,
        data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> bool {
        let live = members.filter(|member| is_live(member));
        let live = live.map(|member| Candidate {
            borrower: Borrower {
                control: member.control,
                peer: member.peer,
            },
            is_local: member.data_centre == data_centre,
        });
        let live: Vec<Candidate> = live.collect();
        if live == self.members {
            return false;
        }
        let is_shared = live.len() <= SHARED_NODES_LIMIT_COUNT;
        let local = live.iter().filter(|member| member.is_local);
        let second = live.iter().filter(|member| is_shared || member.is_local);
        self.ranked = [ranked(local, 0), ranked(second, SHARED_HALF)];
        self.members = live;
        true
    }

    /// Address at which the borrower of a half and slice accepts calls.
    pub fn borrower(&self, half: usize, slice: usize) -> Option<SocketAddr> {
        self.ranked_for(half, slice).map(|borrower| borrower.peer)
    }

    /// Halves and slices whose borrower is a node.
    pub fn borrowed_by(&self, control: SocketAddr) -> SliceSets {
        let mut borrowed = SliceSets::default();
        for half in 0..HALVES_COUNT {
            for slice in 0..SLICES_COUNT {
                let borrower = self.ranked_for(half, slice);
                if borrower.is_some_and(|borrower| borrower.control == control) {
                    borrowed.add(half, slice);
                }
            }
        }
        borrowed
    }

    /// What a borrower requests from another node, which is in its data centre if `is_local`.
    pub fn requested_from(wanted: SliceSets, is_local: bool) -> SliceSets {
        if is_local {
            wanted
        } else {
            wanted.of_half(SHARED_HALF)
        }
    }

    fn ranked_for(&self, half: usize, slice: usize) -> Option<Borrower> {
        let ranked = &self.ranked[half];
        let index = slice.checked_rem(ranked.len())?;
        Some(ranked[index])
    }
}

fn is_live(member: &MemberRecord) -> bool {
    let is_active = !matches!(member.state, MemberState::Gone | MemberState::Draining);
    is_active && !member.is_suspect
}

fn ranked<'a>(members: impl Iterator<Item = &'a Candidate>, half: usize) -> Vec<Borrower> {
    let ranked = members.map(|member| (rank(member.borrower.control, half), member.borrower));
    let mut ranked: Vec<([u8; 8], Borrower)> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let borrowers_count = (ranked.len() / NODES_PER_BORROWER).clamp(1, SLICES_COUNT);
    ranked.truncate(borrowers_count);
    ranked.into_iter().map(|(_, borrower)| borrower).collect()
}

/// Rank of a node, which differs between the halves, so that few nodes borrow both.
fn rank(control: SocketAddr, half: usize) -> [u8; 8] {
    let hash = blake3::hash(control.to_string().as_bytes());
    let from = 16 + 8 * half;
    hash.as_bytes()[from..from + 8]
        .try_into()
        .expect("a BLAKE3 hash has 32 bytes")
}
