//! Ranks of a node, by which nodes share duties without coordination.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::MemberState;

use crate::{Blackboard, Moment};

/// Number of nodes in each data centre that follow the log.
///
/// Two of them may be partitioned or dead without the membership's knowledge while the third still
/// reads. Twenty data centres keep 60 long polls open at the log; one per node would be 5,100.
const FOLLOWERS_COUNT: usize = 3;

/// Time between updates of the ranks.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// Ranks of a node by rendezvous hashing over the members that are believed alive.
///
/// There is no consensus: a node with a wrong view of the members may perform a duty that another
/// node performs, too, which is harmless. A node that is partitioned from all others has rank 0
/// and follows the log itself.
#[derive(Debug, Default)]
pub(crate) struct Ranks {
    /// Rank among the members of the data centre, from 0.
    pub(super) rank_in_data_centre: usize,
    /// Rank among all members, from 0.
    pub(super) overall_rank: usize,
    refresh_at: Duration,
}

impl Ranks {
    /// Whether this node is one of the followers of the log in its data centre.
    pub(super) fn is_follower(&self) -> bool {
        self.rank_in_data_centre < FOLLOWERS_COUNT
    }
}

/// Updates the ranks if [`REFRESH_INTERVAL`] has passed.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment) {
    if now.monotonic < board.configuration.ranks.refresh_at {
        return;
    }
    let own = board.members.own();
    let own_weight = weight(own.control);
    let mut overall_rank = 0;
    let mut rank_in_data_centre = 0;
    for member in board.members.iter() {
        let is_alive = member.state != MemberState::Gone && !member.is_suspect;
        if is_alive && weight(member.control) > own_weight {
            overall_rank += 1;
            rank_in_data_centre += usize::from(member.data_centre == own.data_centre);
        }
    }
    board.configuration.ranks = Ranks {
        rank_in_data_centre,
        overall_rank,
        refresh_at: now.monotonic + REFRESH_INTERVAL,
    };
}

/// The rendezvous weight of a node: a hash of its address, which spreads duties evenly over the
/// hosts.
fn weight(control: SocketAddr) -> (u64, SocketAddr) {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let step = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    let hash = match control.ip() {
        std::net::IpAddr::V4(ip) => ip.octets().into_iter().fold(OFFSET_BASIS, step),
        std::net::IpAddr::V6(ip) => ip.octets().into_iter().fold(OFFSET_BASIS, step),
    };
    let hash = control.port().to_be_bytes().into_iter().fold(hash, step);
    (hash.rotate_left(32).wrapping_mul(PRIME), control)
}
