//! Rounds of news within the data centre.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::ControlBody;
use rand::seq::IteratorRandom;

use super::{sender, transmit_counts::TransmitCounts};
use crate::{Blackboard, Moment, Output};

/// How often news are sent while there are any.
const ROUND_INTERVAL: Duration = Duration::from_millis(200);

/// Members that news are sent to in a round.
const FANOUT_COUNT: usize = 3;

/// When news are spread, and what besides those of members.
#[derive(Debug, Default)]
pub(crate) struct GossipRounds {
    next_round: Duration,
    transmit_counts: TransmitCounts,
}

/// Sends news at once, not with the next round.
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

/// Counts news that another node knows, since its digest is that of this node, as
/// told. Without this the news of a mesh that starts at once is told for minutes
/// after all agree. Doubts have no part in a digest and are told on.
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

/// Some members of the own data centre, this node not included.
pub(super) fn random_local_members(board: &mut Blackboard, count: usize) -> Vec<SocketAddr> {
    let own = board.settings.control;
    let live = board.members.own_view().live().iter().copied();
    live.filter(|control| *control != own)
        .choose_multiple(&mut board.random, count)
}
