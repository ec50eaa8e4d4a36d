//! Direct and indirect probes of the members of the own data centre.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{ControlBody, MemberState, Sequence};
use rand::{
    Rng,
    seq::{IteratorRandom, SliceRandom},
};

use super::{gossip, seed_log, sender, suspicion};
use crate::{Blackboard, Counter, Moment, Output};

/// Interval at which this node probes a member.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// How long a probed member has to answer before others are asked to probe it.
const DIRECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Members that are asked to probe a member that did not answer.
const INDIRECT_COUNT: usize = 3;

/// Interval of the probes of members declared gone and of unknown seeds.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(5);

/// Members whose last probe result is kept.
const RESULTS_LIMIT_COUNT: usize = 8;

/// How long a result counts: a member that died earlier is not part of a mass silence that
/// begins now.
const RESULT_LIFETIME: Duration = Duration::from_secs(10);

/// Fewest silent members that indicate a fault of this node's own network.
const SILENT_MIN_COUNT: usize = 2;

/// Probes under way for other nodes at most; further requests are ignored.
const RELAYED_PROBES_LIMIT_COUNT: usize = 64;

/// During a mass silence, only every fourth probe may go to a suspected member, so that the
/// others are still probed.
const SILENT_PROBE_INTERVAL_COUNT: u32 = 4;

/// Probes under way and results of the last ones.
#[derive(Debug, Default)]
pub(crate) struct Prober {
    /// Members still to be probed before the next shuffle.
    order: Vec<SocketAddr>,
    next_probe: Option<Duration>,
    next_reconnect: Duration,
    probe: Option<Probe>,
    probes_count: u32,
    results: VecDeque<ProbeResult>,
    relayed_probes: BTreeMap<Sequence, RelayedProbe>,
}

/// The current probe by this node.
#[derive(Debug)]
struct Probe {
    id: Sequence,
    target: SocketAddr,
    sent_at: Duration,
    is_indirect: bool,
    is_answered: bool,
}

/// How the last probe of a member ended.
#[derive(Debug)]
struct ProbeResult {
    target: SocketAddr,
    ended_at: Duration,
    is_answered: bool,
}

/// A probe on behalf of another node.
#[derive(Debug)]
struct RelayedProbe {
    requester: SocketAddr,
    requester_probe: Sequence,
    expires_at: Duration,
}

impl Prober {
    /// Whether more than half of the members probed last were silent, so that this node's own
    /// network is the likely cause.
    ///
    /// The threshold of a third, which applies to the findings of all nodes, would be reached by
    /// chance among so few members when one rack fails. Members are counted, not probes, since a
    /// small data centre probes one dead member repeatedly.
    pub(super) fn suspects_own_network(&self, now: Duration) -> bool {
        let results = self.results.iter();
        let recent = results.filter(|result| now < result.ended_at + RESULT_LIFETIME);
        let (silent, answered): (Vec<_>, Vec<_>) = recent.partition(|result| !result.is_answered);
        silent.len() >= SILENT_MIN_COUNT && silent.len() > answered.len()
    }

    fn record_result(&mut self, target: SocketAddr, ended_at: Duration, is_answered: bool) {
        self.results.retain(|result| result.target != target);
        self.results.push_back(ProbeResult {
            target,
            ended_at,
            is_answered,
        });
        if self.results.len() > RESULTS_LIMIT_COUNT {
            self.results.pop_front();
        }
    }
}

pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    send_indirect_pings(board, now, out);
    let first = board.membership.prober.next_probe;
    let due = first.unwrap_or_else(|| now.monotonic + first_wait(board));
    if now.monotonic < due {
        board.membership.prober.next_probe = Some(due);
        return;
    }
    board.membership.prober.next_probe = Some((due + PROBE_INTERVAL).max(now.monotonic));
    finish_probe(board, now, out);
    start_probe(board, now, out);
    reconnect(board, now, out);
    let relayed_probes = &mut board.membership.prober.relayed_probes;
    relayed_probes.retain(|_, relay| relay.expires_at > now.monotonic);
}

/// Drops the current probe, whose answer may have arrived but not been read yet.
pub(super) fn cancel_probe(board: &mut Blackboard) {
    board.membership.prober.probe = None;
}

/// Random delay of the first probe, to spread the probes of nodes that start together.
fn first_wait(board: &mut Blackboard) -> Duration {
    PROBE_INTERVAL.mul_f64(board.random.random())
}

fn start_probe(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(target) = next_target(board) else {
        return;
    };
    let id = probe_id(board);
    board.membership.prober.probe = Some(Probe {
        id,
        target,
        sent_at: now.monotonic,
        is_indirect: false,
        is_answered: false,
    });
    ping(board, now, target, id, out);
}

fn ping(
    board: &mut Blackboard,
    now: Moment,
    target: SocketAddr,
    probe: Sequence,
    out: &mut Vec<Output>,
) {
    let digest = board.members.digest();
    let body = ControlBody::Ping { probe, digest };
    sender::send_local(board, now, target, body, out);
}

/// A random identifier, so that a replayed answer doesn't match.
fn probe_id(board: &mut Blackboard) -> Sequence {
    Sequence::from(board.random.random::<u32>())
}

/// The next member in a shuffled round.
///
/// Each member is probed within two rounds, and no two nodes keep the same order.
fn next_target(board: &mut Blackboard) -> Option<SocketAddr> {
    board.membership.prober.probes_count += 1;
    let probes_count = board.membership.prober.probes_count;
    let probes_suspects = probes_count.is_multiple_of(SILENT_PROBE_INTERVAL_COUNT);
    let skips_suspects = board.membership.suspicions.is_holding() && !probes_suspects;
    for _ in 0..2 {
        while let Some(target) = board.membership.prober.order.pop() {
            if is_target(board, target, skips_suspects) {
                return Some(target);
            }
        }
        let mut order = board.members.own_view().live().to_vec();
        order.shuffle(&mut board.random);
        board.membership.prober.order = order;
    }
    None
}

fn is_target(board: &Blackboard, target: SocketAddr, skips_suspects: bool) -> bool {
    let Some(record) = board.members.get(target) else {
        return false;
    };
    let is_other = target != board.settings.control;
    let is_here = record.data_centre == board.settings.data_centre;
    is_other
        && is_here
        && record.state != MemberState::Gone
        && !(skips_suspects && record.is_suspect)
}

/// Asks others to probe a member that did not answer in time, since only the network path from
/// this node to it may be broken.
fn send_indirect_pings(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(probe) = &mut board.membership.prober.probe else {
        return;
    };
    let is_late = now.monotonic >= probe.sent_at + DIRECT_TIMEOUT;
    if probe.is_answered || probe.is_indirect || !is_late {
        return;
    }
    probe.is_indirect = true;
    let (probe, target) = (probe.id, probe.target);
    let mut helpers = gossip::random_local_members(board, INDIRECT_COUNT + 1);
    helpers.retain(|helper| *helper != target);
    helpers.truncate(INDIRECT_COUNT);
    for helper in helpers {
        let body = ControlBody::IndirectPing { probe, target };
        sender::send_local(board, now, helper, body, out);
    }
}

fn finish_probe(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(probe) = board.membership.prober.probe.take() else {
        return;
    };
    board
        .membership
        .prober
        .record_result(probe.target, now.monotonic, probe.is_answered);
    if !probe.is_answered {
        board.counters.increment(Counter::ProbesFailed);
        suspicion::suspect(board, now, probe.target, out);
    }
}

/// Probes a member that was declared gone, or an unknown seed.
///
/// After a partition in which each side declared the other gone, no other probe would reconnect
/// them.
fn reconnect(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    if now.monotonic < board.membership.prober.next_reconnect {
        return;
    }
    board.membership.prober.next_reconnect = now.monotonic + RECONNECT_INTERVAL;
    let seeds = seed_log::all_seeds(board);
    let seeds = seeds.into_iter();
    let seeds = seeds.filter(|seed| board.members.get(*seed).is_none());
    let lost = board.members.declared_gone_local().iter().copied();
    let unknown = lost.chain(seeds);
    if let Some(target) = unknown.choose(&mut board.random) {
        let id = probe_id(board);
        ping(board, now, target, id, out);
    }
}

pub(super) fn on_indirect_ping(
    board: &mut Blackboard,
    now: Moment,
    requester: SocketAddr,
    requester_probe: Sequence,
    target: SocketAddr,
    out: &mut Vec<Output>,
) {
    if board.membership.prober.relayed_probes.len() >= RELAYED_PROBES_LIMIT_COUNT {
        return;
    }
    let id = probe_id(board);
    let relay = RelayedProbe {
        requester,
        requester_probe,
        expires_at: now.monotonic + PROBE_INTERVAL,
    };
    board.membership.prober.relayed_probes.insert(id, relay);
    ping(board, now, target, id, out);
}

pub(super) fn on_ack(board: &mut Blackboard, now: Moment, probe: Sequence, out: &mut Vec<Output>) {
    if let Some(relay) = board.membership.prober.relayed_probes.remove(&probe) {
        let body = ControlBody::Ack {
            probe: relay.requester_probe,
        };
        sender::send_local(board, now, relay.requester, body, out);
        return;
    }
    if let Some(own) = &mut board.membership.prober.probe
        && own.id == probe
    {
        own.is_answered = true;
    }
}
