//! Finds the route of a call.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{CallerLimits, Priority, RouteConfiguration, RouteSettings, RouteVersion},
};

use super::{WeightedSplit, Workspaces, request_priority};

/// A configuration, laid out for finding routes.
///
/// A call keeps the table that it began with, so it is handled by one
/// configuration as a whole.
#[derive(Debug)]
pub struct RouteTable {
    version: RouteVersion,
    limits: CallerLimits,
    hosts: HashMap<String, HashMap<String, Arc<RouteEntry>>>,
    priorities: BTreeMap<String, Priority>,
    services: BTreeSet<ServiceName>,
    health_paths: BTreeMap<ServiceName, String>,
    workspaces: Workspaces,
}

/// A route and how its calls are split among services.
#[derive(Debug)]
pub struct RouteEntry {
    /// What operators set.
    pub settings: RouteSettings,
    /// Shares of its destinations.
    pub split: WeightedSplit,
}

impl RouteTable {
    /// Lays out a configuration.
    ///
    /// `phase`, from 0 to 1, is where this node begins to split calls; nodes with
    /// phases of their own keep the shares together even with few calls each.
    pub fn new(configuration: RouteConfiguration, phase: f64) -> Self {
        let routes = configuration.hosts.iter().flat_map(|host| &host.routes);
        let priorities = routes
            .map(|route| (route.name.clone(), request_priority(route, None)))
            .collect();
        let health_paths = configuration.services.iter();
        let health_paths = health_paths
            .map(|service| (service.name.clone(), service.health_path.clone()))
            .collect();
        let named = configuration.services.iter().map(|service| &service.name);
        let routes = configuration.hosts.iter().flat_map(|host| &host.routes);
        let destinations = routes.flat_map(|route| &route.destinations);
        let called = destinations.map(|destination| &destination.service);
        let services = named.chain(called).cloned().collect();
        let hosts = configuration.hosts.into_iter().map(|host| {
            let routes = host.routes.into_iter().map(|settings| {
                let split = WeightedSplit::new(&settings.destinations, phase);
                let prefix = settings.path_prefix.clone();
                (prefix, Arc::new(RouteEntry { settings, split }))
            });
            (host.host.to_ascii_lowercase(), routes.collect())
        });
        Self {
            version: configuration.version,
            limits: configuration.limits,
            priorities,
            hosts: hosts.collect(),
            services,
            health_paths,
            workspaces: Workspaces::new(configuration.workspaces),
        }
    }

    /// Which configuration this is.
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// What callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether a service is named in this configuration.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Path at which backend servers of a service tell their health.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// Who callers may be.
    pub fn workspaces(&self) -> &Workspaces {
        &self.workspaces
    }

    /// The rank of whole requests on each route, by its name, where the caller's workspace has
    /// none of its own.
    pub fn priorities(&self) -> &BTreeMap<String, Priority> {
        &self.priorities
    }

    /// The route of a call: the longest prefix of its host that begins the path.
    ///
    /// `host` may carry a port. Prefixes end with a slash, so only the parts of the
    /// path up to a slash are looked up: a path of seven parts costs seven lookups,
    /// however many routes there are.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let name = host.split_once(':').map_or(host, |(name, _port)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        let ends = path.bytes().enumerate().rev();
        let ends = ends.filter(|(_, byte)| *byte == b'/');
        let mut prefixes = ends.map(|(end, _)| &path[..=end]);
        prefixes.find_map(|prefix| routes.get(prefix))
    }
}
