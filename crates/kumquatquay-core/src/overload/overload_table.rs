//! Ledgers, retry allowance, levels and routing: what is known.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use rand::Rng;

use super::{
    Endpoint, LedgerTable,
    generational_cache::GenerationalCache,
    route::{Route, RouteKey},
    service_table::{ServiceId, ServiceTable},
};

/// Routes that are remembered; the ones that were not used for longest go first.
const ROUTES_LIMIT_COUNT: usize = 4_096;

/// Ledgers, retry allowance, levels and routing.
#[derive(Debug)]
pub(crate) struct OverloadTable {
    pub(crate) ledgers: LedgerTable,
    pub(crate) services: ServiceTable,
    pub(crate) routes: GenerationalCache<RouteKey, Route>,
    /// Backend servers that were called, by peer address.
    pub(crate) endpoints: HashMap<SocketAddr, Endpoint>,
    /// This node's place among those that forget a level, from 0 to 1.
    pub(crate) jitter: f64,
    /// Seed of route keys.
    pub(crate) route_seed: u64,
    /// When ledgers and targets were last cleared of what has lapsed.
    pub(crate) last_sweep: Duration,
}

impl OverloadTable {
    pub(crate) fn new(random: &mut impl Rng) -> Self {
        Self {
            ledgers: LedgerTable::default(),
            services: ServiceTable::default(),
            routes: GenerationalCache::new(ROUTES_LIMIT_COUNT),
            endpoints: HashMap::new(),
            jitter: random.random(),
            route_seed: random.random(),
            last_sweep: Duration::ZERO,
        }
    }

    /// Whether a backend server said in an answer that it is leaving.
    pub(crate) fn is_leaving(&self, peer: SocketAddr, now: Duration) -> bool {
        let endpoint = self.endpoints.get(&peer);
        endpoint.is_some_and(|endpoint| endpoint.is_leaving(now))
    }

    /// Whether a backend server is left out for now.
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
            .any(|(out, until)| *out == peer && *until > now)
    }
}
