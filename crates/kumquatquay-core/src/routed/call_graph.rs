//! Estimates which routes a backend server calls while it runs requests.

use std::{collections::BTreeMap, time::Duration};

/// Length of a sample.
///
/// It is shorter than most runs, so that the number of runs in progress differs between
/// samples, and long enough for about ten calls, so that their count varies little by chance.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Weight of a sample relative to the one after it; the mean age of the samples is 10 s.
const DECAY_RATIO: f64 = 0.995;

/// Samples, weighted by age, from which on the estimates are fitted.
const MIN_SAMPLES_COUNT: f64 = 40.0;

/// Standard errors by which an estimate must exceed zero to count.
///
/// Routes whose runs make no calls but are concurrent with runs that do get estimates around
/// zero, which must not count as calls. With three standard errors, real calls are found too
/// late in a surge: the searches admitted until then kept the queue of the deepest service full
/// for ten seconds.
const MIN_STANDARD_ERRORS: f64 = 2.2;

/// Calls per run below which an edge is left out. One call in half of the runs is the least
/// that can be distinguished from noise.
const MIN_CALLS_PER_RUN: f64 = 0.5;

/// Share of failed calls from which on samples are ignored.
///
/// A run that loses one of its first calls ends without making the others, so it doesn't show
/// what a successful run calls. While the entries limit an overload, a tenth of the calls fails
/// at times; such samples are used.
const MAX_FAILED_RATIO: f64 = 0.25;

/// Weight of the newest sample in the moving average of the share of failed calls.
const FAILED_WEIGHT: f64 = 0.2;

/// Samples, weighted by age, from which on estimates are frozen while calls fail: nine seconds.
///
/// Estimates frozen after the first two seconds of a surge admitted too much for as long as it
/// lasted.
const FREEZE_MIN_SAMPLES_COUNT: f64 = 120.0;

/// Longest time for which estimates stay frozen. Calls that fail for longer count as normal.
const MAX_FREEZE_TIME: Duration = Duration::from_secs(30);

/// Share of lost calls below which no correction for them is made.
const MIN_LOST_RATIO: f64 = 0.02;

/// Largest factor by which the calls of a run are corrected for lost ones.
const MAX_CORRECTION_FACTOR: f64 = 2.5;

/// Largest share of lost calls, and of runs that lose one, that the correction uses: above it,
/// little noise changes the result a lot.
const MAX_LOST_RATIO: f64 = 0.85;

/// Share of all runs that a route must have for a guess before there are enough samples.
const GUESS_MIN_RATIO: f64 = 0.7;

/// Runs of a route that must have started for such a guess. Runs in progress haven't made all
/// their calls, so the guess is too low, but it names the routes that are called.
const GUESS_MIN_RUNS_COUNT: u32 = 4;

/// Column of the first route; the column before it is the constant.
const FIRST_ROUTE_COLUMN: usize = 1;

/// Ridge term: share of the squares that is added on the diagonal, so that the matrix can be
/// inverted although the runs of several routes rise and fall together.
const RIDGE_RATIO: f64 = 0.002;

/// Maximum number of routes that are distinguished as callers, and as callees. A service uses a
/// handful; the work grows with the square of this.
const ROUTES_LIMIT_COUNT: usize = 12;

/// Which routes the runs of each route call, as estimated by the node on the host of a backend
/// server. A run is one execution of a request at that server.
///
/// No header links a call that a backend server makes to the run that made it. The node knows
/// how many runs of each route were in progress, and how many calls were made, in each of many
/// short samples. It fits the calls as a linear function of the time spent in the runs of each
/// route, plus a constant, by least squares that weight samples by age. An estimate counts if it
/// exceeds zero by `MIN_STANDARD_ERRORS`. Calls per second of run time, times the mean run
/// time, are the calls per run.
///
/// The constant is needed for loads under which runs make fewer calls than usual: without it, a
/// route with few, evenly spread runs would be credited with the difference.
#[derive(Debug, Default)]
pub struct CallGraph {
    sample_started: Option<Duration>,
    /// Routes that the backend server runs, in the order in which they were first seen.
    runs: Vec<RouteRuns>,
    /// Calls that the backend server makes, by the route that is called.
    calls: BTreeMap<String, Calls>,
    /// Sums of products of the times spent in the runs of two routes.
    squares: Vec<Vec<f64>>,
    /// Samples, weighted by age.
    samples_count: f64,
    /// Failed calls in the current sample.
    failed_count: u32,
    /// Moving average of the share of calls that failed.
    failed_ratio: f64,
    /// Since when samples are ignored because calls fail.
    frozen_since: Option<Duration>,
}

#[derive(Debug)]
struct RouteRuns {
    route: String,
    in_progress_count: u32,
    /// Until when `sample_run_s` is counted.
    counted_until: Duration,
    /// Time spent in runs in the current sample.
    sample_run_s: f64,
    /// Time spent in runs, weighted by age.
    run_s: f64,
    /// Runs that ended, weighted by age.
    ended_count: f64,
    /// Runs that ended in the current sample.
    sample_ended_count: f64,
    /// Runs that started, in total; used until there are enough samples.
    started_count: u32,
}

#[derive(Debug, Default)]
struct Calls {
    /// Calls in the current sample.
    sample_count: u32,
    /// Calls in total; used until there are enough samples.
    total_count: u32,
    /// Sums of products with the times spent in the runs of each route.
    products: Vec<f64>,
    /// Sum of the squares of the calls in each sample.
    square: f64,
    /// Failed calls in the current sample.
    sample_failed_count: u32,
    /// Calls, weighted by age.
    sum: f64,
    /// Failed calls, weighted by age.
    failed_sum: f64,
}

/// Calls that the runs of one route make on another route.
#[derive(Clone, Debug, PartialEq)]
pub struct CallEdge {
    /// The route that is called.
    pub callee: String,
    /// Mean number of calls in one run.
    pub calls_per_run: f64,
}

impl CallGraph {
    /// A run of a route started at the backend server.
    pub fn run_started(&mut self, now: Duration, route: &str) {
        self.close_sample(now);
        let known = self.runs.iter().position(|runs| runs.route == route);
        let index = match known {
            Some(index) => index,
            None if self.runs.len() < ROUTES_LIMIT_COUNT => {
                self.runs.push(RouteRuns::new(route, now));
                self.runs.len() - 1
            }
            None => return,
        };
        let runs = &mut self.runs[index];
        runs.count_until(now);
        runs.in_progress_count += 1;
        runs.started_count = runs.started_count.saturating_add(1);
    }

    /// A run of a route ended.
    pub fn run_ended(&mut self, now: Duration, route: &str) {
        self.close_sample(now);
        if let Some(runs) = self.runs.iter_mut().find(|runs| runs.route == route) {
            runs.count_until(now);
            runs.in_progress_count = runs.in_progress_count.saturating_sub(1);
            runs.sample_ended_count += 1.0;
        }
    }

    /// The backend server made a call on a route.
    pub fn call_started(&mut self, now: Duration, callee: &str) {
        self.close_sample(now);
        if let Some(calls) = self.calls.get_mut(callee) {
            calls.sample_count += 1;
            calls.total_count = calls.total_count.saturating_add(1);
        } else if self.calls.len() < ROUTES_LIMIT_COUNT {
            let calls = Calls {
                sample_count: 1,
                total_count: 1,
                ..Calls::default()
            };
            self.calls.insert(String::from(callee), calls);
        }
    }

    /// A call that the backend server made on a route failed or was refused.
    pub fn call_failed(&mut self, now: Duration, callee: &str) {
        self.close_sample(now);
        self.failed_count += 1;
        if let Some(calls) = self.calls.get_mut(callee) {
            calls.sample_failed_count += 1;
        }
    }

    /// Routes that the backend server has called.
    pub fn callees(&self) -> impl Iterator<Item = &str> {
        self.calls.keys().map(String::as_str)
    }

    /// Whether there are enough samples for a fit.
    pub fn is_settled(&self) -> bool {
        self.samples_count >= MIN_SAMPLES_COUNT
    }

    /// The calls that one run of a route makes.
    pub fn edges(&self, route: &str) -> Vec<CallEdge> {
        let index = self.runs.iter().position(|runs| runs.route == route);
        if !self.is_settled() {
            return self.guessed_edges(route);
        }
        let column = index.map(|index| index + FIRST_ROUTE_COLUMN);
        let Some(column) = column else {
            return Vec::new();
        };
        let Some(inverse) = invert(&self.ridged()) else {
            return Vec::new();
        };
        let edges = self.calls.iter().map(|(callee, calls)| CallEdge {
            callee: callee.clone(),
            calls_per_run: self.estimate(calls, &inverse, column),
        });
        edges
            .filter(|edge| edge.calls_per_run >= MIN_CALLS_PER_RUN)
            .collect()
    }

    /// A guess for the time before there are enough samples: if most runs are of this route, all
    /// calls are attributed to it. A surge may come with the very first requests, all of which
    /// are admitted until something is known.
    fn guessed_edges(&self, route: &str) -> Vec<CallEdge> {
        let total_count: u32 = self.runs.iter().map(|runs| runs.started_count).sum();
        let runs = self.runs.iter().find(|runs| runs.route == route);
        let Some(runs) = runs.filter(|runs| runs.started_count >= GUESS_MIN_RUNS_COUNT) else {
            return Vec::new();
        };
        if f64::from(runs.started_count) < GUESS_MIN_RATIO * f64::from(total_count) {
            return Vec::new();
        }
        let runs_count = f64::from(runs.started_count);
        let edges = self.calls.iter().map(|(callee, calls)| CallEdge {
            callee: callee.clone(),
            calls_per_run: f64::from(calls.total_count) / runs_count,
        });
        edges
            .filter(|edge| edge.calls_per_run >= MIN_CALLS_PER_RUN)
            .collect()
    }

    /// Calls per run by the fit; 0 unless that is significantly above zero.
    fn estimate(&self, calls: &Calls, inverse: &[Vec<f64>], column: usize) -> f64 {
        let products = self.padded(&calls.products);
        let fitted: Vec<f64> = inverse.iter().map(|row| dot(row, &products)).collect();
        let residual = (calls.square - dot(&fitted, &products)).max(0.0);
        let degrees_of_freedom = (self.samples_count - self.columns_count() as f64).max(1.0);
        let error = (residual / degrees_of_freedom * inverse[column][column])
            .max(0.0)
            .sqrt();
        if fitted[column] <= MIN_STANDARD_ERRORS * error {
            return 0.0;
        }
        let runs = &self.runs[column - FIRST_ROUTE_COLUMN];
        let run_s = runs.run_s / runs.ended_count.max(1.0);
        calls.corrected_for_losses(fitted[column] * run_s)
    }

    fn close_sample(&mut self, now: Duration) {
        let started = *self.sample_started.get_or_insert(now);
        if now < started + SAMPLE_INTERVAL {
            return;
        }
        self.sample_started = Some(now);
        for runs in &mut self.runs {
            runs.count_until(now);
        }
        // A sample that is long because of a pause would outweigh all others.
        let sample_s = now.saturating_sub(started).as_secs_f64();
        let is_regular = sample_s <= 4.0 * SAMPLE_INTERVAL.as_secs_f64();
        let is_frozen = self.is_frozen(now);
        self.add_sample(sample_s, is_regular && !is_frozen);
    }

    /// Whether so many calls fail that this sample is left out.
    fn is_frozen(&mut self, now: Duration) -> bool {
        let calls_count: u32 = self.calls.values().map(|calls| calls.sample_count).sum();
        let failed_count = std::mem::take(&mut self.failed_count);
        if calls_count > 0 {
            let observed = f64::from(failed_count) / f64::from(calls_count);
            self.failed_ratio += FAILED_WEIGHT * (observed.min(1.0) - self.failed_ratio);
        }
        if self.failed_ratio < MAX_FAILED_RATIO || self.samples_count < FREEZE_MIN_SAMPLES_COUNT {
            self.frozen_since = None;
            return false;
        }
        let since = *self.frozen_since.get_or_insert(now);
        now < since + MAX_FREEZE_TIME
    }

    /// Adds the current sample to the sums if it `is_used`, and starts the next one.
    fn add_sample(&mut self, sample_s: f64, is_used: bool) {
        let runs = self.runs.iter_mut();
        let runs: Vec<f64> = runs.map(|runs| runs.close_sample(is_used)).collect();
        if !is_used {
            for calls in self.calls.values_mut() {
                calls.sample_count = 0;
                calls.sample_failed_count = 0;
            }
            return;
        }
        let runs: Vec<f64> = [sample_s].into_iter().chain(runs).collect();
        self.samples_count = self.samples_count * DECAY_RATIO + 1.0;
        self.squares.resize(runs.len(), Vec::new());
        for (row, squares) in self.squares.iter_mut().enumerate() {
            squares.resize(runs.len(), 0.0);
            for (column, square) in squares.iter_mut().enumerate() {
                *square = *square * DECAY_RATIO + runs[row] * runs[column];
            }
        }
        for calls in self.calls.values_mut() {
            let count = f64::from(std::mem::take(&mut calls.sample_count));
            calls.products.resize(runs.len(), 0.0);
            for (product, run) in calls.products.iter_mut().zip(&runs) {
                *product = *product * DECAY_RATIO + run * count;
            }
            calls.square = calls.square * DECAY_RATIO + count * count;
            let failed_count = f64::from(std::mem::take(&mut calls.sample_failed_count));
            calls.sum = calls.sum * DECAY_RATIO + count;
            calls.failed_sum = calls.failed_sum * DECAY_RATIO + failed_count;
        }
    }

    /// The matrix of the fit: the squares with the ridge term on the diagonal.
    fn ridged(&self) -> Vec<Vec<f64>> {
        let columns_count = self.columns_count();
        let mut matrix: Vec<Vec<f64>> = self.squares.iter().map(|row| self.padded(row)).collect();
        matrix.resize(columns_count, vec![0.0; columns_count]);
        let trace: f64 = (0..columns_count).map(|index| matrix[index][index]).sum();
        for (index, row) in matrix.iter_mut().enumerate() {
            row[index] += RIDGE_RATIO * row[index] + 1e-9 * trace.max(1e-3);
        }
        matrix
    }

    /// A row of sums, with zeros for routes that were first seen after its last sample.
    fn padded(&self, row: &[f64]) -> Vec<f64> {
        let mut row = row.to_vec();
        row.resize(self.columns_count(), 0.0);
        row
    }

    /// Columns of the fit: the constant and the routes.
    fn columns_count(&self) -> usize {
        FIRST_ROUTE_COLUMN + self.runs.len()
    }
}

impl Calls {
    /// Calls that a run would make if none were lost, given the calls that it makes.
    ///
    /// A run ends with its first lost call. If a share `lost` of all calls is lost, a run of `n`
    /// sequential calls makes `(1 - (1 - lost)^n) / lost` of them; this is solved for `n`.
    fn corrected_for_losses(&self, calls_count: f64) -> f64 {
        let lost_ratio = self.failed_sum / self.sum.max(1.0);
        if lost_ratio < MIN_LOST_RATIO {
            return calls_count;
        }
        let lost_runs_ratio = (lost_ratio * calls_count).min(MAX_LOST_RATIO);
        let complete_count =
            (1.0 - lost_runs_ratio).ln() / (1.0 - lost_ratio.min(MAX_LOST_RATIO)).ln();
        complete_count.clamp(calls_count, calls_count * MAX_CORRECTION_FACTOR)
    }
}

impl RouteRuns {
    fn new(route: &str, now: Duration) -> Self {
        Self {
            route: String::from(route),
            in_progress_count: 0,
            counted_until: now,
            sample_run_s: 0.0,
            run_s: 0.0,
            ended_count: 0.0,
            sample_ended_count: 0.0,
            started_count: 0,
        }
    }

    fn count_until(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.counted_until).as_secs_f64();
        self.sample_run_s += elapsed_s * f64::from(self.in_progress_count);
        self.counted_until = now;
    }

    /// Ends the sample and returns the time spent in runs in it; the sums include it if it
    /// `is_used`.
    fn close_sample(&mut self, is_used: bool) -> f64 {
        let run_s = std::mem::take(&mut self.sample_run_s);
        let ended_count = std::mem::take(&mut self.sample_ended_count);
        if is_used {
            self.run_s = self.run_s * DECAY_RATIO + run_s;
            self.ended_count = self.ended_count * DECAY_RATIO + ended_count;
        }
        run_s
    }
}

fn dot(a: &[f64], b: &[f64]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Inverts a symmetric matrix by Gauss-Jordan elimination; `None` if it is singular.
fn invert(matrix: &[Vec<f64>]) -> Option<Vec<Vec<f64>>> {
    let size = matrix.len();
    let mut rows: Vec<Vec<f64>> = matrix
        .iter()
        .enumerate()
        .map(|(index, row)| {
            let unit = (0..size).map(|column| f64::from(u8::from(column == index)));
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
        for (index, row) in rows.iter_mut().enumerate() {
            if index == pivot {
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
