//! The clocks of the operating system.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use kumquatquay_core::{Clock, Moment};
use rustix::time::{ClockId, clock_gettime};

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

    /// Time since the clock was made; the time of day isn't read for it.
    pub(crate) fn monotonic(&self) -> Duration {
        self.start.elapsed()
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Moment {
        Moment {
            monotonic: self.monotonic(),
            wall: SystemTime::now(),
        }
    }
}

/// Added to the time since the host's start, so that moments before it can be told.
const BEFORE_START: Duration = Duration::from_secs(24 * 3_600);

/// Time since a day before the host's start, also that in which it was suspended; never steps.
pub(crate) fn unsuspended() -> Duration {
    let since_start = clock_gettime(ClockId::Boottime);
    let since_start = Duration::try_from(since_start).unwrap_or_default();
    BEFORE_START + since_start
}

/// The time of day in milliseconds: a replacement at the same address starts
/// later. Where a clock went back, the core rises above what others remember.
pub(crate) fn incarnation() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(1, |duration| duration.as_millis() as u64)
}
