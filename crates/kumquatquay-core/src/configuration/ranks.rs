//! A node's place among those that share a duty.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::MemberState;

use crate::{Blackboard, Moment};

/// Nodes of each data centre that follow the log.
///
/// Two may be cut off or gone before membership has noticed; the third still
/// reads. Twenty data centres make 60 long polls on the log, where one a node
/// would make 5,100.
const FOLLOWERS_COUNT: usize = 3;

/// How often the places are worked out anew.
const REFRESH_INTERVAL: Duration = Duration::from_secs(1);

/// A node's places by rendezvous hashing over the members that seem alive.
///
/// Nothing is agreed on: a node that is wrong about the others takes a duty
/// twice over, which is harmless. A node that is cut off from all others finds
/// itself first and follows the log on its own.
#[derive(Debug, Default)]
pub(crate) struct Ranks {
    /// Place in the data centre, from 0.
    pub(super) rank_in_data_centre: usize,
    /// Place among all members, from 0.
    pub(super) overall_rank: usize,
    refresh_at: Duration,
}

impl Ranks {
    /// Whether this node is one of those that follow the log.
    pub(super) fn is_follower(&self) -> bool {
        self.rank_in_data_centre < FOLLOWERS_COUNT
    }
}

/// Works out the places, if it is time to.
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

/// The weight of a node: a hash, so that the duty falls on any host alike.
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
