//! Time, as the host of a node passes it in.

use std::time::{Duration, SystemTime};

/// One reading of the monotonic clock and of the time of day.
///
/// # Examples
///
/// ```
/// use std::time::{Duration, SystemTime};
///
/// use kumquatquay_core::Moment;
///
/// let start = Moment { monotonic: Duration::ZERO, wall: SystemTime::UNIX_EPOCH };
/// let later = start.plus(Duration::from_secs(2));
/// assert_eq!(later.since(start), Duration::from_secs(2));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Moment {
    /// Time since the program that hosts the node started. It never steps, and all decisions
    /// use it.
    pub monotonic: Duration,
    /// Time of day. It may step, and is used only for data that outlives the process.
    pub wall: SystemTime,
}

impl Moment {
    /// The moment that is later by `duration` on both clocks.
    #[must_use]
    pub fn plus(self, duration: Duration) -> Self {
        Self {
            monotonic: self.monotonic + duration,
            wall: self.wall + duration,
        }
    }

    /// Monotonic time since `earlier`; zero if that moment is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.monotonic.saturating_sub(earlier.monotonic)
    }

    /// The time of day in milliseconds since the Unix epoch; zero if it is before the epoch.
    pub fn unix_ms(self) -> u64 {
        let since_epoch = self.wall.duration_since(SystemTime::UNIX_EPOCH);
        since_epoch.map_or(0, |duration| duration.as_millis() as u64)
    }
}

/// Source of the time for the host of a node.
pub trait Clock {
    /// Reads both clocks.
    fn now(&self) -> Moment;
}
