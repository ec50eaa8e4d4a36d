//! Splits the calls of a route among services.

use std::sync::atomic::{AtomicU64, Ordering};

use kumquatquay_wire::{ServiceName, routed::Destination};

/// The golden ratio's fractional part. Its multiples, taken without their whole
/// part, fill the range from 0 to 1 more evenly than any random sequence: after n
/// calls no share is off by more than about 2/n.
const STEP: f64 = 0.618_033_988_749_894_9;

/// Splits calls by weight, evenly over any span of them.
#[derive(Debug)]
pub struct WeightedSplit {
    /// Services with the end of their part of the range from 0 to 1.
    parts: Vec<(f64, ServiceName)>,
    phase: f64,
    taken: AtomicU64,
}

impl WeightedSplit {
    /// Splits by the weights of `destinations`, beginning at `phase`.
    pub fn new(destinations: &[Destination], phase: f64) -> Self {
        let total: f64 = destinations.iter().map(|part| f64::from(part.weight)).sum();
        let mut end = 0.0;
        let parts = destinations.iter().map(|part| {
            end += f64::from(part.weight) / total.max(1.0);
            (end, part.service.clone())
        });
        Self {
            parts: parts.collect(),
            phase,
            taken: AtomicU64::new(0),
        }
    }

    /// The service of the next call; `None` without destinations.
    pub fn next(&self) -> Option<&ServiceName> {
        if let [(_, only)] = self.parts.as_slice() {
            return Some(only);
        }
        let taken = self.taken.fetch_add(1, Ordering::Relaxed);
        let place = (self.phase + taken as f64 * STEP).fract();
        let found = self.parts.iter().find(|(end, _)| place < *end);
        found.or(self.parts.last()).map(|(_, service)| service)
    }
}
