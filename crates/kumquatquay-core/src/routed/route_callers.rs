//! Tells routes that people use from those that backend servers call.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::ServiceName;

/// How long a caller's service counts after its last call.
const LAPSE: Duration = Duration::from_secs(20);

/// Share of all services from whose hosts calls of outside callers come, at least.
///
/// Outside callers are spread over all hosts, whatever service runs there; a
/// backend server's calls come from the hosts of its own service.
const OUTSIDE_RATIO: f64 = 0.6;

/// Services that must be seen before a route can be one of outside callers.
const OUTSIDE_LEAST_COUNT: usize = 2;

/// Calls of a route after which all its callers have shown.
///
/// Before that, one that comes from the route's own service and from another one is taken to be
/// of outside callers: a service rarely calls itself. With a few calls a second at each host the
/// first surge would be over before hosts of most services had called.
const FIRST_CALLS_COUNT: u32 = 40;

/// Routes that are remembered.
const ROUTES_LIMIT_COUNT: usize = 512;

/// From the hosts of which services each route is called, as the gate of its
/// service sees it.
#[derive(Debug, Default)]
pub struct RouteCallers {
    own_service: Option<ServiceName>,
    routes: HashMap<String, Callers>,
}

#[derive(Debug, Default)]
struct Callers {
    calls_count: u32,
    /// When hosts of each service called last.
    services: BTreeMap<ServiceName, Duration>,
}

impl RouteCallers {
    /// A census at a gate of this service.
    pub fn at(service: impl Into<ServiceName>) -> Self {
        Self {
            own_service: Some(service.into()),
            ..Self::default()
        }
    }

    /// A call of a route came from a host of a service.
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

    /// Whether outside callers use a route, of `services_count` services that there
    /// are; otherwise backend servers call it, or too little is known.
    pub fn is_from_outside(&self, now: Duration, route: &str, services_count: usize) -> bool {
        let Some(callers) = self.routes.get(route) else {
            return false;
        };
        let is_fresh = |last: &Duration| now < *last + LAPSE;
        let fresh_count = callers
            .services
            .values()
            .filter(|last| is_fresh(last))
            .count();
        let own_service = self.own_service.as_ref();
        let own_called = own_service.and_then(|own| callers.services.get(own));
        let is_first = callers.calls_count < FIRST_CALLS_COUNT;
        if is_first && own_called.is_some_and(is_fresh) && fresh_count >= OUTSIDE_LEAST_COUNT {
            return true;
        }
        let least = (services_count as f64 * OUTSIDE_RATIO).ceil() as usize;
        fresh_count >= least.max(OUTSIDE_LEAST_COUNT)
    }
}
