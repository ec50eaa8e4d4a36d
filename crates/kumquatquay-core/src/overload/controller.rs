//! Levels of services: observation, gossip and admission of calls.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use kumquatquay_wire::{Importance, ServiceLevel};

use super::{
    observed_level::ObservedLevel,
    route::{Route, RouteKey},
    service_table::{Service, ServiceId},
};
use crate::{Blackboard, Moment, Output};

/// How often expired ledgers and departed endpoints are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which the own level is gossiped after it has fallen to admit all requests.
const GOSSIP_AFTER_CHANGE: Duration = Duration::from_secs(2);

/// Minimum age of the last observation of a level for a rumour about it to be accepted.
const MIN_AGE_FOR_RUMOUR: Duration = Duration::from_millis(600);

/// Maximum number of levels that a node gossips at a time.
const MAX_GOSSIPED_LEVELS_COUNT: usize = 8;

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, _out: &mut Vec<Output>) {
    let now = now.monotonic;
    if now.saturating_sub(board.overload.last_sweep) < SWEEP_INTERVAL {
        return;
    }
    board.overload.last_sweep = now;
    board.overload.ledgers.remove_expired(now);
    remove_departed_endpoints(board);
}

/// Removes endpoints that are no longer members and have no outstanding calls.
fn remove_departed_endpoints(board: &mut Blackboard) {
    let may_have_departed = board.overload.endpoints.len() > board.members.iter().count();
    if !may_have_departed {
        return;
    }
    let peers: BTreeSet<_> = board.members.iter().map(|member| member.peer).collect();
    let endpoints = &mut board.overload.endpoints;
    endpoints.retain(|peer, endpoint| endpoint.outstanding_count > 0 || peers.contains(peer));
}

/// Handles a level that another node gossips.
pub(crate) fn on_level_rumour(board: &mut Blackboard, now: Moment, level: ServiceLevel) {
    if !has_recent_observation(board, now.monotonic, &level) {
        observe_levels(board, now.monotonic, &[level]);
    }
}

/// Whether a level was observed so recently that rumours about it are ignored.
///
/// Answers come from all gates, but rumours only from gates that refuse; they would close a
/// service that has free capacity.
fn has_recent_observation(board: &Blackboard, now: Duration, level: &ServiceLevel) -> bool {
    let known = board.overload.services.id(&level.service);
    let Some(id) = known else {
        return false;
    };
    let mut levels = board.overload.services.get(id).levels.iter();
    let known = levels.find(|known| known.data_centre == level.data_centre);
    known.is_some_and(|known| known.age(now) < MIN_AGE_FOR_RUMOUR)
}

/// Records the level of a gate from its own answer; the observed level of the service is the
/// lowest recent level of its gates in that data centre.
///
/// A single slow backend server fills its gate, which refuses calls and raises its level, while
/// its peers have free capacity. With the average of the levels the entry would refuse requests
/// that the peers could serve; with the lowest one, calls that the slow one refuses are retried
/// at the peers.
pub(crate) fn observe_gate_level(
    board: &mut Blackboard,
    now: Duration,
    peer: SocketAddr,
    level: &ServiceLevel,
) {
    let overload = &mut board.overload;
    let Some(endpoint) = overload.endpoints.get_mut(&peer) else {
        return;
    };
    endpoint.on_level(now, level.least_admitted);
    let candidates = board.members.candidates(&level.service).iter();
    let same_data_centre =
        candidates.filter(|candidate| candidate.data_centre == level.data_centre);
    let endpoints =
        same_data_centre.filter_map(|candidate| overload.endpoints.get(&candidate.peer));
    let levels = endpoints.filter_map(|endpoint| endpoint.level(now));
    let lowest = levels.min().unwrap_or(level.least_admitted);
    if let Some(id) = overload.services.get_or_insert_id(&level.service) {
        let service = overload.services.get_mut(id);
        service.observe_level(&level.data_centre, lowest, now);
    }
}

/// Records levels from an answer or a rumour; returns the services that they name.
pub(crate) fn observe_levels(
    board: &mut Blackboard,
    now: Duration,
    levels: &[ServiceLevel],
) -> Vec<ServiceId> {
    let mut named = Vec::with_capacity(levels.len());
    for level in levels {
        let Some(id) = board.overload.services.get_or_insert_id(&level.service) else {
            continue;
        };
        if !named.contains(&id) {
            named.push(id);
        }
        let age = Duration::from_millis(u64::from(level.age_ms));
        let observed = now.saturating_sub(age);
        let service = board.overload.services.get_mut(id);
        service.observe_level(&level.data_centre, level.least_admitted, observed);
    }
    named
}

/// Levels that this node gossips: its own, then those that it has observed.
pub(crate) fn levels_to_gossip(board: &Blackboard, now: Moment) -> Vec<ServiceLevel> {
    if !board.settings.policy.has_levels {
        return Vec::new();
    }
    let now = now.monotonic;
    let own = own_level(board).filter(|level| {
        let changed = board.gate.level_controller.last_change();
        let is_recent = changed.is_some_and(|at| now.saturating_sub(at) < GOSSIP_AFTER_CHANGE);
        is_recent || level.least_admitted > Importance::LEAST
    });
    let observed = board.overload.services.iter();
    let observed = observed.flat_map(|service| known_levels(service, now, false));
    own.into_iter()
        .chain(observed)
        .take(MAX_GOSSIPED_LEVELS_COUNT)
        .collect()
}

/// Level of the gate of this host; `None` if no backend server is announced.
pub(crate) fn own_level(board: &Blackboard) -> Option<ServiceLevel> {
    let service = board.members.own().service.clone()?;
    Some(ServiceLevel {
        service,
        data_centre: board.settings.data_centre.clone(),
        least_admitted: board.gate.level_controller.level(),
        age_ms: 0,
    })
}

/// Observed levels of a service: those that refuse requests and have not expired, or all of
/// them if `includes_all` is set.
pub(crate) fn known_levels(
    service: &Service,
    now: Duration,
    includes_all: bool,
) -> impl Iterator<Item = ServiceLevel> + '_ {
    service
        .levels
        .iter()
        .filter(move |level| includes_all || (!level.admits_all() && !level.is_expired(now)))
        .map(move |level| ServiceLevel {
            service: service.name.clone(),
            data_centre: level.data_centre.clone(),
            least_admitted: level.least_admitted(),
            age_ms: level.age(now).as_millis().min(u128::from(u32::MAX)) as u32,
        })
}

/// Returns the first of the called service and those that the route reaches which admits this
/// importance in no data centre.
pub(crate) fn refusing_service(
    board: &Blackboard,
    now: Duration,
    called: Option<ServiceId>,
    route: RouteKey,
    importance: Importance,
) -> Option<ServiceId> {
    if !board.settings.policy.has_levels {
        return None;
    }
    let reached = board.overload.routes.peek(route).into_iter();
    let reached = reached.flat_map(Route::reached);
    let mut services = called.into_iter().chain(reached);
    services.find(|id| !is_admitted(board, now, *id, importance))
}

/// Whether a service admits this importance in at least one data centre; also true if it has no
/// known backend server.
pub(crate) fn is_admitted(
    board: &Blackboard,
    now: Duration,
    id: ServiceId,
    importance: Importance,
) -> bool {
    let service = board.overload.services.get(id);
    if service.admits_all() || !board.settings.policy.has_levels {
        return true;
    }
    let jitter = board.overload.jitter;
    let candidates = board.members.candidates(&service.name);
    candidates.is_empty()
        || candidates
            .iter()
            .any(|candidate| service.admits(&candidate.data_centre, now, importance, jitter))
}

/// Highest level of a service over all data centres, used to compute `Retry-After`.
pub(crate) fn highest_level(service: &Service) -> Importance {
    let levels = service.levels.iter().map(ObservedLevel::least_admitted);
    levels.max().unwrap_or(Importance::LEAST)
}
