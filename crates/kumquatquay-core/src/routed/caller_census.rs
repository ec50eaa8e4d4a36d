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

/// Routes that are remembered.
const ROUTES_LIMIT_COUNT: usize = 512;

/// From the hosts of which services each route is called, as the gate of its
/// service sees it.
#[derive(Debug, Default)]
pub struct CallerCensus {
    routes: HashMap<String, BTreeMap<ServiceName, Duration>>,
}

impl CallerCensus {
    /// A call of a route came from a host of a service.
    pub fn called(&mut self, now: Duration, route: &str, caller_service: &str) {
        if let Some(callers) = self.routes.get_mut(route) {
            if let Some(last) = callers.get_mut(caller_service) {
                *last = now;
            } else {
                callers.insert(ServiceName::from(caller_service), now);
            }
        } else if self.routes.len() < ROUTES_LIMIT_COUNT {
            let callers = BTreeMap::from([(ServiceName::from(caller_service), now)]);
            self.routes.insert(String::from(route), callers);
        }
    }

    /// Whether outside callers use a route, of `services_count` services that there
    /// are; otherwise backend servers call it, or too little is known.
    pub fn is_from_outside(&self, now: Duration, route: &str, services_count: usize) -> bool {
        let callers = self.routes.get(route).into_iter().flatten();
        let fresh_count = callers.filter(|(_, last)| now < **last + LAPSE).count();
        let least = (services_count as f64 * OUTSIDE_RATIO).ceil() as usize;
        fresh_count >= least.max(OUTSIDE_LEAST_COUNT)
    }
}
