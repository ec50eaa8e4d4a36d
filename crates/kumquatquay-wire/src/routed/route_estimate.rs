//! Where a route leads, and the pressure on the way.

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// What the node beside a backend server has learnt of a route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteEstimate {
    /// Whether outside callers use it; otherwise backend servers call it.
    pub is_from_outside: bool,
    /// Whether enough was seen to count more than what others have learnt.
    pub is_settled: bool,
    /// What one run asks of each service, directly or by what it calls, its own run included.
    #[serde(rename = "leads_to")]
    pub demands: Vec<ServiceDemand>,
}

/// What one run of a route asks of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ServiceDemand {
    /// The service.
    pub service: ServiceName,
    /// Calls there.
    pub calls: f32,
    /// Time for which all of these keep slots busy, in microseconds; 0 while it isn't known.
    pub work_us: u32,
}

impl ServiceDemand {
    /// What so many runs ask.
    #[must_use]
    pub fn scaled(&self, runs_count: f32) -> Self {
        Self {
            service: self.service.clone(),
            calls: self.calls * runs_count,
            work_us: (self.work_us as f32 * runs_count) as u32,
        }
    }

    /// This and another one at the same service. Where the time of one isn't known, its calls are
    /// taken to be like those of the other.
    #[must_use]
    pub fn combine(&self, other: &Self) -> Self {
        let calls = self.calls + other.calls;
        let known = [self, other]
            .into_iter()
            .filter(|demand| demand.work_us > 0);
        let timed_calls: f32 = known.clone().map(|demand| demand.calls).sum();
        let work_us: f32 = known.map(|demand| demand.work_us as f32).sum();
        let made_up = if timed_calls > 0.0 {
            calls / timed_calls
        } else {
            1.0
        };
        Self {
            service: self.service.clone(),
            calls,
            work_us: (work_us * made_up) as u32,
        }
    }
}

/// How much room a service has for whole requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServicePressure {
    /// The service.
    pub service: ServiceName,
    /// Share of the ranks of requests that are let in, from 0 to 1.
    pub level: f32,
    /// How old that is, in milliseconds.
    pub age_ms: u32,
}
