//! Distinguishes routes that outside callers use from those that backend servers call.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::ServiceName;

/// Time for which a service counts as a caller after its last call.
const EXPIRY: Duration = Duration::from_secs(20);

/// Share of all services from whose hosts a route must be called to count as one of outside
/// callers.
///
/// Calls of outside callers come from all hosts, whatever service runs there; calls of a backend
/// server come from the hosts of its own service.
const OUTSIDE_MIN_RATIO: f64 = 0.6;

/// Minimum number of services from whose hosts such a route must be called.
const OUTSIDE_MIN_SERVICES_COUNT: usize = 2;

/// Calls of a route until which not all its callers may have been seen.
///
/// Until then, a route that is called from its own service and from another one counts as one of
/// outside callers, since a service rarely calls itself. With a few calls a second at each host,
/// the first surge would be over before the hosts of most services had made a call.
const FIRST_CALLS_COUNT: u32 = 40;

/// Maximum number of routes that are tracked.
const ROUTES_LIMIT_COUNT: usize = 512;

/// Services from whose hosts each route is called, as seen by the gate of the route's service.
#[derive(Debug, Default)]
pub struct RouteCallers {
    own_service: Option<ServiceName>,
    routes: HashMap<String, Callers>,
}

#[derive(Debug, Default)]
struct Callers {
    calls_count: u32,
    /// Time of the last call from the hosts of each service.
    services: BTreeMap<ServiceName, Duration>,
}

impl RouteCallers {
    /// Creates the callers of the routes of a service, at one of its gates.
    pub fn at(service: impl Into<ServiceName>) -> Self {
        Self {
            own_service: Some(service.into()),
            ..Self::default()
        }
    }

    /// Records a call of a route from a host of a service.
    pub fn record_call(&mut self, now: Duration, route: &str, caller_service: &str) {
        if !self.routes.contains_key(route) {
            if self.routes.len() >= ROUTES_LIMIT_COUNT {
                return;
            }
            self.routes.insert(String::from(route), Callers::default());
        }
        let Some(callers) = self.routes.get_mut(route) else {
            return;
        };
        callers.calls_count = callers.calls_count.saturating_add(1);
        if let Some(last) = callers.services.get_mut(caller_service) {
            *last = now;
        } else {
            let service = ServiceName::from(caller_service);
            callers.services.insert(service, now);
        }
    }

    /// Whether outside callers use a route, given the number of services in the fleet. Otherwise
    /// backend servers call it, or too little is known.
    pub fn is_from_outside(&self, now: Duration, route: &str, services_count: usize) -> bool {
        let Some(callers) = self.routes.get(route) else {
            return false;
        };
        let is_fresh = |last: &Duration| now < *last + EXPIRY;
        let fresh_count = callers
            .services
            .values()
            .filter(|last| is_fresh(last))
            .count();
        let own_service = self.own_service.as_ref();
        let own_called = own_service.and_then(|own| callers.services.get(own));
        let is_first = callers.calls_count < FIRST_CALLS_COUNT;
        if is_first && own_called.is_some_and(is_fresh) && fresh_count >= OUTSIDE_MIN_SERVICES_COUNT
        {
            return true;
        }
        let min_count = (services_count as f64 * OUTSIDE_MIN_RATIO).ceil() as usize;
        fresh_count >= min_count.max(OUTSIDE_MIN_SERVICES_COUNT)
    }
}
