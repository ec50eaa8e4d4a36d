//! Load balancing: picks the endpoint of a call, and ejects outliers.

use std::{net::SocketAddr, time::Duration};

use kumquatquay_wire::{Importance, Incarnation, OperationRef};
use rand::Rng;

use super::{Endpoint, service_table::ServiceId};
use crate::{Blackboard, membership::Candidate};

/// Random samples for an eligible candidate before all candidates are scanned.
const SAMPLES_COUNT: usize = 3;

/// At most 1 in this number of the backend servers of a service is ejected.
const EJECTED_DIVISOR: usize = 3;

/// Maximum relative difference of two costs that counts as a tie, which the reported health
/// breaks.
const TIE_RATIO: f64 = 0.1;

/// Criteria by which an endpoint is picked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickCriteria<'a> {
    /// Service that is called; `None` if it is not in the service table.
    pub(crate) service: Option<ServiceId>,
    /// Importance of the call.
    pub(crate) importance: Importance,
    /// Endpoints of earlier attempts of the call.
    pub(crate) tried: &'a [SocketAddr],
    /// Whether calls are spread over all data centres, because the rate limit of the caller is
    /// divided among all backend servers and could not be used up otherwise.
    pub(crate) uses_all_data_centres: bool,
}

/// Endpoint that was picked for a call.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PickedEndpoint {
    pub(crate) peer: SocketAddr,
    incarnation: Incarnation,
    slow_start_from: Duration,
}

impl PickedEndpoint {
    /// The home node of an operation, which bypasses load balancing.
    pub(crate) fn home(home: &OperationRef) -> Self {
        Self {
            peer: home.home,
            incarnation: home.home_incarnation,
            slow_start_from: Duration::ZERO,
        }
    }

    fn new(candidate: &Candidate) -> Self {
        Self {
            peer: candidate.peer,
            incarnation: candidate.incarnation,
            slow_start_from: candidate.takes_calls_since,
        }
    }
}

/// Returns the endpoint at an address, if it is a candidate for calls of the service.
pub(crate) fn endpoint_at(
    board: &Blackboard,
    name: &str,
    peer: SocketAddr,
) -> Option<PickedEndpoint> {
    let mut candidates = board.members.candidates(name).iter();
    let candidate = candidates.find(|candidate| candidate.peer == peer);
    candidate.map(PickedEndpoint::new)
}

/// Picks an endpoint by the power of two choices: the one with the lower cost of two random
/// samples.
///
/// The own data centre is preferred. Calls that its level would refuse spill over to data
/// centres that admit them. If no candidate is left there, any untried one is picked, and at
/// last the first candidate.
pub(crate) fn pick(
    board: &mut Blackboard,
    now: Duration,
    name: &str,
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
    let is_own_admitted = own.first().is_some_and(is_admitted);
    let can_spill = others.iter().any(is_admitted);
    let pool = if criteria.uses_all_data_centres {
        candidates
    } else if own.is_empty() || (!is_own_admitted && can_spill) {
        others
    } else {
        own
    };
    let is_spilling = !is_own_admitted && !criteria.uses_all_data_centres;
    let is_eligible = |candidate: &&Candidate| {
        let is_tried = criteria.tried.contains(&candidate.peer);
        let is_ejected = overload.is_ejected(criteria.service, candidate.peer, now);
        let is_leaving = overload.is_leaving(candidate.peer, now);
        let is_unavailable = is_ejected || is_leaving;
        let is_degraded = candidate.is_warming || candidate.is_suspect || is_unavailable;
        let is_refusing = is_spilling && !is_admitted(candidate);
        !is_tried && !is_degraded && !is_refusing
    };
    let first = sample(random, pool, is_eligible);
    let second = sample(random, pool, is_eligible);
    let chosen = match (first, second) {
        (Some(first), Some(second)) => {
            Some(lower_cost(overload, now, criteria.service, first, second))
        }
        _ => pick_by_scan(pool, is_eligible, criteria.tried).or_else(|| {
            let untried = |candidate: &&Candidate| !criteria.tried.contains(&candidate.peer);
            candidates.iter().find(untried).or(candidates.first())
        }),
    };
    chosen.map(PickedEndpoint::new)
}

fn sample<'a>(
    random: &mut impl Rng,
    pool: &'a [Candidate],
    is_eligible: impl Fn(&&Candidate) -> bool,
) -> Option<&'a Candidate> {
    if pool.is_empty() {
        return None;
    }
    let mut samples = (0..SAMPLES_COUNT).map(|_| &pool[random.random_range(0..pool.len())]);
    samples.find(|candidate| is_eligible(candidate))
}

/// Picks the first candidate that is eligible, else one that was not tried and is not suspect,
/// else one that was not tried.
fn pick_by_scan<'a>(
    pool: &'a [Candidate],
    is_eligible: impl Fn(&&Candidate) -> bool,
    tried: &[SocketAddr],
) -> Option<&'a Candidate> {
    let untried = |candidate: &&Candidate| !tried.contains(&candidate.peer);
    let eligible = pool.iter().find(is_eligible);
    let trusted = || {
        let is_trusted = |candidate: &&Candidate| untried(candidate) && !candidate.is_suspect;
        pool.iter().find(is_trusted)
    };
    eligible
        .or_else(trusted)
        .or_else(|| pool.iter().find(untried))
}

fn lower_cost<'a>(
    overload: &super::OverloadTable,
    now: Duration,
    service: Option<ServiceId>,
    first: &'a Candidate,
    second: &'a Candidate,
) -> &'a Candidate {
    let service_latency_s = service.map_or(0.0, |id| overload.services.get(id).latency_s);
    let cost_and_health = |candidate: &Candidate| {
        let fresh;
        let endpoint = match overload.endpoints.get(&candidate.peer) {
            Some(endpoint) if !endpoint.has_other_incarnation(candidate.incarnation) => endpoint,
            _ => {
                fresh = Endpoint::new(candidate.incarnation, candidate.takes_calls_since);
                &fresh
            }
        };
        let cost = endpoint.cost(now, service_latency_s, candidate.slots_count);
        (cost, endpoint.is_reported_ill())
    };
    let (first_cost, is_first_ill) = cost_and_health(first);
    let (second_cost, is_second_ill) = cost_and_health(second);
    let is_tie = (first_cost - second_cost).abs() <= TIE_RATIO * first_cost.max(second_cost);
    let is_first_better = if is_tie && is_first_ill != is_second_ill {
        is_second_ill
    } else {
        first_cost <= second_cost
    };
    if is_first_better { first } else { second }
}

/// Records that an attempt is sent to an endpoint.
pub(crate) fn on_sent(board: &mut Blackboard, picked: PickedEndpoint) {
    let fresh = || Endpoint::new(picked.incarnation, picked.slow_start_from);
    let endpoint = board.overload.endpoints.entry(picked.peer);
    let endpoint = endpoint.or_insert_with(fresh);
    if endpoint.has_other_incarnation(picked.incarnation) {
        *endpoint = fresh();
    }
    endpoint.outstanding_count += 1;
}

/// Result of an attempt, as far as its endpoint is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointResult {
    /// The call ran; with its latency.
    Ran(Duration),
    /// The backend server or its node refused the call without running it, which shows load
    /// rather than bad health.
    Rejected,
    /// The attempt was cancelled or timed out, which shows nothing about the endpoint.
    Cancelled,
    /// The attempt failed.
    Failed,
}

/// Records the result of an attempt at its endpoint.
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
    update_ejection(board, now, id, peer);
}

/// Ejects an endpoint that is an outlier, unless too many are.
///
/// When a whole service becomes slow, each of its backend servers fails calls. Ejecting one
/// after the other would move their load to the rest until none is left. So at most a third is
/// ejected at a time. If more than a third are outliers besides the ejected ones, the cause is
/// load or the network, and all ejections end.
fn update_ejection(board: &mut Blackboard, now: Duration, id: ServiceId, peer: SocketAddr) {
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
    let limit_count = board.members.candidates(&service.name).len() / EJECTED_DIVISOR;
    if service.outliers.len() > limit_count {
        service.ejected.clear();
        return;
    }
    let is_ejected = service.ejected.iter().any(|(ejected, _)| *ejected == peer);
    if is_ejected || service.ejected.len() >= limit_count {
        return;
    }
    service.ejected.push((peer, endpoint.eject(now)));
    service.outliers.retain(|outlier| *outlier != peer);
    board
        .counters
        .increment(crate::Counter::BackendServersEjected);
}
