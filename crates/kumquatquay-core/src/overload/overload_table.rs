//! State of overload control.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::Rng;

use super::{
    Endpoint, LedgerTable,
    generational_cache::GenerationalCache,
    route::{Route, RouteKey},
    service_table::{ServiceId, ServiceTable},
};

/// Size of the cache of routes.
const MAX_ROUTES_COUNT: usize = 4_096;

/// State of overload control: ledgers, services with their levels, routes and endpoints.
#[derive(Debug)]
pub(crate) struct OverloadTable {
    pub(crate) ledgers: LedgerTable,
    pub(crate) services: ServiceTable,
    pub(crate) routes: GenerationalCache<RouteKey, Route>,
    /// Endpoints that this node has called, by peer address.
    pub(crate) endpoints: HashMap<SocketAddr, Endpoint>,
    /// Random number from 0 to 1 that varies the lifetime of observed levels between nodes.
    pub(crate) jitter: f64,
    /// Seed of the hashes in route keys.
    pub(crate) route_seed: u64,
    /// When expired ledgers and departed endpoints were last removed.
    pub(crate) last_sweep: Duration,
}

impl OverloadTable {
    pub(crate) fn new(random: &mut impl Rng) -> Self {
        Self {
            ledgers: LedgerTable::default(),
            services: ServiceTable::default(),
            routes: GenerationalCache::new(MAX_ROUTES_COUNT),
            endpoints: HashMap::new(),
            jitter: random.random(),
            route_seed: random.random(),
            last_sweep: Duration::ZERO,
        }
    }

    /// Whether an endpoint recently reported in an answer that it is leaving.
    pub(crate) fn is_leaving(&self, peer: SocketAddr, now: Duration) -> bool {
        let endpoint = self.endpoints.get(&peer);
        endpoint.is_some_and(|endpoint| endpoint.is_leaving(now))
    }

    /// Whether an endpoint of a service is ejected at present.
    pub(crate) fn is_ejected(
        &self,
        service: Option<ServiceId>,
        peer: SocketAddr,
        now: Duration,
    ) -> bool {
        let Some(id) = service else {
            return false;
        };
        let ejected = &self.services.get(id).ejected;
        ejected
            .iter()
            .any(|(endpoint, until)| *endpoint == peer && *until > now)
    }
}
