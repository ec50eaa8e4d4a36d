//! Learns which calls a backend server makes while it runs others.

use std::{collections::BTreeMap, time::Duration};

/// Length of the spans that are compared with each other.
///
/// Shorter than most runs, so that the number of runs under way differs between
/// spans; some ten calls in each keep their own chance small.
const SPAN: Duration = Duration::from_millis(50);

/// How much each span counts against the one after it; the mean span is 10 s old.
const FADE_RATIO: f64 = 0.995;

/// Spans before anything is said of services with several routes.
const SPANS_LEAST_COUNT: f64 = 40.0;

/// Standard errors that are taken off an estimate. Routes whose runs make no calls
/// but happen beside others that do come out as noise around zero; this keeps
/// them from being taken for routes that lead somewhere. With three, what leads somewhere
/// is found too late in a surge: searches let in for want of it kept the deepest service's
/// queue full for ten seconds.
const CAUTION: f64 = 2.2;

/// Calls a run below which a route isn't said to lead there: half of its runs making
/// one call is the least that is told from noise.
const CALLS_LEAST_COUNT: f64 = 0.5;

/// Share of failed calls above which runs say nothing of what they make when all is
/// well: a run that loses one of its first calls ends and makes no others. In an
/// overload that the entries hold back a tenth fail at times; that is learnt from.
const FAILED_RATIO: f64 = 0.25;

/// Weight of the newest span's share of failed calls against those before.
const FAILED_WEIGHT: f64 = 0.2;

/// Spans after which what was learnt is good enough to be kept: nine seconds of them.
/// The first two seconds of a surge are not: kept, they let in too much for as long as
/// it lasted.
const KEPT_SPANS_COUNT: f64 = 120.0;

/// Time for which what was learnt is kept like that. What fails for longer is taken
/// for how things are.
const KEPT_LONGEST: Duration = Duration::from_secs(30);

/// Share of lost calls below which runs are taken to be whole.
const LOST_LEAST_RATIO: f64 = 0.02;

/// The most by which a count of calls is made up for lost ones, and the share of runs that
/// lose one up to which it is known: beyond, a little noise would be a great difference.
const MADE_UP_MOST: f64 = 2.5;
const LOST_MOST_RATIO: f64 = 0.85;

/// Share of all runs that one route must have before enough was seen, and runs of it that
/// began. Those under way have not made all their calls: what they seem to make is too
/// little, and tells where they lead.
const FIRST_RATIO: f64 = 0.7;
const FIRST_RUNS_LEAST_COUNT: u32 = 4;

/// Column of the first route; before it stands the constant.
const FIRST_ROUTE: usize = 1;

/// Part of the squares that is added on the diagonal, so that routes whose runs go
/// up and down together still give a solution.
const RIDGE_RATIO: f64 = 0.002;

/// Routes that are told apart on each side. A service has a handful in use; the
/// work grows with the square of this.
const ROUTES_LIMIT_COUNT: usize = 12;

/// Which calls the runs of each route make, as the node beside a backend server
/// sees it.
///
/// No header ties a call that a backend server makes to the run that made it. What
/// is seen is how many runs of each route were under way and how many calls there
/// were in each of many short spans. The calls are fitted as a sum over the time
/// spent in runs and a constant (linear least squares, faded with age); an estimate
/// counts if it lies above zero by twice its own error. Calls a second of a run times
/// how long runs take are calls a run.
///
/// The constant is there for loads under which runs make fewer calls than usual:
/// without it, a route whose runs are few and even would be credited with what
/// keeps the calls from being proportional to the other runs.
#[derive(Debug, Default)]
pub struct CallGraph {
    span_began: Option<Duration>,
    /// Routes that the backend server runs, in the order of first sight.
    runs: Vec<RouteRuns>,
    /// Calls on each route that backend servers call.
    calls: BTreeMap<String, Calls>,
    /// Sums of products of the times spent in runs of two routes.
    squares: Vec<Vec<f64>>,
    spans_count: f64,
    /// Calls in this span that failed.
    failed_count: u32,
    /// Share of the calls of the last spans that failed.
    failed_ratio: f64,
    /// Since when nothing is learnt.
    kept_since: Option<Duration>,
}

#[derive(Debug)]
struct RouteRuns {
    route: String,
    under_way_count: u32,
    /// When the time below was counted last.
    counted: Duration,
    /// Time spent in runs in this span.
    span_s: f64,
    /// Time spent in runs, and runs that ended; faded like the spans.
    running_s: f64,
    ended_count: f64,
    /// Runs that ended in this span.
    span_ended_count: f64,
    /// Those of all spans, until enough was seen.
    all_count: u32,
}

#[derive(Debug, Default)]
struct Calls {
    count: u32,
    /// Those of all spans, until enough was seen.
    all_count: u32,
    /// Sums of products with the times spent in runs of each route.
    products: Vec<f64>,
    square: f64,
    /// Calls that failed in this span.
    failed_count: u32,
    /// Calls, and those that failed, of the last spans; faded like them.
    sum: f64,
    failed_sum: f64,
}

/// How often one run of a route makes a call on another.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEdge {
    /// The other route.
    pub callee: String,
    /// Calls in one run, on the mean.
    pub calls_per_run: f64,
}

impl CallGraph {
    /// A run of a route began at the backend server.
    pub fn run_started(&mut self, now: Duration, route: &str) {
        self.close_span(now);
        let known = self.runs.iter().position(|runs| runs.route == route);
        let place = match known {
            Some(place) => place,
            None if self.runs.len() < ROUTES_LIMIT_COUNT => {
                self.runs.push(RouteRuns::new(route, now));
                self.runs.len() - 1
            }
            None => return,
        };
        let runs = &mut self.runs[place];
        runs.count_until(now);
        runs.under_way_count += 1;
        runs.all_count = runs.all_count.saturating_add(1);
    }

    /// A run of a route ended.
    pub fn run_ended(&mut self, now: Duration, route: &str) {
        self.close_span(now);
        if let Some(runs) = self.runs.iter_mut().find(|runs| runs.route == route) {
            runs.count_until(now);
            runs.under_way_count = runs.under_way_count.saturating_sub(1);
            runs.span_ended_count += 1.0;
        }
    }

    /// The backend server made a call on a route.
    pub fn call_started(&mut self, now: Duration, callee: &str) {
        self.close_span(now);
        if let Some(calls) = self.calls.get_mut(callee) {
            calls.count += 1;
            calls.all_count = calls.all_count.saturating_add(1);
        } else if self.calls.len() < ROUTES_LIMIT_COUNT {
            let calls = Calls {
                count: 1,
                all_count: 1,
                ..Calls::default()
            };
            self.calls.insert(String::from(callee), calls);
        }
    }

    /// A call that the backend server made on a route failed, or was refused.
    pub fn call_failed(&mut self, now: Duration, callee: &str) {
        self.close_span(now);
        self.failed_count += 1;
        if let Some(calls) = self.calls.get_mut(callee) {
            calls.failed_count += 1;
        }
    }

    /// Routes that the backend server has called.
    pub fn callees(&self) -> impl Iterator<Item = &str> {
        self.calls.keys().map(String::as_str)
    }

    /// Whether enough was seen to say anything.
    pub fn is_settled(&self) -> bool {
        self.spans_count >= SPANS_LEAST_COUNT
    }

    /// What one run of a route calls.
    pub fn edges(&self, route: &str) -> Vec<CallEdge> {
        let place = self.runs.iter().position(|runs| runs.route == route);
        if !self.is_settled() {
            return self.first_edges(route);
        }
        let place = place.map(|place| place + FIRST_ROUTE);
        let Some(place) = place else {
            return Vec::new();
        };
        let Some(inverse) = inverse_of(&self.ridged()) else {
            return Vec::new();
        };
        let rows = self.calls.iter().map(|(callee, calls)| CallEdge {
            callee: callee.clone(),
            calls_per_run: self.estimate(calls, &inverse, place),
        });
        rows.filter(|row| row.calls_per_run >= CALLS_LEAST_COUNT)
            .collect()
    }

    /// What is said before enough was seen: where nearly all runs are of one route,
    /// the calls are taken to be its own. A surge may come with the very first
    /// requests, and until something is known all of them are let in.
    fn first_edges(&self, route: &str) -> Vec<CallEdge> {
        let all_count: u32 = self.runs.iter().map(|runs| runs.all_count).sum();
        let runs = self.runs.iter().find(|runs| runs.route == route);
        let Some(runs) = runs.filter(|runs| runs.all_count >= FIRST_RUNS_LEAST_COUNT) else {
            return Vec::new();
        };
        if f64::from(runs.all_count) < FIRST_RATIO * f64::from(all_count) {
            return Vec::new();
        }
        let runs_count = f64::from(runs.all_count);
        let rows = self.calls.iter().map(|(callee, calls)| CallEdge {
            callee: callee.clone(),
            calls_per_run: f64::from(calls.all_count) / runs_count,
        });
        rows.filter(|row| row.calls_per_run >= CALLS_LEAST_COUNT)
            .collect()
    }

    /// Calls that a run makes, where that is surely above zero.
    fn estimate(&self, calls: &Calls, inverse: &[Vec<f64>], place: usize) -> f64 {
        let products = self.padded(&calls.products);
        let fitted: Vec<f64> = inverse.iter().map(|row| dot(row, &products)).collect();
        let left = (calls.square - dot(&fitted, &products)).max(0.0);
        let free_count = (self.spans_count - self.columns_count() as f64).max(1.0);
        let error = (left / free_count * inverse[place][place]).max(0.0).sqrt();
        if fitted[place] <= CAUTION * error {
            return 0.0;
        }
        let runs = &self.runs[place - FIRST_ROUTE];
        let run_s = runs.running_s / runs.ended_count.max(1.0);
        calls.made_up(fitted[place] * run_s)
    }

    fn close_span(&mut self, now: Duration) {
        let began = *self.span_began.get_or_insert(now);
        if now < began + SPAN {
            return;
        }
        self.span_began = Some(now);
        for runs in &mut self.runs {
            runs.count_until(now);
        }
        // After a pause the span is long; as one observation it would outweigh all.
        let span_s = now.saturating_sub(began).as_secs_f64();
        let is_regular = span_s <= 4.0 * SPAN.as_secs_f64();
        let is_failing = self.is_failing(now);
        self.add_span(span_s, is_regular && !is_failing);
    }

    /// Whether so many calls fail that this span is left out.
    fn is_failing(&mut self, now: Duration) -> bool {
        let calls_count: u32 = self.calls.values().map(|calls| calls.count).sum();
        let failed_count = std::mem::take(&mut self.failed_count);
        if calls_count > 0 {
            let observed = f64::from(failed_count) / f64::from(calls_count);
            self.failed_ratio += FAILED_WEIGHT * (observed.min(1.0) - self.failed_ratio);
        }
        if self.failed_ratio < FAILED_RATIO || self.spans_count < KEPT_SPANS_COUNT {
            self.kept_since = None;
            return false;
        }
        let since = *self.kept_since.get_or_insert(now);
        now < since + KEPT_LONGEST
    }

    fn add_span(&mut self, span_s: f64, is_regular: bool) {
        let runs = self.runs.iter_mut();
        let runs: Vec<f64> = runs.map(|runs| runs.close_span(is_regular)).collect();
        if !is_regular {
            for calls in self.calls.values_mut() {
                calls.count = 0;
                calls.failed_count = 0;
            }
            return;
        }
        let runs: Vec<f64> = [span_s].into_iter().chain(runs).collect();
        self.spans_count = self.spans_count * FADE_RATIO + 1.0;
        self.squares.resize(runs.len(), Vec::new());
        for (row, squares) in self.squares.iter_mut().enumerate() {
            squares.resize(runs.len(), 0.0);
            for (column, square) in squares.iter_mut().enumerate() {
                *square = *square * FADE_RATIO + runs[row] * runs[column];
            }
        }
        for calls in self.calls.values_mut() {
            let count = f64::from(std::mem::take(&mut calls.count));
            calls.products.resize(runs.len(), 0.0);
            for (product, run) in calls.products.iter_mut().zip(&runs) {
                *product = *product * FADE_RATIO + run * count;
            }
            calls.square = calls.square * FADE_RATIO + count * count;
            let failed_count = f64::from(std::mem::take(&mut calls.failed_count));
            calls.sum = calls.sum * FADE_RATIO + count;
            calls.failed_sum = calls.failed_sum * FADE_RATIO + failed_count;
        }
    }

    /// The squares, with a little more on the diagonal.
    fn ridged(&self) -> Vec<Vec<f64>> {
        let routes_count = self.columns_count();
        let mut matrix: Vec<Vec<f64>> = self.squares.iter().map(|row| self.padded(row)).collect();
        matrix.resize(routes_count, vec![0.0; routes_count]);
        let trace: f64 = (0..routes_count).map(|place| matrix[place][place]).sum();
        for (place, row) in matrix.iter_mut().enumerate() {
            row[place] += RIDGE_RATIO * row[place] + 1e-9 * trace.max(1e-3);
        }
        matrix
    }

    fn padded(&self, row: &[f64]) -> Vec<f64> {
        let mut row = row.to_vec();
        row.resize(self.columns_count(), 0.0);
        row
    }

    /// Columns of the fit: the constant and the routes.
    fn columns_count(&self) -> usize {
        FIRST_ROUTE + self.runs.len()
    }
}

impl Calls {
    /// Calls that a run would make if none were lost, from those that it makes.
    ///
    /// A run ends with its first lost call. With a share of `lost` calls, a run of `n` calls,
    /// one after the other, makes `(1 - (1 - lost)^n) / lost` of them; this is solved for
    /// `n`.
    fn made_up(&self, calls_count: f64) -> f64 {
        let lost_ratio = self.failed_sum / self.sum.max(1.0);
        if lost_ratio < LOST_LEAST_RATIO {
            return calls_count;
        }
        let runs_lost = (lost_ratio * calls_count).min(LOST_MOST_RATIO);
        let whole = (1.0 - runs_lost).ln() / (1.0 - lost_ratio.min(LOST_MOST_RATIO)).ln();
        whole.clamp(calls_count, calls_count * MADE_UP_MOST)
    }
}

impl RouteRuns {
    fn new(route: &str, now: Duration) -> Self {
        Self {
            route: String::from(route),
            under_way_count: 0,
            counted: now,
            span_s: 0.0,
            running_s: 0.0,
            ended_count: 0.0,
            span_ended_count: 0.0,
            all_count: 0,
        }
    }

    fn count_until(&mut self, now: Duration) {
        let passed_s = now.saturating_sub(self.counted).as_secs_f64();
        self.span_s += passed_s * f64::from(self.under_way_count);
        self.counted = now;
    }

    /// Time spent in runs in the span that ends; it counts if the span `is_regular`.
    fn close_span(&mut self, is_regular: bool) -> f64 {
        let span_s = std::mem::take(&mut self.span_s);
        let ended_count = std::mem::take(&mut self.span_ended_count);
        if is_regular {
            self.running_s = self.running_s * FADE_RATIO + span_s;
            self.ended_count = self.ended_count * FADE_RATIO + ended_count;
        }
        span_s
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// The inverse of a symmetric matrix, by Gauss-Jordan elimination; `None` if it has
/// none.
fn inverse_of(matrix: &[Vec<f64>]) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let mut rows: Vec<Vec<f64>> = matrix
        .iter()
        .enumerate()
        .map(|(place, row)| {
            let unit = (0..size).map(|column| f64::from(u8::from(column == place)));
            row.iter().copied().chain(unit).collect()
        })
        .collect();
    for pivot in 0..size {
        let scale = rows[pivot][pivot];
        if scale.abs() < 1e-12 {
            return None;
        }
        for value in &mut rows[pivot] {
            *value /= scale;
        }
        let pivot_row = rows[pivot].clone();
        for (place, row) in rows.iter_mut().enumerate() {
            if place == pivot {
                continue;
            }
            let factor = row[pivot];
            for (value, pivot_value) in row.iter_mut().zip(&pivot_row) {
                *value -= factor * pivot_value;
            }
        }
    }
    Some(rows.into_iter().map(|row| row[size..].to_vec()).collect())
}
