//! The clocks of the operating system.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use kumquatquay_core::{Clock, Moment};

/// Reads the operating system's clocks.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SystemClock {
    start: Instant,
}

impl SystemClock {
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment {
            monotonic: self.start.elapsed(),
            wall: SystemTime::now(),
        }
    }
}

/// The time of day in milliseconds: a replacement at the same address starts
/// later. Where a clock went back, the core rises above what others remember.
pub(crate) fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |duration| duration.as_millis() as u64)
}
