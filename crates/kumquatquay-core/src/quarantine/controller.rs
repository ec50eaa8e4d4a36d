//! Requests that crash what runs them: what is decided.

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

/// Status of a node's answer whose backend server broke the connection; one that
/// took too long has another status and is no sign of a crash.
const CONNECTION_BROKEN_STATUS: u16 = 502;

/// How long after its connection broke work counts as in flight at a death.
///
/// The connections of a backend server that dies break before the node sees
/// that it is gone; without this its requests would look finished.
const BROKEN_WORK_RETENTION: Duration = Duration::from_secs(3);

/// Work whose connection broke that is remembered.
const BROKEN_WORK_LIMIT_COUNT: usize = 1_024;

/// Suspects that one crash adds; more requests in flight than this say little
/// about each.
const SUSPECTS_LIMIT_COUNT: usize = 256;

/// When a suspect may come back that can't run now.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// What may be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Nothing is known against it.
    Admit,
    /// A suspect: it may run at the proving target only, one at a time, and is
    /// not retried automatically.
    Isolate,
    /// It must not run.
    Refuse(Refusal),
}

/// What an entry may do with a request to a service.
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
    let Some(known) = table.get(service, fingerprint) else {
        return verdict;
    };
    if known.is_quarantined(now.monotonic) {
        let count = known.crashes_count();
        return Verdict::Refuse(quarantine_refusal(count, known.remaining(now.monotonic)));
    }
    if known.is_suspect(now.monotonic) {
        return Verdict::Isolate;
    }
    verdict
}

/// Takes in how an attempt of a call of this node ended.
///
/// A request that broke its backend server is treated as a suspect here before
/// anybody knows that the backend server died: a retry or a quick resend would
/// reach the next one first.
pub(crate) fn on_attempt_ended(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
    result: &AttemptResult,
    outcome: Outcome,
) {
    let broken = &mut board.quarantine.broken_calls;
    match (result, outcome) {
        (AttemptResult::Answered(head), Outcome::Unknown)
            if head.status == CONNECTION_BROKEN_STATUS =>
        {
            broken.add(
                now.monotonic,
                service,
                fingerprint,
                ConnectionBreak::Backend,
            );
        }
        (AttemptResult::Broken, _) => {
            broken.add(now.monotonic, service, fingerprint, ConnectionBreak::Host);
        }
        (AttemptResult::Answered(_), Outcome::Ran) => broken.remove(service, fingerprint),
        _ => {}
    }
}

/// Whether this node may retry a call by itself.
pub(crate) fn may_retry(
    board: &Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
) -> bool {
    let table = &board.quarantine;
    let known = table.get(service, fingerprint);
    let is_active = known.is_some_and(|known| known.is_active(now.monotonic));
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
/// All nodes with the same view of the members pick the same one, so that two
/// suspects, or one suspect that was sent twice, can't run at the same time at
/// two backend servers. When it dies the next one takes its place.
pub(crate) fn isolation_endpoint(board: &Blackboard, service: &ServiceName) -> Option<SocketAddr> {
    let candidates = board.members.candidates(service).iter();
    let first = candidates.max_by_key(|candidate| {
        let name = format!("{service} {} {}", candidate.control, candidate.incarnation);
        let hash = blake3::hash(name.as_bytes());
        (*hash.as_bytes(), candidate.control)
    });
    first.map(|candidate| candidate.peer)
}

/// What the gate may do with a piece of work that is about to run; a suspect
/// that is admitted counts as running until [`on_work_ran`] or [`on_work_ended`].
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

/// Service of this host; remembered when its backend server is gone.
fn own_service(board: &mut Blackboard) -> Option<ServiceName> {
    if let Some(service) = &board.members.own().service
        && board.quarantine.service.as_ref() != Some(service)
    {
        board.quarantine.service = Some(service.clone());
    }
    board.quarantine.service.clone()
}

/// Takes in that the backend server of this host answered work that it ran.
///
/// A suspect that ran well is cleared. A quarantined one is not: the work may
/// have begun before its fingerprint was quarantined, and another request that
/// shares the fingerprint would be let loose again.
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
    let known = board.quarantine.get(&service, fingerprint);
    if known.is_some_and(|known| known.is_suspect(now.monotonic)) {
        board.quarantine.get_mut(&service, fingerprint).clear();
    }
}

/// Takes in that the connection of work broke while it ran.
pub(crate) fn on_connection_broken(board: &mut Blackboard, now: Moment, request: InFlightRequest) {
    if board.quarantine.counted_work.contains(&request.work) {
        return;
    }
    let broken = &mut board.quarantine.broken_work;
    broken.push_back((now.monotonic, request));
    if broken.len() > BROKEN_WORK_LIMIT_COUNT {
        broken.pop_front();
    }
}

/// Takes in that the backend server runs a piece of work no longer.
pub(crate) fn on_work_ended(board: &mut Blackboard, work: WorkId) {
    board.quarantine.counted_work.remove(&work);
    board.quarantine.running_suspects.remove(&work);
}

/// Takes in that the backend server of this host died with requests in flight.
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
    let broken = std::mem::take(&mut table.broken_work);
    let recent = broken
        .into_iter()
        .filter(|(at, _)| now.monotonic <= *at + BROKEN_WORK_RETENTION)
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
        let known = board.quarantine.get_mut(&service, *fingerprint);
        known.add_crash(now.monotonic, crash);
        if known.is_quarantined(now.monotonic) {
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
    let detail = format!("requests {fingerprint} to {service} are refused: two crashes");
    out.push(Output::Note(Note::new(
        Severity::Error,
        "quarantined",
        detail,
    )));
}

/// Tells the nodes of the service at once. A caller that resends to another
/// backend server within a round of gossip would crash it too.
fn notify_service(
    board: &mut Blackboard,
    now: Moment,
    service: &ServiceName,
    suspects: &[Fingerprint],
    out: &mut Vec<Output>,
) {
    let records = suspects
        .iter()
        .filter_map(|fingerprint| board.quarantine.get(service, *fingerprint));
    let mut told: Vec<_> = records.map(|known| known.record(now.monotonic)).collect();
    told.sort_by_key(|record| Reverse((record.is_quarantined(), record.score_milli())));
    let rumours: Vec<Rumour> = told.into_iter().map(Rumour::Quarantine).collect();
    let own = board.settings.control;
    let candidates = board.members.candidates(service).iter();
    let receivers: Vec<SocketAddr> = candidates
        .map(|candidate| candidate.control)
        .filter(|control| *control != own)
        .collect();
    for to in receivers {
        membership::send_others(board, now, to, &rumours, out);
    }
}

/// Records to tell others, the most important first; the caller decides how
/// often each is told.
pub(crate) fn records_to_gossip(board: &Blackboard, now: Moment) -> Vec<QuarantineRecord> {
    let records = board.quarantine.iter();
    let lasting = records.filter(|known| !known.is_expired(now.monotonic));
    let mut lasting: Vec<_> = lasting.collect();
    lasting.sort_by_key(|known| Reverse(known.priority()));
    lasting
        .into_iter()
        .map(|known| known.record(now.monotonic))
        .collect()
}

/// Takes in a record that another node tells of.
pub(crate) fn on_rumour(board: &mut Blackboard, now: Moment, record: QuarantineRecord) {
    if record.remaining_ms == 0 {
        return;
    }
    let known = board
        .quarantine
        .get_mut(&record.service, record.fingerprint);
    known.merge(now.monotonic, &record);
}

/// Lists suspects and quarantined requests.
pub(crate) fn list(board: &Blackboard, now: Moment) -> OperatorReply {
    OperatorReply::Quarantine {
        records: active_records(board, now),
    }
}

/// Records that still count, the most important first.
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
    let known = board.quarantine.get(service, fingerprint);
    if !known.is_some_and(|known| known.is_active(now.monotonic)) {
        return OperatorReply::Refused {
            message: format!("no request {fingerprint} to {service} is suspected or quarantined"),
        };
    }
    board.quarantine.get_mut(service, fingerprint).clear();
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
    board.quarantine.sweep(now.monotonic);
}
