//! Table of the services that this node calls or knows from levels.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{Importance, ServiceName};

use super::{observed_level::ObservedLevel, retry_budget::RetryBudget};

/// Maximum number of services in the table; others are called without levels and retries.
const MAX_SERVICES_COUNT: usize = 2_048;

/// Maximum number of data centres per service whose levels are stored.
const MAX_DATA_CENTRES_COUNT: usize = 64;

/// Weight of a new latency in the moving average.
const LATENCY_WEIGHT: f64 = 0.05;

/// Index of a service in the [`ServiceTable`].
pub(crate) type ServiceId = usize;

/// State of one service at this node.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    /// Observed levels, one for each data centre.
    pub(crate) levels: Vec<ObservedLevel>,
    pub(crate) retry_budget: RetryBudget,
    /// Moving average of the latency of calls that ran, in seconds; 0 before the first.
    pub(crate) latency_s: f64,
    /// Endpoints that are outliers by the results of this node's calls, without the ejected
    /// ones.
    pub(crate) outliers: Vec<SocketAddr>,
    /// Ejected endpoints, which are picked only if no other is eligible, with the end of their
    /// ejection.
    pub(crate) ejected: Vec<(SocketAddr, Duration)>,
}

impl Service {
    fn new(name: ServiceName) -> Self {
        Self {
            name,
            levels: Vec::new(),
            retry_budget: RetryBudget::default(),
            latency_s: 0.0,
            outliers: Vec::new(),
            ejected: Vec::new(),
        }
    }

    pub(crate) fn observe_latency(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        if self.latency_s == 0.0 {
            self.latency_s = latency_s;
        }
        self.latency_s += LATENCY_WEIGHT * (latency_s - self.latency_s);
    }

    pub(crate) fn observe_level(
        &mut self,
        data_centre: &str,
        observed: Importance,
        observed_at: Duration,
    ) {
        let mut known = self.levels.iter_mut();
        if let Some(level) = known.find(|level| level.data_centre == data_centre) {
            level.observe(observed, observed_at);
            return;
        }
        if self.levels.len() < MAX_DATA_CENTRES_COUNT {
            let level = ObservedLevel::new(String::from(data_centre), observed, observed_at);
            self.levels.push(level);
        }
    }

    /// Whether the level of a data centre admits calls of this importance.
    pub(crate) fn admits(
        &self,
        data_centre: &str,
        now: Duration,
        importance: Importance,
        jitter: f64,
    ) -> bool {
        let level = self
            .levels
            .iter()
            .find(|level| level.data_centre == data_centre);
        level.is_none_or(|level| level.admits(now, importance, jitter))
    }

    /// Whether all data centres admit all calls; a fast path before [`Service::admits`].
    pub(crate) fn admits_all(&self) -> bool {
        self.levels.iter().all(ObservedLevel::admits_all)
    }
}

/// Services that this node calls or knows from levels, by id.
#[derive(Debug, Default)]
pub(crate) struct ServiceTable {
    ids: HashMap<ServiceName, ServiceId>,
    services: Vec<Service>,
}

impl ServiceTable {
    /// Returns the id of a service, which is inserted if needed; `None` if the table is full.
    pub(crate) fn get_or_insert_id(&mut self, name: &str) -> Option<ServiceId> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        if self.services.len() >= MAX_SERVICES_COUNT {
            return None;
        }
        let id = self.services.len();
        self.ids.insert(String::from(name), id);
        self.services.push(Service::new(String::from(name)));
        Some(id)
    }

    /// Returns the id of a service, if it is in the table.
    pub(crate) fn id(&self, name: &str) -> Option<ServiceId> {
        self.ids.get(name).copied()
    }

    pub(crate) fn get(&self, id: ServiceId) -> &Service {
        &self.services[id]
    }

    pub(crate) fn get_mut(&mut self, id: ServiceId) -> &mut Service {
        &mut self.services[id]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &Service> {
        self.services.iter()
    }
}
