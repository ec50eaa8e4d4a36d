//! Which nodes keep quotas.

use std::net::SocketAddr;

use kumquatquay_wire::{
    MemberRecord, MemberState,
    routed::{HALVES_COUNT, SLICES_COUNT, SliceSets},
};

/// Nodes for each borrower of a half.
const NODES_PER_BORROWER: usize = 64;

/// Nodes up to which the second half of what each owns is kept for all data centres together. In
/// a larger fleet its borrowers would need links to thousands of nodes, and each data centre has so
/// many that what comes in there evens out.
const SHARED_NODES_LIMIT_COUNT: usize = 256;

/// The half that is kept for all data centres together where there are few nodes.
const SHARED_HALF: usize = 1;

/// The borrowers of quotas, as one node sees the members.
///
/// The first half of what a node owns goes to a borrower of its data centre, which is asked first;
/// the second one to a borrower of all, who has tokens for data centres that need more than their
/// nodes own. A data centre that is cut off finds borrowers among its own nodes.
///
/// They are found by rank, without an election: two nodes may name other borrowers for a while,
/// and what each lends counts once all the same.
///
/// Ranks are worked out anew only when the members have changed: each takes a hash, and they are
/// looked at a few times a second on every node, idle or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Borrowers {
    members: Vec<Candidate>,
    ranked: [Vec<Borrower>; HALVES_COUNT],
}

/// A member that may keep quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    borrower: Borrower,
    /// Whether it is of the own data centre.
    is_near: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Borrower {
    control: SocketAddr,
    /// Where it takes calls.
    peer: SocketAddr,
}

impl Borrowers {
    /// Ranks the members, as a node of a data centre sees them.
    pub fn from_members<'a>(
        data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> Self {
        let mut borrowers = Self::default();
        borrowers.refresh(data_centre, members);
        borrowers
    }

    /// Ranks the members as they are now; whether anything has changed.
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
            is_near: member.data_centre == data_centre,
        });
        let live: Vec<Candidate> = live.collect();
        if live == self.members {
            return false;
        }
        let is_shared = live.len() <= SHARED_NODES_LIMIT_COUNT;
        let near = live.iter().filter(|member| member.is_near);
        let second = live.iter().filter(|member| is_shared || member.is_near);
        self.ranked = [ranked(near, 0), ranked(second, SHARED_HALF)];
        self.members = live;
        true
    }

    /// Where the borrower of a half and slice takes calls.
    pub fn borrower(&self, half: usize, slice: usize) -> Option<SocketAddr> {
        self.ranked_for(half, slice).map(|borrower| borrower.peer)
    }

    /// What a node keeps.
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

    /// What a node that keeps this much asks another one to lend.
    pub fn requested_from(wanted: SliceSets, is_near: bool) -> SliceSets {
        if is_near {
            wanted
        } else {
            wanted.of_half(SHARED_HALF)
        }
    }

    fn ranked_for(&self, half: usize, slice: usize) -> Option<Borrower> {
        let ranked = &self.ranked[half];
        let place = slice.checked_rem(ranked.len())?;
        Some(ranked[place])
    }
}

fn is_live(member: &MemberRecord) -> bool {
    let is_live = !matches!(member.state, MemberState::Gone | MemberState::Draining);
    is_live && !member.is_suspect
}

fn ranked<'a>(members: impl Iterator<Item = &'a Candidate>, half: usize) -> Vec<Borrower> {
    let ranked = members.map(|member| (rank(member.borrower.control, half), member.borrower));
    let mut ranked: Vec<([u8; 8], Borrower)> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let borrowers_count = (ranked.len() / NODES_PER_BORROWER).clamp(1, SLICES_COUNT);
    ranked.truncate(borrowers_count);
    ranked.into_iter().map(|(_, borrower)| borrower).collect()
}

/// Ranks of each half are other ones, so that a node mostly keeps one of them.
fn rank(control: SocketAddr, half: usize) -> [u8; 8] {
    let hash = blake3::hash(control.to_string().as_bytes());
    let from = 16 + 8 * half;
    hash.as_bytes()[from..from + 8]
        .try_into()
        .expect("a BLAKE3 hash has 32 bytes")
}
