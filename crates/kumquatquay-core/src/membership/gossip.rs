//! Gossip rounds within the data centre.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::ControlBody;
use rand::seq::IteratorRandom;

use super::{sender, transmit_counts::TransmitCounts};
use crate::{Blackboard, Moment, Output};

/// Interval of gossip rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Random members that each round sends to.
const FANOUT_COUNT: usize = 3;

/// Time of the next gossip round, and transmissions of rumours that are not about members.
#[derive(Debug, Default)]
pub(crate) struct GossipRounds {
    next_round: Duration,
    transmit_counts: TransmitCounts,
}

/// Makes the next round due at once.
pub(super) fn gossip_immediately(board: &mut Blackboard) {
    board.membership.gossip_rounds.next_round = Duration::ZERO;
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if now.monotonic < board.membership.gossip_rounds.next_round {
        return;
    }
    board.membership.gossip_rounds.next_round = now.monotonic + ROUND_INTERVAL;
    let mut transmit_counts = std::mem::take(&mut board.membership.gossip_rounds.transmit_counts);
    let others = transmit_counts.due(board, now);
    board.membership.gossip_rounds.transmit_counts = transmit_counts;
    if board.membership.gossip_queue.is_empty() && others.is_empty() {
        return;
    }
    for to in random_local_members(board, FANOUT_COUNT) {
        sender::send_local_with(board, now, to, ControlBody::Gossip, &others, out);
    }
}

/// Counts a transmission for each queued record, since another node has reported the same
/// digest.
///
/// Without this, a mesh whose nodes all start at once gossips for minutes after all tables
/// agree. Suspicions are not part of the digest, so records of suspected members are not
/// counted.
pub(super) fn on_agreement(board: &mut Blackboard) {
    let limit = sender::transmit_limit(board);
    let members = &board.members;
    let is_suspected = |control| members.get(control).is_none_or(|record| record.is_suspect);
    let queued = board.membership.gossip_queue.next();
    let known: Vec<SocketAddr> = queued.filter(|control| !is_suspected(*control)).collect();
    for control in known {
        board.membership.gossip_queue.count_transmit(control, limit);
    }
}

/// Up to `count` random members of the own data centre, without this node.
pub(super) fn random_local_members(board: &mut Blackboard, count: usize) -> Vec<SocketAddr> {
    let own = board.settings.control;
    let live = board.members.own_view().live().iter().copied();
    live.filter(|control| *control != own)
        .choose_multiple(&mut board.random, count)
}
