//! Decaying counts of the requests that are offered on a route.

use std::{collections::BTreeMap, time::Duration};

use kumquatquay_wire::routed::Priority;

/// Number of priorities of one route above which those without recent requests are dropped.
const MAX_PRIORITIES_COUNT: usize = 64;

/// Time constant of the short count, in seconds.
const SHORT_TIME_S: f64 = 2.9;

/// Time constant of the long count, in seconds, which is used while the load is steady.
///
/// One of many entries sees few requests of a kind, so a short count is mostly noise.
const LONG_TIME_S: f64 = 20.0;

/// Standard errors by which the short count must differ from the long one to be used instead.
const CHANGE_THRESHOLD_ERRORS_COUNT: f64 = 2.5;

/// Initial count of each route, so that its first few requests don't determine the shares alone.
const INITIAL_COUNT: f64 = 0.5;

/// Decaying counts of the requests offered on a route, by priority.
///
/// Only their ratio to the counts of other routes is used.
#[derive(Debug, Default)]
pub(super) struct OfferedLoad {
    priorities: BTreeMap<Priority, RequestCounts>,
}

/// Count of the requests of one priority.
#[derive(Clone, Copy, Debug)]
pub(super) struct PriorityLoad {
    pub(super) priority: Priority,
    pub(super) requests_count: f64,
}

/// Two counts that decay exponentially.
#[derive(Clone, Copy, Debug)]
struct RequestCounts {
    short_count: f64,
    long_count: f64,
    /// When the first request was counted.
    since: Duration,
    updated: Duration,
}

impl OfferedLoad {
    /// Counts a request.
    pub(super) fn on_request(&mut self, now: Duration, priority: Priority) {
        if !self.priorities.contains_key(&priority) && self.priorities.len() >= MAX_PRIORITIES_COUNT
        {
            self.priorities
                .retain(|_, counts| counts.count_at(now) > INITIAL_COUNT);
        }
        self.priorities
            .entry(priority)
            .or_insert_with(|| RequestCounts::new(now))
            .add(now);
    }

    /// Counts by priority; before the first request, the initial count with the priority of the
    /// route.
    pub(super) fn priorities(
        &self,
        now: Duration,
        route_priority: Priority,
    ) -> impl Iterator<Item = PriorityLoad> {
        let initial = self.priorities.is_empty().then_some(PriorityLoad {
            priority: route_priority,
            requests_count: INITIAL_COUNT,
        });
        let counts = self
            .priorities
            .iter()
            .map(move |(priority, counts)| PriorityLoad {
                priority: *priority,
                requests_count: counts.count_at(now),
            });
        initial.into_iter().chain(counts)
    }
}

impl RequestCounts {
    fn new(now: Duration) -> Self {
        Self {
            short_count: INITIAL_COUNT,
            long_count: 0.0,
            since: now,
            updated: now,
        }
    }

    /// Requests within [`SHORT_TIME_S`], estimated from the long count unless the load has changed.
    fn count_at(&self, now: Duration) -> f64 {
        let short_count =
            INITIAL_COUNT.max(self.short_count * decay(now, self.updated, SHORT_TIME_S));
        let age_s = now.saturating_sub(self.since).as_secs_f64();
        if age_s < SHORT_TIME_S {
            return short_count;
        }
        let counted_s = LONG_TIME_S * (1.0 - (-age_s / LONG_TIME_S).exp());
        let expected_count =
            SHORT_TIME_S * self.long_count * decay(now, self.updated, LONG_TIME_S) / counted_s;
        // A decaying count has the standard error of half as many requests.
        let standard_error = (expected_count / 2.0).sqrt();
        let has_changed = (short_count - expected_count).abs()
            > CHANGE_THRESHOLD_ERRORS_COUNT * standard_error + INITIAL_COUNT;
        if has_changed {
            short_count
        } else {
            expected_count
        }
    }

    fn add(&mut self, now: Duration) {
        self.short_count =
            INITIAL_COUNT.max(self.short_count * decay(now, self.updated, SHORT_TIME_S)) + 1.0;
        self.long_count = self.long_count * decay(now, self.updated, LONG_TIME_S) + 1.0;
        self.updated = now;
    }
}

/// Factor by which a count has decayed.
fn decay(now: Duration, updated: Duration, time_constant_s: f64) -> f64 {
    let passed_s = now.saturating_sub(updated).as_secs_f64();
    (-passed_s / time_constant_s).exp()
}
