//! What a node knows of one backend server from its own calls.

use std::time::Duration;

use kumquatquay_wire::{Importance, Incarnation, LoadReport};

/// Weight of a new result against the ones before.
const NEW_WEIGHT: f64 = 0.2;

/// Results before a backend server can look bad.
const RESULTS_LEAST_COUNT: u32 = 8;

/// A backend server that fails more than this share looks bad.
const FAILED_RATIO: f64 = 0.5;

/// A backend server this many times slower than its service looks bad.
const SLOW_RATIO: f64 = 3.0;

/// How long a load report counts.
const LOAD_LAPSE: Duration = Duration::from_secs(1);

/// How long an answer that says that the host is leaving counts.
const LEAVING_LAPSE: Duration = Duration::from_secs(5);

/// How long a backend server is left out once it looks bad.
const EJECTION: Duration = Duration::from_secs(5);

/// The longest time that a backend server is left out in a row.
const EJECTION_LONGEST: Duration = Duration::from_secs(60);

/// How long a new backend server gets less than its share.
const SLOW_START: Duration = Duration::from_secs(10);

/// The share that a new backend server starts with.
const SLOW_START_RATIO: f64 = 0.1;

/// One backend server, as this node's own calls see it.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    incarnation: Incarnation,
    /// Calls that this node has out there.
    pub(crate) outstanding_count: u32,
    latency_s: f64,
    failed_ratio: f64,
    results_count: u32,
    load_ratio: f64,
    load_reported: Duration,
    /// The level of its gate, and when it told it.
    level: Option<(Importance, Duration)>,
    leaving_until: Duration,
    is_reported_ill: bool,
    ejections_count: u32,
    /// Since when it takes calls, as far as slow start is concerned.
    since: Duration,
}

impl Endpoint {
    pub(crate) fn new(incarnation: Incarnation, since: Duration) -> Self {
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
            since,
        }
    }

    /// Whether what is known belongs to an earlier life.
    pub(crate) fn has_other_incarnation(&self, incarnation: Incarnation) -> bool {
        self.incarnation != incarnation
    }

    pub(crate) fn on_load_report(&mut self, now: Duration, load: LoadReport) {
        let asked_count = load.in_flight_count + load.queued_count;
        self.load_ratio = f64::from(asked_count) / f64::from(load.limit_count.max(1));
        self.load_reported = now;
        self.is_reported_ill = load.is_reported_ill;
    }

    /// Whether its own health endpoint last said that it is ill. Such reports
    /// lag and mislead, so they only break ties.
    pub(crate) fn is_reported_ill(&self) -> bool {
        self.is_reported_ill
    }

    pub(crate) fn on_level(&mut self, now: Duration, level: Importance) {
        self.level = Some((level, now));
    }

    /// The level of its gate, if it told it lately.
    pub(crate) fn level(&self, now: Duration) -> Option<Importance> {
        let told = self
            .level
            .filter(|(_, at)| now.saturating_sub(*at) < LOAD_LAPSE);
        told.map(|(level, _)| level)
    }

    /// Takes in whether its answer says that it is leaving. Gossip says so too,
    /// a little later; until then calls would be refused one by one.
    pub(crate) fn on_leaving(&mut self, now: Duration, is_leaving: bool) {
        self.leaving_until = if is_leaving { now + LEAVING_LAPSE } else { now };
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

    /// Whether it looks bad beside the average of its service.
    pub(crate) fn is_outlier(&self, service_latency_s: f64) -> bool {
        if self.results_count < RESULTS_LEAST_COUNT {
            return false;
        }
        let is_slow = self.latency_s > SLOW_RATIO * service_latency_s;
        is_slow || self.failed_ratio > FAILED_RATIO
    }

    /// Leaves it out; says until when. It starts afresh, slowly, after that.
    pub(crate) fn eject(&mut self, now: Duration) -> Duration {
        self.ejections_count += 1;
        let ejection = EJECTION.saturating_mul(self.ejections_count);
        let until = now + ejection.min(EJECTION_LONGEST);
        self.latency_s = 0.0;
        self.failed_ratio = 0.0;
        self.results_count = 0;
        self.since = until;
        until
    }

    /// How long a call sent now would take, for comparison; lower is better.
    pub(crate) fn cost(&self, now: Duration, service_latency_s: f64, slots_count: u32) -> f64 {
        let is_measured = self.latency_s > 0.0;
        let latency_s = if is_measured {
            self.latency_s
        } else {
            service_latency_s
        };
        let is_told = now.saturating_sub(self.load_reported) < LOAD_LAPSE;
        let load_ratio = if is_told { self.load_ratio } else { 0.0 };
        let own_ratio = f64::from(self.outstanding_count + 1) / f64::from(slots_count.max(1));
        let work = (own_ratio + load_ratio) * latency_s.max(1e-6);
        work / self.share(now)
    }

    /// The share of its calls that a backend server gets while it is new.
    fn share(&self, now: Duration) -> f64 {
        if self.since.is_zero() {
            return 1.0;
        }
        let age = now.saturating_sub(self.since).as_secs_f64();
        (age / SLOW_START.as_secs_f64()).clamp(SLOW_START_RATIO, 1.0)
    }
}
