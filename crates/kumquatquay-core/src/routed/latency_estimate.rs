//! How long requests on a route take once they are let in.

use std::time::Duration;

/// Weight of the newest time against those before.
const NEW_WEIGHT: f64 = 0.05;

/// The same for the deviation from the mean.
const DEVIATION_WEIGHT: f64 = 0.05;

/// Mean deviations above the mean within which nearly all requests end.
const DEVIATIONS_COUNT: f64 = 2.0;

/// A mean time and how far single ones lie from it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimate {
    mean_s: f64,
    deviation_s: f64,
}

impl LatencyEstimate {
    /// What is known after the first request.
    pub(super) fn first(took: Duration) -> Self {
        let mean_s = took.as_secs_f64();
        Self {
            mean_s,
            deviation_s: mean_s / 2.0,
        }
    }

    /// Takes in one more.
    pub(super) fn observe(&mut self, took: Duration) {
        let off_s = took.as_secs_f64() - self.mean_s;
        self.deviation_s += DEVIATION_WEIGHT * (off_s.abs() - self.deviation_s);
        self.mean_s += NEW_WEIGHT * off_s;
    }

    /// Time within which nearly all end.
    pub(super) fn upper_bound(self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS_COUNT * self.deviation_s)
    }
}
