//! Where a route leads, and the pressure on the way.

use serde::{Deserialize, Serialize};

use crate::ServiceName;

/// What the node beside a backend server has learnt of a route.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteNews {
    /// Whether outside callers use it; otherwise backend servers call it.
    pub is_from_outside: bool,
    /// Whether enough was seen to count more than what others have learnt.
    pub is_settled: bool,
    /// Calls that one run makes at each service, directly or by what it calls.
    pub leads_to: Vec<(ServiceName, f32)>,
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
