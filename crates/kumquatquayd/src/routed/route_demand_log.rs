//! Logs what a node has learnt about the demand of routes.

use std::{cell::RefCell, collections::HashMap, time::Duration};

use kumquatquay_wire::{
    ServiceName,
    routed::{RouteEstimate, ServiceDemand},
};

/// Minimum interval between two log lines on one route at one service.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(2);

/// Relative change of a count of calls from which on it is logged again.
const CALLS_CHANGE_RATIO: f32 = 0.25;

/// The same for the slot time of the calls, which varies with the load.
const WORK_CHANGE_RATIO: f32 = 0.5;

/// Number of routes, each at its service, that are logged.
const ROUTES_LIMIT_COUNT: usize = 256;

/// The demand that was logged last for each route.
///
/// Root requests are refused because of the services that their route is assumed to call. Only
/// these lines show afterwards whether a request was refused, or admitted, on a wrong assumption.
#[derive(Debug, Default)]
pub(crate) struct RouteDemandLog {
    logged: RefCell<HashMap<(String, ServiceName), LoggedDemand>>,
}

#[derive(Debug)]
struct LoggedDemand {
    logged_at: Duration,
    update: RouteEstimate,
}

impl RouteDemandLog {
    /// Logs the demand of a route if it differs from what was logged last.
    pub(crate) fn log_if_changed(
        &self,
        now: Duration,
        route: &str,
        service: &str,
        update: &RouteEstimate,
    ) {
        let mut logged = self.logged.borrow_mut();
        let key = (String::from(route), ServiceName::from(service));
        let last = logged.get(&key);
        let is_due = last.is_none_or(|last| now >= last.logged_at + MIN_LOG_INTERVAL);
        let is_same = last.is_some_and(|last| !differs(&last.update, update));
        if !is_due || is_same || (last.is_none() && logged.len() >= ROUTES_LIMIT_COUNT) {
            return;
        }
        let demands = update.demands.iter();
        let demands = demands.map(|demand| {
            let work_ms = f64::from(demand.work_us) / 1_000.0;
            format!("{} {:.1} {work_ms:.0} ms", demand.service, demand.calls)
        });
        log::info!(event = "route_learnt", route = route, service = service,
            is_settled = update.is_settled, is_from_outside = update.is_from_outside,
            leads_to = demands.collect::<Vec<_>>().join(", ").as_str();
            "learnt the demand of a route: calls at each service and their slot time");
        let update = update.clone();
        logged.insert(
            key,
            LoggedDemand {
                logged_at: now,
                update,
            },
        );
    }
}

fn differs(last: &RouteEstimate, update: &RouteEstimate) -> bool {
    let demand_at = |update: &RouteEstimate, service: &str| {
        let mut known = update.demands.iter();
        known.find(|demand| demand.service == service).cloned()
    };
    let changed = |demand: &ServiceDemand| {
        let known = demand_at(last, &demand.service).unwrap_or_default();
        let calls = (demand.calls - known.calls).abs();
        let work_us = demand.work_us.abs_diff(known.work_us);
        calls > CALLS_CHANGE_RATIO * demand.calls.max(1.0)
            || work_us as f32 > WORK_CHANGE_RATIO * demand.work_us as f32
    };
    let removed = |demand: &ServiceDemand| demand_at(update, &demand.service).is_none();
    last.is_from_outside != update.is_from_outside
        || last.is_settled != update.is_settled
        || update.demands.iter().any(changed)
        || last.demands.iter().any(removed)
}
