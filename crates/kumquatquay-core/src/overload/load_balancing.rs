//! Which backend server a call goes to.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{Importance, Incarnation, OperationRef};
use rand::Rng;

use super::{Endpoint, service_table::ServiceId};
use crate::{Blackboard, membership::Candidate};

/// How often a drawn candidate that can't be taken is drawn again before all
/// candidates are looked at.
const DRAWS_COUNT: usize = 3;

/// At most one in this many backend servers of a service is left out.
const EJECTED_SHARE_COUNT: usize = 3;

/// Costs that differ by no more than this share are a tie, which the reported
/// health breaks.
const TIE_RATIO: f64 = 0.1;

/// What is asked of a backend server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickCriteria<'a> {
    /// Service that is called; `None` if nothing is kept of it.
    pub(crate) service: Option<ServiceId>,
    /// Importance of the call.
    pub(crate) importance: Importance,
    /// Backend servers that were tried already.
    pub(crate) tried: &'a [SocketAddr],
    /// Whether all data centres take their share, so that the limit of a
    /// caller, which is divided among all backend servers, can be used up.
    pub(crate) uses_all_data_centres: bool,
}

/// Where a call goes.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickedEndpoint {
    pub(crate) peer: SocketAddr,
    incarnation: Incarnation,
    since: Duration,
}

impl PickedEndpoint {
    /// The home of an operation, which is not chosen.
    pub(crate) fn home(home: &OperationRef) -> Self {
        Self {
            peer: home.home,
            incarnation: home.home_incarnation,
            since: Duration::ZERO,
        }
    }

    fn new(candidate: &Candidate) -> Self {
        Self {
            peer: candidate.peer,
            incarnation: candidate.incarnation,
            since: candidate.since,
        }
    }
}

/// The backend server at an address, if it takes calls of a service.
pub(crate) fn endpoint_at(
    board: &Blackboard,
    name: &String,
    peer: SocketAddr,
) -> Option<PickedEndpoint> {
    let mut candidates = board.members.candidates(name).iter();
    let candidate = candidates.find(|candidate| candidate.peer == peer);
    candidate.map(PickedEndpoint::new)
}

/// Chooses the better of two backend servers drawn at random.
///
/// The own data centre goes first. Calls that it would refuse for want of room
/// go to data centres that admit them.
pub(crate) fn pick(
    board: &mut Blackboard,
    now: Duration,
    name: &String,
    criteria: PickCriteria<'_>,
) -> Option<PickedEndpoint> {
    let candidates = board.members.candidates(name);
    let random = &mut board.random;
    let overload = &board.overload;
    let is_admitted = |candidate: &Candidate| {
        let service = criteria.service.map(|id| overload.services.get(id));
        let jitter = overload.jitter;
        service.is_none_or(|service| {
            service.admits_all()
                || service.admits(&candidate.data_centre, now, criteria.importance, jitter)
        })
    };
    let own_count = candidates.partition_point(|candidate| candidate.is_own_data_centre);
    let (own, others) = candidates.split_at(own_count);
    let is_own_open = own.first().is_some_and(is_admitted);
    let can_spill = others.iter().any(is_admitted);
    let pool = if criteria.uses_all_data_centres {
        candidates
    } else if own.is_empty() || (!is_own_open && can_spill) {
        others
    } else {
        own
    };
    let is_spilling = !is_own_open && !criteria.uses_all_data_centres;
    let fits = |candidate: &&Candidate| {
        let is_tried = criteria.tried.contains(&candidate.peer);
        let is_ejected = overload.is_ejected(criteria.service, candidate.peer, now);
        let is_leaving = overload.is_leaving(candidate.peer, now);
        let is_out = is_ejected || is_leaving;
        let is_doubtful = candidate.is_warming || candidate.is_suspect || is_out;
        let is_refusing = is_spilling && !is_admitted(candidate);
        !is_tried && !is_doubtful && !is_refusing
    };
    let first = draw(random, pool, fits);
    let second = draw(random, pool, fits);
    let chosen = match (first, second) {
        (Some(first), Some(second)) => Some(better(overload, now, criteria.service, first, second)),
        _ => last_resort(pool, fits, criteria.tried).or_else(|| {
            let untried = |candidate: &&Candidate| !criteria.tried.contains(&candidate.peer);
            candidates.iter().find(untried).or(candidates.first())
        }),
    };
    chosen.map(PickedEndpoint::new)
}

fn draw<'a>(
    random: &mut impl Rng,
    pool: &'a [Candidate],
    fits: impl Fn(&&Candidate) -> bool,
) -> Option<&'a Candidate> {
    if pool.is_empty() {
        return None;
    }
    let mut draws = (0..DRAWS_COUNT).map(|_| &pool[random.random_range(0..pool.len())]);
    draws.find(|candidate| fits(candidate))
}

/// Looks at all candidates: at those that fit, then at those that are in doubt.
fn last_resort<'a>(
    pool: &'a [Candidate],
    fits: impl Fn(&&Candidate) -> bool,
    tried: &[SocketAddr],
) -> Option<&'a Candidate> {
    let untried = |candidate: &&Candidate| !tried.contains(&candidate.peer);
    let fitting = pool.iter().find(fits);
    let trusted = || {
        let is_trusted = |candidate: &&Candidate| untried(candidate) && !candidate.is_suspect;
        pool.iter().find(is_trusted)
    };
    fitting
        .or_else(trusted)
        .or_else(|| pool.iter().find(untried))
}

fn better<'a>(
    overload: &super::OverloadTable,
    now: Duration,
    service: Option<ServiceId>,
    first: &'a Candidate,
    second: &'a Candidate,
) -> &'a Candidate {
    let service_latency_s = service.map_or(0.0, |id| overload.services.get(id).latency_s);
    let look = |candidate: &Candidate| {
        let fresh;
        let endpoint = match overload.endpoints.get(&candidate.peer) {
            Some(endpoint) if !endpoint.has_other_incarnation(candidate.incarnation) => endpoint,
            _ => {
                fresh = Endpoint::new(candidate.incarnation, candidate.since);
                &fresh
            }
        };
        let cost = endpoint.cost(now, service_latency_s, candidate.slots_count);
        (cost, endpoint.is_reported_ill())
    };
    let (first_cost, is_first_ill) = look(first);
    let (second_cost, is_second_ill) = look(second);
    let is_tie = (first_cost - second_cost).abs() <= TIE_RATIO * first_cost.max(second_cost);
    let is_first_better = if is_tie && is_first_ill != is_second_ill {
        is_second_ill
    } else {
        first_cost <= second_cost
    };
    if is_first_better { first } else { second }
}

/// Notes that an attempt goes out to a backend server.
pub(crate) fn on_sent(board: &mut Blackboard, picked: PickedEndpoint) {
    let fresh = || Endpoint::new(picked.incarnation, picked.since);
    let endpoint = board.overload.endpoints.entry(picked.peer);
    let endpoint = endpoint.or_insert_with(fresh);
    if endpoint.has_other_incarnation(picked.incarnation) {
        *endpoint = fresh();
    }
    endpoint.outstanding_count += 1;
}

/// What an attempt tells of the backend server that it went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointResult {
    /// It ran the call, in this time.
    Ran(Duration),
    /// It or its node refused for want of room: a matter of load, not of health.
    Rejected,
    /// The attempt was given up: no evidence.
    Cancelled,
    /// It failed.
    Failed,
}

/// Takes in how an attempt ended.
pub(crate) fn on_ended(
    board: &mut Blackboard,
    now: Duration,
    service: Option<ServiceId>,
    peer: SocketAddr,
    result: EndpointResult,
) {
    let overload = &mut board.overload;
    let Some(endpoint) = overload.endpoints.get_mut(&peer) else {
        return;
    };
    endpoint.outstanding_count = endpoint.outstanding_count.saturating_sub(1);
    match result {
        EndpointResult::Ran(latency) => endpoint.on_answered(latency),
        EndpointResult::Failed => endpoint.on_failed(),
        EndpointResult::Rejected | EndpointResult::Cancelled => return,
    }
    let Some(id) = service else {
        return;
    };
    if let EndpointResult::Ran(latency) = result {
        overload.services.get_mut(id).observe_latency(latency);
    }
    judge(board, now, id, peer);
}

/// Ejects a backend server that looks bad, unless too many do.
///
/// When a service slows as a whole, each of its backend servers fails calls.
/// Ejecting them one after the other would push their load onto the rest until
/// none is left. So no more than a third is out at a time, and when more than a
/// third look bad, the cause is load or the network and all are taken back.
fn judge(board: &mut Blackboard, now: Duration, id: ServiceId, peer: SocketAddr) {
    let overload = &mut board.overload;
    let service = overload.services.get_mut(id);
    let Some(endpoint) = overload.endpoints.get_mut(&peer) else {
        return;
    };
    let is_outlier = endpoint.is_outlier(service.latency_s);
    service.outliers.retain(|outlier| *outlier != peer);
    service.ejected.retain(|(_, until)| *until > now);
    if !is_outlier {
        return;
    }
    service.outliers.push(peer);
    let limit_count = board.members.candidates(&service.name).len() / EJECTED_SHARE_COUNT;
    if service.outliers.len() > limit_count {
        service.ejected.clear();
        return;
    }
    let is_out = service.ejected.iter().any(|(ejected, _)| *ejected == peer);
    if is_out || service.ejected.len() >= limit_count {
        return;
    }
    service.ejected.push((peer, endpoint.eject(now)));
    service.outliers.retain(|outlier| *outlier != peer);
    board
        .counters
        .increment(crate::Counter::BackendServersEjected);
}
