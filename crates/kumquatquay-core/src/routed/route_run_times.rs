//! Learns how long the calls of each route run at one backend server.

use std::{collections::HashMap, time::Duration};

/// Weight of the newest time against those before.
const NEW_WEIGHT: f64 = 0.05;

/// Weight of the newest call in the mix of routes against those before. It is small, so that a
/// rare route with long calls is counted over several of them.
const MIX_WEIGHT: f64 = 0.002;

/// Time to run a call that is assumed until the first one has ended.
const FIRST_WORK_S: f64 = 0.05;

/// Share of the last calls below which a route is forgotten when there are too many.
const FORGOTTEN_RATIO: f64 = 1e-4;

/// Routes that are told apart; calls on further ones are taken for the mean.
const ROUTES_LIMIT_COUNT: usize = 64;

/// How long a call on a route has run, or calls on it run on the mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteRunTime<'a> {
    /// The route.
    pub route: &'a str,
    /// How long.
    pub run_time: Duration,
}

/// How long calls run, by route.
///
/// Routes of one service may differ much in the time of a call, so a count of calls doesn't tell
/// the load.
#[derive(Debug, Default)]
pub struct RouteRunTimes {
    routes: HashMap<String, RouteStats>,
    /// That of all routes.
    all: Mean,
    /// Calls on routes that aren't told apart, in the mix.
    others_share: f64,
    is_by_route_off: bool,
}

#[derive(Debug, Default)]
struct RouteStats {
    mean: Mean,
    /// Its calls among the last ones; not scaled.
    share: f64,
}

/// A mean that fades.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    work_s: f64,
    /// Calls whose time is in it.
    timed_count: u32,
}

impl RouteRunTimes {
    /// Takes calls of all routes to be alike.
    #[must_use]
    pub fn without_routes(self) -> Self {
        Self {
            is_by_route_off: true,
            ..self
        }
    }

    /// A call has run to its end.
    pub fn record(&mut self, run: RouteRunTime<'_>) {
        let RouteRunTime {
            route,
            run_time: work,
        } = run;
        let work_s = work.as_secs_f64();
        self.all.add(work_s);
        for known in self.routes.values_mut() {
            known.share -= MIX_WEIGHT * known.share;
        }
        self.others_share -= MIX_WEIGHT * self.others_share;
        if self.routes.len() >= ROUTES_LIMIT_COUNT && !self.routes.contains_key(route) {
            self.routes
                .retain(|_, known| known.share >= FORGOTTEN_RATIO);
        }
        if let Some(known) = self.routes.get_mut(route) {
            known.add(work_s);
        } else if self.routes.len() < ROUTES_LIMIT_COUNT {
            let known = self.routes.entry(String::from(route)).or_default();
            known.add(work_s);
        } else {
            self.others_share += MIX_WEIGHT;
        }
    }

    /// Whether any call has ended.
    pub fn is_known(&self) -> bool {
        self.all.timed_count > 0
    }

    /// Mean time of a call on a route, if one has ended.
    pub fn route_mean(&self, route: &str) -> Option<Duration> {
        if self.is_by_route_off {
            return None;
        }
        let known = self.routes.get(route)?;
        Some(Duration::from_secs_f64(known.mean.work_s))
    }

    /// Mean time of a call on a route; that of all calls while none has ended.
    pub fn estimate(&self, route: &str) -> Duration {
        self.route_mean(route).unwrap_or_else(|| self.mean())
    }

    /// Mean time of a call.
    ///
    /// Each route counts by its share of the last hundreds of calls. The mean of the last twenty
    /// would double whenever one call of a rare and long kind is among them.
    pub fn mean(&self) -> Duration {
        if !self.is_known() {
            return Duration::from_secs_f64(FIRST_WORK_S);
        }
        let shares: f64 = self.routes.values().map(|route| route.share).sum();
        if self.is_by_route_off || shares <= 0.0 {
            return Duration::from_secs_f64(self.all.work_s);
        }
        let works = self.routes.values();
        let works_s = works.map(|route| route.share * route.mean.work_s);
        let works_s = works_s.sum::<f64>() + self.others_share * self.all.work_s;
        Duration::from_secs_f64(works_s / (shares + self.others_share))
    }

    /// The routes that are told apart, by name.
    pub fn routes(&self) -> Vec<RouteRunTime<'_>> {
        let known = self.routes.iter().map(|(route, work)| RouteRunTime {
            route,
            run_time: Duration::from_secs_f64(work.mean.work_s),
        });
        let mut known: Vec<_> = known.collect();
        known.sort_by_key(|known| known.route);
        known
    }
}

impl RouteStats {
    fn add(&mut self, work_s: f64) {
        self.mean.add(work_s);
        self.share += MIX_WEIGHT;
    }
}

impl Mean {
    /// The mean of those that there are, until there are enough.
    fn add(&mut self, work_s: f64) {
        self.timed_count = self.timed_count.saturating_add(1);
        let weight = NEW_WEIGHT.max(1.0 / f64::from(self.timed_count));
        self.work_s += weight * (work_s - self.work_s);
    }
}
