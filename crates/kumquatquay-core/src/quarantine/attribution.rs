//! Attributes deaths of the backend server of this host to the requests that it was running.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::{Crash, CrashReport, Evidence, Fingerprint, Outcome, ServiceName};

use super::{
    broken_calls::ConnectionBreak,
    in_flight_request::{InFlightRequest, fingerprints_latest_first},
    notices::notify_of_crash,
    own_service::own_service,
    records::clear_at,
};
use crate::{AttemptResult, Blackboard, Counter, Moment, Note, Output, RunInput, Severity, WorkId};

/// The lowest HTTP status with which a backend server says that it failed.
const FIRST_SERVER_ERROR_STATUS: u16 = 500;

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

/// Whether an answer with a status shows that its request crashes no backend server.
///
/// One with an error doesn't: the run may have ended before it did what crashes servers, for want of time or as
/// one of its calls failed.
pub(crate) fn speaks_for_request(status: u16) -> bool {
    status < FIRST_SERVER_ERROR_STATUS
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
        (AttemptResult::Answered(head), Outcome::Ran) if speaks_for_request(head.status) => {
            broken_calls.remove(service, fingerprint);
        }
        _ => {}
    }
}

/// Records that the backend server of this host answered work that it ran, and not with an error.
///
/// This clears a suspect of the crashes that were known when the work started: a request that crashes each
/// backend server which runs it may have run well until then. It doesn't clear a quarantined fingerprint.
pub(crate) fn on_work_ran(
    board: &mut Blackboard,
    now: Moment,
    request: InFlightRequest,
    out: &mut Vec<Output>,
) {
    let table = &mut board.quarantine;
    table.running_suspects.remove(&request.work);
    table.recent_runs.add(now.monotonic, request.fingerprint);
    table.last_answer_at = now.monotonic;
    if table.is_empty() {
        return;
    }
    let Some(service) = own_service(board) else {
        return;
    };
    clear_at(board, now, &service, request, out);
}

/// Records that the backend server of this host answered work with an error.
///
/// It says nothing of a suspect, see [`speaks_for_request`].
pub(crate) fn on_work_failed(board: &mut Blackboard, now: Moment, work: WorkId) {
    let table = &mut board.quarantine;
    table.running_suspects.remove(&work);
    table.last_answer_at = now.monotonic;
}

/// Records that the connection of a piece of work broke while it ran.
pub(crate) fn on_connection_broken(board: &mut Blackboard, now: Moment, request: InFlightRequest) {
    let table = &board.quarantine;
    if table.counted_work.contains(&request.work) || table.in_flight_at_silence.is_some() {
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
    let Some(in_flight) = take_in_flight(board, now, in_flight) else {
        return;
    };
    board.counters.increment(Counter::BackendDeaths);
    record_crash(board, now, in_flight, out);
}

/// Records a crash with what was in flight at it.
fn record_crash(
    board: &mut Blackboard,
    now: Moment,
    in_flight: Vec<InFlightRequest>,
    out: &mut Vec<Output>,
) {
    let Some(service) = own_service(board) else {
        return;
    };
    let mut suspects = suspects_of(board, now, in_flight, out);
    if suspects.is_empty() {
        return;
    }
    let crash = new_crash(board, &service);
    board.quarantine.own_crashes.insert(crash.id);
    let repeated = RepeatedSuspects::among(board, now, &service, &suspects);
    let score_of_each = score_among(suspects.len());
    suspects.truncate(CrashReport::SUSPECTS_LIMIT_COUNT);
    for suspect in &suspects {
        let fingerprint = suspect.fingerprint;
        let entry = board.quarantine.get_or_insert(now.monotonic, fingerprint);
        let earlier = entry.evidence_at(now.monotonic, &service);
        let score_milli = repeated
            .score_milli(earlier.crashes_count)
            .filter(|_| suspect.runs.is_isolated);
        let crash = Crash {
            score_milli: suspect.weighed(score_milli.unwrap_or(score_of_each)),
            ..crash.clone()
        };
        entry.add_crash(now.monotonic, crash);
        if entry.evidence_at(now.monotonic, &service).is_quarantined() {
            log_quarantined(&service, fingerprint, out);
        }
    }
    let fingerprints: Vec<Fingerprint> = suspects.iter().map(|of| of.fingerprint).collect();
    notify_of_crash(board, now, crash.id, &fingerprints, out);
}

/// Records that the backend server of this host gives no answers any more.
///
/// Nothing is suspected of it until another life reports. What is sent to its address meanwhile breaks
/// as well, but has never reached a backend server.
pub(crate) fn on_backend_silent(
    board: &mut Blackboard,
    now: Moment,
    in_flight: &[InFlightRequest],
) {
    if board.quarantine.in_flight_at_silence.is_some() {
        return;
    }
    let ended_at = first_break_since_answer(board);
    let in_flight = take_in_flight(board, now, in_flight);
    board.quarantine.in_flight_at_silence = in_flight.map(|mut in_flight| {
        // What was sent later met something that accepts connections in place of the backend server.
        in_flight.retain(|request| ended_at.is_none_or(|ended_at| request.started < ended_at));
        in_flight
    });
}

/// Records that the backend server of this host has broken connections and closes new ones.
///
/// Its process has ended, unless some run from before goes on: then it is treated as silent. Waiting for a report
/// of another life would leave other gates without news for as long as a restart takes, and a node that
/// is killed meanwhile forgets what was in flight.
pub(crate) fn on_backend_closes_connections(
    board: &mut Blackboard,
    now: Moment,
    in_flight: &[InFlightRequest],
    out: &mut Vec<Output>,
) {
    if board.quarantine.in_flight_at_silence.is_some() {
        return;
    }
    let running = board.quarantine.running.values().chain(in_flight);
    let first_started = running.map(|request| request.started).min();
    let ended_at = first_break_since_answer(board);
    let has_ended =
        ended_at.is_some_and(|ended_at| first_started.is_none_or(|started| started >= ended_at));
    on_backend_silent(board, now, in_flight);
    if !has_ended {
        return;
    }
    // What breaks from now on has never reached a backend server, and is ignored until it reports.
    let at_silence = board.quarantine.in_flight_at_silence.replace(Vec::new());
    record_crash(board, now, at_silence.unwrap_or_default(), out);
}

/// When the first connection broke since the backend server last answered, on the monotonic clock.
fn first_break_since_answer(board: &Blackboard) -> Option<Duration> {
    let table = &board.quarantine;
    let breaks = table.broken_work.iter().map(|(broken_at, _)| *broken_at);
    breaks
        .filter(|broken_at| *broken_at >= table.last_answer_at)
        .min()
}

/// Records that the backend server of this host reports.
pub(crate) fn on_backend_announced(board: &mut Blackboard) {
    board.quarantine.in_flight_at_silence = None;
}

/// What was in flight at a death, or when the backend server fell silent before; `None` if all of it was
/// counted at an earlier death.
fn take_in_flight(
    board: &mut Blackboard,
    now: Moment,
    in_flight: &[InFlightRequest],
) -> Option<Vec<InFlightRequest>> {
    let table = &mut board.quarantine;
    if let Some(in_flight) = table.in_flight_at_silence.take() {
        return Some(in_flight);
    }
    let in_flight: Vec<InFlightRequest> =
        table.running.values().chain(in_flight).copied().collect();
    let is_new = |request: &&InFlightRequest| !table.counted_work.contains(&request.work);
    let new: Vec<InFlightRequest> = in_flight.iter().filter(is_new).copied().collect();
    if new.is_empty() && !in_flight.is_empty() {
        return None;
    }
    table
        .counted_work
        .extend(new.iter().map(|request| request.work));
    table.running_suspects.clear();
    let broken_work = std::mem::take(&mut table.broken_work);
    let recent = broken_work
        .into_iter()
        .filter(|(broken_at, _)| now.monotonic <= *broken_at + BROKEN_WORK_RETENTION)
        .map(|(_, request)| request);
    Some(new.into_iter().chain(recent).collect())
}

/// The runs of one request that were in flight at a death.
#[derive(Clone, Copy, Debug, Default)]
struct RunsAtDeath {
    /// Whether one of them was isolated.
    is_isolated: bool,
    /// Whether no crash of the request became known since one of them began. Several gates may run it at the same
    /// moment, and lose their servers under others.
    knew_all: bool,
    /// Whether that one was isolated.
    knew_all_isolated: bool,
}

/// A request that may be to blame for a death.
struct Suspect {
    fingerprint: Fingerprint,
    runs: RunsAtDeath,
    ran_lately: bool,
}

impl Suspect {
    /// Its score, by the one that it would have if it had not run well lately.
    ///
    /// A path that many send is in flight at each crash, and has just run well. Whether it is to blame shows
    /// only by a crash under the one run that is allowed of it.
    ///
    /// A crash beside others of the same moment says nothing more of a request that shares the blame: all of
    /// them may have come under the request that it ran beside.
    fn weighed(&self, score_milli: u16) -> u16 {
        let is_alone = score_milli >= Evidence::ALONE_SCORE_MILLI;
        match (self.ran_lately, is_alone) {
            (false, true) => score_milli,
            (false, false) if self.runs.knew_all => score_milli,
            (true, true) if self.runs.knew_all_isolated => Evidence::RAN_WELL_SCORE_MILLI,
            _ => 0,
        }
    }
}

/// What may be to blame for a death, the one that started last first.
fn suspects_of(
    board: &Blackboard,
    now: Moment,
    in_flight: Vec<InFlightRequest>,
    out: &mut Vec<Output>,
) -> Vec<Suspect> {
    let table = &board.quarantine;
    let mut runs: BTreeMap<Fingerprint, RunsAtDeath> = BTreeMap::new();
    for request in &in_flight {
        let entry = table.get(request.fingerprint);
        let knew_all = entry.is_none_or(|entry| entry.last_crash_known_at() <= request.started);
        let of_request = runs.entry(request.fingerprint).or_default();
        of_request.is_isolated |= request.is_isolated;
        of_request.knew_all |= knew_all;
        of_request.knew_all_isolated |= knew_all && request.is_isolated;
    }
    let suspect = |fingerprint| Suspect {
        fingerprint,
        runs: runs.get(&fingerprint).copied().unwrap_or_default(),
        ran_lately: table.recent_runs.contains(now.monotonic, fingerprint),
    };
    let fingerprints = fingerprints_latest_first(in_flight).into_iter();
    let suspects: Vec<Suspect> = fingerprints.map(suspect).collect();
    if !suspects.is_empty() {
        let ran_lately = suspects.iter().filter(|suspect| suspect.ran_lately);
        let detail = format!(
            "{} different requests were in flight, {} of them ran well lately",
            suspects.len(),
            ran_lately.count()
        );
        out.push(Output::Note(Note::warn("backend_server_died", detail)));
    }
    suspects
}

fn new_crash(board: &mut Blackboard, service: &ServiceName) -> Crash {
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
        service: service.clone(),
        score_milli: 0,
        is_cleared: false,
    }
}

/// Score of each of so many suspects. A crash says something of each, however many they are.
fn score_among(suspects_count: usize) -> u16 {
    (usize::from(Evidence::ALONE_SCORE_MILLI) / suspects_count).max(1) as u16
}

/// The suspects of a death that were in flight at the most deaths before.
///
/// With two or more of them behind it, a request is to blame rather than the new ones beside it, if the crashes
/// were known when its run began: several may end at the same moment under different requests.
struct RepeatedSuspects {
    earlier_crashes_count: usize,
    count: usize,
}

impl RepeatedSuspects {
    fn among(board: &Blackboard, now: Moment, service: &str, suspects: &[Suspect]) -> Self {
        let table = &board.quarantine;
        let evidence = suspects
            .iter()
            .map(|suspect| table.evidence_at(now.monotonic, service, suspect.fingerprint));
        let counts = evidence.map(|evidence| evidence.crashes_count);
        let counts: Vec<usize> = counts.collect();
        let most_count = counts.iter().copied().max().unwrap_or_default();
        Self {
            earlier_crashes_count: most_count,
            count: counts.iter().filter(|count| **count == most_count).count(),
        }
    }

    /// Score of a suspect with so many earlier crashes, if it is one of these.
    fn score_milli(&self, earlier_crashes_count: usize) -> Option<u16> {
        let is_one = earlier_crashes_count == self.earlier_crashes_count;
        let is_repeated = earlier_crashes_count >= Evidence::CLEAR_CRASHES_COUNT;
        (is_one && is_repeated).then(|| score_among(self.count))
    }
}

fn log_quarantined(service: &str, fingerprint: Fingerprint, out: &mut Vec<Output>) {
    let detail =
        format!("requests {fingerprint:016x} to {service} are refused after at least two crashes");
    out.push(Output::Note(Note::new(
        Severity::Error,
        "quarantined",
        detail,
    )));
}

/// Records how a run of a call on a route ended.
pub(crate) fn on_run_ended(
    board: &mut Blackboard,
    now: Moment,
    input: RunInput,
    out: &mut Vec<Output>,
) {
    let work = match input {
        RunInput::Answered { work }
        | RunInput::Failed { work }
        | RunInput::Broken { work }
        | RunInput::NotRun { work } => work,
    };
    let Some(request) = board.quarantine.running.remove(&work) else {
        return;
    };
    match input {
        RunInput::Answered { .. } => on_work_ran(board, now, request, out),
        RunInput::Failed { .. } => on_work_failed(board, now, work),
        RunInput::Broken { .. } => on_connection_broken(board, now, request),
        RunInput::NotRun { .. } => {}
    }
    on_work_ended(board, work);
}
