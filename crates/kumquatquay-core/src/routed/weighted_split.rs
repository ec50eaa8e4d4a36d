//! Weighted split of the calls of a route among services.

use std::sync::atomic::{AtomicU64, Ordering};

use kumquatquay_wire::{ServiceName, routed::Destination};

/// Fractional part of the golden ratio.
///
/// The fractional parts of its multiples form a low-discrepancy sequence: they fill the range from
/// 0 to 1 more evenly than random numbers, and after n calls no share is off by more than about
/// 2/n.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// Splits calls by weight, evenly over any sequence of calls.
#[derive(Debug)]
pub struct WeightedSplit {
    /// Services with the upper bound of their part of the range from 0 to 1.
    upper_bounds: Vec<(f64, ServiceName)>,
    phase: f64,
    taken_count: AtomicU64,
}

impl WeightedSplit {
    /// Creates a split by the weights of `destinations`; `phase` is its first position from 0 to 1.
    pub fn new(destinations: &[Destination], phase: f64) -> Self {
        let total: f64 = destinations
            .iter()
            .map(|destination| f64::from(destination.weight))
            .sum();
        let mut upper_bound = 0.0;
        let upper_bounds = destinations.iter().map(|destination| {
            upper_bound += f64::from(destination.weight) / total.max(1.0);
            (upper_bound, destination.service.clone())
        });
        Self {
            upper_bounds: upper_bounds.collect(),
            phase,
            taken_count: AtomicU64::new(0),
        }
    }

    /// Picks the service of the next call; `None` without destinations.
    pub fn next(&self) -> Option<&ServiceName> {
        if let [(_, only)] = self.upper_bounds.as_slice() {
            return Some(only);
        }
        let taken_count = self.taken_count.fetch_add(1, Ordering::Relaxed);
        let position = (self.phase + taken_count as f64 * GOLDEN_RATIO_FRACTION).fract();
        let found = self
            .upper_bounds
            .iter()
            .find(|(upper_bound, _)| position < *upper_bound);
        found
            .or(self.upper_bounds.last())
            .map(|(_, service)| service)
    }
}
