//! Mean run times of calls at one backend server, by route.

use std::{collections::HashMap, time::Duration};

/// Weight of a new run time in the moving average.
const NEW_WEIGHT: f64 = 0.05;

/// Weight of a new call in the mix of routes.
///
/// It is small, so that a rare route with long calls is averaged over several of them.
const MIX_WEIGHT: f64 = 0.002;

/// Run time that is assumed until the first call has ended.
const DEFAULT_RUN_TIME_S: f64 = 0.05;

/// Share of the recent calls below which a route is dropped when there are too many.
const MIN_TRACKED_RATIO: f64 = 1e-4;

/// Limit of the routes that are tracked; the mean run time is assumed for calls on others.
const MAX_ROUTES_COUNT: usize = 64;

/// Run time of one call on a route, or the mean of its calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRunTime<'a> {
    /// Name of the route.
    pub route: &'a str,
    /// Run time.
    pub run_time: Duration,
}

/// Mean run times of calls, by route.
///
/// Routes of one service may have very different run times, so a count of calls doesn't measure the
/// load.
#[derive(Debug, Default)]
pub struct RouteRunTimes {
    routes: HashMap<String, RouteStats>,
    /// Mean over the calls of all routes.
    overall: Mean,
    /// Share of the calls on routes that aren't tracked; not normalised.
    others_share: f64,
    ignores_routes: bool,
}

#[derive(Debug, Default)]
struct RouteStats {
    mean: Mean,
    /// Share of its calls among the recent ones; not normalised.
    share: f64,
}

/// An exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    run_time_s: f64,
    /// Number of observed calls.
    timed_count: u32,
}

impl RouteRunTimes {
    /// Ignores the routes of calls.
    #[must_use]
    pub fn without_routes(self) -> Self {
        Self {
            ignores_routes: true,
            ..self
        }
    }

    /// Records the run time of a completed call.
    pub fn record(&mut self, run: RouteRunTime<'_>) {
        let RouteRunTime { route, run_time } = run;
        let run_time_s = run_time.as_secs_f64();
        self.overall.observe(run_time_s);
        for known in self.routes.values_mut() {
            known.share -= MIX_WEIGHT * known.share;
        }
        self.others_share -= MIX_WEIGHT * self.others_share;
        if self.routes.len() >= MAX_ROUTES_COUNT && !self.routes.contains_key(route) {
            self.routes
                .retain(|_, known| known.share >= MIN_TRACKED_RATIO);
        }
        if let Some(known) = self.routes.get_mut(route) {
            known.observe(run_time_s);
        } else if self.routes.len() < MAX_ROUTES_COUNT {
            let known = self.routes.entry(String::from(route)).or_default();
            known.observe(run_time_s);
        } else {
            self.others_share += MIX_WEIGHT;
        }
    }

    /// Whether any run time was recorded.
    pub fn is_known(&self) -> bool {
        self.overall.timed_count > 0
    }

    /// Mean run time of calls on a route, if any was recorded.
    pub fn route_mean(&self, route: &str) -> Option<Duration> {
        if self.ignores_routes {
            return None;
        }
        let known = self.routes.get(route)?;
        Some(Duration::from_secs_f64(known.mean.run_time_s))
    }

    /// Mean run time of calls on a route, or else of all calls.
    pub fn estimate(&self, route: &str) -> Duration {
        self.route_mean(route).unwrap_or_else(|| self.mean())
    }

    /// Mean run time of a call.
    ///
    /// Each route is weighted by its share of the last hundreds of calls. A mean of the last twenty
    /// calls would double whenever one of them is long and of a rare route.
    pub fn mean(&self) -> Duration {
        if !self.is_known() {
            return Duration::from_secs_f64(DEFAULT_RUN_TIME_S);
        }
        let shares: f64 = self.routes.values().map(|route| route.share).sum();
        if self.ignores_routes || shares <= 0.0 {
            return Duration::from_secs_f64(self.overall.run_time_s);
        }
        let routes = self.routes.values();
        let weighted_sum_s = routes.map(|route| route.share * route.mean.run_time_s);
        let weighted_sum_s =
            weighted_sum_s.sum::<f64>() + self.others_share * self.overall.run_time_s;
        Duration::from_secs_f64(weighted_sum_s / (shares + self.others_share))
    }

    /// The tracked routes with their mean run times, sorted by name.
    pub fn routes(&self) -> Vec<RouteRunTime<'_>> {
        let known = self.routes.iter().map(|(route, stats)| RouteRunTime {
            route,
            run_time: Duration::from_secs_f64(stats.mean.run_time_s),
        });
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|known| known.route);
        known
    }
}

impl RouteStats {
    fn observe(&mut self, run_time_s: f64) {
        self.mean.observe(run_time_s);
        self.share += MIX_WEIGHT;
    }
}

impl Mean {
    /// Adds a run time; the plain mean is used until there are enough of them.
    fn observe(&mut self, run_time_s: f64) {
        self.timed_count = self.timed_count.saturating_add(1);
        let weight = NEW_WEIGHT.max(1.0 / f64::from(self.timed_count));
        self.run_time_s += weight * (run_time_s - self.run_time_s);
    }
}
