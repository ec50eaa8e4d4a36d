//! Services that the same requests reach.

use std::collections::{BTreeMap, BTreeSet};

use kumquatquay_wire::{
    ServiceName,
    routed::{RouteConfiguration, RouteSettings},
};

/// Other services that get requests of the routes to a service: parts of a split, and by the configuration
/// before, those from which or to which a route was moved.
///
/// A request that crashes backend servers of one of them comes to the others next.
pub fn sibling_services(
    service: &str,
    before: Option<&RouteConfiguration>,
    now: &RouteConfiguration,
) -> Vec<ServiceName> {
    let before = before.into_iter().flat_map(routes_of);
    let before: BTreeMap<RouteKey<'_>, &RouteSettings> = before.collect();
    let mut siblings = BTreeSet::new();
    for (key, route) in routes_of(now) {
        let mut destinations = destinations_of(route);
        if let Some(old) = before.get(&key) {
            destinations.extend(destinations_of(old));
        }
        if destinations.contains(service) {
            siblings.extend(destinations);
        }
    }
    siblings.remove(service);
    siblings.into_iter().map(String::from).collect()
}

/// Host and path prefix of a route.
type RouteKey<'a> = (&'a str, &'a str);

fn routes_of(
    configuration: &RouteConfiguration,
) -> impl Iterator<Item = (RouteKey<'_>, &RouteSettings)> {
    let routes = configuration.hosts.iter().flat_map(|host| {
        let routes = host.routes.iter();
        routes.map(|route| (&*host.host, route))
    });
    routes.map(|(host, route)| ((host, &*route.path_prefix), route))
}

fn destinations_of(route: &RouteSettings) -> BTreeSet<&str> {
    let destinations = route.destinations.iter();
    destinations
        .map(|destination| &*destination.service)
        .collect()
}
