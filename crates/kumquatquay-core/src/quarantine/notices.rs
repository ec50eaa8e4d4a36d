//! Sends records to the other gates of the service.
//!
//! A gate that doesn't know a record runs the request, and loses its backend server. Gossip takes
//! seconds to reach all nodes of a large deployment; the gates of one service are few.

use std::{cmp::Reverse, collections::BTreeMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{Fingerprint, Incarnation, MemberState, Rumour, ServiceName};
use rand::seq::IteratorRandom;

use super::quarantine_entry::QuarantineEntry;
use crate::{Blackboard, Moment, Output, membership};

/// Interval at which all records are sent to one other gate, for those that missed them in a
/// partition or as a datagram was lost.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Gates that are remembered, at most.
const GATES_LIMIT_COUNT: usize = 1_024;

/// Other gates of the service of this host.
///
/// A gate without a backend server is no candidate for calls, but it has one again in a moment, and is
/// told meanwhile.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerGates {
    /// Incarnation that the records were sent to, by control address.
    informed: BTreeMap<SocketAddr, Option<Incarnation>>,
    /// When records were last sent again, on the monotonic clock.
    resent_at: Duration,
    /// When the members had last changed as the gates were collected.
    members_changed_at: Option<Duration>,
}

/// Sends the records of some fingerprints to the other gates of a service at once.
///
/// A caller that resends to another backend server before the next round of gossip would crash
/// that one too.
pub(super) fn notify_service(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprints: &[Fingerprint],
    out: &mut Vec<Output>,
) {
    let rumours = rumours_of(board, now, service, fingerprints.iter().copied());
    for to in gates_of(board, service) {
        membership::send_other_rumours(board, now, to, &rumours, out);
    }
}

/// Tells gates that have appeared or started anew, and from time to time one of the others.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(service) = board.quarantine.service.clone() else {
        return;
    };
    remember_gates(board, &service);
    let fingerprints = strong_evidence(board, now, &service);
    if fingerprints.is_empty() {
        board.quarantine.peer_gates.forget_informed();
        return;
    }
    let mut receivers = uninformed_gates(board, &service);
    if now.monotonic >= board.quarantine.peer_gates.resent_at + RESEND_INTERVAL {
        board.quarantine.peer_gates.resent_at = now.monotonic;
        let gates = gates_of(board, &service);
        receivers.extend(gates.into_iter().choose(&mut board.random));
    }
    if receivers.is_empty() {
        return;
    }
    let rumours = rumours_of(board, now, &service, fingerprints);
    for to in receivers {
        membership::send_other_rumours(board, now, to, &rumours, out);
    }
}

impl PeerGates {
    fn forget_informed(&mut self) {
        self.informed.values_mut().for_each(|told| *told = None);
    }
}

/// Records as rumours, by descending priority.
fn rumours_of(
    board: &Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprints: impl IntoIterator<Item = Fingerprint>,
) -> Vec<Rumour> {
    let entries = fingerprints
        .into_iter()
        .filter_map(|fingerprint| board.quarantine.get(service, fingerprint));
    let mut entries: Vec<_> = entries.collect();
    entries.sort_by_key(|entry| Reverse(entry.priority()));
    let records = entries.into_iter().map(|entry| entry.record(now.monotonic));
    records.map(Rumour::Quarantine).collect()
}

/// Fingerprints of a service that are quarantined or isolated.
fn strong_evidence(board: &Blackboard, now: Moment, service: &str) -> Vec<Fingerprint> {
    let entries = board.quarantine.iter();
    let entries =
        entries.filter(|entry| entry.is_of(service) && entry.has_strong_evidence(now.monotonic));
    entries.map(QuarantineEntry::fingerprint).collect()
}

fn remember_gates(board: &mut Blackboard, service: &ServiceName) {
    let own = board.settings.control;
    let changed_at = Some(board.members.last_changed_at());
    let gates = &mut board.quarantine.peer_gates;
    if std::mem::replace(&mut gates.members_changed_at, changed_at) == changed_at {
        return;
    }
    let informed = &mut gates.informed;
    for candidate in board.members.candidates(service) {
        let is_known = informed.contains_key(&candidate.control);
        if candidate.control != own && !is_known && informed.len() < GATES_LIMIT_COUNT {
            informed.insert(candidate.control, None);
        }
    }
    let members = &board.members;
    informed.retain(|control, _| {
        let member = members.get(*control);
        member.is_some_and(|member| member.state != MemberState::Gone)
    });
}

/// Control addresses of the other gates of a service.
fn gates_of(board: &Blackboard, service: &ServiceName) -> Vec<SocketAddr> {
    let own = board.settings.control;
    let candidates = board.members.candidates(service).iter();
    let mut gates: Vec<SocketAddr> = candidates.map(|candidate| candidate.control).collect();
    if board.quarantine.service.as_ref() == Some(service) {
        gates.extend(board.quarantine.peer_gates.informed.keys());
    }
    gates.sort_unstable();
    gates.dedup();
    gates.retain(|control| *control != own);
    gates
}

/// Gates whose present incarnation wasn't sent the records yet; they count as informed from now on.
fn uninformed_gates(board: &mut Blackboard, service: &ServiceName) -> Vec<SocketAddr> {
    let mut receivers = Vec::new();
    for control in gates_of(board, service) {
        let Some(member) = board.members.get(control) else {
            continue;
        };
        let incarnation = Some(member.incarnation);
        let informed = &mut board.quarantine.peer_gates.informed;
        if informed.insert(control, incarnation) != Some(incarnation) {
            receivers.push(control);
        }
    }
    receivers
}
