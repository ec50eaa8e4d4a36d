//! Endpoint: a backend server as this node's own calls see it.

use std::time::Duration;

use kumquatquay_wire::{Importance, Incarnation, LoadReport};

/// Weight of a new result in the moving averages.
const NEW_WEIGHT: f64 = 0.2;

/// Minimum number of results for outlier detection.
const MIN_RESULTS_COUNT: u32 = 8;

/// An endpoint whose failure rate is above this share is an outlier.
const OUTLIER_FAILURE_RATIO: f64 = 0.5;

/// An endpoint whose latency exceeds that of its service by this factor is an outlier.
const OUTLIER_LATENCY_RATIO: f64 = 3.0;

/// Time for which a reported load or level is used.
const LOAD_LIFETIME: Duration = Duration::from_secs(1);

/// Time for which an endpoint counts as leaving after an answer that says so.
const LEAVING_LIFETIME: Duration = Duration::from_secs(5);

/// Duration of the first ejection; the n-th one lasts n times as long.
const BASE_EJECTION_TIME: Duration = Duration::from_secs(5);

/// Maximum duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(60);

/// Length of slow start, in which a new endpoint gets less than its share of the calls.
const SLOW_START_TIME: Duration = Duration::from_secs(10);

/// Part of its share that an endpoint gets at the beginning of slow start.
const MIN_SLOW_START_RATIO: f64 = 0.1;

/// A backend server as this node's own calls see it, for load balancing and outlier detection.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    incarnation: Incarnation,
    /// Attempts of this node that are under way at the endpoint.
    pub(crate) outstanding_count: u32,
    latency_s: f64,
    failed_ratio: f64,
    results_count: u32,
    load_ratio: f64,
    load_reported: Duration,
    /// Last reported level of its gate, and when it was received.
    level: Option<(Importance, Duration)>,
    leaving_until: Duration,
    is_reported_ill: bool,
    ejections_count: u32,
    /// Beginning of slow start, on the monotonic clock; zero for no slow start.
    slow_start_from: Duration,
}

impl Endpoint {
    pub(crate) fn new(incarnation: Incarnation, slow_start_from: Duration) -> Self {
        Self {
            incarnation,
            outstanding_count: 0,
            latency_s: 0.0,
            failed_ratio: 0.0,
            results_count: 0,
            load_ratio: 0.0,
            load_reported: Duration::ZERO,
            level: None,
            leaving_until: Duration::ZERO,
            is_reported_ill: false,
            ejections_count: 0,
            slow_start_from,
        }
    }

    /// Whether this state belongs to another incarnation of the node.
    pub(crate) fn has_other_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation != incarnation
    }

    pub(crate) fn on_load_report(&mut self, now: Duration, load: LoadReport) {
        let requests_count = load.in_flight_count + load.queued_count;
        self.load_ratio = f64::from(requests_count) / f64::from(load.limit_count.max(1));
        self.load_reported = now;
        self.is_reported_ill = load.is_reported_ill;
    }

    /// Whether the health endpoint of the backend server last reported that it is unhealthy.
    ///
    /// Such reports are late and can be wrong, so they only break ties.
    pub(crate) fn is_reported_ill(&self) -> bool {
        self.is_reported_ill
    }

    pub(crate) fn on_level(&mut self, now: Duration, level: Importance) {
        self.level = Some((level, now));
    }

    /// Level of its gate, if it was reported recently.
    pub(crate) fn level(&self, now: Duration) -> Option<Importance> {
        let recent = self
            .level
            .filter(|(_, at)| now.saturating_sub(*at) < LOAD_LIFETIME);
        recent.map(|(level, _)| level)
    }

    /// Records whether an answer reports that the endpoint is leaving.
    ///
    /// Gossip reports it too, but a little later; until then each call there would be refused.
    pub(crate) fn on_leaving(&mut self, now: Duration, is_leaving: bool) {
        self.leaving_until = if is_leaving {
            now + LEAVING_LIFETIME
        } else {
            now
        };
    }

    pub(crate) fn is_leaving(&self, now: Duration) -> bool {
        now < self.leaving_until
    }

    pub(crate) fn on_answered(&mut self, latency: Duration) {
        let latency_s = latency.as_secs_f64();
        if self.latency_s == 0.0 {
            self.latency_s = latency_s;
        }
        self.latency_s += NEW_WEIGHT * (latency_s - self.latency_s);
        self.on_result(0.0);
    }

    pub(crate) fn on_failed(&mut self) {
        self.on_result(1.0);
    }

    fn on_result(&mut self, failed: f64) {
        self.failed_ratio += NEW_WEIGHT * (failed - self.failed_ratio);
        self.results_count = self.results_count.saturating_add(1);
    }

    /// Whether the endpoint is an outlier: it fails often, or is slow compared with its
    /// service.
    pub(crate) fn is_outlier(&self, service_latency_s: f64) -> bool {
        if self.results_count < MIN_RESULTS_COUNT {
            return false;
        }
        let is_slow = self.latency_s > OUTLIER_LATENCY_RATIO * service_latency_s;
        is_slow || self.failed_ratio > OUTLIER_FAILURE_RATIO
    }

    /// Ejects the endpoint and returns the end of the ejection, at which it begins a slow start
    /// with reset statistics.
    pub(crate) fn eject(&mut self, now: Duration) -> Duration {
        self.ejections_count += 1;
        let ejection = BASE_EJECTION_TIME.saturating_mul(self.ejections_count);
        let until = now + ejection.min(MAX_EJECTION_TIME);
        self.latency_s = 0.0;
        self.failed_ratio = 0.0;
        self.results_count = 0;
        self.slow_start_from = until;
        until
    }

    /// Estimated relative latency of a call that is sent now; the endpoint with the lower cost
    /// is preferred.
    pub(crate) fn cost(&self, now: Duration, service_latency_s: f64, slots_count: u32) -> f64 {
        let is_measured = self.latency_s > 0.0;
        let latency_s = if is_measured {
            self.latency_s
        } else {
            service_latency_s
        };
        let is_load_recent = now.saturating_sub(self.load_reported) < LOAD_LIFETIME;
        let load_ratio = if is_load_recent { self.load_ratio } else { 0.0 };
        let own_ratio = f64::from(self.outstanding_count + 1) / f64::from(slots_count.max(1));
        let expected_latency = (own_ratio + load_ratio) * latency_s.max(1e-6);
        expected_latency / self.slow_start_ratio(now)
    }

    /// Part of its share of the calls that the endpoint gets, from slow start: 1 when it is
    /// over.
    fn slow_start_ratio(&self, now: Duration) -> f64 {
        if self.slow_start_from.is_zero() {
            return 1.0;
        }
        let age = now.saturating_sub(self.slow_start_from).as_secs_f64();
        (age / SLOW_START_TIME.as_secs_f64()).clamp(MIN_SLOW_START_RATIO, 1.0)
    }
}
