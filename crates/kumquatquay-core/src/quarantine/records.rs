//! Records of suspects and quarantined requests: gossip, the operators' view and release.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use kumquatquay_wire::{
    Crash, CrashId, CrashReport, CrashSuspect, Evidence, Fingerprint, OperatorReply,
    QuarantineRecord, ServiceName,
};

use super::{
    admission::ran_lately,
    in_flight_request::InFlightRequest,
    kept_crashes::KnownCrash,
    notices::{self, told_services},
    own_service::own_service,
    quarantine_entry::QuarantineEntry,
};
use crate::{Blackboard, Moment, Note, Output};

/// How often expired entries are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Records to gossip, by descending priority; the caller limits how often each is sent.
pub(crate) fn records_to_gossip(board: &Blackboard, now: Moment) -> Vec<QuarantineRecord> {
    let entries = board.quarantine.iter();
    let unexpired = entries.filter(|entry| !entry.is_expired(now.monotonic));
    let mut unexpired: Vec<_> = unexpired.collect();
    unexpired.sort_by_key(|entry| Reverse(entry.priority()));
    unexpired
        .into_iter()
        .map(|entry| entry.record(now.monotonic))
        .collect()
}

/// Merges a record received from another node.
///
/// If it ran well here lately, crashes at other services don't count here. Those at this one do: it may have
/// run well until then.
pub(crate) fn on_rumour(
    board: &mut Blackboard,
    now: Moment,
    record: &QuarantineRecord,
    out: &mut Vec<Output>,
) {
    if record.remaining_ms == 0 {
        return;
    }
    let fingerprint = record.fingerprint;
    let entry = board.quarantine.get_or_insert(now.monotonic, fingerprint);
    entry.merge(now.monotonic, record);
    if !ran_lately(board, now, fingerprint) {
        return;
    }
    let Some(service) = own_service(board) else {
        return;
    };
    let entry = board.quarantine.get_or_insert(now.monotonic, fingerprint);
    let was_strong = entry.evidence_at(now.monotonic, &service).is_strong();
    if entry.add_ran_well_at(&service) && was_strong {
        let services = told_services(board);
        notices::notify_gates(board, now, &services, &[fingerprint], out);
    }
}

/// Merges a crash that another node has reported, or that the platform's store keeps.
pub(crate) fn on_crash_report(
    board: &mut Blackboard,
    now: Moment,
    report: &CrashReport,
    out: &mut Vec<Output>,
) {
    for record in report.records() {
        on_rumour(board, now, &record, out);
    }
}

/// Clears a fingerprint at the service of this host, where it ran to an answer, of the crashes that were
/// known when the run started. One that is quarantined for crashes there stays so.
pub(super) fn clear_at(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    ran: InFlightRequest,
    out: &mut Vec<Output>,
) {
    let fingerprint = ran.fingerprint;
    let Some(entry) = board.quarantine.get(fingerprint) else {
        return;
    };
    let is_there = |crash: &&Crash| !crash.is_cleared && crash.service == *service;
    let there: Evidence = entry.crashes().iter().filter(is_there).collect();
    if entry.is_expired(now.monotonic) || there.is_quarantined() {
        return;
    }
    let evidence = entry.evidence_at(now.monotonic, service);
    let has_changed = board
        .quarantine
        .get_or_insert(now.monotonic, fingerprint)
        .clear_at(service, ran.started);
    if has_changed && evidence.is_strong() {
        let crashes_count = evidence.crashes_count;
        let detail = format!(
            "{crashes_count} crashes no longer count against requests {fingerprint:016x}: one ran to an \
             answer at {service}"
        );
        out.push(Output::Note(Note::warn("suspect_cleared", detail)));
        let services = told_services(board);
        notices::notify_gates(board, now, &services, &[fingerprint], out);
    }
}

/// The crashes that this node knows.
pub(crate) fn known_crashes(board: &Blackboard, now: Moment) -> Vec<KnownCrash> {
    let mut known: BTreeMap<CrashId, KnownCrash> = BTreeMap::new();
    let entries = board.quarantine.iter();
    for entry in entries.filter(|entry| !entry.is_expired(now.monotonic)) {
        for crash in entry.crashes() {
            let is_own = board.quarantine.own_crashes.contains(&crash.id);
            let known = known.entry(crash.id).or_insert_with(|| KnownCrash {
                report: empty_report(crash),
                cleared: Vec::new(),
                is_own,
            });
            if crash.is_cleared {
                known.cleared.push(entry.fingerprint());
                continue;
            }
            let report = &mut known.report;
            report.suspects.push(suspect_of(entry, crash));
            let remaining_ms = entry.remaining(now.monotonic).as_millis() as u32;
            report.remaining_ms = report.remaining_ms.max(remaining_ms);
        }
    }
    known.into_values().collect()
}

/// Report of a crash, without its suspects.
pub(super) fn empty_report(crash: &Crash) -> CrashReport {
    CrashReport {
        id: crash.id,
        service: crash.service.clone(),
        suspects: Vec::new(),
        remaining_ms: 0,
    }
}

/// A suspect of a crash as it is reported.
pub(super) fn suspect_of(entry: &QuarantineEntry, crash: &Crash) -> CrashSuspect {
    CrashSuspect {
        fingerprint: entry.fingerprint(),
        score_milli: crash.score_milli,
        ran_at: entry.ran_at().to_vec(),
    }
}

/// Numbers of suspects and of quarantined fingerprints.
pub(crate) fn counts(board: &Blackboard, now: Moment) -> (usize, usize) {
    let entries = board.quarantine.iter();
    let evidence: Vec<_> = entries.map(|entry| entry.evidence(now.monotonic)).collect();
    let count = |is_counted: fn(Evidence) -> bool| {
        let evidence = evidence.iter().copied();
        evidence.filter(|evidence| is_counted(*evidence)).count()
    };
    (count(Evidence::is_suspect), count(Evidence::is_quarantined))
}

/// Lists suspects and quarantined requests.
pub(crate) fn list(board: &Blackboard, now: Moment) -> OperatorReply {
    OperatorReply::Quarantine {
        records: active_records(board, now),
    }
}

/// Records with crashes that are not cleared, by descending priority.
pub(crate) fn active_records(board: &Blackboard, now: Moment) -> Vec<QuarantineRecord> {
    let mut records = records_to_gossip(board, now);
    records.retain(|record| record.counting_crashes().next().is_some());
    records
}

/// Lets requests with a fingerprint run again, at all services.
pub(crate) fn release(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
    out: &mut Vec<Output>,
) -> OperatorReply {
    let table = &board.quarantine;
    let evidence = table.evidence_at(now.monotonic, service, fingerprint);
    if evidence.crashes_count == 0 {
        return OperatorReply::Refused {
            message: format!(
                "no request {fingerprint:016x} to {service} is suspected or quarantined"
            ),
        };
    }
    let mut services: BTreeSet<ServiceName> = told_services(board);
    services.insert(service.clone());
    let entry = board.quarantine.get_or_insert(now.monotonic, fingerprint);
    let crashes = entry.crashes().iter();
    services.extend(crashes.map(|crash| crash.service.clone()));
    entry.clear();
    notices::notify_gates(board, now, &services, &[fingerprint], out);
    OperatorReply::Done {
        message: format!(
            "requests {fingerprint:016x} to {service} may run again; if one crashes two more \
             backend servers, it is quarantined again"
        ),
    }
}

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, out: &mut Vec<Output>) {
    own_service(board);
    notices::on_tick(board, now, out);
    if now.monotonic < board.quarantine.last_sweep + SWEEP_INTERVAL {
        return;
    }
    board.quarantine.last_sweep = now.monotonic;
    board.quarantine.remove_expired(now.monotonic);
}
