//! Ledgers, retry allowance, levels and routing: what is decided.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use kumquatquay_wire::{Importance, ServiceLevel};

use super::{
    observed_level::ObservedLevel,
    route::{Route, RouteKey},
    service_table::{Service, ServiceId},
};
use crate::{Blackboard, Moment, Output};

/// How often lapsed ledgers and targets are cleared away.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long a change of the own level to open is told.
const TOLD_AFTER_CHANGE: Duration = Duration::from_secs(2);

/// Time without answers after which rumours of a level count.
const RUMOUR_AFTER: Duration = Duration::from_millis(600);

/// Levels that one node tells at a time.
const TOLD_LIMIT_COUNT: usize = 8;

pub(crate) fn on_tick(board: &mut Blackboard, now: Moment, _out: &mut Vec<Output>) {
    let now = now.monotonic;
    if now.saturating_sub(board.overload.last_sweep) < SWEEP_INTERVAL {
        return;
    }
    board.overload.last_sweep = now;
    board.overload.ledgers.remove_expired(now);
    remove_departed_endpoints(board);
}

/// Forgets backend servers that are gone, once nothing is out there.
fn remove_departed_endpoints(board: &mut Blackboard) {
    let is_crowded = board.overload.endpoints.len() > board.members.iter().count();
    if !is_crowded {
        return;
    }
    let peers: BTreeSet<_> = board.members.iter().map(|member| member.peer).collect();
    let endpoints = &mut board.overload.endpoints;
    endpoints.retain(|peer, endpoint| endpoint.outstanding_count > 0 || peers.contains(peer));
}

/// Takes in a level that another node tells of.
pub(crate) fn on_level_rumour(board: &mut Blackboard, now: Moment, level: ServiceLevel) {
    if !is_answered_for(board, now.monotonic, &level) {
        observe_levels(board, now.monotonic, &[level]);
    }
}

/// Whether answers told of a level lately. They come from all gates; a rumour
/// comes only from those that refuse, and would close a service that has room.
fn is_answered_for(board: &Blackboard, now: Duration, level: &ServiceLevel) -> bool {
    let known = board.overload.services.id(&level.service);
    let Some(id) = known else {
        return false;
    };
    let mut levels = board.overload.services.get(id).levels.iter();
    let known = levels.find(|known| known.data_centre == level.data_centre);
    known.is_some_and(|known| known.age(now) < RUMOUR_AFTER)
}

/// Takes in the level of one gate from its own answer: what the service admits is
/// the least that any of its gates asked for lately.
///
/// One slow backend server fills its gate, refuses and raises its level, while its
/// peers have room. An average would refuse callers at the entry that the peers
/// could serve; calls that the slow one refuses are made again there.
pub(crate) fn observe_gate_level(
    board: &mut Blackboard,
    now: Duration,
    peer: SocketAddr,
    told: &ServiceLevel,
) {
    let overload = &mut board.overload;
    let Some(endpoint) = overload.endpoints.get_mut(&peer) else {
        return;
    };
    endpoint.on_level(now, told.least_admitted);
    let candidates = board.members.candidates(&told.service).iter();
    let beside = candidates.filter(|candidate| candidate.data_centre == told.data_centre);
    let endpoints = beside.filter_map(|candidate| overload.endpoints.get(&candidate.peer));
    let levels = endpoints.filter_map(|endpoint| endpoint.level(now));
    let least = levels.min().unwrap_or(told.least_admitted);
    if let Some(id) = overload.services.get_or_insert_id(&told.service) {
        let service = overload.services.get_mut(id);
        service.observe_level(&told.data_centre, least, now);
    }
}

/// Takes in levels from an answer or a rumour; says which services they name.
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

/// Levels that this node has to tell others: its own, then those it learnt.
pub(crate) fn levels_to_gossip(board: &Blackboard, now: Moment) -> Vec<ServiceLevel> {
    if !board.settings.policy.has_levels {
        return Vec::new();
    }
    let now = now.monotonic;
    let own = own_level(board).filter(|level| {
        let changed = board.gate.level_controller.last_change();
        let is_news = changed.is_some_and(|at| now.saturating_sub(at) < TOLD_AFTER_CHANGE);
        is_news || level.least_admitted > Importance::LEAST
    });
    let learnt = board.overload.services.iter();
    let learnt = learnt.flat_map(|service| known_levels(service, now, false));
    own.into_iter()
        .chain(learnt)
        .take(TOLD_LIMIT_COUNT)
        .collect()
}

/// Level of the backend server of this host.
pub(crate) fn own_level(board: &Blackboard) -> Option<ServiceLevel> {
    let service = board.members.own().service.clone()?;
    Some(ServiceLevel {
        service,
        data_centre: board.settings.data_centre.clone(),
        least_admitted: board.gate.level_controller.level(),
        age_ms: 0,
    })
}

/// What this node passes on of a service: levels that refuse something and
/// that somebody confirmed lately, or all of them.
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

/// The first service of a route that would refuse this importance everywhere.
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

/// Whether a service admits this importance in some data centre.
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

/// The highest level of a service, for the time to come back.
pub(crate) fn highest_level(service: &Service) -> Importance {
    let levels = service.levels.iter().map(ObservedLevel::least_admitted);
    levels.max().unwrap_or(Importance::LEAST)
}
