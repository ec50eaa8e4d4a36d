//! Decides which requests may run, and records which may have crashed a backend server.

use std::{cmp::Reverse, net::SocketAddr, time::Duration};

use kumquatquay_wire::{
    Crash, Fingerprint, OperatorReply, Outcome, QuarantineRecord, Rumour, ServiceName,
};

use super::{
    broken_calls::ConnectionBreak,
    in_flight_request::{InFlightRequest, fingerprints_latest_first},
};
use crate::{
    AttemptResult, Blackboard, Counter, Moment, Note, Output, Refusal, RefusalReason, Severity,
    WorkId, membership,
};

/// HTTP status of a node's answer if its backend server broke the connection.
///
/// A time-out has another status: it is no sign of a crash.
const CONNECTION_BROKEN_STATUS: u16 = 502;

/// How long work counts as in flight after its connection broke.
///
/// The connections of a backend server that dies break before its node detects the death;
/// without this retention its requests would look finished by then.
const BROKEN_WORK_RETENTION: Duration = Duration::from_secs(3);

/// Most work with a broken connection that is remembered.
const BROKEN_WORK_LIMIT_COUNT: usize = 1_024;

/// Most suspects that one crash adds.
///
/// With more requests in flight, the crash is weak evidence against each of them.
const SUSPECTS_LIMIT_COUNT: usize = 256;

/// `Retry-After` of a suspect that can't run at the moment.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often expired entries are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What may be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may run: it is not suspected of a crash.
    Admit,
    /// A suspect: it may run at the [`isolation_endpoint`] only, one at a time, and is not
    /// retried automatically.
    Isolate,
    /// It must not run.
    Refuse(Refusal),
}

/// Whether a request to a service may run, by what this node knows of its fingerprint.
pub(crate) fn check(
    board: &Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
) -> Verdict {
    let table = &board.quarantine;
    let verdict = if table
        .broken_calls
        .is_suspect(now.monotonic, service, fingerprint)
    {
        Verdict::Isolate
    } else {
        Verdict::Admit
    };
    let Some(entry) = table.get(service, fingerprint) else {
        return verdict;
    };
    if entry.is_quarantined(now.monotonic) {
        let count = entry.crashes_count();
        return Verdict::Refuse(quarantine_refusal(count, entry.remaining(now.monotonic)));
    }
    if entry.is_suspect(now.monotonic) {
        return Verdict::Isolate;
    }
    verdict
}

/// Records how an attempt of a call of this node ended.
///
/// This node treats a request as a suspect as soon as a backend server has broken its
/// connection. By the time the death is detected, a retry or a quick resend could already have
/// reached another backend server.
pub(crate) fn on_attempt_ended(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
    result: &AttemptResult,
    outcome: Outcome,
) {
    let broken_calls = &mut board.quarantine.broken_calls;
    match (result, outcome) {
        (AttemptResult::Answered(head), Outcome::Unknown)
            if head.status == CONNECTION_BROKEN_STATUS =>
        {
            broken_calls.add(
                now.monotonic,
                service,
                fingerprint,
                ConnectionBreak::Backend,
            );
        }
        (AttemptResult::Broken, _) => {
            broken_calls.add(now.monotonic, service, fingerprint, ConnectionBreak::Host);
        }
        (AttemptResult::Answered(_), Outcome::Ran) => broken_calls.remove(service, fingerprint),
        _ => {}
    }
}

/// Whether this node may retry a call automatically.
pub(crate) fn may_retry(
    board: &Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
) -> bool {
    let table = &board.quarantine;
    let entry = table.get(service, fingerprint);
    let is_active = entry.is_some_and(|entry| entry.is_active(now.monotonic));
    !is_active
        && table
            .broken_calls
            .allows_retry(now.monotonic, service, fingerprint)
}

fn quarantine_refusal(crashes_count: usize, remaining: Duration) -> Refusal {
    Refusal {
        reason: RefusalReason::Quarantined,
        outcome: Outcome::NotRun,
        retry_after: Some(remaining),
        detail: format!(
            "{crashes_count} backend servers died while they ran this request; it is refused \
             until the quarantine lapses or an operator releases it"
        ),
    }
}

fn temporary_refusal(detail: &str) -> Refusal {
    Refusal {
        reason: RefusalReason::Quarantined,
        outcome: Outcome::NotRun,
        retry_after: Some(SUSPECT_RETRY_AFTER),
        detail: String::from(detail),
    }
}

/// Peer address of the one backend server of a service that runs suspects.
///
/// It is picked by rendezvous hashing: all nodes with the same view of the members pick the
/// same one, so that two suspects, or one suspect that was sent twice, can't run at two backend
/// servers at the same time. When it dies, the one with the next highest hash takes over.
pub(crate) fn isolation_endpoint(board: &Blackboard, service: &ServiceName) -> Option<SocketAddr> {
    let candidates = board.members.candidates(service).iter();
    let picked = candidates.max_by_key(|candidate| {
        let name = format!("{service} {} {}", candidate.control, candidate.incarnation);
        let hash = blake3::hash(name.as_bytes());
        (*hash.as_bytes(), candidate.control)
    });
    picked.map(|candidate| candidate.peer)
}

/// Whether the gate may run a piece of work now.
///
/// A suspect that is admitted counts as running until [`on_work_ran`] or [`on_work_ended`].
pub(crate) fn admit_work(
    board: &mut Blackboard,
    now: Moment,
    work: WorkId,
    fingerprint: Fingerprint,
) -> Verdict {
    let verdict = check_work(board, now, fingerprint);
    match verdict {
        Verdict::Isolate => {
            board.quarantine.running_suspects.insert(work, fingerprint);
        }
        Verdict::Refuse(_) => board.counters.increment(Counter::QuarantineRefusals),
        Verdict::Admit => {}
    }
    verdict
}

fn check_work(board: &mut Blackboard, now: Moment, fingerprint: Fingerprint) -> Verdict {
    let Some(service) = own_service(board) else {
        return Verdict::Admit;
    };
    let verdict = check(board, now, &service, fingerprint);
    if verdict != Verdict::Isolate {
        return verdict;
    }
    if !board.quarantine.running_suspects.is_empty() {
        return Verdict::Refuse(temporary_refusal(
            "another suspected request runs; ask again",
        ));
    }
    let target = isolation_endpoint(board, &service);
    if target.is_some_and(|target| target != board.settings.peer) {
        let detail = "suspected of a crash; it may run at another backend server only";
        return Verdict::Refuse(temporary_refusal(detail));
    }
    Verdict::Isolate
}

/// Service of this host; the last one that was known if its backend server is gone.
fn own_service(board: &mut Blackboard) -> Option<ServiceName> {
    if let Some(service) = &board.members.own().service
        && board.quarantine.service.as_ref() != Some(service)
    {
        board.quarantine.service = Some(service.clone());
    }
    board.quarantine.service.clone()
}

/// Records that the backend server of this host answered work that it ran.
///
/// This clears a suspect, but not a quarantined fingerprint: the work may have started before
/// the quarantine, and clearing it would let other requests with the fingerprint run again.
pub(crate) fn on_work_ran(
    board: &mut Blackboard,
    now: Moment,
    work: WorkId,
    fingerprint: Fingerprint,
) {
    board.quarantine.running_suspects.remove(&work);
    let Some(service) = own_service(board) else {
        return;
    };
    let entry = board.quarantine.get(&service, fingerprint);
    if entry.is_some_and(|entry| entry.is_suspect(now.monotonic)) {
        board
            .quarantine
            .get_or_insert(&service, fingerprint)
            .clear();
    }
}

/// Records that the connection of a piece of work broke while it ran.
pub(crate) fn on_connection_broken(board: &mut Blackboard, now: Moment, request: InFlightRequest) {
    if board.quarantine.counted_work.contains(&request.work) {
        return;
    }
    let broken_work = &mut board.quarantine.broken_work;
    broken_work.push_back((now.monotonic, request));
    if broken_work.len() > BROKEN_WORK_LIMIT_COUNT {
        broken_work.pop_front();
    }
}

/// Records that the backend server no longer runs a piece of work.
pub(crate) fn on_work_ended(board: &mut Blackboard, work: WorkId) {
    board.quarantine.counted_work.remove(&work);
    board.quarantine.running_suspects.remove(&work);
}

/// Records that the backend server of this host died with requests in flight.
///
/// Each of them becomes a suspect, or is quarantined if it was a suspect already; the other
/// nodes of the service are notified.
pub(crate) fn on_backend_died(
    board: &mut Blackboard,
    now: Moment,
    in_flight: &[InFlightRequest],
    out: &mut Vec<Output>,
) {
    let table = &mut board.quarantine;
    let is_new = |request: &&InFlightRequest| !table.counted_work.contains(&request.work);
    let new: Vec<InFlightRequest> = in_flight.iter().filter(is_new).copied().collect();
    if new.is_empty() && !in_flight.is_empty() {
        return;
    }
    board.counters.increment(Counter::BackendDeaths);
    let table = &mut board.quarantine;
    table
        .counted_work
        .extend(new.iter().map(|request| request.work));
    table.running_suspects.clear();
    let broken_work = std::mem::take(&mut table.broken_work);
    let recent = broken_work
        .into_iter()
        .filter(|(broken_at, _)| now.monotonic <= *broken_at + BROKEN_WORK_RETENTION)
        .map(|(_, request)| request);
    let in_flight: Vec<InFlightRequest> = new.into_iter().chain(recent).collect();
    let Some(service) = own_service(board) else {
        return;
    };
    if in_flight.is_empty() {
        return;
    }
    let crash = new_crash(board, in_flight.len());
    let mut suspects = fingerprints_latest_first(in_flight);
    suspects.truncate(SUSPECTS_LIMIT_COUNT);
    for fingerprint in &suspects {
        let entry = board.quarantine.get_or_insert(&service, *fingerprint);
        entry.add_crash(now.monotonic, crash);
        if entry.is_quarantined(now.monotonic) {
            log_quarantined(&service, *fingerprint, out);
        }
    }
    let detail = format!("{} requests were in flight", suspects.len());
    out.push(Output::Note(Note::warn("backend_server_died", detail)));
    notify_service(board, now, &service, &suspects, out);
}

fn new_crash(board: &mut Blackboard, in_flight_count: usize) -> Crash {
    board.quarantine.deaths_count += 1;
    let settings = &board.settings;
    let name = format!(
        "{} {} {}",
        settings.control, settings.incarnation, board.quarantine.deaths_count
    );
    Crash {
        id: settings
            .key
            .keyed_hash("backend server death", name.as_bytes()),
        score_milli: (1_000 / in_flight_count) as u16,
        is_cleared: false,
    }
}

fn log_quarantined(service: &str, fingerprint: Fingerprint, out: &mut Vec<Output>) {
    let detail =
        format!("requests {fingerprint} to {service} are refused after at least two crashes");
    out.push(Output::Note(Note::new(
        Severity::Error,
        "quarantined",
        detail,
    )));
}

/// Sends the records of new suspects to the other nodes of the service at once.
///
/// A caller that resends to another backend server before the next round of gossip would crash
/// that one too.
fn notify_service(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    suspects: &[Fingerprint],
    out: &mut Vec<Output>,
) {
    let entries = suspects
        .iter()
        .filter_map(|fingerprint| board.quarantine.get(service, *fingerprint));
    let mut records: Vec<_> = entries.map(|entry| entry.record(now.monotonic)).collect();
    records.sort_by_key(|record| Reverse((record.is_quarantined(), record.score_milli())));
    let rumours: Vec<Rumour> = records.into_iter().map(Rumour::Quarantine).collect();
    let own = board.settings.control;
    let candidates = board.members.candidates(service).iter();
    let receivers: Vec<SocketAddr> = candidates
        .map(|candidate| candidate.control)
        .filter(|control| *control != own)
        .collect();
    for to in receivers {
        membership::send_other_rumours(board, now, to, &rumours, out);
    }
}

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
pub(crate) fn on_rumour(board: &mut Blackboard, now: Moment, record: QuarantineRecord) {
    if record.remaining_ms == 0 {
        return;
    }
    let entry = board
        .quarantine
        .get_or_insert(&record.service, record.fingerprint);
    entry.merge(now.monotonic, &record);
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
) -> OperatorReply {
    let entry = board.quarantine.get(service, fingerprint);
    if !entry.is_some_and(|entry| entry.is_active(now.monotonic)) {
        return OperatorReply::Refused {
            message: format!("no request {fingerprint} to {service} is suspected or quarantined"),
        };
    }
    board.quarantine.get_or_insert(service, fingerprint).clear();
    OperatorReply::Done {
        message: format!(
            "requests {fingerprint} to {service} may run again; if one crashes two more backend \
             servers, it is quarantined again"
        ),
    }
}

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, _out: &mut Vec<Output>) {
    own_service(board);
    if now.monotonic < board.quarantine.last_sweep + SWEEP_INTERVAL {
        return;
    }
    board.quarantine.last_sweep = now.monotonic;
    board.quarantine.remove_expired(now.monotonic);
}
