//! Records of suspects and quarantined requests: gossip, the operators' view and release.

use std::{cmp::Reverse, time::Duration};

use kumquatquay_wire::{Fingerprint, OperatorReply, QuarantineRecord, ServiceName};

use super::{kept_records::RecordToKeep, notices, own_service::own_service};
use crate::{Blackboard, Moment, Output};

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
/// A suspect that ran to an answer here lately is cleared: its success may be older than the news of the
/// crash.
pub(crate) fn on_rumour(
    board: &mut Blackboard,
    now: Moment,
    record: QuarantineRecord,
    out: &mut Vec<Output>,
) {
    if record.remaining_ms == 0 {
        return;
    }
    let service = &record.service;
    let fingerprint = record.fingerprint;
    let entry = board.quarantine.get_or_insert(service, fingerprint);
    entry.merge(now.monotonic, &record);
    let table = &board.quarantine;
    let has_run_here = table.service.as_ref() == Some(service)
        && table.recent_runs.contains(now.monotonic, fingerprint);
    if has_run_here {
        clear_suspect(board, now, service, fingerprint, out);
    }
}

/// Clears a fingerprint that ran to an answer, if it is a suspect. One that is quarantined stays
/// so: the run may have begun before.
pub(super) fn clear_suspect(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
    out: &mut Vec<Output>,
) {
    let Some(entry) = board.quarantine.get(service, fingerprint) else {
        return;
    };
    if !entry.is_suspect(now.monotonic) {
        return;
    }
    let was_isolated = entry.is_isolated(now.monotonic);
    board.quarantine.get_or_insert(service, fingerprint).clear();
    if was_isolated {
        notices::notify_service(board, now, service, &[fingerprint], out);
    }
}

/// Records of the service of this host that should outlast a restart of all nodes: those with more
/// than one crash.
pub(crate) fn records_to_keep(board: &Blackboard, now: Moment) -> Vec<RecordToKeep> {
    let Some(service) = &board.quarantine.service else {
        return Vec::new();
    };
    let entries = board.quarantine.iter();
    let entries =
        entries.filter(|entry| entry.is_of(service) && entry.is_worth_keeping(now.monotonic));
    let to_keep = entries.map(|entry| RecordToKeep {
        record: entry.record(now.monotonic),
        is_own: entry.has_own_crash(),
    });
    to_keep.collect()
}

/// Numbers of suspects and of quarantined fingerprints.
pub(crate) fn counts(board: &Blackboard, now: Moment) -> (usize, usize) {
    let now = now.monotonic;
    let entries = || board.quarantine.iter();
    (
        entries().filter(|entry| entry.is_suspect(now)).count(),
        entries().filter(|entry| entry.is_quarantined(now)).count(),
    )
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
    records.retain(|record| record.crashes_count() > 0);
    records
}

/// Lets requests with a fingerprint run again.
pub(crate) fn release(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
    out: &mut Vec<Output>,
) -> OperatorReply {
    let entry = board.quarantine.get(service, fingerprint);
    if !entry.is_some_and(|entry| entry.is_active(now.monotonic)) {
        return OperatorReply::Refused {
            message: format!(
                "no request {fingerprint:016x} to {service} is suspected or quarantined"
            ),
        };
    }
    board.quarantine.get_or_insert(service, fingerprint).clear();
    notices::notify_service(board, now, service, &[fingerprint], out);
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
