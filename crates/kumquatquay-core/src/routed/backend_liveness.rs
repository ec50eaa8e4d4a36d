//! Notices that a backend server has gone silent.

use std::time::Duration;

/// Silence that is never taken for a fault; a pause of this length happens to any
/// process.
const SILENCE_LEAST: Duration = Duration::from_millis(600);

/// Mean times to run a call after which silence is a fault. With several calls under
/// way answers come far more often than once in that time, even from a backend
/// server that has become several times slower.
const SILENCE_WORKS: u32 = 5;

/// Calls under way below which silence says nothing.
const UNDER_WAY_LEAST_COUNT: usize = 2;

/// Whether the backend server of this host gives any answers.
///
/// A host whose process is gone refuses connections at once. One that lost its
/// power, or whose network part failed, answers nothing: calls to it hang until
/// their deadlines, hold all slots of the gate and look like pressure to everybody.
#[derive(Debug, Default)]
pub struct BackendLiveness {
    under_way_count: usize,
    /// When it last answered, or began to have calls.
    last_sign: Duration,
}

impl BackendLiveness {
    /// A call was handed over.
    pub fn call_started(&mut self, now: Duration) {
        if self.under_way_count == 0 {
            self.last_sign = now;
        }
        self.under_way_count += 1;
    }

    /// A call ended; `is_sign` if something came from the backend server.
    pub fn call_ended(&mut self, now: Duration, is_sign: bool) {
        self.under_way_count = self.under_way_count.saturating_sub(1);
        if is_sign {
            self.last_sign = now;
        }
    }

    /// Something else came from the backend server.
    pub fn on_activity(&mut self, now: Duration) {
        self.last_sign = now;
    }

    /// Whether it is silent; calls take `work` on the mean.
    pub fn is_silent(&self, now: Duration, work: Duration) -> bool {
        let patience = SILENCE_LEAST.max(work * SILENCE_WORKS);
        let silence = now.saturating_sub(self.last_sign);
        self.under_way_count >= UNDER_WAY_LEAST_COUNT && silence > patience
    }
}
