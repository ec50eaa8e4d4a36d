//! Dispatches the inputs of the membership to its parts.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{ControlBody, Datagram, MemberState, Rumour};
use rand::seq::SliceRandom;

use super::{
    bulk_sync, data_centre_liveness, data_centre_relay, draining, gossip, merge, prober,
    replay_windows::Freshness, seed_log, sender, suspicion,
};
use crate::{
    BackendInput, Blackboard, BulkInput, Counter, Moment, Note, Output, configuration, overload,
    quarantine,
};

/// How long the record of a member that is gone is kept.
///
/// The record keeps old rumours from bringing the member back. A node that was partitioned for
/// longer and still lists the member does no lasting harm: the member's own data centre probes
/// it and declares it gone again, and other data centres remove it when a complete table of
/// that data centre lacks it.
const GONE_LIFETIME: Duration = Duration::from_secs(60 * 60);

/// Longest name of a service.
///
/// A record with a longer one might not fit into a datagram, and no node would learn of the
/// member.
const SERVICE_LIMIT_BYTES: usize = 128;

/// Records of gone members that are kept at most.
const GONE_LIMIT_COUNT: usize = 4_096;

/// Shortest interval between two replies to senders whose incarnation is too low.
const CORRECTION_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a tick after which this node counts as having stalled.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);

/// Addresses of a register to which a node introduces itself at once.
///
/// At 300 bytes each that is 19 KB; the other nodes learn of it by gossip from these.
const INTRODUCTIONS_COUNT: usize = 64;

/// Interval at which old records of gone members are removed.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

pub(crate) fn on_backend(
    board: &mut Blackboard,
    now: Moment,
    input: BackendInput,
    out: &mut Vec<Output>,
) {
    match input {
        BackendInput::Announced(announcement)
            if announcement.service.len() > SERVICE_LIMIT_BYTES =>
        {
            let detail = format!("the service name exceeds {SERVICE_LIMIT_BYTES} bytes");
            out.push(Output::Note(Note::warn("announcement_refused", detail)));
        }
        BackendInput::Announced(announcement) => {
            board.membership.announcement = Some(announcement);
        }
        BackendInput::Died | BackendInput::Unresponsive | BackendInput::ClosesConnections => {
            board.membership.announcement = None;
        }
        BackendInput::HealthReported { .. } => return,
    }
    draining::update_own_state(board, now);
}

pub(crate) fn on_bulk(
    board: &mut Blackboard,
    now: Moment,
    input: BulkInput,
    out: &mut Vec<Output>,
) {
    bulk_sync::on_bulk(board, now, input, out);
}

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    detect_stall(board, now, out);
    draining::on_tick(board, now, out);
    prober::on_tick(board, now, out);
    suspicion::on_tick(board, now, out);
    seed_log::on_tick(board, now, out);
    bulk_sync::on_tick(board, now, out);
    gossip::on_tick(board, now, out);
    data_centre_relay::on_tick(board, now, out);
    if now.monotonic >= board.membership.next_removal {
        board.membership.next_removal = now.monotonic + REMOVAL_INTERVAL;
        board
            .members
            .remove_gone(now.monotonic, GONE_LIFETIME, GONE_LIMIT_COUNT);
        data_centre_liveness::remove_expired(board, now, out);
    }
}

/// Restarts suspicion timers and drops the current probe after this node has stalled.
///
/// Answers and refutations may still be unread in its socket. By its clock they are overdue, and
/// it would declare hosts gone that answered long ago.
fn detect_stall(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let last = board.membership.last_tick.replace(now.monotonic);
    let passed = now.monotonic.saturating_sub(last.unwrap_or(now.monotonic));
    if passed < STALL_THRESHOLD {
        return;
    }
    board.membership.suspicions.restart_timers(now.monotonic);
    prober::cancel_probe(board);
    let detail = format!("this node stalled for {} ms", passed.as_millis());
    out.push(Output::Note(Note::warn("stood_still", detail)));
}

pub(crate) fn on_datagram(
    board: &mut Blackboard,
    now: Moment,
    datagram: Datagram,
    out: &mut Vec<Output>,
) {
    if !is_fresh(board, now, &datagram, out) {
        return;
    }
    let from = datagram.sender;
    data_centre_liveness::on_datagram_from(board, now, from);
    for rumour in datagram.rumours {
        on_rumour(board, now, from, rumour, out);
    }
    match datagram.body {
        ControlBody::Ping { probe, digest } => {
            sender::send_local(board, now, from, ControlBody::Ack { probe }, out);
            bulk_sync::on_local_digest(board, now, from, digest, out);
        }
        ControlBody::Ack { probe } => prober::on_ack(board, now, probe, out),
        ControlBody::IndirectPing { probe, target } => {
            prober::on_indirect_ping(board, now, from, probe, target, out);
        }
        ControlBody::Digest {
            data_centre,
            digest,
        } => {
            data_centre_liveness::record_contact(board, now, &data_centre);
            bulk_sync::on_remote_digest(board, now, from, &data_centre, digest, out);
        }
        ControlBody::Gossip => {}
        ControlBody::Introduce => {
            let own = [Rumour::Member(board.members.own().clone())];
            sender::send_remote(board, now, from, ControlBody::Gossip, &own, out);
        }
    }
}

/// Introduces this node to addresses that the host found in a register.
///
/// Each node does so at its start, after it has registered its own address. Of any two nodes
/// the later one therefore finds the earlier one, and its introduction gives each the other's
/// record. Requesting the members from a single node is not enough: if all nodes start at
/// once, that node may not know any member either.
pub(crate) fn on_seeds(
    board: &mut Blackboard,
    now: Moment,
    seeds: &[SocketAddr],
    out: &mut Vec<Output>,
) {
    for seed in seeds {
        board.membership.add_seed(*seed);
    }
    let own = [Rumour::Member(board.members.own().clone())];
    let unknown = seeds.iter().filter(|seed| is_unknown(board, **seed));
    // Entries of hosts that are gone for good stay in a register. If the register's order were
    // used, they could keep this node from ever reaching the others.
    let mut unknown: Vec<SocketAddr> = unknown.copied().collect();
    unknown.shuffle(&mut board.random);
    unknown.truncate(INTRODUCTIONS_COUNT);
    for to in unknown {
        sender::send_remote(board, now, to, ControlBody::Introduce, &own, out);
    }
}

/// Whether an address belongs to no member, or to one that is gone.
fn is_unknown(board: &Blackboard, control: SocketAddr) -> bool {
    let known = board.members.get(control);
    known.is_none_or(|known| known.state == MemberState::Gone)
}

/// Whether a datagram is accepted: neither a replay nor of an earlier incarnation.
///
/// A sender whose incarnation is too low is sent the record known here, since it may be a new
/// host whose clock is behind. If the datagram was a late one of an earlier incarnation, the
/// reply reaches the current one, which learns nothing new from it.
fn is_fresh(
    board: &mut Blackboard,
    now: Moment,
    datagram: &Datagram,
    out: &mut Vec<Output>,
) -> bool {
    let from = datagram.sender;
    if from == board.settings.control {
        return false;
    }
    let known = board.members.get(from);
    let is_old = known.is_some_and(|known| datagram.incarnation < known.incarnation);
    let freshness = if is_old {
        Freshness::OldIncarnation
    } else {
        board
            .membership
            .replay_windows
            .check(now.monotonic, datagram)
    };
    match freshness {
        Freshness::Fresh => true,
        Freshness::Replayed => {
            board.counters.increment(Counter::DatagramsReplayed);
            false
        }
        Freshness::OldIncarnation => {
            board.counters.increment(Counter::DatagramsOld);
            send_correction(board, now, from, out);
            false
        }
    }
}

fn send_correction(board: &mut Blackboard, now: Moment, to: SocketAddr, out: &mut Vec<Output>) {
    let Some(known) = board.members.get(to) else {
        return;
    };
    if now.monotonic < board.membership.next_correction {
        return;
    }
    board.membership.next_correction = now.monotonic + CORRECTION_INTERVAL;
    let rumours = [Rumour::Member(known.clone())];
    sender::send_remote(board, now, to, ControlBody::Gossip, &rumours, out);
}

fn on_rumour(
    board: &mut Blackboard,
    now: Moment,
    from: SocketAddr,
    rumour: Rumour,
    out: &mut Vec<Output>,
) {
    match rumour {
        Rumour::Member(record) => merge::on_record(board, now, record, out),
        Rumour::Status(status) => merge::on_status(board, now, &status, out),
        Rumour::Level(level) => overload::on_level_rumour(board, now, level),
        Rumour::Quarantine(record) => quarantine::on_rumour(board, now, &record, out),
        Rumour::Crash(report) => quarantine::on_crash_report(board, now, &report, out),
        Rumour::Configuration(version) => {
            configuration::on_peer_version(board, now, from, version, out);
        }
    }
}
