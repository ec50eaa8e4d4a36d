//! Routes: calls of the same kind, and the services that they reach.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use super::service_table::ServiceId;

/// Maximum number of path segments that distinguish routes.
const MAX_SEGMENTS_COUNT: usize = 6;

/// Maximum length of a segment that distinguishes routes; longer ones count as parameters.
const MAX_SEGMENT_BYTES: usize = 32;

/// Maximum number of services per route.
const MAX_SERVICES_COUNT: usize = 32;

/// Minimum interval between two calls whose answer should name all services.
const SERVICES_REQUEST_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of a new answer in the moving averages.
const NEW_WEIGHT: f32 = 0.1;

/// Minimum share of the calls of a route that reach a service for the service to count as
/// usually reached, so that its level can refuse calls of the route.
const USUAL_RATIO: f32 = 0.2;

/// A service reached by a smaller share of the calls is removed from the route.
const MIN_RATIO: f32 = 0.01;

/// Hash of the service, method and normalised path of a route.
pub(crate) type RouteKey = u64;

/// Calls with the same service, method and normalised path, and the services that they reach.
#[derive(Debug)]
pub(crate) struct Route {
    /// Method, service and path of one call of the route, for display.
    pub(crate) label: String,
    services: Vec<ReachedService>,
    /// Moving average of the attempts that the subtree makes.
    mean_attempts_count: f32,
    last_services_request: Option<Duration>,
    is_new: bool,
}

#[derive(Clone, Copy, Debug)]
struct ReachedService {
    service: ServiceId,
    reached_ratio: f32,
}

impl Route {
    pub(crate) fn new(label: String) -> Self {
        Self {
            label,
            services: Vec::new(),
            mean_attempts_count: 0.0,
            last_services_request: None,
            is_new: true,
        }
    }

    /// Whether the answer of this call should name all services; true at most once per
    /// interval.
    pub(crate) fn begin_services_request(&mut self, now: Duration) -> bool {
        let is_due = self
            .last_services_request
            .is_none_or(|last| now - last >= SERVICES_REQUEST_INTERVAL);
        if is_due {
            self.last_services_request = Some(now);
        }
        is_due
    }

    /// Records the services that a call reached.
    ///
    /// A call that is not complete may have failed early: it adds services, but does not lower
    /// the share of the others.
    pub(crate) fn record_services(&mut self, reached_services: &[ServiceId], is_complete: bool) {
        let weight = if self.is_new { 1.0 } else { NEW_WEIGHT };
        if is_complete {
            self.is_new = false;
            for reached in &mut self.services {
                reached.reached_ratio *= 1.0 - weight;
            }
        }
        for service in reached_services {
            self.record_service(*service, weight);
        }
        self.services
            .retain(|reached| reached.reached_ratio >= MIN_RATIO);
    }

    fn record_service(&mut self, service: ServiceId, weight: f32) {
        let mut known = self.services.iter_mut();
        if let Some(reached) = known.find(|reached| reached.service == service) {
            reached.reached_ratio = (reached.reached_ratio + weight).min(1.0);
            return;
        }
        if self.services.len() < MAX_SERVICES_COUNT {
            self.services.push(ReachedService {
                service,
                reached_ratio: weight,
            });
        }
    }

    /// Records the number of attempts that the subtree of a complete call made.
    pub(crate) fn record_attempts(&mut self, attempts_count: u16) {
        self.mean_attempts_count +=
            NEW_WEIGHT * (f32::from(attempts_count) - self.mean_attempts_count);
    }

    /// Expected number of attempts if the subtree runs again.
    pub(crate) fn expected_attempts_count(&self) -> u16 {
        self.mean_attempts_count.ceil() as u16
    }

    /// Services that are reached by at least [`USUAL_RATIO`] of the calls.
    pub(crate) fn reached(&self) -> impl Iterator<Item = ServiceId> {
        let is_usual = |reached: &&ReachedService| reached.reached_ratio >= USUAL_RATIO;
        self.services
            .iter()
            .filter(is_usual)
            .map(|reached| reached.service)
    }
}

/// Computes the route key of a call.
///
/// The seed prevents callers from constructing paths whose key collides with another route.
pub(crate) fn route_key(seed: u64, service: &str, method: &str, path: &str) -> RouteKey {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    service.hash(&mut hasher);
    method.hash(&mut hasher);
    for segment in path.split('/').take(MAX_SEGMENTS_COUNT) {
        normalise_segment(segment).hash(&mut hasher);
    }
    hasher.finish()
}

/// Returns `*` for a segment that has a digit or is long and so is probably a parameter, else
/// the segment itself.
fn normalise_segment(segment: &str) -> &str {
    let has_digit = segment.bytes().any(|byte| byte.is_ascii_digit());
    if has_digit || segment.len() > MAX_SEGMENT_BYTES {
        "*"
    } else {
        segment
    }
}
