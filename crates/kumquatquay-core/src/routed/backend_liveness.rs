//! Detects backend servers that don't answer any more.

use std::time::Duration;

/// Silence up to this time is no fault, as any process may pause that long.
const MIN_SILENCE: Duration = Duration::from_millis(600);

/// Silence of more mean run times than this is a fault.
///
/// With several calls in flight, answers come far more often, even from a backend server that has
/// become several times slower.
const SILENCE_RUN_TIMES_COUNT: u32 = 5;

/// Calls that must be in flight for silence to count.
const MIN_IN_FLIGHT_COUNT: usize = 2;

/// Tracks whether the backend server of this host answers at all.
///
/// A host whose process has ended refuses connections at once. One that lost its power, or whose
/// network interface failed, doesn't answer: calls to it hang until their deadlines, occupy all
/// slots of the gate and look like an overload to all callers.
#[derive(Debug, Default)]
pub struct BackendLiveness {
    in_flight_count: usize,
    /// When something last came from it, or when calls became in flight again.
    last_activity: Duration,
}

impl BackendLiveness {
    /// Records that a call was forwarded.
    pub fn call_started(&mut self, now: Duration) {
        if self.in_flight_count == 0 {
            self.last_activity = now;
        }
        self.in_flight_count += 1;
    }

    /// Records that a call ended; `is_activity` if something came from the backend server.
    pub fn call_ended(&mut self, now: Duration, is_activity: bool) {
        self.in_flight_count = self.in_flight_count.saturating_sub(1);
        if is_activity {
            self.last_activity = now;
        }
    }

    /// Records that something else came from the backend server at `at`, which may be a while ago.
    pub fn on_activity(&mut self, at: Duration) {
        self.last_activity = self.last_activity.max(at);
    }

    /// Whether it has been silent for too long while calls are in flight.
    pub fn is_silent(&self, now: Duration, mean_run_time: Duration) -> bool {
        let limit = MIN_SILENCE.max(mean_run_time * SILENCE_RUN_TIMES_COUNT);
        let silence = now.saturating_sub(self.last_activity);
        self.in_flight_count >= MIN_IN_FLIGHT_COUNT && silence > limit
    }
}
