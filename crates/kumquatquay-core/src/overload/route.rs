//! Which services a kind of call reaches.

use std::{
    collections::hash_map::DefaultHasher,
    hash::{Hash, Hasher},
    time::Duration,
};

use super::service_table::ServiceId;

/// Segments of a path that tell routes apart.
const SEGMENTS_LIMIT_COUNT: usize = 6;

/// Longer segments are taken for an argument.
const SEGMENT_LIMIT_BYTES: usize = 32;

/// Services of one route that are kept.
const SERVICES_LIMIT_COUNT: usize = 32;

/// How often an answer is asked to name the services.
const ASK_INTERVAL: Duration = Duration::from_millis(100);

/// Weight of a new answer against the ones before.
const NEW_WEIGHT: f32 = 0.1;

/// A service reached by less than this share of a route's calls does not
/// refuse the route.
const REACHED_RATIO: f32 = 0.2;

/// Below this share a service is forgotten.
const FORGOTTEN_RATIO: f32 = 0.01;

/// Names a route: service, method and the shape of the path.
pub(crate) type RouteKey = u64;

/// What a kind of call reaches.
#[derive(Debug)]
pub(crate) struct Route {
    /// The service called and an example of a path, for people.
    pub(crate) label: String,
    services: Vec<ReachedService>,
    /// Average of the attempts that the subtree makes.
    calls_count: f32,
    asked: Option<Duration>,
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
            calls_count: 0.0,
            asked: None,
            is_new: true,
        }
    }

    /// Whether this call's answer should name the services.
    pub(crate) fn begin_services_request(&mut self, now: Duration) -> bool {
        let is_due = self.asked.is_none_or(|asked| now - asked >= ASK_INTERVAL);
        if is_due {
            self.asked = Some(now);
        }
        is_due
    }

    /// Takes in which services a call touched. A call that failed may have
    /// stopped early: it adds services but is no evidence against others.
    pub(crate) fn record_services(&mut self, reached_services: &[ServiceId], is_whole: bool) {
        let weight = if self.is_new { 1.0 } else { NEW_WEIGHT };
        if is_whole {
            self.is_new = false;
            for reached in &mut self.services {
                reached.reached_ratio *= 1.0 - weight;
            }
        }
        for service in reached_services {
            self.raise(*service, weight);
        }
        self.services
            .retain(|reached| reached.reached_ratio >= FORGOTTEN_RATIO);
    }

    fn raise(&mut self, service: ServiceId, weight: f32) {
        let mut known = self.services.iter_mut();
        if let Some(reached) = known.find(|reached| reached.service == service) {
            reached.reached_ratio = (reached.reached_ratio + weight).min(1.0);
            return;
        }
        if self.services.len() < SERVICES_LIMIT_COUNT {
            self.services.push(ReachedService {
                service,
                reached_ratio: weight,
            });
        }
    }

    /// Takes in how many attempts the subtree of a whole answer made.
    pub(crate) fn record_attempts(&mut self, calls_count: u16) {
        self.calls_count += NEW_WEIGHT * (f32::from(calls_count) - self.calls_count);
    }

    /// Attempts that a repeat of the subtree is expected to make.
    pub(crate) fn expected_attempts_count(&self) -> u16 {
        self.calls_count.ceil() as u16
    }

    /// Services that calls of the route usually reach.
    pub(crate) fn reached(&self) -> impl Iterator<Item = ServiceId> {
        let usual = |reached: &&ReachedService| reached.reached_ratio >= REACHED_RATIO;
        self.services
            .iter()
            .filter(usual)
            .map(|reached| reached.service)
    }
}

/// The route of a call. The seed keeps callers from choosing paths that share
/// a key with another route.
pub(crate) fn route_key(seed: u64, service: &str, method: &str, path: &str) -> RouteKey {
    let mut hasher = DefaultHasher::new();
    seed.hash(&mut hasher);
    service.hash(&mut hasher);
    method.hash(&mut hasher);
    for segment in path.split('/').take(SEGMENTS_LIMIT_COUNT) {
        shape_of(segment).hash(&mut hasher);
    }
    hasher.finish()
}

/// The segment itself, or `*` if it looks like an argument.
fn shape_of(segment: &str) -> &str {
    let has_digit = segment.bytes().any(|byte| byte.is_ascii_digit());
    if has_digit || segment.len() > SEGMENT_LIMIT_BYTES {
        "*"
    } else {
        segment
    }
}
