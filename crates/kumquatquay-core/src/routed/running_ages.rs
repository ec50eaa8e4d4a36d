//! Notices that a backend server has turned slow, before its calls end.

use std::time::Duration;

/// Calls under way below which their age says little.
const RUNNING_LEAST_COUNT: u32 = 4;

/// How long the calls that a backend server runs have been running.
///
/// It answers the pattern in which a backend server turns many times slower from one
/// moment to the next. The mean time of the calls that have ended says so only when the
/// first slow ones end, which at twelve times the usual time is after the timeout of
/// many, and until then all callers go on sending to it. The mean age of those that run
/// grows with the clock: while all is well it lies below the mean time of a call (at
/// 0.6 of it for work that spreads by half), and it passes three times that as soon as
/// three times the usual time has passed.
#[derive(Debug, Default)]
pub struct RunningAges {
    count: u32,
    /// Sum of the moments at which they began.
    began_sum_s: f64,
}

impl RunningAges {
    /// A call began to run.
    pub fn began(&mut self, now: Duration) {
        self.count += 1;
        self.began_sum_s += now.as_secs_f64();
    }

    /// A call that `began` then has ended.
    pub fn ended(&mut self, began: Duration) {
        self.count = self.count.saturating_sub(1);
        self.began_sum_s = if self.count == 0 {
            0.0
        } else {
            self.began_sum_s - began.as_secs_f64()
        };
    }

    /// Mean age of the calls that run; zero while they are few.
    pub fn mean(&self, now: Duration) -> Duration {
        if self.count < RUNNING_LEAST_COUNT {
            return Duration::ZERO;
        }
        let mean_s = now.as_secs_f64() - self.began_sum_s / f64::from(self.count);
        Duration::from_secs_f64(mean_s.max(0.0))
    }
}
