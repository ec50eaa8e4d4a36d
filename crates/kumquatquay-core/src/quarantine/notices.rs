//! Sends records to the other gates of the service.
//!
//! A gate that doesn't know a record runs the request, and loses its backend server. Gossip takes
//! seconds to reach all nodes of a large deployment; the gates of one service are few.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    CrashId, CrashReport, CrashSuspect, Fingerprint, Incarnation, MemberState, Rumour, ServiceName,
};
use rand::seq::{IteratorRandom, SliceRandom};

use super::{
    own_service::own_service,
    quarantine_entry::QuarantineEntry,
    records::{empty_report, suspect_of},
};
use crate::{Blackboard, Moment, Output, membership};

/// Interval at which all records are sent to one other gate, for those that missed them in a
/// partition or as a datagram was lost.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// Suspects in one report of a crash; it has to fit into a datagram.
const SUSPECTS_PER_REPORT_COUNT: usize = 64;

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

/// Services whose gates are told of what happens here: the one of this host, and those to which its routes
/// are split.
pub(super) fn told_services(board: &mut Blackboard) -> BTreeSet<ServiceName> {
    let own = own_service(board);
    let siblings = board.quarantine.sibling_services.iter().cloned();
    siblings.chain(own).collect()
}

/// Sends the records of some fingerprints to the other gates of some services at once.
///
/// A caller that resends to another backend server before the next round of gossip would crash
/// that one too.
pub(super) fn notify_gates(
    board: &mut Blackboard,
    now: Moment,
    services: &BTreeSet<ServiceName>,
    fingerprints: &[Fingerprint],
    out: &mut Vec<Output>,
) {
    let rumours = rumours_of(board, now, fingerprints.iter().copied());
    for to in gates_of(board, services) {
        membership::send_other_rumours(board, now, to, &rumours, out);
    }
}

/// Reports a crash of the backend server of this host to the gates that may get its suspects next.
///
/// What was known before of those with strong evidence goes along: a gate may have missed it.
pub(super) fn notify_of_crash(
    board: &mut Blackboard,
    now: Moment,
    id: CrashId,
    suspects: &[Fingerprint],
    out: &mut Vec<Output>,
) {
    let is_strong = |fingerprint: &Fingerprint| {
        let entry = board.quarantine.get(*fingerprint);
        entry.is_some_and(|entry| entry.evidence(now.monotonic).is_strong())
    };
    let strong: Vec<Fingerprint> = suspects.iter().copied().filter(is_strong).collect();
    let mut rumours = rumours_of(board, now, strong);
    let chunks = suspects.chunks(SUSPECTS_PER_REPORT_COUNT);
    rumours.extend(
        chunks
            .filter_map(|suspects| report_of(board, now, id, suspects))
            .map(Rumour::Crash),
    );
    let services = told_services(board);
    let mut gates = gates_of(board, &services);
    // If the budget is used up before all were told, it isn't always the same ones that miss it.
    gates.shuffle(&mut board.random);
    for to in gates {
        membership::send_crash_rumours(board, now, to, &rumours, out);
    }
}

/// A crash with some of its suspects, without the services at which these ran: their names would make it
/// longer than a datagram, and their gates know.
fn report_of(
    board: &Blackboard,
    now: Moment,
    id: CrashId,
    suspects: &[Fingerprint],
) -> Option<CrashReport> {
    let mut report: Option<CrashReport> = None;
    for fingerprint in suspects {
        let Some(entry) = board.quarantine.get(*fingerprint) else {
            continue;
        };
        let Some(crash) = entry.crashes().iter().find(|crash| crash.id == id) else {
            continue;
        };
        let report = report.get_or_insert_with(|| empty_report(crash));
        report.suspects.push(CrashSuspect {
            ran_at: Vec::new(),
            ..suspect_of(entry, crash)
        });
        report.remaining_ms = entry.remaining(now.monotonic).as_millis() as u32;
    }
    report
}

/// Tells gates that have appeared or started anew, and from time to time one of the others.
pub(super) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    let Some(service) = board.quarantine.service.clone() else {
        return;
    };
    remember_gates(board, &service);
    let fingerprints = strong_evidence(board, now);
    if fingerprints.is_empty() {
        board.quarantine.peer_gates.forget_informed();
        return;
    }
    let mut receivers = uninformed_gates(board, &service);
    if now.monotonic >= board.quarantine.peer_gates.resent_at + RESEND_INTERVAL {
        board.quarantine.peer_gates.resent_at = now.monotonic;
        let services = told_services(board);
        let gates = gates_of(board, &services);
        receivers.extend(gates.into_iter().choose(&mut board.random));
    }
    if receivers.is_empty() {
        return;
    }
    let rumours = rumours_of(board, now, fingerprints);
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
    fingerprints: impl IntoIterator<Item = Fingerprint>,
) -> Vec<Rumour> {
    let entries = fingerprints
        .into_iter()
        .filter_map(|fingerprint| board.quarantine.get(fingerprint));
    let mut entries: Vec<_> = entries.collect();
    entries.sort_by_key(|entry| Reverse(entry.priority()));
    let records = entries.into_iter().map(|entry| entry.record(now.monotonic));
    records.map(Rumour::Quarantine).collect()
}

/// Fingerprints that are quarantined or isolated.
fn strong_evidence(board: &Blackboard, now: Moment) -> Vec<Fingerprint> {
    let entries = board.quarantine.iter();
    let entries = entries.filter(|entry| entry.evidence(now.monotonic).is_strong());
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

/// Control addresses of the other gates of some services.
fn gates_of(board: &Blackboard, services: &BTreeSet<ServiceName>) -> Vec<SocketAddr> {
    let own = board.settings.control;
    let candidates = services
        .iter()
        .flat_map(|service| board.members.candidates(service));
    let mut gates: Vec<SocketAddr> = candidates.map(|candidate| candidate.control).collect();
    let own_service = board.quarantine.service.as_ref();
    if own_service.is_some_and(|service| services.contains(service)) {
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
    for control in gates_of(board, &BTreeSet::from([service.clone()])) {
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
