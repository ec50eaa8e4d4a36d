//! Load report of a gate to the nodes that send calls to it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lower bound of the number of slots of a backend server. A rate limit near zero would leave no
/// slots, and quotients with the number of slots as divisor must stay finite.
const MIN_SLOTS: f64 = 0.01;

/// Load of a backend server, as seen by the gate on its host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateReport {
    /// Number of calls that the backend server is running.
    pub running_count: u32,
    /// Number of calls that wait at the gate.
    pub waiting_count: u32,
    /// Concurrency limit of the gate.
    pub limit_count: u32,
    /// Mean run time of a call, in microseconds; 0 while it isn't known.
    pub work_us: u32,
    /// Admission level: the share of root requests, by priority, for which the gate has room, in
    /// thousandths.
    pub level_permille: u16,
    /// Share of the last runs that failed through a fault of the backend server itself, in
    /// thousandths.
    pub failed_permille: u16,
    /// Slowdown of the backend server's machine, in thousandths: the ratio of its present run
    /// times to the usual ones; 0 while it isn't known. For metrics only.
    #[serde(rename = "pace_permille")]
    pub slowdown_permille: u16,
    /// Use of the rate limit that the backend server advertises, if any.
    pub rate: Option<RateReport>,
}

/// Use of the rate limit of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateReport {
    /// Calls per second that it accepts from all callers together, in thousandths.
    pub limit_milli_per_s: u64,
    /// Time until it accepts a call beyond those that are already at the gate, in milliseconds.
    pub wait_ms: u32,
}

impl RateReport {
    /// Calls per second that the backend server accepts from all callers together.
    pub fn limit_per_s(&self) -> f64 {
        self.limit_milli_per_s as f64 / 1_000.0
    }

    /// Time until it accepts a call beyond those that are already at the gate.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.wait_ms))
    }
}

impl GateReport {
    /// Mean run time of a call; zero while it isn't known.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.work_us))
    }

    /// Admission level: the share of root requests, by priority, for which the gate has room.
    pub fn level(&self) -> f64 {
        f64::from(self.level_permille) / 1_000.0
    }

    /// Share of the last runs that failed through a fault of the backend server itself.
    pub fn failed_ratio(&self) -> f64 {
        f64::from(self.failed_permille.min(1_000)) / 1_000.0
    }

    /// Slowdown of the backend server's machine, if it is known: 2 if runs take twice the usual
    /// time.
    pub fn slowdown_ratio(&self) -> Option<f64> {
        let is_known = self.slowdown_permille > 0;
        is_known.then(|| f64::from(self.slowdown_permille) / 1_000.0)
    }

    /// Number of calls that run concurrently at full load.
    ///
    /// Under a rate limit it is at most the number of calls that start during the mean run time
    /// of a call.
    pub fn slots(&self) -> f64 {
        let slots = f64::from(self.limit_count.max(1));
        let by_rate = self.rate.filter(|_| self.work_us > 0);
        by_rate.map_or(slots, |rate| {
            let started_count = rate.limit_per_s() * self.mean_run_time().as_secs_f64();
            slots.min(started_count).max(MIN_SLOTS)
        })
    }

    /// Ratio of the running and waiting calls to the slots.
    pub fn fill_ratio(&self) -> f64 {
        let calls_count = self.running_count + self.waiting_count;
        f64::from(calls_count) / self.slots()
    }
}

impl Default for GateReport {
    /// Returns the report assumed for a gate that has sent none yet; such a gate has room.
    fn default() -> Self {
        Self {
            running_count: 0,
            waiting_count: 0,
            limit_count: 0,
            work_us: 0,
            level_permille: 1_000,
            failed_permille: 0,
            slowdown_permille: 0,
            rate: None,
        }
    }
}
