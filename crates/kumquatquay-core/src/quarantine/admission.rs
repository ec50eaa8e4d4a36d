//! Decides which requests may run.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{Evidence, Fingerprint, Outcome, ServiceName};

use super::{
    in_flight_request::InFlightRequest, own_service::own_service, quarantine_entry::QuarantineEntry,
};
use crate::{Blackboard, Counter, Moment, Refusal, RefusalReason, WorkId, membership::Candidate};

/// `Retry-After` of a suspect that can't run at the moment.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long nodes may disagree about the members after the end of a backend server.
const SETTLING_TIME: Duration = Duration::from_secs(1);

/// What may be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It may run: it is not suspected of a crash.
    Admit,
    /// A suspect with strong evidence against it: it may run at the [`isolation_endpoint`] only,
    /// one at a time, and is not retried automatically.
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
    let Some(entry) = table.get(fingerprint) else {
        return verdict;
    };
    let evidence = entry.evidence_at(now.monotonic, service);
    if evidence.is_quarantined() {
        let count = evidence.crashes_count;
        return Verdict::Refuse(quarantine_refusal(count, entry.remaining(now.monotonic)));
    }
    if evidence.is_isolated() {
        return Verdict::Isolate;
    }
    verdict
}

/// Whether this node may retry a call automatically.
pub(crate) fn may_retry(
    board: &Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
) -> bool {
    let table = &board.quarantine;
    !is_active(board, now, service, fingerprint)
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
    let picked = rendezvous(board.members.candidates(service), service);
    picked.map(|candidate| candidate.peer)
}

/// Control address of the one gate of a service that runs a suspect on a route, if its evidence is such
/// that no other may.
///
/// Each suspect has its own, so that many of them don't wait for each other.
pub(crate) fn isolation_gate(
    board: &Blackboard,
    service: &str,
    fingerprint: Fingerprint,
) -> Option<SocketAddr> {
    let topic = format!("{service} {fingerprint:016x}");
    let picked = rendezvous(board.members.candidates(service), &topic);
    picked.map(|candidate| candidate.control)
}

/// The candidate with the highest hash for a topic.
fn rendezvous<'a>(candidates: &'a [Candidate], topic: &str) -> Option<&'a Candidate> {
    candidates.iter().max_by_key(|candidate| {
        let name = format!("{topic} {} {}", candidate.control, candidate.incarnation);
        let hash = blake3::hash(name.as_bytes());
        (*hash.as_bytes(), candidate.control)
    })
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

/// Whether a run of a call on a route may begin at the backend server of this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// It may begin, and counts as in flight until a [`RunInput`](crate::RunInput) tells its end.
    Run,
    /// It may not begin here while another suspect runs.
    Busy,
    /// It is quarantined.
    Refuse,
}

/// Whether a run of a call on a route may begin; if so, it counts as in flight.
///
/// A suspect with strong evidence against it runs alone among suspects at each gate, and at one gate alone if
/// [`runs_at_one_gate`] says so.
pub(crate) fn begin_run(
    board: &mut Blackboard,
    now: Moment,
    work: WorkId,
    fingerprint: Fingerprint,
) -> RunVerdict {
    // Without suspects, which is nearly always, a run costs no copy of the service's name.
    if !board.quarantine.is_empty() {
        let verdict = admit_suspect(board, now, work, fingerprint);
        if verdict != RunVerdict::Run {
            board.counters.increment(Counter::QuarantineRefusals);
            return verdict;
        }
    }
    let request = InFlightRequest {
        work,
        fingerprint,
        started: now.monotonic,
        is_isolated: board.quarantine.running_suspects.contains_key(&work),
    };
    board.quarantine.running.insert(work, request);
    RunVerdict::Run
}

fn admit_suspect(
    board: &mut Blackboard,
    now: Moment,
    work: WorkId,
    fingerprint: Fingerprint,
) -> RunVerdict {
    let Some(service) = own_service(board) else {
        return RunVerdict::Run;
    };
    match check(board, now, &service, fingerprint) {
        Verdict::Refuse(_) => RunVerdict::Refuse,
        Verdict::Isolate if !board.quarantine.running_suspects.is_empty() => RunVerdict::Busy,
        Verdict::Isolate if !is_own_to_run(board, now, &service, fingerprint) => RunVerdict::Busy,
        Verdict::Isolate => {
            board.quarantine.running_suspects.insert(work, fingerprint);
            RunVerdict::Run
        }
        Verdict::Admit => RunVerdict::Run,
    }
}

/// Whether this gate may run a suspect, as far as it knows the others.
fn is_own_to_run(
    board: &Blackboard,
    now: Moment,
    service: &ServiceName,
    fingerprint: Fingerprint,
) -> bool {
    let entry = board.quarantine.get(fingerprint);
    if !entry.is_some_and(|entry| runs_at_one_gate(now, service, entry)) {
        return true;
    }
    let gate = isolation_gate(board, service, fingerprint);
    gate.is_none_or(|gate| gate == board.settings.control)
}

/// Whether a suspect runs at one gate of the service alone.
///
/// Where all backend servers of a service have ended, they come back together, and each would run what ended
/// them once more. Just after a crash the nodes disagree about the members, and the one gate may be one that
/// is gone: until then each gate runs it, if no crash under an isolated run of it is known.
fn runs_at_one_gate(now: Moment, service: &str, entry: &QuarantineEntry) -> bool {
    let evidence = entry.evidence_at(now.monotonic, service);
    let is_settled = now.monotonic >= entry.last_crash_known_at() + SETTLING_TIME;
    let has_many = evidence.crashes_count >= Evidence::ONE_GATE_CRASHES_COUNT;
    has_many && (is_settled || evidence.alone_count > 0)
}

/// Whether requests with a fingerprint are refused at a service at present.
pub(crate) fn is_quarantined(
    board: &Blackboard,
    now: Moment,
    service: &str,
    fingerprint: Fingerprint,
) -> bool {
    let table = &board.quarantine;
    let evidence = table.evidence_at(now.monotonic, service, fingerprint);
    evidence.is_quarantined()
}

/// Whether crashes of a fingerprint count at a service at present.
pub(crate) fn is_active(
    board: &Blackboard,
    now: Moment,
    service: &str,
    fingerprint: Fingerprint,
) -> bool {
    crashes_count(board, now, service, fingerprint) > 0
}

/// Whether the entry of a call on a route may send it again after a run of it broke.
///
/// One crash is weak evidence where many requests were in flight, and the others of them should be
/// served. After the second crash of a fingerprint its next run is left to its caller, who learns
/// that it failed.
pub(crate) fn may_send_again(
    board: &Blackboard,
    now: Moment,
    service: &str,
    fingerprint: Fingerprint,
) -> bool {
    crashes_count(board, now, service, fingerprint) < Evidence::CLEAR_CRASHES_COUNT
}

/// Number of crashes of a fingerprint that count at a service at present.
pub(crate) fn crashes_count(
    board: &Blackboard,
    now: Moment,
    service: &str,
    fingerprint: Fingerprint,
) -> usize {
    let table = &board.quarantine;
    let evidence = table.evidence_at(now.monotonic, service, fingerprint);
    evidence.crashes_count
}

/// Whether a request with a fingerprint ran to an answer at the backend server of this host lately.
pub(crate) fn ran_lately(board: &Blackboard, now: Moment, fingerprint: Fingerprint) -> bool {
    let recent_runs = &board.quarantine.recent_runs;
    recent_runs.contains(now.monotonic, fingerprint)
}
