//! What a gate tells those that send work to it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Slots that a backend server is taken to have at least: a rate limit near zero leaves none, and
/// what is divided by them must stay finite.
const LEAST_SLOTS: f64 = 0.01;

/// How busy a backend server is, as the gate beside it sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GateReport {
    /// Calls that the backend server runs.
    pub running_count: u32,
    /// Calls that wait for it at the gate.
    pub waiting_count: u32,
    /// Calls that the gate lets run at the same time.
    pub limit_count: u32,
    /// Mean time that it takes to run a call, in microseconds.
    pub work_us: u32,
    /// Share of the ranks of whole requests for which the gate has room, in
    /// thousandths.
    pub level_permille: u16,
    /// Share of the backend server's last runs that failed by its own doing, in thousandths.
    pub failed_permille: u16,
    /// Time that work takes on the backend server's machine at this moment over its usual
    /// one, in thousandths; 0 while that isn't known. For metrics: nothing is decided by it.
    #[serde(rename = "pace_permille")]
    pub slowdown_permille: u16,
    /// The rate limit that the backend server advertises, if it does.
    pub rate: Option<RateReport>,
}

/// How far a backend server's rate limit is used up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RateReport {
    /// Calls a second that it takes of all callers together, in thousandths.
    pub limit_milli_per_s: u64,
    /// Time until it takes one call more than those that are at the gate, in milliseconds.
    pub wait_ms: u32,
}

impl RateReport {
    /// Calls a second that the backend server takes.
    pub fn limit_per_s(&self) -> f64 {
        self.limit_milli_per_s as f64 / 1_000.0
    }

    /// Time until it takes one call more than those that are at the gate.
    pub fn wait(&self) -> Duration {
        Duration::from_millis(u64::from(self.wait_ms))
    }
}

impl GateReport {
    /// Mean time that a call takes to run.
    pub fn mean_run_time(&self) -> Duration {
        Duration::from_micros(u64::from(self.work_us))
    }

    /// Share of the ranks of whole requests for which the gate has room.
    pub fn level(&self) -> f64 {
        f64::from(self.level_permille) / 1_000.0
    }

    /// Share of the backend server's last runs that failed by its own doing.
    pub fn failed_ratio(&self) -> f64 {
        f64::from(self.failed_permille.min(1_000)) / 1_000.0
    }

    /// Time that work takes on the backend server's machine at this moment over its usual
    /// one, if it is known: 2 where it takes twice as long.
    pub fn slowdown_ratio(&self) -> Option<f64> {
        let is_known = self.slowdown_permille > 0;
        is_known.then(|| f64::from(self.slowdown_permille) / 1_000.0)
    }

    /// Calls that run at the same time where as many are handed over as may be: under a rate
    /// limit as many as begin in the mean time of a call.
    pub fn slots(&self) -> f64 {
        let slots = f64::from(self.limit_count.max(1));
        let by_rate = self.rate.filter(|_| self.work_us > 0);
        by_rate.map_or(slots, |rate| {
            let begun = rate.limit_per_s() * self.mean_run_time().as_secs_f64();
            slots.min(begun).max(LEAST_SLOTS)
        })
    }

    /// Calls at the gate over those that it lets run.
    pub fn fill_ratio(&self) -> f64 {
        let calls_count = self.running_count + self.waiting_count;
        f64::from(calls_count) / self.slots()
    }
}

impl Default for GateReport {
    /// A gate that has told nothing yet, and is taken to have room.
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
