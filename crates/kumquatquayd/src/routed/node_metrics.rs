//! What the node did: counters, latencies and log lines.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use hdrhistogram::Histogram;

/// The longest latency that is told apart, in microseconds.
const LATENCY_LONGEST_US: u64 = 60_000_000;

/// Significant digits of a latency.
const LATENCY_DIGITS: u8 = 2;

/// Lines about single requests that are written in one second; further ones are
/// counted and left out. At 300 bytes a line this is 15 KB/s.
const LINES_PER_S: u32 = 50;

/// One served request in so many gets a line.
const SERVED_SAMPLE: u64 = 500;

/// Counters and latencies of one node.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    counts: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    latencies: RefCell<Histogram<u64>>,
    second: Cell<u64>,
    lines_count: Cell<u32>,
    left_out_count: Cell<u64>,
    served_count: Cell<u64>,
}

impl NodeMetrics {
    pub(crate) fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, LATENCY_LONGEST_US, LATENCY_DIGITS);
        Self {
            counts: RefCell::default(),
            latencies: RefCell::new(latencies.expect("the bounds are valid constants")),
            second: Cell::new(0),
            lines_count: Cell::new(0),
            left_out_count: Cell::new(0),
            served_count: Cell::new(0),
        }
    }

    /// Counts something, by what it is and why.
    pub(crate) fn count(&self, what: &'static str, why: &'static str) {
        *self.counts.borrow_mut().entry((what, why)).or_default() += 1;
    }

    /// Counts a request that was served, with its latency.
    pub(crate) fn record_served(&self, latency: Duration) {
        self.count("served", "answered");
        let latency_us = latency.as_micros() as u64;
        self.latencies
            .borrow_mut()
            .saturating_record(latency_us.max(1));
        self.served_count.set(self.served_count.get() + 1);
    }

    /// Whether the request that was just served gets a line.
    pub(crate) fn take_sampled_log_permit(&self, now: Duration) -> bool {
        self.served_count.get() % SERVED_SAMPLE == 1 && self.take_log_permit(now)
    }

    /// Whether one more line about a request may be written in this second.
    pub(crate) fn take_log_permit(&self, now: Duration) -> bool {
        if self.second.replace(now.as_secs()) != now.as_secs() {
            self.lines_count.set(0);
            let left_out_count = self.left_out_count.replace(0);
            if left_out_count > 0 {
                log::info!(event = "lines_left_out", count = left_out_count;
                    "requests without a line of their own");
            }
        }
        if self.lines_count.get() >= LINES_PER_S {
            self.left_out_count.set(self.left_out_count.get() + 1);
            return false;
        }
        self.lines_count.set(self.lines_count.get() + 1);
        true
    }

    /// All counts, by what and why.
    pub(crate) fn counts(&self) -> BTreeMap<(&'static str, &'static str), u64> {
        self.counts.borrow().clone()
    }

    /// Latency below which the given share of the served requests lie.
    pub(crate) fn latency_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.borrow().value_at_quantile(quantile))
    }
}
