//! Learns which calls a run makes from the deadlines that calls share with their runs.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use kumquatquay_wire::routed::Priority;

use super::CallEdge;

/// How far a call's deadline may lie from that of its run. Both are told in whole
/// milliseconds and counted from the moment at which they are read, on one host.
const TOLERANCE: Duration = Duration::from_millis(2);

/// Runs that ended well from which on their mean is told. A run's count of calls varies
/// little; what is left of the error with eight is the odd call that was put to another run.
const RUNS_LEAST_COUNT: u32 = 8;

/// Share of calls that must lie at the deadline of some run. Below it deadlines say nothing
/// of who made a call, and what still matches does so by chance.
const MATCHED_LEAST_RATIO: f64 = 0.5;

/// Calls to one route from which on that share is judged.
const CALLS_LEAST_COUNT: f64 = 20.0;

/// Weight of the newest run, or call, against those before.
const NEW_WEIGHT: f64 = 0.02;

/// Calls a run below which a route isn't said to lead there.
const ROW_LEAST_COUNT: f64 = 0.2;

/// Time after which a route of which no run ended well is not known any more.
const LAPSE: Duration = Duration::from_secs(30);

/// Routes, and callees of each, that are told apart.
const ROUTES_LIMIT_COUNT: usize = 64;

/// One run at the backend server.
pub type RunId = u64;

/// Which calls the runs of each route make, run by run.
///
/// A backend server's calls expire when the run does that makes them, and this node has told
/// the run its deadline. So the run whose deadline a call shares has most likely made it.
/// Only runs that ended well are counted: one that lost a call ends without its others, and in
/// an overload, when it matters most, nearly all do. Fitted to all calls, as
/// [`CallGraph`](super::CallGraph) does it, searches that make ten calls at the deepest service
/// were taken to make none or three, and uploads that make none to make eleven.
///
/// A call whose own time is shorter than that of its run lies at no deadline. Where those are
/// the minority the others stand for them; elsewhere nothing is known, and the fit counts.
#[derive(Debug, Default)]
pub struct CallTracer {
    last_number: RunId,
    under_way: HashMap<RunId, Run>,
    by_deadline: BTreeMap<(Duration, RunId), ()>,
    routes: HashMap<String, RouteRuns>,
    /// By the route that is called.
    callees: HashMap<String, Callee>,
}

#[derive(Debug)]
struct Run {
    route: String,
    whole_priority: Priority,
    deadline: Duration,
    calls: HashMap<String, u32>,
}

#[derive(Debug, Default)]
struct RouteRuns {
    ended_well_count: u32,
    last_ended_well: Duration,
    /// Mean calls of a run, by the route that is called.
    calls: BTreeMap<String, f64>,
}

#[derive(Debug, Default)]
struct Callee {
    calls_count: f64,
    matched_ratio: f64,
}

impl CallTracer {
    /// A run of a route begins for a whole request of this rank, and was told this deadline.
    pub fn run_started(
        &mut self,
        route: &str,
        whole_priority: Priority,
        deadline: Duration,
    ) -> RunId {
        self.last_number += 1;
        let number = self.last_number;
        self.by_deadline.insert((deadline, number), ());
        let run = Run {
            route: String::from(route),
            whole_priority,
            deadline,
            calls: HashMap::new(),
        };
        self.under_way.insert(number, run);
        number
    }

    /// The backend server makes a call on a route, with this deadline; the rank of the whole
    /// request that it belongs to, if its run is found.
    pub fn call_started(&mut self, callee: &str, deadline: Duration) -> Option<Priority> {
        let run = self.run_at(deadline);
        self.count_call(callee, run);
        run.map(|run| self.under_way[&run].whole_priority)
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
        if let Some(run) = run.and_then(|number| self.under_way.get_mut(&number)) {
            *run.calls.entry(String::from(callee)).or_default() += 1;
        }
    }

    /// A run ended; `is_well` if it did all that it was asked for.
    pub fn run_ended(&mut self, now: Duration, number: RunId, is_well: bool) {
        let Some(run) = self.under_way.remove(&number) else {
            return;
        };
        self.by_deadline.remove(&(run.deadline, number));
        let is_new = !self.routes.contains_key(&run.route);
        if !is_well || (is_new && self.routes.len() >= ROUTES_LIMIT_COUNT) {
            return;
        }
        let known = self.routes.entry(run.route).or_default();
        known.count(now, &run.calls);
    }

    /// What one run of a route calls, of the routes that are [traceable](Self::is_traceable); `None` if
    /// that isn't known.
    pub fn edges(&self, now: Duration, route: &str) -> Option<Vec<CallEdge>> {
        let known = self.routes.get(route)?;
        let is_fresh = now < known.last_ended_well + LAPSE;
        if known.ended_well_count < RUNS_LEAST_COUNT || !is_fresh {
            return None;
        }
        let told = known
            .calls
            .iter()
            .filter(|(callee, _)| self.is_traceable(callee));
        let rows = told.map(|(callee, calls_count)| CallEdge {
            callee: callee.clone(),
            // Calls whose own time is shorter than that of their run lie at no deadline.
            calls_per_run: calls_count / self.callees[callee].matched_ratio,
        });
        Some(
            rows.filter(|row| row.calls_per_run >= ROW_LEAST_COUNT)
                .collect(),
        )
    }

    /// Whether the deadlines of calls on a route tell which runs made them.
    pub fn is_traceable(&self, callee: &str) -> bool {
        self.callees.get(callee).is_some_and(|callee| {
            callee.calls_count >= CALLS_LEAST_COUNT && callee.matched_ratio >= MATCHED_LEAST_RATIO
        })
    }

    /// The run whose deadline lies nearest to this one.
    fn run_at(&self, deadline: Duration) -> Option<RunId> {
        let from = deadline.saturating_sub(TOLERANCE);
        let near = self
            .by_deadline
            .range((from, 0)..=(deadline + TOLERANCE, RunId::MAX));
        let nearest = near.min_by_key(|((known, _), ())| known.abs_diff(deadline));
        nearest.map(|((_, number), ())| *number)
    }
}

impl RouteRuns {
    fn count(&mut self, now: Duration, calls: &HashMap<String, u32>) {
        self.last_ended_well = now;
        self.ended_well_count = self.ended_well_count.saturating_add(1);
        // The mean of those that there are, until there are enough.
        let weight = NEW_WEIGHT.max(1.0 / f64::from(self.ended_well_count));
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
