//! Estimated latency of requests on a route, from their admission on.

use std::time::Duration;

/// Weight of a new latency in the moving average.
const NEW_WEIGHT: f64 = 0.05;

/// Weight of a new deviation from the mean in its moving average.
const DEVIATION_WEIGHT: f64 = 0.05;

/// Multiple of the mean deviation that is added to the mean, so that nearly all requests end
/// within the sum.
const DEVIATIONS_COUNT: f64 = 2.0;

/// Moving averages of the latency and of its absolute deviation.
#[derive(Clone, Copy, Debug)]
pub(super) struct LatencyEstimate {
    mean_s: f64,
    deviation_s: f64,
}

impl LatencyEstimate {
    /// Creates the estimate from the first latency.
    pub(super) fn first(latency: Duration) -> Self {
        let mean_s = latency.as_secs_f64();
        Self {
            mean_s,
            deviation_s: mean_s / 2.0,
        }
    }

    /// Adds a latency.
    pub(super) fn observe(&mut self, latency: Duration) {
        let error_s = latency.as_secs_f64() - self.mean_s;
        self.deviation_s += DEVIATION_WEIGHT * (error_s.abs() - self.deviation_s);
        self.mean_s += NEW_WEIGHT * error_s;
    }

    /// Latency within which nearly all requests end.
    pub(super) fn upper_bound(self) -> Duration {
        Duration::from_secs_f64(self.mean_s + DEVIATIONS_COUNT * self.deviation_s)
    }
}
