//! Percentiles of latencies.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// Longest latency that is told apart from longer ones.
const LONGEST_US: u64 = 120_000_000;

/// Significant digits of a percentile.
const DIGITS: u8 = 3;

/// Latencies, counted in a histogram.
#[derive(Clone, Debug)]
pub struct LatencyTable {
    histogram: Histogram<u64>,
}

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LatencyReport {
    /// Latencies counted.
    pub count: u64,
    /// Median.
    pub p50_ms: f64,
    /// 90 in 100 are at most this long.
    pub p90_ms: f64,
    /// 99 in 100 are at most this long.
    pub p99_ms: f64,
    /// 999 in 1000 are at most this long.
    pub p999_ms: f64,
    /// The longest.
    pub max_ms: f64,
}

impl Default for LatencyTable {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, DIGITS);
        Self {
            histogram: histogram.expect("the bounds are constants that fit"),
        }
    }
}

impl LatencyTable {
    /// Counts one latency.
    pub fn add(&mut self, latency: Duration) {
        self.histogram.saturating_record(latency.as_micros() as u64);
    }

    /// The percentiles.
    pub fn report(&self) -> LatencyReport {
        let quantile_ms = |quantile| self.histogram.value_at_quantile(quantile) as f64 / 1000.0;
        LatencyReport {
            count: self.histogram.len(),
            p50_ms: quantile_ms(0.5),
            p90_ms: quantile_ms(0.9),
            p99_ms: quantile_ms(0.99),
            p999_ms: quantile_ms(0.999),
            max_ms: self.histogram.max() as f64 / 1000.0,
        }
    }
}

impl FromIterator<Duration> for LatencyTable {
    fn from_iter<I: IntoIterator<Item = Duration>>(latencies: I) -> Self {
        let mut table = Self::default();
        for latency in latencies {
            table.add(latency);
        }
        table
    }
}
