//! Estimated demand of routes, and pressure at the services that they reach.

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// Estimate of the demand of a route, made by the node on the host of a backend server.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteEstimate {
    /// Whether the route is called from outside; otherwise backend servers call it.
    pub is_from_outside: bool,
    /// Whether the estimate is based on enough samples; estimates that aren't are ignored then.
    pub is_settled: bool,
    /// Demand of one run at each service, through direct and indirect calls, including the run
    /// itself.
    #[serde(rename = "leads_to")]
    pub demands: Vec<ServiceDemand>,
}

/// Demand of one run of a route at a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Number of calls at the service.
    pub calls: f32,
    /// Total time for which these calls occupy slots, in microseconds; 0 while it isn't known.
    pub work_us: u32,
}

impl ServiceDemand {
    /// Returns the demand of `runs_count` runs.
    #[must_use]
    pub fn scaled(&self, runs_count: f32) -> Self {
        Self {
            service: self.service.clone(),
            calls: self.calls * runs_count,
            work_us: (self.work_us as f32 * runs_count) as u32,
        }
    }

    /// Adds another demand at the same service.
    ///
    /// If the slot time of one isn't known, its calls are assumed to take as long as those of
    /// the other.
    #[must_use]
    pub fn combine(&self, other: &Self) -> Self {
        let calls = self.calls + other.calls;
        let known = [self, other]
            .into_iter()
            .filter(|demand| demand.work_us > 0);
        let timed_calls: f32 = known.clone().map(|demand| demand.calls).sum();
        let work_us: f32 = known.map(|demand| demand.work_us as f32).sum();
        let extrapolation = if timed_calls > 0.0 {
            calls / timed_calls
        } else {
            1.0
        };
        Self {
            service: self.service.clone(),
            calls,
            work_us: (work_us * extrapolation) as u32,
        }
    }
}

/// Pressure at a service: the share of root requests that it has room for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePressure {
    /// The service.
    pub service: ServiceName,
    /// Admission level: the share of root requests, by priority, that are admitted, from 0 to 1.
    pub level: f32,
    /// Age of the level, in milliseconds.
    pub age_ms: u32,
}
