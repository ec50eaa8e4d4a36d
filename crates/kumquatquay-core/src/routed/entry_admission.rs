//! Admission control of root requests at the entry.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    time::Duration,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{GateReport, Priority, RouteEstimate, ServiceDemand, ServicePressure},
};

use super::{
    offered_load::OfferedLoad,
    pooled_estimates::{PooledEstimates, is_plausible},
    service_levels::{LEVEL_EXPIRY, ServiceLevels},
};

/// Mean calls per request at a service below which the level of the service doesn't apply to a
/// route.
const MIN_CALLS_COUNT: f32 = 0.2;

/// Share of the load that must be less important than a request for the held level to apply to it.
const MIN_LOWER_LOAD_RATIO: f64 = 0.05;

/// Limit of the services that are tracked, and of the routes.
const MAX_TRACKED_COUNT: usize = 1_024;

/// Run time that is assumed for a call until a gate reports one.
const DEFAULT_RUN_TIME_S: f64 = 0.05;

/// Admission control of root requests, by the levels of the services that they reach.
///
/// A level is the share of the load offered to a service for which it has room. All entries
/// order requests in the same way, by their priority and then by a tie breaker of their own, and
/// admit those below the level. So an overloaded service refuses the least important requests
/// first, at whatever entry they arrive, and admitted requests find room at each service that
/// they reach.
#[derive(Debug, Default)]
pub struct EntryAdmission {
    services: HashMap<ServiceName, ServiceLevels>,
    /// By name of the route.
    routes: HashMap<String, RouteState>,
}

/// Work that one request causes at a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceWork {
    /// The service.
    pub service: ServiceName,
    /// Time for which all of its calls occupy slots of the service.
    pub work: Duration,
}

#[derive(Debug, Default)]
struct RouteState {
    /// By the service whose gates reported it, as a route may be split among services.
    updates: BTreeMap<ServiceName, PooledEstimates>,
    offered: OfferedLoad,
}

/// A request at the entry.
#[derive(Clone, Copy, Debug)]
pub struct EntryRequest<'a> {
    /// Its route.
    pub route: &'a str,
    /// Service to which the route sends it.
    pub service: &'a str,
    /// Priority of the root request.
    pub priority: Priority,
    /// Order among requests of the same priority, from 0 to 1; the higher are refused first.
    pub tie_breaker: f64,
}

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq)]
pub struct Shortage {
    /// The overloaded service.
    pub service: ServiceName,
    /// Its level, from 0 to 1.
    pub level: f64,
    /// Age of the level.
    pub age: Duration,
    /// Share of the requests of the same priority that are admitted.
    pub admission_probability: f64,
    /// How long the service has been overloaded.
    pub duration: Duration,
}

/// Offered load of a service by its importance relative to a request, as shares from 0 to 1.
#[derive(Clone, Copy, Debug)]
struct LoadOrder {
    /// Share of the more important load.
    higher_ratio: f64,
    /// Share of the load of the same priority.
    same_ratio: f64,
}

impl EntryAdmission {
    // Observations

    /// Records the report of a gate of a service.
    pub fn on_gate(&mut self, now: Duration, service: &str, gate: SocketAddr, report: &GateReport) {
        if let Some(levels) = self.service_mut(service) {
            levels.on_gate(now, gate, report);
        }
    }

    /// Records the level of a service that another node reports.
    pub fn on_pressure(&mut self, now: Duration, pressure: &ServicePressure) {
        if let Some(levels) = self.service_mut(&pressure.service) {
            levels.on_pressure(now, pressure);
        }
    }

    /// Levels of a service; `None` if it is new and too many are tracked.
    fn service_mut(&mut self, service: &str) -> Option<&mut ServiceLevels> {
        if !self.services.contains_key(service) && self.services.len() < MAX_TRACKED_COUNT {
            let service = ServiceName::from(service);
            self.services.insert(service, ServiceLevels::default());
        }
        self.services.get_mut(service)
    }

    /// Records what a gate has learnt of a route at its service; `false` if the update is
    /// implausible, in which case it is ignored.
    pub fn on_route_update(
        &mut self,
        now: Duration,
        route: &str,
        service: &str,
        gate: SocketAddr,
        update: RouteEstimate,
    ) -> bool {
        if !is_plausible(&update, |service| self.reported_run_time_s(now, service)) {
            return false;
        }
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_TRACKED_COUNT {
            return true;
        }
        let updates = &mut self.routes.entry(String::from(route)).or_default().updates;
        let pooled = updates.entry(ServiceName::from(service)).or_default();
        pooled.record(now, gate, update);
        true
    }

    // State

    /// Whether a route is used by callers from outside; `None` if nothing is known of it.
    pub fn is_from_outside(&self, now: Duration, route: &str) -> Option<bool> {
        let mut updates = self.updates(now, route).peekable();
        updates.peek()?;
        Some(updates.any(|(_, update)| update.is_from_outside))
    }

    /// Calls that one run of a route at a service causes at each service, its own run included.
    pub fn demands(&self, now: Duration, route: &str, service: &str) -> &[ServiceDemand] {
        self.update_at(now, route, service)
            .map_or(&[], |update| &update.demands)
    }

    /// Mean of [`demands`](Self::demands) over the services among which a route is split.
    pub fn all_demands(&self, now: Duration, route: &str) -> Vec<ServiceDemand> {
        let updates: Vec<&RouteEstimate> =
            self.updates(now, route).map(|(_, update)| update).collect();
        let share = 1.0 / updates.len().max(1) as f32;
        let all = updates.into_iter().flat_map(|update| &update.demands);
        all.map(|demand| demand.scaled(share)).collect()
    }

    /// Work that one request of a route causes at each service that it reaches; empty if nothing
    /// is known of the route.
    pub fn work_by_service(&self, now: Duration, route: &str, service: &str) -> Vec<ServiceWork> {
        let reached = self.demands(now, route, service).iter();
        let works = reached.map(|demand| ServiceWork {
            service: demand.service.clone(),
            work: Duration::from_secs_f64(self.work_s(now, demand)),
        });
        works.collect()
    }

    /// Work of a demand, in seconds; if it isn't known, from the mean run time of calls at its
    /// service.
    fn work_s(&self, now: Duration, demand: &ServiceDemand) -> f64 {
        if demand.work_us > 0 {
            return f64::from(demand.work_us) / 1e6;
        }
        let mean_s = self.reported_run_time_s(now, &demand.service);
        f64::from(demand.calls) * mean_s.unwrap_or(DEFAULT_RUN_TIME_S)
    }

    /// Mean run time of a call at a service, in seconds, if its gates have reported it.
    fn reported_run_time_s(&self, now: Duration, service: &str) -> Option<f64> {
        self.services.get(service)?.mean_run_time_s(now)
    }

    /// Level of a service as this node knows it, with the age of the newest report.
    pub fn level(&self, now: Duration, service: &str) -> Option<(f64, Duration)> {
        let report = self.services.get(service)?.current(now)?;
        Some((report.level_at(now), now.saturating_sub(report.reported_at)))
    }

    /// Levels of these services to report to other nodes; expired ones are left out.
    pub fn pressures(&self, now: Duration, demands: &[ServiceDemand]) -> Vec<ServicePressure> {
        let pressures = demands.iter().filter_map(|demand| {
            let service = &demand.service;
            let report = self.services.get(service)?.current(now)?;
            let age = now.saturating_sub(report.reported_at);
            (age < LEVEL_EXPIRY).then(|| ServicePressure {
                service: service.clone(),
                level: report.level as f32,
                age_ms: age.as_millis() as u32,
            })
        });
        pressures.collect()
    }

    // Decisions

    /// Admits a request, or returns the service that has no room for it.
    ///
    /// `route_priorities` holds the priorities of all routes, for requests without one of their
    /// own. Calls of backend servers belong to root requests that were admitted already, and are
    /// never refused here. Requests on routes of which nothing is known are admitted too.
    ///
    /// # Errors
    ///
    /// The overloaded service.
    pub fn admit(
        &mut self,
        now: Duration,
        request: &EntryRequest<'_>,
        route_priorities: &BTreeMap<String, Priority>,
    ) -> Result<(), Shortage> {
        let Some(route) = self.routes.get_mut(request.route) else {
            return Ok(());
        };
        route.offered.on_request(now, request.priority);
        let update = self.update_at(now, request.route, request.service);
        let Some(update) = update.filter(|update| update.is_from_outside) else {
            return Ok(());
        };
        let reached = update.demands.iter();
        let reached = reached.filter(|demand| demand.calls >= MIN_CALLS_COUNT);
        for demand in reached {
            self.admit_at(now, &demand.service, request, route_priorities)?;
        }
        Ok(())
    }

    fn admit_at(
        &self,
        now: Duration,
        service: &str,
        request: &EntryRequest<'_>,
        route_priorities: &BTreeMap<String, Priority>,
    ) -> Result<(), Shortage> {
        let (Some(levels), Some((level, age))) =
            (self.services.get(service), self.level(now, service))
        else {
            return Ok(());
        };
        let duration = levels.shortage_duration(now, level);
        let held_level = levels.held_level(now, level);
        if level >= 1.0 {
            return Ok(());
        }
        let load_order = self.load_order(now, service, request, route_priorities);
        let has_lower_load = load_order.lower_ratio() >= MIN_LOWER_LOAD_RATIO;
        let level = if has_lower_load { held_level } else { level };
        load_order
            .admit(request.tie_breaker, level)
            .map_err(|admission_probability| Shortage {
                service: ServiceName::from(service),
                level,
                age,
                admission_probability,
                duration,
            })
    }

    fn load_order(
        &self,
        now: Duration,
        service: &str,
        request: &EntryRequest<'_>,
        route_priorities: &BTreeMap<String, Priority>,
    ) -> LoadOrder {
        let (mut higher, mut same, mut all) = (0.0, 0.0, 0.0);
        for (route, state) in &self.routes {
            let Some(priority) = route_priorities.get(route).copied() else {
                continue;
            };
            let work_s = self.request_work_s(now, state, service);
            for offered in state.offered.priorities(now, priority) {
                let load = work_s * offered.requests_count;
                all += load;
                if offered.priority < request.priority {
                    higher += load;
                } else if offered.priority == request.priority {
                    same += load;
                }
            }
        }
        if same <= 0.0 {
            // No load of this priority is known: the request counts as all of the load.
            return LoadOrder {
                higher_ratio: 0.0,
                same_ratio: 1.0,
            };
        }
        LoadOrder {
            higher_ratio: higher / all,
            same_ratio: same / all,
        }
    }

    /// Work that a request of a route causes at a service, in seconds.
    fn request_work_s(&self, now: Duration, route: &RouteState, service: &str) -> f64 {
        let updates = route.updates.values().filter_map(|pooled| pooled.get(now));
        let outside = updates.filter(|update| update.is_from_outside);
        let reached = outside.flat_map(|update| &update.demands);
        let demands = reached.filter(|demand| demand.service == service);
        demands.map(|demand| self.work_s(now, demand)).sum()
    }

    fn updates(
        &self,
        now: Duration,
        route: &str,
    ) -> impl Iterator<Item = (&ServiceName, &RouteEstimate)> {
        let routes = self.routes.get(route).into_iter();
        let updates = routes.flat_map(|route| &route.updates);
        updates.filter_map(move |(service, pooled)| Some((service, pooled.get(now)?)))
    }

    fn update_at(&self, now: Duration, route: &str, service: &str) -> Option<&RouteEstimate> {
        self.routes.get(route)?.updates.get(service)?.get(now)
    }
}

impl LoadOrder {
    /// Share of the less important load.
    fn lower_ratio(self) -> f64 {
        1.0 - self.higher_ratio - self.same_ratio
    }

    /// Admits a request with this tie breaker, or returns the share of the requests of its
    /// priority that is admitted.
    fn admit(self, tie_breaker: f64, level: f64) -> Result<(), f64> {
        if self.higher_ratio + self.same_ratio * tie_breaker < level {
            return Ok(());
        }
        Err(((level - self.higher_ratio) / self.same_ratio).clamp(0.0, 1.0))
    }
}
