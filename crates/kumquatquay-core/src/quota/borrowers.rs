//! Which nodes keep quotas.

use std::net::SocketAddr;

use kumquatquay_wire::{
    MemberRecord, MemberState,
    routed::{HALVES_COUNT, SLICES_COUNT, SliceSets},
};

/// Nodes for each keeper of a half.
const NODES_PER_KEEPER: usize = 64;

/// Nodes up to which the second half of what each owns is kept for all data centres together. In
/// a larger fleet its keepers would need links to thousands of nodes, and each data centre has so
/// many that what comes in there evens out.
const TOGETHER_LIMIT_COUNT: usize = 256;

/// The half that is kept for all data centres together where there are few nodes.
const TOGETHER_HALF: usize = 1;

/// The keepers of quotas, as one node sees the members.
///
/// The first half of what a node owns goes to a keeper of its data centre, which is asked first;
/// the second one to a keeper of all, who has tokens for data centres that need more than their
/// nodes own. A data centre that is cut off finds keepers among its own nodes.
///
/// They are found by rank, without an election: two nodes may name other keepers for a while,
/// and what each lends counts once all the same.
///
/// Ranks are worked out anew only when the members have changed: each takes a hash, and they are
/// looked at a few times a second on every node, idle or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Borrowers {
    members: Vec<Candidate>,
    ranked: [Vec<Keeper>; HALVES_COUNT],
}

/// A member that may keep quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Candidate {
    keeper: Keeper,
    /// Whether it is of the own data centre.
    is_near: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Keeper {
    control: SocketAddr,
    /// Where it takes calls.
    peer: SocketAddr,
}

impl Borrowers {
    /// Ranks the members, as a node of a data centre sees them.
    pub fn among<'a>(data_centre: &str, members: impl Iterator<Item = &'a MemberRecord>) -> Self {
        let mut keepers = Self::default();
        keepers.refresh(data_centre, members);
        keepers
    }

    /// Ranks the members as they are now; whether anything has changed.
    pub fn refresh<'a>(
        &mut self,
        data_centre: &str,
        members: impl Iterator<Item = &'a MemberRecord>,
    ) -> bool {
        let there = members.filter(|member| is_there(member));
        let there = there.map(|member| Candidate {
            keeper: Keeper {
                control: member.control,
                peer: member.peer,
            },
            is_near: member.data_centre == data_centre,
        });
        let there: Vec<Candidate> = there.collect();
        if there == self.members {
            return false;
        }
        let is_together = there.len() <= TOGETHER_LIMIT_COUNT;
        let near = there.iter().filter(|member| member.is_near);
        let second = there.iter().filter(|member| is_together || member.is_near);
        self.ranked = [ranked(near, 0), ranked(second, TOGETHER_HALF)];
        self.members = there;
        true
    }

    /// Where the keeper of a half and slice takes calls.
    pub fn keeper(&self, half: usize, slice: usize) -> Option<SocketAddr> {
        self.ranked_for(half, slice).map(|keeper| keeper.peer)
    }

    /// What a node keeps.
    pub fn kept_by(&self, control: SocketAddr) -> SliceSets {
        let mut kept = SliceSets::default();
        for half in 0..HALVES_COUNT {
            for slice in 0..SLICES_COUNT {
                let keeper = self.ranked_for(half, slice);
                if keeper.is_some_and(|keeper| keeper.control == control) {
                    kept.add(half, slice);
                }
            }
        }
        kept
    }

    /// What a node that keeps this much asks another one to lend.
    pub fn asked_of(kept: SliceSets, is_near: bool) -> SliceSets {
        if is_near {
            kept
        } else {
            kept.of_half(TOGETHER_HALF)
        }
    }

    fn ranked_for(&self, half: usize, slice: usize) -> Option<Keeper> {
        let ranked = &self.ranked[half];
        let place = slice.checked_rem(ranked.len())?;
        Some(ranked[place])
    }
}

fn is_there(member: &MemberRecord) -> bool {
    let is_there = !matches!(member.state, MemberState::Gone | MemberState::Draining);
    is_there && !member.is_suspect
}

fn ranked<'a>(members: impl Iterator<Item = &'a Candidate>, half: usize) -> Vec<Keeper> {
    let ranked = members.map(|member| (rank(member.keeper.control, half), member.keeper));
    let mut ranked: Vec<([u8; 8], Keeper)> = ranked.collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let keepers_count = (ranked.len() / NODES_PER_KEEPER).clamp(1, SLICES_COUNT);
    ranked.truncate(keepers_count);
    ranked.into_iter().map(|(_, keeper)| keeper).collect()
}

/// Ranks of each half are other ones, so that a node mostly keeps one of them.
fn rank(control: SocketAddr, half: usize) -> [u8; 8] {
    let hash = blake3::hash(control.to_string().as_bytes());
    let from = 16 + 8 * half;
    hash.as_bytes()[from..from + 8]
        .try_into()
        .expect("a BLAKE3 hash has 32 bytes")
}
