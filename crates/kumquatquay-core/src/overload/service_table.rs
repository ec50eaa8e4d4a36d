//! What a node knows of the services that it reaches.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use kumquatquay_wire::{Importance, ServiceName};

use super::{observed_level::ObservedLevel, retry_budget::RetryBudget};

/// Services that a node keeps something of; the others are called without
/// levels and without retries.
const SERVICES_LIMIT_COUNT: usize = 2_048;

/// Data centres of one service whose levels are kept.
const DATA_CENTRES_LIMIT_COUNT: usize = 64;

/// Weight of a new latency against the ones before.
const LATENCY_WEIGHT: f64 = 0.05;

/// Place of a service in the [`ServiceTable`].
pub(crate) type ServiceId = usize;

/// What a node knows of one service.
#[derive(Debug)]
pub(crate) struct Service {
    pub(crate) name: ServiceName,
    /// Levels, one for each data centre.
    pub(crate) levels: Vec<ObservedLevel>,
    pub(crate) retry_budget: RetryBudget,
    /// Average time to an answer of a run call, in seconds; 0 before the first.
    pub(crate) latency_s: f64,
    /// Backend servers that look bad by this node's own calls.
    pub(crate) outliers: Vec<SocketAddr>,
    /// Those of them that get no calls, and until when.
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

    pub(crate) fn observe_level(&mut self, data_centre: &str, told: Importance, at: Duration) {
        let mut known = self.levels.iter_mut();
        if let Some(level) = known.find(|level| level.data_centre == data_centre) {
            level.observe(told, at);
            return;
        }
        if self.levels.len() < DATA_CENTRES_LIMIT_COUNT {
            let level = ObservedLevel::new(String::from(data_centre), told, at);
            self.levels.push(level);
        }
    }

    /// Whether calls of this importance are admitted in a data centre.
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

    /// Whether no data centre refuses anything, which spares closer looks.
    pub(crate) fn admits_all(&self) -> bool {
        self.levels.iter().all(ObservedLevel::admits_all)
    }
}

/// Services that this node reaches or hears of, by number.
#[derive(Debug, Default)]
pub(crate) struct ServiceTable {
    ids: HashMap<ServiceName, ServiceId>,
    services: Vec<Service>,
}

impl ServiceTable {
    /// The number of a service; `None` if too many are known already.
    pub(crate) fn get_or_insert_id(&mut self, name: &str) -> Option<ServiceId> {
        if let Some(id) = self.ids.get(name) {
            return Some(*id);
        }
        if self.services.len() >= SERVICES_LIMIT_COUNT {
            return None;
        }
        let id = self.services.len();
        self.ids.insert(String::from(name), id);
        self.services.push(Service::new(String::from(name)));
        Some(id)
    }

    /// The number of a service that is kept already.
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
