//! Matches calls to routes.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
};

use kumquatquay_wire::{
    ServiceName,
    routed::{CallerLimits, Priority, RouteConfiguration, RouteSettings, RouteVersion},
};

use super::{WeightedSplit, Workspaces, request_priority};

/// Routes of a configuration, indexed by host and path prefix.
///
/// A call keeps the table that it started with, so a single configuration applies to all of it.
#[derive(Debug)]
pub struct RouteTable {
    version: RouteVersion,
    limits: CallerLimits,
    hosts: HashMap<String, HashMap<String, Arc<RouteEntry>>>,
    priorities: BTreeMap<String, Priority>,
    distinct_priorities: BTreeSet<Priority>,
    services: BTreeSet<ServiceName>,
    health_paths: BTreeMap<ServiceName, String>,
    workspaces: Workspaces,
}

/// A route and the split of its calls among services.
#[derive(Debug)]
pub struct RouteEntry {
    /// Settings of the route in the configuration.
    pub settings: RouteSettings,
    /// Split of the calls among the route's destinations.
    pub split: WeightedSplit,
}

impl RouteTable {
    /// Creates the table of a configuration.
    ///
    /// `phase`, from 0 to 1, is the position in the split at which this node starts. If nodes have
    /// different phases, their calls together match the weights even with few calls per node.
    pub fn new(configuration: RouteConfiguration, phase: f64) -> Self {
        let routes = configuration.hosts.iter().flat_map(|host| &host.routes);
        let priorities: BTreeMap<String, Priority> = routes
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
            distinct_priorities: priorities.values().copied().collect(),
            priorities,
            hosts: hosts.collect(),
            services,
            health_paths,
            workspaces: Workspaces::new(configuration.workspaces),
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> RouteVersion {
        self.version
    }

    /// Limits on what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Whether a service is named in this configuration.
    pub fn has_service(&self, service: &str) -> bool {
        self.services.contains(service)
    }

    /// Path of the health endpoint of a service's backend servers.
    pub fn health_path(&self, service: &str) -> Option<&str> {
        self.health_paths.get(service).map(String::as_str)
    }

    /// Workspaces that callers may belong to.
    pub fn workspaces(&self) -> &Workspaces {
        &self.workspaces
    }

    /// Priority of the root requests on each route, by route name, for callers whose workspace sets
    /// no priority.
    pub fn priorities(&self) -> &BTreeMap<String, Priority> {
        &self.priorities
    }

    /// Number of priorities of routes that are more important than this one.
    pub fn priority_rank(&self, priority: Priority) -> usize {
        self.distinct_priorities.range(..priority).count()
    }

    /// Finds the route of a call: the longest path prefix of its host that matches.
    ///
    /// `host` may include a port. Prefixes end with a slash, so one lookup is made for each slash
    /// in the path: a path of seven segments costs seven lookups, however many routes there are.
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
