//! Finds the run that made a call by the deadline that they share.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    ops::RangeInclusive,
    time::Duration,
};

use kumquatquay_wire::routed::Priority;

use super::CallEdge;

/// Largest difference between the deadlines of a call and its run. Both are sent as whole
/// milliseconds that remain and are added to the time at which they are read, on the same host.
const DEADLINE_TOLERANCE: Duration = Duration::from_millis(2);

/// Successful runs of a route from which on their mean counts. The number of calls of a run
/// varies little; the error that remains with eight runs is an occasional call that was
/// attributed to the wrong run.
const MIN_RUNS_COUNT: u32 = 8;

/// Share of calls that must match the deadline of a run. Below it, deadlines don't identify the
/// runs, and the calls that still match do so by chance.
const MIN_MATCHED_RATIO: f64 = 0.5;

/// Calls on a route from which on that share is meaningful.
const MIN_CALLS_COUNT: f64 = 20.0;

/// Weight of the newest run, or call, in a moving average.
const NEW_WEIGHT: f64 = 0.02;

/// Calls per run below which an edge is left out.
const MIN_CALLS_PER_RUN: f64 = 0.2;

/// Time after its last successful run from which on nothing is known of a route.
const EXPIRY: Duration = Duration::from_secs(30);

/// Maximum number of routes, and of callees of each route, that are distinguished.
const ROUTES_LIMIT_COUNT: usize = 64;

/// Identifies a run: one execution of a request at the backend server of this host.
pub type RunId = u64;

/// Counts the calls that each run makes, by route.
///
/// The calls of a backend server expire together with the run that makes them, and this node
/// has sent the run its deadline. So a call was most likely made by the run with the same
/// deadline. Only successful runs are counted: a run that loses a call ends without making the
/// others, which happens to nearly all runs in an overload, when the result matters most. The
/// fit of [`CallGraph`](super::CallGraph) to all calls gave none or three calls for searches
/// that make ten at the deepest service, and eleven for uploads that make none.
///
/// A call with a shorter timeout than its run matches no deadline. If such calls are a minority,
/// the counts of the others are scaled up; otherwise nothing is known of the route that they
/// call, and the fit is used.
#[derive(Debug, Default)]
pub struct CallTracer {
    last_id: RunId,
    in_progress: HashMap<RunId, Run>,
    by_deadline: BTreeSet<(Duration, RunId)>,
    /// Successful runs by route.
    routes: HashMap<String, RouteRuns>,
    /// Calls by the route that is called.
    callees: HashMap<String, Callee>,
}

#[derive(Debug)]
struct Run {
    route: String,
    request_priority: Priority,
    deadline: Duration,
    calls: HashMap<String, u32>,
}

#[derive(Debug, Default)]
struct RouteRuns {
    successful_count: u32,
    last_success: Duration,
    /// Mean calls of a run, by the route that is called.
    calls: BTreeMap<String, f64>,
}

#[derive(Debug, Default)]
struct Callee {
    calls_count: f64,
    matched_ratio: f64,
}

impl CallTracer {
    /// A run of a route starts, as part of a root request of this priority; it has been sent this
    /// deadline.
    pub fn run_started(
        &mut self,
        route: &str,
        request_priority: Priority,
        deadline: Duration,
    ) -> RunId {
        self.last_id += 1;
        let id = self.last_id;
        self.by_deadline.insert((deadline, id));
        let run = Run {
            route: String::from(route),
            request_priority,
            deadline,
            calls: HashMap::new(),
        };
        self.in_progress.insert(id, run);
        id
    }

    /// The backend server makes a call on a route, with this deadline.
    ///
    /// Returns the priority of the root request that the call belongs to, if its run is found.
    pub fn call_started(&mut self, callee: &str, deadline: Duration) -> Option<Priority> {
        let run = self.run_with_deadline(deadline);
        self.count_call(callee, run);
        run.map(|run| self.in_progress[&run].request_priority)
    }

    /// A request arrives on a route that outside callers use. The backend server may use it too: the
    /// request is its call if it has the deadline of a run. Returns whether it is.
    pub fn request_started(&mut self, route: &str, deadline: Duration) -> bool {
        let run = self.run_with_deadline(deadline);
        if run.is_some() {
            self.count_call(route, run);
        }
        run.is_some()
    }

    fn count_call(&mut self, callee: &str, run: Option<RunId>) {
        if !self.callees.contains_key(callee) && self.callees.len() >= ROUTES_LIMIT_COUNT {
            return;
        }
        let known = self.callees.entry(String::from(callee)).or_default();
        known.calls_count += 1.0;
        let weight = NEW_WEIGHT.max(1.0 / known.calls_count);
        let matched = f64::from(u8::from(run.is_some()));
        known.matched_ratio += weight * (matched - known.matched_ratio);
        if let Some(run) = run.and_then(|id| self.in_progress.get_mut(&id)) {
            *run.calls.entry(String::from(callee)).or_default() += 1;
        }
    }

    /// A run ended, successfully or not. Only a run that did everything it was asked for is
    /// successful.
    pub fn run_ended(&mut self, now: Duration, id: RunId, is_successful: bool) {
        let Some(run) = self.in_progress.remove(&id) else {
            return;
        };
        self.by_deadline.remove(&(run.deadline, id));
        let is_new = !self.routes.contains_key(&run.route);
        if !is_successful || (is_new && self.routes.len() >= ROUTES_LIMIT_COUNT) {
            return;
        }
        let known = self.routes.entry(run.route).or_default();
        known.count(now, &run.calls);
    }

    /// The calls that one run of a route makes on [traceable](Self::is_traceable) routes; `None` if
    /// that isn't known.
    pub fn edges(&self, now: Duration, route: &str) -> Option<Vec<CallEdge>> {
        let known = self.routes.get(route)?;
        let is_fresh = now < known.last_success + EXPIRY;
        if known.successful_count < MIN_RUNS_COUNT || !is_fresh {
            return None;
        }
        let traceable = known
            .calls
            .iter()
            .filter(|(callee, _)| self.is_traceable(callee));
        let edges = traceable.map(|(callee, calls_count)| CallEdge {
            callee: callee.clone(),
            // Scaled up for calls with a shorter timeout than their run, which match no deadline.
            calls_per_run: calls_count / self.callees[callee].matched_ratio,
        });
        Some(
            edges
                .filter(|edge| edge.calls_per_run >= MIN_CALLS_PER_RUN)
                .collect(),
        )
    }

    /// Whether the deadlines of calls on a route identify the runs that made them.
    pub fn is_traceable(&self, callee: &str) -> bool {
        self.callees.get(callee).is_some_and(|callee| {
            callee.calls_count >= MIN_CALLS_COUNT && callee.matched_ratio >= MIN_MATCHED_RATIO
        })
    }

    /// The run whose deadline is closest to this one, within the tolerance.
    fn run_with_deadline(&self, deadline: Duration) -> Option<RunId> {
        let near = self.by_deadline.range(deadlines_near(deadline));
        let nearest = near.min_by_key(|(known, _)| known.abs_diff(deadline));
        nearest.map(|(_, id)| *id)
    }
}

/// Deadlines of the runs that may have made a call with this deadline.
fn deadlines_near(deadline: Duration) -> RangeInclusive<(Duration, RunId)> {
    let from = deadline.saturating_sub(DEADLINE_TOLERANCE);
    (from, 0)..=(deadline + DEADLINE_TOLERANCE, RunId::MAX)
}

impl RouteRuns {
    fn count(&mut self, now: Duration, calls: &HashMap<String, u32>) {
        self.last_success = now;
        self.successful_count = self.successful_count.saturating_add(1);
        // A plain mean until there are enough runs for the moving average.
        let weight = NEW_WEIGHT.max(1.0 / f64::from(self.successful_count));
        for mean in self.calls.values_mut() {
            *mean -= weight * *mean;
        }
        for (callee, count) in calls {
            if self.calls.len() < ROUTES_LIMIT_COUNT || self.calls.contains_key(callee) {
                let mean = self.calls.entry(callee.clone()).or_default();
                *mean += weight * f64::from(*count);
            }
        }
    }
}
