//! Learns which calls a backend server makes while it runs others.

use std::{collections::BTreeMap, time::Duration};

/// Length of the spans that are compared with each other.
///
/// Longer than most runs, so that a run and its calls mostly fall into one span.
const SPAN: Duration = Duration::from_millis(400);

/// How much each span counts against the one after it; the mean span is 10 s old.
const FADE_RATIO: f64 = 0.96;

/// Spans before anything is said.
const SPANS_LEAST_COUNT: f64 = 5.0;

/// Standard errors that are taken off an estimate. Routes whose runs make no calls
/// but happen beside others that do come out as noise around zero; this keeps
/// them from being taken for routes that lead somewhere.
const CAUTION: f64 = 2.0;

/// Calls a run below which a route isn't said to lead there.
const CALLS_LEAST_COUNT: f64 = 0.2;

/// Share of all runs that one route must have before enough was seen, and begins and
/// ends of its runs.
const FIRST_RATIO: f64 = 0.7;
const FIRST_EDGES_LEAST_COUNT: u32 = 20;

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
/// is seen is how many runs of each route and how many calls there were in each of
/// many short spans. The calls are fitted as a sum over the runs and a constant
/// (linear least squares, faded with age); an estimate counts if it lies above zero
/// by twice its own error.
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
    /// Sums of products of the runs of two routes.
    squares: Vec<Vec<f64>>,
    spans_count: f64,
}

#[derive(Debug)]
struct RouteRuns {
    route: String,
    /// Begins and ends of runs in this span.
    edges_count: u32,
    /// Those of all spans, until enough was seen.
    all_count: u32,
}

#[derive(Debug, Default)]
struct Calls {
    count: u32,
    /// Those of all spans, until enough was seen.
    all_count: u32,
    /// Sums of products with the runs of each route.
    products: Vec<f64>,
    square: f64,
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
        self.edge(now, route);
    }

    /// A run of a route ended.
    pub fn run_ended(&mut self, now: Duration, route: &str) {
        self.edge(now, route);
    }

    /// The backend server made a call on a route.
    pub fn called(&mut self, now: Duration, callee: &str) {
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

    /// Whether enough was seen to say anything.
    pub fn is_settled(&self) -> bool {
        self.spans_count >= SPANS_LEAST_COUNT
    }

    /// What one run of a route calls.
    pub fn rows(&self, route: &str) -> Vec<GraphRow> {
        let place = self.runs.iter().position(|runs| runs.route == route);
        if !self.is_settled() {
            return self.first_rows(route);
        }
        let place = place.map(|place| place + FIRST_ROUTE);
        let Some(place) = place else {
            return Vec::new();
        };
        let Some(inverse) = inverse_of(&self.ridged()) else {
            return Vec::new();
        };
        let rows = self.calls.iter().map(|(callee, calls)| GraphRow {
            route: callee.clone(),
            calls_count: self.estimate(calls, &inverse, place),
        });
        rows.filter(|row| row.calls_count >= CALLS_LEAST_COUNT)
            .collect()
    }

    /// What is said before enough was seen: where nearly all runs are of one route,
    /// the calls are taken to be its own. A surge may come with the very first
    /// requests, and until something is known all of them are let in.
    fn first_rows(&self, route: &str) -> Vec<GraphRow> {
        let all_count: u32 = self.runs.iter().map(|runs| runs.all_count).sum();
        let runs = self.runs.iter().find(|runs| runs.route == route);
        let Some(runs) = runs.filter(|runs| runs.all_count >= FIRST_EDGES_LEAST_COUNT) else {
            return Vec::new();
        };
        if f64::from(runs.all_count) < FIRST_RATIO * f64::from(all_count) {
            return Vec::new();
        }
        let runs_count = f64::from(runs.all_count) / 2.0;
        let rows = self.calls.iter().map(|(callee, calls)| GraphRow {
            route: callee.clone(),
            calls_count: f64::from(calls.all_count) / runs_count,
        });
        rows.filter(|row| row.calls_count >= CALLS_LEAST_COUNT)
            .collect()
    }

    /// Calls that a run makes, where that is surely above zero.
    fn estimate(&self, calls: &Calls, inverse: &[Vec<f64>], place: usize) -> f64 {
        let products = self.padded(&calls.products);
        let fitted: Vec<f64> = inverse.iter().map(|row| dot(row, &products)).collect();
        let left = (calls.square - dot(&fitted, &products)).max(0.0);
        let free_count = (self.spans_count - self.columns_count() as f64).max(1.0);
        let error = (left / free_count * inverse[place][place]).max(0.0).sqrt();
        if fitted[place] > CAUTION * error {
            fitted[place]
        } else {
            0.0
        }
    }

    fn edge(&mut self, now: Duration, route: &str) {
        self.close_span(now);
        if let Some(runs) = self.runs.iter_mut().find(|runs| runs.route == route) {
            runs.edges_count += 1;
            runs.all_count = runs.all_count.saturating_add(1);
        } else if self.runs.len() < ROUTES_LIMIT_COUNT {
            self.runs.push(RouteRuns {
                route: String::from(route),
                edges_count: 1,
                all_count: 1,
            });
        }
    }

    fn close_span(&mut self, now: Duration) {
        let began = *self.span_began.get_or_insert(now);
        if now < began + SPAN {
            return;
        }
        self.span_began = Some(now);
        self.add_span();
    }

    fn add_span(&mut self) {
        // A run has two edges; where they fall into two spans, so do its calls.
        let runs = self.runs.iter_mut();
        let runs = runs.map(|runs| f64::from(std::mem::take(&mut runs.edges_count)) / 2.0);
        let runs: Vec<f64> = [1.0].into_iter().chain(runs).collect();
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
        }
    }

    /// The squares, with a little more on the diagonal.
    fn ridged(&self) -> Vec<Vec<f64>> {
        let routes_count = self.columns_count();
        let mut matrix: Vec<Vec<f64>> = self.squares.iter().map(|row| self.padded(row)).collect();
        matrix.resize(routes_count, vec![0.0; routes_count]);
        let trace: f64 = (0..routes_count).map(|place| matrix[place][place]).sum();
        for (place, row) in matrix.iter_mut().enumerate() {
            row[place] += RIDGE_RATIO * row[place] + 1e-6 * trace.max(1.0);
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
