//! Slowdown of the machine of a backend server.

use std::time::Duration;

/// Age at which a report expires; the speed of a shared machine changes many times a second.
const REPORT_TTL: Duration = Duration::from_secs(1);

/// Smallest plausible slowdown.
const MIN_RATIO: f64 = 0.01;

/// Largest plausible slowdown.
const MAX_RATIO: f64 = 60.0;

/// Last slowdown that the backend server reported: the ratio of the run time of work to its usual
/// run time.
#[derive(Debug, Default)]
pub struct MachineSlowdown {
    report: Option<SlowdownReport>,
}

#[derive(Clone, Copy, Debug)]
struct SlowdownReport {
    reported_at: Duration,
    ratio: f64,
}

impl MachineSlowdown {
    /// Records a reported slowdown; implausible values are ignored.
    pub fn on_report(&mut self, now: Duration, ratio: f64) {
        if (MIN_RATIO..=MAX_RATIO).contains(&ratio) {
            self.report = Some(SlowdownReport {
                reported_at: now,
                ratio,
            });
        }
    }

    /// The slowdown, if a report is recent enough.
    pub fn ratio(&self, now: Duration) -> Option<f64> {
        let report = self
            .report
            .filter(|report| now < report.reported_at + REPORT_TTL);
        report.map(|report| report.ratio)
    }
}
