//! Learns which calls a backend server makes while it runs others.

use std::{collections::HashMap, time::Duration};

/// How fast old observations fade: after this time they count half.
const HALF_LIFE: Duration = Duration::from_secs(6);

/// How often they are faded.
const FADE_INTERVAL: Duration = Duration::from_millis(500);

/// Calls a second by one run that are assumed of a pair of routes not seen yet;
/// any value will do, it only lets the first calls be shared out evenly.
const FIRST_RATE_PER_S: f64 = 1.0;

/// Runs of a route before what was learnt of it is told.
const RUNS_LEAST_COUNT: f64 = 5.0;

/// Calls a run below which a route isn't said to lead there.
const CALLS_LEAST_COUNT: f64 = 0.05;

/// Routes that are remembered on each side; operators set some hundred.
const ROUTES_LIMIT_COUNT: usize = 512;

/// Which calls the runs of each route make, as the node beside a backend server
/// sees it.
///
/// No header ties a call that a backend server makes to the run that made it. What
/// is seen is which runs were under way at each call. Each call is shared out among
/// them in proportion to how often runs of their routes have made such calls so
/// far, and these rates are learnt from the shares (expectation maximization for a
/// sum of Poisson processes). Runs that never make a call happen beside it no more
/// often than their number says, so their rate falls towards zero.
#[derive(Debug, Default)]
pub struct CallGraph {
    routes: HashMap<String, RouteRuns>,
    faded: Duration,
}

#[derive(Debug, Default)]
struct RouteRuns {
    running_count: u32,
    changed: Duration,
    /// Time that runs have spent, all together.
    running_s: f64,
    ended_count: f64,
    calls: HashMap<String, f64>,
}

/// How often one run of a route makes a call on another.
#[derive(Clone, Debug, PartialEq)]
pub struct GraphRow {
    /// The other route.
    pub route: String,
    /// Calls in one run, on the mean.
    pub calls_count: f64,
}

impl CallGraph {
    /// A run of a route began at the backend server.
    pub fn run_began(&mut self, now: Duration, route: &str) {
        self.fade(now);
        if !self.routes.contains_key(route) {
            if self.routes.len() >= ROUTES_LIMIT_COUNT {
                return;
            }
            self.routes
                .insert(String::from(route), RouteRuns::default());
        }
        let runs = self.routes.get_mut(route).expect("it was put in just now");
        runs.advance(now);
        runs.running_count += 1;
    }

    /// A run of a route ended.
    pub fn run_ended(&mut self, now: Duration, route: &str) {
        if let Some(runs) = self.routes.get_mut(route) {
            runs.advance(now);
            runs.running_count = runs.running_count.saturating_sub(1);
            runs.ended_count += 1.0;
        }
    }

    /// The backend server made a call on a route.
    pub fn called(&mut self, now: Duration, callee: &str) {
        let running = self.routes.values_mut();
        let running = running.filter(|runs| runs.running_count > 0);
        let mut shares: Vec<(f64, &mut RouteRuns)> = running
            .map(|runs| {
                runs.advance(now);
                let weight = f64::from(runs.running_count) * runs.rate_per_s(callee);
                (weight, runs)
            })
            .collect();
        let total: f64 = shares.iter().map(|(weight, _)| weight).sum();
        if total <= 0.0 {
            return;
        }
        for (weight, runs) in &mut shares {
            runs.add_calls(callee, *weight / total);
        }
    }

    /// What one run of a route calls.
    pub fn rows(&self, route: &str) -> Vec<GraphRow> {
        let runs = self.routes.get(route);
        let Some(runs) = runs.filter(|runs| runs.ended_count >= RUNS_LEAST_COUNT) else {
            return Vec::new();
        };
        let rows = runs.calls.iter().map(|(route, calls)| GraphRow {
            route: route.clone(),
            calls_count: calls / runs.ended_count,
        });
        rows.filter(|row| row.calls_count >= CALLS_LEAST_COUNT)
            .collect()
    }

    fn fade(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.faded);
        if passed < FADE_INTERVAL {
            return;
        }
        self.faded = now;
        let kept = 0.5_f64.powf(passed.as_secs_f64() / HALF_LIFE.as_secs_f64());
        for runs in self.routes.values_mut() {
            runs.advance(now);
            runs.fade(kept);
        }
    }
}

impl RouteRuns {
    /// Counts the time that runs have spent since the last change.
    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.changed);
        self.running_s += passed.as_secs_f64() * f64::from(self.running_count);
        self.changed = self.changed.max(now);
    }

    fn rate_per_s(&self, callee: &str) -> f64 {
        let calls = self.calls.get(callee).copied().unwrap_or_default();
        // As if one run of a second had been seen before all others.
        (calls + FIRST_RATE_PER_S) / (self.running_s + 1.0)
    }

    fn add_calls(&mut self, callee: &str, calls: f64) {
        if let Some(known) = self.calls.get_mut(callee) {
            *known += calls;
        } else if self.calls.len() < ROUTES_LIMIT_COUNT {
            self.calls.insert(String::from(callee), calls);
        }
    }

    fn fade(&mut self, kept: f64) {
        self.running_s *= kept;
        self.ended_count *= kept;
        for calls in self.calls.values_mut() {
            *calls *= kept;
        }
    }
}
