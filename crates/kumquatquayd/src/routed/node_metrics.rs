//! Counters and latencies of the node, and the rate limit of its request log.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    time::Duration,
};

use hdrhistogram::Histogram;

/// Highest latency that the histogram records, in microseconds; longer ones count as this.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Significant digits of the latencies in the histogram.
const LATENCY_DIGITS: u8 = 2;

/// Log lines on single requests per second, at most; further ones are counted and suppressed. At
/// 300 bytes a line this is 15 KB/s.
const LOG_LINES_PER_S: u32 = 50;

/// One of this many served requests is logged.
const SERVED_SAMPLE_INTERVAL: u64 = 500;

/// Counters, latencies and request log limit of one node.
#[derive(Debug)]
pub(crate) struct NodeMetrics {
    counts: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    latencies: RefCell<Histogram<u64>>,
    log_second: Cell<u64>,
    log_lines_count: Cell<u32>,
    suppressed_count: Cell<u64>,
    served_count: Cell<u64>,
}

impl NodeMetrics {
    pub(crate) fn new() -> Self {
        let latencies = Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS);
        Self {
            counts: RefCell::default(),
            latencies: RefCell::new(latencies.expect("the bounds are valid constants")),
            log_second: Cell::new(0),
            log_lines_count: Cell::new(0),
            suppressed_count: Cell::new(0),
            served_count: Cell::new(0),
        }
    }

    /// Increments a counter.
    pub(crate) fn count(&self, what: &'static str, why: &'static str) {
        *self.counts.borrow_mut().entry((what, why)).or_default() += 1;
    }

    /// Counts a served request and records its latency.
    pub(crate) fn record_served(&self, latency: Duration) {
        self.count("served", "answered");
        let latency_us = latency.as_micros() as u64;
        self.latencies
            .borrow_mut()
            .saturating_record(latency_us.max(1));
        self.served_count.set(self.served_count.get() + 1);
    }

    /// Takes a permit to log the request that was just served, if it is in the sample.
    pub(crate) fn take_sampled_log_permit(&self, now: Duration) -> bool {
        self.served_count.get() % SERVED_SAMPLE_INTERVAL == 1 && self.take_log_permit(now)
    }

    /// Takes a permit for one log line on a request. Returns `false` if the limit of this second is
    /// reached.
    pub(crate) fn take_log_permit(&self, now: Duration) -> bool {
        if self.log_second.replace(now.as_secs()) != now.as_secs() {
            self.log_lines_count.set(0);
            let suppressed_count = self.suppressed_count.replace(0);
            if suppressed_count > 0 {
                log::info!(event = "lines_left_out", count = suppressed_count;
                    "suppressed log lines on requests");
            }
        }
        if self.log_lines_count.get() >= LOG_LINES_PER_S {
            self.suppressed_count.set(self.suppressed_count.get() + 1);
            return false;
        }
        self.log_lines_count.set(self.log_lines_count.get() + 1);
        true
    }

    /// Values of all counters.
    pub(crate) fn counts(&self) -> BTreeMap<(&'static str, &'static str), u64> {
        self.counts.borrow().clone()
    }

    /// A quantile of the latencies of the served requests.
    pub(crate) fn latency_quantile(&self, quantile: f64) -> Duration {
        Duration::from_micros(self.latencies.borrow().value_at_quantile(quantile))
    }
}
